package wire

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/http"
	"reflect"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valveslip/valveslip/internal/blackhole"
	"github.com/valveslip/valveslip/settings"
)

// waitLimit bounds the wait for a condition or message; a test that reaches it fails.
const waitLimit = 20 * time.Second

// openProxy starts a proxy to a transport, which pauses after each piece that it forwards.
func openProxy(t *testing.T, to *Transport, pause time.Duration) *blackhole.Proxy {
	t.Helper()
	proxy, err := blackhole.NewProxy(to.Address(), pause)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = proxy.Close() })
	return proxy
}

// silenceConnection makes the proxy's only open connection drop all data.
func silenceConnection(t *testing.T, proxy *blackhole.Proxy) {
	t.Helper()
	if n, err := proxy.DropIncoming(); n != 1 || err != nil {
		t.Fatalf("silenced %d connections: %v", n, err)
	}
}

// withoutParallelDials makes a transport start no parallel dials. It would do so on a busy machine,
// and the tests count connections.
func withoutParallelDials(o *options) { o.parallelDialDelay = time.Hour }

// eventually waits until a condition holds and fails the test after waitLimit.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(waitLimit); time.Now().Before(limit); time.Sleep(2 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("condition not reached in time: %s", what)
}

// receiveMessage returns the next message and fails the test after waitLimit.
func receiveMessage[M Message](t *testing.T, received <-chan Message) M {
	t.Helper()
	select {
	case message := <-received:
		return message.(M)
	case <-time.After(waitLimit):
		t.Fatal("no message arrived in time")
		panic("unreachable")
	}
}

// TestRequestOnSilentConnectionFails guards against a request that blocks the messages to a peer for
// the send timeout after its connection has gone silent, and against its repetition: the timeout is
// an hour here, and tcpUserTimeout must end the request.
func TestRequestOnSilentConnectionFails(t *testing.T) {
	t.Parallel()
	received := make(chan Message, 4)
	to := openTransport(t, func(message Message) { received <- message })
	proxy := openProxy(t, to, 0)
	from := openTransport(t, func(Message) {}, WithSendTimeout(time.Hour), withoutParallelDials)
	from.Send(proxy.Address(), Demand{Sequence: 1})
	receiveMessage[Demand](t, received)
	silenceConnection(t, proxy)
	from.Send(proxy.Address(), Demand{Sequence: 2})
	eventually(t, "the lost request failed", func() bool { return from.Statistics().Failed == 1 })
	from.Send(proxy.Address(), Demand{Sequence: 3})
	if got := receiveMessage[Demand](t, received).Sequence; got != 3 {
		t.Fatalf("got message %d, want 3", got)
	}
}

// TestSilentIdleConnectionIsClosed guards against messages that are lost on a connection that went
// silent while it was idle: keep-alive probes must close it before the next message.
func TestSilentIdleConnectionIsClosed(t *testing.T) {
	t.Parallel()
	received := make(chan Message, 4)
	to := openTransport(t, func(message Message) { received <- message })
	proxy := openProxy(t, to, 0)
	from := openTransport(t, func(Message) {}, withoutParallelDials)
	var closed atomic.Bool
	kept := from.client.Transport.(*http.Transport)
	kept.DialContext = blackhole.NotifyClose(kept.DialContext, &closed)
	from.Send(proxy.Address(), Demand{Sequence: 1})
	receiveMessage[Demand](t, received)
	eventually(t, "the first request was answered", func() bool { return from.Statistics().Sent == 1 })
	silenceConnection(t, proxy)
	eventually(t, "the silent connection was closed", closed.Load)
	from.Send(proxy.Address(), Demand{Sequence: 2})
	if got := receiveMessage[Demand](t, received).Sequence; got != 2 {
		t.Fatalf("got message %d, want 2", got)
	}
	if failed := from.Statistics().Failed; failed != 0 {
		t.Fatalf("%d messages failed, want none", failed)
	}
}

// TestSlowTransferWithProgressSucceeds guards against a request that is cut off although it makes
// progress, because it takes longer in total than the sender's and the receiver's stall timeouts.
func TestSlowTransferWithProgressSucceeds(t *testing.T) {
	t.Parallel()
	// A transfer that is cut off after it made no progress, because this process was not scheduled,
	// proves nothing and is repeated.
	const transfers = 5
	for range transfers {
		idle := transferOverSlowLink(t)
		if idle == 0 {
			return
		}
		t.Logf("the link was idle for %s: the transfer is repeated", idle)
	}
	t.Fatalf("the link was idle in each of %d transfers", transfers)
}

// transferOverSlowLink sends a large message over a slow link. It returns zero if the message
// arrived. If the transfer was cut off after the link had forwarded nothing for the stall timeout, because this
// process stalled or took long to decode the message, it returns that time; any other cut fails the test.
func transferOverSlowLink(t *testing.T) time.Duration {
	t.Helper()
	const (
		size       = 7 << 20
		pause      = 32 * time.Millisecond // 224 pieces in 7 s
		stallLimit = time.Second
	)
	received := make(chan Message, 1)
	var log lockedBuffer
	logger := slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	to := openLoggingTransport(t, logger.With("side", "to"), func(message Message) { received <- message }, WithSendTimeout(stallLimit))
	proxy := openProxy(t, to, pause)
	from := openLoggingTransport(t, logger.With("side", "from"), func(Message) {}, WithSendTimeout(stallLimit))
	from.Send(proxy.Address(), ConfigurationSnapshot{From: "a", Stamp: settings.Stamp{}, Data: make([]byte, size)})
	var idle time.Duration
	eventually(t, "the transfer ended", func() bool {
		idle = proxy.IdleFor()
		s := from.Statistics()
		return s.Sent+s.Failed == 1
	})
	if statistics := from.Statistics(); statistics.Sent != 1 {
		if idle >= stallLimit {
			return idle
		}
		t.Fatalf("the transfer was cut off: %+v, the link was idle for %s, log:\n%s", statistics, idle, log.String())
	}
	if got := len(receiveMessage[ConfigurationSnapshot](t, received).Data); got != size {
		t.Fatalf("got %d bytes, want %d", got, size)
	}
	return 0
}

// lockedBuffer is a buffer that several goroutines may write to.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(data)
}

// String returns what was written.
func (b *lockedBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.String()
}

// TestUnansweredRequestFailsAtSendTimeout guards against a peer that accepts a request, does not
// answer it and blocks the messages to it for longer than the send timeout.
func TestUnansweredRequestFailsAtSendTimeout(t *testing.T) {
	t.Parallel()
	entered, release := make(chan Message, 4), make(chan struct{})
	to := openTransport(t, func(message Message) { entered <- message; <-release })
	defer close(release)
	from := openTransport(t, func(Message) {}, WithSendTimeout(50*time.Millisecond))
	// On a busy machine the timeout may end a request before it has been written, so
	// requests are repeated until the peer has accepted one.
	limit := time.Now().Add(waitLimit)
	for sequence := uint64(1); len(entered) == 0; sequence++ {
		if time.Now().After(limit) {
			t.Fatal("the peer accepted no request")
		}
		from.Send(to.Address(), Demand{Sequence: sequence})
		eventually(t, "the unanswered request failed", func() bool { return from.Statistics().Failed == sequence })
	}
	if sent := from.Statistics().Sent; sent != 0 {
		t.Fatalf("%d requests were answered, want none", sent)
	}
}

// TestMessageAgeIncludesQueueTime guards against a receiver that regards data as fresh although its
// message was queued for a while.
func TestMessageAgeIncludesQueueTime(t *testing.T) {
	t.Parallel()
	const known = time.Second
	received, release := make(chan Message, 4), make(chan struct{})
	to := openTransport(t, func(message Message) { received <- message; <-release })
	from := openTransport(t, func(Message) {})
	from.Send(to.Address(), Demand{Sequence: 1})
	receiveMessage[Demand](t, received)
	from.Send(to.Address(), StoreChanges{From: "a", Age: known})
	queued := time.Now()
	time.Sleep(100 * time.Millisecond)
	waited := time.Since(queued)
	close(release)
	if got := receiveMessage[StoreChanges](t, received).Age; got < known+waited {
		t.Fatalf("the age is %s after %s in the queue, want at least %s", got, waited, known+waited)
	}
}

// TestRelativeTimesAreAdjustedForDelay guards against relative times that refer to the queueing of a
// message instead of its sending, and against an adjustment that modifies a message queued for
// several peers.
func TestRelativeTimesAreAdjustedForDelay(t *testing.T) {
	const waited = 300 * time.Millisecond
	for _, test := range []struct{ queued, want Message }{
		{StoreChanges{Age: time.Second}, StoreChanges{Age: 1300 * time.Millisecond}},
		{
			Demand{Models: []ModelDemand{{Waiting: 1, OldestWait: time.Second, EarliestDeadline: 200 * time.Millisecond}, {Running: 1}}},
			Demand{Models: []ModelDemand{{Waiting: 1, OldestWait: 1300 * time.Millisecond}, {Running: 1}}},
		},
		{
			CellStatus{
				Replicas: []ReplicaRecord{{ReadyIn: time.Second}, {ReadyIn: waited}, {}},
				Loads:    []MachineLoad{{Age: time.Second}},
				Shares:   []ScopeShare{{ExpiresIn: time.Second}, {ExpiresIn: time.Millisecond}},
			},
			CellStatus{
				Replicas: []ReplicaRecord{{ReadyIn: 700 * time.Millisecond}, {ReadyIn: time.Millisecond}, {}},
				Loads:    []MachineLoad{{Age: 1300 * time.Millisecond}},
				Shares:   []ScopeShare{{ExpiresIn: 700 * time.Millisecond}, {}},
			},
		},
		{CellStatusRequest{Zone: "z"}, CellStatusRequest{Zone: "z"}},
	} {
		before, err := Encode(test.queued)
		if err != nil {
			t.Fatal(err)
		}
		if got := adjustForDelay(test.queued, waited); !reflect.DeepEqual(got, test.want) {
			t.Errorf("got %+v, want %+v", got, test.want)
		}
		if after, err := Encode(test.queued); err != nil || !bytes.Equal(after, before) {
			t.Errorf("%T was changed in the queue: %v", test.queued, err)
		}
	}
}

// TestFullQueueDropsOldestMessages guards against a blocked peer that receives outdated messages
// while newer ones are dropped.
func TestFullQueueDropsOldestMessages(t *testing.T) {
	t.Parallel()
	received, release := make(chan Message, 4), make(chan struct{})
	to := openTransport(t, func(message Message) { received <- message; <-release })
	from := openTransport(t, func(Message) {}, WithQueueLength(2))
	from.Send(to.Address(), Demand{Sequence: 1})
	receiveMessage[Demand](t, received)
	for sequence := range uint64(5) {
		from.Send(to.Address(), Demand{Sequence: 2 + sequence})
	}
	close(release)
	for _, want := range []uint64{5, 6} {
		if got := receiveMessage[Demand](t, received).Sequence; got != want {
			t.Fatalf("got message %d, want %d", got, want)
		}
	}
	if dropped := from.Statistics().Dropped; dropped != 3 {
		t.Fatalf("dropped %d messages, want 3", dropped)
	}
}

// TestAnswerToSilentPeerEnds guards against an answer that is written to a peer for a quarter of an hour
// after the peer has lost power, and whatever the answer holds meanwhile.
func TestAnswerToSilentPeerEnds(t *testing.T) {
	ended := make(chan error, 1)
	began := make(chan struct{})
	handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		close(began)
		chunk := make([]byte, 64<<10)
		for {
			if _, err := writer.Write(chunk); err != nil {
				ended <- err
				return
			}
		}
	})
	to := openTransport(t, func(Message) {}, WithHandler("/long", maxHeaderBytes, handler))
	connection, err := net.Dial("tcp", to.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	if _, err := io.WriteString(connection, "GET /long HTTP/1.1\r\nHost: peer\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-began
	if err := blackhole.DropIncoming(connection); err != nil {
		t.Fatal(err)
	}
	select {
	case <-ended:
	case <-time.After(30 * time.Second):
		t.Fatal("the answer is still being written")
	}
}

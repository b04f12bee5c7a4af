package wire

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// postUntil posts messages to a transport, one after the other, until done is closed.
func postUntil(done <-chan struct{}, address string, body []byte) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for {
		select {
		case <-done:
			return
		default:
		}
		response, err := client.Post("http://"+address+messagesPath, "avro/binary", bytes.NewReader(body))
		if err == nil {
			_ = response.Body.Close()
		}
	}
}

// TestCloseWaitsForMessagesThatStillArrive guards against a subscription that is closed under a request that passes
// its message on: the time for the end of requests in progress is over, and peers still send.
func TestCloseWaitsForMessagesThatStillArrive(t *testing.T) {
	const rounds, peers = 40, 8
	message, err := Encode(CellStatusRequest{Zone: "east-1"})
	if err != nil {
		t.Fatal(err)
	}
	body, err := codec.Marshal(batchSchema, batch{Envelopes: [][]byte{message}})
	if err != nil {
		t.Fatal(err)
	}
	for range rounds {
		log := &lockedBuffer{}
		to, err := NewTransport("127.0.0.1:0", slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug})), func(Message) {})
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan struct{})
		var posting sync.WaitGroup
		for range peers {
			posting.Go(func() { postUntil(done, to.Address(), body) })
		}
		time.Sleep(10 * time.Millisecond)
		over, cancel := context.WithCancel(context.Background())
		cancel()
		_ = to.Close(over)
		close(done)
		posting.Wait()
		if strings.Contains(log.String(), "panic") {
			t.Fatal("a request sent its message on a closed channel")
		}
	}
}

// TestCloseEndsAfterHandlerReturns guards against a transport that is closed while a message is handled: what handles
// it would go on beside what its owner closes next.
func TestCloseEndsAfterHandlerReturns(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	to, err := NewTransport("127.0.0.1:0", slog.New(slog.DiscardHandler), func(Message) {
		close(entered)
		<-release
	}, WithSendTimeout(50*time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	from := openTransport(t, func(Message) {})
	from.Send(to.Address(), CellStatusRequest{Zone: "east-1"})
	<-entered
	over, cancel := context.WithCancel(context.Background())
	cancel()
	closed := make(chan struct{})
	go func() {
		_ = to.Close(over)
		close(closed)
	}()
	select {
	case <-closed:
		t.Error("the transport was closed while a message was handled")
	case <-time.After(300 * time.Millisecond):
	}
	close(release)
	<-closed
}

// callAfter sends a request on a new connection after a time and reports whether it has an answer or was not sent.
func callAfter(pause time.Duration, address string) bool {
	time.Sleep(pause)
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return true
	}
	defer func() { _ = connection.Close() }()
	_, _ = io.WriteString(connection, "GET /held HTTP/1.1\r\nHost: peer\r\nConnection: close\r\n\r\n")
	_ = connection.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err = http.ReadResponse(bufio.NewReader(connection), nil)
	return err == nil
}

// TestDrainAnswersRequestsThatAreOnTheWay guards against requests of peers that a node reads never or answers never because
// it closes its listener as a planned stop ends: the peer must take each for one that may have run.
func TestDrainAnswersRequestsThatAreOnTheWay(t *testing.T) {
	const rounds, callers, spread = 10, 100, 40 * time.Millisecond
	slow := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond)
		w.WriteHeader(http.StatusNoContent)
	})
	for range rounds {
		to := openTransport(t, func(Message) {}, WithHandler("/held", 0, slow))
		var unanswered atomic.Int64
		var calling sync.WaitGroup
		for n := range callers {
			calling.Go(func() {
				if !callAfter(spread*time.Duration(n)/callers, to.Address()) {
					unanswered.Add(1)
				}
			})
		}
		time.Sleep(spread / 2)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		to.Drain(ctx)
		cancel()
		over, cancel := context.WithCancel(t.Context())
		cancel()
		_ = to.Close(over)
		calling.Wait()
		if count := unanswered.Load(); count > 0 {
			t.Fatalf("%d requests had no answer", count)
		}
	}
}

package wire

import (
	"context"
	"log/slog"
	"reflect"
	"testing"
	"time"
)

func openTransport(t *testing.T, handle func(Message), settings ...Option) *Transport {
	t.Helper()
	return openLoggingTransport(t, slog.New(slog.DiscardHandler), handle, settings...)
}

// openLoggingTransport opens a transport that writes to a log and is closed at the end of the test.
func openLoggingTransport(t *testing.T, logger *slog.Logger, handle func(Message), settings ...Option) *Transport {
	t.Helper()
	transport, err := NewTransport("127.0.0.1:0", logger, handle, settings...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := transport.Close(context.Background()); err != nil {
			t.Error(err)
		}
	})
	return transport
}

// stoppedClock keeps the relative times of queued messages unchanged.
func stoppedClock(o *options) { o.now = func() time.Time { return time.Time{} } }

// TestTransportKeepsSendingOrder guards against messages to one peer that overtake each other.
func TestTransportKeepsSendingOrder(t *testing.T) {
	const count = 200
	received := make(chan Message, count)
	to := openTransport(t, func(message Message) { received <- message })
	from := openTransport(t, func(Message) {})
	for sequence := range uint64(count) {
		from.Send(to.Address(), Demand{From: "node-a", Sequence: sequence})
	}
	for sequence := range uint64(count) {
		if got := (<-received).(Demand).Sequence; got != sequence {
			t.Fatalf("got sequence %d, want %d", got, sequence)
		}
	}
}

// TestTransportFallsBackToPreviousVersion guards against messages lost to a peer of the previous
// version: it refuses the first message unread, which must be sent again in its version.
func TestTransportFallsBackToPreviousVersion(t *testing.T) {
	received := make(chan Message, 4)
	old := func(o *options) { o.announcedVersion = VersionPrevious }
	to := openTransport(t, func(message Message) { received <- message }, old)
	from := openTransport(t, func(Message) {}, stoppedClock)
	request := sampleMessages()[KindDemand]
	for i := range 2 {
		// Each message must arrive before the next is sent.
		from.Send(to.Address(), request)
		if got := <-received; !reflect.DeepEqual(got, asWrittenIn(request, VersionPrevious)) {
			t.Fatalf("message %d: got %+v", i, got)
		}
	}
}

// TestTransportDropsMessagesBeyondQueueLength guards against a queue to a blocked peer that grows
// beyond its length, or drops messages without counting them.
func TestTransportDropsMessagesBeyondQueueLength(t *testing.T) {
	release := make(chan struct{})
	entered := make(chan struct{}, 1)
	to := openTransport(t, func(Message) { entered <- struct{}{}; <-release })
	from := openTransport(t, func(Message) {}, WithQueueLength(2))
	from.Send(to.Address(), CellStatusRequest{Zone: "east-1"})
	<-entered
	// The sender waits for the answer to the first message, so that the queue holds two
	// more.
	for range 5 {
		from.Send(to.Address(), CellStatusRequest{Zone: "east-1"})
	}
	if dropped := from.Statistics().Dropped; dropped != 3 {
		t.Errorf("dropped %d messages, want 3", dropped)
	}
	close(release)
	<-entered
	<-entered
}

// TestMessageToAbsentPeerIsCountedAsFailed guards against a transport that blocks or fails as a whole
// because a peer is absent, and against lost messages that are not counted.
func TestMessageToAbsentPeerIsCountedAsFailed(t *testing.T) {
	const address = "127.0.0.1:1" // a port on which nothing listens
	from := openTransport(t, func(Message) {})
	from.Send(address, CellStatusRequest{Zone: "east-1"})
	if err := from.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	if failed := from.Statistics().Failed; failed != 1 {
		t.Errorf("failed %d messages, want 1", failed)
	}
	from.Send(address, CellStatusRequest{Zone: "east-1"})
	if dropped := from.Statistics().Dropped; dropped != 1 {
		t.Errorf("dropped %d messages after Close, want 1", dropped)
	}
}

// TestAllVersionsExchangeMessages guards against messages lost between builds of different versions,
// which run together while machines are replaced. A kind of message that the older version lacks is
// not sent and must not block the messages that follow.
func TestAllVersionsExchangeMessages(t *testing.T) {
	speaks := func(version int32) Option { return func(o *options) { o.announcedVersion = version } }
	for _, older := range supportedVersions() {
		received := make(chan Message, len(layouts))
		to := openTransport(t, func(message Message) { received <- message }, speaks(older))
		from := openTransport(t, func(Message) {}, stoppedClock)
		last := CellStatusRequest{Zone: "east-1", From: "node-a", FromAddress: "10.0.0.1:7000"}
		from.Send(to.Address(), last)
		<-received
		for kind, message := range sampleMessages() {
			from.Send(to.Address(), message)
			if older < introducedIn[kind] {
				from.Send(to.Address(), last)
				if got := <-received; !reflect.DeepEqual(got, Message(last)) {
					t.Fatalf("version %d without kind %d: got %+v", older, kind, got)
				}
				continue
			}
			if got := <-received; !reflect.DeepEqual(got, asWrittenIn(message, older)) {
				t.Errorf("version %d, kind %d: got %+v", older, kind, got)
			}
		}
		if failed := from.Statistics().Failed; failed != 0 {
			t.Errorf("version %d: %d messages failed", older, failed)
		}
	}
}

package wire

import (
	"context"
	"log/slog"
	"reflect"
	"testing"
)

func openTransport(t *testing.T, handle func(Message), settings ...Option) *Transport {
	t.Helper()
	transport, err := NewTransport("127.0.0.1:0", slog.New(slog.DiscardHandler), handle, settings...)
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

func TestTransportKeepsOrderAndLearnsVersion(t *testing.T) {
	const count = 200
	received := make(chan Message, count)
	to := openTransport(t, func(message Message) { received <- message })
	from := openTransport(t, func(Message) {})

	// Until the peer has answered once, messages travel in the previous
	// version, which has no sender in a request.
	from.Send(to.Address(), samples()[KindConfigurationRequest])
	if first := <-received; !reflect.DeepEqual(first, withoutSender(samples()[KindConfigurationRequest])) {
		t.Fatalf("first message: got %+v", first)
	}
	for sequence := range uint64(count) {
		from.Send(to.Address(), Demand{From: "node-a", Sequence: sequence})
	}
	for sequence := range uint64(count) {
		if got := (<-received).(Demand).Sequence; got != sequence {
			t.Fatalf("got sequence %d, want %d", got, sequence)
		}
	}
	from.Send(to.Address(), samples()[KindConfigurationRequest])
	if last := <-received; !reflect.DeepEqual(last, samples()[KindConfigurationRequest]) {
		t.Fatalf("last message: got %+v", last)
	}
}

func TestTransportDropsWhatDoesNotFit(t *testing.T) {
	release := make(chan struct{})
	entered := make(chan struct{}, 1)
	to := openTransport(t, func(Message) { entered <- struct{}{}; <-release })
	from := openTransport(t, func(Message) {}, WithQueueLength(2))
	from.Send(to.Address(), CellStatusRequest{Zone: "east-1"})
	<-entered
	// The sender waits for the answer to the first message, so the queue
	// holds two more.
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

func TestTransportSurvivesAbsentPeer(t *testing.T) {
	absent := openTransport(t, func(Message) {})
	address := absent.Address()
	if err := absent.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
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

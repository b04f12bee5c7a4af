package drainlistener

import (
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// listenTCP returns a listener on a free port of the loopback interface.
func listenTCP(t *testing.T) *Listener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = inner.Close() })
	return New(inner)
}

// TestDrainReturnsQueuedConnections guards against resetting connections whose callers have sent a
// request before they were accepted.
func TestDrainReturnsQueuedConnections(t *testing.T) {
	listener := listenTCP(t)
	const callers = 5
	connections := make([]net.Conn, callers)
	for i := range connections {
		connection, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = connection.Close() }()
		_, _ = fmt.Fprint(connection, "request")
		connections[i] = connection
	}
	listener.Drain()
	for range callers {
		accepted, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprint(accepted, "answer")
		_, _ = io.ReadFull(accepted, make([]byte, len("request")))
		_ = accepted.Close()
	}
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("accept after the drain: %v", err)
	}
	<-listener.Drained()
	for i, connection := range connections {
		if answer, err := io.ReadAll(connection); string(answer) != "answer" {
			t.Errorf("caller %d got %q, %v", i, answer, err)
		}
	}
	if late, err := net.Dial("tcp", listener.Addr().String()); err == nil {
		_ = late.Close()
		t.Error("the listener still takes connections after the drain")
	}
}

// lateListener reaches the deadline of its first Accept in a drain without looking at the queue, as a goroutine that
// runs late.
type lateListener struct {
	*net.TCPListener
	drained bool
}

// SetDeadline is called as the drain begins and before each Accept after that.
func (l *lateListener) SetDeadline(at time.Time) error {
	if !l.drained {
		l.drained = true
		at = time.Now().Add(-time.Second)
	}
	return l.TCPListener.SetDeadline(at)
}

// TestDrainLooksAtQueueAfterDeadline guards against resetting connections that came before the drain, because the
// goroutine that accepts them ran only after its deadline.
func TestDrainLooksAtQueueAfterDeadline(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := New(&lateListener{TCPListener: inner.(*net.TCPListener)})
	connection, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	listener.drainEnd = time.Now().Add(maxDrainTime)
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = accepted.Close()
}

// TestDrainEndsWaitingAccept guards against an Accept that waits forever for a connection although
// the listener is drained.
func TestDrainEndsWaitingAccept(t *testing.T) {
	listener := listenTCP(t)
	ended := make(chan error, 1)
	go func() {
		_, err := listener.Accept()
		ended <- err
	}()
	listener.Drain()
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Errorf("accept: %v", err)
	}
}

// TestCloseEndsDrainAtOnce guards against a listener that goes on accepting after it was closed.
func TestCloseEndsDrainAtOnce(t *testing.T) {
	listener := listenTCP(t)
	connection, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	listener.Drain()
	_ = listener.Close()
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("accept after the close: %v", err)
	}
}

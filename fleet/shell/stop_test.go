package shell_test

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/valveslip/valveslip/fleet/shell"
)

// heldListener accepts nothing until it is drained or closed, as a node that is too late to accept:
// connections wait in the kernel with what their callers have sent.
type heldListener struct {
	*net.TCPListener
	release  chan struct{}
	released sync.Once
	// readsAfter delays the first read of each connection.
	readsAfter time.Duration
}

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	<-l.release
	connection, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &lateConnection{TCPConn: connection, readsAfter: l.readsAfter}, nil
}

// lateConnection delays its first read.
type lateConnection struct {
	*net.TCPConn
	readsAfter time.Duration
	first      sync.Once
}

// Read implements net.Conn.
func (c *lateConnection) Read(data []byte) (int, error) {
	c.first.Do(func() { time.Sleep(c.readsAfter) })
	return c.TCPConn.Read(data)
}

// SetDeadline is called when the listener is drained.
func (l *heldListener) SetDeadline(at time.Time) error {
	l.released.Do(func() { close(l.release) })
	return l.TCPListener.SetDeadline(at)
}

// Close implements net.Listener.
func (l *heldListener) Close() error {
	l.released.Do(func() { close(l.release) })
	return l.TCPListener.Close()
}

// TestStopAnswersRequestsOfQueuedConnections guards against a planned stop that leaves a request
// without an answer: its connection waited to be accepted, since the node was late, and was reset
// when the node closed its listener.
func TestStopAnswersRequestsOfQueuedConnections(t *testing.T) {
	testQueuedConnection(t, 0)
}

// TestStopAnswersRequestsThatAreReadLate guards against a planned stop that drops a request, since its server was shut
// down after it had accepted the connection and before it read the request.
func TestStopAnswersRequestsThatAreReadLate(t *testing.T) {
	testQueuedConnection(t, 200*time.Millisecond)
}

func testQueuedConnection(t *testing.T, readsAfter time.Duration) {
	t.Parallel()
	d := newDeployment(t)
	node := d.startNode("n", func(o *shell.Options) {
		o.Listen = holdFirst(readsAfter)
	})
	answered := make(chan reply, 1)
	go func() { answered <- d.call(node, http.MethodGet, "/write/x", "", nil) }()
	node.Stop()
	if got := <-answered; got.status != http.StatusServiceUnavailable {
		t.Errorf("the request was answered with %d: %s, %v", got.status, got.body, got.err)
	}
}

// holdFirst returns a function that opens listeners, of which the first, the callers', is held and delays the first read of
// each connection.
func holdFirst(readsAfter time.Duration) func(network, address string) (net.Listener, error) {
	first := true
	return func(network, address string) (net.Listener, error) {
		listener, err := net.Listen(network, address)
		if err != nil || !first {
			return listener, err
		}
		first = false
		return &heldListener{TCPListener: listener.(*net.TCPListener), release: make(chan struct{}), readsAfter: readsAfter}, nil
	}
}

package shell

import (
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/valveslip/valveslip/passthrough"
	"github.com/valveslip/valveslip/passthrough/retained"
)

// newCallerConn returns a connection with the default limits and the caller's end of it, which
// accepts bytes only as they are read. The node retains at most maxRetained bytes.
func newCallerConn(t *testing.T, maxRetained int64) (*callerConn, net.Conn) {
	t.Helper()
	n := &Node{retained: retained.NewAccount(maxRetained)}
	n.options.CallerLimits = CallerLimits{}.withDefaults()
	n.metrics = newMetrics(prometheus.NewRegistry(), n)
	nodeEnd, callerEnd := net.Pipe()
	t.Cleanup(func() { _, _ = nodeEnd.Close(), callerEnd.Close() })
	return &callerConn{Conn: nodeEnd, node: n}, callerEnd
}

// TestWriteToStalledCallerFails guards against writes that block forever on a caller that reads
// nothing. A write must fail after StallTimeout without progress, and must not while the caller
// reads a byte now and then.
func TestWriteToStalledCallerFails(t *testing.T) {
	t.Run("nothing is read", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c, _ := newCallerConn(t, 0)
			began := time.Now()
			n, err := c.Write(make([]byte, 100))
			var stalled *passthrough.StalledError
			if n != 0 || !errors.As(err, &stalled) || stalled.Full || stalled.Waiting != 100 {
				t.Fatalf("%d bytes written, %v", n, err)
			}
			if took := time.Since(began); took != defaultStallTimeout || stalled.For != took {
				t.Fatalf("failed after %v, error says %v, want %v", took, stalled.For, defaultStallTimeout)
			}
			if c.node.retained.Used() != 0 || c.node.retained.Peak() != buffersPerStalledCaller*defaultSocketBytes {
				t.Fatalf("%d bytes are retained, peak %d", c.node.retained.Used(), c.node.retained.Peak())
			}
		})
	})
	t.Run("a byte is read now and then", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c, callers := newCallerConn(t, 0)
			const length = 20
			go func() {
				for range length {
					time.Sleep(defaultStallTimeout * 3 / 4)
					_, _ = callers.Read(make([]byte, 1))
				}
			}()
			if n, err := c.Write(make([]byte, length)); n != length || err != nil {
				t.Fatalf("%d bytes written, %v", n, err)
			}
			if used := c.node.retained.Used(); used != 0 {
				t.Fatalf("%d bytes are still retained", used)
			}
		})
	})
	t.Run("the node has no room to buffer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c, _ := newCallerConn(t, 1)
			_, err := c.Write(make([]byte, 100))
			var stalled *passthrough.StalledError
			if !errors.As(err, &stalled) || !stalled.Full {
				t.Fatalf("%v, want a StalledError because the node has no room", err)
			}
		})
	})
}

// deadlineCounter counts the updates of a connection's write deadline.
type deadlineCounter struct {
	net.Conn
	updates int
}

// SetWriteDeadline implements net.Conn.
func (c *deadlineCounter) SetWriteDeadline(at time.Time) error {
	c.updates++
	return c.Conn.SetWriteDeadline(at)
}

// TestWritesRarelyExtendDeadline guards against setting the write deadline with each write: a
// stream with an event each millisecond must set it about twice a second. An idle time before a
// write must not make it fail.
func TestWritesRarelyExtendDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, callers := newCallerConn(t, 0)
		counter := &deadlineCounter{Conn: c.Conn}
		c.Conn = counter
		go func() { _, _ = io.Copy(io.Discard, callers) }()
		for range 4000 {
			time.Sleep(time.Millisecond)
			if _, err := c.Write([]byte("event")); err != nil {
				t.Fatal(err)
			}
		}
		if counter.updates > 9 {
			t.Errorf("the deadline was set %d times in 4 s", counter.updates)
		}
		time.Sleep(time.Minute)
		if _, err := c.Write([]byte("event")); err != nil {
			t.Fatalf("after an idle time: %v", err)
		}
		_ = c.Close()
	})
}

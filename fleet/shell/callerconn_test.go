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

// newCallerConn returns a connection with the default bounds and its caller's end, which
// takes what is written only as it is read. The node keeps at most so many bytes.
func newCallerConn(t *testing.T, most int64) (*callerConn, net.Conn) {
	t.Helper()
	n := &Node{retained: retained.NewAccount(most)}
	n.options.Callers = CallerBounds{}.withDefaults()
	n.metrics = newMetrics(prometheus.NewRegistry(), n)
	own, callers := net.Pipe()
	t.Cleanup(func() { _, _ = own.Close(), callers.Close() })
	return &callerConn{Conn: own, node: n}, callers
}

// TestWriteToStalledCallerEnds: a write of which the caller takes nothing ends after
// StalledFor, one of which it takes a byte now and then doesn't.
func TestWriteToStalledCallerEnds(t *testing.T) {
	t.Run("nothing is taken", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c, _ := newCallerConn(t, 0)
			began := time.Now()
			n, err := c.Write(make([]byte, 100))
			var stalled *passthrough.StalledError
			if n != 0 || !errors.As(err, &stalled) || stalled.Full || stalled.Waiting != 100 {
				t.Fatalf("%d bytes written, %v", n, err)
			}
			if took := time.Since(began); took != defaultStalledFor || stalled.For != took {
				t.Fatalf("ended after %v, said %v, want %v", took, stalled.For, defaultStalledFor)
			}
			if c.node.retained.Used() != 0 || c.node.retained.Peak() != buffersPerStalledCaller*defaultSocketBytes {
				t.Fatalf("%d bytes are counted, %d at most", c.node.retained.Used(), c.node.retained.Peak())
			}
		})
	})
	t.Run("a byte is taken now and then", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c, callers := newCallerConn(t, 0)
			const length = 20
			go func() {
				for range length {
					time.Sleep(defaultStalledFor * 3 / 4)
					_, _ = callers.Read(make([]byte, 1))
				}
			}()
			if n, err := c.Write(make([]byte, length)); n != length || err != nil {
				t.Fatalf("%d bytes written, %v", n, err)
			}
			if used := c.node.retained.Used(); used != 0 {
				t.Fatalf("%d bytes are still counted", used)
			}
		})
	})
	t.Run("the node has no room to wait", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c, _ := newCallerConn(t, 1)
			_, err := c.Write(make([]byte, 100))
			var stalled *passthrough.StalledError
			if !errors.As(err, &stalled) || !stalled.Full {
				t.Fatalf("%v, want an end for want of room", err)
			}
		})
	})
}

// deadlineCounter counts how often a connection's write deadline is moved.
type deadlineCounter struct {
	net.Conn
	moved int
}

// SetWriteDeadline implements net.Conn.
func (c *deadlineCounter) SetWriteDeadline(at time.Time) error {
	c.moved++
	return c.Conn.SetWriteDeadline(at)
}

// TestWritesRarelyMoveTheDeadline: a stream with an event each millisecond moves its
// deadline twice a second, not with each event, and a rest before a write doesn't end it.
func TestWritesRarelyMoveTheDeadline(t *testing.T) {
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
		if counter.moved > 9 {
			t.Errorf("the deadline was moved %d times in 4 s", counter.moved)
		}
		time.Sleep(time.Minute)
		if _, err := c.Write([]byte("event")); err != nil {
			t.Fatalf("after a rest: %v", err)
		}
		_ = c.Close()
	})
}

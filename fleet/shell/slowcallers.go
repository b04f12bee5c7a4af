package shell

import (
	"cmp"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/passthrough"
)

// Defaults of CallerBounds.
const (
	// defaultStalledFor is shorter than the time after which machines cut off an answer of
	// which nothing is read: what is known of that is "some seconds". They begin to count
	// once the node's buffers are full.
	defaultStalledFor = 3 * time.Second
	// defaultSocketBytes carries 32 KB a round trip to one caller: 32 MB/s over 1 ms, 320
	// KB/s over 100 ms. An answer of text takes 10 KB/s.
	defaultSocketBytes = 32 << 10
	// defaultRetainedBytes holds where the machine's memory isn't known.
	defaultRetainedBytes = 32 << 20
)

const (
	// triesPerStall is in how many tries a stall is waited out. A node that was suspended
	// counts one try, however long that took.
	triesPerStall = 3
	// stalledSockets is how many socket buffers are full, in the kernel's memory, for one
	// caller who takes nothing: what is sent to it and what comes from its machine, each
	// twice the bytes that are bounded.
	stalledSockets = 4
)

// CallerBounds bounds what is kept on behalf of callers and machines that read slowly; zero
// fields take defaults.
type CallerBounds struct {
	// StalledFor is after how long without a byte that could be written a caller's
	// connection ends.
	StalledFor time.Duration
	// SocketBytes bounds what the kernel keeps of one connection in each direction.
	SocketBytes int
	// RetainedBytes bounds what the node keeps of all requests and answers.
	RetainedBytes int64
	// Requests bounds those under way; zero allows any.
	Requests int
}

// withDefaults fills zero fields.
func (b CallerBounds) withDefaults() CallerBounds {
	b.StalledFor = cmp.Or(b.StalledFor, defaultStalledFor)
	b.SocketBytes = cmp.Or(b.SocketBytes, defaultSocketBytes)
	b.RetainedBytes = cmp.Or(b.RetainedBytes, defaultRetainedBytes)
	return b
}

// boundCallers bounds a listener whose callers may read slowly. Accepted connections have
// the buffers of the listener's socket, so that the bound costs no call for each.
func (n *Node) boundCallers(listener net.Listener) net.Listener {
	if socket, ok := listener.(syscall.Conn); ok {
		boundBuffers(socket, n.options.Callers.SocketBytes)
	}
	return callersListener{boundedListener{listener}, n}
}

// boundBuffers bounds the kernel's buffers of a socket. A bound that can't be set is done
// without.
func boundBuffers(socket syscall.Conn, most int) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_SNDBUF, most)
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, most)
	})
}

// callersListener accepts callers' connections.
type callersListener struct {
	boundedListener
	node *Node
}

// Accept implements net.Listener. While the node works too late new connections wait in the
// kernel: to read and refuse what comes on them costs a fifth of a core where 1,400 come a
// second.
func (l callersListener) Accept() (net.Conn, error) {
	l.node.lateness.Hold(l.node.context)
	connection, err := l.boundedListener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: connection, node: l.node}, nil
}

// callerConn is a caller's connection. Its writes end when the caller takes nothing for too
// long, or when the node keeps too many bytes to wait for that.
type callerConn struct {
	net.Conn
	node *Node
	// deadline is that of writes, which is moved once in half a try, not with each write.
	deadline time.Time
}

// CloseWrite has the server end a connection without a reset.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Write implements net.Conn. What is known of time here is the steady clock: it is the
// kernel and the caller that are waited for.
func (c *callerConn) Write(data []byte) (int, error) {
	c.arm(time.Now())
	n, err := c.Conn.Write(data)
	if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	rest, err := c.wait(data[n:], n)
	return n + rest, err
}

// try is how long one try of a write lasts.
func (c *callerConn) try() time.Duration { return c.node.options.Callers.StalledFor / triesPerStall }

// arm moves the deadline on once half of a try has passed.
func (c *callerConn) arm(now time.Time) {
	if c.deadline.Sub(now) < c.try()/2 {
		c.deadline = now.Add(c.try())
		_ = c.Conn.SetWriteDeadline(c.deadline)
	}
}

// wait goes on with a write that the caller holds up, of which took bytes were written in
// the first try. While it does, what the kernel keeps for the caller counts among what the
// node keeps.
func (c *callerConn) wait(data []byte, took int) (int, error) {
	kept := int64(stalledSockets * c.node.options.Callers.SocketBytes)
	began, fruitless, total := time.Now(), 1, 0
	if took > 0 {
		fruitless = 0
	}
	if !c.node.retained.Reserve(kept) {
		return 0, c.stalled(len(data), c.try(), true)
	}
	defer c.node.retained.Release(kept)
	for fruitless < triesPerStall {
		c.deadline = time.Now().Add(c.try())
		_ = c.Conn.SetWriteDeadline(c.deadline)
		n, err := c.Conn.Write(data[total:])
		total += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return total, err
		}
		fruitless++
		if n > 0 {
			began, fruitless = time.Now(), 0
		}
	}
	return total, c.stalled(len(data)-total, time.Since(began)+c.try(), false)
}

// stalled ends the connection and tells of it. What the caller did not take is dropped.
func (c *callerConn) stalled(unwritten int, lasted time.Duration, full bool) error {
	failure := &passthrough.StalledError{Waiting: int64(unwritten) + c.unacknowledged(), For: lasted, Full: full}
	cause := "stalled"
	if full {
		cause = "full"
	}
	c.node.metrics.stalled.WithLabelValues(cause).Inc()
	c.node.options.Log.Write(eventlog.CallerStalled{
		Caller: c.RemoteAddr().String(), Waiting: failure.Waiting, For: lasted, Full: full, Kept: c.node.retained.Used(),
	})
	if lingering, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingering.SetLinger(0)
	}
	return failure
}

// unacknowledged counts the bytes that the kernel keeps for the caller, zero where it does
// not tell.
func (c *callerConn) unacknowledged() (count int64) {
	system, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(descriptor uintptr) {
		if n, err := unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ); err == nil {
			count = int64(n)
		}
	})
	return count
}

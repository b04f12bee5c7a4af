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
	"github.com/valveslip/valveslip/internal/drainlistener"
	"github.com/valveslip/valveslip/internal/sockopt"
	"github.com/valveslip/valveslip/passthrough"
)

// Defaults of CallerLimits.
const (
	// defaultStallTimeout is shorter than the time after which machines cut off an answer that is
	// not read. All that is known of that time is "some seconds". Machines start to count once
	// the node's buffers are full.
	defaultStallTimeout = 3 * time.Second
	// defaultSocketBytes allows 32 KB for each round trip to a caller: 32 MB/s at 1 ms, 320 KB/s
	// at 100 ms. An answer of text needs 10 KB/s.
	defaultSocketBytes = 32 << 10
	// defaultRetainedBytes applies if the memory of the machine isn't known.
	defaultRetainedBytes = 32 << 20
)

const (
	// attemptsPerStall is the number of write attempts that make up the stall timeout. A
	// suspension of the node counts as one attempt, however long it lasted.
	attemptsPerStall = 3
	// buffersPerStalledCaller is the number of full socket buffers in kernel memory for a caller
	// that reads nothing: the send buffer to the caller and the receive buffer from its machine,
	// each of twice the configured size.
	buffersPerStalledCaller = 4
)

// CallerLimits limits what is buffered for callers and machines that read slowly. Zero fields
// take defaults.
type CallerLimits struct {
	// StallTimeout is how long a caller's connection may accept no byte before it is closed.
	StallTimeout time.Duration
	// SocketBytes limits the kernel buffer of a connection in each direction.
	SocketBytes int
	// RetainedBytes limits the bytes that the node buffers of all requests and answers.
	RetainedBytes int64
	// MaxRequestsInFlight limits the requests in flight; zero means no limit.
	MaxRequestsInFlight int
}

// withDefaults returns the limits with defaults for zero fields.
func (b CallerLimits) withDefaults() CallerLimits {
	b.StallTimeout = cmp.Or(b.StallTimeout, defaultStallTimeout)
	b.SocketBytes = cmp.Or(b.SocketBytes, defaultSocketBytes)
	b.RetainedBytes = cmp.Or(b.RetainedBytes, defaultRetainedBytes)
	return b
}

// limitCallers wraps the listener of callers, which may read slowly. Accepted connections inherit
// the buffer sizes of the listener's socket, so the limit costs no system call for each
// connection.
func (n *Node) limitCallers(listener net.Listener) net.Listener {
	if socket, ok := listener.(syscall.Conn); ok {
		setSocketBuffers(socket, n.options.CallerLimits.SocketBytes)
	}
	n.callerListener = drainlistener.New(listener)
	return callerListener{silenceLimitListener{n.callerListener}, n}
}

// setSocketBuffers limits the kernel buffers of a socket. A limit that can't be set is skipped.
func setSocketBuffers(socket syscall.Conn, size int) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_SNDBUF, size)
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
	})
}

// callerListener accepts callers' connections.
type callerListener struct {
	silenceLimitListener
	node *Node
}

// Accept implements net.Listener. While the process is overloaded new connections wait in the
// kernel: reading and rejecting their requests costs a fifth of a core at 1,400 connections a
// second. At the end of a planned stop they are accepted, since closing the listener resets them.
func (l callerListener) Accept() (net.Conn, error) {
	l.node.schedulingDelay.WaitWhileLate(l.node.acceptHoldContext)
	connection, err := l.silenceLimitListener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: connection, node: l.node}, nil
}

// callerConn is a caller's connection. A write fails if the caller reads nothing for StallTimeout,
// or if the node has no room to buffer while it waits for that.
type callerConn struct {
	net.Conn
	node *Node
	// writeDeadline is the deadline of writes. It is extended once every half attempt, not with
	// each write.
	writeDeadline time.Time
}

// CloseWrite lets the HTTP server close a connection without a reset.
func (c *callerConn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Write implements net.Conn. It uses the monotonic clock of package time because it waits for the
// kernel and the caller, not for a decision of the core.
func (c *callerConn) Write(data []byte) (int, error) {
	c.extendDeadline(time.Now())
	n, err := c.Conn.Write(data)
	if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	rest, err := c.retryWrite(data[n:], n)
	return n + rest, err
}

// attemptTimeout returns the duration of one write attempt.
func (c *callerConn) attemptTimeout() time.Duration {
	return c.node.options.CallerLimits.StallTimeout / attemptsPerStall
}

// extendDeadline extends the write deadline if less than half of an attempt is left.
func (c *callerConn) extendDeadline(now time.Time) {
	if c.writeDeadline.Sub(now) < c.attemptTimeout()/2 {
		c.writeDeadline = now.Add(c.attemptTimeout())
		_ = c.Conn.SetWriteDeadline(c.writeDeadline)
	}
}

// retryWrite continues a write that the caller holds up; written is the number of bytes that the
// first attempt wrote. Meanwhile the kernel buffers of the caller count towards the retained
// bytes of the node.
func (c *callerConn) retryWrite(data []byte, written int) (int, error) {
	reserved := int64(buffersPerStalledCaller * c.node.options.CallerLimits.SocketBytes)
	lastProgress, failedAttempts, total := time.Now(), 1, 0
	if written > 0 {
		failedAttempts = 0
	}
	if !c.node.retained.Reserve(reserved) {
		return 0, c.abortStalled(len(data), c.attemptTimeout(), true)
	}
	defer c.node.retained.Release(reserved)
	for failedAttempts < attemptsPerStall {
		c.writeDeadline = time.Now().Add(c.attemptTimeout())
		_ = c.Conn.SetWriteDeadline(c.writeDeadline)
		n, err := c.Conn.Write(data[total:])
		total += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return total, err
		}
		failedAttempts++
		if n > 0 {
			lastProgress, failedAttempts = time.Now(), 0
		}
	}
	return total, c.abortStalled(len(data)-total, time.Since(lastProgress)+c.attemptTimeout(), false)
}

// abortStalled counts and logs a stalled caller and has the connection reset when it is closed,
// which drops the unread bytes.
func (c *callerConn) abortStalled(unwritten int, lasted time.Duration, full bool) error {
	failure := &passthrough.StalledError{Waiting: int64(unwritten) + int64(sockopt.Unacknowledged(c.Conn)), For: lasted, Full: full}
	cause := "stalled"
	if full {
		cause = "full"
	}
	c.node.metrics.stalledCallers.WithLabelValues(cause).Inc()
	c.node.options.Log.Write(eventlog.CallerStalled{
		Caller: c.RemoteAddr().String(), Waiting: failure.Waiting, For: lasted, Full: full, Kept: c.node.retained.Used(),
	})
	if lingerer, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingerer.SetLinger(0)
	}
	return failure
}

package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/internal/responsehead"
	"github.com/valveslip/valveslip/internal/sockopt"
)

// Conn is one connection to a machine. It carries one exchange at a time. All methods except
// Interrupt, Sending and HasUnread must be called from one goroutine.
type Conn struct {
	pool       *Pool
	address    string
	connection net.Conn
	reader     *bufio.Reader
	opened     time.Time
	reused     bool
	idleSince  time.Time
	// idleLimit is the keep-alive timeout that the machine stated last, zero without one.
	idleLimit time.Duration

	// writeDone is closed once the request has been written. writeError is set before.
	writeDone  chan struct{}
	writeError error
	bytesSent  atomic.Bool
	answer     *http.Response
	// unusable is true if the connection can't carry another exchange.
	unusable bool
	// requestStart is when the current request was begun, zero before the first one.
	requestStart time.Time
	// broken is the syscall.Errno of the error that broke the connection, zero without one.
	broken atomic.Uint64
	// process names the process at the other end, empty until it is known.
	process string
	// exchanges counts the exchanges. carried are the requests among them that may be sent again.
	exchanges int
	carried   []carriedRequest
	// head bounds the head that is being read.
	head headBudget

	interruptMutex sync.Mutex
	interrupted    bool
}

// maxInlineBodyBytes is the size up to which a body is written before the answer is read. A longer
// body is written concurrently, since a machine may answer before it has read all of it.
const maxInlineBodyBytes = 16 << 10

// maxAcknowledgeDelay is the time within which the machine's kernel must acknowledge a request
// that was completely written: a round trip of 100 ms plus the 40 ms of a delayed acknowledgement.
// It is less than the shortest timeout of an attempt, so that the next attempt of the request
// knows about the silence. A lost packet costs only idle connections.
const maxAcknowledgeDelay = 140 * time.Millisecond

// ErrNotSent is the cause of an error if no byte of a request was sent.
var ErrNotSent = eris.New("nothing was sent")

// Reused reports whether the connection has carried an exchange before.
func (c *Conn) Reused() bool { return c.reused }

// Age returns the time since the connection was opened.
func (c *Conn) Age() time.Duration { return c.pool.options.Now().Sub(c.opened) }

// Process returns the name of the process at the other end, empty if SetProcess was not called.
func (c *Conn) Process() string { return c.process }

// SetProcess records the process at the other end. A connection belongs to one process, so that the name
// holds for all later exchanges.
func (c *Conn) SetProcess(name string) { c.process = name }

// Reusable reports whether the connection can carry another exchange after the answer that was read.
func (c *Conn) Reusable() bool { return c.reusable() && c.connection.SetDeadline(time.Time{}) == nil }

// PutBack returns the connection to the pool. It must be open and no exchange under way on it.
func (c *Conn) PutBack() {
	c.answer = nil
	c.pool.put(c)
}

// reusableIdle reports whether an idle connection can carry another request: it has not expired,
// and neither data nor the end of the stream has arrived on it.
func (c *Conn) reusableIdle() bool {
	if c.expired(c.pool.options.Now()) || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.connection.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var probe [1]byte
		_, readError := syscall.Read(int(descriptor), probe[:])
		c.recordError(readError)
		quiet = errors.Is(readError, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// expired reports whether an idle connection is too old to be used.
func (c *Conn) expired(now time.Time) bool {
	limit := c.pool.options.IdleLimit
	if c.idleLimit > 0 {
		limit = c.idleLimit - c.pool.options.IdleMargin
	}
	return now.Sub(c.idleSince) > limit
}

// Send writes the request with its body. A long body is written while the answer is read. An error
// with the cause ErrNotSent means that no byte was sent.
func (c *Conn) Send(request *http.Request, body []byte) error {
	c.exchanges++
	c.bytesSent.Store(false)
	c.requestStart = c.pool.options.Now()
	c.writeDone = make(chan struct{})
	if len(body) <= maxInlineBodyBytes {
		c.write(request)
		return c.writeError
	}
	go c.write(request)
	return nil
}

// Sending reports whether the request is still being written.
func (c *Conn) Sending() bool {
	select {
	case <-c.writeDone:
		return false
	default:
		return true
	}
}

// writerPool holds the write buffers. A new buffer for each request would be an eighth of the
// allocations of a small request.
var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, ioBufferBytes) }}

// write writes the whole request and sets writeError.
func (c *Conn) write(request *http.Request) {
	defer close(c.writeDone)
	writer := writerPool.Get().(*bufio.Writer)
	writer.Reset(&sendTracker{conn: c})
	defer func() {
		writer.Reset(nil)
		writerPool.Put(writer)
	}()
	err := request.Write(writer)
	if err == nil {
		err = writer.Flush()
	}
	if err != nil && !c.bytesSent.Load() {
		err = errors.Join(ErrNotSent, err)
	}
	c.writeError = err
}

// sendTracker records that bytes were passed to the kernel.
type sendTracker struct{ conn *Conn }

// Write implements io.Writer.
func (w *sendTracker) Write(data []byte) (int, error) {
	n, err := w.conn.connection.Write(data)
	if n > 0 {
		w.conn.bytesSent.Store(true)
	}
	w.conn.recordError(err)
	return n, err
}

// errorRecorder reads from the connection and records its errors.
type errorRecorder struct{ conn *Conn }

// Read implements io.Reader.
func (r *errorRecorder) Read(data []byte) (int, error) {
	data, err := r.conn.head.limit(data)
	if err != nil {
		return 0, err
	}
	n, err := r.conn.connection.Read(data)
	r.conn.head.spend(n)
	if onData := r.conn.pool.options.OnData; n > 0 && onData != nil {
		onData(r.conn.opened)
	}
	r.conn.recordError(err)
	if errors.Is(err, io.EOF) {
		err = r.conn.endOfInput()
	}
	return n, err
}

// endOfInput returns the error for the end of what the machine sends: io.EOF if the machine ended its sending, otherwise
// what broke the connection. The kernel reports a break once, to a write of the request as to a read, and all later
// reads find the same end as after a whole answer.
func (c *Conn) endOfInput() error {
	if c.Sending() && sockopt.HungUp(c.connection) {
		// The write fails at once, or has taken the report.
		<-c.writeDone
	}
	if cause := c.breakCause(); cause != 0 {
		return eris.Wrap(cause, "the connection had broken before the end was read")
	}
	return io.EOF
}

// recordError records the first error of a read or a write, which may be nil, that means that the connection broke. After
// the end of the machine's sending a reset is EPIPE: the answer is whole.
func (c *Conn) recordError(err error) {
	var cause syscall.Errno
	if !errors.As(err, &cause) || cause == syscall.EAGAIN || cause == syscall.EINTR || cause == syscall.EPIPE {
		return
	}
	c.broken.CompareAndSwap(0, uint64(cause))
}

// breakCause returns the error that broke the connection, zero if none is known.
func (c *Conn) breakCause() syscall.Errno { return syscall.Errno(c.broken.Load()) }

// kernelTimedOut reports whether the kernel closed the connection because the machine did not respond.
func (c *Conn) kernelTimedOut() bool {
	cause := c.breakCause()
	return cause == syscall.ETIMEDOUT || cause == syscall.EHOSTUNREACH
}

// errUnexpectedUpgrade is the error for an answer that changes the protocol, which no request asks for.
var errUnexpectedUpgrade = eris.New("the machine switched to another protocol")

// Head reads the head of the next answer and skips interim answers. It fails with ErrHeadTooLong if they are longer
// than MaxHeadBytes together, and with responsehead.ErrInvalid if one of them is invalid.
func (c *Conn) Head(request *http.Request) (*http.Response, error) {
	c.head.begin()
	defer c.head.end()
	answer, err := c.finalHead(request)
	if err != nil {
		c.unusable = true
		return nil, c.head.cause(err)
	}
	c.answer = answer
	return answer, nil
}

func (c *Conn) finalHead(request *http.Request) (*http.Response, error) {
	for {
		answer, err := http.ReadResponse(c.reader, request)
		if err == nil {
			err = responsehead.Check(answer)
		}
		switch {
		case err != nil:
			return nil, err
		case answer.StatusCode == http.StatusSwitchingProtocols:
			return nil, errUnexpectedUpgrade
		case answer.StatusCode >= http.StatusOK:
			return answer, nil
		}
	}
}

// MarkUnusable marks the connection as unusable for another exchange.
func (c *Conn) MarkUnusable() { c.unusable = true }

// Release returns the connection to the pool after a complete answer. It closes a connection that
// can't carry another request: the request was not completely written, the machine asked to close,
// the answer had no length, or more bytes follow the answer.
func (c *Conn) Release() {
	if c.reusable() && c.connection.SetDeadline(time.Time{}) == nil {
		c.answer = nil
		c.pool.put(c)
		return
	}
	c.Close()
}

func (c *Conn) reusable() bool {
	if c.unusable || c.answer == nil || c.answer.Close || c.reader.Buffered() > 0 || !c.written() {
		return false
	}
	unframed := c.answer.ContentLength < 0 && len(c.answer.TransferEncoding) == 0
	if unframed && c.answer.Body != http.NoBody {
		return false
	}
	c.idleLimit = keepAliveTimeout(c.answer.Header.Get("Keep-Alive"))
	return true
}

// Close closes the connection. If it is unresponsive, idle connections to the same machine that
// have received nothing since its last use are probably unresponsive too, and are closed. Bytes
// that the machine has not acknowledged are discarded, so that a request that was abandoned or
// runs elsewhere doesn't reach the machine later.
func (c *Conn) Close() {
	unacknowledged := sockopt.Unacknowledged(c.connection)
	if c.unresponsive(unacknowledged) {
		heardAt := c.idleSince
		if c.requestStart.After(heardAt) {
			heardAt = c.requestStart
		}
		c.pool.connectionWentSilent(c.address, heardAt)
	}
	if connection, ok := c.connection.(*net.TCPConn); ok && unacknowledged > 0 {
		_ = connection.SetLinger(0)
	}
	_ = c.connection.Close()
}

// unresponsive reports whether the machine no longer acknowledges data.
func (c *Conn) unresponsive(unacknowledged int) bool {
	return c.kernelTimedOut() || unacknowledged > 0 && c.written() && c.pool.options.Now().Sub(c.requestStart) > maxAcknowledgeDelay
}

// written reports whether the request was completely written without an error.
func (c *Conn) written() bool {
	select {
	case <-c.writeDone:
		return c.writeError == nil
	default:
		return false
	}
}

// HasUnread reports whether bytes have arrived that were not read; false if the system doesn't tell.
func (c *Conn) HasUnread() bool { return sockopt.Unread(c.connection) > 0 }

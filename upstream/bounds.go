package upstream

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// MaxHeadBytes bounds the head of an answer, with all interim answers before it. Go's reader of heads has no bound of
// its own.
const MaxHeadBytes = 64 << 10

// ErrHeadTooLong is the cause of an error if the head of an answer is longer than MaxHeadBytes.
var ErrHeadTooLong = eris.Errorf("the head of the answer is longer than %d bytes", MaxHeadBytes)

// headBudget bounds the bytes that are read from the connection while the head of an answer is read.
type headBudget struct {
	active bool
	left   int
}

// begin starts a new head.
func (b *headBudget) begin() { *b = headBudget{active: true, left: MaxHeadBytes} }

// end ends the head: what follows is not bounded by it.
func (b *headBudget) end() { b.active = false }

// limit returns the part of a buffer that may be filled, and ErrHeadTooLong if none may.
func (b *headBudget) limit(buffer []byte) ([]byte, error) {
	switch {
	case !b.active:
		return buffer, nil
	case b.left <= 0:
		return nil, ErrHeadTooLong
	}
	return buffer[:min(len(buffer), b.left)], nil
}

// spend counts bytes that were read.
func (b *headBudget) spend(n int) {
	if b.active {
		b.left -= n
	}
}

// cause returns ErrHeadTooLong for an error about a head that was cut at the bound, which may look malformed.
func (b *headBudget) cause(err error) error {
	if b.left <= 0 {
		return ErrHeadTooLong
	}
	return err
}

// Drain reads the rest of an unwanted answer, up to bound bytes and until the timeout, and reports whether it was read
// completely. Otherwise the connection can't be used again.
func (c *Conn) Drain(answer *http.Response, bound int64, timeout time.Duration) bool {
	c.setReadDeadline(time.Now().Add(timeout))
	n, err := io.CopyN(io.Discard, answer.Body, bound)
	c.setReadDeadline(time.Time{})
	complete := errors.Is(err, io.EOF) && n < bound
	if !complete {
		c.MarkUnusable()
	}
	return complete
}

// setReadDeadline sets the deadline of reads, unless the connection has been interrupted.
func (c *Conn) setReadDeadline(at time.Time) {
	c.interruptMutex.Lock()
	defer c.interruptMutex.Unlock()
	if !c.interrupted {
		_ = c.connection.SetReadDeadline(at)
	}
}

// Interrupt ends all current and later reads and writes. It may be called from any goroutine.
func (c *Conn) Interrupt() {
	c.interruptMutex.Lock()
	defer c.interruptMutex.Unlock()
	c.interrupted = true
	_ = c.connection.SetDeadline(time.Unix(1, 0))
}

package drainlistener

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// emptyWait is how long the queue of connections must stay empty until the listener is closed.
	emptyWait = 20 * time.Millisecond
	// maxDrainTime limits the drain while callers keep connecting.
	maxDrainTime = 500 * time.Millisecond
)

// Listener is a net.Listener with a drain. The kernel completes connections before they are
// accepted, so a caller may have sent a request on one that still waits in the listener's queue.
// Closing the listener resets it, and the caller can't know whether its request ran.
type Listener struct {
	net.Listener

	mutex sync.Mutex
	// drainEnd is the time at which the drain ends at the latest, zero before Drain.
	drainEnd time.Time
	// drained is closed at the end of the drain.
	drained     chan struct{}
	drainedOnce sync.Once
}

// New returns a listener that accepts from the given one.
func New(inner net.Listener) *Listener {
	return &Listener{Listener: inner, drained: make(chan struct{})}
}

// Drained returns a channel that is closed once the listener was drained and closed.
func (l *Listener) Drained() <-chan struct{} { return l.drained }

// deadliner is a listener whose Accept can be made to return after a time.
type deadliner interface{ SetDeadline(time.Time) error }

// Drain makes Accept return the connections that wait to be accepted, then close the listener and
// return net.ErrClosed. A listener without deadlines is closed at once.
func (l *Listener) Drain() {
	inner, ok := l.Listener.(deadliner)
	if !ok {
		_, _ = l.endDrain()
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.drainEnd.IsZero() {
		now := time.Now()
		l.drainEnd = now.Add(maxDrainTime)
		_ = inner.SetDeadline(now)
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		draining := l.limitAccept()
		if draining && l.drainOver() {
			return l.endDrain()
		}
		accepted, err := l.Listener.Accept()
		switch {
		case err == nil:
			return accepted, nil
		case draining && !l.hasQueued():
			return l.endDrain()
		case !l.draining():
			return nil, err
		}
	}
}

// hasQueued reports whether a connection waits to be accepted. Accept may reach its deadline without looking, since its
// goroutine ran late.
func (l *Listener) hasQueued() bool {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	queued := false
	_ = raw.Control(func(descriptor uintptr) {
		ready, err := unix.Poll([]unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}, 0)
		queued = err == nil && ready > 0
	})
	return queued
}

// endDrain closes the listener and returns what Accept returns then.
func (l *Listener) endDrain() (net.Conn, error) {
	_ = l.Listener.Close()
	l.drainedOnce.Do(func() { close(l.drained) })
	return nil, net.ErrClosed
}

// limitAccept reports whether the listener is being drained, and if so limits the next call of
// Accept.
func (l *Listener) limitAccept() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.drainEnd.IsZero() {
		return false
	}
	_ = l.Listener.(deadliner).SetDeadline(time.Now().Add(emptyWait))
	return true
}

func (l *Listener) draining() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return !l.drainEnd.IsZero()
}

// drainOver reports whether the time of the drain has passed.
func (l *Listener) drainOver() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return time.Now().After(l.drainEnd)
}

package shell

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valveslip/valveslip/internal/drainlistener"
)

const (
	// discardTimeout limits how long a closing connection's input is read and discarded.
	// The caller may have sent a request before it saw the final answer. Closing a
	// connection with unread input resets it, which can destroy the final answer before
	// the caller reads it.
	discardTimeout = 500 * time.Millisecond
	// closeRetryInterval is the time between two attempts to close busy connections.
	closeRetryInterval = 5 * time.Millisecond
	// incompleteTimeout is how long a TLS handshake or the head of a request may still take once
	// connections are closed.
	incompleteTimeout = time.Second
)

// connectionTracker tracks the open connections of the callers' listener.
type connectionTracker struct {
	mutex  sync.Mutex
	open   map[*trackedConnection]struct{}
	closed bool
	// acceptEnded is set once the HTTP server accepts no more connections.
	acceptEnded bool
}

func newConnectionTracker() *connectionTracker {
	return &connectionTracker{open: map[*trackedConnection]struct{}{}}
}

// wrapListener returns a listener whose connections are tracked.
func (c *connectionTracker) wrapListener(listener net.Listener) *trackingListener {
	return &trackingListener{Listener: drainlistener.New(listener), tracker: c}
}

// count returns the number of open connections.
func (c *connectionTracker) count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.open)
}

// endAccept records that the HTTP server accepts no more connections.
func (c *connectionTracker) endAccept() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.acceptEnded = true
}

// remaining returns the open connections, and whether no more will be accepted.
func (c *connectionTracker) remaining() (open []*trackedConnection, acceptEnded bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	open = make([]*trackedConnection, 0, len(c.open))
	for connection := range c.open {
		open = append(open, connection)
	}
	return open, c.acceptEnded
}

// describeOpen returns a summary of the open connections by state.
func (c *connectionTracker) describeOpen() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	closing, serving, receiving := 0, 0, 0
	for open := range c.open {
		open.mutex.Lock()
		switch {
		case open.closing:
			closing++
		case !open.idle:
			serving++
		case open.receivedSinceWrite:
			receiving++
		}
		open.mutex.Unlock()
	}
	return fmt.Sprintf("%d open: %d closing, %d with a request in progress, %d with a partly received request", len(c.open), closing, serving, receiving)
}

// connStateChanged implements http.Server.ConnState.
func (c *connectionTracker) connStateChanged(conn net.Conn, state http.ConnState) {
	inner := conn
	if tlsConn, ok := conn.(*tls.Conn); ok {
		inner = tlsConn.NetConn()
	}
	if tracked, ok := inner.(*trackedConnection); ok {
		tracked.stateChanged(conn, state)
	}
}

// closeIdle closes idle connections after sending the message, and the others when
// their request has ended. It returns when no connection is open and none will be
// accepted, or ctx ends. HTTP/2 connections are left to http.Server.Shutdown, which tells
// their callers which requests ran. The last accepted connection may be added only after the
// listener was closed. A connection whose TLS handshake does not end is cut off, and one
// whose request does not arrive whole counts as idle.
func (c *connectionTracker) closeIdle(ctx context.Context, message []byte) {
	ticker := time.NewTicker(closeRetryInterval)
	defer ticker.Stop()
	began := time.Now()
	for {
		remaining, acceptEnded := c.remaining()
		remaining = slices.DeleteFunc(remaining, (*trackedConnection).usesHTTP2)
		if len(remaining) == 0 && acceptEnded {
			return
		}
		for _, open := range remaining {
			open.closeIfIdle(message, time.Since(began) >= incompleteTimeout)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// trackingListener tracks the connections that it accepts.
type trackingListener struct {
	*drainlistener.Listener
	tracker *connectionTracker
}

// Accept implements net.Listener. After Close it returns http.ErrServerClosed, as
// after a shutdown of the HTTP server.
func (l *trackingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	owner := l.tracker
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	if err != nil {
		if owner.closed {
			err = http.ErrServerClosed
		}
		return nil, err
	}
	tracked := &trackedConnection{Conn: accepted, tracker: owner, idle: true}
	owner.open[tracked] = struct{}{}
	return tracked, nil
}

// Close implements net.Listener.
func (l *trackingListener) Close() error {
	l.markClosed()
	return l.Listener.Close()
}

// Drain closes the listener after the connections that callers have opened are accepted.
func (l *trackingListener) Drain() {
	l.markClosed()
	l.Listener.Drain()
}

func (l *trackingListener) markClosed() {
	l.tracker.mutex.Lock()
	defer l.tracker.mutex.Unlock()
	l.tracker.closed = true
}

// trackedConnection tracks whether a request is in progress. The state reported by the
// HTTP server is not sufficient: it changes only when the head of a request has been
// read, and http.Server.Shutdown closes connections whose next request has arrived but
// was not read.
type trackedConnection struct {
	net.Conn
	tracker *connectionTracker

	mutex sync.Mutex
	// outer is the connection as passed to the HTTP server, with TLS if configured. It is nil until
	// the server has begun to serve the connection.
	outer net.Conn
	// idle is true while the HTTP server serves no request on the connection,
	// receivedSinceWrite if input has arrived since the last write.
	idle, receivedSinceWrite bool
	closing                  bool

	// tlsState is the state of TLS at the end of the last look, stateWanted is set during one.
	tlsState    atomic.Pointer[tls.ConnectionState]
	stateWanted atomic.Bool
}

// stateChanged records a state reported by the HTTP server.
func (c *trackedConnection) stateChanged(outer net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.outer = outer
	c.idle = state == http.StateNew || state == http.StateIdle
}

// Read implements net.Conn. Input that arrives while the connection is closing is
// discarded.
func (c *trackedConnection) Read(buffer []byte) (int, error) {
	for {
		count, err := c.Conn.Read(buffer)
		c.mutex.Lock()
		closing := c.closing
		c.receivedSinceWrite = c.receivedSinceWrite || count > 0
		c.mutex.Unlock()
		switch {
		case !closing:
			return count, err
		case err != nil:
			return 0, io.EOF
		}
	}
}

// Write implements net.Conn. It resets receivedSinceWrite, because a caller sends its
// next request after the answer.
func (c *trackedConnection) Write(data []byte) (int, error) {
	c.mutex.Lock()
	c.receivedSinceWrite = false
	c.mutex.Unlock()
	return c.Conn.Write(data)
}

// SetReadDeadline implements net.Conn. It keeps the deadline of a closing connection.
func (c *trackedConnection) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closing {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Close implements net.Conn.
func (c *trackedConnection) Close() error {
	c.tracker.mutex.Lock()
	delete(c.tracker.open, c)
	c.tracker.mutex.Unlock()
	return c.Conn.Close()
}

// closeIfIdle sends the message, closes the connection for writing and lets remaining
// input be discarded, unless a request is in progress. If overdue is set, a partly
// received request counts as none, and a connection in its TLS handshake is closed: no
// request can have been sent on it.
func (c *trackedConnection) closeIfIdle(message []byte, overdue bool) {
	outer := c.servedConnection()
	if outer == nil {
		return
	}
	tlsConn, isTLS := outer.(*tls.Conn)
	if isTLS {
		state := c.connectionState(tlsConn)
		switch {
		case state == nil && overdue:
			_ = c.Close()
			return
		case state == nil || state.NegotiatedProtocol == protocolHTTP2:
			return
		}
	}
	if !c.startClosing(overdue) {
		return
	}
	_, _ = outer.Write(message)
	if isTLS {
		_ = tlsConn.CloseWrite()
	}
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
	}
}

// servedConnection returns the connection as passed to the HTTP server, or nil if the
// server has not begun to serve it.
func (c *trackedConnection) servedConnection() net.Conn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.outer
}

// busy reports whether the connection can't be closed now. The caller must hold the mutex.
// Input since the last write is a partly received request or, with TLS, the end of the
// handshake. With overdue it does not count.
func (c *trackedConnection) busy(overdue bool) bool {
	return c.closing || !c.idle || c.receivedSinceWrite && !overdue
}

// startClosing begins to discard the connection's input, and reports whether it did.
func (c *trackedConnection) startClosing(overdue bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.busy(overdue) {
		return false
	}
	c.closing = true
	_ = c.Conn.SetDeadline(time.Now().Add(discardTimeout))
	return true
}

// protocolHTTP2 is the negotiated protocol of HTTP/2 connections.
const protocolHTTP2 = "h2"

// usesHTTP2 reports whether the connection is known to use HTTP/2.
func (c *trackedConnection) usesHTTP2() bool {
	tlsConn, isTLS := c.servedConnection().(*tls.Conn)
	if !isTLS {
		return false
	}
	state := c.connectionState(tlsConn)
	return state != nil && state.NegotiatedProtocol == protocolHTTP2
}

// connectionState returns the state of TLS, or nil until the handshake is complete.
// tls.Conn.ConnectionState waits for the end of the handshake, so it is called in the
// background, without the mutex that the handshake's reads need.
func (c *trackedConnection) connectionState(conn *tls.Conn) *tls.ConnectionState {
	if state := c.tlsState.Load(); state != nil && state.HandshakeComplete {
		return state
	}
	if c.stateWanted.CompareAndSwap(false, true) {
		go func() {
			state := conn.ConnectionState()
			c.tlsState.Store(&state)
			c.stateWanted.Store(false)
		}()
	}
	return nil
}

package shell

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// readOutTime bounds the reading of a dismissed connection. A request that the
	// caller sent before it saw the dismissal arrives meanwhile; a connection that
	// is closed with unread bytes is reset, which can take the dismissal from the
	// caller.
	readOutTime = 500 * time.Millisecond
	// dismissInterval is how often connections that were busy are tried again.
	dismissInterval = 5 * time.Millisecond
)

// connections are those of the callers' listener that are open.
type connections struct {
	mutex  sync.Mutex
	open   map[*connection]struct{}
	closed bool
}

func newConnections() *connections { return &connections{open: map[*connection]struct{}{}} }

// listen returns the listener with its connections noted.
func (c *connections) listen(listener net.Listener) net.Listener {
	return &connectionListener{Listener: listener, connections: c}
}

// count returns how many connections are open.
func (c *connections) count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.open)
}

// describe says in which states the open connections are.
func (c *connections) describe() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	dismissed, serving, heard := 0, 0, 0
	for open := range c.open {
		open.mutex.Lock()
		switch {
		case open.dismissed:
			dismissed++
		case !open.between:
			serving++
		case open.heard:
			heard++
		}
		open.mutex.Unlock()
	}
	return fmt.Sprintf("%d open: %d dismissed, %d with a request in progress, %d with one that has begun to come", len(c.open), dismissed, serving, heard)
}

// note implements http.Server.ConnState.
func (c *connections) note(conn net.Conn, state http.ConnState) {
	under := conn
	if secured, ok := conn.(*tls.Conn); ok {
		under = secured.NetConn()
	}
	if noted, ok := under.(*connection); ok {
		noted.note(conn, state)
	}
}

// dismiss ends the connections without a request in progress by the message, and
// the others once theirs has ended. It returns when none is open or ctx ends.
func (c *connections) dismiss(ctx context.Context, message []byte) {
	ticker := time.NewTicker(dismissInterval)
	defer ticker.Stop()
	for {
		c.mutex.Lock()
		waiting := make([]*connection, 0, len(c.open))
		for open := range c.open {
			waiting = append(waiting, open)
		}
		c.mutex.Unlock()
		if len(waiting) == 0 {
			return
		}
		for _, open := range waiting {
			open.dismiss(message)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// connectionListener notes the connections that it accepts.
type connectionListener struct {
	net.Listener
	connections *connections
}

// Accept implements net.Listener. After Close it ends the HTTP server's loop as a
// shutdown does.
func (l *connectionListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	c := l.connections
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err != nil {
		if c.closed {
			err = http.ErrServerClosed
		}
		return nil, err
	}
	noted := &connection{Conn: accepted, connections: c, outer: accepted, between: true}
	c.open[noted] = struct{}{}
	return noted, nil
}

// Close implements net.Listener.
func (l *connectionListener) Close() error {
	l.connections.mutex.Lock()
	l.connections.closed = true
	l.connections.mutex.Unlock()
	return l.Listener.Close()
}

// connection knows whether a request is in progress on it. The HTTP server tells
// only once it has read a request's head, and http.Server.Shutdown closes
// connections whose next request has arrived but was not read.
type connection struct {
	net.Conn
	connections *connections

	mutex sync.Mutex
	// outer is the connection as the HTTP server sees it.
	outer net.Conn
	// between is set while the HTTP server serves no request, heard when something
	// has come since the last write.
	between, heard bool
	dismissed      bool
}

// note takes a state of the HTTP server.
func (c *connection) note(outer net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.outer = outer
	c.between = state == http.StateNew || state == http.StateIdle
}

// Read implements net.Conn. What comes after the dismissal is read out and not
// served.
func (c *connection) Read(into []byte) (int, error) {
	for {
		count, err := c.Conn.Read(into)
		c.mutex.Lock()
		dismissed := c.dismissed
		c.heard = c.heard || count > 0
		c.mutex.Unlock()
		switch {
		case !dismissed:
			return count, err
		case err != nil:
			return 0, io.EOF
		}
	}
}

// Write implements net.Conn. A caller sends its next request after the answer.
func (c *connection) Write(from []byte) (int, error) {
	c.mutex.Lock()
	c.heard = false
	c.mutex.Unlock()
	return c.Conn.Write(from)
}

// SetReadDeadline implements net.Conn; that of a dismissal stays.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.dismissed {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.connections.mutex.Lock()
	delete(c.connections.open, c)
	c.connections.mutex.Unlock()
	return c.Conn.Close()
}

// dismiss sends the message, closes the connection for writing and lets what
// still comes be read out, unless a request is in progress.
func (c *connection) dismiss(message []byte) {
	c.mutex.Lock()
	secured, isSecured := c.outer.(*tls.Conn)
	busy := c.dismissed || !c.between || c.heard
	if busy || isSecured && !dismissible(secured) {
		c.mutex.Unlock()
		return
	}
	c.dismissed = true
	outer := c.outer
	_ = c.Conn.SetDeadline(time.Now().Add(readOutTime))
	c.mutex.Unlock()
	_, _ = outer.Write(message)
	if isSecured {
		_ = secured.CloseWrite()
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}

// dismissible reports whether a secured connection speaks HTTP/1.1. HTTP/2 has an
// end of its own that names the requests that were not run.
func dismissible(secured *tls.Conn) bool {
	state := secured.ConnectionState()
	return state.HandshakeComplete && state.NegotiatedProtocol != "h2"
}

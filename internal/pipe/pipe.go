package pipe

import (
	"context"
	"net"
	"sync"
)

// Listener is a net.Listener whose connections are in-memory pipes.
type Listener struct {
	dialed chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// NewListener returns a Listener. If it is called inside a synctest bubble, the Listener
// belongs to that bubble and may be used only there.
func NewListener() *Listener {
	return &Listener{dialed: make(chan net.Conn), closed: make(chan struct{})}
}

// DialContext opens a connection to the listener, whatever the address, and returns its
// client end.
func (l *Listener) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.dialed <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.dialed:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (*Listener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

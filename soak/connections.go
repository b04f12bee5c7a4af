package soak

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/valveslip/valveslip/soak/check"
)

// trackedConnection is a caller's connection to a node. It calls onIdleClose if the node
// closes it while it is idle.
type trackedConnection struct {
	net.Conn
	idle        atomic.Bool
	onIdleClose func()
}

// Read implements net.Conn. An HTTP client also reads from idle connections, so Read notices
// when the node closes one.
func (c *trackedConnection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && !errors.Is(err, net.ErrClosed) && c.idle.CompareAndSwap(true, false) {
		c.onIdleClose()
	}
	return n, err
}

// dial opens a caller's connection to the node.
func (p *process) dial(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackedConnection{Conn: connection, onIdleClose: p.recordClosing}, nil
}

// recordClosing records that the node closed an idle connection of a caller.
func (p *process) recordClosing() {
	closing := check.IdleClosing{Node: p.index, At: p.recorder.elapsed()}
	p.recorder.record(func(h *check.History) { h.Closings = append(h.Closings, closing) })
}

// withIdleTracking returns a context that makes the connection of a request track whether it
// is idle.
func withIdleTracking(ctx context.Context) context.Context {
	var used *trackedConnection
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if used, _ = info.Conn.(*trackedConnection); used != nil {
				used.idle.Store(false)
			}
		},
		PutIdleConn: func(err error) {
			if used != nil && err == nil {
				used.idle.Store(true)
			}
		},
	})
}

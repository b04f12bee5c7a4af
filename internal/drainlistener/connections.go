package drainlistener

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Connections knows on which connections of an http.Server a request may be under way. A server that is shut down drops
// the requests that it reads after that, also those that came before; AwaitIdle is to be called first.
type Connections struct {
	mutex sync.Mutex
	busy  map[net.Conn]bool
	// idle is closed once no connection is busy; nil while nobody waits.
	idle chan struct{}
}

// Track is called by the server as its ConnState.
func (c *Connections) Track(connection net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		if c.busy == nil {
			c.busy = map[net.Conn]bool{}
		}
		c.busy[connection] = true
	default:
		delete(c.busy, connection)
	}
	if len(c.busy) == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// AwaitIdle waits until no request is under way and no connection is without its first one, or ctx ends.
func (c *Connections) AwaitIdle(ctx context.Context) {
	c.mutex.Lock()
	if len(c.busy) == 0 {
		c.mutex.Unlock()
		return
	}
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	idle := c.idle
	c.mutex.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

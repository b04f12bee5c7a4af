package proxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBufferBytes is the size of the read buffer for one direction.
	readBufferBytes = 16 << 10
	// heldPollInterval is the interval between checks whether a held direction is released.
	heldPollInterval = 5 * time.Millisecond
	// silentPollInterval is the interval between checks whether the ends of a silent link
	// have closed it. It only bounds how long the link's file descriptors stay open.
	silentPollInterval = 250 * time.Millisecond
)

// direction is the direction of data on a link.
type direction uint8

const (
	toServer direction = iota
	toClient
)

// link is one client connection and the connection to the target that it is joined to.
type link struct {
	proxy          *Proxy
	client, server *net.TCPConn
	silent         atomic.Bool
	resetOnce      sync.Once
	// done is closed when the link is reset.
	done chan struct{}
}

// run copies data in both directions until both have ended.
func (l *link) run() {
	var both sync.WaitGroup
	both.Go(func() { l.copyDirection(toServer, l.client, l.server) })
	both.Go(func() { l.copyDirection(toClient, l.server, l.client) })
	both.Wait()
	_ = l.client.Close()
	_ = l.server.Close()
}

// copyDirection copies data in one direction. It forwards an end of stream as such and turns
// any other error into a reset of the link.
func (l *link) copyDirection(d direction, from, to *net.TCPConn) {
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := from.Read(buffer)
		if !l.awaitDelivery(d, n) {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				l.reset()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			l.reset()
			return
		}
	}
}

// awaitDelivery applies the delay, rate limit and hold in force to n bytes that were read. It
// returns false if they must never be delivered.
func (l *link) awaitDelivery(d direction, n int) bool {
	mode := l.proxy.currentMode()
	pause := mode.delayFor(n) + l.proxy.options.Rate.reserve(d, n, time.Now())
	if pause > 0 && !l.sleepUnlessReset(pause) {
		return false
	}
	for mode.holds(d) {
		if !l.sleepUnlessReset(heldPollInterval) {
			return false
		}
		mode = l.proxy.currentMode()
	}
	if l.silent.Load() {
		l.awaitAbandonment()
		return false
	}
	return true
}

// awaitAbandonment keeps a silent link open until it is reset or its ends have closed it. Once
// the client has closed its end, the proxy closes that side at once, since it would otherwise
// take a file descriptor until the server closes too, which nodes do after a minute. This is
// safe because clients never close only one direction. If the target is simulated
// (Options.Simulated), the whole link is reset at that point.
func (l *link) awaitAbandonment() {
	for l.sleepUnlessReset(silentPollInterval) {
		if !isClosedByPeer(l.client) {
			continue
		}
		if l.proxy.options.Simulated || isClosedByPeer(l.server) {
			l.reset()
			return
		}
		_ = l.client.Close()
	}
}

// isClosedByPeer reports whether either end has closed or reset a connection. It queries the
// TCP state, so data that was sent before the close stays unread.
func isClosedByPeer(connection *net.TCPConn) bool {
	raw, err := connection.SyscallConn()
	if err != nil {
		return true
	}
	open := false
	err = raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		open = err == nil && info.State == unix.BPF_TCP_ESTABLISHED
	})
	return err != nil || !open
}

// sleepUnlessReset waits for the given time and returns false if the link is reset meanwhile.
func (l *link) sleepUnlessReset(pause time.Duration) bool {
	select {
	case <-time.After(pause):
		return true
	case <-l.done:
		return false
	}
}

// reset closes both connections with a TCP reset. Only the first call has an effect.
func (l *link) reset() {
	l.resetOnce.Do(func() {
		close(l.done)
		abort(l.client)
		abort(l.server)
	})
}

// abort closes a connection with a TCP reset.
func abort(connection *net.TCPConn) {
	_ = connection.SetLinger(0)
	_ = connection.Close()
}

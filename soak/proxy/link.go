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
	// pieceBytes is how much is read at once.
	pieceBytes = 16 << 10
	// holdPoll spaces looks at whether a held direction is free again.
	holdPoll = 5 * time.Millisecond
	// silentPoll spaces looks at whether a silent link was given up. It bounds
	// only for how long its files are kept.
	silentPoll = 250 * time.Millisecond
)

// direction of data on a link.
type direction uint8

const (
	toServer direction = iota
	toClient
)

// link is one connection through the proxy.
type link struct {
	proxy          *Proxy
	client, server *net.TCPConn
	silent         atomic.Bool
	once           sync.Once
	// done is closed when the link was reset.
	done chan struct{}
}

// run passes data in both directions until both have ended.
func (l *link) run() {
	var both sync.WaitGroup
	both.Go(func() { l.pass(toServer, l.client, l.server) })
	both.Go(func() { l.pass(toClient, l.server, l.client) })
	both.Wait()
	_ = l.client.Close()
	_ = l.server.Close()
}

// pass passes data in one direction. Its end is passed on as it came: as an end or
// as a reset.
func (l *link) pass(d direction, from, to *net.TCPConn) {
	piece := make([]byte, pieceBytes)
	for {
		n, err := from.Read(piece)
		if !l.release(d, n) {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(piece[:n]); writeErr != nil {
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

// release waits until a piece may go on; false when it never may.
func (l *link) release(d direction, n int) bool {
	mode := l.proxy.now()
	pause := mode.pause(n) + l.proxy.options.Rate.reserve(d, n, time.Now())
	if pause > 0 && !l.wait(pause) {
		return false
	}
	for mode.holds(d) {
		if !l.wait(holdPoll) {
			return false
		}
		mode = l.proxy.now()
	}
	if l.silent.Load() {
		l.staySilent()
		return false
	}
	return true
}

// staySilent waits until the link was reset or nobody whose behaviour counts holds on to
// it. What a client gave up is closed on its side at once: kept it would only take a file
// until the server gives up too, at nodes after a minute. Clients don't close one direction
// only.
func (l *link) staySilent() {
	for l.wait(silentPoll) {
		if !givenUp(l.client) {
			continue
		}
		if l.proxy.options.StandIn || givenUp(l.server) {
			l.reset()
			return
		}
		_ = l.client.Close()
	}
}

// givenUp reports whether either end has closed or reset a connection, without reading
// what may have been sent before.
func givenUp(connection *net.TCPConn) bool {
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

// wait reports whether the time passed before the link was reset.
func (l *link) wait(pause time.Duration) bool {
	select {
	case <-time.After(pause):
		return true
	case <-l.done:
		return false
	}
}

// reset ends both connections with a reset.
func (l *link) reset() {
	l.once.Do(func() {
		close(l.done)
		abort(l.client)
		abort(l.server)
	})
}

// abort closes a connection with a reset.
func abort(connection *net.TCPConn) {
	_ = connection.SetLinger(0)
	_ = connection.Close()
}

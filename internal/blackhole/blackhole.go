package blackhole

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// dropAllFilter is a BPF program that drops every packet.
var dropAllFilter = []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}

// DropIncoming makes the kernel drop every packet that arrives on a TCP connection from now on,
// before the packet is acknowledged. The local end of the connection sees no error either.
func DropIncoming(connection net.Conn) error {
	raw, err := connection.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptSockFprog(int(descriptor), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(dropAllFilter)), Filter: &dropAllFilter[0]})
	})
	return errors.Join(err, optionErr)
}

// Listener records the connections that it accepts, so that a test can drop
// their incoming packets.
type Listener struct {
	net.Listener
	mutex    sync.Mutex
	accepted []net.Conn
}

// Listen returns a Listener on a loopback port that the kernel chooses.
func Listen() (*Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: listener}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.accepted = append(l.accepted, connection)
	return connection, nil
}

// Accepted returns the number of connections accepted so far, closed ones included.
func (l *Listener) Accepted() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.accepted)
}

// DropIncoming makes the kernel drop the incoming packets of all connections accepted so far and
// returns the number of these connections.
func (l *Listener) DropIncoming() (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var errs []error
	for _, connection := range l.accepted {
		// A connection that is already closed receives nothing, so the error is ignored.
		if err := DropIncoming(connection); !errors.Is(err, net.ErrClosed) {
			errs = append(errs, err)
		}
	}
	return len(l.accepted), errors.Join(errs...)
}

// Close closes the listener and every accepted connection.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, connection := range l.accepted {
		_ = connection.Close()
	}
	return err
}

// Proxy is a TCP proxy that forwards its connections to a target address.
type Proxy struct {
	*Listener
	targetAddress string
	// ForwardDelay is the delay before a chunk of chunkBytes is forwarded to the target, in proportion less before a
	// shorter one, which simulates a slow link. It must be set before the first connection.
	ForwardDelay time.Duration
	// lastForward is when a chunk was forwarded last, or when the proxy was created. The mutex guards it.
	lastForward time.Time
}

// chunkBytes is the maximum number of bytes that a Proxy reads and forwards at once.
const chunkBytes = 32 << 10

// linkBufferBytes is the receive buffer of a slow link. It holds more than a segment of the loopback interface,
// 64 KiB: the sender's kernel would otherwise wait on its persist timer while the link is free.
const linkBufferBytes = 4 * chunkBytes

// NewProxy starts a Proxy to the target address, which runs until its Listener is closed.
func NewProxy(targetAddress string, pause time.Duration) (*Proxy, error) {
	listener, err := Listen()
	if err != nil {
		return nil, err
	}
	proxy := &Proxy{Listener: listener, targetAddress: targetAddress, ForwardDelay: pause, lastForward: time.Now()}
	go proxy.serve()
	return proxy, nil
}

// Address returns the address on which the proxy listens, as host:port.
func (p *Proxy) Address() string { return p.Addr().String() }

// IdleFor returns the time since the proxy last forwarded a chunk.
func (p *Proxy) IdleFor() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return time.Since(p.lastForward)
}

func (p *Proxy) serve() {
	for {
		connection, err := p.Accept()
		if err != nil {
			return
		}
		go p.forward(connection)
	}
}

// forward copies the data of one connection in both directions until either end closes it.
func (p *Proxy) forward(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	if p.ForwardDelay > 0 {
		_ = connection.(*net.TCPConn).SetReadBuffer(linkBufferBytes)
	}
	targetConnection, err := net.Dial("tcp", p.targetAddress)
	if err != nil {
		return
	}
	defer func() { _ = targetConnection.Close() }()
	go func() {
		_, _ = io.Copy(connection, targetConnection)
		_ = connection.Close()
	}()
	chunk := make([]byte, chunkBytes)
	// due is the time of the next forward. If a pause ends late, the following pauses are
	// shorter to compensate; time spent waiting for data shifts due by the same amount.
	for due := time.Now(); ; {
		readStart := time.Now()
		n, err := connection.Read(chunk)
		due = due.Add(time.Since(readStart))
		if n > 0 {
			due = due.Add(p.ForwardDelay * time.Duration(n) / chunkBytes)
			time.Sleep(time.Until(due))
			_, writeErr := targetConnection.Write(chunk[:n])
			p.recordForward()
			if writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// recordForward records that a chunk has been forwarded.
func (p *Proxy) recordForward() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lastForward = time.Now()
}

// dialFunc opens a network connection, like net.Dialer.DialContext.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// NotifyClose wraps a dial function so that closing any of its connections on the local side
// sets closed to true.
func NotifyClose(dial dialFunc, closed *atomic.Bool) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return closeNotifyingConn{Conn: connection, closed: closed}, nil
	}
}

// closeNotifyingConn is a connection that sets a flag when it is closed locally.
type closeNotifyingConn struct {
	net.Conn
	closed *atomic.Bool
}

// Close implements net.Conn.
func (c closeNotifyingConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

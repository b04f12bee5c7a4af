package proxy

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

// Options configure a proxy.
type Options struct {
	// Address is the IPv4 host:port to listen on; port 0 lets the kernel choose a port.
	Address string
	// Target is the host:port that connections are forwarded to.
	Target string
	// Simulated is set if the target is simulated by the run itself. Its handling of silent
	// connections is not under test, so the proxy resets a silent link once the client
	// has closed its end. Otherwise each such link would take three file descriptors
	// until the end of the run.
	Simulated bool
	// Rate limits the throughput of all proxies that share it; nil sets no limit.
	Rate *Rate
	// OnError is called with errors of the proxy itself, such as a lack of file
	// descriptors, which must not be mistaken for an injected fault.
	OnError func(error)
}

// Proxy forwards the connections made to its address to a target. It is safe for
// concurrent use.
type Proxy struct {
	options Options
	// port keeps the address for the proxy while it refuses connections.
	port *reservation

	mu       sync.Mutex
	target   string
	listener net.Listener
	links    map[*link]struct{}
	mode     Mode
	// partitioned are the clients that are cut off from the target.
	partitioned partitioned
	// silent are the connections that came up while their clients were cut off.
	silent []*net.TCPConn
	closed bool
}

// Listen starts a proxy.
func Listen(options Options) (*Proxy, error) {
	port, err := reserve(options.Address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{options: options, port: port, target: options.Target, links: map[*link]struct{}{}, partitioned: partitioned{}}
	if err := p.Open(); err != nil {
		port.release()
		return nil, err
	}
	return p, nil
}

// Address returns the host:port that the proxy listens on.
func (p *Proxy) Address() string { return p.port.address.String() }

// Retarget makes new connections go to another target.
func (p *Proxy) Retarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// Open listens on the same address again. It does nothing on an open or closed proxy.
func (p *Proxy) Open() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil || p.closed {
		return nil
	}
	listener, err := listen(p.Address())
	if err != nil {
		return eris.Wrapf(err, "proxy: listen on %s", p.Address())
	}
	p.listener = listener
	go p.accept(listener)
	return p.filterListener()
}

// listen opens a listener without multipath TCP, whose sockets take no packet filter.
func listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp", address)
}

// Refuse closes the listener and resets the open connections. New connections are refused
// until Open is called.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	p.mu.Unlock()
	p.Reset()
}

// Change changes the mode that applies to open and new connections.
func (p *Proxy) Change(change func(*Mode)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.mode)
}

// Reset resets the open connections.
func (p *Proxy) Reset() {
	for _, open := range p.openLinks() {
		open.reset()
	}
}

// Silence makes the open connections silent permanently: neither data nor the end of
// the stream is forwarded any more. New connections work.
func (p *Proxy) Silence() {
	for _, open := range p.openLinks() {
		open.silent.Store(true)
	}
}

// Close stops the proxy and resets its connections. It can't be opened again.
func (p *Proxy) Close() {
	p.mu.Lock()
	closed := p.closed
	p.closed = true
	p.mu.Unlock()
	if closed {
		return
	}
	p.abortSilent(func(netip.Addr) bool { return true })
	p.Refuse()
	p.port.release()
}

// openLinks returns the open links.
func (p *Proxy) openLinks() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*link, 0, len(p.links))
	for open := range p.links {
		list = append(list, open)
	}
	return list
}

// accept accepts connections until the listener is closed or fails.
func (p *Proxy) accept(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.options.OnError(eris.Wrapf(err, "proxy at %s: accept a connection", p.Address()))
			return
		}
		go p.connect(connection.(*net.TCPConn))
	}
}

// connect dials the target and forwards data between it and the client until both
// directions end. If the dial fails, the client's connection is reset.
func (p *Proxy) connect(client *net.TCPConn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	partition := p.partitionOf(client)
	switch partition {
	case PartitionReset, PartitionRefuse:
		abort(client)
		return
	case PartitionHang, PartitionSilence:
		p.keepSilent(client)
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		if Exhausted(err) {
			p.options.OnError(eris.Wrapf(err, "proxy at %s: connect to the target", p.Address()))
		}
		abort(client)
		return
	}
	joined := &link{proxy: p, client: client, server: server.(*net.TCPConn), done: make(chan struct{})}
	p.mu.Lock()
	closed := p.listener == nil
	p.links[joined] = struct{}{}
	p.mu.Unlock()
	if closed {
		joined.reset()
	}
	joined.run()
	p.mu.Lock()
	delete(p.links, joined)
	p.mu.Unlock()
}

// exhaustionErrors are the errors of a machine that has no file descriptor, port or buffer left.
var exhaustionErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS}

// Exhausted reports whether a connection failed because the machine or the process has
// reached one of its resource limits.
func Exhausted(err error) bool {
	return slices.ContainsFunc(exhaustionErrors, func(limit error) bool { return errors.Is(err, limit) })
}

// currentMode returns the mode that is in effect now.
func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

package proxy

import (
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

// Options of a proxy.
type Options struct {
	// Address is served; port 0 lets the kernel choose.
	Address string
	// Target is where connections go.
	Target string
	// StandIn is set where the target is one of the run's own stand-ins. How it bears
	// connections that went silent is not judged, so they end there once their client
	// has given them up: else each would take three files until the run's end.
	StandIn bool
	// Rate bounds what passes this proxy and others together; nil sets no bound.
	Rate *Rate
	// Failed is told what the machine refuses the proxy itself, such as one more open
	// file: that is no fault of a link.
	Failed func(error)
}

// Proxy passes the connections made to its address on to a target. It is safe for
// concurrent use.
type Proxy struct {
	options Options

	mu       sync.Mutex
	address  string
	target   string
	listener net.Listener
	links    map[*link]struct{}
	mode     Mode
	closed   bool
}

// Listen opens a proxy.
func Listen(options Options) (*Proxy, error) {
	p := &Proxy{options: options, address: options.Address, target: options.Target, links: map[*link]struct{}{}}
	return p, p.Open()
}

// Address is the host:port being served.
func (p *Proxy) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// Retarget has new connections go elsewhere.
func (p *Proxy) Retarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// Open listens at the same address again. It does nothing on an open proxy.
func (p *Proxy) Open() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil || p.closed {
		return nil
	}
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return eris.Wrapf(err, "proxy at %s", p.address)
	}
	p.address, p.listener = listener.Addr().String(), listener
	go p.accept(listener)
	return nil
}

// Refuse closes the listener and resets the open connections until Open.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	p.mu.Unlock()
	p.Reset()
}

// Change changes what happens to data from now on, on open and new connections.
func (p *Proxy) Change(change func(*Mode)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.mode)
}

// Reset resets the open connections.
func (p *Proxy) Reset() {
	for _, open := range p.open() {
		open.reset()
	}
}

// Silence has the open connections go silent for good: nothing passes any more,
// not even their end.
func (p *Proxy) Silence() {
	for _, open := range p.open() {
		open.silent.Store(true)
	}
}

// Close ends the proxy.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Refuse()
}

// open lists the open connections.
func (p *Proxy) open() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*link, 0, len(p.links))
	for open := range p.links {
		list = append(list, open)
	}
	return list
}

// accept takes connections until the listener is closed.
func (p *Proxy) accept(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.options.Failed(eris.Wrapf(err, "proxy at %s", p.Address()))
			return
		}
		go p.connect(connection.(*net.TCPConn))
	}
}

// connect joins a connection with one to the target.
func (p *Proxy) connect(client *net.TCPConn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	server, err := net.Dial("tcp", target)
	if err != nil {
		if Exhausted(err) {
			p.options.Failed(eris.Wrapf(err, "proxy at %s", p.Address()))
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

// exhausted are the errors of a machine that has no file, port or buffer left.
var exhausted = []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS}

// Exhausted reports whether a connection could not be made since the machine or the
// process is at one of its limits.
func Exhausted(err error) bool {
	return slices.ContainsFunc(exhausted, func(limit error) bool { return errors.Is(err, limit) })
}

// now returns the mode in force.
func (p *Proxy) now() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

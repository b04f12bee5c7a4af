package upstream

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/valveslip/valveslip/internal/sockopt"
)

// Defaults of Options.
const (
	DefaultDialTimeout = 400 * time.Millisecond
	DefaultUserTimeout = 1500 * time.Millisecond
	DefaultIdleLimit   = 30 * time.Second
	DefaultIdleMargin  = 700 * time.Millisecond
	// DefaultMaxIdle bounds the idle connections to one machine.
	DefaultMaxIdle = 32
)

const ioBufferBytes = 4 << 10

// keepAliveProbes lets the kernel close an unresponsive idle connection within 3 s, before a
// request that can't be repeated is lost on it. Each idle connection costs two packets of 52 bytes
// every 2 s, a connection in use none. TCP counts these times in whole seconds.
var keepAliveProbes = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 1}

// sweepsPerLimit is the number of sweeps for expired connections per IdleLimit.
const sweepsPerLimit = 4

// Options configures a Pool. Zero fields take the defaults above.
type Options struct {
	DialTimeout time.Duration
	// UserTimeout is the time after which a connection fails if sent bytes are not acknowledged.
	UserTimeout time.Duration
	// IdleLimit is how long a connection may stay idle if the machine stated no keep-alive
	// timeout. IdleMargin is how long before a stated timeout it is closed.
	IdleLimit, IdleMargin time.Duration
	MaxIdle               int
	// SocketBytes bounds the kernel's buffer in each direction of a connection to a slow reader.
	// The kernel allocates twice as much memory for it. Zero leaves the bound to the kernel, which
	// is several MB.
	SocketBytes int
	// LocalAddress is the IP address from which connections originate; the system chooses one if it
	// is nil.
	LocalAddress net.IP
	// OnData, if not nil, is called when data arrives on a connection, with the time at which the
	// connection was opened. It must not block.
	OnData func(opened time.Time)
	// Now is the clock for the age of idle connections. Machines close them by their own clock,
	// also while this machine is suspended. The default is time.Now, whose differences are
	// monotonic.
	Now func() time.Time
}

// withDefaults sets zero fields to the defaults.
func (o Options) withDefaults() Options {
	o.DialTimeout = cmp.Or(o.DialTimeout, DefaultDialTimeout)
	o.UserTimeout = cmp.Or(o.UserTimeout, DefaultUserTimeout)
	o.IdleLimit = cmp.Or(o.IdleLimit, DefaultIdleLimit)
	o.IdleMargin = cmp.Or(o.IdleMargin, DefaultIdleMargin)
	o.MaxIdle = cmp.Or(o.MaxIdle, DefaultMaxIdle)
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// Pool holds idle connections by address. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer
	mutex   sync.Mutex
	idle    map[string][]*Conn
	// lastSilence is the last silent connection that was noticed.
	lastSilence silentConnection
	// sweptAt is the time of the last sweep for expired connections.
	sweptAt time.Time
	opened  atomic.Uint64
}

// silentConnection describes a connection that became unresponsive.
type silentConnection struct {
	address string
	// heardAt is when the machine last responded on the connection, or when the last request on it
	// began if that is later.
	heardAt   time.Time
	noticedAt time.Time
}

// commonCauseWindow is the time within which silent connections to two machines are taken to have
// one cause. It is longer than the time between the attempts of a request, at most 3 s.
const commonCauseWindow = 5 * time.Second

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	options = options.withDefaults()
	pool := &Pool{options: options, idle: make(map[string][]*Conn)}
	pool.dialer = net.Dialer{Timeout: options.DialTimeout, KeepAliveConfig: keepAliveProbes, Control: func(_, _ string, raw syscall.RawConn) error {
		setSocketBuffers(raw, options.SocketBytes)
		return sockopt.SetUserTimeout(raw, options.UserTimeout)
	}}
	if options.LocalAddress != nil {
		pool.dialer.LocalAddr = &net.TCPAddr{IP: options.LocalAddress}
	}
	return pool
}

// setSocketBuffers bounds the kernel's buffers of a connection. Errors are ignored: the connection
// works without the bound.
func setSocketBuffers(raw syscall.RawConn, maxBytes int) {
	if maxBytes <= 0 {
		return
	}
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, maxBytes)
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_SNDBUF, maxBytes)
	})
}

// Opened returns the number of connections that were opened.
func (p *Pool) Opened() uint64 { return p.opened.Load() }

// Get returns an open idle connection or a new one. An error means that nothing was sent.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	return p.get(ctx, address, func(*Conn) bool { return true })
}

// GetFor does as Get with a connection that has not carried the request. Answers to an earlier send of a request have
// its ID too, so that they can't be told from the answer to a later send on the same connection.
func (p *Pool) GetFor(ctx context.Context, address, request string) (*Conn, error) {
	return p.get(ctx, address, notCarried(request))
}

// GetIdleFor returns an open idle connection that has not carried the request, nil without one.
func (p *Pool) GetIdleFor(address, request string) *Conn {
	return p.getIdle(address, notCarried(request))
}

func notCarried(request string) func(*Conn) bool {
	return func(c *Conn) bool { return !c.HasCarried(request) }
}

func (p *Pool) get(ctx context.Context, address string, usable func(*Conn) bool) (*Conn, error) {
	if idle := p.getIdle(address, usable); idle != nil {
		return idle, nil
	}
	return p.Dial(ctx, address)
}

// getIdle returns an open idle connection that is usable, nil without one.
func (p *Pool) getIdle(address string, usable func(*Conn) bool) *Conn {
	for {
		idle := p.take(address, usable)
		if idle == nil || idle.reusableIdle() {
			return idle
		}
		idle.Close()
	}
}

// Dial opens a connection. An error means that nothing was sent.
func (p *Pool) Dial(ctx context.Context, address string) (*Conn, error) {
	connection, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "connect")
	}
	p.opened.Add(1)
	c := &Conn{pool: p, address: address, connection: connection, opened: p.options.Now()}
	c.reader = bufio.NewReaderSize(&errorRecorder{conn: c}, ioBufferBytes)
	return c, nil
}

// refusalCheckTimeout bounds the check whether the process of a machine has ended, which the next
// attempt of a request waits for: a connection is refused within a round trip, 100 ms between
// distant regions.
const refusalCheckTimeout = 150 * time.Millisecond

// Refuses reports whether an address refuses connections because no process listens there. If the
// connection succeeds, it is kept for another request.
func (p *Pool) Refuses(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, refusalCheckTimeout)
	defer cancel()
	c, err := p.Dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.put(c)
	return false
}

// take removes and returns the most recently used idle connection that is usable, nil without one.
func (p *Pool) take(address string, usable func(*Conn) bool) *Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		if taken := list[i]; usable(taken) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return taken
		}
	}
	return nil
}

// put keeps a connection for another request.
func (p *Pool) put(c *Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	c.reused, c.idleSince = true, p.options.Now()
	if c.idleSince.Sub(p.sweptAt) > p.options.IdleLimit/sweepsPerLimit {
		p.sweep(c.idleSince)
	}
	if len(p.idle[c.address]) >= p.options.MaxIdle {
		go c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// sweep closes the expired connections. The caller must hold the mutex.
func (p *Pool) sweep(now time.Time) {
	p.sweptAt = now
	for address, list := range p.idle {
		kept := make([]*Conn, 0, len(list))
		for _, c := range list {
			if c.expired(now) {
				_ = c.connection.Close()
			} else {
				kept = append(kept, c)
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// Forget closes all idle connections to an address.
func (p *Pool) Forget(address string) { p.closeUnheard(address, p.options.Now()) }

// connectionWentSilent closes the idle connections to a machine that have received nothing since
// heardAt. If connections to two machines go silent within commonCauseWindow, the cause is
// probably the network or this machine: the idle connections to all machines are then checked in
// the same way.
func (p *Pool) connectionWentSilent(address string, heardAt time.Time) {
	now := p.options.Now()
	p.mutex.Lock()
	previous := p.lastSilence
	p.lastSilence = silentConnection{address: address, heardAt: heardAt, noticedAt: now}
	doubtful := []string{address}
	if previous.address != "" && previous.address != address && now.Sub(previous.noticedAt) < commonCauseWindow {
		doubtful = slices.Collect(maps.Keys(p.idle))
	}
	p.mutex.Unlock()
	for _, other := range doubtful {
		since := heardAt
		if other != address && previous.heardAt.Before(since) {
			since = previous.heardAt
		}
		p.closeUnheard(other, since)
	}
}

// closeUnheard closes the idle connections to an address that have received nothing since the
// given time.
func (p *Pool) closeUnheard(address string, since time.Time) {
	p.mutex.Lock()
	list := p.idle[address]
	// The list is ordered by the time of the last answer.
	unheard := 0
	for unheard < len(list) && list[unheard].idleSince.Before(since) {
		unheard++
	}
	p.idle[address] = slices.Clone(list[unheard:])
	if unheard == len(list) {
		delete(p.idle, address)
	}
	p.mutex.Unlock()
	for _, idle := range list[:unheard] {
		_ = idle.connection.Close()
	}
}

// keepAliveTimeout returns the timeout in the value of a Keep-Alive field, zero without one.
func keepAliveTimeout(field string) time.Duration {
	for part := range strings.SplitSeq(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(name, "timeout") {
			if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return 0
}

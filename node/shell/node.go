package shell

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/api"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/decisions"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/node/shell/inspection"
	"github.com/valveslip/valveslip/overload"
	"github.com/valveslip/valveslip/relay"
	"github.com/valveslip/valveslip/relay/keyed"
	"github.com/valveslip/valveslip/routing/idempotency"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/wire"
)

// Bounds of the listeners' connections.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 120 * time.Second
	maxHeaderBytes = 64 << 10
)

// handoverTime bounds the handover of idempotency keys at the end of a drain.
const handoverTime = 5 * time.Second

// shutdownGrace bounds the closing of listeners and transport after a drain.
const shutdownGrace = 5 * time.Second

// Node is a running node.
type Node struct {
	config  node.Config
	options Options
	self    cluster.Node
	logger  *slog.Logger
	metrics *metrics

	mutex   sync.Mutex
	core    Stepper
	tickets relay.Tickets
	journal *decisions.Journal
	backend *inspection.Backend
	keys    *keyed.Runner

	identity  *identityFiles
	settings  atomic.Pointer[settings.Snapshot]
	transport Transport
	callers   *http.Server
	admin     *http.Server
	// listener of the callers, and the connections that it accepted.
	listener    net.Listener
	connections *connections

	keyValuePool, enginePool, platformPool *pool

	began   time.Time
	context context.Context
	cancel  context.CancelFunc
	// calls outlives context: a planned stop lets calls to the key-value
	// service end, so that leases are given back.
	calls       context.Context
	cancelCalls context.CancelFunc
	// admits ends when the node takes no more requests.
	admits       context.Context
	endAdmission context.CancelFunc
	tasks        sync.WaitGroup
	ready        atomic.Bool
	draining     atomic.Bool
	// lastRefused is when the draining node last answered a caller, in
	// nanoseconds since 1970 by the node's clock.
	lastRefused atomic.Int64
	lateness    *overload.Meter
	drained     chan struct{}
	drainedOnce sync.Once
	stopOnce    sync.Once
	stopped     chan struct{}
	failure     error
	// failures are the calls of which the log was told that they fail.
	failures eventlog.Failures
	// broken is the error of a listener that failed.
	broken atomic.Pointer[error]
}

// Start runs a node. It drains and stops when ctx ends or Stop is called.
func Start(ctx context.Context, config node.Config, options Options) (*Node, error) {
	options = options.withDefaults(config)
	n := &Node{
		config: config, options: options, began: options.Now(),
		tickets:      make(relay.Tickets),
		journal:      decisions.New(decisions.Config{}),
		keyValuePool: newPool(keyValueWorkers, keyValueQueue),
		enginePool:   newPool(engineWorkers, engineQueue),
		platformPool: newPool(platformWorkers, platformQueue),
		connections:  newConnections(),
		drained:      make(chan struct{}), stopped: make(chan struct{}),
	}
	n.backend = inspection.New(n, 0, n.options.Logger)
	n.calls, n.cancelCalls = context.WithCancel(context.WithoutCancel(ctx))
	n.context, n.cancel = context.WithCancel(n.calls)
	n.admits, n.endAdmission = context.WithCancel(n.calls)
	callers, admin, err := n.openSecured()
	if err != nil {
		n.cancelCalls()
		return nil, err
	}
	n.logger = n.options.Logger.With("node", string(n.self.ID))
	runner := relay.NewRunner(n, n.options.Engines, n.options.Relay)
	n.keys = keyed.NewRunner(runner, n, idempotency.Config{}, 0)
	n.metrics = newMetrics(n.self, newCollector(n, n.self))
	n.lateness = overload.New(n.takeTurn)
	n.serve(callers, admin)
	n.mutex.Lock()
	n.core = n.options.NewCore(n.self)
	n.mutex.Unlock()
	n.ready.Store(true)
	n.background(n.tick)
	n.background(func() { n.lateness.Run(n.context) })
	n.background(n.follow)
	n.logger.Info("node started", "zone", n.self.Zone, "callers", n.self.CallerAddress, "admin", n.self.AdminAddress, "peers", n.self.PeerAddress)
	go n.stopWith(ctx)
	return n, nil
}

// openSecured reads the TLS files and opens the listeners.
func (n *Node) openSecured() (callers, admin net.Listener, err error) {
	if n.identity, err = newIdentityFiles(n.config.TLS, n.options.Logger); err != nil {
		return nil, nil, err
	}
	return n.open()
}

// open opens the listeners and the transport, and so learns the node's
// addresses.
func (n *Node) open() (callers, admin net.Listener, err error) {
	if callers, err = listen(n.options.CallerListener, n.config.CallerAddress); err != nil {
		return nil, nil, eris.Wrap(err, "callers' listener")
	}
	if admin, err = listen(n.options.AdminListener, n.config.AdminAddress); err != nil {
		return nil, nil, errors.Join(eris.Wrap(err, "administration listener"), callers.Close())
	}
	n.transport, err = n.openTransport()
	if err != nil {
		return nil, nil, errors.Join(eris.Wrap(err, "peers' listener"), callers.Close(), admin.Close())
	}
	n.self = cluster.Node{
		ID: n.options.ID, Zone: n.config.Zone, Region: n.config.Region,
		PeerAddress: n.transport.Address(), AdminAddress: admin.Addr().String(), CallerAddress: callers.Addr().String(),
	}
	return callers, admin, nil
}

// openTransport opens the transport between nodes.
func (n *Node) openTransport() (Transport, error) {
	if n.options.NewTransport != nil {
		return n.options.NewTransport(n.config.PeerAddress, n.receive)
	}
	var options []wire.Option
	if n.config.TLS.PeerAuthorityFile != "" {
		options = append(options, wire.WithTLS(n.identity.peerServerConfig(), n.identity.peerClientConfig()))
	}
	return wire.NewTransport(n.config.PeerAddress, n.options.Logger, n.receive, options...)
}

// receive takes a message of a peer. Those that come before the node is put
// together are lost, as any message may be.
func (n *Node) receive(message wire.Message) {
	if !n.ready.Load() {
		return
	}
	if !n.backend.Handle(message) && !n.keys.Handle(message) {
		n.step(node.MessageReceived{Message: message})
	}
}

// listen returns the listener given, or a new one.
func listen(given net.Listener, address string) (net.Listener, error) {
	if given != nil {
		return given, nil
	}
	return net.Listen("tcp", address)
}

// serve starts both HTTP servers.
func (n *Node) serve(callers, admin net.Listener) {
	handler := api.NewCallers(api.CallersConfig{
		Node:         n.self.ID,
		Runner:       n.keys,
		Settings:     n.settings.Load,
		MaxBodyBytes: n.config.MaxBodyBytes,
		Logger:       n.logger,
		Now:          n.Now,
		Observe:      n.metrics.observe,
		Stopping:     n.admits,
	})
	n.callers = n.server(n.lingering(api.Bounded(handler, n.lateness.Take)))
	n.callers.ConnState = n.connections.note
	n.listener = n.connections.listen(callers)
	n.admin = n.server(n.adminHandler())
	go n.run(n.callers, n.listener)
	go n.run(n.admin, admin)
}

// server returns an HTTP server with the bounds of a listener.
func (n *Node) server(handler http.Handler) *http.Server {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(n.logger.Handler(), slog.LevelDebug),
	}
	if n.identity != nil {
		server.TLSConfig = n.identity.serverConfig()
	}
	return server
}

// run serves until the server is shut down.
func (n *Node) run(server *http.Server, listener net.Listener) {
	var err error
	if n.identity != nil {
		err = server.ServeTLS(listener, "", "")
	} else {
		err = server.Serve(listener)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		n.logger.Error("listener failed, node stops", "address", listener.Addr(), "error", err)
		n.broken.Store(&err)
		_ = n.Stop()
	}
}

// background runs a task that ends with the node's context.
func (n *Node) background(task func()) {
	n.tasks.Add(1)
	go func() {
		defer n.tasks.Done()
		task()
	}()
}

// takeTurn waits behind all goroutines that are ready to run, and behind all that wait for
// the core.
func (n *Node) takeTurn() {
	runtime.Gosched()
	n.mutex.Lock()
	defer n.mutex.Unlock()
}

// tick lets time pass for the core.
func (n *Node) tick() {
	ticker := time.NewTicker(node.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.step(node.Tick{})
		case <-n.context.Done():
			return
		}
	}
}

// inFlight counts requests that have not ended.
func (n *Node) inFlight() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return len(n.tickets)
}

// Self returns the node's identity with its real addresses.
func (n *Node) Self() cluster.Node { return n.self }

// Settings returns the snapshot in force, or nil.
func (n *Node) Settings() *settings.Snapshot { return n.settings.Load() }

// Journal returns the node's latest decisions.
func (n *Node) Journal() *decisions.Journal { return n.journal }

// Send sends a message to a peer; it may be lost.
func (n *Node) Send(address string, message wire.Message) { n.transport.Send(address, message) }

// Now is the time by which the core decides.
func (n *Node) Now() time.Time { return n.options.Now() }

// Inspect calls read with the composed core while nothing else uses it. It
// returns false without a call when the node runs another kind of core.
func (n *Node) Inspect(read func(core *node.Core)) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	core, composed := n.core.(*node.Core)
	if composed {
		read(core)
	}
	return composed
}

// joinTime is how long a node with seeds waits to learn of other nodes before it
// takes itself for the only one of its region.
const joinTime = 10 * time.Second

// Neighbours implements keyed.Peers: the other nodes of the region that are not
// held to be dead. Callers spread their repetitions over its zones.
func (n *Node) Neighbours() (neighbours []cluster.Node, known bool) {
	composed := n.Inspect(func(core *node.Core) {
		for _, member := range core.Members() {
			if !member.Running() || member.Node.ID == n.self.ID {
				continue
			}
			known = true
			if member.Node.Region == n.self.Region {
				neighbours = append(neighbours, member.Node)
			}
		}
	})
	alone := !composed || len(n.config.Seeds) == 0 || n.Now().Sub(n.began) > joinTime
	return neighbours, known || alone
}

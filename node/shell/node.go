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

// Limits of the listeners' connections.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 120 * time.Second
	maxHeaderBytes = 64 << 10
)

// handoverTimeout limits the handover of idempotency keys at the end of a drain.
const handoverTimeout = 5 * time.Second

// shutdownTimeout limits the closing of listeners and transport after a drain.
const shutdownTimeout = 5 * time.Second

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

	identity  *identityReloader
	settings  atomic.Pointer[settings.Snapshot]
	transport Transport
	callers   *http.Server
	admin     *http.Server
	// listener is the callers' listener, connections its open connections.
	listener    *trackingListener
	connections *connectionTracker

	keyValuePool, enginePool, platformPool *workerPool

	startedAt time.Time
	context   context.Context
	cancel    context.CancelFunc
	// callContext outlives context: during a graceful stop, calls to the key-value
	// service may complete, so that leases are released.
	callContext       context.Context
	cancelCallContext context.CancelFunc
	// admissionContext ends when the node stops accepting requests.
	admissionContext context.Context
	endAdmission     context.CancelFunc
	tasks            sync.WaitGroup
	ready            atomic.Bool
	draining         atomic.Bool
	// lastDrainRequest is the time of the last request received while draining, in
	// nanoseconds since 1970 by the node's clock.
	lastDrainRequest atomic.Int64
	latenessMeter    *overload.Meter
	drained          chan struct{}
	drainedOnce      sync.Once
	stopOnce         sync.Once
	stopped          chan struct{}
	stopError        error
	// callFailures remembers which failing calls have been logged.
	callFailures eventlog.Failures
	// listenerError is the error of a listener that failed.
	listenerError atomic.Pointer[error]
}

// Start runs a node. The node drains and stops when ctx ends or Stop is called.
func Start(ctx context.Context, config node.Config, options Options) (*Node, error) {
	options = options.withDefaults(config)
	n := &Node{
		config: config, options: options, startedAt: options.Now(),
		tickets:      make(relay.Tickets),
		journal:      decisions.New(decisions.Config{}),
		keyValuePool: newWorkerPool(keyValueWorkers, keyValueQueue),
		enginePool:   newWorkerPool(engineWorkers, engineQueue),
		platformPool: newWorkerPool(platformWorkers, platformQueue),
		connections:  newConnectionTracker(),
		drained:      make(chan struct{}), stopped: make(chan struct{}),
	}
	n.backend = inspection.New(n, 0, n.options.Logger)
	n.callContext, n.cancelCallContext = context.WithCancel(context.WithoutCancel(ctx))
	n.context, n.cancel = context.WithCancel(n.callContext)
	n.admissionContext, n.endAdmission = context.WithCancel(n.callContext)
	callers, admin, err := n.openListeners()
	if err != nil {
		n.cancelCallContext()
		return nil, err
	}
	n.logger = n.options.Logger.With("node", string(n.self.ID))
	runner := relay.NewRunner(n, n.options.Engines, n.options.Relay)
	n.keys = keyed.NewRunner(runner, n, idempotency.Config{}, 0)
	n.metrics = newMetrics(n.self, newCollector(n, n.self))
	n.latenessMeter = overload.New(n.waitForCoreTurn)
	n.serve(callers, admin)
	n.mutex.Lock()
	n.core = n.options.NewCore(n.self)
	n.mutex.Unlock()
	n.ready.Store(true)
	n.background(n.runTicker)
	n.background(func() { n.latenessMeter.Run(n.context) })
	n.background(n.reportStateChanges)
	n.logger.Info("node started", "zone", n.self.Zone, "callers", n.self.CallerAddress, "admin", n.self.AdminAddress, "peers", n.self.PeerAddress)
	go n.stopOnDone(ctx)
	return n, nil
}

// openListeners reads the TLS files and opens the listeners.
func (n *Node) openListeners() (callers, admin net.Listener, err error) {
	if n.identity, err = newIdentityReloader(n.config.TLS, n.options.Logger); err != nil {
		return nil, nil, err
	}
	return n.bindListeners()
}

// bindListeners opens the listeners and the transport and sets the node's identity
// with the bound addresses.
func (n *Node) bindListeners() (callers, admin net.Listener, err error) {
	if callers, err = listen(n.options.CallerListener, n.config.CallerAddress); err != nil {
		return nil, nil, eris.Wrap(err, "open caller listener")
	}
	if admin, err = listen(n.options.AdminListener, n.config.AdminAddress); err != nil {
		return nil, nil, errors.Join(eris.Wrap(err, "open administration listener"), callers.Close())
	}
	n.transport, err = n.openTransport()
	if err != nil {
		return nil, nil, errors.Join(eris.Wrap(err, "open peer listener"), callers.Close(), admin.Close())
	}
	n.self = cluster.Node{
		ID: n.options.ID, Zone: n.config.Zone, Region: n.config.Region,
		PeerAddress: n.transport.Address(), AdminAddress: admin.Addr().String(), CallerAddress: callers.Addr().String(),
	}
	return callers, admin, nil
}

// openTransport opens the transport for messages between nodes.
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

// receive handles a message from a peer. Messages that arrive before the node is
// initialized are dropped, which is safe because any message may be lost.
func (n *Node) receive(message wire.Message) {
	if !n.ready.Load() {
		return
	}
	if !n.backend.Handle(message) && !n.keys.Handle(message) {
		n.step(node.MessageReceived{Message: message})
	}
}

// listen returns the given listener, or a new one if it is nil.
func listen(given net.Listener, address string) (net.Listener, error) {
	if given != nil {
		return given, nil
	}
	return net.Listen("tcp", address)
}

// serve starts the caller and administration HTTP servers.
func (n *Node) serve(callers, admin net.Listener) {
	handler := api.NewCallers(api.CallersConfig{
		Node:            n.self.ID,
		Runner:          n.keys,
		Settings:        n.settings.Load,
		MaxBodyBytes:    n.config.MaxBodyBytes,
		Logger:          n.logger,
		Now:             n.Now,
		Observe:         n.metrics.observeRequest,
		ShutdownContext: n.admissionContext,
	})
	n.callers = n.newServer(n.closeConnectionsOnDrain(api.AdmissionHandler(handler, n.latenessMeter.Admit)))
	n.callers.ConnState = n.connections.connStateChanged
	n.listener = n.connections.wrapListener(callers)
	n.admin = n.newServer(n.adminHandler())
	go n.serveUntilShutdown(n.callers, n.listener, n.connections.endAccept)
	go n.serveUntilShutdown(n.admin, admin, func() {})
}

// newServer returns an HTTP server with the limits of a listener.
func (n *Node) newServer(handler http.Handler) *http.Server {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(n.logger.Handler(), slog.LevelDebug),
	}
	if n.identity != nil {
		server.TLSConfig = n.identity.serverConfig()
	}
	return server
}

// serveUntilShutdown serves until the server is shut down. If the listener fails, the
// node stops. acceptEnded is called once no more connections are accepted.
func (n *Node) serveUntilShutdown(server *http.Server, listener net.Listener, acceptEnded func()) {
	var err error
	if n.identity != nil {
		err = server.ServeTLS(listener, "", "")
	} else {
		err = server.Serve(listener)
	}
	acceptEnded()
	if !errors.Is(err, http.ErrServerClosed) {
		n.logger.Error("listener failed, stopping the node", "address", listener.Addr(), "error", err)
		n.listenerError.Store(&err)
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

// waitForCoreTurn returns once all goroutines that were ready to run, and all that
// were waiting for the core, have had their turn. The delay measures the node's
// overload.
func (n *Node) waitForCoreTurn() {
	runtime.Gosched()
	n.mutex.Lock()
	defer n.mutex.Unlock()
}

// runTicker sends Tick events to the core until the node stops.
func (n *Node) runTicker() {
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

// inFlight returns the number of unfinished requests.
func (n *Node) inFlight() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return len(n.tickets)
}

// Self returns the node's identity with its bound addresses.
func (n *Node) Self() cluster.Node { return n.self }

// Settings returns the settings in force, nil before the first are applied.
func (n *Node) Settings() *settings.Snapshot { return n.settings.Load() }

// Journal returns the record of the node's latest decisions.
func (n *Node) Journal() *decisions.Journal { return n.journal }

// Send sends a message to a peer. The message may be lost.
func (n *Node) Send(address string, message wire.Message) { n.transport.Send(address, message) }

// Now returns the time on which the core's decisions are based.
func (n *Node) Now() time.Time { return n.options.Now() }

// Inspect calls read with the composed core under the node's lock. It returns false
// without calling read if the node runs another kind of core.
func (n *Node) Inspect(read func(core *node.Core)) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	core, composed := n.core.(*node.Core)
	if composed {
		read(core)
	}
	return composed
}

// joinTimeout is how long a node with seeds waits to discover other nodes before it
// assumes that it is the only one of its region.
const joinTimeout = 10 * time.Second

// RegionMembers implements keyed.Peers. It returns the other running nodes of the region,
// among whose zones callers distribute their retries. known is false while the node
// may still discover others.
func (n *Node) RegionMembers() (members []cluster.Node, known bool) {
	composed := n.Inspect(func(core *node.Core) {
		for _, member := range core.Members() {
			if !member.Running() || member.Node.ID == n.self.ID {
				continue
			}
			known = true
			if member.Node.Region == n.self.Region {
				members = append(members, member.Node)
			}
		}
	})
	alone := !composed || len(n.config.Seeds) == 0 || n.Now().Sub(n.startedAt) > joinTimeout
	return members, known || alone
}

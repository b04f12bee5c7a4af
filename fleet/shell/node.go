package shell

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/fleet/feed"
	"github.com/valveslip/valveslip/internal/drainlistener"
	"github.com/valveslip/valveslip/overload"
	"github.com/valveslip/valveslip/passthrough"
	"github.com/valveslip/valveslip/passthrough/retained"
	"github.com/valveslip/valveslip/relay"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/upstream"
	"github.com/valveslip/valveslip/wire"
)

// Limits of the listeners' connections.
const (
	// headerTimeout and idleTimeout close unused connections. They are long so that no caller
	// that uses its connection is cut off.
	headerTimeout = 10 * time.Second
	idleTimeout   = 90 * time.Second
	// maxHeaderBytes limits the memory that a request takes before its route is known.
	maxHeaderBytes = 64 << 10
)

// compressionThresholdBytes is the size from which messages to other nodes are compressed. These
// are configurations, which relays send to dozens of nodes over links of 20 Mbit/s. Smaller
// messages fit into a few packets uncompressed.
const compressionThresholdBytes = 16 << 10

// MetricsPath is the path of the metrics endpoint.
const MetricsPath = "/metrics"

// Node is a running node.
type Node struct {
	options Options
	// startTime and epoch make the core's clock: epoch plus the time since startTime. It follows
	// the monotonic clock and never jumps.
	startTime time.Time
	epoch     time.Time

	mutex   sync.Mutex
	core    *fleet.Core
	tickets relay.Tickets
	timer   *time.Timer
	// timerDue is the core time at which the timer fires.
	timerDue time.Time

	compiled atomic.Pointer[catalog.Compiled]
	pool     *upstream.Pool
	// peerPool holds the connections to other nodes that carry requests for machines.
	peerPool  *upstream.Pool
	path      *machinePath
	peerProxy *passthrough.PeerProxy
	// retained accounts for the bytes that are buffered of requests and answers.
	retained *retained.Account
	registry *prometheus.Registry
	metrics  *metrics
	// storeCallCounts counts the store calls since the last log line on them.
	storeCallCounts storeCallCounts
	// failures remembers the causes of failed calls that were logged.
	failures eventlog.Failures

	transport      *wire.Transport
	callerHandler  *passthrough.Handler
	callerServer   *http.Server
	callerListener *drainlistener.Listener
	// callerConnections are those of callerServer.
	callerConnections drainlistener.Connections
	readinessServer   *http.Server
	metricsServer     *http.Server
	isReady           atomic.Bool
	// becameReady is closed once the node is ready for the first time.
	becameReady       chan struct{}
	stopping          atomic.Bool
	closesConnections atomic.Bool
	// refusesPeerRequests is set once a stopping node sends no more requests of other nodes.
	refusesPeerRequests atomic.Bool
	// admission limits the requests that are admitted in a planned stop; nil without one.
	admission atomic.Pointer[admissionLimit]
	// follower is nil until the node follows the store; messages and requests may arrive earlier.
	follower        atomic.Pointer[follower]
	schedulingDelay *overload.Meter

	context context.Context
	cancel  context.CancelFunc
	// acceptHoldContext ends when connections are accepted also while the process is overloaded.
	acceptHoldContext context.Context
	endAcceptHold     context.CancelFunc
	// listenerErrors receives the error of each listener that fails.
	listenerErrors chan error
	stopOnce       sync.Once
	stopped        chan struct{}
}

// Start starts a node, which runs until Stop or Kill.
func Start(options Options) (*Node, error) {
	options = options.withDefaults()
	now := options.Now()
	n := &Node{
		options: options, startTime: now, epoch: now.Round(0),
		tickets: make(relay.Tickets), retained: retained.NewAccount(options.CallerLimits.RetainedBytes),
		registry: prometheus.NewRegistry(), listenerErrors: make(chan error, 3), stopped: make(chan struct{}),
		becameReady: make(chan struct{}),
	}
	n.path = newMachinePath(n)
	machineConnections := options.Upstream
	machineConnections.OnData = n.path.dataArrived
	n.pool = upstream.NewPool(machineConnections)
	n.peerPool = upstream.NewPool(upstream.Options{SocketBytes: options.Upstream.SocketBytes, Now: options.Upstream.Now})
	n.schedulingDelay = overload.New(n.waitForTurn)
	n.context, n.cancel = context.WithCancel(context.Background())
	n.acceptHoldContext, n.endAcceptHold = context.WithCancel(n.context)
	n.metrics = newMetrics(n.registry, n)
	if err := n.openListeners(); err != nil {
		n.cancel()
		return nil, err
	}
	n.options.Log.Write(eventlog.NodeStarted{
		Zone: options.Core.Zone, Callers: options.CallersAddress, Peer: n.options.Core.Self.Address, Version: options.Version,
	})
	n.mutex.Lock()
	n.options.Core.ViewIsStale = n.viewIsStale
	n.core = fleet.New(n.options.Core, options.Seed)
	n.timer = time.AfterFunc(time.Hour, n.tick)
	n.stepLocked(fleet.Tick{})
	n.mutex.Unlock()
	f := newFollower(n)
	n.follower.Store(f)
	go f.run()
	go f.logStoreCalls()
	go n.schedulingDelay.Run(n.context)
	return n, nil
}

// openListeners opens the transport to other nodes and the HTTP listeners.
func (n *Node) openListeners() error {
	n.peerProxy = passthrough.NewPeerProxy(passthrough.PeerProxyConfig{
		Dialect: n.options.Dialect, Pool: n.pool, Path: n.path, Log: n.options.Log, FindMachine: n.findMachine, EntriesInclude: n.entriesInclude, Refuses: n.refusesPeers,
		Admits: n.admitsPeerRequest, Draining: n.stopping.Load, Report: n.Report, Retained: n.retained, MaxBodyBytes: n.maxBodyBytes,
	})
	transport, err := wire.NewTransport(n.options.PeerAddress, n.options.Logger, n.receive, wire.WithCompression(compressionThresholdBytes),
		wire.WithHandler(passthrough.PeerPath, maxHeaderBytes, n.peerProxy), wire.WithHandler(passthrough.PeerStartPath, maxHeaderBytes, n.peerProxy))
	if err != nil {
		return eris.Wrap(err, "open the listener for other nodes")
	}
	n.transport = transport
	n.options.Core.Self.Address = transport.Address()
	n.callerHandler = passthrough.NewHandler(passthrough.Config{
		Catalog: n.servingCatalog, CatalogReady: n.becameReady, Decider: n, Dialect: n.options.Dialect, Pool: n.pool, Self: n.options.Core.Self.ID, Peers: n.peerPool, Log: n.options.Log,
		Metrics: passthrough.NewMetrics(n.registry), NewID: n.newRequestID, Closing: n.closesConnections.Load, Admits: n.admits,
		NeedsFingerprint: n.needsFingerprint, FindKey: n.findKey, MaySend: n.checkSend, Path: n.path, EntriesInclude: n.entriesInclude, Retained: n.retained, MayAccept: n.admitRequest, MaxActiveRequests: n.options.CallerLimits.MaxRequestsInFlight,
	})
	if n.callerServer, err = n.startServer(&n.options.CallersAddress, n.callerHandler, n.limitCallers, n.callerConnections.Track); err != nil {
		return errors.Join(eris.Wrap(err, "open the listener for callers"), transport.Close(n.context))
	}
	readinessRouter := chi.NewRouter()
	readinessRouter.Get(n.options.ReadyPath, n.serveReadiness)
	if n.readinessServer, err = n.startServer(&n.options.ReadyAddress, readinessRouter, withSilenceLimit, nil); err != nil {
		return errors.Join(eris.Wrap(err, "open the listener for readiness probes"), transport.Close(n.context), n.callerServer.Close())
	}
	if n.options.MetricsAddress == "" {
		return nil
	}
	metricsRouter := chi.NewRouter()
	metricsRouter.Handle(MetricsPath, promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{DisableCompression: true}))
	if n.metricsServer, err = n.startServer(&n.options.MetricsAddress, metricsRouter, withSilenceLimit, nil); err != nil {
		n.options.Log.Write(eventlog.DependencyLost{Name: "metrics listener", Cause: err.Error()})
	}
	return nil
}

// startServer starts an HTTP server on a listener that it passes through wrap, and stores the
// listener's actual address in address. The server calls track as its ConnState.
func (n *Node) startServer(address *string, handler http.Handler, wrap func(net.Listener) net.Listener, track func(net.Conn, http.ConnState)) (*http.Server, error) {
	listener, err := n.options.Listen("tcp", *address)
	if err != nil {
		return nil, err
	}
	*address = listener.Addr().String()
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: track,
	}
	wrapped := wrap(listener)
	go func() {
		err := server.Serve(wrapped)
		closed := errors.Is(err, http.ErrServerClosed) || n.stopping.Load() && errors.Is(err, net.ErrClosed)
		if !closed {
			n.listenerErrors <- eris.Wrapf(err, "serve connections on listener %s", listener.Addr())
		}
	}()
	return server, nil
}

// ListenerErrors returns a channel that delivers the error of a listener that failed.
func (n *Node) ListenerErrors() <-chan error { return n.listenerErrors }

// waitForTurn returns after the goroutines that are ready to run, such as those of the network,
// and after those that wait for the core's mutex. The time that it takes is the scheduling delay
// of the process.
func (n *Node) waitForTurn() {
	runtime.Gosched()
	n.mutex.Lock()
	defer n.mutex.Unlock()
}

// needsFingerprint reports whether a request with this head needs a fingerprint, because a poison
// record may match it.
func (n *Node) needsFingerprint(head poison.Head) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.core != nil && n.core.NeedsFingerprint(head)
}

// serveReadiness answers the readiness probe.
func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !n.isReady.Load() || n.stopping.Load() || !n.servesKeyedRoutes() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// newRequestID returns an identifier for a request that has none.
func (n *Node) newRequestID() cluster.RequestID {
	return cluster.RequestID(string(n.options.Core.Self.ID) + "-" + strconv.FormatUint(rand.Uint64(), 36))
}

// Now implements passthrough.Decider and returns the core's time.
func (n *Node) Now() time.Time { return n.epoch.Add(n.options.Now().Sub(n.startTime)) }

// receive handles a message of another node.
func (n *Node) receive(message wire.Message) {
	switch m := message.(type) {
	case wire.StoreChanges:
		n.forwardToFollower(feed.UpdateReceived{Update: m})
	case wire.ClockTold:
		n.forwardToFollower(feed.ClockReceived{Told: m})
	case wire.StoreChangesRequest:
		n.forwardToFollower(feed.ChangesRequested{Request: m})
	case wire.StoreSnapshotRequest:
		n.forwardToFollower(feed.SnapshotRequested{Request: m})
	case wire.StoreSnapshot:
		n.forwardToFollower(feed.SnapshotReceived{Part: m})
	default:
		n.step(fleet.MessageReceived{Message: message})
	}
}

// forwardToFollower passes a peer's message to the follower. It drops a message that arrives
// before there is a follower, since the first read of the store brings the content.
func (n *Node) forwardToFollower(event feed.Event) {
	if f := n.follower.Load(); f != nil {
		f.receive(event)
	}
}

// step feeds one event to the core and starts the effects. It never waits for the network.
func (n *Node) step(event fleet.Event) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.core != nil {
		n.stepLocked(event)
	}
}

// stepLocked is step for a caller that holds the mutex.
func (n *Node) stepLocked(event fleet.Event) {
	now := n.Now()
	n.detectPause(now)
	n.stepCore(now, event)
}

// stepCore feeds one event to the core and starts the effects, without checking for a pause. The
// caller holds the mutex.
func (n *Node) stepCore(now time.Time, event fleet.Event) {
	for _, effect := range n.core.Step(now, event) {
		n.startEffect(effect)
	}
	if n.core.Ready() && !n.isReady.Load() {
		n.isReady.Store(true)
		close(n.becameReady)
		n.logStartStage(stageReady)
	}
	n.resetTimer(now)
}

// servingCatalog returns the configuration that requests are served by; nil until the node is
// ready.
func (n *Node) servingCatalog() *catalog.Compiled {
	if !n.isReady.Load() {
		return nil
	}
	return n.compiled.Load()
}

// The stages of the start that are logged.
const (
	stageRead  = "store read"
	stageReady = "ready"
)

// logStartStage logs that a stage of the start was reached and how long that took.
func (n *Node) logStartStage(name string) {
	n.options.Log.Write(eventlog.StartStage{Stage: name, After: n.options.Now().Sub(n.startTime)})
}

// resetTimer sets the timer to the time at which the core is next due.
func (n *Node) resetTimer(now time.Time) {
	due := n.core.NextDue()
	if due.Before(now) {
		due = now
	}
	if !n.timerDue.IsZero() && due.Equal(n.timerDue) {
		return
	}
	n.timerDue = due
	n.timer.Reset(max(due.Sub(now), 0))
}

// pauseThreshold is how late a due step must be for the process to count as paused. It is large
// so that ordinary scheduling delays do not trigger a full read of the store.
const pauseThreshold = 700 * time.Millisecond

// tick steps the core when the timer fires.
func (n *Node) tick() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.Now()
	n.detectPause(now)
	n.timerDue = time.Time{}
	n.stepCore(now, fleet.Tick{})
}

// detectPause checks whether the process or its machine was paused, such as by a suspension,
// before anything is decided by outdated knowledge: a pause shows as a due step that is late.
// After a pause the store is read in full again. A suspension delays the timer too, so every step
// checks and not only the timer's. The caller holds the mutex.
func (n *Node) detectPause(now time.Time) {
	delay := now.Sub(n.timerDue)
	if n.timerDue.IsZero() || delay <= pauseThreshold {
		return
	}
	n.timerDue = time.Time{}
	n.options.Log.Write(eventlog.PauseNoticed{Pause: delay})
	n.path.paused()
	n.stepCore(now, fleet.Paused{For: delay})
	if f := n.follower.Load(); f != nil {
		f.requestResync()
	}
}

// notify sends a signal unless one is already pending.
func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// startEffect starts one effect of the core. The caller holds the mutex.
func (n *Node) startEffect(effect fleet.Effect) {
	switch effect := effect.(type) {
	case fleet.RoutingOutput:
		n.tickets.Deliver(effect.Effect)
	case fleet.SendMessage:
		n.transport.Send(effect.Address, effect.Message)
	case fleet.LeaseCall:
		go n.callLease(effect)
	case fleet.StoreWrite:
		go n.callWrite(effect)
	case fleet.StoreDelete:
		go n.callDelete(effect)
	case fleet.WriteTicket:
		go n.callTicket(effect)
	case fleet.SendOrder:
		go n.callOrder(effect, n.Now())
	case fleet.ReadReport:
		go n.callReport(effect)
	case fleet.ConfigurationReceived:
		if f := n.follower.Load(); f != nil {
			f.configurationReceived(effect.Value)
		}
	case fleet.PeersChanged:
		n.path.peers.set(n.core.Nodes(), &n.options.Core.Self)
		if f := n.follower.Load(); f != nil {
			f.notifyPeersChanged()
		}
	case fleet.Log:
		n.options.Log.Write(effect.Line)
	}
}

// Submit implements relay.Decider.
func (n *Node) Submit(request routing.Request) *relay.Ticket {
	ticket := relay.NewTicket(nil)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if _, known := n.tickets[request.ID]; known {
		// Two requests with the same identifier can't be told apart.
		request.ID = n.newRequestID()
	}
	n.tickets[request.ID] = ticket
	n.stepLocked(fleet.RoutingInput{Event: routing.RequestArrived{Request: request}})
	return ticket
}

// Report implements relay.Decider.
func (n *Node) Report(event routing.Event) { n.step(fleet.RoutingInput{Event: event}) }

// Address returns the address of the callers' listener.
func (n *Node) Address() string { return n.options.CallersAddress }

// ReadyURL returns the URL of the readiness probe.
func (n *Node) ReadyURL() string { return "http://" + n.options.ReadyAddress + n.options.ReadyPath }

// MetricsURL returns the URL of the node's metrics; empty without a metrics listener.
func (n *Node) MetricsURL() string {
	if n.metricsServer == nil {
		return ""
	}
	return "http://" + n.options.MetricsAddress + MetricsPath
}

// HoldsOrderLease reports whether this node holds the lease for orders to the engines.
func (n *Node) HoldsOrderLease() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.core.HoldsOrderLease()
}

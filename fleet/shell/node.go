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
	"github.com/valveslip/valveslip/overload"
	"github.com/valveslip/valveslip/passthrough"
	"github.com/valveslip/valveslip/passthrough/retained"
	"github.com/valveslip/valveslip/relay"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/upstream"
	"github.com/valveslip/valveslip/wire"
)

// Bounds of the listeners' connections.
const (
	// headerTimeout and idleTimeout end connections that nobody uses; chosen so long
	// that no caller who does is cut off, not measured.
	headerTimeout = 10 * time.Second
	idleTimeout   = 90 * time.Second
	// maxHeaderBytes bounds the memory that a caller takes before its route is known.
	maxHeaderBytes = 64 << 10
)

// compressAbove is the size in bytes of messages to other nodes from which they are
// compressed: configurations, which relays send to dozens of nodes over links of
// 20 Mbit/s. What is smaller fits into a few packets as it is.
const compressAbove = 16 << 10

// MetricsPath is where the figures are served.
const MetricsPath = "/metrics"

// Node is a running node.
type Node struct {
	options Options
	// began and epoch make the core's clock: it follows the steady clock and
	// never jumps.
	began time.Time
	epoch time.Time

	mutex   sync.Mutex
	core    *fleet.Core
	tickets relay.Tickets
	timer   *time.Timer
	// wakeAt is when the timer is set to fire, in the core's time.
	wakeAt time.Time

	compiled atomic.Pointer[catalog.Compiled]
	pool     *upstream.Pool
	// retained counts the bytes that are kept of requests and answers.
	retained *retained.Account
	registry *prometheus.Registry
	metrics  *metrics
	// storeCounts are the calls to the store that the log has not told of.
	storeCounts storeCounts
	// failures are the calls of which the log was told that they fail.
	failures eventlog.Failures

	transport *wire.Transport
	callers   *http.Server
	ready     *http.Server
	figures   *http.Server
	isReady   atomic.Bool
	// known is closed once the node is ready for the first time.
	known    chan struct{}
	stopping atomic.Bool
	closing  atomic.Bool
	// admitsUntil is the last deadline that is taken during a planned stop, in
	// nanoseconds since the start; zero for any.
	admitsUntil atomic.Int64
	// follower is nil until the node follows the store; messages and callers may come before.
	follower atomic.Pointer[follower]
	lateness *overload.Meter

	context context.Context
	cancel  context.CancelFunc
	// failed holds the error of a listener that broke.
	failed   chan error
	stopOnce sync.Once
	stopped  chan struct{}
}

// Start runs a node until Stop.
func Start(options Options) (*Node, error) {
	options = options.withDefaults()
	now := options.Now()
	n := &Node{
		options: options, began: now, epoch: now.Round(0),
		tickets: make(relay.Tickets), pool: upstream.NewPool(options.Upstream), retained: retained.NewAccount(options.Callers.RetainedBytes),
		registry: prometheus.NewRegistry(), failed: make(chan error, 3), stopped: make(chan struct{}),
		known: make(chan struct{}),
	}
	n.lateness = overload.New(n.takeTurn)
	n.context, n.cancel = context.WithCancel(context.Background())
	n.metrics = newMetrics(n.registry, n)
	if err := n.open(); err != nil {
		n.cancel()
		return nil, err
	}
	n.options.Log.Write(eventlog.NodeStarted{
		Zone: options.Core.Zone, Callers: options.CallersAddress, Peer: n.options.Core.Self.Address, Version: options.Version,
	})
	n.mutex.Lock()
	n.core = fleet.New(n.options.Core, options.Seed)
	n.timer = time.AfterFunc(time.Hour, n.tick)
	n.stepLocked(fleet.Tick{})
	n.mutex.Unlock()
	f := newFollower(n)
	n.follower.Store(f)
	go f.run()
	go f.reportStoreCalls()
	go n.lateness.Run(n.context)
	return n, nil
}

// open opens the transport and the listeners.
func (n *Node) open() error {
	transport, err := wire.NewTransport(n.options.PeerAddress, n.options.Logger, n.receive, wire.WithCompression(compressAbove))
	if err != nil {
		return eris.Wrap(err, "peers' listener")
	}
	n.transport = transport
	n.options.Core.Self.Address = transport.Address()
	handler := passthrough.NewHandler(passthrough.Config{
		Catalog: n.catalog, Known: n.known, Decider: n, Dialect: n.options.Dialect, Pool: n.pool, Log: n.options.Log,
		Metrics: passthrough.NewMetrics(n.registry), NewID: n.newID, Closing: n.closing.Load, Admits: n.admits,
		KnowsPoison: n.knowsPoison, FindKey: n.findKey, MaySend: n.maySend, Retained: n.retained, MayTake: n.mayTake, MostUnderWay: n.options.Callers.Requests,
	})
	if n.callers, err = n.serve(&n.options.CallersAddress, handler, n.boundCallers); err != nil {
		return errors.Join(eris.Wrap(err, "callers' listener"), transport.Close(n.context))
	}
	probes := chi.NewRouter()
	probes.Get(n.options.ReadyPath, n.answerReady)
	if n.ready, err = n.serve(&n.options.ReadyAddress, probes, boundOthers); err != nil {
		return errors.Join(eris.Wrap(err, "readiness listener"), transport.Close(n.context), n.callers.Close())
	}
	if n.options.MetricsAddress == "" {
		return nil
	}
	figures := chi.NewRouter()
	figures.Handle(MetricsPath, promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{DisableCompression: true}))
	if n.figures, err = n.serve(&n.options.MetricsAddress, figures, boundOthers); err != nil {
		n.options.Log.Write(eventlog.DependencyLost{Name: "metrics listener", Cause: err.Error()})
	}
	return nil
}

// serve starts an HTTP server on a listener that is bounded, and stores the address it got.
func (n *Node) serve(address *string, handler http.Handler, bound func(net.Listener) net.Listener) (*http.Server, error) {
	listener, err := n.options.Listen("tcp", *address)
	if err != nil {
		return nil, err
	}
	*address = listener.Addr().String()
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	go func() {
		if err := server.Serve(bound(listener)); !errors.Is(err, http.ErrServerClosed) {
			n.failed <- eris.Wrapf(err, "listener %s", listener.Addr())
		}
	}()
	return server, nil
}

// Failed delivers the error of a listener that broke.
func (n *Node) Failed() <-chan error { return n.failed }

// takeTurn waits behind all goroutines that are ready to run, as what comes from the network
// does, and behind all that wait for the core.
func (n *Node) takeTurn() {
	runtime.Gosched()
	n.mutex.Lock()
	defer n.mutex.Unlock()
}

// knowsPoison reports whether the fingerprint of a request with this head matters now.
func (n *Node) knowsPoison(head poison.Head) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.core != nil && n.core.KnowsPoison(head)
}

// answerReady answers whether the node takes new connections.
func (n *Node) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !n.isReady.Load() || n.stopping.Load() || !n.serves() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// newID makes an identifier for a request without one.
func (n *Node) newID() cluster.RequestID {
	return cluster.RequestID(string(n.options.Core.Self.ID) + "-" + strconv.FormatUint(rand.Uint64(), 36))
}

// Now implements passthrough.Decider: the core's clock.
func (n *Node) Now() time.Time { return n.epoch.Add(n.options.Now().Sub(n.began)) }

// receive takes a message of another node.
func (n *Node) receive(message wire.Message) {
	switch m := message.(type) {
	case wire.StoreChanges:
		n.follow(feed.UpdateReceived{Update: m})
	case wire.ClockTold:
		n.follow(feed.ClockHeard{Told: m})
	case wire.StoreChangesRequest:
		n.follow(feed.ChangesRequested{Request: m})
	case wire.StoreSnapshotRequest:
		n.follow(feed.SnapshotRequested{Request: m})
	case wire.StoreSnapshot:
		n.follow(feed.SnapshotReceived{Part: m})
	default:
		n.step(fleet.MessageReceived{Message: message})
	}
}

// follow hands a peer's message to what follows the store. Before there is that, the message
// is dropped: the first reading of the store brings more.
func (n *Node) follow(event feed.Event) {
	if f := n.follower.Load(); f != nil {
		f.receive(event)
	}
}

// step feeds one event to the core and begins its effects. Nothing in it waits
// for the network.
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
	n.noticePause(now)
	n.advance(now, event)
}

// advance feeds one event to the core. The caller holds the mutex.
func (n *Node) advance(now time.Time, event fleet.Event) {
	for _, effect := range n.core.Step(now, event) {
		n.begin(effect)
	}
	if n.core.Ready() && !n.isReady.Load() {
		n.isReady.Store(true)
		close(n.known)
		n.stage(stageReady)
	}
	n.schedule(now)
}

// catalog is the configuration that requests go by, nil until the node also knows what else
// it needs to serve.
func (n *Node) catalog() *catalog.Compiled {
	if !n.isReady.Load() {
		return nil
	}
	return n.compiled.Load()
}

// The stages of a start that have a line of their own in the log.
const (
	stageRead  = "store read"
	stageReady = "ready"
)

// stage tells the log how long after the start a stage was reached.
func (n *Node) stage(name string) {
	n.options.Log.Write(eventlog.StartStage{Stage: name, After: n.options.Now().Sub(n.began)})
}

// schedule sets the timer for the core's next time.
func (n *Node) schedule(now time.Time) {
	due := n.core.NextDue()
	if due.Before(now) {
		due = now
	}
	if !n.wakeAt.IsZero() && due.Equal(n.wakeAt) {
		return
	}
	n.wakeAt = due
	n.timer.Reset(max(due.Sub(now), 0))
}

// pauseThreshold is by how much a step that is due must be late for the process to have stood
// still; chosen, not measured.
const pauseThreshold = 700 * time.Millisecond

// tick lets time pass for the core.
func (n *Node) tick() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.Now()
	n.noticePause(now)
	n.wakeAt = time.Time{}
	n.advance(now, fleet.Tick{})
}

// noticePause finds that the process or its machine stood still, before anything is decided
// by what was known: no step came when one was due. The store is read again then. After a
// suspension the timer is late by as much, so each step asks, not the timer's alone. The
// caller holds the mutex.
func (n *Node) noticePause(now time.Time) {
	late := now.Sub(n.wakeAt)
	if n.wakeAt.IsZero() || late <= pauseThreshold {
		return
	}
	n.wakeAt = time.Time{}
	n.options.Log.Write(eventlog.PauseNoticed{Pause: late})
	n.advance(now, fleet.Paused{For: late})
	if f := n.follower.Load(); f != nil {
		f.invalidate()
	}
}

// signalOnce wakes a receiver unless a signal waits already.
func signalOnce(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// begin starts one effect. The caller holds the mutex.
func (n *Node) begin(effect fleet.Effect) {
	switch effect := effect.(type) {
	case fleet.RoutingOutput:
		n.tickets.Deliver(effect.Effect)
	case fleet.SendMessage:
		n.transport.Send(effect.Address, effect.Message)
	case fleet.LeaseCall:
		go n.callLease(effect)
	case fleet.StoreWrite:
		go n.callWrite(effect)
	case fleet.StoreTicket:
		go n.callTicket(effect)
	case fleet.SendOrder:
		go n.callOrder(effect, n.Now())
	case fleet.ReadReport:
		go n.callReport(effect)
	case fleet.PeersSettled:
		if f := n.follower.Load(); f != nil {
			f.peersSettled()
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
		// Two requests under one identifier can't be told apart.
		request.ID = n.newID()
	}
	n.tickets[request.ID] = ticket
	n.stepLocked(fleet.RoutingInput{Event: routing.RequestArrived{Request: request}})
	return ticket
}

// Report implements relay.Decider.
func (n *Node) Report(event routing.Event) { n.step(fleet.RoutingInput{Event: event}) }

// Address is where callers are served.
func (n *Node) Address() string { return n.options.CallersAddress }

// ReadyURL tells whether the node takes new connections.
func (n *Node) ReadyURL() string { return "http://" + n.options.ReadyAddress + n.options.ReadyPath }

// MetricsURL is where the node's figures are, empty without a listener for them.
func (n *Node) MetricsURL() string {
	if n.figures == nil {
		return ""
	}
	return "http://" + n.options.MetricsAddress + MetricsPath
}

// Holding reports whether this node gives the orders.
func (n *Node) Holding() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.core.Holding()
}

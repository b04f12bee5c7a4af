package shell

import (
	"context"
	"math/rand/v2"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

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
	case fleet.ReadReleases:
		go n.callReleases()
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

// HoldsOrderLease reports whether this node holds the lease for orders to the engines.
func (n *Node) HoldsOrderLease() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.core.HoldsOrderLease()
}

package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet/dispatch"
	"github.com/valveslip/valveslip/fleet/lending"
	"github.com/valveslip/valveslip/fleet/origins"
	"github.com/valveslip/valveslip/fleet/pacing"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/reachability"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

// Core composes the deciding cores of one node. It is not safe for concurrent use; a shell
// serializes the calls of Step.
type Core struct {
	config       Config
	now          time.Time
	compiled     *catalog.Compiled
	router       *routing.Router
	view         *machineView
	nodes        nodeSet
	peerNotifier *peerNotifier
	nodeLease    *nodeLease
	controller   *controller
	poison       *poisonSync
	gate         *gate
	lending      *lending.Core
	// dispatchClient is nil if each node places its attempts itself.
	dispatchClient *dispatchClient
	pacer          *pacer
	releases       *releaseTracker
	resumptions    *resumptions
	archive        *originArchive
	limits         *limitRecorder
	unstored       *unstoredState
	reporter       demandReporter
	synced         bool
	// era is the era of the store that this node has known since eraSince. eraChanged is set once it has
	// known another one.
	era        keyvalue.Era
	eraSince   time.Time
	eraChanged bool
	// restarted is set once the store has shown a record of an earlier process of this machine.
	restarted bool
	// reportedRouters is the last node count that was sent to the router.
	reportedRouters routing.RoutersChanged
	effects         []Effect
	// withheldAttempts are attempts that the gate ended. They are reported to the router after it
	// has handled the current event.
	withheldAttempts []routing.AttemptEnded
	// routerDepth is the number of nested router steps whose effects are being handled.
	routerDepth int
}

// New returns a core without any configuration, machines or peers.
func New(config Config, seed uint64) *Core {
	config = config.withDefaults()
	config.Routing.Zone, config.Routing.Region = config.Zone, config.Regions[config.Zone]
	core := &Core{config: config, nodes: newNodeSet()}
	core.peerNotifier = &peerNotifier{core: core}
	core.view = newMachineView(core)
	config.Routing.MinLoadTime = core.view.minLoadTime
	config.Routing.ReleaseOf = core.view.releaseOf
	config.Routing.MayBegin = func(machine cluster.MachineID) bool { return core.releases.mayBegin(machine) }
	config.Routing.MixedReleases = func(model cluster.ModelID) bool { return core.releases.mayBeMixed(serviceOf(model)) }
	if config.Dispatching {
		core.dispatchClient = newDispatchClient(core)
		config.Routing.ListAlternatives = core.dispatchClient.targetsEngines
	}
	config.Routing.FirstStart = config.FirstStart
	core.router = routing.New(config.Routing, seed)
	core.nodeLease = newNodeLease(core)
	core.controller = newController(core)
	core.poison = newPoisonSync(core)
	core.gate = newGate(core)
	core.lending = lending.New(config.Lending)
	core.pacer = newPacer(core)
	core.releases = newReleaseTracker(core)
	core.resumptions = newResumptions(core)
	core.archive = newOriginArchive(core)
	core.limits = newLimitRecorder(core)
	core.unstored = &unstoredState{core: core}
	return core
}

// Step handles one event at the given time and returns the effects in the order in which they
// must be started. The slice is valid until the next Step.
func (c *Core) Step(now time.Time, event Event) []Effect {
	c.now = now
	c.effects = c.effects[:0]
	switch e := event.(type) {
	case Tick:
		c.feedRouter(routing.Tick{})
	case RoutingInput:
		c.handleRoutingInput(e.Event)
	case KeysProven:
		c.gate.recordProof(e.At)
	case ConfigurationRead:
		c.applyConfiguration(e)
	case WorkersRead:
		c.applyWorkers(e)
	case NodesRead:
		c.applyNodes(e)
	case HolderRead:
		c.controller.holderRead(e)
	case LastHolderRead:
		c.controller.lastHolderRead(e)
	case ReleasesRead:
		c.releases.recordRead(e)
	case ReleasesAnswered:
		c.resumptions.releasesAnswered(&e)
	case OriginsRead:
		c.archive.read(&e)
	case LimitsRead:
		c.limits.read(&e)
	case EraBegan:
		c.eraBegan(e.Era)
	case StoreSynced:
		c.synced = true
		c.releases.synced()
		c.releaseDispatches()
	case Paused:
		c.releases.suspended = true
		c.feedRouter(routing.DispatchesPaused{Until: now.Add(c.config.PauseHold)})
		c.poison.peersQueried = false
		c.poison.queryPeers()
	case MessageReceived:
		c.handleMessage(e.Message)
	case LeaseAnswered:
		c.leaseAnswered(e)
	case OrderAnswered:
		c.controller.orderAnswered(e)
	case ReportRead:
		c.controller.feedLedger(e.Read)
		c.controller.planStale = true
	case ResignStarted:
		c.controller.resign()
		c.feedLending(lending.Stopping{})
	case TicketWritten:
		c.feedLending(lending.TicketGranted{Shard: e.Shard, Number: e.Number})
	case PoisonRead:
		c.poison.recordsRead(e)
	case StoreWritten:
		c.poison.writeAnswered(e)
		c.archive.writeAnswered(e)
	case MachinePathChanged:
		c.machinePathChanged(e.State)
	case DrainStarted:
		c.feedRouter(routing.DrainStarted{})
	}
	c.peerNotifier.tick()
	c.view.tick()
	c.dropUnconfirmedNodes()
	c.nodeLease.tick()
	c.controller.tick()
	c.reporter.tick(c)
	c.poison.tick()
	c.gate.tick()
	if c.dispatchClient != nil {
		c.dispatchClient.tick()
	}
	if due := c.lending.NextDue(); !due.IsZero() && !now.Before(due) {
		c.feedLending(lending.Tick{})
	}
	c.pacer.tick()
	c.releases.tick()
	c.resumptions.tick()
	c.archive.tick()
	c.limits.tick()
	c.unstored.tick()
	return c.effects
}

// NextDue returns the time of the next required Tick.
func (c *Core) NextDue() time.Time {
	due := []time.Time{c.peerNotifier.due(), c.nodeLease.due(), c.controller.due(), c.reporter.due(c), c.view.due(), c.poison.due(), c.lending.NextDue(), c.pacer.due(), c.releases.due(), c.resumptions.due(), c.archive.due(), c.limits.due(), c.unstored.due()}
	if c.dispatchClient != nil {
		due = append(due, c.dispatchClient.due())
	}
	if at, waiting := c.router.NextDeadline(); waiting {
		due = append(due, at)
	}
	next := c.now.Add(maxTickInterval)
	for _, at := range due {
		if !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	return next
}

// maxTickInterval is the longest time without a Tick, since the gate's checks announce no due
// time of their own.
const maxTickInterval = time.Second

// Nodes returns the live nodes, at most one per machine, in no particular order.
func (c *Core) Nodes() []NodeEntry { return slices.Collect(maps.Values(c.nodes.live)) }

// Machines returns the number of machines that have an entry.
func (c *Core) Machines() int { return len(c.view.machines) }

// ProbeTarget is a machine that can be asked whether it can be reached.
type ProbeTarget struct {
	Address string
	// HealthPath is where it is asked, empty for a machine with an engine.
	HealthPath string
}

// ProbeTargets returns the machines that don't leave, in no particular order.
func (c *Core) ProbeTargets() []ProbeTarget {
	targets := make([]ProbeTarget, 0, len(c.view.machines))
	for _, known := range c.view.machines {
		if known.worker.Draining || c.compiled == nil {
			continue
		}
		service := c.compiled.Service(known.worker.Service)
		switch {
		case service == nil:
		case service.Engine != nil:
			targets = append(targets, ProbeTarget{Address: known.worker.Address})
		case service.HealthPath != "":
			targets = append(targets, ProbeTarget{Address: known.worker.Address, HealthPath: service.HealthPath})
		}
	}
	return targets
}

// MachineAddress returns the address of a machine, and false if it has no entry.
func (c *Core) MachineAddress(id cluster.MachineID) (string, bool) {
	known := c.view.machines[id]
	if known == nil {
		return "", false
	}
	return known.worker.Address, true
}

// MachineBlocked reports whether a machine takes no requests from this node now, because it leaves or
// has asked for a rest.
func (c *Core) MachineBlocked(now time.Time, id cluster.MachineID) bool {
	return c.view.addressOf(id) == "" || c.router.Leaving(id) || c.router.Resting(now, id)
}

// Ready reports whether the node has a configuration, has read the whole store and has been told what the store may
// lack.
func (c *Core) Ready() bool { return c.compiled != nil && c.synced && !c.unstored.waiting() }

// NeedsFingerprint reports whether a request with this head may match a known poison request, so
// that its fingerprint must be computed.
func (c *Core) NeedsFingerprint(head poison.Head) bool { return c.router.NeedsFingerprint(head) }

// PoisonCounts returns the numbers of suspected and of blocked poison requests.
func (c *Core) PoisonCounts() (suspected, blocked int) { return c.router.PoisonCounts() }

// MaySend checks at the moment of a send whether the request may still be sent. It returns the
// reason if it must not be, else nil.
func (c *Core) MaySend(now time.Time, id cluster.RequestID) *verdict.Error {
	return c.gate.maySend(now, id)
}

// KeyProofAge returns the age of the proof that the configured caller keys are current. It returns
// false if there is no proof.
func (c *Core) KeyProofAge(now time.Time) (time.Duration, bool) { return c.gate.proofAge(now) }

// ShardsLent returns the number of tenant shards whose tokens this node lends.
func (c *Core) ShardsLent() int { return c.lending.ShardsLent() }

// Tenants lists the state of the tenants whose tokens this node lends.
func (c *Core) Tenants() []lending.TenantState { return c.lending.Tenants() }

// TenantTallies returns the counts of requests of limited tenants that this node decided.
func (c *Core) TenantTallies() []lending.Tally { return c.lending.Tallies() }

// CanServe reports whether callers who need a key can be served: the keys are proven to be current
// and the lenders of tokens can be reached.
func (c *Core) CanServe(now time.Time) bool {
	return !c.gate.proofExpired(now) && !c.lending.Isolated()
}

// DispatchCounts returns how attempts at engines were placed so far.
func (c *Core) DispatchCounts() DispatchCounts {
	if c.dispatchClient == nil {
		return DispatchCounts{}
	}
	counts := c.dispatchClient.counts
	counts.Known = c.dispatchClient.dispatcher.TrackedAttempts()
	return counts
}

// StreamOrigins returns the number of streams of which this node knows the release at which they began.
func (c *Core) StreamOrigins() int { return c.resumptions.origins.Known() }

// InFlight returns the number of requests that have not ended.
func (c *Core) InFlight() int {
	return c.router.InFlight() + c.gate.heldArrivals() + c.resumptions.heldCount()
}

// StoreCapacity returns the estimated number of concurrent loads that the weight store sustains,
// learned by this node as the lease holder or read from the last holder's record.
func (c *Core) StoreCapacity() int { return cmp.Or(c.controller.learnedStoreLoads, initialStoreLoads) }

// HoldsOrderLease reports whether this node holds the order lease and its term has begun.
func (c *Core) HoldsOrderLease() bool { return c.controller.ledger.Holding() }

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

func (c *Core) log(line eventlog.Event) { c.emit(Log{Line: line}) }

func (c *Core) send(address string, message wire.Message) {
	if address != "" {
		c.emit(SendMessage{Address: address, Message: message})
	}
}

// feedLending hands an event to the lending core and carries out its effects.
func (c *Core) feedLending(event lending.Event) {
	for _, effect := range slices.Clone(c.lending.Step(c.now, event)) {
		switch e := effect.(type) {
		case lending.Send:
			c.send(e.Address, e.Message)
		case lending.TokensDecided:
			c.gate.handleTokensAnswer(e)
		case lending.TicketRequested:
			if c.ticketsLost(e.Lasts) {
				continue
			}
			c.emit(WriteTicket{Key: KeyTickets + strconv.Itoa(e.Shard), Lasts: e.Lasts, Shard: e.Shard, Number: e.Number})
		case lending.LeaseChanged:
			c.log(eventlog.LendingChanged{Shard: e.Shard, Held: e.Held, Settled: e.Settled})
		}
	}
	c.reportWithheld()
}

// handleMessage handles a message of another node.
func (c *Core) handleMessage(message wire.Message) {
	switch m := message.(type) {
	case wire.Demand:
		c.controller.demandReceived(m)
	case wire.CellStatus:
		c.view.statusReceived(&m)
	case wire.PoisonReport:
		c.poison.reportReceived(m.FromAddress, recordsOf(&m))
	case wire.PartReport:
		c.poison.reportReceived(m.FromAddress, m.Records)
	case wire.LenderClaim, wire.LenderVote, wire.TokensRequest, wire.TokensAnswer:
		c.feedLending(lending.MessageReceived{Message: message})
	case wire.StreamOrigins, wire.StreamOriginsReceived, wire.StreamOriginRequest, wire.StreamOriginAnswer:
		c.resumptions.step(origins.MessageReceived{Message: message})
	case wire.UnstoredStateRequest:
		c.unstored.requested(&m)
	case wire.UnstoredState:
		c.unstored.answered(&m)
	case wire.MachineLimit:
		c.pacer.limitReceived(&m)
	case wire.TurnRequest, wire.TurnAnswer, wire.TurnReturned:
		c.pacer.step(pacing.MessageReceived{Message: message})
	case wire.EngineRequest, wire.EngineAnswer, wire.EngineNews:
		if c.dispatchClient != nil {
			c.dispatchClient.step(dispatch.MessageReceived{Message: message})
		}
	}
}

// releaseDispatches lets requests be dispatched once the store has been read and other nodes have
// had time to answer the query for poison requests.
func (c *Core) releaseDispatches() {
	until := c.poison.holdUntil
	if c.unstored.waiting() {
		until = maxTime(until, c.unstored.waitUntil)
	}
	if c.now.Before(until) {
		c.feedRouter(routing.DispatchesPaused{Until: until})
		return
	}
	c.feedRouter(routing.DispatchesResumed{})
}

// machinePathChanged handles a change of this node's path to machines.
func (c *Core) machinePathChanged(state reachability.State) {
	c.controller.pathLost = state == reachability.Lost
	if state != reachability.Connected {
		c.feedRouter(routing.BackOffsCleared{})
	}
}

// leaseAnswered handles the answer to a call for one of the node's leases.
func (c *Core) leaseAnswered(answered LeaseAnswered) {
	switch answered.Record {
	case RecordNode:
		c.nodeLease.leaseAnswered(answered.Answer)
	case RecordHolder:
		c.controller.leaseAnswered(answered.Answer)
	}
}

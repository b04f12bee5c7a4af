package fleet

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/authority/sequence"
	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/demand"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/keyvalue/lease"
	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/wire"
)

const (
	// minPlanInterval is the shortest time between two plans, maxPlanInterval the longest. A plan
	// takes planTimePerMachine of one core for each machine. The interval grows with the number
	// of machines so that planning takes at most planCPUShare of the node's capacity, but stays
	// short because requests for a model or adapter that isn't loaded wait for the next plan.
	minPlanInterval    = 15 * time.Millisecond
	maxPlanInterval    = time.Second
	planTimePerMachine = 6 * time.Microsecond
	planCPUShare       = 0.2
	// waitingPlanInterval is the time between plans while requests wait: shorter than
	// maxPlanInterval, since these requests are served only after a plan orders their model.
	waitingPlanInterval = 200 * time.Millisecond
	// demandExpiry is the age at which the demand of a silent node is dropped: five of its
	// reports are missing by then.
	demandExpiry = 5 * time.Second
	// engineReportGrace bounds how long a new lease holder waits for engines to report: it then
	// plans without the ones that are missing.
	engineReportGrace = 400 * time.Millisecond
	// adapterLoadTime is the expected load time of an adapter, because the configuration states
	// load times of models only.
	adapterLoadTime = 25 * time.Millisecond
	// initialStoreLoads is the limit of concurrent loads from the weight store before any load
	// was observed, since the configuration does not state how many the store sustains.
	initialStoreLoads = 4
	// burstAllowanceShare is the share of the loads that a window allows beyond its steady rate
	// that may begin at once, plus burstLoads: the rest is reserved for orders that arrive late.
	burstAllowanceShare = 0.6
	burstLoads          = 1.5
)

// controller decides which models are loaded where. It acquires the order lease, aggregates
// demand, plans and sends orders.
type controller struct {
	core   *Core
	lease  *lease.Client
	ledger *sequence.Ledger
	demand *demand.Aggregator
	// planner is created anew for each term.
	planner *placement.AdaptivePlanner
	// allotment allows any number of replicas of each model.
	allotment *cluster.Allotment
	// longestPause is the longest pause within an engine's stream that is acceptable to all
	// routes.
	longestPause time.Duration

	// holder is the last known holder of the order lease.
	holder NodeEntry
	// lastHolder is the machine that last gave orders, and lastHolderRevision the store revision
	// of its record.
	lastHolder         NodeEntry
	lastHolderRevision keyvalue.Revision
	// lostToken is the token of the lease that this node lost last, and lostUntil until when that lease
	// would have lasted.
	lostToken cluster.FencingToken
	lostUntil time.Time
	// cachedRank is the number of nodes that precede this one as candidates; valid while
	// rankCached is set.
	cachedRank int
	rankCached bool
	// holderKnown is set once the holder's record, or its absence, has been read.
	holderKnown bool
	// vacantSince is when the holder's record was first found absent.
	vacantSince time.Time
	retryAt     time.Time
	renewAt     time.Time
	// ordersFrom is the time from which orders may be given in this term.
	ordersFrom time.Time
	termBegan  bool
	// skipOrderPause is set if no other machine can have orders under way: this machine was the
	// last to give orders, or the system has started for the first time.
	skipOrderPause bool
	lastPlanAt     time.Time
	// planStale is set if the planner's input has changed since the last plan.
	planStale bool
	// resignedAt is when a planned stop began, zero before.
	resignedAt time.Time
	// pathLost is set while this node has no path to engines. yieldedAt is when it stopped giving
	// orders because of that, zero while it may give them.
	pathLost       bool
	yieldedAt      time.Time
	statusSequence uint64
	// learnedStoreLoads is the number of concurrent loads that the weight store was last learned
	// to sustain, by this holder or the previous one; zero if unknown.
	learnedStoreLoads int
	// loadDelays are the models that requests wait for without an order, with the cause.
	loadDelays map[cluster.ModelID]loadDelay
}

func newController(core *Core) *controller {
	caller := leaseCaller{core: core, record: RecordHolder}
	return &controller{
		core: core, ledger: sequence.New(), demand: demand.New(),
		lease: lease.New(caller, KeyHolder, core.config.Self.Encode(), core.config.HolderTTL),
	}
}

// tick acquires or renews the lease, begins the term and plans.
func (c *controller) tick() {
	now := c.core.now
	if !c.mustYield() && !c.yieldedAt.IsZero() {
		c.resumeTerm()
	}
	switch {
	case !c.resignedAt.IsZero():
		c.finishResigning()
		return
	case c.mustYield():
		c.yield()
		return
	case !c.lease.IsHolder():
		c.tryAcquire()
		return
	case !now.Before(c.renewAt):
		c.renewAt = now.Add(c.core.config.HolderTTL / renewalsPerHolderTTL)
		c.lease.Renew()
	}
	if !c.termBegan && !now.Before(c.ordersFrom) {
		c.beginTerm()
	}
	if !c.mayOrder() {
		return
	}
	c.feedLedger(sequence.Tick{})
	c.demand.Expire(now, demandExpiry)
	c.plan()
}

// due returns the time of the next required tick, zero for none.
func (c *controller) due() time.Time {
	now := c.core.now
	if !c.resignedAt.IsZero() {
		if c.lease.IsHolder() {
			return c.resignedAt.Add(resignDelay)
		}
		return time.Time{}
	}
	if c.mustYield() {
		if c.lease.IsHolder() {
			return maxTime(c.yieldedAt.Add(resignDelay), now)
		}
		return time.Time{}
	}
	if !c.lease.IsHolder() {
		if !c.holderKnown || c.vacantSince.IsZero() {
			return time.Time{}
		}
		at := c.candidacyTime()
		if at.Before(c.retryAt) {
			at = c.retryAt
		}
		return at
	}
	next := c.renewAt
	if !c.termBegan {
		next = earliest(next, c.ordersFrom)
	}
	if c.mayOrder() {
		if at, due := c.ledger.NextDue(); due {
			next = earliest(next, at)
		}
		next = earliest(next, c.nextPlanAt())
	}
	if next.Before(now) {
		return now
	}
	return next
}

// demandReceived records a node's demand while this node holds the lease.
func (c *controller) demandReceived(received wire.Demand) {
	if c.ledger.Holding() {
		c.demand.Record(c.core.now, received)
	}
}

// registerMachine hands a machine's entry to the ledger if the machine runs an engine.
func (c *controller) registerMachine(worker *catalog.Worker) {
	service := c.core.compiled.Service(worker.Service)
	if service == nil || service.Engine == nil {
		return
	}
	c.feedLedger(sequence.MachineSeen{
		Worker: *worker, MemoryBytes: service.Engine.MemoryBytes, AdapterSlots: service.Engine.AdapterSlots,
	})
	c.planStale = true
}

// orderAnswered handles the answer to an order.
func (c *controller) orderAnswered(answered OrderAnswered) {
	outcome := answered.Answer.Outcome.String()
	if answered.Answer.Err != nil {
		outcome = "unknown: " + answered.Answer.Err.Error()
	}
	c.core.log(eventlog.OrderAnswered{
		Machine: answered.Order.Machine, Order: answered.Order.Kind.String(), Work: answered.Order.Model,
		Outcome: outcome, Took: answered.Took,
	})
	c.feedLedger(answered.Answer)
	c.planStale = true
}

// feedLedger hands an event to the ledger and carries out its effects. Each order sent is also
// passed to the observers.
func (c *controller) feedLedger(event sequence.Event, observe ...func(sequence.Order)) {
	var changes []wire.ReplicaRecord
	for _, effect := range c.ledger.Step(c.core.now, event) {
		switch e := effect.(type) {
		case sequence.SendOrder:
			for _, see := range observe {
				see(e.Order)
			}
			c.core.emit(SendOrder{Send: e})
		case sequence.ReadReport:
			c.core.emit(ReadReport{Read: e})
		case sequence.ReplicaChanged:
			c.planStale = true
			changes = append(changes, wire.ReplicaRecord{Machine: e.Machine, Model: e.Model, State: e.State, ReadyIn: e.ReadyIn})
			c.core.log(eventlog.ReplicaChanged{Machine: e.Machine, Work: e.Model, State: e.State.String(), Took: e.Took})
		case sequence.Superseded:
			c.stepDown("an engine follows a later holder")
		}
	}
	c.publish(changes)
}

// publish reports replica changes to this node and to the nodes whose callers want the models.
// All other nodes read the changes in the machines' entries.
func (c *controller) publish(changes []wire.ReplicaRecord) {
	if len(changes) == 0 {
		return
	}
	c.statusSequence++
	status := wire.CellStatus{
		From: c.core.config.Self.ID, FromAddress: c.core.config.Self.Address, Token: c.lease.Token(),
		Sequence: c.statusSequence, Replicas: changes,
	}
	c.core.view.statusReceived(&status)
	concerned := func(wanted cluster.ModelID) bool {
		return slices.ContainsFunc(changes, func(change wire.ReplicaRecord) bool {
			service, name, _ := catalog.Split(wanted)
			return change.Model == wanted || change.Model == catalog.ModelID(service, name)
		})
	}
	for _, id := range c.demand.RoutersNaming(concerned) {
		if id != c.core.config.Self.ID {
			c.core.send(c.core.nodes.live[id].Address, status)
		}
	}
}

package fleet

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/authority/sequence"
	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/demand"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/keyvalue/lease"
	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/wire"
)

const (
	// planSpacing is the least time between two plans, planInterval the longest. A plan looks at
	// each machine for planWork of a whole core, and the spacing grows so that planning takes
	// planPart of what the node has: a model or adapter that is asked for waits for the plan.
	planSpacing  = 15 * time.Millisecond
	planInterval = time.Second
	planWork     = 6 * time.Microsecond
	planPart     = 0.2
	// waitingPlan spaces plans while requests wait; chosen, not measured.
	waitingPlan = 200 * time.Millisecond
	// demandTimeout is when a silent node's demand is forgotten: five of its reports are missing
	// by then.
	demandTimeout = 5 * time.Second
	// sealGrace is how long a new holder waits for engines to report before it plans without them;
	// chosen, not measured.
	sealGrace = 400 * time.Millisecond
	// adapterTime is the expected time of an adapter's load; chosen, not measured.
	adapterTime = 25 * time.Millisecond
	// firstLoads is how many loads from the weight store may be under way at once before
	// any was observed: nothing states how many it bears.
	firstLoads = 4
	// burstShare of what a window allows beyond its steady loads may begin at once,
	// and burstLoads more; the rest is for orders that arrive late.
	burstShare = 0.6
	burstLoads = 1.5
)

// cell is this node's part in deciding what is loaded where: the lease, the
// demand, the plans and the orders.
type cell struct {
	core   *Core
	lease  *lease.Client
	ledger *sequence.Ledger
	demand *demand.Ledger
	// planner is made anew for each term.
	planner *placement.AdaptivePlanner
	// allotment lets the planner hold any number of each model.
	allotment *cluster.Allotment
	// longestPause in the streams of engines that is in time for all routes.
	longestPause time.Duration

	// holder is the node that gives orders, as far as is known.
	holder NodeEntry
	// last is the machine that gave orders last, by a record of the revision.
	last         NodeEntry
	lastRevision int64
	// ranked is how many nodes come before this one, while rankKnown is set.
	ranked    int
	rankKnown bool
	// known is set once the holder's record, or its absence, was read.
	known bool
	// vacantSince is when the record was first seen absent.
	vacantSince time.Time
	retryAt     time.Time
	renewAt     time.Time
	// actAt is from when orders may be given in this term.
	actAt time.Time
	began bool
	// succeeds is set when no other machine can have given orders: this one gave
	// the last, or the system has just been started for the first time.
	succeeds bool
	planned  time.Time
	news     bool
	resigned time.Time
	sequence uint64
	// bears is how many loads at once the weight store was last learned to bear, by this
	// holder or the one before it; zero for not.
	bears int
	// delayed are the models that requests wait for without an order, and why.
	delayed map[cluster.ModelID]delay
}

func newCell(core *Core) *cell {
	caller := leaseCaller{core: core, record: RecordHolder}
	return &cell{
		core: core, ledger: sequence.New(), demand: demand.New(),
		lease: lease.New(caller, KeyHolder, core.config.Self.Encode(), core.config.HolderTTL),
	}
}

// tick takes or renews the lease, begins the term, and plans.
func (c *cell) tick() {
	now := c.core.now
	switch {
	case !c.resigned.IsZero():
		c.finishResigning()
		return
	case !c.lease.Holding():
		c.stand()
		return
	case !now.Before(c.renewAt):
		c.renewAt = now.Add(c.core.config.HolderTTL / renewalsPerHold)
		c.lease.Renew()
	}
	if !c.began && !now.Before(c.actAt) {
		c.beginTerm()
	}
	if !c.mayOrder() {
		return
	}
	c.ledgerStep(sequence.Tick{})
	c.demand.Expire(now, demandTimeout)
	c.plan()
}

// due returns when the next tick has something to do.
func (c *cell) due() time.Time {
	now := c.core.now
	if !c.resigned.IsZero() {
		if c.lease.Holding() {
			return c.resigned.Add(resignTime)
		}
		return time.Time{}
	}
	if !c.lease.Holding() {
		if !c.known || c.vacantSince.IsZero() {
			return time.Time{}
		}
		at := c.turn()
		if at.Before(c.retryAt) {
			at = c.retryAt
		}
		return at
	}
	next := c.renewAt
	if !c.began {
		next = earliest(next, c.actAt)
	}
	if c.mayOrder() {
		if at, due := c.ledger.NextDue(); due {
			next = earliest(next, at)
		}
		next = earliest(next, c.planDue())
	}
	if next.Before(now) {
		return now
	}
	return next
}

// demandReceived takes a node's demand.
func (c *cell) demandReceived(received wire.Demand) {
	if c.ledger.Holding() {
		c.demand.Note(c.core.now, received)
	}
}

// machineSeen hands a machine's entry to the ledger if it runs an engine.
func (c *cell) machineSeen(worker *catalog.Worker) {
	service := c.core.compiled.Service(worker.Service)
	if service == nil || service.Engine == nil {
		return
	}
	c.ledgerStep(sequence.MachineSeen{
		Worker: *worker, MemoryBytes: service.Engine.MemoryBytes, AdapterSlots: service.Engine.AdapterSlots,
	})
	c.news = true
}

// orderAnswered takes the answer to an order.
func (c *cell) orderAnswered(answered OrderAnswered) {
	outcome := answered.Answer.Outcome.String()
	if answered.Answer.Err != nil {
		outcome = "unknown: " + answered.Answer.Err.Error()
	}
	c.core.log(eventlog.OrderAnswered{
		Machine: answered.Order.Machine, Order: answered.Order.Kind.String(), Work: answered.Order.Model,
		Outcome: outcome, Took: answered.Took,
	})
	c.ledgerStep(answered.Answer)
	c.news = true
}

// ledgerStep feeds the ledger and carries out its effects. Each order that it
// sends is shown to the observers.
func (c *cell) ledgerStep(event sequence.Event, observe ...func(sequence.Order)) {
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
			c.news = true
			changes = append(changes, wire.ReplicaRecord{Machine: e.Machine, Model: e.Model, State: e.State, ReadyIn: e.ReadyIn})
			c.core.log(eventlog.ReplicaChanged{Machine: e.Machine, Work: e.Model, State: e.State.String(), Took: e.Took})
		case sequence.Superseded:
			c.stepDown("an engine follows a later holder")
		}
	}
	c.publish(changes)
}

// publish tells this node and those whose callers want the models what became of
// replicas. All others read it in the machines' entries.
func (c *cell) publish(changes []wire.ReplicaRecord) {
	if len(changes) == 0 {
		return
	}
	c.sequence++
	status := wire.CellStatus{
		From: c.core.config.Self.ID, FromAddress: c.core.config.Self.Address, Token: c.lease.Token(),
		Sequence: c.sequence, Replicas: changes,
	}
	c.core.view.statusReceived(&status)
	concerned := func(wanted cluster.ModelID) bool {
		return slices.ContainsFunc(changes, func(change wire.ReplicaRecord) bool {
			service, name, _ := catalog.Split(wanted)
			return change.Model == wanted || change.Model == catalog.ModelID(service, name)
		})
	}
	for _, id := range c.demand.Wanting(concerned) {
		if id != c.core.config.Self.ID {
			c.core.send(c.core.nodes.live[id].Address, status)
		}
	}
}

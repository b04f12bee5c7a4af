package fleet

import (
	"cmp"
	"math/bits"
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
	// candidacyStep delays the attempts of nodes to take the lease: the first
	// singleTurns of them stand alone, after that each turn has twice as many as the
	// one before, so that a few calls suffice when the first ones live and the last
	// of hundreds stands within two seconds when they don't. A step is enough for two
	// calls and for the record to be read: 4 ms an answer and a poll each 300 ms,
	// of which one that comes too late costs a refused write.
	candidacyStep = 120 * time.Millisecond
	singleTurns   = 6
	// renewalsPerHold is how often the holder renews its lease within its time.
	renewalsPerHold = 5
	// orderShare is the part of the lease's time since the last renewal in which
	// orders are given; the rest keeps a holder from ordering until the end.
	orderShare = 0.5
	// planSpacing is the least time between two plans, longer by planPerMachine
	// for each machine, and planInterval the longest.
	planSpacing    = 15 * time.Millisecond
	planPerMachine = 150 * time.Microsecond
	planInterval   = time.Second
	// waitingPlan spaces plans while requests wait.
	waitingPlan = 200 * time.Millisecond
	// demandTimeout is when a silent node's demand is forgotten.
	demandTimeout = 5 * time.Second
	// resignTime is how long a stopping holder keeps the lease without ordering.
	resignTime = time.Second
	// sealGrace is how long a new holder waits for engines to report before it
	// plans without them.
	sealGrace = 400 * time.Millisecond
	// adapterTime is the expected time of an adapter's load.
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

	// holder is the node that gives orders, as far as is known.
	holder NodeEntry
	// last is the machine that gave orders last, by a record of the revision.
	last         NodeEntry
	lastRevision int64
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

// holderRead takes the record of the lease.
func (c *cell) holderRead(read HolderRead) {
	c.known = true
	if read.Node.ID == c.core.config.Self.ID {
		c.holder, c.vacantSince = read.Node, time.Time{}
		return
	}
	if c.holder.ID != read.Node.ID {
		c.core.log(eventlog.LeaseChanged{Holder: read.Node.ID, Token: read.Token, Cause: "record read"})
	}
	c.holder = read.Node
	if c.own(read.Node) {
		// An earlier start of this node, which has ended: its place is taken at
		// once. It is not removed first, because whoever finds the record absent
		// takes it to have lapsed.
		c.lease.Replace(read.Token)
		c.vacantSince = c.core.now
		return
	}
	c.lease.Replace(0)
	switch {
	case read.Node.ID == "":
		if c.vacantSince.IsZero() {
			c.vacantSince = c.core.now
		}
	default:
		c.vacantSince = time.Time{}
		if c.lease.Holding() && read.Token > c.lease.Token() {
			c.stepDown("another node holds the lease")
		}
		c.core.reporter.next = c.core.now
	}
}

// lastRead takes the record of the last holder and what it learned.
func (c *cell) lastRead(read LastHolderRead) {
	c.last, c.lastRevision = read.Node, read.Revision
	if read.Node.Bears > 0 && !c.began {
		c.bears = read.Node.Bears
	}
}

// own reports whether an entry is of this node's machine.
func (c *cell) own(entry NodeEntry) bool {
	return entry.Machine != "" && entry.Machine == c.core.config.Self.Machine
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

// stand tries to take the lease when there is no holder and the nodes ranked
// before this one have had their turn.
func (c *cell) stand() {
	now := c.core.now
	if !c.known || c.core.compiled == nil || c.vacantSince.IsZero() || now.Before(c.retryAt) {
		return
	}
	if now.Before(c.turn()) {
		return
	}
	c.retryAt = now.Add(c.core.config.HolderTTL / renewalsPerHold)
	if c.lease.Lease() == 0 {
		// A write whose answer was lost may have put this machine on record already:
		// what was read before the first try decides.
		c.succeeds = c.own(c.last) && c.last.Acting || c.core.config.FirstStart && c.lastRevision == 0
	}
	c.lease.WriteBeside(lease.Beside{Key: KeyLast, Value: c.lastEntry(c.succeeds), Revision: c.lastRevision})
	c.lease.Acquire()
}

// lastEntry is the record of this machine as the last holder.
func (c *cell) lastEntry(acting bool) []byte {
	entry := c.core.config.Self
	entry.Acting, entry.Bears = acting, c.bears
	return entry.Encode()
}

// turn is when this node may try to take the vacant lease: at once on the machine
// that gave orders last, since it need not wait for its own, else by rank. Planning
// takes processor time, so machines of greater capacity come first.
func (c *cell) turn() time.Time {
	if c.own(c.last) {
		return c.vacantSince
	}
	return c.vacantSince.Add(time.Duration(turnOf(c.rank())) * candidacyStep)
}

// turnOf is the turn of the node that a number of others come before.
func turnOf(rank int) int {
	if rank < singleTurns {
		return rank + 1
	}
	return singleTurns + bits.Len(uint(rank-singleTurns+1))
}

// rank counts the live nodes whose turn comes before this one's.
func (c *cell) rank() int {
	self, rank := &c.core.config.Self, 0
	for id, entry := range c.core.nodes {
		if id == self.ID {
			continue
		}
		if cmp.Or(cmp.Compare(entry.Capacity, self.Capacity), cmp.Compare(self.ID, id)) > 0 {
			rank++
		}
	}
	return rank
}

// leaseAnswered takes the answer to a call for the lease.
func (c *cell) leaseAnswered(answer lease.Answer) {
	switch c.lease.Answered(answer) {
	case lease.Won:
		c.won()
	case lease.Taken:
		value, token := c.lease.Holder()
		if entry, err := DecodeNodeEntry(value); err == nil {
			c.holderRead(HolderRead{Node: entry, Token: token})
		}
	case lease.Gone:
		c.stepDown("the lease ran out")
		c.vacantSince = c.core.now
	case lease.NoAnswer:
		c.renewAt = c.core.now.Add(c.core.config.HolderTTL / renewalsPerHold / 2)
	}
}

// won notes that the lease is this node's. A holder before it gave its last order
// at most orderShare of the lease's time after its last renewal.
func (c *cell) won() {
	config := &c.core.config
	now := c.core.now
	c.holder, c.vacantSince = config.Self, time.Time{}
	c.renewAt = now.Add(config.HolderTTL / renewalsPerHold)
	c.began = false
	c.actAt = now
	if !c.succeeds {
		rest := time.Duration((1 - orderShare) * float64(config.HolderTTL))
		c.actAt = now.Add(max(config.OrderPause-rest, 0) + orderMargin)
	}
	c.core.log(eventlog.LeaseChanged{Holder: config.Self.ID, Token: c.lease.Token(), Own: true, Cause: "won"})
}

// orderMargin is added to the pause between the orders of two holders.
const orderMargin = 150 * time.Millisecond

// beginTerm starts giving orders.
func (c *cell) beginTerm() {
	c.began = true
	if !c.succeeds {
		c.writeLast()
	}
	config := c.plannerConfig()
	config.AssumeStarts = !c.core.config.FirstStart || c.lastRevision != 0
	c.planner = placement.NewPlanner(config)
	c.ledgerStep(sequence.TermBegan{Holder: c.core.config.Self.ID, Token: c.lease.Token()})
	c.news = true
}

// writeLast writes the record of the last holder.
func (c *cell) writeLast() {
	c.core.emit(LeaseCall{Record: RecordHolder, Call: lease.Call{Operation: lease.Txn, Txn: keyvalue.Transaction{
		Compares:   []keyvalue.Compare{{Key: KeyHolder, ModRevision: int64(c.lease.Token())}},
		Operations: []keyvalue.Operation{{Key: KeyLast, Value: c.lastEntry(true)}},
	}}})
}

// stepDown ends the term.
func (c *cell) stepDown(cause string) {
	if c.lease.Holding() || c.began {
		c.core.log(eventlog.LeaseChanged{Token: c.lease.Token(), Cause: cause})
	}
	c.lease.Reset()
	c.began = false
	c.ledgerStep(sequence.TermEnded{})
	if c.holder.ID == c.core.config.Self.ID {
		c.holder = NodeEntry{}
	}
}

// resign ends orders at once and gives the lease back a little later, so that the
// next holder's wait counts from a time at which this one gave none.
func (c *cell) resign() {
	if !c.resigned.IsZero() {
		return
	}
	c.resigned = c.core.now
	c.ledgerStep(sequence.TermEnded{})
}

func (c *cell) finishResigning() {
	if c.lease.Holding() && c.core.now.Sub(c.resigned) >= resignTime {
		c.lease.Release()
	}
}

// mayOrder reports whether orders may be given now. Where engines don't check
// tokens, the time since the last renewal alone keeps this holder apart from the
// next one. Where they do, a holder that can't reach the store goes on: no one
// else is then in the place to order, or engines tell.
func (c *cell) mayOrder() bool {
	if !c.ledger.Holding() {
		return false
	}
	allowed := time.Duration(orderShare * float64(c.core.config.HolderTTL))
	return c.core.config.FencingEnforced || c.core.now.Sub(c.lease.SentAt()) < allowed
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
			c.core.send(c.core.nodes[id].Address, status)
		}
	}
}

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
	"github.com/valveslip/valveslip/fleet/pacing"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

// Core composes the deciding cores. It is not safe for concurrent use; a shell
// serializes Step.
type Core struct {
	config   Config
	now      time.Time
	compiled *catalog.Compiled
	router   *routing.Router
	view     *machineView
	nodes    nodeSet
	peers    *peerNews
	record   *nodeRecord
	cell     *cell
	poison   *poisonKeeper
	gate     *gate
	lending  *lending.Core
	// dispatching is nil where nodes place attempts by themselves.
	dispatching *dispatching
	pacer       *pacer
	reporter    demandReporter
	synced      bool
	// succeeds is set once the store showed a record of an earlier process of this machine.
	succeeds bool
	// sharers is the last count of nodes that the router was told.
	sharers routing.RoutersChanged
	effects []Effect
	// withheld are attempts that the gate ended, of which the router is told once it has
	// taken the event at hand.
	withheld []routing.AttemptEnded
	// depth counts the router's steps whose effects are being taken.
	depth int
}

// New returns a core that knows nothing yet.
func New(config Config, seed uint64) *Core {
	config = config.withDefaults()
	config.Routing.Zone, config.Routing.Region = config.Zone, config.Regions[config.Zone]
	core := &Core{config: config, nodes: newNodeSet()}
	core.peers = &peerNews{core: core}
	core.view = newMachineView(core)
	config.Routing.LeastLoad = core.view.leastLoad
	if config.Dispatching {
		core.dispatching = newDispatching(core)
		config.Routing.ListAlternatives = core.dispatching.concerns
	}
	core.router = routing.New(config.Routing, seed)
	core.record = newNodeRecord(core)
	core.cell = newCell(core)
	core.poison = newPoisonKeeper(core)
	core.gate = newGate(core)
	core.lending = lending.New(config.Lending)
	core.pacer = newPacer(core)
	return core
}

// Step takes one event at the given time and returns the effects in the order
// they must begin. The slice is valid until the next Step.
func (c *Core) Step(now time.Time, event Event) []Effect {
	c.now = now
	c.effects = c.effects[:0]
	switch e := event.(type) {
	case Tick:
		c.routing(routing.Tick{})
	case RoutingInput:
		c.routingInput(e.Event)
	case KeysProven:
		c.gate.proven(e.At)
	case ConfigurationRead:
		c.configurationRead(e.Compiled)
	case WorkersRead:
		c.workersRead(e)
	case NodesRead:
		c.nodesRead(e)
	case HolderRead:
		c.cell.holderRead(e)
	case LastHolderRead:
		c.cell.lastRead(e)
	case StoreSynced:
		c.synced = true
		c.released()
	case Paused:
		c.routing(routing.DispatchesHeld{Until: now.Add(c.config.PauseHold)})
		c.poison.asked = false
		c.poison.ask()
	case MessageReceived:
		c.messageReceived(e.Message)
	case LeaseAnswered:
		c.leaseAnswered(e)
	case OrderAnswered:
		c.cell.orderAnswered(e)
	case ReportRead:
		c.cell.ledgerStep(e.Read)
		c.cell.news = true
	case ResignStarted:
		c.cell.resign()
		c.lend(lending.Stopping{})
	case TicketTaken:
		c.lend(lending.TicketGranted{Shard: e.Shard, Number: e.Number})
	case PoisonRead:
		c.poison.read(e)
	case StoreWritten:
		c.poison.written(e)
	case DrainStarted:
		c.routing(routing.DrainStarted{})
	}
	c.peers.tick()
	c.view.tick()
	c.record.tick()
	c.cell.tick()
	c.reporter.tick(c)
	c.poison.tick()
	c.gate.tick()
	if c.dispatching != nil {
		c.dispatching.tick()
	}
	if due := c.lending.NextDue(); !due.IsZero() && !now.Before(due) {
		c.lend(lending.Tick{})
	}
	c.pacer.tick()
	return c.effects
}

// NextDue returns when the next Tick has something to do.
func (c *Core) NextDue() time.Time {
	due := []time.Time{c.peers.due(), c.record.due(), c.cell.due(), c.reporter.due(c), c.view.due(), c.poison.due(), c.lending.NextDue(), c.pacer.due()}
	if c.dispatching != nil {
		due = append(due, c.dispatching.due())
	}
	if at, waiting := c.router.NextDeadline(); waiting {
		due = append(due, at)
	}
	next := c.now.Add(maxIdle)
	for _, at := range due {
		if !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	return next
}

// maxIdle is the longest time without a Tick; chosen, not measured.
const maxIdle = time.Second

// Nodes returns the live nodes, one of each machine, in no order.
func (c *Core) Nodes() []NodeEntry { return slices.Collect(maps.Values(c.nodes.live)) }

// Ready reports whether the node knows what it needs to serve.
func (c *Core) Ready() bool { return c.compiled != nil && c.synced }

// KnowsPoison reports whether the fingerprint of a request with this head matters now.
func (c *Core) KnowsPoison(head poison.Head) bool { return c.router.KnowsPoison(head) }

// PoisonCounts returns how many requests are suspected to end machines, and convicted.
func (c *Core) PoisonCounts() (suspected, convicted int) { return c.router.PoisonCounts() }

// MaySend says in the instant of a send why a request must not be sent any more, nil if it
// may be.
func (c *Core) MaySend(now time.Time, id cluster.RequestID) *verdict.Error {
	return c.gate.maySend(now, id)
}

// KeysAge is how old the proof is that the keys of callers are those in force; false where
// there is none.
func (c *Core) KeysAge(now time.Time) (time.Duration, bool) { return c.gate.age(now) }

// ShardsLent counts the shards of tenants of which this node lends the tokens.
func (c *Core) ShardsLent() int { return c.lending.ShardsLent() }

// Tenants lists how the tenants stand of which this node lends the tokens.
func (c *Core) Tenants() []lending.TenantState { return c.lending.Tenants() }

// TenantTallies counts the requests of tenants with a limit of which this node decided.
func (c *Core) TenantTallies() []lending.Tally { return c.lending.Tallies() }

// Serves reports whether callers who need a key can be served: the keys are proven, and
// whoever lends tokens can be reached.
func (c *Core) Serves(now time.Time) bool { return !c.gate.unproven(now) && !c.lending.Deaf() }

// DispatchCounts tells how attempts at engines were placed so far.
func (c *Core) DispatchCounts() DispatchCounts {
	if c.dispatching == nil {
		return DispatchCounts{}
	}
	counts := c.dispatching.counts
	counts.Known = c.dispatching.place.Known()
	return counts
}

// InFlight counts the requests that have not ended.
func (c *Core) InFlight() int { return c.router.InFlight() + c.gate.arriving() }

// StoreCapacity is how many loads at once the weight store is believed to bear, by this
// node as the holder or by the last holder's record.
func (c *Core) StoreCapacity() int { return cmp.Or(c.cell.bears, firstLoads) }

// Holding reports whether this node gives the orders.
func (c *Core) Holding() bool { return c.cell.ledger.Holding() }

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

func (c *Core) log(line eventlog.Event) { c.emit(Log{Line: line}) }

func (c *Core) send(address string, message wire.Message) {
	if address != "" {
		c.emit(SendMessage{Address: address, Message: message})
	}
}

// lend feeds what lends and borrows tokens.
func (c *Core) lend(event lending.Event) {
	for _, effect := range slices.Clone(c.lending.Step(c.now, event)) {
		switch e := effect.(type) {
		case lending.Send:
			c.send(e.Address, e.Message)
		case lending.Answered:
			c.gate.answered(e)
		case lending.TicketWanted:
			c.emit(StoreTicket{Key: KeyTickets + strconv.Itoa(e.Shard), Lasts: e.Lasts, Shard: e.Shard, Number: e.Number})
		case lending.LeaseChanged:
			c.log(eventlog.LendingChanged{Shard: e.Shard, Held: e.Held, Settled: e.Settled})
		}
	}
	c.endWithheld()
}

// messageReceived takes a message of another node.
func (c *Core) messageReceived(message wire.Message) {
	switch m := message.(type) {
	case wire.Demand:
		c.cell.demandReceived(m)
	case wire.CellStatus:
		c.view.statusReceived(&m)
	case wire.PoisonReport:
		c.poison.told(&m)
	case wire.LenderClaim, wire.LenderVote, wire.TokensRequest, wire.TokensAnswer:
		c.lend(lending.Received{Message: message})
	case wire.MachineLimit:
		c.pacer.told(&m)
	case wire.TurnRequest, wire.TurnAnswer:
		c.pacer.step(pacing.MessageReceived{Message: message})
	case wire.EngineRequest, wire.EngineAnswer, wire.EngineNews:
		if c.dispatching != nil {
			c.dispatching.step(dispatch.Received{Message: message})
		}
	}
}

// released lets requests go once the store has been read, and other nodes have had the time
// to answer.
func (c *Core) released() {
	if until := c.poison.heldUntil; c.now.Before(until) {
		c.routing(routing.DispatchesHeld{Until: until})
		return
	}
	c.routing(routing.DispatchesReleased{})
}

// leaseAnswered takes the answer to a call for one of the records.
func (c *Core) leaseAnswered(answered LeaseAnswered) {
	switch answered.Record {
	case RecordNode:
		c.record.answered(answered.Answer)
	case RecordHolder:
		c.cell.leaseAnswered(answered.Answer)
	}
}

package node

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/authority"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/membership"
	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/replication"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/weights"
	"github.com/valveslip/valveslip/wire"
)

// Intervals and timeouts of the composed core, measured by the time that the shell
// passes to Step.
const (
	// TickInterval is the time between two Tick events from a shell.
	TickInterval = 100 * time.Millisecond
	// demandInterval is the time between a router's demand reports while requests wait,
	// quietDemandInterval the time between them while none waits. A model that gets its
	// first waiting request is reported at once, at most every minNewDemandInterval.
	demandInterval       = time.Second
	quietDemandInterval  = 3 * time.Second
	minNewDemandInterval = 25 * time.Millisecond
	// idleDemandInterval is the time after which an empty report is repeated.
	idleDemandInterval = 10 * time.Second
	// statusInterval is the time between two statuses that a controller publishes in its
	// own zone; changes are published at the next Tick.
	statusInterval = 2 * time.Second
	// remoteStatusInterval is the time between two statuses published to other zones.
	remoteStatusInterval = 10 * time.Second
	// planInterval is the time between two plans of a controller while nothing changes.
	// After new demand or a new inventory it plans at once, at most every
	// minPlanInterval.
	planInterval    = time.Second
	minPlanInterval = 25 * time.Millisecond
	// busyInventoryInterval is the default time between two inventory reads of a machine
	// with orders in progress.
	busyInventoryInterval = 150 * time.Millisecond
	// storeStatusInterval is the time between two reads of the weight store's status.
	storeStatusInterval = time.Second
	// loadReportInterval is the time between two reads of the engines' load reports.
	loadReportInterval = 2 * time.Second
	// zoneReportInterval is the time between two reports of a controller to the
	// apportioner. It reports at once when it starts to apply another allotment.
	zoneReportInterval = 5 * time.Second
	// apportionInterval is the time between two divisions of replica counts.
	apportionInterval = 2 * time.Second
	// cellStatusTimeout is the time without a status after which a router drops a cell.
	cellStatusTimeout = 30 * time.Second
	// leaseTTL is the time to live of the controller and apportioner leases.
	leaseTTL = 6 * time.Second
	// routerDemandTimeout is the time after which a controller drops the demand of a
	// silent router.
	routerDemandTimeout = 25 * time.Second
)

// CoreConfig configures a Core. The zero value of each part selects its documented
// defaults.
type CoreConfig struct {
	Self  cluster.Node
	Seeds []string
	// Seed initializes all pseudo-random choices of this node.
	Seed        uint64
	Routing     routing.Config
	Placement   placement.Config
	Membership  membership.Config
	Replication replication.Config
	Controller  authority.ControllerConfig
	// NewPlanner creates the planner each time this node becomes a controller; nil
	// selects the adaptive planner.
	NewPlanner func() placement.Planner
}

// Core is the decision logic of one node, without clock, network or goroutines: it
// composes the cores for membership, replication, routing and control. It is not safe
// for concurrent use.
type Core struct {
	config            CoreConfig
	self              cluster.Node
	members           *membership.Core
	replication       *replication.Core
	router            *routing.Router
	cells             *cellDirectory
	keyValue          *keyValueReader
	cellRole          *cellRole
	apportioner       *apportionerRole
	demand            *demandReporter
	machinePoller     *machinePoller
	prefixes          prefixReporter
	draining          bool
	drained           bool
	nextRoutersUpdate time.Time
	lastRouters       routing.RoutersChanged

	now     time.Time
	effects []Effect
}

// NewCore returns a core in its initial state.
func NewCore(config CoreConfig) *Core {
	config.Routing.Zone, config.Routing.Region = config.Self.Zone, config.Self.Region
	config.Replication.Address = config.Self.PeerAddress
	c := &Core{
		config:        config,
		self:          config.Self,
		members:       membership.New(config.Self, config.Seeds, config.Membership, config.Seed),
		replication:   replication.New(config.Self.ID, config.Replication),
		router:        routing.New(config.Routing, config.Seed),
		cells:         newCellDirectory(),
		demand:        newDemandReporter(),
		machinePoller: newMachinePoller(),
	}
	c.keyValue = newKeyValueReader()
	c.cellRole = newCellRole(c)
	c.apportioner = newApportionerRole(c)
	return c
}

// Step handles one event at the given time and returns the effects in the order in
// which the shell must start them. The slice is valid until the next call.
func (c *Core) Step(now time.Time, event Event) []Effect {
	last := c.now
	c.now = now
	c.effects = c.effects[:0]
	c.holdDispatchesAfterPause(last)
	switch e := event.(type) {
	case Tick:
		c.tick()
	case MessageReceived:
		c.messageReceived(e.Message)
	case RoutingInput:
		c.stepRouter(e.Event)
		c.reportNewDemand()
	case KeyValueAnswered:
		c.keyValueAnswered(e)
	case WatchDelivered:
		c.watchDelivered(e)
	case WatchEnded:
		c.watchEnded(e)
	case EngineAnswered:
		c.reportLeavingEngine(&e)
		c.cellRole.engineAnswered(e)
	case MachinesListed:
		c.machinesListed(e)
	case StoreStatusRead:
		c.cellRole.storeStatusRead(e)
	case EditCommitted:
		c.stepReplication(replication.Accepted{History: e.History, Entries: []settings.Entry{e.Entry}})
	case DrainStarted:
		c.drain()
	}
	c.checkDrained()
	return c.effects
}

// Snapshot returns the settings in force, nil before the first are applied.
func (c *Core) Snapshot() *settings.Snapshot { return c.replication.Snapshot() }

// Tree returns the settings tree in force, nil before the first is applied.
func (c *Core) Tree() *settings.Tree { return c.replication.Tree() }

// Members returns the known members, sorted by ID.
func (c *Core) Members() []membership.Member { return c.members.Members() }

// InFlight returns the number of unfinished requests.
func (c *Core) InFlight() int { return c.router.InFlight() }

// Controller returns the controller core of this node's cell, for inspection.
func (c *Core) Controller() *authority.Controller { return c.cellRole.controller }

// Claims returns the newest known controller of each zone, sorted by zone.
func (c *Core) Claims() []wire.ControllerClaim { return c.cells.sortedClaims() }

// StoreStatus returns the weight store's status as this controller last read it.
func (c *Core) StoreStatus() weights.Status { return c.cellRole.storeStatus }

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

func (c *Core) send(address string, message wire.Message) {
	if address == "" || address == c.self.PeerAddress {
		return
	}
	c.emit(SendMessage{Address: address, Message: message})
}

func (c *Core) tick() {
	c.stepMembership(membership.Tick{})
	c.stepReplication(replication.Tick{})
	c.updateRouters()
	c.stepRouter(routing.Tick{})
	c.pollMachines()
	c.expireCells()
	c.reportDemandIfDue()
	c.reportPrefixesIfDue()
	c.keyValueTick()
	c.cellRole.tick()
	c.apportioner.tick()
}

func (c *Core) messageReceived(message wire.Message) {
	switch m := message.(type) {
	case wire.Heartbeat:
		c.heartbeatReceived(m)
	case wire.ConfigurationRequest, wire.ConfigurationEntries, wire.ConfigurationSnapshot:
		c.stepReplication(replication.MessageReceived{Message: message})
	case wire.Demand:
		c.cellRole.demandReceived(m)
	case wire.CellStatus:
		c.cellStatusReceived(m)
	case wire.CellStatusRequest:
		c.cellRole.statusRequested(m)
	case wire.SentPrefixes:
		c.prefixesReceived(m)
	case wire.CacheMoved:
		if m.Zone == c.self.Zone {
			c.stepRouter(routing.CacheMoved{Model: m.Model, From: m.Machine, To: m.Target})
		}
	case wire.ZoneReport:
		c.apportioner.reportReceived(m)
	}
}

func (c *Core) heartbeatReceived(heartbeat wire.Heartbeat) {
	c.stepMembership(membership.HeartbeatReceived{Heartbeat: heartbeat})
	for _, claim := range heartbeat.Claims {
		c.claimReceived(claim)
	}
	c.stepReplication(replication.HeartbeatStamp{
		From:     heartbeat.From.ID,
		Address:  heartbeat.From.PeerAddress,
		Stamp:    heartbeat.Stamp,
		SameZone: heartbeat.From.Zone == c.self.Zone,
	})
}

func (c *Core) stepMembership(event membership.Event) {
	for _, effect := range c.members.Step(c.now, event) {
		switch e := effect.(type) {
		case membership.SendHeartbeat:
			e.Heartbeat.Stamp = c.replication.Stamp()
			e.Heartbeat.Claims = c.cells.heartbeatClaims(c.self.Zone)
			c.send(e.Address, e.Heartbeat)
		case membership.Changed:
			c.memberChanged(e.Member)
		}
	}
}

// memberChanged drops the demand of a dead node, so that its waiting requests no
// longer keep models loaded.
func (c *Core) memberChanged(member membership.Member) {
	if member.State == membership.StateDead {
		c.cellRole.forgetRouter(member.Node.ID)
		c.stepReplication(replication.PeerGone{ID: member.Node.ID})
	}
}

func (c *Core) stepReplication(event replication.Event) {
	for _, effect := range c.replication.Step(c.now, event) {
		switch e := effect.(type) {
		case replication.Send:
			c.send(e.Address, e.Message)
		case replication.InForce:
			c.stepRouter(routing.SettingsChanged{Snapshot: e.Snapshot})
			c.cellRole.settingsChanged()
			c.emit(SettingsApplied{Snapshot: e.Snapshot})
		case replication.LoadNeeded:
			c.restartRead()
		case replication.Rejected:
			c.emit(SettingsRejected{Stamp: e.Stamp, Err: e.Err})
		}
	}
}

func (c *Core) stepRouter(event routing.Event) {
	for _, effect := range c.router.Step(c.now, event) {
		if _, isStatusRequest := effect.(routing.StatusNeeded); isStatusRequest {
			// The cell directory detects the same gap and has already requested a full
			// status.
			continue
		}
		c.emit(RoutingOutput{Effect: effect})
	}
}

// updateRouters informs the router of the number of nodes that share replicas and
// limits.
func (c *Core) updateRouters() {
	if c.now.Before(c.nextRoutersUpdate) {
		return
	}
	c.nextRoutersUpdate = c.now.Add(statusInterval)
	change := routing.RoutersChanged{Routers: 1}
	for _, member := range c.members.Members() {
		if !c.cellRole.isAlive(member.Node.ID) {
			continue
		}
		change.Routers++
		if member.Node.ID < c.self.ID {
			change.Rank++
		}
	}
	for _, zone := range c.cells.sortedZones {
		change.Zones = append(change.Zones, routing.ZoneRegion{Zone: zone, Region: c.cells.cells[zone].region})
	}
	if change.Routers == c.lastRouters.Routers && change.Rank == c.lastRouters.Rank && slices.Equal(change.Zones, c.lastRouters.Zones) {
		return
	}
	c.lastRouters = change
	c.stepRouter(change)
}

// drain closes admission, releases the leases and announces the departure to the
// members. Requests in flight run to their end.
func (c *Core) drain() {
	if c.draining {
		return
	}
	c.draining = true
	c.stepRouter(routing.DrainStarted{})
	c.cellRole.resign()
	c.apportioner.releaseLease()
	c.stepMembership(membership.LeaveStarted{})
}

func (c *Core) checkDrained() {
	if c.draining && !c.drained && c.router.InFlight() == 0 {
		c.drained = true
		c.emit(DrainCompleted{})
	}
}

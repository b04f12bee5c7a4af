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

// Intervals of the composed core. All are measured on the time the shell passes
// to Step.
const (
	// TickInterval is how often shells send a Tick.
	TickInterval = 100 * time.Millisecond
	// demandInterval is how often a router reports its demand while requests
	// wait, quietDemandInterval how often it does while none does; a model that
	// begins to wait is reported at once, newsSpacing apart.
	demandInterval      = time.Second
	quietDemandInterval = 3 * time.Second
	newsSpacing         = 25 * time.Millisecond
	// idleDemandInterval is how often an empty report is repeated.
	idleDemandInterval = 10 * time.Second
	// statusInterval is how often a controller publishes its cell's status in
	// its own zone; changes are published at the next Tick.
	statusInterval = 2 * time.Second
	// remoteStatusInterval is the same towards other zones.
	remoteStatusInterval = 10 * time.Second
	// planInterval is how often a controller plans when nothing has changed;
	// with new demand or inventories it plans at once, planSpacing apart.
	planInterval = time.Second
	planSpacing  = 25 * time.Millisecond
	// busyInventoryInterval is how often the inventory of a machine with work
	// in progress is read when the configuration does not say.
	busyInventoryInterval = 150 * time.Millisecond
	// storeStatusInterval is how often a controller reads the weight store.
	storeStatusInterval = time.Second
	// loadReportInterval is how often a controller reads engines' reports.
	loadReportInterval = 2 * time.Second
	// zoneReportInterval is how often a controller reports to the apportioner;
	// when it begins to act on another allotment it reports at once.
	zoneReportInterval = 5 * time.Second
	// apportionInterval is how often the apportioner divides replica counts.
	apportionInterval = 2 * time.Second
	// cellStatusTimeout is when a cell whose status has not come is lost to a
	// router.
	cellStatusTimeout = 30 * time.Second
	// leaseTTL of the cells' and the apportioner's leases.
	leaseTTL = 6 * time.Second
	// routerDemandTimeout is when a silent router's demand is forgotten.
	routerDemandTimeout = 25 * time.Second
)

// CoreConfig configures a Core. The zero value of each part means its
// documented defaults.
type CoreConfig struct {
	Self  cluster.Node
	Seeds []string
	// Seed of all pseudo-random choices of this node.
	Seed        uint64
	Routing     routing.Config
	Placement   placement.Config
	Membership  membership.Config
	Replication replication.Config
	Controller  authority.ControllerConfig
	// NewPlanner makes the planner when this node becomes a controller; nil
	// means the adaptive planner.
	NewPlanner func() placement.Planner
}

// Core is one node without clock, network or goroutine: the composition of the
// deciding cores. It is not safe for concurrent use.
type Core struct {
	config      CoreConfig
	self        cluster.Node
	members     *membership.Core
	replication *replication.Core
	router      *routing.Router
	cells       *cellDirectory
	keyValue    *keyValueReader
	cellRole    *cellRole
	apportion   *apportionerRole
	demand      *demandReporter
	machines    *machineWatch
	prefixes    prefixReporter
	draining    bool
	drained     bool
	routersDue  time.Time
	routers     routing.RoutersChanged

	now     time.Time
	effects []Effect
}

// NewCore returns a core that has not yet seen an event.
func NewCore(config CoreConfig) *Core {
	config.Routing.Zone, config.Routing.Region = config.Self.Zone, config.Self.Region
	config.Replication.Address = config.Self.PeerAddress
	c := &Core{
		config:      config,
		self:        config.Self,
		members:     membership.New(config.Self, config.Seeds, config.Membership, config.Seed),
		replication: replication.New(config.Self.ID, config.Replication),
		router:      routing.New(config.Routing, config.Seed),
		cells:       newCellDirectory(),
		demand:      newDemandReporter(),
		machines:    newMachineWatch(),
	}
	c.keyValue = newKeyValueReader()
	c.cellRole = newCellRole(c)
	c.apportion = newApportionerRole(c)
	return c
}

// Step takes one event at the given time and returns the effects in the order
// they must begin. The slice is valid until the next Step.
func (c *Core) Step(now time.Time, event Event) []Effect {
	last := c.now
	c.now = now
	c.effects = c.effects[:0]
	c.notePause(last)
	switch e := event.(type) {
	case Tick:
		c.tick()
	case MessageReceived:
		c.messageReceived(e.Message)
	case RoutingInput:
		c.routing(e.Event)
		c.reportNews()
	case KeyValueAnswered:
		c.keyValueAnswered(e)
	case WatchDelivered:
		c.watchDelivered(e)
	case WatchEnded:
		c.watchEnded(e)
	case EngineAnswered:
		c.noteLeaving(&e)
		c.cellRole.engineAnswered(e)
	case MachinesListed:
		c.machinesListed(e)
	case StoreStatusRead:
		c.cellRole.storeStatusRead(e)
	case EditCommitted:
		c.replicate(replication.Accepted{History: e.History, Entries: []settings.Entry{e.Entry}})
	case DrainStarted:
		c.drain()
	}
	c.checkDrained()
	return c.effects
}

// Snapshot returns the settings in force, nil before the first.
func (c *Core) Snapshot() *settings.Snapshot { return c.replication.Snapshot() }

// Tree returns the tree in force, nil before the first.
func (c *Core) Tree() *settings.Tree { return c.replication.Tree() }

// Members returns the known members, sorted by ID.
func (c *Core) Members() []membership.Member { return c.members.Members() }

// InFlight returns the number of requests that have not ended.
func (c *Core) InFlight() int { return c.router.InFlight() }

// Controller returns the controller core of this node's cell, for inspection.
func (c *Core) Controller() *authority.Controller { return c.cellRole.controller }

// Claims returns the newest known controller of each zone, sorted by zone.
func (c *Core) Claims() []wire.ControllerClaim { return c.cells.claims() }

// StoreStatus returns the weight store's status as this controller last read it.
func (c *Core) StoreStatus() weights.Status { return c.cellRole.store }

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

func (c *Core) send(address string, message wire.Message) {
	if address == "" || address == c.self.PeerAddress {
		return
	}
	c.emit(SendMessage{Address: address, Message: message})
}

func (c *Core) tick() {
	c.membership(membership.Tick{})
	c.replicate(replication.Tick{})
	c.noteRouters()
	c.routing(routing.Tick{})
	c.pollMachines()
	c.expireCells()
	c.reportDemand()
	c.reportPrefixes()
	c.keyValueTick()
	c.cellRole.tick()
	c.apportion.tick()
}

func (c *Core) messageReceived(message wire.Message) {
	switch m := message.(type) {
	case wire.Heartbeat:
		c.heartbeatReceived(m)
	case wire.ConfigurationRequest, wire.ConfigurationEntries, wire.ConfigurationSnapshot:
		c.replicate(replication.MessageReceived{Message: message})
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
			c.routing(routing.CacheMoved{Model: m.Model, From: m.Machine, To: m.Target})
		}
	case wire.ZoneReport:
		c.apportion.reportReceived(m)
	}
}

func (c *Core) heartbeatReceived(heartbeat wire.Heartbeat) {
	c.membership(membership.HeartbeatReceived{Heartbeat: heartbeat})
	for _, claim := range heartbeat.Claims {
		c.noteClaim(claim)
	}
	c.replicate(replication.StampSeen{
		From:     heartbeat.From.ID,
		Address:  heartbeat.From.PeerAddress,
		Stamp:    heartbeat.Stamp,
		SameZone: heartbeat.From.Zone == c.self.Zone,
	})
}

func (c *Core) membership(event membership.Event) {
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

// memberChanged forgets the demand of a node that is gone, so that its waiting
// requests no longer keep models loaded.
func (c *Core) memberChanged(member membership.Member) {
	if member.State == membership.StateDead {
		c.cellRole.forgetRouter(member.Node.ID)
		c.replicate(replication.PeerGone{ID: member.Node.ID})
	}
}

func (c *Core) replicate(event replication.Event) {
	for _, effect := range c.replication.Step(c.now, event) {
		switch e := effect.(type) {
		case replication.Send:
			c.send(e.Address, e.Message)
		case replication.InForce:
			c.routing(routing.SettingsChanged{Snapshot: e.Snapshot})
			c.cellRole.settingsChanged()
			c.emit(SettingsInForce{Snapshot: e.Snapshot})
		case replication.LoadNeeded:
			c.readAgain()
		case replication.Rejected:
			c.emit(SettingsRejected{Stamp: e.Stamp, Err: e.Err})
		}
	}
}

func (c *Core) routing(event routing.Event) {
	for _, effect := range c.router.Step(c.now, event) {
		if _, asks := effect.(routing.StatusNeeded); asks {
			// The cell directory sees the same gap and has asked already.
			continue
		}
		c.emit(RoutingOutput{Effect: effect})
	}
}

// noteRouters tells the router how many nodes share replicas and limits.
func (c *Core) noteRouters() {
	if c.now.Before(c.routersDue) {
		return
	}
	c.routersDue = c.now.Add(statusInterval)
	change := routing.RoutersChanged{Routers: 1}
	for _, member := range c.members.Members() {
		if !c.cellRole.alive(member.Node.ID) {
			continue
		}
		change.Routers++
		if member.Node.ID < c.self.ID {
			change.Rank++
		}
	}
	for _, zone := range c.cells.order {
		change.Zones = append(change.Zones, routing.ZoneRegion{Zone: zone, Region: c.cells.cells[zone].region})
	}
	if change.Routers == c.routers.Routers && change.Rank == c.routers.Rank && slices.Equal(change.Zones, c.routers.Zones) {
		return
	}
	c.routers = change
	c.routing(change)
}

// drain closes admission, gives up leadership and tells the members. Requests
// in flight end by themselves.
func (c *Core) drain() {
	if c.draining {
		return
	}
	c.draining = true
	c.routing(routing.DrainStarted{})
	c.cellRole.resign()
	c.apportion.resign()
	c.membership(membership.LeaveStarted{})
}

func (c *Core) checkDrained() {
	if c.draining && !c.drained && c.router.InFlight() == 0 {
		c.drained = true
		c.emit(Drained{})
	}
}

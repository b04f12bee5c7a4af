package node

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/wire"
)

// ApportionerZone is the reserved zone name under which the holder of the apportioner
// lease is listed among the controller claims.
const ApportionerZone cluster.ZoneID = "_apportioner"

// cellDirectory holds what a node knows of every cell: the newest controller claim
// and, from the cell's statuses, the controller's address and the models that the cell
// may load.
type cellDirectory struct {
	latestClaims map[cluster.ZoneID]wire.ControllerClaim
	// remainingSends counts the next heartbeats that must carry a new claim. rotation is
	// the position in the rotation through the other claims.
	remainingSends map[cluster.ZoneID]int
	rotation       int
	cells          map[cluster.ZoneID]*cell
	// sortedZones lists the keys of cells in order, so that no decision depends on map
	// order.
	sortedZones []cluster.ZoneID
}

// cell is the state of one zone as published by its controller.
type cell struct {
	zone     cluster.ZoneID
	region   cluster.RegionID
	address  string
	token    cluster.FencingToken
	sequence uint64
	// synchronized is false from a gap in the sequence until the next full status.
	// Replica records carry absolute state, so statuses after the gap are still applied.
	synchronized      bool
	statusRequestedAt time.Time
	lastStatusAt      time.Time
	allotted          map[cluster.ModelID]bool
	// replicaMachines holds, by model, the machines with a loaded or loading replica.
	replicaMachines map[cluster.ModelID]map[cluster.MachineID]bool
}

func newCellDirectory() *cellDirectory {
	return &cellDirectory{
		latestClaims:   make(map[cluster.ZoneID]wire.ControllerClaim),
		remainingSends: make(map[cluster.ZoneID]int),
		cells:          make(map[cluster.ZoneID]*cell),
	}
}

// sortedClaims returns the newest claim of each zone, sorted by zone.
func (d *cellDirectory) sortedClaims() []wire.ControllerClaim {
	list := make([]wire.ControllerClaim, 0, len(d.latestClaims))
	for _, claim := range d.latestClaims {
		list = append(list, claim)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Zone < list[j].Zone })
	return list
}

// recordClaim stores the claim and returns true if it is newer than the stored one.
func (d *cellDirectory) recordClaim(claim wire.ControllerClaim) bool {
	if claim.Token <= d.latestClaims[claim.Zone].Token {
		return false
	}
	d.latestClaims[claim.Zone] = claim
	d.remainingSends[claim.Zone] = claimTransmissions
	return true
}

const (
	// claimTransmissions is the number of consecutive heartbeats that carry a new claim.
	claimTransmissions = 16
	// claimsPerHeartbeat is the number of other claims that a heartbeat carries besides
	// new claims and the claim of the node's own zone.
	claimsPerHeartbeat = 3
)

// heartbeatClaims selects the claims for one heartbeat: the claim of the node's own
// zone, new claims, and a few others in rotation. With many zones, all claims in each
// heartbeat would make up most of its size.
func (d *cellDirectory) heartbeatClaims(own cluster.ZoneID) []wire.ControllerClaim {
	var picked, others []wire.ControllerClaim
	for _, claim := range d.sortedClaims() {
		switch {
		case d.remainingSends[claim.Zone] > 0:
			d.remainingSends[claim.Zone]--
			picked = append(picked, claim)
		case claim.Zone == own:
			picked = append(picked, claim)
		default:
			others = append(others, claim)
		}
	}
	for range min(claimsPerHeartbeat, len(others)) {
		d.rotation++
		picked = append(picked, others[d.rotation%len(others)])
	}
	return picked
}

func (d *cellDirectory) getOrAdd(zone cluster.ZoneID) *cell {
	if known, ok := d.cells[zone]; ok {
		return known
	}
	added := &cell{zone: zone, allotted: map[cluster.ModelID]bool{}, replicaMachines: map[cluster.ModelID]map[cluster.MachineID]bool{}}
	d.cells[zone] = added
	d.sortedZones = append(d.sortedZones, zone)
	sort.Slice(d.sortedZones, func(i, j int) bool { return d.sortedZones[i] < d.sortedZones[j] })
	return added
}

func (d *cellDirectory) remove(zone cluster.ZoneID) {
	delete(d.cells, zone)
	for i, name := range d.sortedZones {
		if name == zone {
			d.sortedZones = append(d.sortedZones[:i], d.sortedZones[i+1:]...)
			return
		}
	}
}

// apply updates the cell from an accepted status.
func (c *cell) apply(status wire.CellStatus) {
	if status.Full {
		c.allotted = make(map[cluster.ModelID]bool, len(status.Allotted))
		for _, model := range status.Allotted {
			c.allotted[model] = true
		}
		c.replicaMachines = map[cluster.ModelID]map[cluster.MachineID]bool{}
		c.synchronized = true
	}
	for i := range status.Replicas {
		c.applyReplica(&status.Replicas[i])
	}
}

func (c *cell) applyReplica(record *wire.ReplicaRecord) {
	present := record.State == cluster.ReplicaLoaded || record.State == cluster.ReplicaLoading
	machines := c.replicaMachines[record.Model]
	if !present {
		delete(machines, record.Machine)
		if len(machines) == 0 {
			delete(c.replicaMachines, record.Model)
		}
		return
	}
	if machines == nil {
		machines = make(map[cluster.MachineID]bool, 1)
		c.replicaMachines[record.Model] = machines
	}
	machines[record.Machine] = true
}

// claimReceived records a claim. A newer claim by another node on a lease that this
// node holds ends this node's term.
func (c *Core) claimReceived(claim wire.ControllerClaim) {
	if !c.cells.recordClaim(claim) {
		return
	}
	if claim.Node == c.self.ID {
		return
	}
	switch claim.Zone {
	case c.self.Zone:
		c.cellRole.claimSuperseded(claim)
	case ApportionerZone:
		c.apportioner.claimSuperseded(claim)
	}
}

// cellStatusReceived applies a status if its token and sequence are newer, requests a
// full status after a gap, and passes the status to the router. A controller also
// forwards statuses of other zones to the nodes of its own zone.
func (c *Core) cellStatusReceived(status wire.CellStatus) {
	known := c.cells.getOrAdd(status.Zone)
	if !known.accepts(&status) {
		return
	}
	if status.Token != known.token {
		// A new controller has no demand data, so report demand at the next Tick.
		c.demand.nextReport = c.now
	}
	missed := status.Token != known.token || status.Sequence != known.sequence+1
	known.region, known.address, known.lastStatusAt = status.Region, status.FromAddress, c.now
	known.token, known.sequence = status.Token, status.Sequence
	known.apply(status)
	if missed && !status.Full {
		known.synchronized = false
	}
	if !known.synchronized {
		c.requestFullStatus(known)
	}
	c.claimReceived(wire.ControllerClaim{Zone: status.Zone, Node: status.From, Token: status.Token})
	c.stepRouter(routing.CellStatusChanged{Status: status})
	c.cellRole.forwardStatus(status)
}

// accepts reports whether a status is newer than the applied one. The answer to a
// request for a full status may repeat the last sequence number.
func (c *cell) accepts(status *wire.CellStatus) bool {
	if status.Token != c.token {
		return status.Token > c.token
	}
	if status.Sequence == c.sequence {
		return status.Full && !c.synchronized
	}
	return status.Sequence > c.sequence
}

// requestFullStatus asks the cell's controller for a full status, at most once every
// statusInterval.
func (c *Core) requestFullStatus(known *cell) {
	if c.now.Sub(known.statusRequestedAt) < statusInterval {
		return
	}
	known.statusRequestedAt = c.now
	c.send(known.address, wire.CellStatusRequest{
		Zone: known.zone, From: c.self.ID, FromAddress: c.self.PeerAddress,
	})
}

// expireCells removes cells without a status for longer than cellStatusTimeout.
func (c *Core) expireCells() {
	for i := 0; i < len(c.cells.sortedZones); i++ {
		zone := c.cells.sortedZones[i]
		known := c.cells.cells[zone]
		if zone == c.self.Zone && c.cellRole.controller.Holding() {
			known.lastStatusAt = c.now
		}
		if c.now.Sub(known.lastStatusAt) <= cellStatusTimeout {
			continue
		}
		c.cells.remove(zone)
		c.stepRouter(routing.CellLost{Zone: zone})
		i--
	}
}

// preferredZones returns the zones that may load the model, the best target for its
// demand first. The criteria, in order of weight: the zone has a live controller, as
// no other zone starts loads; it has a replica of the model; it has a replica of its
// base model; it is in this node's region; and last a hash of base model and zone. The
// hash is equal on all routers, so that they do not load the same model in several
// zones at once. An adapter is ordered by the hash of its base model, because in
// another zone the base model would be loaded a second time.
func (c *Core) preferredZones(model cluster.ModelID) []*cell {
	var allotted []*cell
	for _, zone := range c.cells.sortedZones {
		if known := c.cells.cells[zone]; known.allotted[model] {
			allotted = append(allotted, known)
		}
	}
	baseModel := c.baseModelOf(model)
	live := make(map[cluster.ZoneID]bool, len(allotted))
	for _, known := range allotted {
		live[known.zone] = c.hasLiveController(known.zone)
	}
	sort.SliceStable(allotted, func(i, j int) bool {
		a, b := allotted[i], allotted[j]
		if x, y := live[a.zone], live[b.zone]; x != y {
			return x
		}
		if x, y := len(a.replicaMachines[model]) > 0, len(b.replicaMachines[model]) > 0; x != y {
			return x
		}
		if x, y := len(a.replicaMachines[baseModel]) > 0, len(b.replicaMachines[baseModel]) > 0; x != y {
			return x
		}
		if x, y := a.region == c.self.Region, b.region == c.self.Region; x != y {
			return x
		}
		return zoneHash(baseModel, a.zone) > zoneHash(baseModel, b.zone)
	})
	return allotted
}

// baseModelOf returns the base model of an adapter, or the model itself if it is not
// an adapter.
func (c *Core) baseModelOf(model cluster.ModelID) cluster.ModelID {
	if configured := c.Snapshot().Model(model); configured != nil && configured.Base != "" {
		return configured.Base
	}
	return model
}

// hasLiveController reports whether the last known controller of the zone may still be
// running.
func (c *Core) hasLiveController(zone cluster.ZoneID) bool {
	claim, claimed := c.cells.latestClaims[zone]
	if !claimed || claim.Node == c.self.ID {
		return claimed
	}
	// Membership drops a node that has been dead for long, and isAlive is false for it.
	return c.cellRole.isAlive(claim.Node)
}

func zoneHash(model cluster.ModelID, zone cluster.ZoneID) uint64 {
	return xxhash.Sum64String(string(model) + "\x00" + string(zone))
}

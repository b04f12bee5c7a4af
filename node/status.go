package node

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// publishSpacing keeps statuses apart, so that changes that come together travel
// together and one message does not overtake another within a zone, which would
// look like a loss and cost a full status.
const publishSpacing = 20 * time.Millisecond

// statusPublisher tells routers what this cell holds: changes at the next Tick,
// everything when asked. Nodes of the own zone get it directly, with loads and
// limit shares each statusInterval; other zones' controllers get it once and
// pass it on to their nodes.
type statusPublisher struct {
	role          *cellRole
	local, remote statusStream
	// fullDue makes the next status of both streams a full one.
	fullDue bool
	// published is when something was last compared and sent.
	published time.Time
	// allotted lists the models that the zone may hold, as last told, sorted.
	allotted []cluster.ModelID
	news     loadNews
	// changed is true when an inventory or the machine list changed since the
	// records were last compared.
	changed bool
}

// statusStream is what one group of receivers has been told. Its sequence
// numbers have no gaps, so that a receiver can tell a lost message.
type statusStream struct {
	sequence uint64
	// published replicas as last told, sorted by machine then model.
	published []wire.ReplicaRecord
	next      time.Time
	interval  time.Duration
}

func newStatusPublisher(role *cellRole) *statusPublisher {
	return &statusPublisher{
		role: role, fullDue: true, news: newLoadNews(),
		local:  statusStream{interval: statusInterval},
		remote: statusStream{interval: remoteStatusInterval},
	}
}

// tick publishes to each group when something changed or is due.
func (p *statusPublisher) tick() {
	now := p.role.core.now
	idle := !p.changed && !p.fullDue && now.Before(p.local.next) && now.Before(p.remote.next)
	if idle || now.Sub(p.published) < publishSpacing || !p.role.controller.Ready() {
		return
	}
	p.published = now
	if allotted := p.allottedModels(); !slices.Equal(allotted, p.allotted) {
		p.allotted, p.fullDue = allotted, true
	}
	p.changed = false
	current := p.records()
	if status, due := p.next(&p.local, current); due {
		status.Loads = p.loads()
		p.publishLocal(status)
	}
	if status, due := p.next(&p.remote, current); due {
		p.publishRemote(status)
	}
	p.fullDue = false
}

// next returns the stream's next status and whether it must be sent.
func (p *statusPublisher) next(stream *statusStream, current []wire.ReplicaRecord) (wire.CellStatus, bool) {
	now := p.role.core.now
	changes := difference(stream.published, current)
	if len(changes) == 0 && now.Before(stream.next) && !p.fullDue {
		return wire.CellStatus{}, false
	}
	stream.sequence++
	stream.published, stream.next = current, now.Add(stream.interval)
	if p.fullDue {
		return p.full(stream), true
	}
	return p.status(stream, changes), true
}

func (p *statusPublisher) status(stream *statusStream, records []wire.ReplicaRecord) wire.CellStatus {
	core := p.role.core
	return wire.CellStatus{
		Zone: core.self.Zone, Region: core.self.Region,
		From: core.self.ID, FromAddress: core.self.PeerAddress,
		Token: p.role.controller.Token(), Sequence: stream.sequence,
		Replicas: records,
	}
}

// full returns everything under the stream's present sequence number.
func (p *statusPublisher) full(stream *statusStream) wire.CellStatus {
	status := p.status(stream, stream.published)
	status.Full, status.Allotted = true, p.allotted
	return status
}

// allottedModels lists the models that the zone may hold, sorted. A model whose
// whole allotment is lost is left out, so that its demand goes to other zones.
func (p *statusPublisher) allottedModels() []cluster.ModelID {
	lost := p.countLost()
	allotment := p.role.core.keyValue.allotments[p.role.core.self.Zone]
	models := make([]cluster.ModelID, 0, len(allotment.Models))
	for i := range allotment.Models {
		if model := &allotment.Models[i]; model.MaxReplicas > lost[model.Model] {
			models = append(models, model.Model)
		}
	}
	return models
}

// publishLocal tells the live nodes of the own zone, each with its limit shares,
// and this node itself.
func (p *statusPublisher) publishLocal(status wire.CellStatus) {
	core := p.role.core
	shares := divideLimits(core, p.role.demand)
	personal := status
	personal.Shares = shares[core.self.ID]
	core.cellStatusReceived(personal)
	for _, member := range core.members.Members() {
		if member.Node.Zone != core.self.Zone || !p.role.alive(member.Node.ID) {
			continue
		}
		personal.Shares = shares[member.Node.ID]
		core.send(member.Node.PeerAddress, personal)
	}
}

// publishRemote tells the other zones' controllers, without loads: between
// zones the router's own count of its requests must do.
func (p *statusPublisher) publishRemote(status wire.CellStatus) {
	for _, address := range p.role.core.remoteAddresses() {
		p.role.core.send(address, status)
	}
}

// remoteAddresses lists who passes this zone's status on: each other zone's
// controller, or, when that is gone, all of the zone's nodes for themselves.
func (c *Core) remoteAddresses() []string {
	var addresses []string
	for _, claim := range c.cells.claims() {
		switch {
		case claim.Zone == c.self.Zone || claim.Zone == ApportionerZone:
		case !c.controlled(claim.Zone):
			addresses = append(addresses, c.zoneAddresses(claim.Zone)...)
		default:
			if address := c.controllerAddress(claim); address != "" {
				addresses = append(addresses, address)
			}
		}
	}
	return addresses
}

// controllerAddress returns where a zone's controller listens, empty when that
// is not known.
func (c *Core) controllerAddress(claim wire.ControllerClaim) string {
	if known, ok := c.cells.cells[claim.Zone]; ok && known.address != "" && known.token == claim.Token {
		return known.address
	}
	member, _ := c.members.Member(claim.Node)
	return member.Node.PeerAddress
}

// zoneAddresses lists the running nodes of a zone.
func (c *Core) zoneAddresses(zone cluster.ZoneID) []string {
	var addresses []string
	for _, member := range c.members.Members() {
		if member.Node.Zone == zone && member.Running() {
			addresses = append(addresses, member.Node.PeerAddress)
		}
	}
	return addresses
}

// forwardStatus passes another zone's status on to the nodes of this zone.
func (r *cellRole) forwardStatus(status wire.CellStatus) {
	if status.Zone == r.core.self.Zone || !r.controller.Holding() {
		return
	}
	for _, member := range r.core.members.Members() {
		if member.Node.Zone == r.core.self.Zone && r.alive(member.Node.ID) {
			r.core.send(member.Node.PeerAddress, status)
		}
	}
}

// statusRequested answers with a full status of the stream that the asking node
// follows.
func (r *cellRole) statusRequested(request wire.CellStatusRequest) {
	stream := &r.publisher.remote
	if member, ok := r.core.members.Member(request.From); ok && member.Node.Zone == r.core.self.Zone {
		stream = &r.publisher.local
	}
	if request.Zone != r.core.self.Zone || !r.controller.Ready() || stream.sequence == 0 {
		return
	}
	r.core.send(request.FromAddress, r.publisher.full(stream))
}

// records lists all replicas of confirmed inventories whose engines answer,
// sorted by machine and model.
func (p *statusPublisher) records() []wire.ReplicaRecord {
	var records []wire.ReplicaRecord
	for _, inventory := range p.role.controller.Inventories() {
		machine, ok := p.role.controller.Machine(inventory.Machine)
		if !ok || !p.role.controller.Responsive(machine.ID) {
			continue
		}
		for _, replica := range inventory.Replicas {
			records = append(records, wire.ReplicaRecord{
				Machine: machine.ID, Address: machine.Address, Model: replica.Model, Version: replica.Version,
				State: replica.State, Slots: inventory.Slots, Leaving: machine.Leaving || inventory.Leaving,
				ReadyIn: p.readyIn(machine.ID, replica),
			})
		}
	}
	return records
}

// countLost counts, by model, the replicas on machines whose engines don't
// answer: they use up the allotment and serve nobody.
func (p *statusPublisher) countLost() map[cluster.ModelID]int {
	lost := map[cluster.ModelID]int{}
	for _, inventory := range p.role.controller.Inventories() {
		if p.role.controller.Responsive(inventory.Machine) {
			continue
		}
		for _, replica := range inventory.Replicas {
			lost[replica.Model]++
		}
	}
	return lost
}

// readyIn is the expected rest of a load, zero for replicas not loading.
func (p *statusPublisher) readyIn(machine cluster.MachineID, replica cluster.Replica) time.Duration {
	key := replicaKey{machine, replica.Model}
	if replica.State != cluster.ReplicaLoading {
		delete(p.role.expected, key)
		return 0
	}
	at, known := p.role.expected[key]
	if !known {
		return 0
	}
	return max(at.Sub(p.role.core.now), 0)
}

// difference lists the records of after that differ from before, and those that
// are gone as absent. Both are sorted alike; a changed ReadyIn alone is no
// difference.
func difference(before, after []wire.ReplicaRecord) []wire.ReplicaRecord {
	var changes []wire.ReplicaRecord
	i, j := 0, 0
	for i < len(before) || j < len(after) {
		switch order := compareRecords(before, i, after, j); {
		case order < 0:
			gone := before[i]
			gone.State, gone.ReadyIn = cluster.ReplicaAbsent, 0
			changes = append(changes, gone)
			i++
		case order > 0:
			changes = append(changes, after[j])
			j++
		default:
			if !sameRecord(before[i], after[j]) {
				changes = append(changes, after[j])
			}
			i++
			j++
		}
	}
	return changes
}

func compareRecords(before []wire.ReplicaRecord, i int, after []wire.ReplicaRecord, j int) int {
	switch {
	case i == len(before):
		return 1
	case j == len(after):
		return -1
	}
	if order := slices.Compare([]cluster.MachineID{before[i].Machine}, []cluster.MachineID{after[j].Machine}); order != 0 {
		return order
	}
	return slices.Compare([]cluster.ModelID{before[i].Model}, []cluster.ModelID{after[j].Model})
}

func sameRecord(a, b wire.ReplicaRecord) bool {
	a.ReadyIn, b.ReadyIn = 0, 0
	return a == b
}

package node

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// minPublishInterval is the shortest time between two statuses. It combines changes
// that come together, and keeps one message from overtaking another within a zone,
// which receivers would take for a loss and answer by requesting a full status.
const minPublishInterval = 20 * time.Millisecond

// statusPublisher publishes the cell's state to routers: changes at the next Tick, a
// full status on request. Nodes of the own zone get it directly, with loads and limit
// shares every statusInterval. Controllers of other zones get it once and forward it
// to their nodes.
type statusPublisher struct {
	role          *cellRole
	local, remote statusStream
	// fullDue makes the next status of both streams a full one.
	fullDue bool
	// lastPublish is when the records were last compared and published.
	lastPublish time.Time
	// allotted lists, sorted, the models that the zone may hold as last published.
	allotted   []cluster.ModelID
	loadFilter loadFilter
	// changed is true if an inventory or the machine list has changed since the records
	// were last compared.
	changed bool
}

// statusStream is the state published to one group of receivers. Its sequence numbers
// have no gaps, so that a receiver can detect a lost message.
type statusStream struct {
	sequence uint64
	// published holds the replicas as last published, sorted by machine and model.
	published  []wire.ReplicaRecord
	nextStatus time.Time
	interval   time.Duration
}

func newStatusPublisher(role *cellRole) *statusPublisher {
	return &statusPublisher{
		role: role, fullDue: true, loadFilter: newLoadFilter(),
		local:  statusStream{interval: statusInterval},
		remote: statusStream{interval: remoteStatusInterval},
	}
}

// tick publishes to each group when something has changed or a status is due.
func (p *statusPublisher) tick() {
	now := p.role.core.now
	idle := !p.changed && !p.fullDue && now.Before(p.local.nextStatus) && now.Before(p.remote.nextStatus)
	if idle || now.Sub(p.lastPublish) < minPublishInterval || !p.role.controller.Ready() {
		return
	}
	p.lastPublish = now
	if allotted := p.allottedModels(); !slices.Equal(allotted, p.allotted) {
		p.allotted, p.fullDue = allotted, true
	}
	p.changed = false
	current := p.records()
	if status, due := p.nextStatus(&p.local, current); due {
		status.Loads = p.changedLoads()
		p.publishLocal(status)
	}
	if status, due := p.nextStatus(&p.remote, current); due {
		p.publishRemote(status)
	}
	p.fullDue = false
}

// nextStatus returns the stream's next status and whether it must be sent.
func (p *statusPublisher) nextStatus(stream *statusStream, current []wire.ReplicaRecord) (wire.CellStatus, bool) {
	now := p.role.core.now
	changes := changedRecords(stream.published, current)
	if len(changes) == 0 && now.Before(stream.nextStatus) && !p.fullDue {
		return wire.CellStatus{}, false
	}
	stream.sequence++
	stream.published, stream.nextStatus = current, now.Add(stream.interval)
	if p.fullDue {
		return p.fullStatus(stream), true
	}
	return p.newStatus(stream, changes), true
}

func (p *statusPublisher) newStatus(stream *statusStream, records []wire.ReplicaRecord) wire.CellStatus {
	core := p.role.core
	return wire.CellStatus{
		Zone: core.self.Zone, Region: core.self.Region,
		From: core.self.ID, FromAddress: core.self.PeerAddress,
		Token: p.role.controller.Token(), Sequence: stream.sequence,
		Replicas: records,
	}
}

// fullStatus returns all records under the stream's current sequence number.
func (p *statusPublisher) fullStatus(stream *statusStream) wire.CellStatus {
	status := p.newStatus(stream, stream.published)
	status.Full, status.Allotted = true, p.allotted
	return status
}

// allottedModels returns, sorted, the models that the zone may hold. A model is left
// out if unresponsive engines hold its whole allotment, so that its demand goes to
// other zones.
func (p *statusPublisher) allottedModels() []cluster.ModelID {
	unresponsive := p.countUnresponsiveReplicas()
	allotment := p.role.core.keyValue.allotments[p.role.core.self.Zone]
	models := make([]cluster.ModelID, 0, len(allotment.Models))
	for i := range allotment.Models {
		if model := &allotment.Models[i]; model.MaxReplicas > unresponsive[model.Model] {
			models = append(models, model.Model)
		}
	}
	return models
}

// publishLocal sends the status to this node and to the live nodes of its zone, each
// with its limit shares.
func (p *statusPublisher) publishLocal(status wire.CellStatus) {
	core := p.role.core
	shares := divideLimits(core, p.role.demand)
	addressed := status
	addressed.Shares = shares[core.self.ID]
	core.cellStatusReceived(addressed)
	for _, member := range core.members.Members() {
		if member.Node.Zone != core.self.Zone || !p.role.isAlive(member.Node.ID) {
			continue
		}
		addressed.Shares = shares[member.Node.ID]
		core.send(member.Node.PeerAddress, addressed)
	}
}

// publishRemote sends the status to the other zones' controllers, without loads:
// across zones a router relies on its own count of its requests.
func (p *statusPublisher) publishRemote(status wire.CellStatus) {
	for _, address := range p.role.core.remoteAddresses() {
		p.role.core.send(address, status)
	}
}

// remoteAddresses returns the nodes that get this zone's status for other zones: each
// zone's controller, or all nodes of a zone without a live controller.
func (c *Core) remoteAddresses() []string {
	var addresses []string
	for _, claim := range c.cells.sortedClaims() {
		switch {
		case claim.Zone == c.self.Zone || claim.Zone == ApportionerZone:
		case !c.hasLiveController(claim.Zone):
			addresses = append(addresses, c.zoneAddresses(claim.Zone)...)
		default:
			if address := c.controllerAddress(claim); address != "" {
				addresses = append(addresses, address)
			}
		}
	}
	return addresses
}

// controllerAddress returns the peer address of a zone's controller, empty if unknown.
func (c *Core) controllerAddress(claim wire.ControllerClaim) string {
	if known, ok := c.cells.cells[claim.Zone]; ok && known.address != "" && known.token == claim.Token {
		return known.address
	}
	member, _ := c.members.Member(claim.Node)
	return member.Node.PeerAddress
}

// zoneAddresses returns the peer addresses of a zone's running nodes.
func (c *Core) zoneAddresses(zone cluster.ZoneID) []string {
	var addresses []string
	for _, member := range c.members.Members() {
		if member.Node.Zone == zone && member.Running() {
			addresses = append(addresses, member.Node.PeerAddress)
		}
	}
	return addresses
}

// forwardStatus sends another zone's status to the nodes of this zone, if this node is
// the controller.
func (r *cellRole) forwardStatus(status wire.CellStatus) {
	if status.Zone == r.core.self.Zone || !r.controller.Holding() {
		return
	}
	for _, member := range r.core.members.Members() {
		if member.Node.Zone == r.core.self.Zone && r.isAlive(member.Node.ID) {
			r.core.send(member.Node.PeerAddress, status)
		}
	}
}

// statusRequested answers with a full status of the stream that the requesting node
// follows.
func (r *cellRole) statusRequested(request wire.CellStatusRequest) {
	stream := &r.publisher.remote
	if member, ok := r.core.members.Member(request.From); ok && member.Node.Zone == r.core.self.Zone {
		stream = &r.publisher.local
	}
	if request.Zone != r.core.self.Zone || !r.controller.Ready() || stream.sequence == 0 {
		return
	}
	r.core.send(request.FromAddress, r.publisher.fullStatus(stream))
}

// records returns the replicas of all confirmed inventories whose engines are
// responsive, sorted by machine and model.
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

// countUnresponsiveReplicas counts, by model, the replicas on unresponsive engines:
// they use up the allotment and serve no requests.
func (p *statusPublisher) countUnresponsiveReplicas() map[cluster.ModelID]int {
	counts := map[cluster.ModelID]int{}
	for _, inventory := range p.role.controller.Inventories() {
		if p.role.controller.Responsive(inventory.Machine) {
			continue
		}
		for _, replica := range inventory.Replicas {
			counts[replica.Model]++
		}
	}
	return counts
}

// readyIn returns the expected remaining time of a load, zero for replicas that are
// not loading.
func (p *statusPublisher) readyIn(machine cluster.MachineID, replica cluster.Replica) time.Duration {
	key := replicaKey{machine, replica.Model}
	if replica.State != cluster.ReplicaLoading {
		delete(p.role.expectedLoadEnds, key)
		return 0
	}
	at, known := p.role.expectedLoadEnds[key]
	if !known {
		return 0
	}
	return max(at.Sub(p.role.core.now), 0)
}

// changedRecords returns the records of after that differ from before, and those
// missing from after as absent. Both are sorted by machine and model. A change of
// ReadyIn alone does not count.
func changedRecords(before, after []wire.ReplicaRecord) []wire.ReplicaRecord {
	var changes []wire.ReplicaRecord
	i, j := 0, 0
	for i < len(before) || j < len(after) {
		switch order := compareRecords(before, i, after, j); {
		case order < 0:
			absent := before[i]
			absent.State, absent.ReadyIn = cluster.ReplicaAbsent, 0
			changes = append(changes, absent)
			i++
		case order > 0:
			changes = append(changes, after[j])
			j++
		default:
			if !equalExceptReadyIn(before[i], after[j]) {
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

func equalExceptReadyIn(a, b wire.ReplicaRecord) bool {
	a.ReadyIn, b.ReadyIn = 0, 0
	return a == b
}

package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/limit"
	"github.com/valveslip/valveslip/wire"
)

// accept reports whether a status is newer than the last one of the zone, and whether one before it
// was missed. It rejects a status with a smaller fencing token, which comes from a controller that
// lost its lease, and one with a smaller or equal sequence, which is late or a duplicate. Only a
// full status requested after a missed one may repeat the last sequence.
func (c *cell) accept(status *wire.CellStatus) (accepted, missed bool) {
	if status.Token < c.token {
		return false, false
	}
	if status.Token == c.token && c.hasStatus {
		repeats := status.Full && c.missedStatus && status.Sequence == c.sequence
		if status.Sequence <= c.sequence && !repeats {
			return false, false
		}
	}
	next := status.Token == c.token && status.Sequence == c.sequence+1
	c.token, c.sequence, c.lost, c.hasStatus = status.Token, status.Sequence, false, true
	if status.Full {
		c.missedStatus = false
		return true, false
	}
	if !next {
		c.missedStatus = true
	}
	return true, c.missedStatus
}

// applyCellStatus applies a zone's replicas, loads and limit shares. Each record is absolute, so
// the records of a delta apply even after a missed status; a full status is then requested.
func (r *Router) applyCellStatus(status *wire.CellStatus) {
	zone := r.cells[status.Zone]
	if zone == nil {
		zone = &cell{}
		r.cells[status.Zone] = zone
	}
	wasLost := zone.lost
	accepted, missed := zone.accept(status)
	if !accepted {
		return
	}
	if wasLost {
		r.zoneRecovered(status.Zone)
	}
	if missed {
		r.emit(StatusNeeded{Zone: status.Zone})
	}
	r.applyReplicas(status)
	reported := r.applyLoads(status)
	r.applyShares(status)
	r.updateChangedModels()
	for _, machine := range reported {
		r.dispatchToMachine(machine)
	}
}

// applyReplicas applies the replica records of a status.
func (r *Router) applyReplicas(status *wire.CellStatus) {
	r.statusCount++
	for i := range status.Replicas {
		r.applyReplica(status.Zone, &status.Replicas[i])
	}
	if status.Full {
		r.dropUnlisted(status.Zone)
	}
}

// applyReplica applies one replica record. The newest record of a loading or loaded replica
// determines whether the machine is leaving; any other record can only set that.
func (r *Router) applyReplica(zone cluster.ZoneID, record *wire.ReplicaRecord) {
	if record.State == cluster.ReplicaAbsent || record.State == cluster.ReplicaUnloading {
		if known := r.machines[record.Machine]; known != nil && record.Leaving {
			r.setLeavingListed(known, true)
		}
		r.dropReplica(record.Machine, record.Model)
		return
	}
	machine := r.machineState(record.Machine)
	machine.zone, machine.address = zone, record.Address
	machine.slots = record.Slots
	if machine.slots <= 0 {
		machine.slots = r.config.DefaultSlots
	}
	r.setLeavingListed(machine, record.Leaving)
	model := r.modelState(record.Model)
	known := machine.replica(model)
	if known == nil {
		known = &replica{model: model, machine: machine, stateSince: r.nanos}
		machine.replicas = append(machine.replicas, known)
	} else {
		model.detach(known)
	}
	r.updateReplica(known, record)
	model.attach(known, r.distance(zone))
	r.changedModels = append(r.changedModels, model)
}

// updateReplica applies a record's state to the replica and observes load times.
func (r *Router) updateReplica(known *replica, record *wire.ReplicaRecord) {
	if known.state == cluster.ReplicaLoading && record.State == cluster.ReplicaLoaded {
		r.observeLoad(known.model, float64(r.nanos-known.stateSince))
	}
	if known.state != record.State {
		known.stateSince = r.nanos
		if record.State == cluster.ReplicaLoading && record.ReadyIn > 0 {
			updateMean(r.kindLoadTime(known.model), float64(record.ReadyIn))
		}
	}
	known.state, known.version, known.lastStatus = record.State, record.Version, r.statusCount
	known.missingUntil, known.readyAt = 0, 0
	if record.State == cluster.ReplicaLoading && record.ReadyIn > 0 {
		known.readyAt = r.nanos + int64(record.ReadyIn)
	}
}

// observeLoad updates the load time estimates with a load of the model.
func (r *Router) observeLoad(m *model, took float64) {
	updateMean(&m.meanLoadTime, took)
	updateMean(r.kindLoadTime(m), took)
	if m.shortestLoad == 0 || took < m.shortestLoad {
		m.shortestLoad = took
	}
}

// dropUnlisted removes the zone's replicas that the full status did not list.
func (r *Router) dropUnlisted(zone cluster.ZoneID) {
	for _, machine := range r.machines {
		if machine.zone != zone {
			continue
		}
		for _, replica := range slices.Clone(machine.replicas) {
			if replica.lastStatus != r.statusCount {
				r.dropReplica(machine.id, replica.model.id)
			}
		}
		r.forgetMachine(machine)
	}
}

// dropReplica removes a replica if it is known.
func (r *Router) dropReplica(id cluster.MachineID, modelID cluster.ModelID) {
	machine, model := r.machines[id], r.models[modelID]
	if machine == nil || model == nil {
		return
	}
	known := machine.replica(model)
	if known == nil {
		return
	}
	model.detach(known)
	at := slices.Index(machine.replicas, known)
	machine.replicas = slices.Delete(machine.replicas, at, at+1)
	if len(machine.replicas) == 0 {
		// The engine has left or was restarted, so its cache is gone.
		r.prefixes.Forget(id)
	}
	r.changedModels = append(r.changedModels, model)
}

// machineRetention is how long the leaving state or the rate limit of a machine without replicas is
// kept: 10 min, longer than the delay of any status.
const machineRetention = int64(10 * time.Minute)

// forgetMachine deletes the state of a machine that nothing refers to.
func (r *Router) forgetMachine(m *machine) {
	if len(m.replicas) > 0 || m.inFlight+m.reserved > 0 {
		return
	}
	if m.leavingAnnounced && r.nanos-m.leavingAnnouncedAt < machineRetention {
		return
	}
	if m.turns.limited && r.nanos-m.turns.limitHeardAt < machineRetention || r.nanos < m.turns.restUntil {
		return
	}
	r.disarm(&m.timer)
	r.prefixes.Forget(m.id)
	delete(r.machines, m.id)
}

// applyLoads applies load reports and returns the machines that they concern.
func (r *Router) applyLoads(status *wire.CellStatus) []*machine {
	var reported []*machine
	for _, load := range status.Loads {
		if machine := r.machines[load.Machine]; machine != nil {
			machine.applyLoad(load.Running+load.Queued, r.nanos-int64(load.Age))
			if end := r.reportExpiry(machine); machine.otherWork > 0 && end > r.nanos {
				r.wakeAt(machine, end)
			}
			reported = append(reported, machine)
		}
	}
	return reported
}

// applyShares puts granted shares of limits in force.
func (r *Router) applyShares(status *wire.CellStatus) {
	for _, share := range status.Shares {
		r.limits.Grant(share.Path, limit.Share{
			Concurrency: share.Concurrency, Requests: share.Requests, Tokens: share.Tokens,
			Expires: r.nanos + int64(share.ExpiresIn),
		})
	}
}

// updateChangedModels dispatches for the models whose replicas changed, and refuses waiting
// requests that can no longer start in time.
func (r *Router) updateChangedModels() {
	changed := r.changedModels
	r.changedModels = nil
	r.recheckHeldBack = true
	slices.SortFunc(changed, func(a, b *model) int { return strings.Compare(string(a.id), string(b.id)) })
	for _, model := range slices.Compact(changed) {
		r.recountReplicas(model)
		r.dispatchQueue(model)
		r.refuseUnmeetable(model)
		r.forgetIfUnused(model)
	}
}

// recountReplicas counts the model's replicas again. When the first one is loaded, the measurement
// of the interval between starts begins.
func (r *Router) recountReplicas(m *model) {
	before := m.loaded
	m.countReplicas()
	if before == 0 && m.loaded > 0 {
		m.startInterval.from = r.nanos
	}
	m.updateUnserved(r.nanos)
}

// cellLost marks the zone's controller as lost. The zone's replicas stay in use: its engines may
// still run, and one that no longer holds a model says so at the cost of one refusal. Only the
// expected load times of the zone are no longer trusted.
func (r *Router) cellLost(zone cluster.ZoneID) {
	if known := r.cells[zone]; known != nil {
		known.lost = true
	}
}

// zoneRecovered evaluates the waiting requests again by the zone's expected load times.
func (r *Router) zoneRecovered(zone cluster.ZoneID) {
	for _, machine := range r.machines {
		if machine.zone == zone {
			r.markModelsChanged(machine)
		}
	}
}

// zoneLost reports whether the zone's controller is unknown or no longer heard of.
func (r *Router) zoneLost(zone cluster.ZoneID) bool {
	known := r.cells[zone]
	return known == nil || known.lost
}

// machineLeaving permanently stops dispatches to a machine.
func (r *Router) machineLeaving(id cluster.MachineID) {
	machine := r.machineState(id)
	if machine.leavingAnnounced {
		return
	}
	machine.leavingAnnounced, machine.leavingAnnouncedAt = true, r.nanos
	r.markModelsChanged(machine)
	r.updateChangedModels()
}

// setLeavingListed applies the leaving state of the cell status.
func (r *Router) setLeavingListed(m *machine, listed bool) {
	if m.leavingListed != listed {
		m.leavingListed = listed
		r.markModelsChanged(m)
	}
}

// markModelsChanged records that the usable replicas of the machine's models changed.
func (r *Router) markModelsChanged(m *machine) {
	for _, replica := range m.replicas {
		r.changedModels = append(r.changedModels, replica.model)
	}
}

// machineState returns the state of a machine and creates it if necessary.
func (r *Router) machineState(id cluster.MachineID) *machine {
	state := r.machines[id]
	if state == nil {
		state = &machine{id: id, slots: r.config.DefaultSlots, preference: r.preference(id)}
		state.timer.machine = state
		r.machines[id] = state
	}
	return state
}

// preference returns this router's order value for a machine.
func (r *Router) preference(id cluster.MachineID) uint64 {
	if r.config.Subset == 0 {
		return 0
	}
	return xxhash.Sum64String(string(id)) * (r.seed | 1)
}

// replica returns the machine's replica of the model, or nil.
func (m *machine) replica(of *model) *replica {
	for _, known := range m.replicas {
		if known.model == of {
			return known
		}
	}
	return nil
}

// distance returns the distance of a zone from the node.
func (r *Router) distance(zone cluster.ZoneID) distance {
	switch {
	case zone == r.config.Zone:
		return sameZone
	case r.config.Region != "" && r.regions[zone] == r.config.Region:
		return sameRegion
	default:
		return elsewhere
	}
}

// attach adds a replica to its model's list, which is sorted by machine.
func (m *model) attach(added *replica, at distance) {
	added.distance = at
	list := m.replicaList(added)
	place, _ := slices.BinarySearchFunc(*list, added, compareMachines)
	*list = slices.Insert(*list, place, added)
}

// detach removes a replica from its model's list.
func (m *model) detach(known *replica) {
	list := m.replicaList(known)
	if place := slices.Index(*list, known); place >= 0 {
		*list = slices.Delete(*list, place, place+1)
	}
}

func (m *model) replicaList(of *replica) *[]*replica {
	if of.state == cluster.ReplicaLoaded {
		return &m.tiers[of.distance]
	}
	return &m.loading
}

func compareMachines(a, b *replica) int {
	return cmp.Or(
		cmp.Compare(a.machine.preference, b.machine.preference),
		strings.Compare(string(a.machine.id), string(b.machine.id)),
	)
}

// rebuildTiers assigns a model's loaded replicas to distances again after regions of zones changed.
func (r *Router) rebuildTiers(m *model) {
	var all []*replica
	for i := range m.tiers {
		all = append(all, m.tiers[i]...)
		m.tiers[i] = nil
	}
	for _, replica := range all {
		m.attach(replica, r.distance(replica.machine.zone))
	}
}

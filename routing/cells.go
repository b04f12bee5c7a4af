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

// accept decides whether a status is newer than what is known of the zone and
// reports whether one before it was missed. A status of a smaller token comes
// from a controller that lost its lease, one of a smaller or equal sequence is
// late or a duplicate; both are ignored. The answer to a request for a full
// status may repeat the last sequence.
func (c *cell) accept(status *wire.CellStatus) (accepted, missed bool) {
	if status.Token < c.token {
		return false, false
	}
	if status.Token == c.token && c.heard {
		repeats := status.Full && c.gap && status.Sequence == c.sequence
		if status.Sequence <= c.sequence && !repeats {
			return false, false
		}
	}
	next := status.Token == c.token && status.Sequence == c.sequence+1
	c.token, c.sequence, c.lost, c.heard = status.Token, status.Sequence, false, true
	if status.Full {
		c.gap = false
		return true, false
	}
	if !next {
		c.gap = true
	}
	return true, c.gap
}

// cellStatus takes a zone's replicas and loads. Each record is absolute, so
// the records of a delta apply even when an earlier one was missed; a full
// status is asked for then.
func (r *Router) cellStatus(status *wire.CellStatus) {
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
		r.zoneFound(status.Zone)
	}
	if missed {
		r.emit(StatusNeeded{Zone: status.Zone})
	}
	r.applyReplicas(status)
	loaded := r.applyLoads(status)
	r.applyShares(status)
	r.settleModels()
	for _, machine := range loaded {
		r.serveMachine(machine)
	}
}

// applyReplicas takes the records.
func (r *Router) applyReplicas(status *wire.CellStatus) {
	r.statuses++
	for i := range status.Replicas {
		r.applyReplica(status.Zone, &status.Replicas[i])
	}
	if status.Full {
		r.dropUnlisted(status.Zone)
	}
}

// applyReplica takes one record. Whether the machine leaves is what the newest
// record of a usable replica says; any other record can only say that it does.
func (r *Router) applyReplica(zone cluster.ZoneID, record *wire.ReplicaRecord) {
	if record.State == cluster.ReplicaAbsent || record.State == cluster.ReplicaUnloading {
		if known := r.machines[record.Machine]; known != nil && record.Leaving {
			r.setListed(known, true)
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
	r.setListed(machine, record.Leaving)
	model := r.modelState(record.Model)
	known := machine.replica(model)
	if known == nil {
		known = &replica{model: model, machine: machine, since: r.nanos}
		machine.replicas = append(machine.replicas, known)
	} else {
		model.detach(known)
	}
	r.updateReplica(known, record)
	model.attach(known, r.distance(zone))
	r.changed = append(r.changed, model)
}

// updateReplica takes a record's state and learns load times.
func (r *Router) updateReplica(known *replica, record *wire.ReplicaRecord) {
	if known.state == cluster.ReplicaLoading && record.State == cluster.ReplicaLoaded {
		r.learnLoad(known.model, float64(r.nanos-known.since))
	}
	if known.state != record.State {
		known.since = r.nanos
		if record.State == cluster.ReplicaLoading && record.ReadyIn > 0 {
			learn(r.kindLoadTime(known.model), float64(record.ReadyIn))
		}
	}
	known.state, known.version, known.seen = record.State, record.Version, r.statuses
	known.missingUntil, known.readyAt = 0, 0
	if record.State == cluster.ReplicaLoading && record.ReadyIn > 0 {
		known.readyAt = r.nanos + int64(record.ReadyIn)
	}
}

// learnLoad takes how long a load of the model took.
func (r *Router) learnLoad(m *model, took float64) {
	learn(&m.loadTime, took)
	learn(r.kindLoadTime(m), took)
	if m.quickestLoad == 0 || took < m.quickestLoad {
		m.quickestLoad = took
	}
}

// dropUnlisted removes the zone's replicas that the full status did not name.
func (r *Router) dropUnlisted(zone cluster.ZoneID) {
	for _, machine := range r.machines {
		if machine.zone != zone {
			continue
		}
		for _, replica := range slices.Clone(machine.replicas) {
			if replica.seen != r.statuses {
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
		// The engine has left or begun anew: its cache is gone.
		r.prefixes.Forget(id)
	}
	r.changed = append(r.changed, model)
}

// announcedMemory is how long the leaving of a machine without replicas, or its limit, is
// remembered, longer than any status is late.
const announcedMemory = int64(10 * time.Minute)

// forgetMachine drops the state of a machine that nothing refers to.
func (r *Router) forgetMachine(m *machine) {
	if len(m.replicas) > 0 || m.inFlight+m.reserved > 0 {
		return
	}
	if m.announced && r.nanos-m.announcedAt < announcedMemory {
		return
	}
	if m.turns.limited && r.nanos-m.turns.heardAt < announcedMemory || r.nanos < m.turns.restsUntil {
		return
	}
	r.disarm(&m.timer)
	r.prefixes.Forget(m.id)
	delete(r.machines, m.id)
}

// applyLoads takes load reports and returns the machines they concern.
func (r *Router) applyLoads(status *wire.CellStatus) []*machine {
	var reported []*machine
	for _, load := range status.Loads {
		if machine := r.machines[load.Machine]; machine != nil {
			machine.report(load.Running+load.Queued, r.nanos-int64(load.Age))
			if end := r.reportEnd(machine); machine.others > 0 && end > r.nanos {
				r.wake(machine, end)
			}
			reported = append(reported, machine)
		}
	}
	return reported
}

// applyShares puts granted parts of limits in force.
func (r *Router) applyShares(status *wire.CellStatus) {
	for _, share := range status.Shares {
		r.limits.Grant(share.Path, limit.Share{
			Concurrency: share.Concurrency, Requests: share.Requests, Tokens: share.Tokens,
			Expires: r.nanos + int64(share.ExpiresIn),
		})
	}
}

// settleModels serves the models whose replicas changed, and ends waiting
// requests that can no longer start in time.
func (r *Router) settleModels() {
	changed := r.changed
	r.changed = nil
	slices.SortFunc(changed, func(a, b *model) int { return strings.Compare(string(a.id), string(b.id)) })
	for _, model := range slices.Compact(changed) {
		r.countLoaded(model)
		r.serve(model)
		r.refuseUnmeetable(model)
		r.forgetIfUnused(model)
	}
}

// countLoaded counts the model's replicas anew. From the first one on its requests start.
func (r *Router) countLoaded(m *model) {
	before := m.loaded
	m.countMatching()
	if before == 0 && m.loaded > 0 {
		m.starts.since = r.nanos
	}
	m.noteAbsence(r.nanos)
}

// cellLost keeps the zone's replicas in use: the loss of a controller is not
// the loss of its engines, and one that no longer holds a model says so at the
// cost of one refusal. Expected load times of the zone are no longer trusted.
func (r *Router) cellLost(zone cluster.ZoneID) {
	if known := r.cells[zone]; known != nil {
		known.lost = true
	}
}

// zoneFound judges the waiting requests anew by the zone's expected load times.
func (r *Router) zoneFound(zone cluster.ZoneID) {
	for _, machine := range r.machines {
		if machine.zone == zone {
			r.modelsChanged(machine)
		}
	}
}

// zoneLost reports whether nothing is known of the zone any more.
func (r *Router) zoneLost(zone cluster.ZoneID) bool {
	known := r.cells[zone]
	return known == nil || known.lost
}

// machineLeaving stops dispatches to a machine at once and for good.
func (r *Router) machineLeaving(id cluster.MachineID) {
	machine := r.machineState(id)
	if machine.announced {
		return
	}
	machine.announced, machine.announcedAt = true, r.nanos
	r.modelsChanged(machine)
	r.settleModels()
}

// setListed takes the leaving state of the cell's status.
func (r *Router) setListed(m *machine, listed bool) {
	if m.listed != listed {
		m.listed = listed
		r.modelsChanged(m)
	}
}

// modelsChanged notes that the usable replicas of a machine's models changed.
func (r *Router) modelsChanged(m *machine) {
	for _, replica := range m.replicas {
		r.changed = append(r.changed, replica.model)
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

// preference of this router for a machine.
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

// distance of a zone from the node.
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

// attach lists a replica with its model, sorted by machine.
func (m *model) attach(added *replica, at distance) {
	added.distance = at
	list := m.list(added)
	place, _ := slices.BinarySearchFunc(*list, added, compareMachines)
	*list = slices.Insert(*list, place, added)
}

// detach takes a replica off its model's list.
func (m *model) detach(known *replica) {
	list := m.list(known)
	if place := slices.Index(*list, known); place >= 0 {
		*list = slices.Delete(*list, place, place+1)
	}
}

func (m *model) list(of *replica) *[]*replica {
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

// rebuildTiers sorts a model's replicas anew after zones' regions changed.
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

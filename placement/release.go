package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
)

// planUnloads plans the unloads that are due whether or not a load needs the memory.
func (r *round) planUnloads() {
	r.releaseRemoved()
	// Adapters are unloaded first. A base model that is kept only for them is released in a
	// later round.
	for i := range r.models {
		if r.models[i].held > 0 {
			r.releaseModel(int32(i))
		}
	}
}

// releaseRemoved unloads models that were removed from the settings.
func (r *round) releaseRemoved() {
	for i := range r.replicas {
		replica := &r.replicas[i]
		if replica.model == noIndex && r.mayUnload(replica) {
			r.unloadWithAdapters(replica, r.reason(noIndex, CauseRemoved, ""))
		}
	}
}

// releaseModel plans the unloads of one model: replicas above the allotment, outdated replicas,
// and surplus idle ones.
func (r *round) releaseModel(i int32) {
	model := &r.models[i]
	if r.state.Allotment != nil {
		r.releaseAboveAllotment(i)
	}
	r.releaseOutdated(i)
	surplus := model.serving - model.retained
	if surplus <= 0 || r.config.RetainIdle {
		return
	}
	reason := model.reason
	if reason.Cause != CauseIdle {
		reason = r.reason(i, CauseIdle, keyMaxReplicas)
	}
	r.releaseSurplus(i, surplus, reason)
}

// releaseAboveAllotment unloads replicas above the allotment even if they are in use, because
// another zone waits for the share.
func (r *round) releaseAboveAllotment(i int32) {
	model := &r.models[i]
	reason := r.reason(i, CauseAllotmentFull, keyMaxReplicas)
	if model.limit == 0 {
		reason = r.reason(i, CauseNotAllotted, "zones")
	}
	for excess := model.confirmed - model.limit; excess > 0; excess-- {
		if !r.unloadCheapest(i, reason, func(*replicaState) bool { return true }) {
			return
		}
	}
	if len(model.candidates) == 0 {
		return
	}
	for s := model.firstReplica; s != noIndex; s = r.replicas[s].next {
		replica := &r.replicas[s]
		if !slices.Contains(model.candidates, r.state.Machines[replica.machine].ID) && r.mayUnload(replica) {
			r.unloadWithAdapters(replica, r.reason(i, CauseNotAllotted, "zones"))
		}
	}
}

// releaseOutdated unloads replicas of an old version or on leaving machines. It does so once
// enough other replicas serve, or one at a time if the allotment leaves no room for a
// replacement beside them.
func (r *round) releaseOutdated(i int32) {
	model := &r.models[i]
	satisfied := model.serving >= max(model.wanted, min(model.retained, 1))
	blocked := model.held >= model.limit && model.unloading == 0
	if !satisfied && !blocked {
		return
	}
	for s := model.firstReplica; s != noIndex; s = r.replicas[s].next {
		replica := &r.replicas[s]
		if replica.serving || replica.unloading || !r.mayUnload(replica) {
			continue
		}
		leaving := r.state.Machines[replica.machine].Leaving
		if leaving && satisfied {
			continue // The replica ends with its machine.
		}
		reason := r.reason(i, CauseVersion, keyVersion)
		if leaving {
			reason = r.reason(i, CauseMachineLeaves, "")
		}
		r.unloadWithAdapters(replica, reason)
		if !satisfied {
			return
		}
	}
}

// releaseSurplus unloads surplus loaded replicas that no adapter depends on.
func (r *round) releaseSurplus(i int32, surplus int, reason Reason) {
	for ; surplus > 0; surplus-- {
		loaded := func(replica *replicaState) bool {
			return replica.serving && replica.slot.State == cluster.ReplicaLoaded && !r.baseInUse(replica.machine, i)
		}
		if !r.unloadCheapest(i, reason, loaded) {
			return
		}
	}
}

// unloadCheapest unloads the eligible replica that runs the fewest requests, and among equals
// the one on the busiest machine. It returns false if there is none.
func (r *round) unloadCheapest(i int32, reason Reason, eligible func(*replicaState) bool) bool {
	best := noIndex
	for s := r.models[i].firstReplica; s != noIndex; s = r.replicas[s].next {
		replica := &r.replicas[s]
		if !r.mayUnload(replica) || !eligible(replica) {
			continue
		}
		if best == noIndex || r.compareUnload(replica, &r.replicas[best]) < 0 {
			best = s
		}
	}
	if best == noIndex {
		return false
	}
	r.unloadWithAdapters(&r.replicas[best], reason)
	return true
}

// compareUnload orders the replicas of one model by which is unloaded first.
func (r *round) compareUnload(a, b *replicaState) int {
	if a.serving != b.serving {
		if b.serving {
			return -1
		}
		return 1
	}
	loadA, loadB := &r.state.Machines[a.machine].Load, &r.state.Machines[b.machine].Load
	return cmp.Or(
		cmp.Compare(loadA.PerModel[a.slot.Model], loadB.PerModel[b.slot.Model]),
		cmp.Compare(loadB.Running+loadB.Queued, loadA.Running+loadA.Queued),
		cmp.Compare(a.machine, b.machine),
	)
}

// mayUnload reports whether the replica may be ordered to unload: its machine is sealed, its
// state is known and it is not unloading already.
func (r *round) mayUnload(replica *replicaState) bool {
	return !replica.unloading && !replica.slot.Unknown && r.state.Machines[replica.machine].Sealed
}

// unloadWithAdapters plans the unload of one replica. If adapters depend on it, they are
// unloaded first and the replica follows in a later round.
func (r *round) unloadWithAdapters(replica *replicaState, reason Reason) {
	if replica.model != noIndex && r.baseInUse(replica.machine, replica.model) {
		r.unloadAdapters(replica.machine, replica.model, reason)
		return
	}
	r.addUnload(replica, reason)
}

// unloadAdapters plans the unload of the base model's adapters on the machine.
func (r *round) unloadAdapters(m, base int32, reason Reason) {
	slots := r.replicasOn(m)
	for i := range slots {
		replica := &slots[i]
		if replica.model != noIndex && r.catalogue.entries[replica.model].base == base && r.mayUnload(replica) {
			r.addUnload(replica, reason)
		}
	}
}

// addUnload adds an unload to the plan and updates the counts.
func (r *round) addUnload(replica *replicaState, reason Reason) {
	replica.unloading = true
	r.machines[replica.machine].freeAfterUnloads += replica.slot.Bytes
	action := Action{
		Kind: cluster.OrderUnload, Machine: r.state.Machines[replica.machine].ID, Model: replica.slot.Model,
		Version: replica.slot.Version, Bytes: replica.slot.Bytes, DrainTime: defaultDrainTime, Reason: reason,
	}
	if replica.model != noIndex {
		model, entry := &r.models[replica.model], &r.catalogue.entries[replica.model]
		model.unloading++
		if replica.serving {
			replica.serving = false
			model.serving--
		}
		action.Base, action.DrainTime = entry.model.Base, drainTime(&entry.model.Policy)
	}
	r.plan.Actions = append(r.plan.Actions, action)
}

// defaultDrainTime limits the drain of replicas whose policy states no drain time, or has been
// removed with the model, so that each unload ends.
const defaultDrainTime = 30 * time.Second

// drainTime returns the policy's drain time, or the default.
func drainTime(policy *settings.Policy) time.Duration {
	if policy.DrainTime > 0 {
		return policy.DrainTime
	}
	return defaultDrainTime
}

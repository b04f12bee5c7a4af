package placement

import (
	"cmp"
	"slices"

	"github.com/valveslip/valveslip/cluster"
)

// victim is one replica that may be evicted, with the loss of doing so.
type victim struct {
	slot  int32
	bytes int64
	loss  float64
}

// evictFor unloads the replicas of least value on the machine where that
// makes room for the request at the smallest loss.
func (r *round) evictFor(request *request) {
	i := request.model
	bestMachine, bestLoss := none, 0.0
	for m := range r.machines {
		if !r.mayHold(i, int32(m)) {
			continue
		}
		needs, ok := r.needOn(i, int32(m))
		if !ok {
			continue
		}
		loss, enough := r.selectVictims(request, int32(m), needs.bytes)
		if enough && (bestMachine == none || loss+needs.expected.Seconds() < bestLoss) {
			bestMachine, bestLoss = int32(m), loss+needs.expected.Seconds()
		}
	}
	if bestMachine == none {
		return
	}
	needs, _ := r.needOn(i, bestMachine)
	r.selectVictims(request, bestMachine, needs.bytes)
	for _, chosen := range r.victims {
		r.evict(chosen, request)
	}
	r.claim(bestMachine, needs.bytes)
}

// mayHold reports whether the machine passes every filter but memory.
func (r *round) mayHold(i, m int32) bool {
	candidates := r.models[i].candidates
	if len(candidates) > 0 && !slices.Contains(candidates, r.state.Machines[m].ID) {
		return false
	}
	return r.filter(i, m) < 0
}

// evict unloads one victim; a base model's idle adapters are victims of their
// own and come before it.
func (r *round) evict(chosen victim, request *request) {
	ref := &r.slots[chosen.slot]
	reason := r.reason(ref.model, CauseEvicted, keyColdStartWeight)
	reason.Waiting = r.models[request.model].demand.Waiting
	reason.Idle = r.catalogue.entries[ref.model].track.idle(r.state.Now)
	r.models[ref.model].reason = reason
	r.unloadSlot(ref, reason)
}

// selectVictims fills r.victims with the replicas on the machine whose unload
// frees the bytes at the least loss; false when that can't be reached.
func (r *round) selectVictims(request *request, m int32, bytes int64) (loss float64, enough bool) {
	r.victims = r.victims[:0]
	short := bytes - r.machines[m].soon
	for s := r.machines[m].from; s < r.machines[m].to; s++ {
		if r.evictable(request, s) {
			r.victims = append(r.victims, r.victimOf(s))
		}
	}
	slices.SortFunc(r.victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.loss/float64(a.bytes), b.loss/float64(b.bytes)), cmp.Compare(a.slot, b.slot))
	})
	count := 0
	for ; count < len(r.victims) && short > 0; count++ {
		short -= r.victims[count].bytes
		loss += r.victims[count].loss
	}
	r.victims = r.victims[:count]
	return loss, short <= 0
}

// victimOf values one replica.
func (r *round) victimOf(s int32) victim {
	ref := &r.slots[s]
	entry := &r.catalogue.entries[ref.model]
	tier := max(r.state.Machines[ref.machine].Cached[entry.model.ID], cluster.TierRemote)
	reload := r.store.expected(tier, ref.slot.Bytes)
	idle := entry.track.idle(r.state.Now)
	loss := r.retention.value(entry.track, &entry.model.Policy, idle, reload)
	return victim{slot: s, bytes: max(ref.slot.Bytes, 1), loss: loss}
}

// evictable reports whether the slot may make room for the request: it is
// loaded, nothing depends on it, no minimum protects it, and its model has no
// work of equal or higher priority.
func (r *round) evictable(request *request, s int32) bool {
	ref := &r.slots[s]
	if ref.model == none || !ref.useful || ref.slot.State != cluster.ReplicaLoaded || !r.mayUnload(ref) {
		return false
	}
	model, entry := &r.models[ref.model], &r.catalogue.entries[ref.model]
	policy := &entry.model.Policy
	if r.baseInUse(ref.machine, ref.model) || r.catalogue.entries[request.model].base == ref.model {
		return false
	}
	if model.useful <= min(policy.MinReplicas, model.limit) {
		return false
	}
	running := r.state.Machines[ref.machine].Load.PerModel[entry.model.ID]
	if model.demand.Waiting+model.demand.Running+running == 0 {
		return true
	}
	return policy.Priority < r.catalogue.entries[request.model].model.Policy.Priority
}

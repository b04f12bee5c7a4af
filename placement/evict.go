package placement

import (
	"cmp"
	"slices"

	"github.com/valveslip/valveslip/cluster"
)

// victim is one replica that may be evicted, with the loss that this causes. For a base model
// it includes the adapters on the same machine.
type victim struct {
	// replicaIndex is the index of the replica in round.replicas.
	replicaIndex int32
	bytes        int64
	loss         float64
}

// evictFor plans the eviction for a load request on the machine where wait and loss together
// cost least, if that costs less than the best score without an eviction. A machine with a
// cached checkpoint may be worth an eviction even though another has free memory. It reports
// whether it planned one.
func (r *round) evictFor(request *loadRequest, choice *machineChoice, delay float64) bool {
	i := request.model
	m, needs := r.bestEviction(request, delay)
	if m == noIndex {
		return false
	}
	r.selectVictims(request, m, needs.bytes)
	for s := r.machines[m].firstReplica; s < r.machines[m].endReplica; s++ {
		if r.replicas[s].selected && !r.replicas[s].unloading && !r.unloadedWithBase(&r.replicas[s]) {
			r.evict(&r.replicas[s], request)
		}
	}
	r.reserveMemory(m, needs.bytes)
	reason := r.reason(i, CauseNoMemory, keyMemory)
	r.addChoice(&reason, choice)
	r.models[i].reason = reason
	return true
}

// bestEviction returns the machine where the wait of the load request plus the loss of the
// victims costs least, or noIndex if that is no less than the given delay without an eviction.
func (r *round) bestEviction(request *loadRequest, delay float64) (int32, loadRequirements) {
	i := request.model
	best, bestRequirements, bestCost := noIndex, loadRequirements{}, r.delayCost(request, delay)
	for m := range r.machines {
		if r.machines[m].pool != r.catalogue.entries[i].pool || !r.passesFilters(i, int32(m)) {
			continue
		}
		needs, ok := r.requirementsOn(i, int32(m))
		if !ok || needs.bytes <= r.machines[m].freeAfterUnloads && !r.lacksAdapterSlot(i, int32(m)) {
			continue
		}
		blocked := needs.storeLoads > 0 && !r.storeAllows(request.class)
		if blocked && request.class >= classPrefill {
			// No request waits for this load, but the evicted model would be missing until the
			// store allows the load.
			continue
		}
		if needs.storeLoads > 0 && !r.storeLoadIsWorthwhile(i, int32(m), r.remoteLoadTime(i, &needs)) {
			r.choice.filtered[filterKeptForLocalLoads]++
			continue
		}
		wait := r.machineScore(i, int32(m), &needs) + r.prefillScore(int32(m), request.class) + unloadScore
		if blocked {
			wait += storeScore
		}
		waitingCost := r.delayCost(request, wait)
		if waitingCost >= bestCost {
			continue
		}
		if loss, enough := r.selectVictims(request, int32(m), needs.bytes); enough && waitingCost+loss < bestCost {
			best, bestRequirements, bestCost = int32(m), needs, waitingCost+loss
		}
	}
	return best, bestRequirements
}

// waitCost returns the cost of the given wait for the model's requests, in the unit of
// retention.keepValue.
func (r *round) waitCost(i int32, seconds float64) float64 {
	entry := &r.catalogue.entries[i]
	requests := max(float64(r.models[i].demand.Waiting), entry.history.requestsPerWakeUp())
	return (minObjectiveWeight + entry.model.Policy.ColdStartWeight) * requests * coldStartCostOfSeconds(seconds)
}

// delayCost returns the cost of serving the load request after the given number of seconds.
func (r *round) delayCost(request *loadRequest, seconds float64) float64 {
	switch request.class {
	case classPrefill:
		return r.prefillPauseCost(request.model, r.models[request.model].serving, seconds)
	case classMissingCopy:
		return r.missingCopyCost(request.model, seconds)
	}
	return r.waitCost(request.model, seconds)
}

// passesFilters reports whether the machine passes every filter except memory.
func (r *round) passesFilters(i, m int32) bool {
	candidates := r.models[i].candidates
	if len(candidates) > 0 && !slices.Contains(candidates, r.state.Machines[m].ID) {
		return false
	}
	return r.failedFilter(i, m) < 0
}

// evict plans the unload of one replica. A base model with adapters is unloaded in a later
// round, after they are gone.
func (r *round) evict(replica *replicaState, request *loadRequest) {
	if r.baseInUse(replica.machine, replica.model) && !r.config.UnloadDropsAdapters {
		return
	}
	reason := r.reason(replica.model, CauseEvicted, keyColdStartWeight)
	reason.Waiting = r.models[request.model].demand.Waiting
	reason.Idle = r.catalogue.entries[replica.model].history.idle(r.state.Now)
	r.models[replica.model].reason = reason
	r.addUnload(replica, reason)
}

// unloadedWithBase reports whether an adapter needs no unload of its own because its base model
// is evicted from the same machine and includes it.
func (r *round) unloadedWithBase(replica *replicaState) bool {
	base := noIndex
	if replica.model != noIndex {
		base = r.catalogue.entries[replica.model].base
	}
	if base == noIndex || !r.config.UnloadDropsAdapters {
		return false
	}
	for _, dependent := range r.replicasOn(replica.machine) {
		if dependent.model == base && dependent.selected {
			return true
		}
	}
	return false
}

// selectVictims selects replicas on the machine that free the given bytes, those with the
// smallest loss per byte first. It returns false if they can't free enough.
func (r *round) selectVictims(request *loadRequest, m int32, bytes int64) (loss float64, enough bool) {
	r.victims = r.victims[:0]
	for s := r.machines[m].firstReplica; s < r.machines[m].endReplica; s++ {
		r.replicas[s].selected = false
		if r.evictable(request, s) {
			r.victims = append(r.victims, r.newVictim(s))
		}
	}
	if r.lacksAdapterSlot(request.model, m) {
		return r.selectAdapterVictim()
	}
	slices.SortFunc(r.victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.loss/float64(a.bytes), b.loss/float64(b.bytes)), cmp.Compare(a.replicaIndex, b.replicaIndex))
	})
	missing := bytes - r.machines[m].freeAfterUnloads
	for k := 0; k < len(r.victims) && missing > 0; k++ {
		missing -= r.selectWithAdapters(r.victims[k].replicaIndex)
		loss += r.victims[k].loss
	}
	return loss, missing <= 0
}

// selectAdapterVictim selects the adapter with the smallest loss among the victims, to free an
// adapter slot.
func (r *round) selectAdapterVictim() (loss float64, enough bool) {
	best := -1
	for k := range r.victims {
		replica := &r.replicas[r.victims[k].replicaIndex]
		if r.catalogue.entries[replica.model].base == noIndex {
			continue
		}
		if best < 0 || r.victims[k].loss < r.victims[best].loss {
			best = k
		}
	}
	if best < 0 {
		return 0, false
	}
	r.selectWithAdapters(r.victims[best].replicaIndex)
	return r.victims[best].loss, true
}

// selectWithAdapters selects a replica and its dependent adapters. It returns the bytes that
// this frees in addition to those of replicas already selected or unloading.
func (r *round) selectWithAdapters(s int32) (freed int64) {
	replica := &r.replicas[s]
	replicas := r.replicasOn(replica.machine)
	for i := range replicas {
		dependent := &replicas[i]
		included := dependent == replica || dependent.model != noIndex && r.catalogue.entries[dependent.model].base == replica.model
		if !included || dependent.selected {
			continue
		}
		dependent.selected = true
		if !dependent.unloading {
			freed += dependent.slot.Bytes
		}
	}
	return freed
}

// newVictim returns the bytes and the loss of one replica and its dependent adapters.
func (r *round) newVictim(s int32) victim {
	replica := &r.replicas[s]
	result := victim{replicaIndex: s}
	replicas := r.replicasOn(replica.machine)
	for i := range replicas {
		dependent := &replicas[i]
		included := dependent == replica || dependent.model != noIndex && r.catalogue.entries[dependent.model].base == replica.model
		if included && !dependent.unloading {
			result.bytes += dependent.slot.Bytes
			result.loss += r.evictionLoss(dependent)
		}
	}
	result.bytes = max(result.bytes, 1)
	return result
}

// evictionLoss returns the loss of evicting one replica. The result is cached: it is equal for
// all replicas of a model with the same size and tier as long as their number stays the same.
func (r *round) evictionLoss(replica *replicaState) float64 {
	entry := &r.catalogue.entries[replica.model]
	tier := r.state.Machines[replica.machine].Cached[entry.model.ID]
	cached := &r.models[replica.model].lossByTier[tier]
	serving := r.models[replica.model].serving
	if cached.bytes == replica.slot.Bytes && cached.bytes != 0 && cached.serving == serving {
		return cached.loss
	}
	cached.bytes, cached.serving = replica.slot.Bytes, serving
	if r.config.SerialOrders {
		cached.loss = r.evictionCost(replica, tier) + r.drainCost(replica.model)
	} else {
		reload := r.loadTime(replica.model, tier)
		cached.loss = r.retention.keepValue(entry.history, &entry.model.Policy, entry.history.idle(r.state.Now), reload)
	}
	return cached.loss
}

// cachedLoss is the loss of one replica, valid for its size and for the number of serving
// replicas.
type cachedLoss struct {
	bytes   int64
	serving int
	loss    float64
}

// evictable reports whether the replica may make room for the load request: it is loaded, no
// minimum protects it, and its model has no requests of equal or higher priority. The same must
// hold for the adapters that depend on it on the machine.
func (r *round) evictable(request *loadRequest, s int32) bool {
	replica := &r.replicas[s]
	if !r.evictableWithoutAdapters(request, replica) || r.catalogue.entries[request.model].base == replica.model {
		return false
	}
	replicas := r.replicasOn(replica.machine)
	for i := range replicas {
		dependent := &replicas[i]
		switch {
		case dependent.model == noIndex:
			if r.baseInUse(replica.machine, replica.model) {
				return false
			}
		case r.catalogue.entries[dependent.model].base != replica.model || dependent.unloading:
		case !r.evictableWithoutAdapters(request, dependent):
			return false
		}
	}
	return true
}

// evictableWithoutAdapters is evictable without the check of dependent adapters.
func (r *round) evictableWithoutAdapters(request *loadRequest, replica *replicaState) bool {
	if replica.model == noIndex || !replica.serving || replica.slot.State != cluster.ReplicaLoaded || !r.mayUnload(replica) {
		return false
	}
	model, entry := &r.models[replica.model], &r.catalogue.entries[replica.model]
	policy := &entry.model.Policy
	if model.serving <= min(r.minReplicas(replica.model), model.limit) {
		return false
	}
	running := r.state.Machines[replica.machine].Load.PerModel[entry.model.ID]
	if model.demand.Waiting+model.demand.Running+running == 0 || r.isPreemptible(request, replica.model) {
		return true
	}
	return policy.Priority < r.catalogue.entries[request.model].model.Policy.Priority
}

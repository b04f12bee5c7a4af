package placement

import (
	"math"

	"github.com/valveslip/valveslip/cluster"
)

// pendingWaitKind is what a load waits for although it could begin on another machine.
type pendingWaitKind uint8

const (
	waitKindNone pendingWaitKind = iota
	// waitKindBase waits until an adapter's base model is loaded.
	waitKindBase
	// waitKindBusy waits until a machine with a cached checkpoint has carried out its present
	// order.
	waitKindBusy
)

// pendingWait is the best way to serve a load request without a new order.
type pendingWait struct {
	kind    pendingWaitKind
	machine int32
	// seconds is the expected time until the model is loaded on the machine.
	seconds      float64
	requirements loadRequirements
}

// bestWait returns the wait that ends first.
func (r *round) bestWait(request *loadRequest) pendingWait {
	best := pendingWait{machine: noIndex, seconds: math.Inf(1)}
	if m, seconds := r.loadingBase(request.model); m != noIndex {
		best = pendingWait{kind: waitKindBase, machine: m, seconds: seconds}
	}
	if request.class > classPrefill {
		return best
	}
	for m := range r.machines {
		if next, ok := r.busyWait(request, int32(m)); ok && next.seconds < best.seconds {
			best = next
		}
	}
	return best
}

// busyWait returns the wait for a busy machine with a cached checkpoint of the model. A load
// from its cache after the present order may finish before a load from the weight store that
// begins now, and it occupies neither the store nor another machine.
func (r *round) busyWait(request *loadRequest, m int32) (pendingWait, bool) {
	machine, i := &r.state.Machines[m], request.model
	if machine.OrderTimeLeft <= 0 || machine.Cached[r.catalogue.entries[i].model.ID] == cluster.TierRemote {
		return pendingWait{}, false
	}
	if r.failedFilter(i, m) != filterBusy {
		return pendingWait{}, false
	}
	needs, ok := r.requirementsOn(i, m)
	if !ok || needs.storeLoads > 0 || r.lacksAdapterSlot(i, m) {
		return pendingWait{}, false
	}
	seconds := (machine.OrderTimeLeft + r.machines[m].queuedLoadTime).Seconds() + r.machineScore(i, m, &needs) + r.prefillScore(m, request.class)
	if needs.bytes > r.machines[m].freeAfterUnloads {
		if _, enough := r.selectVictims(request, m, needs.bytes); !enough {
			return pendingWait{}, false
		}
		seconds += unloadScore
	}
	return pendingWait{kind: waitKindBusy, machine: m, seconds: seconds, requirements: needs}, true
}

// queueOnBusyMachine reserves memory and time for a load on a busy machine, which a later round
// orders.
func (r *round) queueOnBusyMachine(i int32, wait *pendingWait, choice *machineChoice) {
	r.reserveMemory(wait.machine, wait.requirements.bytes)
	r.machines[wait.machine].queuedLoadTime += wait.requirements.expectedTime
	reason := r.reason(i, CauseMachineBusy, "")
	r.addChoice(&reason, choice)
	r.models[i].reason = reason
}

// remainingLoadTime returns the expected remaining seconds of a running load.
func (r *round) remainingLoadTime(m, model int32, replica *Replica) float64 {
	expected, began := r.coldStart(model), replica.Since
	if load, known := r.store.pending[loadKey{machine: r.state.Machines[m].ID, model: replica.Model}]; known {
		expected, began = load.expected, load.ordered
	}
	return max(expected-r.state.Now.Sub(began), 0).Seconds()
}

// loadingBase returns the machine that will be the first to have loaded an adapter's base model
// and has room for the adapter, and the seconds until then. It returns noIndex if there is
// none. Such a machine is carrying out an order, so chooseMachine excludes it.
func (r *round) loadingBase(i int32) (int32, float64) {
	base := r.catalogue.entries[i].base
	best, bestSeconds := noIndex, math.Inf(1)
	if base == noIndex {
		return best, bestSeconds
	}
	for s := r.models[base].firstReplica; s != noIndex; s = r.replicas[s].next {
		replica := &r.replicas[s]
		m := replica.machine
		if replica.slot.State != cluster.ReplicaLoading || !replica.serving || !r.state.Machines[m].Busy {
			continue
		}
		if r.lacksAdapterSlot(i, m) || r.catalogue.entries[i].model.Policy.Memory > r.machines[m].free || r.holds(m, i) {
			continue
		}
		if seconds := r.remainingLoadTime(m, base, replica.slot); seconds < bestSeconds {
			best, bestSeconds = m, seconds
		}
	}
	return best, bestSeconds
}

// reserveBesideBase reserves an adapter slot and memory for an adapter where its base model is
// loading.
func (r *round) reserveBesideBase(i, m int32) {
	r.reserveMemory(m, r.catalogue.entries[i].model.Policy.Memory)
	r.machines[m].adapters++
	r.models[i].reason = r.reason(i, CauseBaseMissing, "")
}

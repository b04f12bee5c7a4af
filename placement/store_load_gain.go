package placement

import (
	"math"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// On machines that carry out one order at a time, a load from the weight store delays the short
// loads of models that the machine has cached. This file compares the two in numbers of
// requests: those that the load serves, and those that arrive meanwhile for cached models that
// no other machine can load soon.

const (
	// rateTimeConstant is the time constant of the averages of arrivals and of busy machines.
	// Bursts much shorter than this change the averages little.
	rateTimeConstant = 20 * time.Second
	// copyHorizon is how long the copy that a load leaves on the machine counts, so that only
	// requests within this time add to the gain of the load.
	copyHorizon = time.Minute
	// lateRequestWeight is the weight of a request whose answer comes after its objective,
	// equal to its weight for callers. In trials, 0.3 and 1 gave worse results.
	lateRequestWeight = 0.2
	// displacedRequestWeight is the weight of a request that is not served although its model
	// was cached. It is larger than one because both the answer and the time for which the
	// request was held are lost.
	displacedRequestWeight = 2.0
	// minArrivalRate is the assumed rate, in requests per second, of models without recent
	// requests: one in four times rateTimeConstant.
	minArrivalRate = 0.0125
	// minBusyShare is the lower bound of the learned share of busy machines, because any
	// machine may become busy.
	minBusyShare = 0.1
)

// arrivalRate is a moving average of arrivals per second.
type arrivalRate struct{ perSecond float64 }

// observe adds the arrivals of the time that passed.
func (a *arrivalRate) observe(arrivals int, passed time.Duration) {
	if passed <= 0 {
		return
	}
	seconds, window := passed.Seconds(), rateTimeConstant.Seconds()
	a.perSecond += (float64(arrivals)/seconds - a.perSecond) * min(seconds/window, 1)
}

// busyShare is a moving average of the share of machines that are carrying out an order.
type busyShare struct {
	share float64
	at    time.Time
}

// observe adds the machines of a round and returns the time since the last one.
func (b *busyShare) observe(state *State) time.Duration {
	passed := state.Now.Sub(b.at)
	if b.at.IsZero() || passed < 0 {
		passed = 0
	}
	b.at = state.Now
	busy, usable := 0, 0
	for i := range state.Machines {
		machine := &state.Machines[i]
		if !machine.Sealed || machine.Leaving || len(machine.Cached) == 0 {
			continue
		}
		usable++
		if machine.Busy {
			busy++
		}
	}
	if usable > 0 {
		b.share += (float64(busy)/float64(usable) - b.share) * min(passed.Seconds()/rateTimeConstant.Seconds(), 1)
	}
	return passed
}

// current returns the share of busy machines, at least minBusyShare.
func (b *busyShare) current() float64 { return min(max(b.share, minBusyShare), 1) }

// storeLoadIsWorthwhile reports whether a load from the weight store serves at least as many
// requests, by weight, as it delays on the machine.
func (r *round) storeLoadIsWorthwhile(i, m int32, loadTime time.Duration) bool {
	if !r.config.SerialOrders {
		return true
	}
	return r.storeLoadGain(i, loadTime) >= displacedRequestWeight*r.exclusiveArrivalRate(m)*loadTime.Seconds()
}

// storeLoadGain returns how many requests a load of the model from the store serves, by weight:
// waiting requests that no loading replica will serve, future requests that would find no copy
// otherwise, and requests beyond the capacity of the present replicas.
func (r *round) storeLoadGain(i int32, loadTime time.Duration) float64 {
	model, busy := &r.models[i], r.busyMachines.current()
	loadingSlots := float64(max(model.serving-model.loaded, 0)) * r.slotsPerReplica(r.catalogue.entries[i].pool)
	waiting := max(float64(model.demand.Waiting)-loadingSlots, 0)
	if model.demand.Objective > 0 && loadTime > model.demand.Objective {
		waiting *= lateRequestWeight
	}
	if model.serving > model.loaded {
		return waiting
	}
	if model.serving > 0 {
		return waiting + r.overloadShare(i)*lateRequestWeight*r.arrivalRateOf(i)*rateTimeConstant.Seconds()
	}
	missProbability := math.Pow(busy, float64(model.localCopies)) * (1 - busy)
	return waiting + r.arrivalRateOf(i)*copyHorizon.Seconds()*missProbability
}

// lacksCopy reports whether a model with recent requests is on no machine in any form, for
// example after machines were replaced by empty ones. Such a model is loaded before its next
// request while the store has free capacity, where there is free memory or a replica that can
// be reloaded quickly.
func (r *round) lacksCopy(i int32) bool {
	model, entry := &r.models[i], &r.catalogue.entries[i]
	if !r.config.SerialOrders || entry.base != noIndex || model.wanted > 0 || model.held > 0 || model.bestTier != cluster.TierRemote {
		return false
	}
	return entry.history.arrivalRate.perSecond > minArrivalRate
}

// overloadShare returns the share of a model's requests, or of its prefill load, above the
// capacity of its replicas.
func (r *round) overloadShare(i int32) float64 {
	model := &r.models[i]
	requests := float64(model.demand.Waiting + model.demand.Running)
	capacity := r.config.targetRunning(r.slotsPerReplica(r.catalogue.entries[i].pool)) * float64(model.serving)
	return max((requests-capacity)/max(requests, 1), model.prefill.excessShare(model.serving), 0)
}

// exclusiveArrivalRate returns the rate of requests, per second, for models that the machine
// has cached, weighted by the probability that all other machines with a copy are busy.
func (r *round) exclusiveArrivalRate(m int32) float64 {
	machine := &r.machines[m]
	if machine.exclusiveRateKnown {
		return machine.exclusiveRate
	}
	busy := r.busyMachines.current()
	// Integers make the sum independent of the order of the map.
	var millionths int64
	for id := range r.state.Machines[m].Cached {
		i := r.catalogue.indexOf(id)
		if i == noIndex || r.models[i].serving > 0 || r.catalogue.entries[i].pool != machine.pool {
			continue
		}
		elsewhere := max(r.models[i].localCopies-1, 0)
		millionths += int64(1e6 * r.arrivalRateOf(i) * math.Pow(busy, float64(elsewhere)))
	}
	machine.exclusiveRate, machine.exclusiveRateKnown = float64(millionths)/1e6, true
	return machine.exclusiveRate
}

// excludeFromLocalLoads removes a machine that gets a load from the store from the copies of
// its cached models.
func (r *round) excludeFromLocalLoads(m int32) {
	for id := range r.state.Machines[m].Cached {
		if i := r.catalogue.indexOf(id); i != noIndex && r.models[i].localCopies > 0 {
			r.models[i].localCopies--
		}
	}
	for k := range r.machines {
		r.machines[k].exclusiveRateKnown = false
	}
}

// arrivalRateOf returns the model's rate of arrivals, at least minArrivalRate.
func (r *round) arrivalRateOf(i int32) float64 {
	return max(r.catalogue.entries[i].history.arrivalRate.perSecond, minArrivalRate)
}

// remoteLoadTime returns how long the loads from the store occupy the machine for the given
// requirements.
func (r *round) remoteLoadTime(i int32, needs *loadRequirements) time.Duration {
	if needs.tier == cluster.TierRemote {
		return r.loadTime(i, cluster.TierRemote)
	}
	return r.loadTime(r.catalogue.entries[i].base, cluster.TierRemote)
}

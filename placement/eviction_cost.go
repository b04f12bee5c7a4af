package placement

import (
	"math"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// The cost of evicting a replica depends on how soon the model's next request comes and how
// late its answer would be. The delay depends on where else the model is: loaded on another
// engine, cached on a disk, or only in the weight store.

const (
	// nextRequestHorizon is the time, 10 s, within which the next request counts in full. Loads
	// evict a replica every few seconds, so models with a request within this time are evicted
	// last.
	nextRequestHorizon = 10 * time.Second
	// inTimeReloadWeight is the weight of a reload that still lets the answer begin within the
	// objective. It is smaller than one because such an answer is not late.
	inTimeReloadWeight = 0.1
	// spareReplicaWeight is the weight of a reload while another engine has the model loaded.
	// It is larger than zero because that replica may also be evicted, or its engine lost,
	// before the next request.
	spareReplicaWeight = 0.05
)

// evictionCost returns the cost of evicting a loaded replica, in the unit of
// retention.keepValue.
func (r *round) evictionCost(replica *replicaState, tier cluster.Tier) float64 {
	i := replica.model
	model, entry := &r.models[i], &r.catalogue.entries[i]
	reload := r.reloadTime(i, tier)
	cost := r.nextRequestCost(i, reload)
	delay := reload.Seconds() + unloadScore
	switch {
	case model.serving > 1:
		return spareReplicaWeight*cost + r.prefillPauseCost(i, model.serving-1, prefillHorizon.Seconds())
	case delay < entry.history.objective.Seconds():
		return inTimeReloadWeight * cost
	}
	return cost
}

// reloadTime returns how long a load takes after a machine with a copy in the given tier has
// unloaded the model: from that copy, or from that of another machine.
func (r *round) reloadTime(i int32, tier cluster.Tier) time.Duration {
	source := min(tier, cluster.TierDisk)
	model := &r.models[i]
	otherCopies := model.localCopies
	if tier != cluster.TierRemote {
		otherCopies--
	}
	if otherCopies > 0 {
		source = max(source, min(model.bestTier, cluster.TierDisk))
	}
	return r.loadTime(i, source)
}

// missingCopyCost returns the cost of having no copy of a model on any machine until a load
// finishes after the given number of seconds. The next request, if it comes soon, waits for the
// store, or for half of a load that has begun.
func (r *round) missingCopyCost(i int32, seconds float64) float64 {
	loadTime := r.loadTime(i, cluster.TierRemote)
	waitShare := min(seconds/(2*loadTime.Seconds()), 1)
	return waitShare * r.nextRequestCost(i, loadTime)
}

// nextRequestCost returns the expected cost of a load's delay to the model's next request,
// weighted by the probability that it comes within nextRequestHorizon.
func (r *round) nextRequestCost(i int32, loadTime time.Duration) float64 {
	entry := &r.catalogue.entries[i]
	probability := 1 - math.Exp(-r.arrivalRateOf(i)*nextRequestHorizon.Seconds())
	return probability * r.retention.keepValue(entry.history, &entry.model.Policy, entry.history.idle(r.state.Now), loadTime)
}

// isPreemptible reports whether a replica of a model with requests may be evicted for a waiting
// request: other replicas serve its requests, and it was needed only for prefill. Otherwise
// models with copies on few engines wait for the weight store while busy models occupy those
// engines.
func (r *round) isPreemptible(request *loadRequest, i int32) bool {
	model := &r.models[i]
	spare := model.serving > max(model.neededForRequests, 1) && model.serving-model.loaded == 0
	return r.config.SerialOrders && request.class == classWaiting && spare
}

// drainCost returns the cost of the streams that a replica of a model with requests must finish
// before its eviction.
func (r *round) drainCost(i int32) float64 {
	model, policy := &r.models[i], &r.catalogue.entries[i].model.Policy
	if model.demand.Waiting+model.demand.Running == 0 {
		return 0
	}
	return (minObjectiveWeight + policy.ColdStartWeight) * coldStartCost(streamDuration)
}

package placement

import (
	"math"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Keys of the settings tree that reasons refer to.
const (
	keyMinReplicas     = "min_replicas"
	keyMaxReplicas     = "max_replicas"
	keyKeepAlive       = "keep_alive"
	keyColdStartWeight = "cold_start_weight"
	keyEnginePool      = "engine_pool"
	keyVersion         = "version"
	keyMemory          = "memory"
	keyPriority        = "priority"
)

// prewarmLeadFactor is how many expected load times before a wake-up the load begins. It is
// larger than one so that a load somewhat slower than expected still finishes in time.
const prewarmLeadFactor = 1.25

// keepLeadFactor is how many expected load times before a wake-up a loaded model is no longer
// unloaded.
const keepLeadFactor = 4

// decideReplicas decides the replica counts of all models from demand, policy and idle time.
func (r *round) decideReplicas() {
	for i := range r.models {
		r.decideModel(int32(i))
	}
	for i := range r.models {
		if base := r.catalogue.entries[i].base; base != noIndex {
			r.reportBaseNeeded(base, min(r.models[i].reported, r.maxReplicas(base)))
			if r.models[i].wanted > 0 {
				r.models[base].retained = max(r.models[base].retained, 1)
			}
		}
	}
}

// reportBaseNeeded reports a base model as wanted at least as often as one of its adapters.
func (r *round) reportBaseNeeded(base int32, count int) {
	model := &r.models[base]
	if count <= model.reported {
		return
	}
	model.reported = count
	model.reason = r.reason(base, CauseAdapter, "")
}

// maxReplicas returns the policy's maximum number of replicas of a model.
func (r *round) maxReplicas(i int32) int {
	return r.catalogue.entries[i].model.Policy.MaxReplicas
}

// minReplicas returns the zone's share of the replicas that a model keeps when idle.
func (r *round) minReplicas(i int32) int {
	model := r.catalogue.entries[i].model
	if r.state.Minimum == nil {
		return model.Policy.MinReplicas
	}
	return r.state.Minimum[model.ID]
}

// decideModel decides the replica counts of one model.
func (r *round) decideModel(i int32) {
	model, entry := &r.models[i], &r.catalogue.entries[i]
	policy := &entry.model.Policy
	minimum := min(max(r.minReplicas(i), r.retention.alwaysLoadedReplicas(policy)), model.limit)
	model.wanted = minimum
	if minimum > 0 {
		model.reason = r.reason(i, CauseMinimum, keyMinReplicas)
	}
	r.countSaturatedAsWaiting(i)
	needed, target := r.replicasForDemand(i)
	needed = r.limitGrowth(i, needed)
	if needed > model.wanted {
		model.wanted = needed
		model.reason = r.reason(i, r.causeOfDemand(i), "")
	}
	if model.wanted > policy.MaxReplicas {
		model.wanted = policy.MaxReplicas
		model.reason = r.reason(i, model.reason.Cause, keyMaxReplicas)
	}
	model.retained = max(model.wanted, min(target, policy.MaxReplicas))
	if model.retained == 0 && (model.held > 0 || entry.history.idlePeriods.total > 0) {
		r.decideIdleModel(i)
	}
	if r.lacksCopy(i) {
		model.wanted, model.retained, model.lacksCopy = 1, max(model.retained, 1), true
		model.reason = r.reason(i, CauseNoCopy, "")
	}
	model.reported = model.wanted
	if model.held > model.unloading {
		model.reported = max(model.reported, min(model.retained, policy.MaxReplicas))
	}
}

// countSaturatedAsWaiting moves running requests above the saturation limit of the serving
// replicas to the waiting ones.
func (r *round) countSaturatedAsWaiting(i int32) {
	if r.config.SaturatedLoad == 0 {
		return
	}
	model := &r.models[i]
	slots := r.slotsPerReplica(r.catalogue.entries[i].pool)
	capacity := r.config.saturatedRunning(slots) * float64(model.serving)
	excess := model.demand.Running - int(capacity)
	if excess > 0 && model.serving > 0 {
		model.demand.Waiting += excess
		model.demand.Running -= excess
	}
}

// limitGrowth limits the wanted replicas by the configured growth factor.
func (r *round) limitGrowth(i int32, needed int) int {
	if r.config.GrowthFactor == 0 {
		return needed
	}
	return min(needed, r.config.GrowthFactor*r.models[i].loaded+1)
}

// causeOfDemand returns the cause for which a model with requests is wanted.
func (r *round) causeOfDemand(i int32) Cause {
	model := &r.models[i]
	switch {
	case model.serving >= model.neededForRequests && model.wanted > model.neededForRequests:
		return CausePrefill
	case model.demand.Waiting > 0:
		return CauseDemand
	}
	return CauseRunning
}

// replicasForDemand returns the replicas needed now for running and waiting requests and for
// prefill. The second result is the count that is kept for them, which falls only after a
// delay.
func (r *round) replicasForDemand(i int32) (needed, target int) {
	model, entry := &r.models[i], &r.catalogue.entries[i]
	work := model.demand.Waiting + model.demand.Running
	if work > 0 {
		perReplica := max(r.config.targetRunning(r.slotsPerReplica(entry.pool)), 1)
		needed = int(math.Ceil(float64(work) / perReplica))
	}
	model.neededForRequests = needed
	needed = max(needed, model.prefill.replicasNeeded())
	target = entry.history.updateTarget(r.state.Now, needed, r.config.ScaleDownDelay)
	if work == 0 {
		// The keep-alive decides on the last replica.
		target = max(target-1, 0)
	}
	return needed, target
}

// decideIdleModel decides whether an idle model stays loaded or is prewarmed.
func (r *round) decideIdleModel(i int32) {
	model, history := &r.models[i], r.catalogue.entries[i].history
	if model.adapterWorking {
		model.retained = 1
		model.reason = r.reason(i, CauseAdapter, "")
		return
	}
	idle := history.idle(r.state.Now)
	coldStart := r.coldStart(i)
	policy := &r.catalogue.entries[i].model.Policy
	acceleratorShare := r.acceleratorShare(r.catalogue.entries[i].pool, policy.Memory)
	cost := cost{coldStart: coldStart, acceleratorShare: acceleratorShare}
	schedule := r.retention.schedule(history, policy, cost)
	if model.serving > 0 {
		r.decideLoadedIdleModel(i, schedule, idle, cost)
		return
	}
	lead := time.Duration(prewarmLeadFactor * float64(coldStart))
	found, inWindow := schedule.windowAt(idle, lead)
	inWindow = inWindow && found.from > 0 && found.to-idle > coldStart
	if inWindow || r.wakeUpExpected(i, cost, lead) {
		model.wanted, model.retained, model.prewarm = 1, 1, true
		model.reason = r.idleReason(i, CausePrewarm, schedule, idle)
	}
}

// wakeUpExpected reports whether a wake-up is expected now or after the lead.
func (r *round) wakeUpExpected(i int32, cost cost, lead time.Duration) bool {
	entry := &r.catalogue.entries[i]
	policy, now := &entry.model.Policy, r.state.Now
	return r.retention.expectsWakeUp(entry.history, policy, cost, now) ||
		r.retention.expectsWakeUp(entry.history, policy, cost, now.Add(lead))
}

// decideLoadedIdleModel decides whether a loaded idle model stays.
func (r *round) decideLoadedIdleModel(i int32, schedule *keepSchedule, idle time.Duration, cost cost) {
	model := &r.models[i]
	lead := time.Duration(keepLeadFactor * float64(cost.coldStart))
	found, inWindow := schedule.windowAt(idle, lead)
	if !inWindow && !r.wakeUpExpected(i, cost, lead) {
		model.reason = r.idleReason(i, CauseIdle, schedule, idle)
		return
	}
	model.retained = 1
	cause := CauseKeepAlive
	if !inWindow || found.from > 0 {
		cause = CausePrewarm
	}
	model.reason = r.idleReason(i, cause, schedule, idle)
}

// idleReason returns the reason of a decision that follows from the idle time.
func (r *round) idleReason(i int32, cause Cause, schedule *keepSchedule, idle time.Duration) Reason {
	key := keyKeepAlive
	if schedule.learned {
		key = keyColdStartWeight
	}
	reason := r.reason(i, cause, key)
	reason.Idle, reason.KeepAlive = idle, schedule.keepAlive()
	return reason
}

// coldStart returns the expected duration of the next load of the model. A copy in host memory
// counts as one on disk, since other models soon replace it there.
func (r *round) coldStart(i int32) time.Duration {
	tier := min(r.models[i].bestTier, cluster.TierDisk)
	return r.loadTime(i, tier)
}

// loadTime returns the expected duration of a load of the model from a tier.
func (r *round) loadTime(i int32, tier cluster.Tier) time.Duration {
	if stated := r.catalogue.entries[i].statedLoadTimes[tier]; stated > 0 {
		return stated
	}
	return r.store.expectedTime(tier, r.catalogue.entries[i].model.Policy.Memory)
}

// reason returns a reason with the cause, the revisions and the setting behind the decision.
func (r *round) reason(i int32, cause Cause, key string) Reason {
	reason := Reason{Cause: cause, Token: r.state.Token, SettingsRevision: r.state.Settings.Stamp.Revision}
	if r.state.Allotment != nil {
		reason.AllotmentRevision = r.state.Allotment.Revision
	}
	if i == noIndex {
		return reason
	}
	reason.Waiting = r.models[i].demand.Waiting
	reason.Reading, reason.ReadingBound = r.models[i].prefill.share, r.models[i].prefill.limit
	if key != "" {
		reason.Setting, reason.Source = key, r.catalogue.entries[i].model.Sources[key]
	}
	return reason
}

package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// loadClass orders loads by their cause. Smaller classes come first.
type loadClass uint8

const (
	classWaiting loadClass = iota
	classMinimum
	classRunning
	// classPrefill is for replicas that share the prefill of a busy model before requests wait.
	classPrefill
	// classMissingCopy is for models with recent requests of which no machine has a copy any
	// more.
	classMissingCopy
	classPrewarm
	classAlwaysLoaded
)

// loadRequest asks for one more replica of a model.
type loadRequest struct {
	model    int32
	class    loadClass
	priority int
	// score is the waiting work and deadline urgency per second of load time. It grows while
	// the model has no replica.
	score float64
}

// plannedLoad is one load planned in this round.
type plannedLoad struct{ machine, model int32 }

// maxRequestsPerRound limits the loads that one round considers. The rest wait for the next
// round, as they would for the weight store.
const maxRequestsPerRound = 256

// planLoads plans the loads in the order of class, priority and score.
func (r *round) planLoads() {
	for i := range r.models {
		r.addRequests(int32(i))
	}
	slices.SortFunc(r.requests, compareRequests)
	if len(r.requests) > maxRequestsPerRound {
		r.requests = r.requests[:maxRequestsPerRound]
	}
	for k := range r.requests {
		r.planRequest(&r.requests[k])
	}
}

// explainUnsealed records that no loads are planned yet because machines are unsealed.
func (r *round) explainUnsealed() {
	for i := range r.models {
		if r.models[i].wanted > r.models[i].serving {
			r.models[i].reason = r.reason(int32(i), CauseUnsealed, "")
		}
	}
}

// compareRequests orders load requests by class, then priority, then score.
func compareRequests(a, b loadRequest) int {
	return cmp.Or(
		cmp.Compare(a.class, b.class),
		cmp.Compare(b.priority, a.priority),
		cmp.Compare(b.score, a.score),
		cmp.Compare(a.model, b.model),
	)
}

// addRequests adds a request for each missing replica of the model.
func (r *round) addRequests(i int32) {
	model, entry := &r.models[i], &r.catalogue.entries[i]
	missing := model.wanted - model.serving
	for k := range missing {
		next := loadRequest{
			model: i, class: r.classOf(i, k), priority: entry.model.Policy.Priority,
			score: r.requestScore(i) / float64(k+1),
		}
		if k == 0 && next.class == classWaiting {
			next.score *= entry.history.starvation.scoreFactor(r.state.Now)
		}
		if next.class == classMissingCopy {
			next.score = r.arrivalRateOf(i)
		}
		r.requests = append(r.requests, next)
		if next.class == classPrefill {
			// If the first of these replicas can't be loaded, neither can the others, and the
			// next round follows soon.
			return
		}
	}
}

// classOf returns the class of the model's missing replica number k, counted from zero.
func (r *round) classOf(i int32, k int) loadClass {
	model := &r.models[i]
	switch {
	case model.neededOnlyForPrefill(k):
		return classPrefill
	case model.demand.Waiting > 0:
		return classWaiting
	case model.serving+k < r.minReplicas(i):
		return classMinimum
	case model.lacksCopy:
		return classMissingCopy
	case model.prewarm:
		return classPrewarm
	case model.demand.Running > 0:
		return classRunning
	}
	return classAlwaysLoaded
}

// slackHalfLife is the slack before the deadline at which the added urgency has halved.
// Requests with much more slack than this rank as if they had no deadline.
const slackHalfLife = 10 * time.Second

// requestScore returns the waiting work of a model per second of its expected load. It rises as
// the slack before the earliest deadline shrinks, and falls if even an immediate load would
// miss that deadline.
func (r *round) requestScore(i int32) float64 {
	model, entry := &r.models[i], &r.catalogue.entries[i]
	loadTime := r.coldStart(i)
	urgency := 1.0
	if model.demand.Waiting > 0 && model.demand.EarliestDeadline > 0 {
		slack := model.demand.EarliestDeadline - loadTime
		if slack >= 0 {
			urgency += float64(slackHalfLife) / float64(slackHalfLife+slack)
		} else {
			urgency /= 2
		}
	}
	work := float64(model.demand.Waiting) + 0.1*float64(model.demand.Running) + 0.1
	return work * urgency * (0.5 + entry.model.Policy.ColdStartWeight) / loadTime.Seconds()
}

// storeAllows reports whether one more remote load of the class may start. Loads that no
// request needs now leave half of the store's concurrency, and one start token, to the others.
func (r *round) storeAllows(class loadClass) bool {
	concurrency, starts := r.store.concurrency(), 1.0
	if class >= classPrefill {
		concurrency, starts = max(concurrency/2, 1), 2
	}
	return r.store.startTokens >= min(starts, r.store.startBurst()) && r.remoteLoads < concurrency
}

// planRequest plans one load or records why it has to wait.
func (r *round) planRequest(request *loadRequest) {
	i := request.model
	model := &r.models[i]
	if model.held >= model.limit {
		cause := CauseAllotmentFull
		if !model.allotted || model.limit == 0 {
			cause = CauseNotAllotted
		}
		model.reason = r.reason(i, cause, keyMaxReplicas)
		return
	}
	if r.waitsForStore(request) && int(r.catalogue.entries[i].pool) < len(r.pools) {
		model.reason = r.reason(i, CauseStoreLimit, "")
		pool := r.pools[r.catalogue.entries[i].pool]
		model.reason.Filtered = []FilterCount{{Cause: CauseStoreLimit, Count: pool.machines}}
		return
	}
	choice := r.chooseMachine(i, request.class)
	delay := choice.bestScore()
	wait := r.bestWait(request)
	if wait.kind != waitKindNone && wait.seconds < delay {
		delay = wait.seconds
	} else {
		wait.kind = waitKindNone
	}
	switch {
	case choice.afterUnload != noIndex && choice.afterUnloadScore < delay:
		r.reserveFreedMemory(i, choice)
	case r.mayEvict(request.class) && r.evictFor(request, choice, delay):
	case wait.kind == waitKindBase:
		r.reserveBesideBase(i, wait.machine)
	case wait.kind == waitKindBusy:
		r.queueOnBusyMachine(i, &wait, choice)
	case len(choice.ranked) > 0:
		r.planLoad(request, choice)
	default:
		r.explainBlocked(i, choice)
	}
}

// waitsForStore reports whether a model without a cached copy must wait for the weight store,
// whichever machine is chosen.
func (r *round) waitsForStore(request *loadRequest) bool {
	entry := &r.catalogue.entries[request.model]
	return entry.base == noIndex && r.models[request.model].bestTier == cluster.TierRemote && !r.storeAllows(request.class)
}

// mayEvict reports whether a load of the class may evict idle replicas.
func (r *round) mayEvict(class loadClass) bool {
	return class <= classMinimum || r.config.EvictForRunning && class <= classMissingCopy
}

// bestScore returns the best score without an eviction, or infinity if there is none.
func (c *machineChoice) bestScore() float64 {
	switch {
	case len(c.ranked) > 0:
		return c.ranked[0].score
	case c.storeBlocked != noIndex:
		return c.storeBlockedScore + storeScore
	}
	return math.Inf(1)
}

// reserveFreedMemory reserves memory for the model where unloads are freeing it.
func (r *round) reserveFreedMemory(i int32, choice *machineChoice) {
	needs, _ := r.requirementsOn(i, choice.afterUnload)
	r.reserveMemory(choice.afterUnload, needs.bytes)
	reason := r.reason(i, CauseNoMemory, keyMemory)
	r.addChoice(&reason, choice)
	r.models[i].reason = reason
}

// planLoad plans the load on the best machine. An engine accepts an adapter only after its base
// model is loaded. Until then, planLoad reserves memory for the adapter and plans the load of
// the base model if that is not under way.
func (r *round) planLoad(request *loadRequest, choice *machineChoice) {
	i, best := request.model, choice.ranked[0]
	reason := r.loadReason(request)
	r.addChoice(&reason, choice)
	if best.requirements.withBase {
		r.addLoad(r.catalogue.entries[i].base, best.machine, best.requirements.baseTier, reason)
	}
	if best.requirements.withBase || best.requirements.baseLoading {
		r.reserveMemory(best.machine, r.catalogue.entries[i].model.Policy.Memory)
		r.models[i].reason = r.reason(i, CauseBaseMissing, "")
		return
	}
	r.addLoad(i, best.machine, best.requirements.tier, reason)
}

// loadReason returns the reason of a load.
func (r *round) loadReason(request *loadRequest) Reason {
	reason := r.models[request.model].reason
	switch request.class {
	case classWaiting:
		reason = r.reason(request.model, CauseDemand, keyPriority)
	case classMinimum, classAlwaysLoaded:
		reason = r.reason(request.model, CauseMinimum, keyMinReplicas)
	}
	return reason
}

// addLoad adds a load to the plan, reserves its memory and updates the counts.
func (r *round) addLoad(i, m int32, tier cluster.Tier, reason Reason) {
	policy := &r.catalogue.entries[i].model.Policy
	id, machine := r.catalogue.entries[i].model.ID, r.state.Machines[m].ID
	expected := r.loadTime(i, tier)
	r.plan.Actions = append(r.plan.Actions, Action{
		Kind: cluster.OrderLoad, Machine: machine, Model: id, Base: r.catalogue.entries[i].model.Base,
		Version: policy.Version, Bytes: policy.Memory, Pool: policy.EnginePool, Tier: tier,
		ExpectedTime: expected, Founded: r.catalogue.entries[i].statedLoadTimes[tier] > 0 || r.store.rateObserved[tier], Reason: reason,
	})
	r.plannedLoads = append(r.plannedLoads, plannedLoad{machine: m, model: i})
	r.reserveMemory(m, policy.Memory)
	r.machines[m].loading++
	if r.catalogue.entries[i].base != noIndex {
		r.machines[m].adapters++
	} else {
		r.machines[m].prefillShare += r.models[i].prefill.sharePerReplica(r.models[i].serving + 1)
	}
	r.models[i].held++
	r.models[i].planned++
	r.models[i].serving++
	usesStore := tier == cluster.TierRemote && !(r.config.AdaptersUnlimited && r.catalogue.entries[i].base != noIndex)
	if usesStore {
		r.remoteLoads++
		r.store.startTokens--
		r.excludeFromLocalLoads(m)
	}
	r.store.addPending(loadKey{machine: machine, model: id}, pendingLoad{
		tier: tier, usesStore: usesStore, bytes: policy.Memory, ordered: r.state.Now, expected: expected, lastSeenRound: r.roundCount,
	})
}

// reserveMemory reserves memory of a machine, which later loads of the round can't use.
func (r *round) reserveMemory(m int32, bytes int64) {
	r.machines[m].free -= bytes
	r.machines[m].freeAfterUnloads -= bytes
}

// explainBlocked records why a load has to wait.
func (r *round) explainBlocked(i int32, choice *machineChoice) {
	reason := r.reason(i, CauseNoMachine, keyEnginePool)
	switch {
	case choice.storeBlocked != noIndex:
		reason = r.reason(i, CauseStoreLimit, "")
		needs, _ := r.requirementsOn(i, choice.storeBlocked)
		r.reserveMemory(choice.storeBlocked, needs.bytes)
	case choice.filtered[filterKeptForLocalLoads] > 0:
		reason = r.reason(i, CauseKeptForLocalLoads, "")
	case choice.filtered[filterMemory] > 0:
		reason = r.reason(i, CauseNoMemory, keyMemory)
	case choice.filtered[filterBase] > 0:
		reason = r.reason(i, CauseBaseMissing, keyMaxReplicas)
	}
	r.addChoice(&reason, choice)
	r.models[i].reason = reason
}

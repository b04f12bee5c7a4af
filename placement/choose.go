package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Scores of machines are expected waits in seconds. A smaller score is better.
const (
	// rackScore is added for each replica of the model in the same rack, so that replicas
	// spread over racks unless a load there is faster by more than this.
	rackScore = 3.0
	// occupancyScore is added in proportion to the used request slots of the machine, or to the
	// target number of requests of a replica if that is smaller. A full machine is therefore
	// chosen only if others are slower by more than this.
	occupancyScore = 2.0
	// runningPrefillScore is added in proportion to the share of its time that the machine
	// spends on prefill. A tenth more of that share, over the lifetime of a replica, outweighs
	// a load that is one second faster. Where a request waits for the replica,
	// waitingPrefillScore is used: its prompt hardly waits longer than that for other prompts,
	// so a slower load is not worth it.
	runningPrefillScore = 10.0
	waitingPrefillScore = 1.0
	// freeMemoryScore prefers machines with less free memory after the load, so that large free
	// memory stays available for large models. It is smaller than the other scores and mainly
	// decides between otherwise equal machines.
	freeMemoryScore = 0.5
	// unloadScore is added while idle replicas free the memory. drainScore is added while
	// replicas with running requests do, which takes longer than unloading an idle replica.
	unloadScore = 1.0
	drainScore  = 10.0
	// storeScore is added if the load has to wait for the weight store, so that an eviction on
	// a machine with a cached copy may come first.
	storeScore = 5.0
)

// machineChoice is the result of scoring the machines for one load.
type machineChoice struct {
	// class is the class of the load.
	class loadClass
	// ranked holds the best machines that can take the load now, best first.
	ranked []scoredMachine
	// afterUnload is the best machine that can take the load after the running unloads, or
	// noIndex. Its score includes the wait.
	afterUnload      int32
	afterUnloadScore float64
	// storeBlocked is the best machine that is excluded only by the store's limit, or noIndex.
	storeBlocked      int32
	storeBlockedScore float64
	filtered          [filterCauseCount]int
}

// scoredMachine is a machine that can take a load, with its score.
type scoredMachine struct {
	machine      int32
	requirements loadRequirements
	score        float64
}

// loadRequirements describes what a load needs on one machine.
type loadRequirements struct {
	bytes int64
	// withBase is set if the base model has to be loaded first, and baseLoading if that load is
	// under way.
	withBase       bool
	baseLoading    bool
	tier, baseTier cluster.Tier
	expectedTime   time.Duration
	// storeLoads counts the loads that use the weight store.
	storeLoads int
}

// filterCauseCount is the number of causes for which machines are excluded.
const filterCauseCount = 10

// filterCausesInOrder lists the causes by filter index.
var filterCausesInOrder = [filterCauseCount]Cause{
	CauseNotCandidate, CauseNoMachine, CauseUnsealed, CauseMachineLeaves,
	CauseAlreadyHolds, CauseBaseMissing, CauseNoMemory, CauseStoreLimit, CauseMachineBusy,
	CauseKeptForLocalLoads,
}

// Indexes into filterCausesInOrder.
const (
	filterNotCandidate = iota
	filterPool
	filterUnsealed
	filterLeaving
	filterAlreadyHolds
	filterBase
	filterMemory
	filterStore
	filterBusy
	filterKeptForLocalLoads
)

// chooseMachine scores the machines that may hold one more replica of the model.
func (r *round) chooseMachine(i int32, class loadClass) *machineChoice {
	choice := &r.choice
	choice.class = class
	choice.ranked = choice.ranked[:0]
	choice.afterUnload, choice.storeBlocked = noIndex, noIndex
	choice.filtered = [filterCauseCount]int{}
	model := &r.models[i]
	if len(model.candidates) == 0 {
		for m := range r.machines {
			r.evaluateMachine(choice, i, int32(m))
		}
		return choice
	}
	choice.filtered[filterNotCandidate] = len(r.machines)
	for _, id := range model.candidates {
		if m, ok := r.findMachine(id); ok {
			choice.filtered[filterNotCandidate]--
			r.evaluateMachine(choice, i, m)
		}
	}
	return choice
}

// evaluateMachine filters and scores one machine.
func (r *round) evaluateMachine(choice *machineChoice, i, m int32) {
	if filter := r.failedFilter(i, m); filter >= 0 {
		choice.filtered[filter]++
		return
	}
	needs, ok := r.requirementsOn(i, m)
	if !ok {
		choice.filtered[filterBase]++
		return
	}
	score := r.machineScore(i, m, &needs) + r.prefillScore(m, choice.class)
	machine := &r.machines[m]
	if r.lacksAdapterSlot(i, m) {
		choice.filtered[filterMemory]++
		return
	}
	if needs.bytes > machine.free-r.reservedBytes(m, choice.class) {
		choice.filtered[filterMemory]++
		score += machine.unloadDelayScore()
		if needs.bytes <= machine.freeAfterUnloads-r.reservedBytes(m, choice.class) && (choice.afterUnload == noIndex || score < choice.afterUnloadScore) {
			choice.afterUnload, choice.afterUnloadScore = m, score
		}
		return
	}
	if needs.storeLoads > 0 && !r.storeAllows(choice.class) {
		choice.filtered[filterStore]++
		if choice.storeBlocked == noIndex || score < choice.storeBlockedScore {
			choice.storeBlocked, choice.storeBlockedScore = m, score
		}
		return
	}
	if needs.storeLoads > 0 && !r.storeLoadIsWorthwhile(i, m, r.remoteLoadTime(i, &needs)) {
		choice.filtered[filterKeptForLocalLoads]++
		return
	}
	choice.insert(scoredMachine{machine: m, requirements: needs, score: score}, r.config.Candidates)
}

// lacksAdapterSlot reports whether the model is an adapter and all adapter slots of the machine
// are in use.
func (r *round) lacksAdapterSlot(i, m int32) bool {
	slots := r.state.Machines[m].AdapterSlots
	return slots > 0 && r.catalogue.entries[i].base != noIndex && r.machines[m].adapters >= slots
}

// prewarmReserveShare is the share of a machine's memory that prewarming leaves free, so that
// models with waiting requests find memory without an eviction.
const prewarmReserveShare = 0.1

// reservedBytes returns the memory that loads of the class must leave free on the machine.
func (r *round) reservedBytes(m int32, class loadClass) int64 {
	if class != classPrewarm {
		return 0
	}
	return int64(prewarmReserveShare * float64(r.state.Machines[m].MemoryBytes))
}

// unloadDelayScore returns the score of waiting for the running unloads. It is smaller for idle
// replicas than for ones that finish requests first.
func (m *machineState) unloadDelayScore() float64 {
	if m.draining {
		return drainScore
	}
	return unloadScore
}

// failedFilter returns the index of the first filter other than memory that excludes the
// machine, or -1.
func (r *round) failedFilter(i, m int32) int {
	machine := &r.machines[m]
	switch {
	case machine.pool != r.catalogue.entries[i].pool:
		return filterPool
	case !r.state.Machines[m].Sealed:
		return filterUnsealed
	case r.state.Machines[m].Leaving:
		return filterLeaving
	case r.holds(m, i) || r.loadPlanned(m, i):
		return filterAlreadyHolds
	case r.state.Machines[m].Busy:
		return filterBusy
	}
	return -1
}

// requirementsOn returns what the load needs on the machine. It returns false if the base model
// is not on the machine and may not be loaded there.
func (r *round) requirementsOn(i, m int32) (loadRequirements, bool) {
	entry, machine := &r.catalogue.entries[i], &r.state.Machines[m]
	result := loadRequirements{bytes: entry.model.Policy.Memory, tier: machine.Cached[entry.model.ID]}
	result.expectedTime = r.loadTime(i, result.tier)
	if result.tier == cluster.TierRemote && !(r.config.AdaptersUnlimited && entry.base != noIndex) {
		result.storeLoads++
	}
	if entry.base == noIndex {
		return result, entry.model.Base == ""
	}
	switch r.baseState(m, entry.base) {
	case baseReady:
		return result, true
	case baseLoading:
		result.baseLoading = true
		return result, true
	case baseBlocked:
		return result, false
	}
	base := &r.catalogue.entries[entry.base]
	result.withBase = true
	result.bytes += base.model.Policy.Memory
	result.baseTier = machine.Cached[base.model.ID]
	result.expectedTime += r.loadTime(entry.base, result.baseTier)
	if result.baseTier == cluster.TierRemote {
		result.storeLoads++
	}
	return result, true
}

// basePresence is the state of a base model on a machine that an adapter may join.
type basePresence uint8

const (
	// baseAbsent means that the base model may be loaded on the machine.
	baseAbsent basePresence = iota
	baseLoading
	baseReady
	baseBlocked
)

// baseState returns whether the base model is on the machine, may be loaded there, or neither.
func (r *round) baseState(m, base int32) basePresence {
	if r.loadPlanned(m, base) {
		return baseLoading
	}
	for i := range r.replicasOn(m) {
		replica := &r.replicasOn(m)[i]
		if replica.model != base {
			continue
		}
		switch {
		case !replica.serving:
			return baseBlocked
		case replica.slot.State != cluster.ReplicaLoaded || replica.slot.Unknown:
			return baseLoading
		}
		return baseReady
	}
	model, entry := &r.models[base], &r.catalogue.entries[base]
	if model.held >= model.limit || entry.pool != r.machines[m].pool {
		return baseBlocked
	}
	if len(model.candidates) > 0 && !slices.Contains(model.candidates, r.state.Machines[m].ID) {
		return baseBlocked
	}
	return baseAbsent
}

// loadPlanned reports whether this round already loads the model on the machine.
func (r *round) loadPlanned(m, model int32) bool {
	return slices.Contains(r.plannedLoads, plannedLoad{machine: m, model: model})
}

// machineScore returns the score of a machine that passed the filters.
func (r *round) machineScore(i, m int32, needs *loadRequirements) float64 {
	machine := &r.state.Machines[m]
	slots := machine.Slots
	if slots <= 0 {
		slots = r.config.DefaultSlots
	}
	score := needs.expectedTime.Seconds() * float64(1+r.machines[m].loading)
	score += occupancyScore * float64(machine.Load.Running+machine.Load.Queued) / capAt(float64(slots), r.config.TargetRunning)
	for s := r.models[i].firstReplica; s != noIndex; s = r.replicas[s].next {
		replica := &r.replicas[s]
		if !replica.unloading && machine.Rack != "" && r.state.Machines[replica.machine].Rack == machine.Rack {
			score += rackScore
		}
	}
	if machine.MemoryBytes > 0 {
		score += freeMemoryScore * float64(r.machines[m].free-needs.bytes) / float64(machine.MemoryBytes)
	}
	return score
}

// prefillScore returns the score for the present prefill load of a machine, for a load of the
// class.
func (r *round) prefillScore(m int32, class loadClass) float64 {
	weight := runningPrefillScore
	if class <= classRunning {
		weight = waitingPrefillScore
	}
	return weight * min(r.machines[m].prefillShare, 1)
}

// insert adds a machine to the ranking and keeps the best ones up to the limit.
func (c *machineChoice) insert(next scoredMachine, limit int) {
	at, _ := slices.BinarySearchFunc(c.ranked, next, func(a, b scoredMachine) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.machine, b.machine))
	})
	if at >= limit {
		return
	}
	c.ranked = slices.Insert(c.ranked, at, next)
	if len(c.ranked) > limit {
		c.ranked = c.ranked[:limit]
	}
}

// addChoice adds the ranked machines and the exclusion counts of a choice to a reason.
func (r *round) addChoice(reason *Reason, choice *machineChoice) {
	if len(choice.ranked) > 0 {
		reason.Candidates = make([]Candidate, len(choice.ranked))
	}
	for i, option := range choice.ranked {
		reason.Candidates[i] = Candidate{
			Machine: r.state.Machines[option.machine].ID, Tier: option.requirements.tier,
			ExpectedTime: option.requirements.expectedTime, FreeBytes: r.machines[option.machine].free, Score: option.score,
		}
	}
	for filter, count := range choice.filtered {
		if count > 0 {
			reason.Filtered = append(reason.Filtered, FilterCount{Cause: filterCausesInOrder[filter], Count: count})
		}
	}
}

// findMachine returns the index of a machine by its ID, or false.
func (r *round) findMachine(id cluster.MachineID) (int32, bool) {
	m, ok := slices.BinarySearchFunc(r.state.Machines, id, func(machine Machine, id cluster.MachineID) int {
		return cmp.Compare(machine.ID, id)
	})
	return int32(m), ok
}

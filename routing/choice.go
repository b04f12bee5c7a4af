package routing

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
)

// samplesPerDistance is the number of replicas of each distance that are compared. 2 random choices
// avoid the longest queues, and are few enough that routers with the same view don't all choose the
// same replica.
const samplesPerDistance = 2

// maxMatches bounds the replicas that are compared because of their prefix cache.
const maxMatches = 4

// maxCandidates bounds the replicas that are compared for one choice.
const maxCandidates = int(distances)*samplesPerDistance + maxMatches

// scoredReplica is a replica with its scores for the current choice. wait and cost are in
// nanoseconds.
type scoredReplica struct {
	replica *replica
	wait    float64
	cost    float64
	// blocks is the number of prompt blocks expected in the engine's prefix cache.
	blocks float64
}

// choose returns the replica with the lowest cost for the request, or nil if none takes it.
// Machines on which the request already failed are used only if no other takes it.
func (r *Router) choose(ready *request) (*replica, Choice) {
	model := ready.model
	if model.loaded == 0 {
		return nil, Choice{}
	}
	r.matches = r.matches[:0]
	if len(ready.Prefixes) > 0 {
		r.matches = r.prefixes.Lookup(r.nanos, ready.Model, ready.Prefixes, r.matches)
	}
	var candidates [maxCandidates]scoredReplica
	count := r.candidates(ready, candidates[:0], false)
	if count == 0 && len(ready.failedMachines) > 0 {
		count = r.candidates(ready, candidates[:0], true)
	}
	if count == 0 {
		return nil, Choice{}
	}
	best := 0
	for i := 1; i < count; i++ {
		if candidates[i].cost < candidates[best].cost {
			best = i
		}
	}
	candidates[0], candidates[best] = candidates[best], candidates[0]
	return candidates[0].replica, r.recordChoice(model, candidates[:count])
}

// candidates appends sampled replicas of all distances, and those with a cached prefix, to the
// buffer. With allowFailed, machines on which the request already failed are included.
func (r *Router) candidates(ready *request, buffer []scoredReplica, allowFailed bool) int {
	for _, tier := range ready.model.tiers {
		if len(tier) > 0 {
			buffer = r.sample(ready, tier, buffer, allowFailed)
		}
	}
	for i := range r.matches {
		buffer = r.addMatch(ready, r.matches[i].Machine, buffer, allowFailed)
	}
	return len(buffer)
}

// addMatch appends the replica on a machine whose engine may have the prompt's prefix cached,
// unless it was sampled already or is not usable.
func (r *Router) addMatch(ready *request, id cluster.MachineID, buffer []scoredReplica, allowFailed bool) []scoredReplica {
	machine := r.machines[id]
	if machine == nil || len(buffer) == maxCandidates {
		return buffer
	}
	for i := range buffer {
		if buffer[i].replica.machine == machine {
			return buffer
		}
	}
	replica := machine.replica(ready.model)
	if replica == nil || replica.state != cluster.ReplicaLoaded || r.unusableCause(ready, replica, allowFailed) != "" {
		return buffer
	}
	return append(buffer, r.score(ready, replica))
}

// sample appends up to two usable replicas of a distance: two random ones, and in place of unusable
// ones the next usable ones in order.
func (r *Router) sample(ready *request, tier []*replica, buffer []scoredReplica, allowFailed bool) []scoredReplica {
	found := 0
	preferred := len(tier)
	if r.config.Subset > 0 {
		preferred = min(preferred, r.config.Subset)
	}
	first := r.random.IntN(preferred)
	second := first
	if preferred > 1 {
		second = (first + 1 + r.random.IntN(preferred-1)) % preferred
		if r.unusableCause(ready, tier[second], allowFailed) == "" {
			buffer = append(buffer, r.score(ready, tier[second]))
			found++
		}
	}
	for step := 0; step < len(tier) && found < samplesPerDistance; step++ {
		at := (first + step) % len(tier)
		if (at == second && preferred > 1) || r.unusableCause(ready, tier[at], allowFailed) != "" {
			continue
		}
		buffer = append(buffer, r.score(ready, tier[at]))
		found++
	}
	return buffer
}

// unusableCause returns why a replica can't take the request now, or an empty cause.
func (r *Router) unusableCause(ready *request, candidate *replica, allowFailed bool) FilterCause {
	machine := candidate.machine
	if machine.leaving() {
		return FilterLeaving
	}
	if candidate.missingUntil > r.nanos {
		return FilterRecent
	}
	if !r.fitsRelease(ready, machine) || r.startUnknown(ready, machine) {
		return FilterRelease
	}
	if ready.model.matchingVersion > 0 && !ready.model.hasVersion(candidate) {
		return FilterVersion
	}
	if cause := r.noRoomCause(machine); cause != "" {
		if cause == FilterLimited {
			r.requestTurn(machine)
		}
		return cause
	}
	if !allowFailed && ready.hasFailedOn(machine) {
		return FilterTried
	}
	if !r.mayBegin(ready, machine) {
		return FilterUnrecorded
	}
	return ""
}

func (ready *request) hasFailedOn(machine *machine) bool {
	for _, tried := range ready.failedMachines {
		if tried == machine {
			return true
		}
	}
	return false
}

// noRoomCause returns why the machine takes no request from this router now, or an empty cause. A
// router may always use its share of the slots, and more as long as the last load report does not
// show other routers using them. Refusals by the engine correct an estimate that is too high.
func (r *Router) noRoomCause(m *machine) FilterCause {
	if m.leaving() {
		return FilterLeaving
	}
	if r.dispatchesPaused() {
		return FilterHeld
	}
	if cause := m.turns.blockCause(r.nanos); cause != "" {
		return cause
	}
	used := m.inFlight + m.reserved
	if r.nanos < m.maxInFlightUntil && used >= m.maxInFlight {
		return FilterRecent
	}
	if used < r.slotShare(m) {
		return ""
	}
	work := float64(used)
	if r.nanos < r.reportExpiry(m) {
		work += m.otherWork
	}
	if work < float64(m.slots) {
		return ""
	}
	return FilterFull
}

// reportHalfLives is the number of half-lives, 2, for which a load report bounds this router to its
// share of a machine that other routers use.
const reportHalfLives = 2

// reportExpiry returns when the machine's last load report ceases to bound dispatches.
func (r *Router) reportExpiry(m *machine) int64 {
	return m.reportedAt + reportHalfLives*int64(r.config.LoadHalfLife)
}

// slotShare returns this router's even share of the machine's slots, at least one.
func (r *Router) slotShare(m *machine) int {
	return max(1, m.slots/max(r.routers, 1))
}

// decayedOtherWork returns the reported work of other routers, halved for each half-life since the
// report.
func (m *machine) decayedOtherWork(nanos int64, halfLife time.Duration) float64 {
	if m.otherWork == 0 {
		return 0
	}
	return m.otherWork * math.Exp2(-float64(nanos-m.reportedAt)/float64(halfLife))
}

// batchSlotCost is the share of the service time, 5%, that each occupied slot adds to a request in
// the same batch.
const batchSlotCost = 0.05

// score estimates the expected wait and the cost of a replica. It assumes that all other routers,
// which have the same view, have sent as many requests since the last report as this one. That
// distributes a burst by shares, where otherwise all routers would choose the emptiest machine.
func (r *Router) score(ready *request, candidate *replica) scoredReplica {
	machine := candidate.machine
	unreported := float64(min(len(machine.recentDispatches), machine.inFlight) * (r.routers - 1))
	work := float64(machine.inFlight) + machine.decayedOtherWork(r.nanos, r.config.LoadHalfLife) + unreported
	service := ready.model.serviceTime(&r.config)
	slots := float64(machine.slots)
	wait := service * batchSlotCost * min(work, slots)
	if work >= slots {
		wait += service * (work - slots + 1) / slots
	}
	blocks := r.cachedBlocks(machine)
	cost := wait + r.distancePenalty(candidate) - blocks*float64(r.config.PrefixBlockTime)
	cost += r.failurePenalty(machine)
	return scoredReplica{replica: candidate, wait: wait, cost: cost, blocks: blocks}
}

// cachedBlocks returns the machine's cached blocks from the matches of the current choice.
func (r *Router) cachedBlocks(m *machine) float64 {
	for i := range r.matches {
		if r.matches[i].Machine == m.id {
			return r.matches[i].Blocks
		}
	}
	return 0
}

func (r *Router) distancePenalty(candidate *replica) float64 {
	switch candidate.distance {
	case sameZone:
		return 0
	case sameRegion:
		return float64(r.config.RegionPenalty)
	default:
		return float64(r.config.FarPenalty)
	}
}

// recordChoice returns the compared replicas, the chosen one first.
func (r *Router) recordChoice(m *model, compared []scoredReplica) Choice {
	recorded := make([]Candidate, len(compared))
	for i, candidate := range compared {
		recorded[i] = Candidate{
			Machine:      candidate.replica.machine.id,
			Zone:         candidate.replica.machine.zone,
			ExpectedWait: time.Duration(candidate.wait),
			PrefixBlocks: candidate.blocks,
			InFlight:     candidate.replica.machine.inFlight,
		}
	}
	choice := Choice{Candidates: recorded}
	if cell := r.cells[compared[0].replica.machine.zone]; cell != nil {
		choice.Token = cell.token
	}
	if len(m.loading) > 0 {
		choice.Filtered = []FilterCount{{Cause: FilterLoading, Count: len(m.loading)}}
	}
	return choice
}

// maxRecentDispatches bounds the remembered dispatch times of a machine.
const maxRecentDispatches = 32

// addDispatch counts a new attempt on the machine.
func (m *machine) addDispatch(nanos int64) {
	m.inFlight++
	if len(m.recentDispatches) == maxRecentDispatches {
		copy(m.recentDispatches, m.recentDispatches[1:])
		m.recentDispatches = m.recentDispatches[:maxRecentDispatches-1]
	}
	m.recentDispatches = append(m.recentDispatches, nanos)
}

// applyLoad applies a load report that was measured at the given time. Own attempts dispatched
// before that time are included in the reported work.
func (m *machine) applyLoad(work int, measured int64) {
	if measured <= m.reportedAt {
		return
	}
	kept := m.recentDispatches[:0]
	for _, at := range m.recentDispatches {
		if at > measured {
			kept = append(kept, at)
		}
	}
	m.recentDispatches = kept
	included := max(0, m.inFlight-len(kept))
	m.otherWork = float64(max(0, work-included))
	m.reportedAt = measured
}

// maxOtherStarts is the number of times that a request may meet another start than the one that was meant before
// its machine gets a back-off: answers that change at each connection come from no machine that serves.
const maxOtherStarts = 3

// backOffAfter keeps requests away from a machine that refused or failed one.
func (r *Router) backOffAfter(failed *request, m *machine, event *AttemptEnded) {
	switch {
	case event.OtherStart && r.nanos < m.startUnknownUntil:
	case event.OtherStart && failed.otherStarts < maxOtherStarts:
		failed.otherStarts++
	case event.PathDoubted && event.Unreached:
		r.pauseMachine(m)
	case event.PathDoubted:
	case event.ModelMissing:
		for _, replica := range m.replicas {
			if replica.model == failed.model {
				replica.missingUntil = r.nanos + int64(r.config.MaxBackOff)
				r.wakeAt(m, replica.missingUntil)
			}
		}
	case event.EngineFull:
		m.engineFull = true
		r.backOff(m, r.config.RefusalBackOff, r.maxRefusalBackOff(failed.model, m), m.inFlight)
	case event.Answered && r.config.FailurePenalty > 0:
		failed.failedMachines = append(failed.failedMachines, m)
	case engineFault(event.Failure.Code):
		failed.failedMachines = append(failed.failedMachines, m)
		m.engineFull = false
		r.backOff(m, r.config.FailureBackOff, r.config.MaxBackOff, 0)
	}
}

// doubtedPathDelay is the time after which a machine is tried again that could not be reached on a doubted path. It is
// as long as the time between two probes of a lost path, because it is not known to be back sooner.
const doubtedPathDelay = 500 * time.Millisecond

// pauseMachine keeps requests away from a machine for doubtedPathDelay, so that requests which can't be sent to
// it are not tried without end. Nothing is held against the machine.
func (r *Router) pauseMachine(m *machine) {
	if until := r.nanos + int64(doubtedPathDelay); m.maxInFlightUntil < until {
		m.maxInFlight, m.maxInFlightUntil = 0, until
		r.wakeAt(m, until)
	}
}

// engineFault reports whether a failure is attributed to the machine.
func engineFault(code verdict.Code) bool { return !isPermanent(code) }

// probesPerSlot is the number of attempts, 4, that all routers together send to a full machine for
// each slot that it frees.
const probesPerSlot = 4

// maxRefusalBackOff bounds the back-off after refusals such that the attempts of all routers stay
// in proportion to the slots that the machine frees.
func (r *Router) maxRefusalBackOff(m *model, on *machine) time.Duration {
	freed := m.serviceTime(&r.config) / float64(max(on.slots, 1))
	longest := time.Duration(freed * float64(r.routers) / probesPerSlot)
	return min(max(longest, r.config.RefusalBackOff), r.config.MaxBackOff)
}

// maxDoublings bounds how often a back-off doubles.
const maxDoublings = 16

// backOff limits the machine to maxInFlight requests in flight for a time that doubles with each
// consecutive back-off, with a jitter of 25% either way.
func (r *Router) backOff(m *machine, base, longest time.Duration, maxInFlight int) {
	wait := float64(base) * math.Exp2(float64(min(m.consecutiveBackOffs, maxDoublings)))
	wait = min(wait, float64(longest)) * (0.75 + r.random.Float64()/2)
	m.consecutiveBackOffs++
	m.maxInFlight = maxInFlight
	m.maxInFlightUntil = r.nanos + int64(wait)
	r.wakeAt(m, m.maxInFlightUntil)
}

// clearBackOffs ends the back-offs after failures, not those after refusals for lack of a slot.
func (r *Router) clearBackOffs() {
	for _, id := range slices.Sorted(maps.Keys(r.machines)) {
		m := r.machines[id]
		if m.engineFull || m.consecutiveBackOffs == 0 && m.failures.rate == 0 {
			continue
		}
		m.maxInFlightUntil, m.consecutiveBackOffs, m.failures = 0, 0, failureRate{}
		r.arm(&m.timer, r.nanos)
	}
}

// wakeAt sets the machine's timer to the given time unless it is due earlier. Waiting requests are
// then dispatched again.
func (r *Router) wakeAt(m *machine, at int64) {
	if !m.timer.armed || at < m.timer.at {
		r.arm(&m.timer, at)
	}
}

// machineTimerDue dispatches waiting requests after a back-off and sets the timer for the machine's
// next change.
func (r *Router) machineTimerDue(m *machine) {
	r.releaseUnusedTurn(m)
	next := int64(0)
	for _, at := range [...]int64{m.maxInFlightUntil, m.turns.validFrom, m.turns.validUntil, m.turns.deniedUntil, m.turns.restUntil, m.startUnknownUntil} {
		if at > r.nanos && (next == 0 || at < next) {
			next = at
		}
	}
	if end := r.reportExpiry(m); m.otherWork > 0 && end > r.nanos && (next == 0 || end < next) {
		next = end
	}
	for _, replica := range m.replicas {
		if replica.missingUntil > r.nanos && (next == 0 || replica.missingUntil < next) {
			next = replica.missingUntil
		}
	}
	if next != 0 {
		r.wakeAt(m, next)
	}
	r.freedMachines = append(r.freedMachines, m)
}

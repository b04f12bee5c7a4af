package routing

import (
	"math"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
)

// samples of each distance are compared: two random choices are enough to
// avoid the longest queues, and few enough that routers with the same view do
// not all pick the same replica.
const samples = 2

// maxMatches bounds the replicas that are compared for their prefix cache.
const maxMatches = 4

// maxCandidates bounds the compared replicas of one choice.
const maxCandidates = int(distances)*samples + maxMatches

// scored is a candidate while it is compared.
type scored struct {
	replica *replica
	wait    float64
	cost    float64
	// blocks of the prompt expected in the engine's cache.
	blocks float64
}

// choose picks a replica for the request, or nil when none takes it. Replicas
// that already failed the request are used only when no other takes it.
func (r *Router) choose(ready *request) (*replica, Choice) {
	model := ready.model
	if model.loaded == 0 {
		return nil, Choice{}
	}
	r.matches = r.matches[:0]
	if len(ready.Prefixes) > 0 {
		r.matches = r.prefixes.Lookup(r.nanos, ready.Model, ready.Prefixes, r.matches)
	}
	var candidates [maxCandidates]scored
	count := r.candidates(ready, candidates[:0], false)
	if count == 0 && len(ready.tried) > 0 {
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
	return candidates[0].replica, r.choice(model, candidates[:count])
}

// candidates samples the tiers of the model into the buffer.
func (r *Router) candidates(ready *request, buffer []scored, again bool) int {
	for _, tier := range ready.model.tiers {
		if len(tier) > 0 {
			buffer = r.sample(ready, tier, buffer, again)
		}
	}
	for i := range r.matches {
		buffer = r.addMatch(ready, r.matches[i].Machine, buffer, again)
	}
	return len(buffer)
}

// addMatch adds the replica on a machine whose engine may have the prompt's
// prefix cached, unless it was sampled already or is not usable.
func (r *Router) addMatch(ready *request, id cluster.MachineID, buffer []scored, again bool) []scored {
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
	if replica == nil || replica.state != cluster.ReplicaLoaded || r.usable(ready, replica, again) != "" {
		return buffer
	}
	return append(buffer, r.score(ready, replica))
}

// sample adds up to two usable replicas of a tier: two random ones, and where
// they are not usable the next ones that are.
func (r *Router) sample(ready *request, tier []*replica, buffer []scored, again bool) []scored {
	found := 0
	preferred := len(tier)
	if r.config.Subset > 0 {
		preferred = min(preferred, r.config.Subset)
	}
	first := r.random.IntN(preferred)
	second := first
	if preferred > 1 {
		second = (first + 1 + r.random.IntN(preferred-1)) % preferred
		if r.usable(ready, tier[second], again) == "" {
			buffer = append(buffer, r.score(ready, tier[second]))
			found++
		}
	}
	for step := 0; step < len(tier) && found < samples; step++ {
		at := (first + step) % len(tier)
		if (at == second && preferred > 1) || r.usable(ready, tier[at], again) != "" {
			continue
		}
		buffer = append(buffer, r.score(ready, tier[at]))
		found++
	}
	return buffer
}

// usable returns why a replica cannot take the request now, or empty.
func (r *Router) usable(ready *request, candidate *replica, again bool) FilterCause {
	machine := candidate.machine
	if machine.leaving() {
		return FilterLeaving
	}
	if candidate.missingUntil > r.nanos {
		return FilterRecent
	}
	if ready.model.matching > 0 && !ready.model.hasVersion(candidate) {
		return FilterVersion
	}
	if cause := r.room(machine); cause != "" {
		if cause == FilterLimited {
			r.wantTurn(machine)
		}
		return cause
	}
	if !again && ready.hasTried(machine) {
		return FilterTried
	}
	return ""
}

func (ready *request) hasTried(machine *machine) bool {
	for _, tried := range ready.tried {
		if tried == machine {
			return true
		}
	}
	return false
}

// room returns why the machine takes no request from this router now, or empty.
// A router may always use its share of the slots, and more as long as the last
// report does not show others using them; the engine's refusals correct it.
func (r *Router) room(m *machine) FilterCause {
	if m.leaving() {
		return FilterLeaving
	}
	if r.held() {
		return FilterHeld
	}
	if cause := m.turns.closed(r.nanos); cause != "" {
		return cause
	}
	taken := m.inFlight + m.reserved
	if r.nanos < m.ceilingUntil && taken >= m.ceiling {
		return FilterRecent
	}
	if taken < r.slotShare(m) {
		return ""
	}
	work := float64(taken)
	if r.nanos < r.reportEnd(m) {
		work += m.others
	}
	if work < float64(m.slots) {
		return ""
	}
	return FilterFull
}

// reportHalfLives is for how many half-lives a load report keeps this router
// to its share of a machine that others use.
const reportHalfLives = 2

// reportEnd is when the machine's last load report no longer bounds dispatches.
func (r *Router) reportEnd(m *machine) int64 {
	return m.reportedAt + reportHalfLives*int64(r.config.LoadHalfLife)
}

// slotShare is this router's even share of the machine's slots, at least one.
func (r *Router) slotShare(m *machine) int {
	return max(1, m.slots/max(r.routers, 1))
}

// othersNow ages the reported work of other routers.
func (m *machine) othersNow(nanos int64, halfLife time.Duration) float64 {
	if m.others == 0 {
		return 0
	}
	return m.others * math.Exp2(-float64(nanos-m.reportedAt)/float64(halfLife))
}

// batchingCost is the part of the service time that each occupied slot adds to a request in
// the same batch; chosen, not measured.
const batchingCost = 0.05

// score estimates the expected wait at a replica. What this router sent since
// the last report, all others with the same view are assumed to have sent too:
// that spreads a burst by shares instead of herding on the emptiest machine.
func (r *Router) score(ready *request, candidate *replica) scored {
	machine := candidate.machine
	unseen := float64(min(len(machine.recent), machine.inFlight) * (r.routers - 1))
	work := float64(machine.inFlight) + machine.othersNow(r.nanos, r.config.LoadHalfLife) + unseen
	service := ready.model.serviceTime(&r.config)
	slots := float64(machine.slots)
	wait := service * batchingCost * min(work, slots)
	if work >= slots {
		wait += service * (work - slots + 1) / slots
	}
	blocks := r.cachedBlocks(machine)
	cost := wait + r.distancePenalty(candidate) - blocks*float64(r.config.PrefixBlockTime)
	cost += machine.failing * float64(r.config.FailurePenalty)
	return scored{replica: candidate, wait: wait, cost: cost, blocks: blocks}
}

// cachedBlocks looks the machine up in the matches of the current choice.
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

// choice records the compared candidates, the chosen one first.
func (r *Router) choice(m *model, compared []scored) Choice {
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

// maxRecent bounds the remembered dispatch times of a machine.
const maxRecent = 32

// dispatched counts a new attempt on the machine.
func (m *machine) dispatched(nanos int64) {
	m.inFlight++
	if len(m.recent) == maxRecent {
		copy(m.recent, m.recent[1:])
		m.recent = m.recent[:maxRecent-1]
	}
	m.recent = append(m.recent, nanos)
}

// report takes a load report that was measured at the given time.
func (m *machine) report(work int, measured int64) {
	if measured <= m.reportedAt {
		return
	}
	kept := m.recent[:0]
	for _, at := range m.recent {
		if at > measured {
			kept = append(kept, at)
		}
	}
	m.recent = kept
	included := max(0, m.inFlight-len(kept))
	m.others = float64(max(0, work-included))
	m.reportedAt = measured
}

// setback keeps requests away from a machine that refused or failed one.
func (r *Router) setback(failed *request, m *machine, event *AttemptEnded) {
	switch {
	case event.ModelMissing:
		for _, replica := range m.replicas {
			if replica.model == failed.model {
				replica.missingUntil = r.nanos + int64(r.config.MaxBackOff)
				r.wake(m, replica.missingUntil)
			}
		}
	case event.EngineFull:
		m.full = true
		r.backOff(m, r.config.RefusalBackOff, r.longestRefusal(failed.model, m), m.inFlight)
	case event.Answered && r.config.FailurePenalty > 0:
		failed.tried = append(failed.tried, m)
	case engineFault(event.Failure.Code):
		failed.tried = append(failed.tried, m)
		m.full = false
		r.backOff(m, r.config.FailureBackOff, r.config.MaxBackOff, 0)
	}
}

// engineFault reports whether a failure speaks against the machine.
func engineFault(code verdict.Code) bool { return !permanent(code) }

// probesPerSlot is how often all routers together try a full machine for each
// slot that it frees.
const probesPerSlot = 4

// longestRefusal bounds the back-off after refusals: so long that the probes of
// all routers stay in proportion to the slots that the machine frees.
func (r *Router) longestRefusal(m *model, on *machine) time.Duration {
	freed := m.serviceTime(&r.config) / float64(max(on.slots, 1))
	longest := time.Duration(freed * float64(r.routers) / probesPerSlot)
	return min(max(longest, r.config.RefusalBackOff), r.config.MaxBackOff)
}

// maxDoublings bounds how often a back-off doubles.
const maxDoublings = 16

// backOff bounds the machine to ceiling requests in flight for a time that
// doubles with each setback in a row and is spread by half at random.
func (r *Router) backOff(m *machine, base, longest time.Duration, ceiling int) {
	wait := float64(base) * math.Exp2(float64(min(m.setbacks, maxDoublings)))
	wait = min(wait, float64(longest)) * (0.75 + r.random.Float64()/2)
	m.setbacks++
	m.ceiling = ceiling
	m.ceilingUntil = r.nanos + int64(wait)
	r.wake(m, m.ceilingUntil)
}

// wake sees to it that the machine's waiting requests are tried again then.
func (r *Router) wake(m *machine, at int64) {
	if !m.timer.armed || at < m.timer.at {
		r.arm(&m.timer, at)
	}
}

// machineDue sees to it that waiting requests are tried after a back-off.
func (r *Router) machineDue(m *machine) {
	next := int64(0)
	for _, at := range [...]int64{m.ceilingUntil, m.turns.from, m.turns.deniedUntil, m.turns.restsUntil} {
		if at > r.nanos && (next == 0 || at < next) {
			next = at
		}
	}
	if end := r.reportEnd(m); m.others > 0 && end > r.nanos && (next == 0 || end < next) {
		next = end
	}
	for _, replica := range m.replicas {
		if replica.missingUntil > r.nanos && (next == 0 || replica.missingUntil < next) {
			next = replica.missingUntil
		}
	}
	if next != 0 {
		r.wake(m, next)
	}
	r.freed = append(r.freed, m)
}

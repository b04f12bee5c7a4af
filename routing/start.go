package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/verdict"
)

// patienceShare is the part of a caller's patience after which a request that still
// waits is given up, so that the answer reaches the caller before it leaves.
const patienceShare = 0.95

// queueBudget is how long a request of the model may wait in all: as long as its policy
// allows and its caller stays.
func (m *model) queueBudget(arrived *Request) int64 {
	allowed := int64(m.configured.Policy.QueueTime)
	if arrived.Patience > 0 {
		allowed = min(allowed, int64(patienceShare*float64(arrived.Patience)))
	}
	return allowed
}

// refuseUnmeetable ends the waiting requests of a model that can't start in time, in the
// order in which they would. Those that are refused are in nobody's way any more.
func (r *Router) refuseUnmeetable(m *model) {
	if m.queue.Len() == 0 || m.loaded > 0 {
		return
	}
	if _, known := r.earliestReady(m); !known {
		return
	}
	kept := 0
	for _, waiting := range m.waitingInOrder() {
		failure, reason := r.unmeetable(waiting, kept)
		if failure == nil {
			kept++
			continue
		}
		r.finish(waiting, failure, reason)
	}
}

// waitingInOrder lists the queue by priority and deadline.
func (m *model) waitingInOrder() []*request {
	waiting := m.waitingRequests()
	slices.SortStableFunc(waiting, func(a, b *request) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.deadline, b.deadline))
	})
	return waiting
}

// startBy is the last moment at which the request may start: before its deadline and the
// end of its queue time and of its caller's patience.
func (r *Router) startBy(waiting *request) int64 {
	since := r.nanos
	if waiting.item.Queued() {
		since = waiting.queuedSince
	}
	return min(waiting.deadline, since+waiting.queueBudget)
}

// serviceMargin is by how many mean deviations a request is assumed to last longer than
// the mean. Of 100 callers at 1.5 times what replicas serve, in the plays of TestOverload
// with four seeds, 43 were served with 0, 58 with 1, 70 with 2, and 31 without endableFrom.
const serviceMargin = 2

// endableFrom is the last moment from which the request should end by its deadline.
func (waiting *request) endableFrom() int64 {
	return waiting.deadline - int64(waiting.model.service+serviceMargin*waiting.model.deviation)
}

// givesWay reports whether a waiting request would start too late to end in time while
// more wait than there are places. An answer that has begun is continued: it lasts less
// than a whole one.
func (r *Router) givesWay(waiting *request) bool {
	model := waiting.model
	if model.queue.Len() < 2 || waiting.firstByte || r.nanos <= waiting.endableFrom() {
		return false
	}
	places := r.places(model)
	return places > 0 && places < model.queue.Len()
}

// places counts the requests that the model's replicas would take now.
func (r *Router) places(m *model) int {
	count := 0
	for _, tier := range m.tiers {
		for _, replica := range tier {
			if replica.missingUntil <= r.nanos && r.room(replica.machine) == "" {
				count += r.placesAt(replica.machine)
			}
		}
	}
	return count
}

// placesAt counts the requests that a machine with room would take now.
func (r *Router) placesAt(m *machine) int {
	free := float64(m.slots - m.inFlight)
	if r.nanos < r.reportEnd(m) {
		free -= m.others
	}
	count := max(r.slotShare(m)-m.inFlight, int(free), 1)
	if r.nanos < m.ceilingUntil {
		count = min(count, m.ceiling-m.inFlight)
	}
	if m.turns.limited {
		count = min(count, 1)
	}
	return count
}

// crowded reports whether all replicas of the model are full, by reports or by the word of
// their engines. Those that are left alone since they failed are not.
func (r *Router) crowded(m *model) bool {
	for _, tier := range m.tiers {
		for _, replica := range tier {
			machine := replica.machine
			if machine.leaving() {
				continue
			}
			cause := r.room(machine)
			if cause != FilterFull && (cause != FilterRecent || !machine.full) {
				return false
			}
		}
	}
	return m.loaded > 0
}

// head returns the model's next request to start. Those that give way are ended.
func (r *Router) head(m *model) *request {
	for {
		head := m.queue.Head()
		if head == nil {
			return nil
		}
		if !r.givesWay(head.Value) {
			return head.Value
		}
		reason := m.explain(settingDeadline, time.Duration(head.Value.deadline-r.nanos).Seconds(), time.Duration(m.service).Seconds())
		failure := verdict.New(verdict.NotRun, verdict.CodeDeadlineUnmeetable,
			"the request would not end by its deadline, and others wait for its place")
		r.finish(head.Value, failure.After(r.comeBack(m)), reason)
	}
}

// learnService takes how long a request ran that ended well.
func (m *model) learnService(took float64) {
	if m.service > 0 {
		learn(&m.deviation, math.Abs(took-m.service))
	}
	learn(&m.service, took)
}

// unmeetable says why the request can't start in time, with the time at which it could,
// or nil. One that can start, however late its answer, keeps its place: a caller that
// comes back is served no sooner and may be refused again. Without evidence it may start:
// a load that nobody has begun may take no longer than from the copy that is nearest at hand,
// or, where copies are not known, than the quickest one seen.
func (r *Router) unmeetable(waiting *request, ahead int) (*verdict.Error, Explanation) {
	model := waiting.model
	if failure, reason := r.closedTooLong(waiting, r.closedUntil(model)); failure != nil {
		return failure, reason
	}
	load := cmp.Or(r.leastLoad(model), model.quickestLoad)
	wait, known := r.expectedStart(model, ahead, load, model.turn(ahead+1, model.service))
	last := r.startBy(waiting)
	if ahead > 0 && r.crowded(model) {
		last = min(last, waiting.endableFrom())
	}
	left := last - r.nanos
	if !known || wait <= left {
		return nil, Explanation{}
	}
	reason := model.explain(r.bindingSetting(waiting), time.Duration(left).Seconds(), time.Duration(wait).Seconds())
	failure := verdict.New(verdict.NotRun, verdict.CodeDeadlineUnmeetable,
		"the model is expected to be ready in %s, the request can wait %s",
		time.Duration(wait).Round(time.Millisecond), time.Duration(left).Round(time.Millisecond))
	return failure.After(r.comeBackBehind(model, ahead, waiting.Priority)), reason
}

// leastLoad is how long a load of the model takes at least, zero when that is not known or
// the model is loaded or being loaded.
func (r *Router) leastLoad(m *model) float64 {
	if r.config.LeastLoad == nil || m.loaded > 0 || len(m.loading) > 0 {
		return 0
	}
	return float64(r.config.LeastLoad(m.id))
}

// hopelessAt is when a request that begins to wait can't be started in time any more unless
// a load of its model has begun by then; zero where that is not known. Without it, requests
// for models that the weight store has no room to load waited until their callers left, which
// cost more than their worth: on a calm day 42 of 1,328 of the dearest kind.
func (r *Router) hopelessAt(waiting *request) int64 {
	load := r.leastLoad(waiting.model)
	if load == 0 {
		return 0
	}
	return r.startBy(waiting) - int64(load) + 1
}

// stillHopeful reports whether a waiting request whose timer is due needs no end by time: it
// may go on waiting, its timer set anew, or was ended because it can't start in time.
func (r *Router) stillHopeful(due *request) bool {
	last := min(due.deadline, due.queuedSince+due.queueBudget)
	if !due.item.Queued() || r.nanos >= last {
		return false
	}
	if failure, reason := r.unmeetable(due, due.model.queue.Before(&due.item)); failure != nil {
		r.finish(due, failure, reason)
		return true
	}
	r.arm(&due.timer, last)
	return true
}

// bindingSetting names what bounds the request's start.
func (r *Router) bindingSetting(waiting *request) string {
	switch {
	case r.startBy(waiting) == waiting.deadline:
		return settingDeadline
	case waiting.Patience > 0 && waiting.model.configured != nil && waiting.Patience < waiting.model.configured.Policy.QueueTime:
		return settingPatience
	}
	return settingQueueTime
}

// expectedStart estimates in how many nanoseconds a request with so many ahead could
// start, or false without evidence. load is assumed for a load that nobody has begun, zero
// when nothing is known of it; turn comes after the end of a load.
func (r *Router) expectedStart(m *model, ahead int, load, turn float64) (int64, bool) {
	if m.loaded > 0 {
		return m.queueTime(ahead)
	}
	if ready, known := r.earliestReady(m); known {
		return ready - r.nanos + int64(turn), true
	}
	return int64(load), load > 0 && len(m.loading) == 0
}

// startPace learns how often requests of a model start while others wait.
type startPace struct {
	// interval is the learned mean between two starts in nanoseconds, zero before the
	// first.
	interval float64
	// since is when the last request started, or could have if there had been room.
	since int64
}

// note takes a start out of the queue.
func (p *startPace) note(nanos int64) {
	learn(&p.interval, float64(nanos-p.since))
	p.since = nanos
}

// queueTime estimates how long a request with so many ahead waits at loaded replicas by the
// pace of starts, or false without evidence.
func (m *model) queueTime(ahead int) (int64, bool) {
	if m.queue.Len() == 0 {
		return 0, true
	}
	interval := m.starts.interval
	if interval == 0 && m.capacity > 0 {
		interval = m.service / float64(m.capacity)
	}
	return int64(float64(ahead) * interval), interval > 0
}

// stall is how long none of the waiting requests has started. The next start is expected
// to take as long again, but that is no knowledge: callers are told that time, and none is
// refused for it, since who waits when the stall ends is served.
func (r *Router) stall(m *model) int64 {
	if m.loaded == 0 || m.queue.Len() == 0 {
		return 0
	}
	return r.nanos - m.starts.since
}

// turn estimates how long after the end of a load the request at a place in the line
// starts: the slots are taken at once, and freed one by one afterwards.
func (m *model) turn(place int, service float64) float64 {
	slots := m.loadingSlots()
	if slots == 0 {
		return 0
	}
	return float64(max(place-slots, 0)) * service / float64(slots)
}

// loadingSlots sums the slots of the replicas that are being loaded.
func (m *model) loadingSlots() int {
	slots := 0
	for _, replica := range m.loading {
		slots += replica.machine.slots
	}
	return slots
}

// earliestReady returns when the first loading replica should be loaded, by its
// controller's or the learned load time. One that is overdue or whose
// controller is lost may be ready any moment, and nothing is known.
func (r *Router) earliestReady(m *model) (int64, bool) {
	var earliest int64
	for _, replica := range m.loading {
		ready := replica.readyAt
		if ready == 0 && m.loadTime > 0 {
			ready = replica.since + int64(m.loadTime)
		}
		if ready <= r.nanos || r.zoneLost(replica.machine.zone) {
			return 0, false
		}
		if earliest == 0 || ready < earliest {
			earliest = ready
		}
	}
	return earliest, earliest != 0
}

// comeBack estimates when a refused caller should try again, behind all that wait.
func (r *Router) comeBack(m *model) time.Duration {
	return r.comeBackBehind(m, m.queue.Len(), math.MinInt)
}

// comeBackBehind estimates when a caller with so many ahead should come back: when its
// turn comes after these and those of its priority or more urgent ones that were told to
// come back before it, so that no more return at a time than are then served. The other
// routers are assumed to have as many; none is refused by that.
func (r *Router) comeBackBehind(m *model, ahead, priority int) time.Duration {
	ahead += m.expected.away(r.nanos, priority)
	load := cmp.Or(r.leastLoad(m), m.loadTime, *r.kindLoadTime(m), float64(r.config.MaxBackOff))
	if m.absentSince > 0 {
		load += float64(r.nanos - m.absentSince)
	}
	place := ahead*r.routers + r.rank + 1
	if wait, known := r.expectedStart(m, ahead, load, m.turn(place, m.serviceTime(&r.config))); known {
		return r.bounded(time.Duration(wait + r.stall(m)))
	}
	if m.loaded > 0 {
		work := m.serviceTime(&r.config) * float64(ahead+1) / float64(max(m.capacity, 1))
		return r.bounded(time.Duration(work))
	}
	return r.bounded(r.config.MaxBackOff)
}

// firstWaits begins to count how long nothing starts, and, unless callers are expected
// back, how long nobody has begun a load.
func (m *model) firstWaits(nanos int64) {
	m.starts.since = nanos
	if m.expecting(nanos) == 0 {
		m.absentSince = 0
	}
}

// noteAbsence notes since when requests wait for a model that nobody holds or loads. The
// longer nobody has begun a load, the later the next one is expected: a router that is cut
// off from news sees none for seconds.
func (m *model) noteAbsence(nanos int64) {
	switch {
	case m.loaded > 0 || len(m.loading) > 0:
		m.absentSince = 0
	case m.absentSince == 0 && m.queue.Len() > 0:
		m.absentSince = nanos
	}
}

// kindLoadTime is the learned load time of base models or of adapters, as controllers
// expect it and as it was seen. It says when a load that nobody has begun may be over, not
// that it can't be sooner: by it callers are told when to come back, but none is refused.
func (r *Router) kindLoadTime(m *model) *float64 {
	if m.configured != nil && m.configured.Kind == settings.KindAdapter {
		return &r.loadTimes[1]
	}
	return &r.loadTimes[0]
}

func (r *Router) bounded(wait time.Duration) time.Duration {
	return min(max(wait, r.config.MinRetryAfter), r.config.MaxRetryAfter)
}

package routing

import (
	"math"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// limitChange is the relative change of a rate limit, 10%, from which it is sent to the other
// routers. A machine that states a different number in each answer would otherwise cause a message
// for each.
const limitChange = 0.1

// Notice is what the headers of a machine's answer state about the machine.
type Notice struct {
	// Limited is set when the machine takes at most PerSecond requests per second from all routers
	// together. The limit holds until an answer to a request sent under it states none.
	Limited   bool
	PerSecond float64
	// Leaving is set when the machine is leaving.
	Leaving bool
	// Brittle is how many requests the machine can turn away within a second for want of room
	// before its process ends; zero when not stated. Rejected is set if it turned this one away.
	Brittle  int
	Rejected bool
	// Concurrency is the number of requests that a brittle machine gets at a time. Machines don't
	// state it; routers derive it.
	Concurrency int
	// StatedPerSecond is the rate limit that a brittle machine states itself, zero for none. PerSecond
	// is then the lower one of it and the rate that follows from Concurrency.
	StatedPerSecond float64
	// Rest is the time for which a machine that refused a request wants no more requests from this
	// router; zero when not stated.
	Rest time.Duration
}

// MachineNoticeReceived carries the notice in a machine's answer.
type MachineNoticeReceived struct {
	Machine cluster.MachineID
	Request cluster.RequestID
	Notice  Notice
	// SentUnderLimit is set when the request was sent while the machine's limit was known. An
	// answer to such a request that states no limit ends the limit.
	SentUnderLimit bool
}

// MachineLimitReceived carries a machine's rate limit as learned by another router.
type MachineLimitReceived struct {
	Machine cluster.MachineID
	Notice  Notice
}

// MachineLimitRestored carries the stored rate limit of a machine, of which this router may have no status yet. It
// counts until a limit is heard of.
type MachineLimitRestored struct {
	Machine cluster.MachineID
	Notice  Notice
}

// MachineLimitChanged reports a new or changed rate limit of a machine, to be sent to all routers.
type MachineLimitChanged struct {
	Machine cluster.MachineID
	Request cluster.RequestID
	Notice  Notice
}

// MachineLeavingFound reports that an answer was the first to state that its machine is leaving.
type MachineLeavingFound struct {
	Machine cluster.MachineID
	Request cluster.RequestID
}

// MachineRestFound reports that a machine wants no requests from this router for a time.
type MachineRestFound struct {
	Machine cluster.MachineID
	Request cluster.RequestID
	Rest    time.Duration
}

func (MachineNoticeReceived) routingEvent() {}
func (MachineLimitReceived) routingEvent()  {}
func (MachineLimitRestored) routingEvent()  {}
func (MachineLimitChanged) routingEffect()  {}
func (MachineLeavingFound) routingEffect()  {}
func (MachineRestFound) routingEffect()     {}

// Limit returns how many requests per second a machine takes from all routers together, or false if
// it has stated no limit.
func (r *Router) Limit(id cluster.MachineID) (perSecond float64, limited bool) {
	if m := r.machines[id]; m != nil && m.turns.limited && m.turns.brittle == 0 {
		return m.turns.perSecond, true
	}
	return 0, false
}

// applyMachineNotice applies the notice in a machine's answer.
func (r *Router) applyMachineNotice(event *MachineNoticeReceived) {
	if event.Notice.Leaving {
		r.leavingHeard(event)
	}
	present := r.currentStart(event.Machine)
	m := r.machines[present]
	if m == nil {
		return
	}
	if event.Notice.Rest > 0 {
		r.startRest(m, event)
	}
	endsLimit := event.SentUnderLimit && present == event.Machine
	notice := event.Notice
	if notice.Brittle > 0 {
		notice = r.limitBrittle(m, notice)
	}
	if !notice.Limited && !endsLimit {
		return
	}
	t := &m.turns
	changed := t.limited != notice.Limited || t.concurrency != notice.Concurrency || notice.Brittle == 0 && math.Abs(notice.PerSecond-t.publishedPerSecond) > limitChange*t.publishedPerSecond ||
		math.Abs(notice.StatedPerSecond-t.statedPerSecond) > limitChange*t.statedPerSecond
	r.setLimit(m, notice)
	if changed {
		t.publishedPerSecond = notice.PerSecond
		r.emit(MachineLimitChanged{Machine: m.id, Request: event.Request, Notice: notice})
	}
}

// leavingHeard applies a leaving notice, which is final whatever the cell status says.
func (r *Router) leavingHeard(event *MachineNoticeReceived) {
	if known := r.machines[event.Machine]; known != nil && known.leavingAnnounced {
		return
	}
	r.machineLeaving(event.Machine)
	r.emit(MachineLeavingFound{Machine: event.Machine, Request: event.Request})
}

// Leaving reports whether a machine is known to take no new requests.
func (r *Router) Leaving(id cluster.MachineID) bool {
	m := r.machines[id]
	return m != nil && m.leaving()
}

// Resting reports whether a machine wants no requests from this router now.
func (r *Router) Resting(now time.Time, id cluster.MachineID) bool {
	m := r.machines[id]
	return m != nil && now.UnixNano() < m.turns.restUntil
}

// applyMachineLimit applies a limit that another router learned.
func (r *Router) applyMachineLimit(event *MachineLimitReceived) {
	if m := r.machines[r.currentStart(event.Machine)]; m != nil {
		m.turns.publishedPerSecond = event.Notice.PerSecond
		r.setLimit(m, event.Notice)
	}
}

// restoreMachineLimit applies a stored limit to a machine that has none.
func (r *Router) restoreMachineLimit(event *MachineLimitRestored) {
	m := r.machineState(event.Machine)
	if m.turns.limited {
		return
	}
	m.turns.publishedPerSecond = event.Notice.PerSecond
	r.setLimit(m, event.Notice)
}

// MachineLimits returns the limits of all machines that have one.
func (r *Router) MachineLimits() map[cluster.MachineID]Notice {
	limits := map[cluster.MachineID]Notice{}
	for id, m := range r.machines {
		if t := &m.turns; t.limited {
			limits[id] = Notice{Limited: true, PerSecond: t.perSecond, Brittle: t.brittle, Concurrency: t.concurrency, StatedPerSecond: t.statedPerSecond}
		}
	}
	return limits
}

// setLimit puts a limit in force or ends it.
func (r *Router) setLimit(m *machine, notice Notice) {
	if m.turns.limited && !notice.Limited {
		r.releaseTurn(m, m.turns.slotTurn)
		m.turns = turns{restUntil: m.turns.restUntil, restHeardAt: m.turns.restHeardAt}
		r.freedMachines = append(r.freedMachines, m)
		return
	}
	t := &m.turns
	if notice.Concurrency != t.concurrency {
		t.limitChangedAt = r.nanos
	}
	t.limited, t.perSecond, t.limitHeardAt = notice.Limited, notice.PerSecond, r.nanos
	t.brittle, t.concurrency, t.statedPerSecond = notice.Brittle, notice.Concurrency, notice.StatedPerSecond
}

// startRest sends no requests to a machine that refused one, until the latest time that it asked
// for.
func (r *Router) startRest(m *machine, event *MachineNoticeReceived) {
	until := r.nanos + int64(event.Notice.Rest)
	if until <= m.turns.restUntil {
		return
	}
	m.turns.restUntil, m.turns.restHeardAt = until, r.nanos
	r.wakeAt(m, until)
	r.emit(MachineRestFound{Machine: m.id, Request: event.Request, Rest: event.Notice.Rest})
	r.refuseUnservable(m)
}

package routing

import (
	"math"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
)

// settingMachineLimit and settingMachineRest name what machines said of themselves in explanations.
const (
	settingMachineLimit = "limit of machines"
	settingMachineRest  = "rest of machines"
)

// limitChange is the part by which a limit must change for other routers to be told.
const limitChange = 0.1

const (
	// turnLasts is for how long a turn may be used.
	turnLasts = time.Second
	// sendWithin is how long after its turn came an attempt is sent that was kept. Turns are
	// granted for three quarters of a limit: those of 6 s, used within 4 s, are 1.125 times what
	// the limit allows in 4 s.
	sendWithin = 2 * time.Second
)

// Notice is what the head of a machine's answer says of the machine.
type Notice struct {
	// Limited is set when the machine says that it takes no more than PerSecond requests a
	// second from all routers together, for as long as it says so.
	Limited   bool
	PerSecond float64
	// Leaving is set when the machine says that it leaves.
	Leaving bool
	// Rest is for how long a machine that turned the request away wants nothing more from this
	// router; zero where it doesn't say.
	Rest time.Duration
}

// MachineHeard brings what an answer said of its machine.
type MachineHeard struct {
	Machine cluster.MachineID
	Request cluster.RequestID
	Notice  Notice
	// Whole is set when what the notice does not say no longer holds: the request was sent
	// under what is known.
	Whole bool
}

// MachineLimitTold brings what another router heard of a machine's limit.
type MachineLimitTold struct {
	Machine cluster.MachineID
	Notice  Notice
}

// TurnDecided answers TurnWanted: one request may be sent to the machine after Wait if
// Granted, else another turn may be asked for then.
type TurnDecided struct {
	Machine cluster.MachineID
	Granted bool
	Wait    time.Duration
}

// TurnWanted asks for a turn at a machine with a limit.
type TurnWanted struct {
	Machine   cluster.MachineID
	PerSecond float64
}

// MachineLimitFound tells what this router newly heard of a machine's limit; all routers must
// learn it.
type MachineLimitFound struct {
	Machine cluster.MachineID
	Request cluster.RequestID
	Notice  Notice
}

// MachineLeavingFound tells that a machine's answer was the first to say that it leaves.
type MachineLeavingFound struct {
	Machine cluster.MachineID
	Request cluster.RequestID
}

// MachineRestFound tells that a machine wants nothing from this router for a time.
type MachineRestFound struct {
	Machine cluster.MachineID
	Request cluster.RequestID
	Rest    time.Duration
}

func (MachineRestFound) routingEffect()    {}
func (MachineHeard) routingEvent()         {}
func (MachineLimitTold) routingEvent()     {}
func (TurnDecided) routingEvent()          {}
func (TurnWanted) routingEffect()          {}
func (MachineLimitFound) routingEffect()   {}
func (MachineLeavingFound) routingEffect() {}

// turns is what a router knows of a machine's limit and of its turns there.
type turns struct {
	// limited machines take perSecond requests a second of all routers; told is what the others
	// were told last.
	limited         bool
	perSecond, told float64
	// heardAt is when anybody last heard of the limit.
	heardAt int64
	// asked is set while a question is under way. A turn that was granted and not taken holds
	// from a time until another.
	asked       bool
	from, until int64
	// deniedUntil is until when no other turn is asked for.
	deniedUntil int64
	// restsUntil is until when the machine wants nothing from this router, limit or not.
	restsUntil int64
}

// closed returns why no request may be sent now by the machine's own word, or empty.
func (t *turns) closed(nanos int64) FilterCause {
	switch {
	case nanos < t.restsUntil:
		return FilterResting
	case t.limited && (nanos < t.from || nanos >= t.until):
		return FilterLimited
	}
	return ""
}

// open reports whether a request may be sent now as far as the machine's own word goes.
func (t *turns) open(nanos int64) bool { return t.closed(nanos) == "" }

// take uses the turn, and returns until when the request must be sent; zero for any time.
func (t *turns) take() int64 {
	if !t.limited {
		return 0
	}
	t.until = 0
	return t.from + int64(sendWithin)
}

// giveBack returns the turn of a request that was not sent.
func (t *turns) giveBack(sendBy int64) {
	if sendBy == 0 || t.until > 0 {
		return
	}
	t.from = sendBy - int64(sendWithin)
	t.until = t.from + int64(turnLasts)
}

// opensAt is when the machine takes requests again as far as that is known.
func (t *turns) opensAt(nanos int64) int64 {
	switch {
	case nanos < t.restsUntil:
		return t.restsUntil
	case t.open(nanos) || t.asked:
		return nanos
	case nanos < t.from:
		return t.from
	}
	return max(t.deniedUntil, nanos)
}

// Limit returns how many requests a second a machine said that it takes of all routers together;
// false where it names no limit.
func (r *Router) Limit(id cluster.MachineID) (perSecond float64, limited bool) {
	if m := r.machines[id]; m != nil && m.turns.limited {
		return m.turns.perSecond, true
	}
	return 0, false
}

// machineHeard takes what an answer said of its machine.
func (r *Router) machineHeard(event *MachineHeard) {
	if event.Notice.Leaving {
		r.leavingHeard(event)
	}
	m := r.machines[event.Machine]
	if m == nil {
		return
	}
	if event.Notice.Rest > 0 {
		r.rest(m, event)
	}
	if !event.Notice.Limited && !event.Whole {
		return
	}
	t := &m.turns
	changed := t.limited != event.Notice.Limited || math.Abs(event.Notice.PerSecond-t.told) > limitChange*t.told
	r.setLimit(m, event.Notice)
	if changed {
		t.told = event.Notice.PerSecond
		r.emit(MachineLimitFound{Machine: m.id, Request: event.Request, Notice: event.Notice})
	}
}

// leavingHeard takes an answer's word that its machine leaves: for good, whatever the cell's status
// says.
func (r *Router) leavingHeard(event *MachineHeard) {
	if known := r.machines[event.Machine]; known != nil && known.announced {
		return
	}
	r.machineLeaving(event.Machine)
	r.emit(MachineLeavingFound{Machine: event.Machine, Request: event.Request})
}

// Leaving reports whether a machine is known to take no new work.
func (r *Router) Leaving(id cluster.MachineID) bool {
	m := r.machines[id]
	return m != nil && m.leaving()
}

// limitTold takes what another router heard.
func (r *Router) limitTold(event *MachineLimitTold) {
	if m := r.machines[event.Machine]; m != nil {
		m.turns.told = event.Notice.PerSecond
		r.setLimit(m, event.Notice)
	}
}

// setLimit puts a limit in force, or ends it.
func (r *Router) setLimit(m *machine, notice Notice) {
	if m.turns.limited && !notice.Limited {
		m.turns = turns{restsUntil: m.turns.restsUntil}
		r.freed = append(r.freed, m)
		return
	}
	m.turns.limited, m.turns.perSecond, m.turns.heardAt = notice.Limited, notice.PerSecond, r.nanos
}

// rest leaves a machine alone that turned a request away, until the latest time that it asked for.
func (r *Router) rest(m *machine, event *MachineHeard) {
	until := r.nanos + int64(event.Notice.Rest)
	if until <= m.turns.restsUntil {
		return
	}
	m.turns.restsUntil = until
	r.wake(m, until)
	r.emit(MachineRestFound{Machine: m.id, Request: event.Request, Rest: event.Notice.Rest})
	r.refuseClosed(m)
}

// wantTurn asks for a turn at a machine, unless one is there, on its way or not to be had yet.
func (r *Router) wantTurn(m *machine) {
	t := &m.turns
	if t.asked || r.nanos < t.restsUntil || r.nanos < t.from || r.nanos < t.until || r.nanos < t.deniedUntil {
		return
	}
	t.asked = true
	r.emit(TurnWanted{Machine: m.id, PerSecond: t.perSecond})
}

// turnDecided takes the answer to a question.
func (r *Router) turnDecided(event *TurnDecided) {
	m := r.machines[event.Machine]
	if m == nil || !m.turns.asked {
		return
	}
	t := &m.turns
	t.asked = false
	at := r.nanos + int64(event.Wait)
	if event.Granted {
		t.from, t.until = at, at+int64(turnLasts)
	} else {
		t.deniedUntil = at
	}
	if at > r.nanos {
		r.wake(m, at)
	} else {
		r.freed = append(r.freed, m)
	}
	r.refuseClosed(m)
}

// refuseClosed ends requests that wait for the models of a machine and can't be sent in time.
func (r *Router) refuseClosed(m *machine) {
	for _, replica := range m.replicas {
		if replica.state != cluster.ReplicaLoaded || r.closedUntil(replica.model) == 0 {
			continue
		}
		for _, waiting := range replica.model.waitingInOrder() {
			if failure, reason := r.closed(waiting); failure != nil {
				r.finish(waiting, failure, reason)
			}
		}
	}
}

// bindingNotice names what keeps the model's machines from taking requests.
func (r *Router) bindingNotice(m *model) string {
	for _, tier := range m.tiers {
		for _, replica := range tier {
			if replica.machine.turns.closed(r.nanos) == FilterResting {
				return settingMachineRest
			}
		}
	}
	return settingMachineLimit
}

// closedUntil is until when all machines that hold the model are known to take no requests;
// zero where one takes some or may any moment.
func (r *Router) closedUntil(m *model) int64 {
	var earliest int64
	for _, tier := range m.tiers {
		for _, replica := range tier {
			if replica.machine.leaving() {
				continue
			}
			at := replica.machine.turns.opensAt(r.nanos)
			if at <= r.nanos {
				return 0
			}
			if earliest == 0 || at < earliest {
				earliest = at
			}
		}
	}
	if len(m.loading) > 0 && earliest != 0 {
		ready, known := r.earliestReady(m)
		if !known {
			return 0
		}
		earliest = min(earliest, ready)
	}
	return earliest
}

// closed says why the request can't be sent in time though its model is loaded, or nil.
func (r *Router) closed(waiting *request) (*verdict.Error, Explanation) {
	model := waiting.model
	until, last := r.closedUntil(model), r.startBy(waiting)
	if until <= last {
		return nil, Explanation{}
	}
	left, wait := time.Duration(last-r.nanos), time.Duration(until-r.nanos)
	failure := verdict.New(verdict.NotRun, verdict.CodeDeadlineUnmeetable,
		"the machines that hold the model take no requests for %s, the request can wait %s",
		wait.Round(time.Millisecond), left.Round(time.Millisecond))
	return failure.After(max(r.bounded(wait), r.comeBack(model))), model.explain(r.bindingNotice(model), left.Seconds(), wait.Seconds())
}

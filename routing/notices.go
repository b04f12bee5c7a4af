package routing

import (
	"math"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// limitChange is the part by which a limit must change for other routers to be told: a machine that
// names another number in each answer would have each told to all.
const limitChange = 0.1

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
	// SentUnderLimit is set when the request was sent while the machine's limit was known: an
	// answer that names none ends it.
	SentUnderLimit bool
}

// MachineLimitTold brings what another router heard of a machine's limit.
type MachineLimitTold struct {
	Machine cluster.MachineID
	Notice  Notice
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

func (MachineHeard) routingEvent()         {}
func (MachineLimitTold) routingEvent()     {}
func (MachineLimitFound) routingEffect()   {}
func (MachineLeavingFound) routingEffect() {}
func (MachineRestFound) routingEffect()    {}

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
	present := r.presentStart(event.Machine)
	m := r.machines[present]
	if m == nil {
		return
	}
	if event.Notice.Rest > 0 {
		r.rest(m, event)
	}
	endsLimit := event.SentUnderLimit && present == event.Machine
	if !event.Notice.Limited && !endsLimit {
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
	if m := r.machines[r.presentStart(event.Machine)]; m != nil {
		m.turns.told = event.Notice.PerSecond
		r.setLimit(m, event.Notice)
	}
}

// setLimit puts a limit in force, or ends it.
func (r *Router) setLimit(m *machine, notice Notice) {
	if m.turns.limited && !notice.Limited {
		m.turns = turns{restsUntil: m.turns.restsUntil, restHeardAt: m.turns.restHeardAt}
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
	m.turns.restsUntil, m.turns.restHeardAt = until, r.nanos
	r.wake(m, until)
	r.emit(MachineRestFound{Machine: m.id, Request: event.Request, Rest: event.Notice.Rest})
	r.refuseClosed(m)
}

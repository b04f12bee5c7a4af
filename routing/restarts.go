package routing

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// unknownStart is for how long a later start of a machine may answer before it is known, and the
// earlier one after: what answers say within it may be the word of either.
const unknownStart = int64(10 * time.Second)

// MachineRestarted tells that a machine is a later start of another one.
type MachineRestarted struct {
	Machine, Before cluster.MachineID
}

func (MachineRestarted) routingEvent() {}

// machineRestarted has a machine's rest and limit count for its later start as well, since answers
// don't say which start gave them. That it leaves does not: neither time nor an answer would end it.
func (r *Router) machineRestarted(event *MachineRestarted) {
	before := r.machines[event.Before]
	if before == nil {
		return
	}
	later := r.machineState(event.Machine)
	later.zone, later.restarted = before.zone, ""
	before.restarted, before.restartedAt = event.Machine, r.nanos
	if r.nanos < before.turns.restsUntil && r.nanos-before.turns.restHeardAt < unknownStart {
		later.turns.restsUntil, later.turns.restHeardAt = before.turns.restsUntil, before.turns.restHeardAt
		r.wake(later, later.turns.restsUntil)
	}
	if before.turns.limited && r.nanos-before.turns.heardAt < unknownStart {
		later.turns.limited, later.turns.perSecond = true, before.turns.perSecond
		later.turns.told, later.turns.heardAt = before.turns.told, before.turns.heardAt
	}
}

// presentStart returns the start of a machine that an answer's word counts for: a later one that
// is known since a moment ago, else the machine itself.
func (r *Router) presentStart(id cluster.MachineID) cluster.MachineID {
	for m := r.machines[id]; m != nil && m.restarted != "" && r.nanos-m.restartedAt < unknownStart; m = r.machines[id] {
		id = m.restarted
	}
	return id
}

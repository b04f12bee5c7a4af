package routing

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// restartGracePeriod is 10 s. For that long a restarted machine may answer before its restart is
// known here, and answers of the previous start may arrive afterwards; within it a notice may come
// from either.
const restartGracePeriod = int64(10 * time.Second)

// MachineRestarted reports that Machine is a restart of the machine Before.
type MachineRestarted struct {
	Machine, Before cluster.MachineID
}

func (MachineRestarted) routingEvent() {}

// machineRestarted copies the rest period and rate limit of a machine to its restart, since answers
// don't state which start gave them. The leaving state is not copied: neither time nor an answer
// would end it. A start between the two, whose entry was never read, has ended too.
func (r *Router) machineRestarted(event *MachineRestarted) {
	before := r.machines[event.Before]
	if before == nil {
		return
	}
	if !before.leaving() {
		r.poison.MachineRestarted(r.now, event.Before)
	}
	if unlisted := before.answeringStart(); unlisted != event.Machine && unlisted != event.Before {
		r.machineEnded(unlisted)
	}
	later := r.machineState(event.Machine)
	later.zone, later.restartedAs = before.zone, ""
	before.restartedAs, before.restartedAt = event.Machine, r.nanos
	if r.nanos < before.turns.restUntil && r.nanos-before.turns.restHeardAt < restartGracePeriod {
		later.turns.restUntil, later.turns.restHeardAt = before.turns.restUntil, before.turns.restHeardAt
		r.wakeAt(later, later.turns.restUntil)
	}
	if before.turns.limited && r.nanos-before.turns.limitHeardAt < restartGracePeriod {
		later.turns.limited, later.turns.perSecond = true, before.turns.perSecond
		later.turns.publishedPerSecond, later.turns.limitHeardAt = before.turns.publishedPerSecond, before.turns.limitHeardAt
		later.turns.brittle, later.turns.concurrency, later.turns.limitChangedAt = before.turns.brittle, before.turns.concurrency, before.turns.limitChangedAt
		later.turns.statedPerSecond = before.turns.statedPerSecond
	}
}

// currentStart returns the machine to which a notice applies: the latest restart that became known
// within restartGracePeriod, else the machine itself.
func (r *Router) currentStart(id cluster.MachineID) cluster.MachineID {
	for m := r.machines[id]; m != nil && m.restartedAs != "" && r.nanos-m.restartedAt < restartGracePeriod; m = r.machines[id] {
		id = m.restartedAs
	}
	return id
}

package node

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing"
)

const (
	// machineListInterval is how often a controller reads the machine list.
	machineListInterval = time.Second
	// routerListInterval is how often any other node reads it.
	routerListInterval = 2 * time.Second
	// listSilence is after what time without an answer of the list the engines
	// themselves are asked whether they leave, each probeInterval.
	listSilence   = 3 * time.Second
	probeInterval = 2 * time.Second
	// pauseGap between two events, which Ticks keep well below, means that this
	// process stood still; verifyTime bounds the wait for the machine list then.
	pauseGap   = 3 * time.Second
	verifyTime = time.Second
	// maxProbes bounds the engines asked at once; more are asked in turn.
	maxProbes = 32
)

// machineWatch reads the platform's machine list on every node, because the
// promise that a leaving machine gets no new work must not hang on a controller
// that is down or cut off. The list is read conditionally, so that one without
// changes costs next to nothing.
type machineWatch struct {
	due time.Time
	// listed is when the list last answered.
	listed time.Time
	// probeDue is when engines are asked next, and probed where the turn is.
	probeDue time.Time
	probed   int
	// leaving holds the machines whose end the router has been told.
	leaving map[cluster.MachineID]bool
}

func newMachineWatch() *machineWatch { return &machineWatch{leaving: map[cluster.MachineID]bool{}} }

// pollMachines reads the list when due, and asks the engines when it is silent.
func (c *Core) pollMachines() {
	c.probeEngines()
	if c.now.Before(c.machines.due) {
		return
	}
	interval := routerListInterval
	if c.cellRole.controller.Holding() {
		interval = machineListInterval
	}
	c.machines.due = c.now.Add(interval)
	c.emit(ListMachines{})
}

// machinesListed tells the router which machines leave, and the roles what the
// list holds.
func (c *Core) machinesListed(listed MachinesListed) {
	if listed.Err != nil {
		return
	}
	c.machines.listed = c.now
	defer c.routing(routing.DispatchesReleased{})
	present := make(map[cluster.MachineID]bool, len(c.machines.leaving))
	for i := range listed.Machines {
		machine := &listed.Machines[i]
		if !machine.Leaving {
			continue
		}
		present[machine.ID] = true
		if !c.machines.leaving[machine.ID] {
			c.routing(routing.MachineLeaving{Machine: machine.ID})
		}
	}
	c.machines.leaving = present
	c.cellRole.machinesListed(listed)
}

// probeEngines asks engines that may get requests whether they leave, when nobody
// else would tell: all while the machine list does not answer, and those of a
// zone whose controller is silent, because a list that answers may stand still.
func (c *Core) probeEngines() {
	if c.now.Before(c.machines.probeDue) {
		return
	}
	c.machines.probeDue = c.now.Add(probeInterval)
	engines := c.router.Machines()
	if c.now.Sub(c.machines.listed) <= listSilence {
		engines = slices.DeleteFunc(engines, func(machine cluster.Machine) bool { return !c.cellSilent(machine.Zone) })
	}
	for i := range min(len(engines), maxProbes) {
		machine := engines[(c.machines.probed+i)%len(engines)]
		c.emit(EngineCall{Operation: EngineInventory, Machine: machine})
	}
	c.machines.probed += maxProbes
}

// cellSilent reports whether a zone's status is overdue.
func (c *Core) cellSilent(zone cluster.ZoneID) bool {
	interval := remoteStatusInterval
	if zone == c.self.Zone {
		interval = statusInterval
	}
	known, ok := c.cells.cells[zone]
	return !ok || c.now.Sub(known.seen) > interval+listSilence
}

// notePause holds dispatches back after this process stood still: machines may
// have left meanwhile, and requests that came during the pause are handled before
// anything else is heard. The list and the engines are asked at once.
func (c *Core) notePause(last time.Time) {
	if last.IsZero() || c.now.Sub(last) < pauseGap {
		return
	}
	c.routing(routing.DispatchesHeld{Until: c.now.Add(verifyTime)})
	c.machines.due, c.machines.probeDue = time.Time{}, time.Time{}
	c.pollMachines()
}

// noteLeaving tells the router of an engine that says that it leaves.
func (c *Core) noteLeaving(answer *EngineAnswered) {
	if answer.Err == nil && answer.Inventory.Leaving {
		c.routing(routing.MachineLeaving{Machine: answer.Call.Machine.ID})
	}
}

// readMachinesSoon makes the next Tick read the list.
func (c *Core) readMachinesSoon() {
	if c.machines != nil {
		c.machines.due = time.Time{}
	}
}

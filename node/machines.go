package node

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing"
)

const (
	// machineListInterval is the time between two reads of the machine list by a
	// controller.
	machineListInterval = time.Second
	// nonControllerListInterval is the time between two reads by any other node.
	nonControllerListInterval = 2 * time.Second
	// machineListTimeout is the time without an answer from the machine list after which
	// the engines themselves are asked whether they are leaving, every
	// engineProbeInterval.
	machineListTimeout  = 3 * time.Second
	engineProbeInterval = 2 * time.Second
	// pauseThreshold is the gap between two events that shows that this process was
	// paused; Ticks normally keep the gap far shorter. pauseHoldTime limits how long
	// dispatches then wait for the machine list.
	pauseThreshold = 3 * time.Second
	pauseHoldTime  = time.Second
	// maxProbesPerRound limits the engines probed in one round; further engines are
	// probed in rotation.
	maxProbesPerRound = 32
)

// machinePoller reads the platform's machine list. Every node does so, because the
// guarantee that a leaving machine gets no new work must not depend on a controller
// that may be down or partitioned. The list is read conditionally, so a read without
// changes costs almost nothing.
type machinePoller struct {
	nextRead time.Time
	// lastRead is the time of the last successful read.
	lastRead time.Time
	// nextProbe is the time of the next round of engine probes, and probeOffset the
	// position of the rotation.
	nextProbe   time.Time
	probeOffset int
	// leaving holds the machines that the router knows to be leaving.
	leaving map[cluster.MachineID]bool
}

func newMachinePoller() *machinePoller { return &machinePoller{leaving: map[cluster.MachineID]bool{}} }

// pollMachines reads the machine list when due, and probes engines if necessary.
func (c *Core) pollMachines() {
	c.probeEngines()
	if c.now.Before(c.machinePoller.nextRead) {
		return
	}
	interval := nonControllerListInterval
	if c.cellRole.controller.Holding() {
		interval = machineListInterval
	}
	c.machinePoller.nextRead = c.now.Add(interval)
	c.emit(ListMachines{})
}

// machinesListed informs the router of leaving machines and passes the list to the
// roles.
func (c *Core) machinesListed(listed MachinesListed) {
	if listed.Err != nil {
		return
	}
	c.machinePoller.lastRead = c.now
	defer c.stepRouter(routing.DispatchesResumed{})
	present := make(map[cluster.MachineID]bool, len(c.machinePoller.leaving))
	for i := range listed.Machines {
		machine := &listed.Machines[i]
		if !machine.Leaving {
			continue
		}
		present[machine.ID] = true
		if !c.machinePoller.leaving[machine.ID] {
			c.stepRouter(routing.MachineLeaving{Machine: machine.ID})
		}
	}
	c.machinePoller.leaving = present
	c.cellRole.machinesListed(listed)
}

// probeEngines asks engines that may get requests whether they are leaving, if no
// other source reports it: all engines while the machine list does not answer, and the
// engines of a zone whose controller is silent, because a list that answers may be
// outdated.
func (c *Core) probeEngines() {
	if c.now.Before(c.machinePoller.nextProbe) {
		return
	}
	c.machinePoller.nextProbe = c.now.Add(engineProbeInterval)
	engines := c.router.Machines()
	if c.now.Sub(c.machinePoller.lastRead) <= machineListTimeout {
		engines = slices.DeleteFunc(engines, func(machine cluster.Machine) bool { return !c.cellStatusOverdue(machine.Zone) })
	}
	for i := range min(len(engines), maxProbesPerRound) {
		machine := engines[(c.machinePoller.probeOffset+i)%len(engines)]
		c.emit(EngineCall{Operation: EngineInventory, Machine: machine})
	}
	c.machinePoller.probeOffset += maxProbesPerRound
}

// cellStatusOverdue reports whether no status of the zone has come for longer than its
// interval and machineListTimeout together.
func (c *Core) cellStatusOverdue(zone cluster.ZoneID) bool {
	interval := remoteStatusInterval
	if zone == c.self.Zone {
		interval = statusInterval
	}
	known, ok := c.cells.cells[zone]
	return !ok || c.now.Sub(known.lastStatusAt) > interval+machineListTimeout
}

// holdDispatchesAfterPause holds dispatches after this process was paused: machines
// may have started to leave meanwhile, and requests that came during the pause are
// handled before any other event. It reads the machine list and probes the engines at
// once.
func (c *Core) holdDispatchesAfterPause(last time.Time) {
	if last.IsZero() || c.now.Sub(last) < pauseThreshold {
		return
	}
	c.stepRouter(routing.DispatchesPaused{Until: c.now.Add(pauseHoldTime)})
	c.machinePoller.nextRead, c.machinePoller.nextProbe = time.Time{}, time.Time{}
	c.pollMachines()
}

// reportLeavingEngine informs the router if an engine reports that it is leaving.
func (c *Core) reportLeavingEngine(answer *EngineAnswered) {
	if answer.Err == nil && answer.Inventory.Leaving {
		c.stepRouter(routing.MachineLeaving{Machine: answer.Call.Machine.ID})
	}
}

// readMachinesAtNextTick makes the next Tick read the machine list.
func (c *Core) readMachinesAtNextTick() {
	if c.machinePoller != nil {
		c.machinePoller.nextRead = time.Time{}
	}
}

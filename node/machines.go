package node

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing"
)

const (
	// machineListInterval is how often a controller reads the machine list.
	machineListInterval = time.Second
	// routerListInterval is how often any other node reads it.
	routerListInterval = 2 * time.Second
)

// machineWatch reads the platform's machine list on every node, because the
// promise that a leaving machine gets no new work must not hang on a controller
// that is down or cut off. The list is read conditionally, so that one without
// changes costs next to nothing.
type machineWatch struct {
	due time.Time
	// leaving holds the machines whose end the router has been told.
	leaving map[cluster.MachineID]bool
}

func newMachineWatch() *machineWatch { return &machineWatch{leaving: map[cluster.MachineID]bool{}} }

// pollMachines reads the list when due.
func (c *Core) pollMachines() {
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

// readMachinesSoon makes the next Tick read the list.
func (c *Core) readMachinesSoon() {
	if c.machines != nil {
		c.machines.due = time.Time{}
	}
}

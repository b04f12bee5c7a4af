package node

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/replication"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/settings"
)

// The methods below read the core's state for operators and change nothing.

// Queues returns the models with waiting or running requests on this node.
func (c *Core) Queues(now time.Time) []routing.QueueStatus { return c.router.Queues(now) }

// Stamp returns the stamp of the settings in force.
func (c *Core) Stamp() settings.Stamp { return c.replication.Stamp() }

// Peers returns the settings stamps of other nodes, sorted by node ID.
func (c *Core) Peers() []replication.Peer { return c.replication.Peers() }

// Cell returns the controller's state of this node's cell, or false if this node is
// not its controller.
func (c *Core) Cell(now time.Time) (placement.State, bool) {
	if !c.cellRole.controller.Holding() {
		return placement.State{}, false
	}
	return c.cellRole.controller.State(now), true
}

// MachineEntry returns the machine list entry of a machine of the cell.
func (c *Core) MachineEntry(id cluster.MachineID) (cluster.Machine, bool) {
	return c.cellRole.controller.Machine(id)
}

// Load returns the last load report of a machine of the cell.
func (c *Core) Load(id cluster.MachineID) cluster.LoadReport { return c.cellRole.loads[id] }

package node

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/replication"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/settings"
)

// The methods below read the core for operators. They change nothing.

// Queues returns the models with waiting or running requests on this node.
func (c *Core) Queues(now time.Time) []routing.QueueView { return c.router.Queues(now) }

// Stamp identifies the settings in force.
func (c *Core) Stamp() settings.Stamp { return c.replication.Stamp() }

// Peers returns the configuration stamps of other nodes, sorted by node.
func (c *Core) Peers() []replication.Peer { return c.replication.Peers() }

// Cell returns the state of this node's cell as its controller knows it, or
// false when the node does not control it.
func (c *Core) Cell(now time.Time) (placement.State, bool) {
	if !c.cellRole.controller.Holding() {
		return placement.State{}, false
	}
	return c.cellRole.controller.State(now), true
}

// MachineEntry returns the machine list's entry of a machine of the cell.
func (c *Core) MachineEntry(id cluster.MachineID) (cluster.Machine, bool) {
	return c.cellRole.controller.Machine(id)
}

// Load returns the last load report of a machine of the cell.
func (c *Core) Load(id cluster.MachineID) cluster.LoadReport { return c.cellRole.loads[id] }

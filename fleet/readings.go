package fleet

import (
	"github.com/valveslip/valveslip/authority/sequence"
	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/fleet/dispatch"
	"github.com/valveslip/valveslip/fleet/lending"
	"github.com/valveslip/valveslip/routing"
)

// configurationRead puts a configuration in force unless a newer one is.
func (c *Core) configurationRead(compiled *catalog.Compiled) {
	if c.compiled != nil && compiled.Version <= c.compiled.Version {
		return
	}
	c.compiled = compiled
	c.routing(routing.SettingsChanged{Snapshot: compiled.Snapshot})
	c.view.configurationChanged()
	c.cell.configurationChanged()
	c.noteLimits()
	c.gate.configurationChanged()
}

// noteLimits tells who lends tokens of tenants' limits.
func (c *Core) noteLimits() {
	limits := map[string]lending.Limit{}
	for i := range c.compiled.Tenants {
		if tenant := &c.compiled.Tenants[i]; !tenant.Limit.Unlimited() {
			limits[tenant.Name] = lending.Limit{Rate: tenant.Limit.Rate, Burst: tenant.Limit.Burst}
		}
	}
	c.lend(lending.LimitsChanged{Limits: limits})
}

// workersRead takes machines' entries.
func (c *Core) workersRead(read WorkersRead) {
	gone := read.Gone
	if read.Full {
		gone = c.view.missing(&read)
	}
	for _, restarted := range read.Restarted {
		c.routing(restarted)
	}
	for _, id := range gone {
		if c.view.endedUnannounced(id) {
			c.routing(routing.MachineEnded{Machine: id})
		}
		c.view.remove(id)
		c.cell.ledgerStep(sequence.MachineGone{Machine: id})
		if c.dispatching != nil {
			c.dispatching.step(dispatch.EngineGone{Machine: id})
			c.dispatching.machineLeft(id)
		}
	}
	for i := range read.Workers {
		if c.view.put(&read.Workers[i], read.Revision) {
			c.cell.machineSeen(&read.Workers[i])
		}
		if c.dispatching != nil && read.Workers[i].Draining {
			c.dispatching.machineLeft(read.Workers[i].ID)
		}
	}
	for i := range read.Unread {
		if changed := c.view.unread(&read.Unread[i], read.Revision); changed != nil {
			c.cell.machineSeen(changed)
		}
	}
}

// nodesRead takes the entries of nodes.
func (c *Core) nodesRead(read NodesRead) {
	if read.Full {
		c.nodes.clear()
	}
	for _, id := range read.Gone {
		c.nodes.remove(id)
		c.cell.demand.Forget(id)
	}
	for _, entry := range read.Nodes {
		if _, known := c.nodes.live[entry.ID]; !known {
			c.poison.nodeCame(entry)
		}
		c.nodes.put(entry)
		c.succeeds = c.succeeds || c.cell.own(entry) && entry.ID != c.config.Self.ID
	}
	c.poison.ask()
	c.peers.changed()
}

package fleet

import (
	"slices"

	"github.com/valveslip/valveslip/authority/sequence"
	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/fleet/dispatch"
	"github.com/valveslip/valveslip/fleet/lending"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/routing"
)

// applyConfiguration puts a configuration in force unless the current one is newer.
func (c *Core) applyConfiguration(read ConfigurationRead) {
	compiled := read.Compiled
	if c.compiled != nil && compiled.Version < c.compiled.Version {
		return
	}
	before := c.compiled
	c.compiled, c.unstored.configuration = compiled, read.Value
	if before != nil {
		c.releases.routesChanged(before.Routes, compiled.Routes)
	}
	c.feedRouter(routing.SettingsChanged{Snapshot: compiled.Snapshot})
	c.view.configurationChanged()
	c.controller.configurationChanged()
	c.updateTenantLimits()
	c.gate.configurationChanged()
}

// updateTenantLimits passes the tenants' limits to the lending core.
func (c *Core) updateTenantLimits() {
	limits := map[string]lending.Limit{}
	for i := range c.compiled.Tenants {
		if tenant := &c.compiled.Tenants[i]; !tenant.Limit.Unlimited() {
			limits[tenant.Name] = lending.Limit{Rate: tenant.Limit.Rate, Burst: tenant.Limit.Burst}
		}
	}
	c.feedLending(lending.LimitsChanged{Limits: limits})
}

// applyWorkers applies machines' entries.
func (c *Core) applyWorkers(read WorkersRead) {
	gone := read.Gone
	if read.Full {
		gone = c.view.machinesWithoutEntry(&read)
	}
	switch {
	case read.Restored:
		c.view.unconfirm(gone)
		gone = nil
	case read.Full:
		gone = slices.DeleteFunc(gone, c.view.isUnconfirmed)
	}
	before := c.releasesBefore(read.Restarted)
	for _, restarted := range read.Restarted {
		c.feedRouter(restarted)
	}
	for _, restarted := range read.Restarted {
		c.reportEnd(restarted.Before)
	}
	for _, id := range gone {
		if !isRestarted(read.Restarted, id) {
			c.reportEnd(id)
			c.removeMachine(id)
		}
	}
	for i := range read.Workers {
		c.view.keepLeaving(&read.Workers[i], &read)
		c.putMachine(&read.Workers[i], read.Revision)
	}
	for i, restarted := range read.Restarted {
		// A stream that waits for a machine of its release must not miss one in between.
		c.removeMachine(restarted.Before)
		if !routing.IsUnlistedRelease(before[i]) && c.view.releaseOf(restarted.Machine) != before[i] {
			c.feedRouter(routing.AttemptsDoubted{Machine: restarted.Before})
		}
	}
	for i := range read.Undecodable {
		if changed := c.view.markUndecodable(&read.Undecodable[i], read.Revision); changed != nil {
			c.controller.registerMachine(changed)
		}
	}
}

// putMachine applies the entry of a machine that was read at a revision of the store.
func (c *Core) putMachine(worker *catalog.Worker, revision keyvalue.Revision) {
	if c.view.put(worker, revision) {
		c.controller.registerMachine(worker)
	}
	if c.dispatchClient != nil && worker.Draining {
		c.dispatchClient.releaseHeldFor(worker.ID)
	}
}

// releasesBefore returns the releases of machines before they started again.
func (c *Core) releasesBefore(restarted []routing.MachineRestarted) []string {
	releases := make([]string, len(restarted))
	for i := range restarted {
		releases[i] = c.view.releaseOf(restarted[i].Before)
	}
	return releases
}

// isRestarted reports whether a machine has started again.
func isRestarted(restarted []routing.MachineRestarted, id cluster.MachineID) bool {
	return slices.ContainsFunc(restarted, func(r routing.MachineRestarted) bool { return r.Before == id })
}

// reportEnd reports to the router that a machine whose entry is gone has ended, unless it had announced that.
func (c *Core) reportEnd(id cluster.MachineID) {
	if c.view.endedUnannounced(id) {
		c.feedRouter(routing.MachineEnded{Machine: id})
	}
}

// removeMachine removes a machine whose entry is gone.
func (c *Core) removeMachine(id cluster.MachineID) {
	c.view.remove(id)
	c.controller.feedLedger(sequence.MachineGone{Machine: id})
	if c.dispatchClient != nil {
		c.dispatchClient.step(dispatch.EngineRemoved{Machine: id})
		c.dispatchClient.releaseHeldFor(id)
	}
}

// applyNodes applies the entries of nodes.
func (c *Core) applyNodes(read NodesRead) {
	switch {
	case read.Restored:
		c.unconfirmNodes(&read)
		read.Gone = nil
	case read.Full:
		c.nodes.clear()
	}
	for _, id := range read.Gone {
		c.nodes.remove(id)
		c.controller.demand.Forget(id)
	}
	for _, entry := range read.Nodes {
		if _, known := c.nodes.live[entry.ID]; !known {
			c.poison.nodeJoined(entry)
		}
		c.nodes.put(entry)
		c.restarted = c.restarted || c.controller.sameMachine(entry) && entry.ID != c.config.Self.ID
	}
	c.poison.queryPeers()
	c.peerNotifier.markChanged()
}

package placement

import (
	"fmt"
	"slices"

	"github.com/valveslip/valveslip/cluster"
)

// invariantChecker verifies the invariants of plans from the state alone, independently of the
// planner's code.
type invariantChecker struct {
	state *State
	plan  Plan
	// remoteStarts counts the remote loads of all plans.
	remoteStarts int
	violations   []string
}

// fail records a violation.
func (c *invariantChecker) fail(format string, arguments ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, arguments...))
}

// check verifies one plan made from the state.
func (c *invariantChecker) check(state *State, plan Plan) []string {
	c.state, c.plan, c.violations = state, plan, nil
	free := map[cluster.MachineID]int64{}
	held := map[cluster.ModelID]int{}
	remote := 0
	for _, machine := range state.Machines {
		free[machine.ID] = machine.MemoryBytes
		for _, slot := range machine.Replicas {
			free[machine.ID] -= slot.Bytes
			held[slot.Model]++
			if slot.State == cluster.ReplicaLoading {
				remote++
			}
		}
	}
	planned := map[loadKey]bool{}
	starts := 0
	for _, action := range plan.Actions {
		if action.Reason.Cause == "" {
			c.fail("%v of %s has no cause", action.Kind, action.Model)
		}
		machine := c.machine(action.Machine)
		if machine == nil || !machine.Sealed {
			c.fail("order for unsealed machine %s", action.Machine)
			continue
		}
		switch action.Kind {
		case cluster.OrderLoad:
			c.checkLoad(machine, action, planned)
			planned[loadKey{action.Machine, action.Model}] = true
			free[action.Machine] -= action.Bytes
			held[action.Model]++
			if free[action.Machine] < 0 {
				c.fail("memory of %s overcommitted by %s", action.Machine, action.Model)
			}
			if held[action.Model] > c.limit(action.Model) {
				c.fail("allotment of %s exceeded", action.Model)
			}
			if action.Tier == cluster.TierRemote {
				starts++
			}
		case cluster.OrderUnload:
			c.checkUnload(machine, action)
		case cluster.OrderSetPool:
			if len(machine.Replicas) > 0 || machine.Leaving {
				c.fail("pool of %s changed while it holds replicas or leaves", machine.ID)
			}
		}
	}
	c.checkStore(remote, starts)
	return c.violations
}

// checkStore verifies the limits of the store. The tier of loads in the ledger is unknown, so
// the concurrency limit is applied only to the loads of this plan.
func (c *invariantChecker) checkStore(loading, starts int) {
	c.remoteStarts += starts
	elapsed := c.state.Now.Sub(start).Seconds()
	if bound := max(1, c.state.Store.StartsPerSecond) + c.state.Store.StartsPerSecond*elapsed; float64(c.remoteStarts) > bound+1e-6 {
		c.fail("%d store starts in %.0f s", c.remoteStarts, elapsed)
	}
	if starts > 0 && starts > c.state.Store.Concurrency {
		c.fail("%d concurrent store loads exceed the limit", loading+starts)
	}
}

// checkLoad verifies one load against the rules of its machine and model.
func (c *invariantChecker) checkLoad(machine *Machine, action Action, planned map[loadKey]bool) {
	model := c.state.Settings.Model(action.Model)
	switch {
	case model == nil:
		c.fail("load of unknown model %s", action.Model)
		return
	case machine.Leaving:
		c.fail("load on leaving machine %s", machine.ID)
	case machine.Pool != model.Policy.EnginePool:
		c.fail("load of %s in pool %s", action.Model, machine.Pool)
	case planned[loadKey{machine.ID, action.Model}] || c.slot(machine, action.Model) != nil:
		c.fail("second replica of %s on %s", action.Model, machine.ID)
	}
	if candidates := c.candidates(action.Model); len(candidates) > 0 && !slices.Contains(candidates, machine.ID) {
		c.fail("%s on %s, not a candidate", action.Model, machine.ID)
	}
	if model.Base != "" {
		base := c.slot(machine, model.Base)
		if base == nil || base.State != cluster.ReplicaLoaded || base.Unknown {
			c.fail("adapter %s without its base on %s", action.Model, machine.ID)
		}
	}
	if !c.needed(action.Model) {
		c.fail("load of %s without a need: %s", action.Model, action.Reason.Cause)
	}
}

// needed reports whether the model or one of its adapters has requests, a minimum or an
// expected wake-up.
func (c *invariantChecker) needed(id cluster.ModelID) bool {
	for i := range c.state.Settings.Models {
		model := &c.state.Settings.Models[i]
		demand := c.state.Demand[model.ID]
		if model.ID != id && model.Base != id {
			continue
		}
		if demand.Waiting+demand.Running > 0 || model.Policy.MinReplicas > 0 {
			return true
		}
		for _, decision := range c.plan.Decisions {
			if decision.Model == model.ID && (decision.Reason.Cause == CausePrewarm || decision.Reason.Cause == CauseLoad) {
				return true
			}
		}
	}
	return false
}

// checkUnload verifies one unload.
func (c *invariantChecker) checkUnload(machine *Machine, action Action) {
	slot := c.slot(machine, action.Model)
	if slot == nil || slot.Unknown || slot.State == cluster.ReplicaUnloading {
		c.fail("unload of %s, which has no confirmed replica on %s", action.Model, machine.ID)
	}
	for _, other := range machine.Replicas {
		if model := c.state.Settings.Model(other.Model); model != nil && model.Base == action.Model {
			c.fail("base %s unloaded while used by %s", action.Model, other.Model)
		}
	}
	model := c.state.Settings.Model(action.Model)
	demand := c.state.Demand[action.Model]
	busy := demand.Waiting+demand.Running > 0
	if action.Reason.Cause == CauseIdle && busy && len(c.holders(action.Model)) <= 1 {
		c.fail("last replica of busy %s unloaded as idle", action.Model)
	}
	if action.Reason.Cause == CauseEvicted && busy && !c.higherPriorityWanted(model.Policy.Priority) {
		c.fail("busy %s evicted for a model of equal priority", action.Model)
	}
	if action.Reason.Cause == CauseEvicted && len(c.holders(action.Model)) <= min(model.Policy.MinReplicas, c.limit(action.Model)) {
		c.fail("%s evicted below its minimum", action.Model)
	}
}

// higherPriorityWanted reports whether a wanted model has a higher priority.
func (c *invariantChecker) higherPriorityWanted(priority int) bool {
	return slices.ContainsFunc(c.plan.Decisions, func(d Decision) bool {
		model := c.state.Settings.Model(d.Model)
		return d.Wanted > 0 && model.Policy.Priority > priority
	})
}

// holders returns the machines that hold the model in any state.
func (c *invariantChecker) holders(id cluster.ModelID) (holders []cluster.MachineID) {
	for i := range c.state.Machines {
		if c.slot(&c.state.Machines[i], id) != nil {
			holders = append(holders, c.state.Machines[i].ID)
		}
	}
	return holders
}

func (c *invariantChecker) machine(id cluster.MachineID) *Machine {
	at := slices.IndexFunc(c.state.Machines, func(m Machine) bool { return m.ID == id })
	if at < 0 {
		return nil
	}
	return &c.state.Machines[at]
}

func (c *invariantChecker) slot(machine *Machine, id cluster.ModelID) *Replica {
	at := slices.IndexFunc(machine.Replicas, func(s Replica) bool { return s.Model == id })
	if at < 0 {
		return nil
	}
	return &machine.Replicas[at]
}

func (c *invariantChecker) limit(id cluster.ModelID) int { return c.state.Allotment.Limit(id) }

func (c *invariantChecker) candidates(id cluster.ModelID) []cluster.MachineID {
	for _, model := range c.state.Allotment.Models {
		if model.Model == id {
			return model.Candidates
		}
	}
	return nil
}

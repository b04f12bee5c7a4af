package authority

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
)

// planMade turns the actions of a plan into orders. Every action is checked
// again, so neither a plan from an older state nor a planner's mistake can
// exceed an allotment or a machine's memory; what does not fit is left out and
// the next plan sees why.
func (c *Controller) planMade(now time.Time, plan placement.Plan) []Effect {
	if !c.Holding() || c.allotment == nil {
		return nil
	}
	c.learnBases(plan.Actions)
	var effects []Effect
	for i := range plan.Actions {
		action := &plan.Actions[i]
		entry := c.machine(action.Machine)
		if entry == nil || !entry.sealed || !c.permits(entry, action) {
			continue
		}
		effects = append(effects, c.give(now, entry, action)...)
	}
	return effects
}

// learnBases remembers which base model each adapter needs.
func (c *Controller) learnBases(actions []placement.Action) {
	for i := range actions {
		if actions[i].Base != "" {
			c.bases[actions[i].Model] = actions[i].Base
		}
	}
}

// permits reports whether the ledger and the allotment allow the action.
func (c *Controller) permits(entry *machineLedger, action *placement.Action) bool {
	switch action.Kind {
	case cluster.OrderLoad:
		return c.permitsLoad(entry, action)
	case cluster.OrderUnload:
		return c.permitsUnload(entry, action.Model)
	case cluster.OrderSetPool:
		return entry.pendingPool() == nil && entry.inventory.Pool != action.Pool
	default:
		return false
	}
}

func (c *Controller) permitsLoad(entry *machineLedger, action *placement.Action) bool {
	allotted := c.limits[action.Model]
	id := entry.machine.ID
	switch {
	case allotted == nil || action.Bytes < 0:
		return false
	case !c.permitted[id] || !mayHold(allotted, id):
		return false
	case entry.machine.Leaving || entry.inventory.Leaving || !c.presence.inLatest(id):
		return false
	case entry.holds(action.Model):
		return false
	case action.Base != "" && !entry.coming(action.Base):
		return false
	case entry.usedBytes()+action.Bytes > entry.inventory.MemoryBytes:
		return false
	}
	return c.held(action.Model) < allotted.MaxReplicas
}

// permitsUnload also withdraws a load that was not sent yet.
func (c *Controller) permitsUnload(entry *machineLedger, model cluster.ModelID) bool {
	if pending := entry.pendingFor(model); pending != nil {
		if pending.waiting {
			entry.settle(pending.order.ID)
		}
		return false
	}
	_, found := entry.inventory.Find(model)
	return found && !c.carriesAdapter(entry, model)
}

// carriesAdapter reports whether the machine has an adapter of the base model,
// or will have; engines refuse to unload the base before.
func (c *Controller) carriesAdapter(entry *machineLedger, base cluster.ModelID) bool {
	for _, pending := range entry.pending {
		if pending.order.Base == base && pending.order.Kind == cluster.OrderLoad {
			return true
		}
	}
	for i := range entry.inventory.Replicas {
		if c.bases[entry.inventory.Replicas[i].Model] == base {
			return true
		}
	}
	return false
}

// give reserves memory, records the order and returns it as an effect, unless it
// has to wait for its base model.
func (c *Controller) give(now time.Time, entry *machineLedger, action *placement.Action) []Effect {
	order := cluster.Order{
		ID: c.orderID(), Token: c.token, Epoch: entry.inventory.Epoch, Machine: entry.machine.ID,
		Kind: action.Kind, Model: action.Model, Base: action.Base, Version: action.Version,
		Bytes: action.Bytes, Pool: action.Pool, DrainTime: action.DrainTime,
	}
	if action.Kind == cluster.OrderLoad {
		entry.reserve(action.Model, action.Bytes)
	}
	waiting := action.Kind == cluster.OrderLoad && action.Base != "" && !entry.ready(action.Base)
	entry.pending = append(entry.pending, &pendingOrder{order: order, waiting: waiting, sentAt: now})
	if !entry.calling {
		entry.nextCall = now.Add(c.config.BusyInventoryInterval)
	}
	if waiting {
		return nil
	}
	return []Effect{SendOrder{Machine: entry.machine, Order: order}}
}

// sendWaiting sends the orders whose base model has become ready and withdraws
// those whose base model is not coming any more.
func (c *Controller) sendWaiting(now time.Time, entry *machineLedger) []Effect {
	entry.dropStranded()
	var effects []Effect
	for _, pending := range entry.pending {
		if pending.waiting && entry.ready(pending.order.Base) {
			pending.waiting, pending.sentAt = false, now
			effects = append(effects, SendOrder{Machine: entry.machine, Order: pending.order})
		}
	}
	return effects
}

// mayHold reports whether the allotment names the machine for the model.
func mayHold(allotted *cluster.ModelAllotment, id cluster.MachineID) bool {
	if len(allotted.Candidates) == 0 {
		return true
	}
	for _, candidate := range allotted.Candidates {
		if candidate == id {
			return true
		}
	}
	return false
}

// held is the largest number of replicas of the model that the zone can have:
// those in the ledger in any state, and one for each machine without evidence
// that may hold the model.
func (c *Controller) held(model cluster.ModelID) int {
	return c.confirmed(model) + c.unseen(model)
}

// confirmed counts the ledger's replicas and pending loads of the model.
func (c *Controller) confirmed(model cluster.ModelID) int {
	count := 0
	for _, entry := range c.machines {
		if entry.known && entry.holds(model) {
			count++
		}
	}
	return count
}

// unseen counts the record's machines without evidence that may hold the model
// and have not gone from the machine list.
func (c *Controller) unseen(model cluster.ModelID) int {
	allotted := c.limits[model]
	if allotted == nil {
		return 0
	}
	count := 0
	for _, id := range c.allotment.Machines {
		if c.withoutEvidence(id) && mayHold(allotted, id) {
			count++
		}
	}
	return count
}

// withoutEvidence reports whether the machine may exist without having been
// sealed under the present token.
func (c *Controller) withoutEvidence(id cluster.MachineID) bool {
	if entry := c.machine(id); entry != nil {
		return !entry.known
	}
	return !c.presence.Gone(id)
}

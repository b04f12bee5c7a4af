package authority

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
)

// handlePlanMade turns the actions of a plan into orders. Every action is checked again,
// so neither an outdated plan nor a planner's error can exceed an allotment or a machine's
// memory. Actions that are not allowed are left out; the next plan starts from the
// resulting state.
func (c *Controller) handlePlanMade(now time.Time, plan placement.Plan) []Effect {
	if !c.Holding() || c.allotment == nil {
		return nil
	}
	c.rememberBaseModels(plan.Actions)
	var effects []Effect
	for i := range plan.Actions {
		action := &plan.Actions[i]
		ledger := c.ledgerOf(action.Machine)
		if ledger == nil || !ledger.sealed || !c.allowsAction(ledger, action) {
			continue
		}
		effects = append(effects, c.issueOrder(now, ledger, action)...)
	}
	return effects
}

// rememberBaseModels records the base model of each adapter in the actions.
func (c *Controller) rememberBaseModels(actions []placement.Action) {
	for i := range actions {
		if actions[i].Base != "" {
			c.baseModels[actions[i].Model] = actions[i].Base
		}
	}
}

// allowsAction reports whether the ledger and the allotment allow the action.
func (c *Controller) allowsAction(ledger *machineLedger, action *placement.Action) bool {
	switch action.Kind {
	case cluster.OrderLoad:
		return c.allowsLoad(ledger, action)
	case cluster.OrderUnload:
		return c.allowsUnload(ledger, action.Model)
	case cluster.OrderSetPool:
		return ledger.pendingPoolChange() == nil && ledger.inventory.Pool != action.Pool
	default:
		return false
	}
}

func (c *Controller) allowsLoad(ledger *machineLedger, action *placement.Action) bool {
	allotted := c.modelAllotments[action.Model]
	id := ledger.machine.ID
	switch {
	case allotted == nil || action.Bytes < 0:
		return false
	case !c.permittedMachines[id] || !mayHold(allotted, id):
		return false
	case ledger.machine.Leaving || ledger.inventory.Leaving || !c.tracker.isInLatestList(id):
		return false
	case ledger.hasModel(action.Model):
		return false
	case action.Base != "" && !ledger.willBeLoaded(action.Base):
		return false
	case ledger.usedBytes()+action.Bytes > ledger.inventory.MemoryBytes:
		return false
	}
	return c.maxReplicasHeld(action.Model) < allotted.MaxReplicas
}

// allowsUnload reports whether the model may be unloaded. If its load was not sent yet, it
// removes that order instead.
func (c *Controller) allowsUnload(ledger *machineLedger, model cluster.ModelID) bool {
	if pending := ledger.pendingOrderFor(model); pending != nil {
		if pending.waitsForBase {
			ledger.settleOrder(pending.order.ID)
		}
		return false
	}
	_, found := ledger.inventory.Find(model)
	return found && !c.hasAdapterOf(ledger, model)
}

// hasAdapterOf reports whether the machine has, or will have, an adapter of the base
// model. Engines refuse to unload a base model before its adapters.
func (c *Controller) hasAdapterOf(ledger *machineLedger, base cluster.ModelID) bool {
	for _, pending := range ledger.pending {
		if pending.order.Base == base && pending.order.Kind == cluster.OrderLoad {
			return true
		}
	}
	for i := range ledger.inventory.Replicas {
		if c.baseModels[ledger.inventory.Replicas[i].Model] == base {
			return true
		}
	}
	return false
}

// issueOrder reserves memory, records the order as pending and returns it as an effect.
// The load of an adapter is deferred until its base model is loaded.
func (c *Controller) issueOrder(now time.Time, ledger *machineLedger, action *placement.Action) []Effect {
	order := cluster.Order{
		ID: c.nextOrderID(), Token: c.token, Epoch: ledger.inventory.Epoch, Machine: ledger.machine.ID,
		Kind: action.Kind, Model: action.Model, Base: action.Base, Version: action.Version,
		Bytes: action.Bytes, Pool: action.Pool, DrainTime: action.DrainTime,
	}
	if action.Kind == cluster.OrderLoad {
		ledger.reserveMemory(action.Model, action.Bytes)
	}
	waitsForBase := action.Kind == cluster.OrderLoad && action.Base != "" && !ledger.isLoaded(action.Base)
	ledger.pending = append(ledger.pending, &pendingOrder{order: order, waitsForBase: waitsForBase, sentAt: now})
	if !ledger.callInFlight {
		ledger.nextCallAt = now.Add(c.config.BusyInventoryInterval)
	}
	if waitsForBase {
		return nil
	}
	return []Effect{SendOrder{Machine: ledger.machine, Order: order}}
}

// sendDeferredOrders sends the orders whose base model is now loaded and removes those
// whose base model will not be loaded.
func (c *Controller) sendDeferredOrders(now time.Time, ledger *machineLedger) []Effect {
	ledger.dropOrdersWithoutBase()
	var effects []Effect
	for _, pending := range ledger.pending {
		if pending.waitsForBase && ledger.isLoaded(pending.order.Base) {
			pending.waitsForBase, pending.sentAt = false, now
			effects = append(effects, SendOrder{Machine: ledger.machine, Order: pending.order})
		}
	}
	return effects
}

// mayHold reports whether the allotment allows the model on the machine.
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

// maxReplicasHeld returns the largest number of replicas of the model that the zone can
// have: those in the ledgers in any state, and one for each machine without evidence that
// may hold the model.
func (c *Controller) maxReplicasHeld(model cluster.ModelID) int {
	return c.countConfirmed(model) + c.countUnconfirmed(model)
}

// countConfirmed returns the number of the ledgers' replicas and pending loads of the
// model.
func (c *Controller) countConfirmed(model cluster.ModelID) int {
	count := 0
	for _, ledger := range c.ledgers {
		if ledger.hasEvidence && ledger.hasModel(model) {
			count++
		}
	}
	return count
}

// countUnconfirmed returns the number of the allotment's machines without evidence that
// may hold the model and have not gone from the machine list.
func (c *Controller) countUnconfirmed(model cluster.ModelID) int {
	allotted := c.modelAllotments[model]
	if allotted == nil {
		return 0
	}
	count := 0
	for _, id := range c.allotment.Machines {
		if c.lacksEvidence(id) && mayHold(allotted, id) {
			count++
		}
	}
	return count
}

// lacksEvidence reports whether the machine may exist without having been sealed under the
// current token.
func (c *Controller) lacksEvidence(id cluster.MachineID) bool {
	if ledger := c.ledgerOf(id); ledger != nil {
		return !ledger.hasEvidence
	}
	return !c.tracker.Gone(id)
}

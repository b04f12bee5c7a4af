package authority

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
)

// pendingOrder is an order whose outcome is not known yet. It is sent again under the same
// ID until the engine answers it, because a later inventory alone cannot rule out that a
// delayed order arrives after it.
type pendingOrder struct {
	order cluster.Order
	// waitsForBase is true for the load of an adapter whose base model is still loading.
	// The order is not sent yet, but its memory and count are reserved.
	waitsForBase bool
	// outcomeUnknown is set once a send has had no answer.
	outcomeUnknown bool
	sentAt         time.Time
	resendAt       time.Time
}

// machineLedger is the controller's account of one machine.
//
// Invariants: sealed implies hasEvidence; inventory is evidence under the current token
// only while hasEvidence is true; every pending order names the inventory's epoch. An
// epoch is one run of the engine process.
type machineLedger struct {
	machine cluster.Machine
	// sealed is true when the engine stored this controller's token in its current run.
	sealed bool
	// hasEvidence is true when the engine was sealed with the current token in this run or
	// an earlier one.
	hasEvidence bool
	inventory   cluster.Inventory
	pending     []*pendingOrder
	// reservedBytes is the memory reserved for loads, by model, until the engine shows the
	// models as loaded.
	reservedBytes map[cluster.ModelID]int64

	// callInFlight is set while a seal or inventory call has no answer.
	callInFlight    bool
	callStarted     time.Time
	nextCallAt      time.Time
	unansweredCalls int
}

// maxUnansweredCalls is the number of consecutive unanswered calls after which an engine
// counts as unresponsive.
const maxUnansweredCalls = 3

// isResponsive reports whether the engine has recently answered. The replicas of an
// unresponsive engine still count against memory and the allotment, but the engine gets no
// requests and no orders.
func (m *machineLedger) isResponsive() bool { return m.unansweredCalls < maxUnansweredCalls }

// newMachineLedger returns the ledger of a machine without evidence.
func newMachineLedger(machine cluster.Machine) *machineLedger {
	return &machineLedger{machine: machine}
}

// reset discards all evidence, because the token has changed.
func (m *machineLedger) reset(now time.Time) {
	*m = machineLedger{machine: m.machine, nextCallAt: now}
}

// applySeal processes the answer to a seal and reports whether it came from the newest
// known run of the engine.
func (m *machineLedger) applySeal(inventory cluster.Inventory) bool {
	if m.hasEvidence && inventory.Epoch < m.inventory.Epoch {
		return false
	}
	if m.hasEvidence && inventory.Epoch > m.inventory.Epoch {
		m.handleEngineRestart()
	}
	older := m.hasEvidence && inventory.Epoch == m.inventory.Epoch && inventory.Sequence < m.inventory.Sequence
	m.sealed, m.hasEvidence = true, true
	if !older {
		m.installInventory(inventory)
	}
	return true
}

// applyInventory processes a plain inventory or the answer to an order and reports whether
// it was used. The inventory of a run that was not sealed counts as evidence only if an
// earlier run was sealed with the current token: the lease of a former holder has then
// ended, so the former holder cannot seal the later run, and the inventory is complete.
func (m *machineLedger) applyInventory(inventory cluster.Inventory, token cluster.FencingToken) bool {
	switch {
	case !m.hasEvidence || inventory.Epoch < m.inventory.Epoch:
		return false
	case inventory.Epoch > m.inventory.Epoch:
		m.handleEngineRestart()
		m.installInventory(inventory)
		m.sealed = keptTokenAcrossRestart(&inventory, token)
		return true
	case inventory.Sequence < m.inventory.Sequence:
		return false
	case m.sealed && inventory.Token < token:
		return false
	}
	m.installInventory(inventory)
	return true
}

// keptTokenAcrossRestart reports whether the engine has stored the token since before its
// restart, so that it could not have accepted another one in between.
func keptTokenAcrossRestart(inventory *cluster.Inventory, token cluster.FencingToken) bool {
	return inventory.Token == token && inventory.TokenEpoch != 0 && inventory.TokenEpoch < inventory.Epoch
}

// handleEngineRestart discards the orders to the engine's former run, which can never take
// effect.
func (m *machineLedger) handleEngineRestart() {
	m.sealed = false
	m.pending, m.reservedBytes = nil, nil
}

// installInventory stores a newer inventory and removes the pending orders that it shows
// as applied.
func (m *machineLedger) installInventory(inventory cluster.Inventory) {
	m.inventory = inventory
	m.pending = slices.DeleteFunc(m.pending, func(pending *pendingOrder) bool {
		return showsOrderApplied(&m.inventory, &pending.order)
	})
	m.releaseUnneededMemory()
}

// reserveMemory reserves memory for a load.
func (m *machineLedger) reserveMemory(model cluster.ModelID, bytes int64) {
	if m.reservedBytes == nil {
		m.reservedBytes = make(map[cluster.ModelID]int64, 1)
	}
	m.reservedBytes[model] = bytes
}

// settleOrder removes a pending order that was answered or refused.
func (m *machineLedger) settleOrder(id string) {
	m.pending = slices.DeleteFunc(m.pending, func(pending *pendingOrder) bool {
		return pending.order.ID == id
	})
	m.releaseUnneededMemory()
}

// releaseUnneededMemory frees the memory of loads that are neither pending nor in
// progress.
func (m *machineLedger) releaseUnneededMemory() {
	for model := range m.reservedBytes {
		replica, found := m.inventory.Find(model)
		loading := found && replica.State == cluster.ReplicaLoading
		if !loading && m.pendingOrderFor(model) == nil {
			delete(m.reservedBytes, model)
		}
	}
	if len(m.reservedBytes) == 0 {
		m.reservedBytes = nil
	}
}

// showsOrderApplied reports whether the inventory proves that the order was applied.
func showsOrderApplied(inventory *cluster.Inventory, order *cluster.Order) bool {
	replica, found := inventory.Find(order.Model)
	switch order.Kind {
	case cluster.OrderLoad:
		return found && replica.State != cluster.ReplicaUnloading
	case cluster.OrderUnload:
		return !found || replica.State == cluster.ReplicaUnloading
	case cluster.OrderSetPool:
		return inventory.Pool == order.Pool
	default:
		return true
	}
}

// pendingOrderFor returns the pending load or unload of the model, or nil.
func (m *machineLedger) pendingOrderFor(model cluster.ModelID) *pendingOrder {
	for _, pending := range m.pending {
		if pending.order.Model == model && pending.order.Kind != cluster.OrderSetPool {
			return pending
		}
	}
	return nil
}

// pendingPoolChange returns the pending change of the engine pool, or nil.
func (m *machineLedger) pendingPoolChange() *pendingOrder {
	for _, pending := range m.pending {
		if pending.order.Kind == cluster.OrderSetPool {
			return pending
		}
	}
	return nil
}

// hasModel reports whether the model is on the machine in any state or has a pending
// order.
func (m *machineLedger) hasModel(model cluster.ModelID) bool {
	if _, found := m.inventory.Find(model); found {
		return true
	}
	return m.pendingOrderFor(model) != nil
}

// isLoaded reports whether the model is loaded and has no pending order. Engines refuse an
// adapter until its base model is loaded.
func (m *machineLedger) isLoaded(model cluster.ModelID) bool {
	replica, found := m.inventory.Find(model)
	return found && replica.State == cluster.ReplicaLoaded && m.pendingOrderFor(model) == nil
}

// willBeLoaded reports whether the model is loaded or will be without a further order.
func (m *machineLedger) willBeLoaded(model cluster.ModelID) bool {
	if pending := m.pendingOrderFor(model); pending != nil {
		return pending.order.Kind == cluster.OrderLoad
	}
	replica, found := m.inventory.Find(model)
	return found && replica.State != cluster.ReplicaUnloading
}

// dropOrdersWithoutBase removes deferred orders whose base model will not be loaded.
func (m *machineLedger) dropOrdersWithoutBase() {
	m.pending = slices.DeleteFunc(m.pending, func(pending *pendingOrder) bool {
		return pending.waitsForBase && !m.willBeLoaded(pending.order.Base)
	})
	m.releaseUnneededMemory()
}

// usedBytes returns the memory of all replicas and reservations.
func (m *machineLedger) usedBytes() int64 {
	used := int64(0)
	for _, replica := range m.inventory.Replicas {
		used += max(replica.Bytes, m.reservedBytes[replica.Model])
	}
	for model, bytes := range m.reservedBytes {
		if _, found := m.inventory.Find(model); !found {
			used += bytes
		}
	}
	return used
}

// expectsChange reports whether the machine's inventory is expected to change soon.
func (m *machineLedger) expectsChange() bool {
	if len(m.pending) > 0 {
		return true
	}
	for _, replica := range m.inventory.Replicas {
		if replica.State != cluster.ReplicaLoaded {
			return true
		}
	}
	return false
}

// plannerSlots returns the replicas and pending loads for the planner, sorted by model.
func (m *machineLedger) plannerSlots() []placement.Replica {
	slots := make([]placement.Replica, 0, len(m.inventory.Replicas)+len(m.pending))
	for _, replica := range m.inventory.Replicas {
		slot := placement.Replica{
			Model: replica.Model, Version: replica.Version, State: replica.State,
			Bytes: max(replica.Bytes, m.reservedBytes[replica.Model]), Since: replica.Since,
		}
		if pending := m.pendingOrderFor(replica.Model); pending != nil {
			slot.Unknown = pending.outcomeUnknown
			slot.State = stateAfterOrder(pending, replica.State)
		}
		slots = append(slots, slot)
	}
	for _, pending := range m.pending {
		if _, found := m.inventory.Find(pending.order.Model); found || pending.order.Kind != cluster.OrderLoad {
			continue
		}
		slots = append(slots, placement.Replica{
			Model: pending.order.Model, Version: pending.order.Version, State: cluster.ReplicaLoading,
			Unknown: pending.outcomeUnknown, Bytes: m.reservedBytes[pending.order.Model], Since: pending.sentAt,
		})
	}
	slices.SortFunc(slots, func(a, b placement.Replica) int { return compareStrings(a.Model, b.Model) })
	return slots
}

// stateAfterOrder returns the state that a replica will have once the order is applied.
func stateAfterOrder(pending *pendingOrder, state cluster.ReplicaState) cluster.ReplicaState {
	if pending.order.Kind == cluster.OrderUnload {
		return cluster.ReplicaUnloading
	}
	return state
}

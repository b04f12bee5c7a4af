package authority

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
)

// pendingOrder is an order whose outcome is not known yet. It is sent again
// under the same ID until the engine answers it, because a later inventory
// alone cannot rule out that a delayed order arrives after it.
type pendingOrder struct {
	order cluster.Order
	// waiting orders load an adapter whose base model is still being loaded.
	// They are not sent yet, but their memory and count are reserved.
	waiting bool
	// unknown is set once a send has had no answer.
	unknown  bool
	sentAt   time.Time
	resendAt time.Time
}

// machineLedger is what the controller knows of one machine.
//
// Invariants: sealed implies known; inventory is evidence under the present
// token only while known; every pending order names the inventory's epoch.
type machineLedger struct {
	machine cluster.Machine
	// sealed: this run of the engine follows this controller.
	sealed bool
	// known: some run of the engine was sealed with the present token.
	known     bool
	inventory cluster.Inventory
	pending   []*pendingOrder
	// reserved memory of loads by model, until the engine shows them loaded.
	reserved map[cluster.ModelID]int64

	// calling is set while a seal or inventory call has no answer.
	calling  bool
	calledAt time.Time
	nextCall time.Time
	failures int
}

// unresponsiveAfter is how many calls in a row an engine leaves unanswered until
// it counts as unresponsive.
const unresponsiveAfter = 3

// responsive reports whether the engine has lately answered. What an
// unresponsive one holds still counts against memory and the allotment, but
// takes no requests and no orders.
func (m *machineLedger) responsive() bool { return m.failures < unresponsiveAfter }

// newMachineLedger returns the entry of a machine of which nothing is known.
func newMachineLedger(machine cluster.Machine) *machineLedger {
	return &machineLedger{machine: machine}
}

// forget drops all evidence, for a new token.
func (m *machineLedger) forget(now time.Time) {
	*m = machineLedger{machine: m.machine, nextCall: now}
}

// sealedBy takes the answer to a seal and reports whether it was evidence of
// the newest known run of the engine.
func (m *machineLedger) sealedBy(inventory cluster.Inventory) bool {
	if m.known && inventory.Epoch < m.inventory.Epoch {
		return false
	}
	if m.known && inventory.Epoch > m.inventory.Epoch {
		m.restart()
	}
	older := m.known && inventory.Epoch == m.inventory.Epoch && inventory.Sequence < m.inventory.Sequence
	m.sealed, m.known = true, true
	if !older {
		m.replace(inventory)
	}
	return true
}

// read takes a plain inventory or an order's answer and reports whether it was
// used. A run that was not sealed yet is evidence only after an earlier run was
// sealed with the present token: no former holder's lease lasts so long that
// it could seal the later run, so its contents are all there is.
func (m *machineLedger) read(inventory cluster.Inventory, token cluster.FencingToken) bool {
	switch {
	case !m.known || inventory.Epoch < m.inventory.Epoch:
		return false
	case inventory.Epoch > m.inventory.Epoch:
		m.restart()
		m.replace(inventory)
		m.sealed = keptToken(&inventory, token)
		return true
	case inventory.Sequence < m.inventory.Sequence:
		return false
	case m.sealed && inventory.Token < token:
		return false
	}
	m.replace(inventory)
	return true
}

// keptToken reports whether the engine has followed the token since before its
// restart, so it was never free to follow another in between.
func keptToken(inventory *cluster.Inventory, token cluster.FencingToken) bool {
	return inventory.Token == token && inventory.TokenEpoch != 0 && inventory.TokenEpoch < inventory.Epoch
}

// restart follows an engine into its next run: orders for the former one can
// never take effect any more.
func (m *machineLedger) restart() {
	m.sealed = false
	m.pending, m.reserved = nil, nil
}

// replace installs a newer inventory and settles what it shows.
func (m *machineLedger) replace(inventory cluster.Inventory) {
	m.inventory = inventory
	m.pending = slices.DeleteFunc(m.pending, func(pending *pendingOrder) bool {
		return showsEffect(&m.inventory, &pending.order)
	})
	m.releaseReserved()
}

// reserve occupies memory for a load.
func (m *machineLedger) reserve(model cluster.ModelID, bytes int64) {
	if m.reserved == nil {
		m.reserved = make(map[cluster.ModelID]int64, 1)
	}
	m.reserved[model] = bytes
}

// settle removes a pending order that was answered or refused.
func (m *machineLedger) settle(id string) {
	m.pending = slices.DeleteFunc(m.pending, func(pending *pendingOrder) bool {
		return pending.order.ID == id
	})
	m.releaseReserved()
}

// releaseReserved frees memory of loads that are neither pending nor loading.
func (m *machineLedger) releaseReserved() {
	for model := range m.reserved {
		replica, found := m.inventory.Find(model)
		loading := found && replica.State == cluster.ReplicaLoading
		if !loading && m.pendingFor(model) == nil {
			delete(m.reserved, model)
		}
	}
	if len(m.reserved) == 0 {
		m.reserved = nil
	}
}

// showsEffect reports whether the inventory proves that the order was applied.
func showsEffect(inventory *cluster.Inventory, order *cluster.Order) bool {
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

// pendingFor returns the pending load or unload of model, or nil.
func (m *machineLedger) pendingFor(model cluster.ModelID) *pendingOrder {
	for _, pending := range m.pending {
		if pending.order.Model == model && pending.order.Kind != cluster.OrderSetPool {
			return pending
		}
	}
	return nil
}

// pendingPool returns the pending change of pool, or nil.
func (m *machineLedger) pendingPool() *pendingOrder {
	for _, pending := range m.pending {
		if pending.order.Kind == cluster.OrderSetPool {
			return pending
		}
	}
	return nil
}

// holds reports whether the model is on the machine in any state, the pending
// ones included.
func (m *machineLedger) holds(model cluster.ModelID) bool {
	if _, found := m.inventory.Find(model); found {
		return true
	}
	return m.pendingFor(model) != nil
}

// ready reports whether the model is loaded and stays so; engines refuse an
// adapter before its base model is.
func (m *machineLedger) ready(model cluster.ModelID) bool {
	replica, found := m.inventory.Find(model)
	return found && replica.State == cluster.ReplicaLoaded && m.pendingFor(model) == nil
}

// coming reports whether the model is ready or will be without a further order.
func (m *machineLedger) coming(model cluster.ModelID) bool {
	if pending := m.pendingFor(model); pending != nil {
		return pending.order.Kind == cluster.OrderLoad
	}
	replica, found := m.inventory.Find(model)
	return found && replica.State != cluster.ReplicaUnloading
}

// dropStranded withdraws waiting orders whose base model is not coming.
func (m *machineLedger) dropStranded() {
	m.pending = slices.DeleteFunc(m.pending, func(pending *pendingOrder) bool {
		return pending.waiting && !m.coming(pending.order.Base)
	})
	m.releaseReserved()
}

// usedBytes is the memory of every replica and reservation.
func (m *machineLedger) usedBytes() int64 {
	used := int64(0)
	for _, replica := range m.inventory.Replicas {
		used += max(replica.Bytes, m.reserved[replica.Model])
	}
	for model, bytes := range m.reserved {
		if _, found := m.inventory.Find(model); !found {
			used += bytes
		}
	}
	return used
}

// busy reports whether the machine's inventory is expected to change soon.
func (m *machineLedger) busy() bool {
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

// slots returns the replicas and pending loads, sorted by model.
func (m *machineLedger) slots() []placement.Slot {
	slots := make([]placement.Slot, 0, len(m.inventory.Replicas)+len(m.pending))
	for _, replica := range m.inventory.Replicas {
		slot := placement.Slot{
			Model: replica.Model, Version: replica.Version, State: replica.State,
			Bytes: max(replica.Bytes, m.reserved[replica.Model]), Since: replica.Since,
		}
		if pending := m.pendingFor(replica.Model); pending != nil {
			slot.Unknown = pending.unknown
			slot.State = pendingState(pending, replica.State)
		}
		slots = append(slots, slot)
	}
	for _, pending := range m.pending {
		if _, found := m.inventory.Find(pending.order.Model); found || pending.order.Kind != cluster.OrderLoad {
			continue
		}
		slots = append(slots, placement.Slot{
			Model: pending.order.Model, Version: pending.order.Version, State: cluster.ReplicaLoading,
			Unknown: pending.unknown, Bytes: m.reserved[pending.order.Model], Since: pending.sentAt,
		})
	}
	slices.SortFunc(slots, func(a, b placement.Slot) int { return compareStrings(a.Model, b.Model) })
	return slots
}

// pendingState is the state a replica will have once the order is applied.
func pendingState(pending *pendingOrder, state cluster.ReplicaState) cluster.ReplicaState {
	if pending.order.Kind == cluster.OrderUnload {
		return cluster.ReplicaUnloading
	}
	return state
}

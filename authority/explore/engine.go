package explore

import (
	"cmp"
	"slices"

	"github.com/valveslip/valveslip/authority"
	"github.com/valveslip/valveslip/cluster"
)

// currentInventory returns the engine's inventory.
func (e *engineState) currentInventory(memory int64) cluster.Inventory {
	return cluster.Inventory{
		Machine: e.id, Token: e.token, Sequence: e.sequence, Epoch: e.epoch, TokenEpoch: e.tokenEpoch, MemoryBytes: memory,
		Replicas: slices.Clone(e.replicas),
	}
}

// usedBytes returns the memory that is actually in use.
func (e *engineState) usedBytes() int64 {
	used := int64(0)
	for _, replica := range e.replicas {
		used += replica.Bytes
	}
	return used
}

func (e *engineState) replicaIndex(model cluster.ModelID) int {
	return slices.IndexFunc(e.replicas, func(replica cluster.Replica) bool { return replica.Model == model })
}

// deliverCall lets the engine carry out a call and returns the event that answers it.
func (s *takeoverSearch) deliverCall(state *takeoverState, c *call) authority.Event {
	engine := state.ownEngine(c.machine)
	if engine.gone {
		return authority.EngineUnreachable{Machine: engine.id}
	}
	switch c.kind {
	case callSeal:
		if c.token < engine.token {
			return authority.StaleToken{Machine: engine.id, Held: engine.token}
		}
		if c.token > engine.token {
			engine.token, engine.tokenEpoch = c.token, engine.epoch
			engine.sequence++
		}
		return authority.Sealed{Inventory: engine.currentInventory(s.scenario.Memory)}
	case callInventory:
		return authority.InventoryRead{Inventory: engine.currentInventory(s.scenario.Memory)}
	default:
		return s.deliverOrder(engine, &c.order)
	}
}

// deliverOrder applies a fenced order as engines are specified to. The engine doesn't
// check its memory, so that a controller's mistake becomes visible.
func (s *takeoverSearch) deliverOrder(engine *engineState, order *cluster.Order) authority.Event {
	if !s.variant.ignoresTokens() {
		switch {
		case order.Token < engine.token:
			return authority.StaleToken{Machine: engine.id, Held: engine.token}
		case order.Token != engine.token && s.variant != VariantFreshEngines:
			return authority.OrderRefused{Machine: engine.id, Order: order.ID}
		}
	}
	if order.Epoch != engine.epoch && s.variant != VariantFreshEngines {
		return authority.OrderRefused{Machine: engine.id, Order: order.ID}
	}
	if !slices.Contains(engine.appliedOrders, order.ID) {
		engine.appliedOrders = append(engine.appliedOrders, order.ID)
		slices.Sort(engine.appliedOrders)
		engine.apply(order)
	}
	return authority.InventoryRead{Inventory: engine.currentInventory(s.scenario.Memory), Order: order.ID}
}

func (e *engineState) apply(order *cluster.Order) {
	position := e.replicaIndex(order.Model)
	switch {
	case order.Kind == cluster.OrderLoad && position < 0:
		e.replicas = append(e.replicas, cluster.Replica{Model: order.Model, State: cluster.ReplicaLoaded, Bytes: order.Bytes})
		slices.SortFunc(e.replicas, func(a, b cluster.Replica) int { return cmp.Compare(a.Model, b.Model) })
		e.sequence++
	case order.Kind == cluster.OrderUnload && position >= 0 && e.replicas[position].State == cluster.ReplicaLoaded:
		e.replicas[position].State = cluster.ReplicaUnloading
		e.sequence++
	}
}

// restart ends the engine process and starts its next run.
func (e *engineState) restart(keepToken bool) {
	e.epoch++
	e.sequence = 0
	if !keepToken {
		e.token, e.tokenEpoch = 0, 0
	}
	e.replicas, e.appliedOrders = nil, nil
}

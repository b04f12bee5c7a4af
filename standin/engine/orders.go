package engine

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/engine"
)

// replica is a replica with what the engine knows of it.
type replica struct {
	cluster.Replica
	base     cluster.ModelID
	order    string
	fetching bool
	// readyAt ends a load that takes its own time; goneAt ends an unload that
	// has nothing left to run, and drainUntil cuts what still runs.
	readyAt, goneAt, drainUntil time.Time
	running                     int
}

// Seal raises the fencing token.
func (s *State) Seal(now time.Time, token cluster.FencingToken) (cluster.Inventory, *engine.OrderRefusal) {
	s.Advance(now)
	if refused := s.fence(token); refused != nil {
		return cluster.Inventory{}, refused
	}
	return s.Inventory(now), nil
}

// fence accepts a token or refuses it as stale.
func (s *State) fence(token cluster.FencingToken) *engine.OrderRefusal {
	if token < s.token {
		s.counters.StaleOrders++
		return &engine.OrderRefusal{Reason: engine.ReasonStaleToken, Token: s.token}
	}
	if token > s.token {
		s.token, s.tokenEpoch = token, s.epoch
		s.sequence++
	}
	return nil
}

// Order carries out a fenced order. An order whose ID it has seen has no second
// effect.
func (s *State) Order(now time.Time, order cluster.Order) (cluster.Inventory, *engine.OrderRefusal) {
	s.Advance(now)
	if refused := s.admitOrder(&order); refused != nil {
		return cluster.Inventory{}, refused
	}
	if s.orders.has(order.ID) {
		return s.Inventory(now), nil
	}
	if reason := s.apply(order); reason != "" {
		return cluster.Inventory{}, &engine.OrderRefusal{Reason: reason, Token: s.token}
	}
	s.orders.add(order.ID)
	s.Advance(now)
	return s.Inventory(now), nil
}

// admitOrder refuses orders of any token but the one the engine was last sealed
// with, and orders for another run of its process.
func (s *State) admitOrder(order *cluster.Order) *engine.OrderRefusal {
	switch {
	case order.Token < s.token:
		return s.fence(order.Token)
	case order.Token > s.token || s.token == 0:
		return &engine.OrderRefusal{Reason: engine.ReasonNotSealed, Token: s.token}
	case order.Epoch != s.epoch:
		return &engine.OrderRefusal{Reason: engine.ReasonOtherRun, Token: s.token}
	}
	return nil
}

// apply returns the reason of a refusal, empty when the order took effect.
func (s *State) apply(order cluster.Order) string {
	if order.Machine != s.config.Machine || order.ID == "" {
		return engine.ReasonInvalid
	}
	switch order.Kind {
	case cluster.OrderLoad:
		return s.load(order)
	case cluster.OrderUnload:
		return s.unload(order)
	case cluster.OrderSetPool:
		s.pool = order.Pool
		s.sequence++
		return ""
	default:
		return engine.ReasonInvalid
	}
}

// load begins to load a replica.
func (s *State) load(order cluster.Order) string {
	if present := s.find(order.Model); present != nil {
		if present.State != cluster.ReplicaUnloading && present.Version == order.Version {
			return ""
		}
		return engine.ReasonInvalid
	}
	if order.Model == "" || order.Bytes < 0 {
		return engine.ReasonInvalid
	}
	if order.Base != "" {
		base := s.find(order.Base)
		if base == nil || base.State != cluster.ReplicaLoaded {
			return engine.ReasonUnknownModelBase
		}
	}
	entry := &replica{base: order.Base, order: order.ID, Replica: cluster.Replica{
		Model: order.Model, Version: order.Version, State: cluster.ReplicaLoading, Bytes: order.Bytes, Since: s.now,
	}}
	s.insert(entry)
	if s.used > s.config.MemoryBytes {
		s.counters.Overcommitted++
	}
	s.sequence++
	s.startLoad(entry)
	return ""
}

// startLoad picks the fastest tier that holds the checkpoint.
func (s *State) startLoad(entry *replica) {
	tier := s.cached.tier(entry.Model, entry.Version)
	speed := s.config.RemoteBytesPerSecond
	switch tier {
	case cluster.TierMemory:
		speed = s.config.MemoryBytesPerSecond
	case cluster.TierDisk:
		speed = s.config.DiskBytesPerSecond
	}
	if tier == cluster.TierRemote && s.config.StoreFetch {
		entry.fetching = true
		s.effects.Fetches = append(s.effects.Fetches, Fetch{Order: entry.order, Model: entry.Model, Bytes: entry.Bytes})
		return
	}
	entry.readyAt = s.now.Add(s.config.LoadOverhead + timeFor(float64(entry.Bytes), speed))
}

// FetchDone says that the fetch of an order's checkpoint has ended.
func (s *State) FetchDone(now time.Time, order string, whole bool) {
	s.Advance(now)
	for _, entry := range s.replicas {
		if entry.order != order || !entry.fetching {
			continue
		}
		entry.fetching = false
		if whole {
			entry.readyAt = now.Add(s.config.LoadOverhead)
		} else {
			s.dropReplica(entry)
		}
		s.Advance(now)
		return
	}
}

// unload begins to unload a replica; absent ones are unloaded already.
func (s *State) unload(order cluster.Order) string {
	entry := s.find(order.Model)
	if entry == nil || entry.State == cluster.ReplicaUnloading {
		return ""
	}
	for _, other := range s.replicas {
		if other.base == order.Model {
			return engine.ReasonInvalid
		}
	}
	if entry.fetching {
		entry.fetching = false
		s.effects.Aborted = append(s.effects.Aborted, entry.order)
	}
	wasLoaded := entry.State == cluster.ReplicaLoaded
	entry.State, entry.Since = cluster.ReplicaUnloading, s.now
	entry.readyAt = time.Time{}
	entry.drainUntil = s.now.Add(order.DrainTime)
	s.sequence++
	s.refuseQueued(order.Model)
	if wasLoaded {
		s.cached.put(entry.Model, entry.Version, entry.Bytes, cluster.TierMemory)
	}
	s.finishDrain(entry)
	return ""
}

// finishDrain begins the last part of an unload once nothing runs.
func (s *State) finishDrain(entry *replica) {
	if entry.State == cluster.ReplicaUnloading && entry.running == 0 && entry.goneAt.IsZero() {
		entry.goneAt = s.now.Add(s.config.UnloadTime)
	}
}

// loaded ends a load.
func (s *State) loaded(entry *replica) {
	entry.readyAt = time.Time{}
	entry.State, entry.Since = cluster.ReplicaLoaded, s.now
	s.cached.put(entry.Model, entry.Version, entry.Bytes, cluster.TierDisk)
	s.counters.Loads++
	s.sequence++
}

// insert adds a replica in the order of models.
func (s *State) insert(entry *replica) {
	at := 0
	for at < len(s.replicas) && s.replicas[at].Model < entry.Model {
		at++
	}
	s.replicas = slices.Insert(s.replicas, at, entry)
	s.used += entry.Bytes
}

// dropReplica frees a replica's memory.
func (s *State) dropReplica(entry *replica) {
	s.replicas = slices.DeleteFunc(s.replicas, func(other *replica) bool { return other == entry })
	s.used -= entry.Bytes
	s.prefixes.dropModel(s.now, entry.Model)
	s.sequence++
}

// considerReplicas offers what is due of each replica.
func (s *State) considerReplicas(next *due) {
	for _, entry := range s.replicas {
		switch {
		case !entry.readyAt.IsZero():
			next.earlier(due{when: entry.readyAt, kind: dueLoaded, replica: entry})
		case !entry.goneAt.IsZero():
			next.earlier(due{when: entry.goneAt, kind: dueGone, replica: entry})
		case entry.State == cluster.ReplicaUnloading:
			next.earlier(due{when: entry.drainUntil, kind: dueDrained, replica: entry})
		}
	}
}

// timeFor is how long amount takes at a speed a second; zero speed means no
// time.
func timeFor(amount, speed float64) time.Duration {
	if speed <= 0 {
		return 0
	}
	return time.Duration(amount / speed * float64(time.Second))
}

package engine

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/engine"
)

// replica is a replica with the engine's state of its load and unload.
type replica struct {
	cluster.Replica
	base     cluster.ModelID
	orderID  string
	fetching bool
	// readyAt is the end of a load whose duration is known. unloadedAt is the end
	// of an unload after its last attempt ended. At drainDeadline the attempts
	// that still run on an unloading replica are aborted.
	readyAt, unloadedAt, drainDeadline time.Time
	runningAttempts                    int
}

// Seal raises the engine's fencing token, or refuses a token that is older than
// the current one.
func (s *State) Seal(now time.Time, token cluster.FencingToken) (cluster.Inventory, *engine.OrderRefusal) {
	s.Advance(now)
	if refused := s.acceptToken(token); refused != nil {
		return cluster.Inventory{}, refused
	}
	return s.Inventory(now), nil
}

// acceptToken makes token the engine's fencing token, or refuses it as stale if
// it is older than the current one.
func (s *State) acceptToken(token cluster.FencingToken) *engine.OrderRefusal {
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

// Order applies an order under its fencing token. An order whose ID was applied
// before has no further effect.
func (s *State) Order(now time.Time, order cluster.Order) (cluster.Inventory, *engine.OrderRefusal) {
	s.Advance(now)
	if refused := s.validateOrder(&order); refused != nil {
		return cluster.Inventory{}, refused
	}
	if s.appliedOrders.has(order.ID) {
		return s.Inventory(now), nil
	}
	if reason := s.applyOrder(order); reason != "" {
		return cluster.Inventory{}, &engine.OrderRefusal{Reason: reason, Token: s.token}
	}
	s.appliedOrders.add(order.ID)
	s.Advance(now)
	return s.Inventory(now), nil
}

// validateOrder refuses orders with another token than the one that the engine
// was last sealed with, and orders for another epoch of the engine.
func (s *State) validateOrder(order *cluster.Order) *engine.OrderRefusal {
	switch {
	case order.Token < s.token:
		return s.acceptToken(order.Token)
	case order.Token > s.token || s.token == 0:
		return &engine.OrderRefusal{Reason: engine.ReasonNotSealed, Token: s.token}
	case order.Epoch != s.epoch:
		return &engine.OrderRefusal{Reason: engine.ReasonOtherRun, Token: s.token}
	}
	return nil
}

// applyOrder applies an order. It returns the reason if it refuses the order, and
// an empty string otherwise.
func (s *State) applyOrder(order cluster.Order) string {
	if order.Machine != s.config.Machine || order.ID == "" {
		return engine.ReasonInvalid
	}
	switch order.Kind {
	case cluster.OrderLoad:
		return s.loadReplica(order)
	case cluster.OrderUnload:
		return s.unloadReplica(order)
	case cluster.OrderSetPool:
		s.pool = order.Pool
		s.sequence++
		return ""
	default:
		return engine.ReasonInvalid
	}
}

// loadReplica begins to load a replica. A load beyond the memory is counted but
// not refused. It returns the reason of a refusal.
func (s *State) loadReplica(order cluster.Order) string {
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
	entry := &replica{base: order.Base, orderID: order.ID, Replica: cluster.Replica{
		Model: order.Model, Version: order.Version, State: cluster.ReplicaLoading, Bytes: order.Bytes, Since: s.now,
	}}
	s.insertReplica(entry)
	if s.usedBytes > s.config.MemoryBytes {
		s.counters.Overcommitted++
	}
	s.sequence++
	s.startLoad(entry)
	return ""
}

// startLoad computes the end of a load from the fastest tier that has the
// checkpoint, or requests a fetch from the weight store.
func (s *State) startLoad(entry *replica) {
	tier := s.cachedCheckpoints.tier(entry.Model, entry.Version)
	speed := s.config.RemoteBytesPerSecond
	switch tier {
	case cluster.TierMemory:
		speed = s.config.MemoryBytesPerSecond
	case cluster.TierDisk:
		speed = s.config.DiskBytesPerSecond
	}
	if tier == cluster.TierRemote && s.config.StoreFetch {
		entry.fetching = true
		s.effects.Fetches = append(s.effects.Fetches, Fetch{Order: entry.orderID, Model: entry.Model, Bytes: entry.Bytes})
		return
	}
	entry.readyAt = s.now.Add(s.config.LoadOverhead + durationAtSpeed(float64(entry.Bytes), speed))
}

// FinishFetch reports the end of the fetch for an order. If the checkpoint is not
// whole, the replica is dropped.
func (s *State) FinishFetch(now time.Time, order string, whole bool) {
	s.Advance(now)
	for _, entry := range s.replicas {
		if entry.orderID != order || !entry.fetching {
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

// unloadReplica begins to unload a replica: it refuses queued attempts and drains
// running ones. Nothing is done for a replica that is absent or unloading. It
// returns the reason of a refusal.
func (s *State) unloadReplica(order cluster.Order) string {
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
		s.effects.Aborted = append(s.effects.Aborted, entry.orderID)
	}
	wasLoaded := entry.State == cluster.ReplicaLoaded
	entry.State, entry.Since = cluster.ReplicaUnloading, s.now
	entry.readyAt = time.Time{}
	entry.drainDeadline = s.now.Add(order.DrainTime)
	s.sequence++
	s.refuseQueued(order.Model)
	if wasLoaded {
		s.cachedCheckpoints.put(entry.Model, entry.Version, entry.Bytes, cluster.TierMemory)
	}
	s.startUnloadIfIdle(entry)
	return ""
}

// startUnloadIfIdle schedules the end of an unload once no attempt runs on the
// replica.
func (s *State) startUnloadIfIdle(entry *replica) {
	if entry.State == cluster.ReplicaUnloading && entry.runningAttempts == 0 && entry.unloadedAt.IsZero() {
		entry.unloadedAt = s.now.Add(s.config.UnloadTime)
	}
}

// finishLoad marks a replica as loaded and caches its checkpoint on disk.
func (s *State) finishLoad(entry *replica) {
	entry.readyAt = time.Time{}
	entry.State, entry.Since = cluster.ReplicaLoaded, s.now
	s.cachedCheckpoints.put(entry.Model, entry.Version, entry.Bytes, cluster.TierDisk)
	s.counters.Loads++
	s.sequence++
}

// insertReplica adds a replica in the order of the model IDs.
func (s *State) insertReplica(entry *replica) {
	at := 0
	for at < len(s.replicas) && s.replicas[at].Model < entry.Model {
		at++
	}
	s.replicas = slices.Insert(s.replicas, at, entry)
	s.usedBytes += entry.Bytes
}

// dropReplica removes a replica, its memory and its cached prefixes.
func (s *State) dropReplica(entry *replica) {
	s.replicas = slices.DeleteFunc(s.replicas, func(other *replica) bool { return other == entry })
	s.usedBytes -= entry.Bytes
	s.prefixes.dropModel(s.now, entry.Model)
	s.sequence++
}

// considerReplicaEvents keeps in next the earliest event of any replica if it is
// earlier than next.
func (s *State) considerReplicaEvents(next *scheduledEvent) {
	for _, entry := range s.replicas {
		switch {
		case !entry.readyAt.IsZero():
			next.keepEarlier(scheduledEvent{dueAt: entry.readyAt, kind: eventLoadEnd, replica: entry})
		case !entry.unloadedAt.IsZero():
			next.keepEarlier(scheduledEvent{dueAt: entry.unloadedAt, kind: eventUnloadEnd, replica: entry})
		case entry.State == cluster.ReplicaUnloading:
			next.keepEarlier(scheduledEvent{dueAt: entry.drainDeadline, kind: eventDrainDeadline, replica: entry})
		}
	}
}

// durationAtSpeed returns the time that amount takes at a speed per second, or
// zero for a speed that isn't positive.
func durationAtSpeed(amount, speed float64) time.Duration {
	if speed <= 0 {
		return 0
	}
	return time.Duration(amount / speed * float64(time.Second))
}

package simulation

import (
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/engine"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/verdict"
)

// checkpointCache models the checkpoint caches on one machine's disk and in its
// host memory. Each evicts the least recently used checkpoint.
type checkpointCache struct {
	disk, host *lru
	// fastestTiers caches the result of tiers; nil after a change.
	fastestTiers map[cluster.ModelID]cluster.Tier
}

// newCheckpointCache returns empty caches of the given sizes in bytes.
func newCheckpointCache(diskBytes, hostBytes int64) *checkpointCache {
	return &checkpointCache{disk: newLRU(diskBytes), host: newLRU(hostBytes)}
}

// add adds a checkpoint to the tier. A checkpoint in memory is added to disk too.
func (c *checkpointCache) add(model cluster.ModelID, bytes int64, tier cluster.Tier) {
	c.fastestTiers = nil
	if tier == cluster.TierMemory {
		c.host.add(model, bytes)
	}
	if tier != cluster.TierRemote {
		c.disk.add(model, bytes)
	}
}

// tier returns the fastest tier that holds the checkpoint.
func (c *checkpointCache) tier(model cluster.ModelID) cluster.Tier {
	switch {
	case c.host.has(model):
		return cluster.TierMemory
	case c.disk.has(model):
		return cluster.TierDisk
	default:
		return cluster.TierRemote
	}
}

// tiers returns the fastest tier of every cached checkpoint. The map is shared
// until the next change and must not be written.
func (c *checkpointCache) tiers() map[cluster.ModelID]cluster.Tier {
	if c.fastestTiers != nil {
		return c.fastestTiers
	}
	tiers := make(map[cluster.ModelID]cluster.Tier, len(c.disk.order))
	for _, entry := range c.disk.order {
		tiers[entry.model] = cluster.TierDisk
	}
	for _, entry := range c.host.order {
		tiers[entry.model] = cluster.TierMemory
	}
	c.fastestTiers = tiers
	return tiers
}

// dropMemory empties the cache in host memory.
func (c *checkpointCache) dropMemory() {
	c.host = newLRU(c.host.limit)
	c.fastestTiers = nil
}

// lru is a cache of models up to a size in bytes. Its order begins with the least
// recently used model.
type lru struct {
	limit, used int64
	order       []lruEntry
}

// lruEntry is one model with its size.
type lruEntry struct {
	model cluster.ModelID
	bytes int64
}

// newLRU returns an empty cache of limit bytes.
func newLRU(limit int64) *lru { return &lru{limit: limit} }

// has reports whether the model is in the cache.
func (c *lru) has(model cluster.ModelID) bool {
	for i := range c.order {
		if c.order[i].model == model {
			return true
		}
	}
	return false
}

// add makes the model the most recently used and evicts the least recently used
// models above the limit. A model larger than the limit is not added.
func (c *lru) add(model cluster.ModelID, bytes int64) {
	if bytes > c.limit {
		return
	}
	for i := range c.order {
		if c.order[i].model == model {
			entry := c.order[i]
			c.order = append(append(c.order[:i], c.order[i+1:]...), entry)
			return
		}
	}
	c.order = append(c.order, lruEntry{model: model, bytes: bytes})
	c.used += bytes
	for c.used > c.limit {
		c.used -= c.order[0].bytes
		c.order = c.order[1:]
	}
}

// prefixCacheBlocks is the number of prompt prefix blocks that an engine caches.
const prefixCacheBlocks = 4096

// prefixCache holds the hashes of prompt prefix blocks and evicts the oldest first.
type prefixCache struct {
	limit  int
	blocks map[uint64]bool
	order  []uint64
	// sequence is the number of the last published event.
	sequence uint64
	events   []cluster.CacheEvent
}

// newPrefixCache returns an empty cache of limit blocks.
func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, blocks: map[uint64]bool{}}
}

// match returns how many leading blocks are cached.
func (c *prefixCache) match(prefixes []uint64) int {
	for i, hash := range prefixes {
		if !c.blocks[hash] {
			return i
		}
	}
	return len(prefixes)
}

// add caches the blocks of a prompt and publishes an event for each block that is
// added or evicted.
func (c *prefixCache) add(machine cluster.MachineID, model cluster.ModelID, prefixes []uint64) {
	for _, hash := range prefixes {
		if c.blocks[hash] {
			continue
		}
		c.blocks[hash] = true
		c.order = append(c.order, hash)
		c.publish(cluster.CacheEvent{Machine: machine, Model: model, PrefixHash: hash})
	}
	for len(c.order) > c.limit {
		delete(c.blocks, c.order[0])
		c.publish(cluster.CacheEvent{Machine: machine, Model: model, PrefixHash: c.order[0], Evicted: true})
		c.order = c.order[1:]
	}
}

// publish numbers an event, keeps it and drops the oldest events above the bound.
func (c *prefixCache) publish(event cluster.CacheEvent) {
	const maxKeptEvents = 512
	c.sequence++
	event.Sequence = c.sequence
	c.events = append(c.events, event)
	if len(c.events) > maxKeptEvents {
		c.events = append([]cluster.CacheEvent(nil), c.events[len(c.events)-maxKeptEvents:]...)
	}
}

// eventsAfter returns the kept events with a larger sequence number.
func (c *prefixCache) eventsAfter(sequence uint64) []cluster.CacheEvent {
	var newer []cluster.CacheEvent
	for _, event := range c.events {
		if event.Sequence > sequence {
			newer = append(newer, event)
		}
	}
	return newer
}

// moveCache copies the cached prefixes to another engine. Both engines must be
// sealed with the call's token and have the model loaded in its version.
func (e *Engine) moveCache(call node.EngineCall, target *Engine) error {
	for _, each := range []*Engine{e, target} {
		if each == nil || !each.Alive {
			return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "engine unreachable")
		}
		held, ok := each.replicas[call.Model]
		if each.token != call.Token || !ok || held.State != cluster.ReplicaLoaded || held.Version != call.Version {
			return &engine.RefusedError{Reason: engine.ReasonInvalid}
		}
	}
	target.prefixes.add(target.Machine.ID, call.Model, e.prefixes.order)
	return nil
}

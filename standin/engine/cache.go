package engine

import (
	"container/list"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// recentSet is a set of the limit values that were added last.
type recentSet[T comparable] struct {
	limit   int
	members map[T]struct{}
	order   []T
}

func newRecentSet[T comparable](limit int) *recentSet[T] {
	return &recentSet[T]{limit: limit, members: map[T]struct{}{}}
}

func (r *recentSet[T]) has(value T) bool {
	_, ok := r.members[value]
	return ok
}

func (r *recentSet[T]) add(value T) {
	r.members[value] = struct{}{}
	r.order = append(r.order, value)
	if len(r.order) > r.limit {
		delete(r.members, r.order[0])
		r.order = r.order[1:]
	}
}

// checkpoint is a cached checkpoint.
type checkpoint struct {
	model   cluster.ModelID
	version string
	bytes   int64
}

// checkpointCache holds the checkpoints in host memory and on disk, each a list
// with the least recently used in front. Checkpoints from the configuration have
// size zero and an empty version, which matches every version.
type checkpointCache struct {
	memory, disk           []checkpoint
	memoryBytes, diskBytes int64
}

func newCheckpointCache(config Config) *checkpointCache {
	cached := &checkpointCache{memoryBytes: config.HostCacheBytes, diskBytes: config.DiskBytes}
	for model, tier := range config.Cached {
		entry := checkpoint{model: model}
		switch tier {
		case cluster.TierMemory:
			cached.memory = append(cached.memory, entry)
		case cluster.TierDisk:
			cached.disk = append(cached.disk, entry)
		}
	}
	sortCheckpoints(cached.memory)
	sortCheckpoints(cached.disk)
	return cached
}

// tier returns the fastest tier that has the version of the model.
func (c *checkpointCache) tier(model cluster.ModelID, version string) cluster.Tier {
	switch {
	case findCheckpoint(c.memory, model, version) >= 0:
		return cluster.TierMemory
	case findCheckpoint(c.disk, model, version) >= 0:
		return cluster.TierDisk
	default:
		return cluster.TierRemote
	}
}

// put adds a checkpoint to a tier as the most recently used.
func (c *checkpointCache) put(model cluster.ModelID, version string, bytes int64, tier cluster.Tier) {
	entry := checkpoint{model: model, version: version, bytes: bytes}
	if tier == cluster.TierMemory {
		c.memory = insertCheckpoint(c.memory, entry, c.memoryBytes)
		return
	}
	c.disk = insertCheckpoint(c.disk, entry, c.diskBytes)
}

// dropMemory removes the checkpoints in host memory.
func (c *checkpointCache) dropMemory() { c.memory = nil }

// tiers returns the fastest tier of each cached model.
func (c *checkpointCache) tiers() map[cluster.ModelID]cluster.Tier {
	tiers := make(map[cluster.ModelID]cluster.Tier, len(c.memory)+len(c.disk))
	for _, entry := range c.disk {
		tiers[entry.model] = cluster.TierDisk
	}
	for _, entry := range c.memory {
		tiers[entry.model] = cluster.TierMemory
	}
	return tiers
}

func findCheckpoint(cached []checkpoint, model cluster.ModelID, version string) int {
	for i, entry := range cached {
		if entry.model == model && (entry.version == version || entry.version == "") {
			return i
		}
	}
	return -1
}

// insertCheckpoint adds an entry, replacing another one of its model, and evicts
// the least recently used entries beyond limit bytes. Zero means no limit.
func insertCheckpoint(cached []checkpoint, entry checkpoint, limit int64) []checkpoint {
	kept := make([]checkpoint, 0, len(cached)+1)
	total := entry.bytes
	for _, other := range cached {
		if other.model != entry.model {
			kept = append(kept, other)
			total += other.bytes
		}
	}
	kept = append(kept, entry)
	for limit > 0 && total > limit && len(kept) > 0 {
		total -= kept[0].bytes
		kept = kept[1:]
	}
	return kept
}

// prefixKey identifies a cached prompt prefix.
type prefixKey struct {
	model cluster.ModelID
	hash  uint64
}

// pendingEvent is a cache event that is visible from publishAt on.
type pendingEvent struct {
	cluster.CacheEvent
	publishAt time.Time
}

// prefixCache is an LRU cache of prompt prefixes with the least recently used in
// front. It publishes its insertions and evictions with a delay and loses some
// events, as the configuration says.
type prefixCache struct {
	config   Config
	entries  map[prefixKey]*list.Element
	lru      *list.List
	sequence uint64
	events   []pendingEvent
}

func newPrefixCache(config Config) *prefixCache {
	return &prefixCache{config: config, entries: map[prefixKey]*list.Element{}, lru: list.New()}
}

// match returns the number of leading blocks of the chain that are cached and
// marks them as used.
func (p *prefixCache) match(model cluster.ModelID, chain []uint64) int {
	for i, hash := range chain {
		element := p.entries[prefixKey{model, hash}]
		if element == nil {
			return i
		}
		p.lru.MoveToBack(element)
	}
	return len(chain)
}

// insert caches every block of the chain and evicts the least recently used
// blocks beyond Config.PrefixBlocks.
func (p *prefixCache) insert(now time.Time, model cluster.ModelID, chain []uint64) {
	if p.config.PrefixBlocks <= 0 {
		return
	}
	for _, hash := range chain {
		key := prefixKey{model, hash}
		if element := p.entries[key]; element != nil {
			p.lru.MoveToBack(element)
			continue
		}
		p.entries[key] = p.lru.PushBack(key)
		p.publish(now, key, false)
		if p.lru.Len() > p.config.PrefixBlocks {
			p.evict(now, p.lru.Front())
		}
	}
}

func (p *prefixCache) evict(now time.Time, element *list.Element) {
	key := p.lru.Remove(element).(prefixKey)
	delete(p.entries, key)
	p.publish(now, key, true)
}

// dropModel evicts every prefix of a model.
func (p *prefixCache) dropModel(now time.Time, model cluster.ModelID) {
	for element := p.lru.Front(); element != nil; {
		next := element.Next()
		if element.Value.(prefixKey).model == model {
			p.evict(now, element)
		}
		element = next
	}
}

// hashes returns the cached prefixes of a model, least recently used first.
func (p *prefixCache) hashes(model cluster.ModelID) []uint64 {
	var hashes []uint64
	for element := p.lru.Front(); element != nil; element = element.Next() {
		if key := element.Value.(prefixKey); key.model == model {
			hashes = append(hashes, key.hash)
		}
	}
	return hashes
}

// publish assigns a sequence number to an event and keeps it for readers, unless
// Config.CacheEventGap makes it a lost event.
func (p *prefixCache) publish(now time.Time, key prefixKey, evicted bool) {
	p.sequence++
	if gap := uint64(max(p.config.CacheEventGap, 0)); gap > 0 && p.sequence%gap == 0 {
		return
	}
	p.events = append(p.events, pendingEvent{
		CacheEvent: cluster.CacheEvent{
			Machine: p.config.Machine, Sequence: p.sequence, Model: key.model, PrefixHash: key.hash, Evicted: evicted,
		},
		publishAt: now.Add(p.config.CacheEventDelay),
	})
	if len(p.events) >= 2*maxCacheEvents {
		p.events = append([]pendingEvent(nil), p.events[len(p.events)-maxCacheEvents:]...)
	}
}

// eventsAfter returns the published events with a greater sequence number.
func (p *prefixCache) eventsAfter(now time.Time, sequence uint64) []cluster.CacheEvent {
	var events []cluster.CacheEvent
	for _, event := range p.events {
		if event.Sequence > sequence && !event.publishAt.After(now) {
			events = append(events, event.CacheEvent)
		}
	}
	return events
}

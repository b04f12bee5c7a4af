package engine

import (
	"container/list"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// recent remembers the last limit values.
type recent[T comparable] struct {
	limit int
	known map[T]struct{}
	order []T
}

func newRecent[T comparable](limit int) *recent[T] {
	return &recent[T]{limit: limit, known: map[T]struct{}{}}
}

func (r *recent[T]) has(value T) bool {
	_, ok := r.known[value]
	return ok
}

func (r *recent[T]) add(value T) {
	r.known[value] = struct{}{}
	r.order = append(r.order, value)
	if len(r.order) > r.limit {
		delete(r.known, r.order[0])
		r.order = r.order[1:]
	}
}

// checkpoint is one cached checkpoint.
type checkpoint struct {
	model   cluster.ModelID
	version string
	bytes   int64
}

// checkpoints caches checkpoints in host memory and on disk, each a list with
// the least recently used in front. Those of the configuration have version ""
// and match any, and no size.
type checkpoints struct {
	memory, disk           []checkpoint
	memoryBytes, diskBytes int64
}

func newCheckpoints(config Config) *checkpoints {
	cached := &checkpoints{memoryBytes: config.HostCacheBytes, diskBytes: config.DiskBytes}
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

// tier returns the fastest tier that holds the version of the model.
func (c *checkpoints) tier(model cluster.ModelID, version string) cluster.Tier {
	switch {
	case find(c.memory, model, version) >= 0:
		return cluster.TierMemory
	case find(c.disk, model, version) >= 0:
		return cluster.TierDisk
	default:
		return cluster.TierRemote
	}
}

// put caches a checkpoint in a tier as the most recently used.
func (c *checkpoints) put(model cluster.ModelID, version string, bytes int64, tier cluster.Tier) {
	entry := checkpoint{model: model, version: version, bytes: bytes}
	if tier == cluster.TierMemory {
		c.memory = insert(c.memory, entry, c.memoryBytes)
		return
	}
	c.disk = insert(c.disk, entry, c.diskBytes)
}

// dropMemory forgets what host memory held.
func (c *checkpoints) dropMemory() { c.memory = nil }

// tiers returns the fastest tier of each cached model.
func (c *checkpoints) tiers() map[cluster.ModelID]cluster.Tier {
	tiers := make(map[cluster.ModelID]cluster.Tier, len(c.memory)+len(c.disk))
	for _, entry := range c.disk {
		tiers[entry.model] = cluster.TierDisk
	}
	for _, entry := range c.memory {
		tiers[entry.model] = cluster.TierMemory
	}
	return tiers
}

func find(cached []checkpoint, model cluster.ModelID, version string) int {
	for i, entry := range cached {
		if entry.model == model && (entry.version == version || entry.version == "") {
			return i
		}
	}
	return -1
}

// insert adds an entry in place of any other of its model and evicts the least
// recently used ones beyond limit bytes.
func insert(cached []checkpoint, entry checkpoint, limit int64) []checkpoint {
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

// prefixKey is one cached prompt prefix.
type prefixKey struct {
	model cluster.ModelID
	hash  uint64
}

// pendingEvent is a cache event that is not published yet.
type pendingEvent struct {
	cluster.CacheEvent
	published time.Time
}

// prefixCache holds prompt prefixes, least recently used in front, and
// publishes what it gains and loses, late and with gaps.
type prefixCache struct {
	config   Config
	entries  map[prefixKey]*list.Element
	order    *list.List
	sequence uint64
	events   []pendingEvent
}

func newPrefixCache(config Config) *prefixCache {
	return &prefixCache{config: config, entries: map[prefixKey]*list.Element{}, order: list.New()}
}

// match returns how many blocks of the chain are cached and uses them.
func (p *prefixCache) match(model cluster.ModelID, chain []uint64) int {
	for i, hash := range chain {
		element := p.entries[prefixKey{model, hash}]
		if element == nil {
			return i
		}
		p.order.MoveToBack(element)
	}
	return len(chain)
}

// insert caches every block of the chain.
func (p *prefixCache) insert(now time.Time, model cluster.ModelID, chain []uint64) {
	if p.config.PrefixBlocks <= 0 {
		return
	}
	for _, hash := range chain {
		key := prefixKey{model, hash}
		if element := p.entries[key]; element != nil {
			p.order.MoveToBack(element)
			continue
		}
		p.entries[key] = p.order.PushBack(key)
		p.publish(now, key, false)
		if p.order.Len() > p.config.PrefixBlocks {
			p.evict(now, p.order.Front())
		}
	}
}

func (p *prefixCache) evict(now time.Time, element *list.Element) {
	key := p.order.Remove(element).(prefixKey)
	delete(p.entries, key)
	p.publish(now, key, true)
}

// dropModel evicts every prefix of a model.
func (p *prefixCache) dropModel(now time.Time, model cluster.ModelID) {
	for element := p.order.Front(); element != nil; {
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
	for element := p.order.Front(); element != nil; element = element.Next() {
		if key := element.Value.(prefixKey); key.model == model {
			hashes = append(hashes, key.hash)
		}
	}
	return hashes
}

// publish numbers an event and, unless it falls into a gap, keeps it for
// readers.
func (p *prefixCache) publish(now time.Time, key prefixKey, evicted bool) {
	p.sequence++
	if gap := uint64(max(p.config.CacheEventGap, 0)); gap > 0 && p.sequence%gap == 0 {
		return
	}
	p.events = append(p.events, pendingEvent{
		CacheEvent: cluster.CacheEvent{
			Machine: p.config.Machine, Sequence: p.sequence, Model: key.model, PrefixHash: key.hash, Evicted: evicted,
		},
		published: now.Add(p.config.CacheEventDelay),
	})
	if len(p.events) >= 2*maxCacheEvents {
		p.events = append([]pendingEvent(nil), p.events[len(p.events)-maxCacheEvents:]...)
	}
}

// after returns the published events with a larger sequence.
func (p *prefixCache) after(now time.Time, sequence uint64) []cluster.CacheEvent {
	var events []cluster.CacheEvent
	for _, event := range p.events {
		if event.Sequence > sequence && !event.published.After(now) {
			events = append(events, event.CacheEvent)
		}
	}
	return events
}

package dispatch

import (
	"container/list"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// cacheShare is the part of the prompt memory of an engine that is assumed to hold the most
// recently used prefixes: running requests take the rest for their own tokens until they end.
const cacheShare = 0.7

// defaultCacheTokens is the capacity assumed for engines that state none: enough for a few long
// prompts.
const defaultCacheTokens = 50_000

// maxCacheBlocks bounds the memory of one estimate to 300 KB, which matters for an engine with
// many short prompts.
const maxCacheBlocks = 2048

// cacheBlock identifies a block of cached tokens: those between two prefix boundaries of a prompt,
// identified by hash, or those that only one request has, identified by requestSerial.
type cacheBlock struct {
	model               cluster.ModelID
	hash, requestSerial uint64
}

// prefixCache estimates which prompt prefixes an engine holds in its cache: the most recently sent
// ones, up to the capacity (LRU).
type prefixCache struct {
	capacity, used int
	blocks         map[cacheBlock]*list.Element
	// recency lists the blocks, most recently used first.
	recency list.List
	// lastSerial is the serial number of the latest block that belongs to a single request.
	lastSerial uint64
}

type cacheEntry struct {
	block  cacheBlock
	tokens int
}

func newPrefixCache(tokens int) *prefixCache {
	if tokens <= 0 {
		tokens = defaultCacheTokens
	}
	return &prefixCache{capacity: int(cacheShare * float64(tokens)), blocks: map[cacheBlock]*list.Element{}}
}

// cachedTokens returns the estimated number of tokens at the start of a prompt that are cached.
func (c *prefixCache) cachedTokens(w *wire.EngineWork) int {
	tokens := 0
	for _, p := range w.Prefixes {
		if c.blocks[cacheBlock{model: w.Model, hash: p.Hash}] == nil {
			break
		}
		tokens = p.Tokens
	}
	return min(tokens, w.PromptTokens)
}

// add records a prompt that the engine prefills. Tokens that only this request has, its output
// included, take up capacity too.
func (c *prefixCache) add(w *wire.EngineWork) {
	before := 0
	for _, p := range w.Prefixes {
		c.touch(cacheBlock{model: w.Model, hash: p.Hash}, p.Tokens-before)
		before = p.Tokens
	}
	c.lastSerial++
	c.touch(cacheBlock{model: w.Model, requestSerial: c.lastSerial}, max(w.PromptTokens-before, 0)+w.OutputTokens)
	c.evict()
}

// touch adds a block or marks it as the most recently used one.
func (c *prefixCache) touch(block cacheBlock, tokens int) {
	if known := c.blocks[block]; known != nil {
		c.recency.MoveToFront(known)
		return
	}
	c.blocks[block] = c.recency.PushFront(&cacheEntry{block: block, tokens: tokens})
	c.used += tokens
}

// evict drops the least recently used blocks until the rest fits the capacity.
func (c *prefixCache) evict() {
	for c.used > c.capacity && c.recency.Len() > 1 || c.recency.Len() > maxCacheBlocks {
		oldest := c.recency.Back()
		entry := oldest.Value.(*cacheEntry)
		c.used -= entry.tokens
		delete(c.blocks, entry.block)
		c.recency.Remove(oldest)
	}
}

// dropModel removes all blocks of a model.
func (c *prefixCache) dropModel(model cluster.ModelID) {
	for block, element := range c.blocks {
		if block.model == model {
			c.used -= element.Value.(*cacheEntry).tokens
			delete(c.blocks, block)
			c.recency.Remove(element)
		}
	}
}

package prefixes

import (
	"container/list"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// Times of a simulated engine.
const (
	// blockPrefillTime is the time to prefill one block that is not cached. An engine prefills one
	// prompt at a time.
	blockPrefillTime = 10 * time.Millisecond
	// promptOverhead is the fixed prefill time of each prompt.
	promptOverhead = 5 * time.Millisecond
	// tokenInterval is the time between two tokens of an answer.
	tokenInterval = 15 * time.Millisecond
)

// execution is one attempt of a turn on an engine.
type execution struct {
	turn    *turn
	attempt cluster.Attempt
	router  int
}

// pendingEvent is a cache event and the time from which readers can see it.
type pendingEvent struct {
	visibleAt int64
	event     cluster.CacheEvent
}

// engine simulates an engine that generates answers concurrently, prefills one prompt at a time and
// caches prefix blocks with least-recently-used eviction.
type engine struct {
	simulator      *simulator
	id             cluster.MachineID
	removed        bool
	occupiedSlots  int
	prefillQueue   []execution
	prefilling     bool
	cached         map[uint64]*list.Element
	lruOrder       *list.List
	eventSequence  uint64
	pendingEvents  []pendingEvent
	startedPrompts int
	// reportedRunning is the number of occupied slots that the next status reports.
	reportedRunning int
}

func newEngine(s *simulator, id cluster.MachineID) *engine {
	return &engine{simulator: s, id: id, cached: map[uint64]*list.Element{}, lruOrder: list.New()}
}

// replicaRecord returns the replica as the cell status describes it.
func (e *engine) replicaRecord(leaving bool) wire.ReplicaRecord {
	return wire.ReplicaRecord{
		Machine: e.id, Address: string(e.id), Model: model, Version: "v1", State: cluster.ReplicaLoaded,
		Slots: e.simulator.options.Slots, Leaving: leaving,
	}
}

// tryAccept queues an execution, or returns false if the engine is removed or has no free slot.
func (e *engine) tryAccept(r execution) bool {
	if e.removed || e.occupiedSlots >= e.simulator.options.Slots {
		return false
	}
	e.occupiedSlots++
	e.prefillQueue = append(e.prefillQueue, r)
	e.startPrefill()
	return true
}

// startPrefill starts the prefill of the next queued prompt, unless one is in progress.
func (e *engine) startPrefill() {
	if e.prefilling || len(e.prefillQueue) == 0 {
		return
	}
	next := e.prefillQueue[0]
	e.prefillQueue = e.prefillQueue[1:]
	e.prefilling = true
	hits := e.touchCachedPrefix(next.turn.blocks)
	e.cacheBlocks(next.turn.blocks)
	e.simulator.recordPrefill(e, next, hits)
	took := promptOverhead + time.Duration(len(next.turn.blocks)-hits)*blockPrefillTime
	e.simulator.schedule(took, func() {
		e.prefilling = false
		e.simulator.recordFirstToken(next)
		e.simulator.schedule(time.Duration(next.turn.tokens)*tokenInterval, func() {
			e.occupiedSlots--
			e.simulator.completeExecution(next)
		})
		e.startPrefill()
	})
}

// touchCachedPrefix returns how many leading blocks are cached, and marks them as recently used.
func (e *engine) touchCachedPrefix(blocks []uint64) int {
	for i, block := range blocks {
		element := e.cached[block]
		if element == nil {
			return i
		}
		e.lruOrder.MoveToBack(element)
	}
	return len(blocks)
}

// cacheBlocks adds the blocks to the cache, evicts the least recently used ones above its capacity and
// publishes both.
func (e *engine) cacheBlocks(blocks []uint64) {
	for _, block := range blocks {
		if element := e.cached[block]; element != nil {
			e.lruOrder.MoveToBack(element)
			continue
		}
		e.cached[block] = e.lruOrder.PushBack(block)
		e.addCacheEvent(block, false)
		if e.lruOrder.Len() > e.simulator.options.CacheBlocks {
			oldest := e.lruOrder.Remove(e.lruOrder.Front()).(uint64)
			delete(e.cached, oldest)
			e.addCacheEvent(oldest, true)
		}
	}
}

// addCacheEvent assigns the next sequence number to a cache event. Every EventLossInterval-th event
// is dropped, which leaves a gap.
func (e *engine) addCacheEvent(block uint64, evicted bool) {
	e.eventSequence++
	if e.eventSequence%e.simulator.options.EventLossInterval == 0 {
		return
	}
	e.pendingEvents = append(e.pendingEvents, pendingEvent{
		visibleAt: e.simulator.now + int64(e.simulator.options.EventDelay),
		event: cluster.CacheEvent{
			Machine: e.id, Sequence: e.eventSequence, Model: model, PrefixHash: block, Evicted: evicted,
		},
	})
}

// takePublishedEvents removes and returns the pending events that are visible by now.
func (e *engine) takePublishedEvents() []cluster.CacheEvent {
	count := 0
	for count < len(e.pendingEvents) && e.pendingEvents[count].visibleAt <= e.simulator.now {
		count++
	}
	var taken []cluster.CacheEvent
	for _, each := range e.pendingEvents[:count] {
		taken = append(taken, each.event)
	}
	e.pendingEvents = e.pendingEvents[count:]
	return taken
}

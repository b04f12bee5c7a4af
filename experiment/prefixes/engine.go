package prefixes

import (
	"container/list"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// Times of a modelled engine.
const (
	// blockTime prefills one block that is not cached; one prompt at a time.
	blockTime = 10 * time.Millisecond
	// promptTime is what each prompt takes besides.
	promptTime = 5 * time.Millisecond
	// tokenTime is the time between two tokens of an answer.
	tokenTime = 15 * time.Millisecond
)

// run is one attempt of a turn on an engine.
type run struct {
	turn    *turn
	attempt cluster.Attempt
	router  int
}

// published is a cache event and when readers may see it.
type published struct {
	at    int64
	event cluster.CacheEvent
}

// engine batches answers, prefills one prompt at a time and caches prefix
// blocks, least recently used first out.
type engine struct {
	world    *world
	id       cluster.MachineID
	gone     bool
	running  int
	waiting  []run
	busy     bool
	cached   map[uint64]*list.Element
	order    *list.List
	sequence uint64
	events   []published
	requests int
	// reported is the work that the next status names.
	reported int
}

func newEngine(w *world, id cluster.MachineID) *engine {
	return &engine{world: w, id: id, cached: map[uint64]*list.Element{}, order: list.New()}
}

// record is what the cell's status says of the replica.
func (e *engine) record(leaving bool) wire.ReplicaRecord {
	return wire.ReplicaRecord{
		Machine: e.id, Address: string(e.id), Model: model, Version: "v1", State: cluster.ReplicaLoaded,
		Slots: e.world.options.Slots, Leaving: leaving,
	}
}

// accept takes a run or refuses it for lack of a slot.
func (e *engine) accept(r run) bool {
	if e.gone || e.running >= e.world.options.Slots {
		return false
	}
	e.running++
	e.waiting = append(e.waiting, r)
	e.prefill()
	return true
}

// prefill begins with the next prompt.
func (e *engine) prefill() {
	if e.busy || len(e.waiting) == 0 {
		return
	}
	next := e.waiting[0]
	e.waiting = e.waiting[1:]
	e.busy = true
	hits := e.match(next.turn.blocks)
	e.insert(next.turn.blocks)
	e.world.count(e, next, hits)
	took := promptTime + time.Duration(len(next.turn.blocks)-hits)*blockTime
	e.world.after(took, func() {
		e.busy = false
		e.world.firstToken(next)
		e.world.after(time.Duration(next.turn.tokens)*tokenTime, func() {
			e.running--
			e.world.ended(next)
		})
		e.prefill()
	})
}

// match returns how many leading blocks are cached, and uses them.
func (e *engine) match(blocks []uint64) int {
	for i, block := range blocks {
		element := e.cached[block]
		if element == nil {
			return i
		}
		e.order.MoveToBack(element)
	}
	return len(blocks)
}

func (e *engine) insert(blocks []uint64) {
	for _, block := range blocks {
		if element := e.cached[block]; element != nil {
			e.order.MoveToBack(element)
			continue
		}
		e.cached[block] = e.order.PushBack(block)
		e.publish(block, false)
		if e.order.Len() > e.world.options.CacheBlocks {
			oldest := e.order.Remove(e.order.Front()).(uint64)
			delete(e.cached, oldest)
			e.publish(oldest, true)
		}
	}
}

// publish numbers an event; each EventGap-th gets lost.
func (e *engine) publish(block uint64, evicted bool) {
	e.sequence++
	if e.sequence%e.world.options.EventGap == 0 {
		return
	}
	e.events = append(e.events, published{
		at: e.world.now + int64(e.world.options.EventDelay),
		event: cluster.CacheEvent{
			Machine: e.id, Sequence: e.sequence, Model: model, PrefixHash: block, Evicted: evicted,
		},
	})
}

// take returns the published events that were not taken yet.
func (e *engine) take() []cluster.CacheEvent {
	count := 0
	for count < len(e.events) && e.events[count].at <= e.world.now {
		count++
	}
	var taken []cluster.CacheEvent
	for _, each := range e.events[:count] {
		taken = append(taken, each.event)
	}
	e.events = e.events[count:]
	return taken
}

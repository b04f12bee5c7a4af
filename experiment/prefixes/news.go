package prefixes

import (
	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/affinity"
	"github.com/valveslip/valveslip/wire"
)

// Sizes of an event on the wire, in bytes, as Avro would write them.
const (
	// entryBytes is one prefix hash and whether it was stored or evicted.
	entryBytes = 9
	// groupBytes names a machine and a model.
	groupBytes = 16
	// relayedPrefixes bounds what the controller passes on at once, as nodes do.
	relayedPrefixes = 256
)

// news carries what the ways tell routers.
type news struct {
	world *world
	// ledger is the controller's sum of what routers told it.
	ledger *affinity.Ledger
	// sequences number the made-up events of preferred machines.
	sequences map[cluster.MachineID]uint64
	bytes     int
}

// tick passes news on.
func (n *news) tick() {
	options := &n.world.options
	switch options.Way {
	case WayEvents:
		n.relay(0)
	case WayEventsBounded:
		n.relay(int(float64(options.EventBudget) * options.EventInterval.Seconds()))
	case WayTold, WayToldPreferred:
		n.tell()
	case WayToldEvents:
		n.tell()
		n.relay(0)
	}
	n.world.after(options.EventInterval, n.tick)
}

// tell passes on what the routers told the controller by the last time, and
// takes what they tell it now.
func (n *news) tell() {
	if groups := n.ledger.Take(); len(groups) > 0 {
		size := encodedSize(wire.SentPrefixes{From: "node-a", Zone: zone, Relayed: true, Groups: groups})
		for router := range n.world.routers {
			n.count(size)
			n.world.step(router, routing.PrefixesTold{Groups: groups})
		}
	}
	for _, router := range n.world.routers {
		if groups := router.SentPrefixes(); len(groups) > 0 {
			n.count(encodedSize(wire.SentPrefixes{From: "node-a", Zone: zone, Groups: groups}))
			n.ledger.NoteGroups(groups)
		}
	}
}

func encodedSize(message wire.Message) int {
	data, err := wire.Encode(message)
	if err != nil {
		panic(err) // the message is made of this package's own constants
	}
	return len(data)
}

// relay reads all engines' events and tells all routers at most budget bytes,
// the newest of each engine; zero means all.
func (n *news) relay(budget int) {
	var events []cluster.CacheEvent
	size := 0
	for _, e := range n.world.engines {
		taken := e.take()
		if len(taken) == 0 {
			continue
		}
		size += groupBytes
		if room := (budget/len(n.world.engines) - groupBytes) / entryBytes; budget > 0 && len(taken) > room {
			taken = taken[len(taken)-room:]
		}
		size += len(taken) * entryBytes
		events = append(events, taken...)
	}
	if len(events) == 0 {
		return
	}
	for router := range n.world.routers {
		n.count(size)
		n.world.step(router, routing.CacheEventsArrived{Events: events})
	}
}

// prefer makes a router expect a prompt's longest noted prefix on the machine
// that all routers prefer for it.
func (n *news) prefer(router int, prefixes []uint64) {
	way := n.world.options.Way
	longest, ok := affinity.Longest(prefixes)
	if !ok || way != WayPreferred && way != WayToldPreferred {
		return
	}
	var best cluster.MachineID
	var heaviest uint64
	for _, e := range n.world.engines {
		if weight := mix(longest ^ xxhash.Sum64String(string(e.id))); weight > heaviest {
			best, heaviest = e.id, weight
		}
	}
	n.sequences[best]++
	event := cluster.CacheEvent{Machine: best, Sequence: n.sequences[best], Model: model, PrefixHash: longest}
	n.world.step(router, routing.CacheEventsArrived{Events: []cluster.CacheEvent{event}})
}

// mix spreads a hash over all bits.
func mix(hash uint64) uint64 {
	hash ^= hash >> 30
	hash *= 0xbf58476d1ce4e5b9
	hash ^= hash >> 27
	hash *= 0x94d049bb133111eb
	return hash ^ hash>>31
}

func (n *news) count(bytes int) {
	if n.world.warm() {
		n.bytes += bytes
	}
}

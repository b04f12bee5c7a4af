package prefixes

import (
	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/affinity"
	"github.com/valveslip/valveslip/wire"
)

// Sizes of a cache event on the wire, in bytes, as Avro encodes it.
const (
	// entryBytes is the size of one prefix hash and of the flag that tells storing from eviction.
	entryBytes = 9
	// groupBytes is the size of the machine and model names of a group of entries.
	groupBytes = 16
	// maxRelayedPrefixes limits the prefixes that the controller relays at once to the limit of
	// real nodes.
	maxRelayedPrefixes = 256
)

// updateSender delivers to the routers what the selected strategy lets them learn.
type updateSender struct {
	simulator *simulator
	// prefixLog aggregates at the controller the prefixes that routers reported.
	prefixLog *affinity.PrefixLog
	// syntheticSequences holds the last sequence number of the synthetic events of each preferred
	// machine.
	syntheticSequences map[cluster.MachineID]uint64
	sentBytes          int
}

// sendUpdates sends the updates of the strategy and schedules the next ones.
func (u *updateSender) sendUpdates() {
	options := &u.simulator.options
	switch options.Strategy {
	case StrategyEvents:
		u.relayCacheEvents(0)
	case StrategyEventsBounded:
		u.relayCacheEvents(int(float64(options.EventBudget) * options.UpdateInterval.Seconds()))
	case StrategyShared, StrategySharedPreferred:
		u.exchangeSentPrefixes()
	case StrategySharedEvents:
		u.exchangeSentPrefixes()
		u.relayCacheEvents(0)
	}
	u.simulator.schedule(options.UpdateInterval, u.sendUpdates)
}

// exchangeSentPrefixes relays to all routers the prefixes that the controller collected at the
// previous exchange, and then collects the new ones from the routers.
func (u *updateSender) exchangeSentPrefixes() {
	if groups := u.prefixLog.Take(); len(groups) > 0 {
		size := encodedSize(wire.SentPrefixes{From: "node-a", Zone: zone, Relayed: true, Groups: groups})
		for router := range u.simulator.routers {
			u.addBytes(size)
			u.simulator.stepRouter(router, routing.PrefixesReceived{Groups: groups})
		}
	}
	for _, router := range u.simulator.routers {
		if groups := router.SentPrefixes(); len(groups) > 0 {
			u.addBytes(encodedSize(wire.SentPrefixes{From: "node-a", Zone: zone, Groups: groups}))
			u.prefixLog.NoteGroups(groups)
		}
	}
}

func encodedSize(message wire.Message) int {
	encoded, err := wire.Encode(message)
	if err != nil {
		panic(err) // cannot happen: the message only holds values of this package
	}
	return len(encoded)
}

// relayCacheEvents sends the cache events of all engines to all routers. A positive budget limits
// the bytes of one update; each engine gets an equal part, for its newest events. Zero means no
// limit.
func (u *updateSender) relayCacheEvents(budget int) {
	var events []cluster.CacheEvent
	size := 0
	for _, e := range u.simulator.engines {
		published := e.takePublishedEvents()
		if len(published) == 0 {
			continue
		}
		size += groupBytes
		if room := (budget/len(u.simulator.engines) - groupBytes) / entryBytes; budget > 0 && len(published) > room {
			published = published[len(published)-room:]
		}
		size += len(published) * entryBytes
		events = append(events, published...)
	}
	if len(events) == 0 {
		return
	}
	for router := range u.simulator.routers {
		u.addBytes(size)
		u.simulator.stepRouter(router, routing.CacheEventsArrived{Events: events})
	}
}

// injectPreferredMachine makes a router expect the longest recorded prefix of a prompt on the
// machine that rendezvous hashing selects, which is the same at all routers. It does nothing for
// strategies without a preferred machine.
func (u *updateSender) injectPreferredMachine(router int, prefixes []uint64) {
	strategy := u.simulator.options.Strategy
	longest, found := affinity.ReportedPrefix(prefixes)
	if !found || strategy != StrategyPreferred && strategy != StrategySharedPreferred {
		return
	}
	var best cluster.MachineID
	var highestWeight uint64
	for _, e := range u.simulator.engines {
		if weight := mixBits(longest ^ xxhash.Sum64String(string(e.id))); weight > highestWeight {
			best, highestWeight = e.id, weight
		}
	}
	u.syntheticSequences[best]++
	event := cluster.CacheEvent{Machine: best, Sequence: u.syntheticSequences[best], Model: model, PrefixHash: longest}
	u.simulator.stepRouter(router, routing.CacheEventsArrived{Events: []cluster.CacheEvent{event}})
}

// mixBits is a 64-bit hash finalizer that spreads the input over all bits.
func mixBits(hash uint64) uint64 {
	hash ^= hash >> 30
	hash *= 0xbf58476d1ce4e5b9
	hash ^= hash >> 27
	hash *= 0x94d049bb133111eb
	return hash ^ hash>>31
}

// addBytes counts bytes of messages during the measured time.
func (u *updateSender) addBytes(bytes int) {
	if u.simulator.isMeasuring() {
		u.sentBytes += bytes
	}
}

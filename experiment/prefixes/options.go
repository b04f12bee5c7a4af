package prefixes

import (
	"cmp"
	"time"
)

// Strategy is how routers learn what the engines' caches hold. With all but StrategyNone, each
// router remembers the prefixes that it sent itself.
type Strategy string

// The strategies. Production routers use StrategyShared.
const (
	// StrategyNone ignores prefixes.
	StrategyNone Strategy = "no prefixes"
	// StrategyMemory uses each router's memory of the prefixes that it sent itself.
	StrategyMemory Strategy = "own memory"
	// StrategyPreferred adds the machine that rendezvous hashing selects for the prompt's longest
	// recorded prefix. All routers compute the same machine without messages.
	StrategyPreferred Strategy = "preferred machine"
	// StrategyEvents adds the cache events of the engines, which the zone's controller reads and
	// relays to all routers.
	StrategyEvents Strategy = "engines' events"
	// StrategyEventsBounded relays at most EventBudget bytes per second, the newest events of each
	// engine.
	StrategyEventsBounded Strategy = "events, bounded"
	// StrategyShared adds what routers report to each other through the zone's controller: the
	// longest recorded prefix of each prompt that an engine has prefilled.
	StrategyShared Strategy = "told by routers"
	// StrategySharedEvents adds the cache events to StrategyShared.
	StrategySharedEvents Strategy = "told, and events"
	// StrategySharedPreferred adds the preferred machine to StrategyShared.
	StrategySharedPreferred Strategy = "told, and preferred"
)

// Strategies lists all strategies in the order of a report.
var Strategies = []Strategy{
	StrategyNone, StrategyMemory, StrategyPreferred, StrategyEvents, StrategyEventsBounded, StrategyShared, StrategySharedEvents, StrategySharedPreferred,
}

// Options configures Run. A zero field takes the documented default.
type Options struct {
	Strategy Strategy
	Seed     uint64
	// Routers and Machines are their numbers; each machine holds one replica. Defaults 16, 12.
	Routers, Machines int
	// Slots is the number of concurrent requests of an engine. Default 32.
	Slots int
	// CacheBlocks is the capacity of an engine's prefix cache. Default 2,000.
	CacheBlocks int
	// WarmUp is the time before the measurement, Duration that of the measurement. Defaults 3 min,
	// 10 min.
	WarmUp, Duration time.Duration
	// SessionRate is the number of new sessions per second. Default 8.
	SessionRate float64
	// MeanTurns is the mean number of turns of a session, geometrically distributed. MeanThinkTime
	// is the mean time between an answer and the next turn, exponentially distributed. Defaults 6,
	// 20 s.
	MeanTurns     float64
	MeanThinkTime time.Duration
	// SystemPrompts is the number of common system prompts and MeanSystemBlocks their mean length
	// in blocks. Their use falls with their rank. Defaults 60, 10.
	SystemPrompts, MeanSystemBlocks int
	// StickySessions makes all turns of a session reach the same router.
	StickySessions bool
	// EventDelay is the time until an engine publishes an event. Every EventLossInterval-th event
	// is never published. Defaults 2 s, 20.
	EventDelay        time.Duration
	EventLossInterval uint64
	// UpdateInterval is the time between two messages, both from a router to the controller and
	// from the controller to the routers. Default 1 s.
	UpdateInterval time.Duration
	// EventBudget is the limit of StrategyEventsBounded in bytes per second and router. Default
	// 2,048.
	EventBudget int
	// ReplacedMachines is the number of machines that are replaced, with notice, by machines with
	// empty caches in the middle of the measurement.
	ReplacedMachines int
	// MoveCaches copies the complete cache of each replaced machine to its replacement one second
	// after the notice, and tells the routers.
	MoveCaches bool
	// PrefixBlockTime is the routing setting of that name; 0 means its default.
	PrefixBlockTime time.Duration
}

func (o Options) withDefaults() Options {
	o.Strategy = cmp.Or(o.Strategy, StrategyShared)
	o.Routers = cmp.Or(o.Routers, 16)
	o.Machines = cmp.Or(o.Machines, 12)
	o.Slots = cmp.Or(o.Slots, 32)
	o.CacheBlocks = cmp.Or(o.CacheBlocks, 2000)
	o.WarmUp = cmp.Or(o.WarmUp, 3*time.Minute)
	o.Duration = cmp.Or(o.Duration, 10*time.Minute)
	o.SessionRate = cmp.Or(o.SessionRate, 8)
	o.MeanTurns = cmp.Or(o.MeanTurns, 6)
	o.MeanThinkTime = cmp.Or(o.MeanThinkTime, 20*time.Second)
	o.SystemPrompts = cmp.Or(o.SystemPrompts, 60)
	o.MeanSystemBlocks = cmp.Or(o.MeanSystemBlocks, 10)
	o.EventDelay = cmp.Or(o.EventDelay, 2*time.Second)
	o.EventLossInterval = cmp.Or(o.EventLossInterval, 20)
	o.UpdateInterval = cmp.Or(o.UpdateInterval, time.Second)
	o.EventBudget = cmp.Or(o.EventBudget, 2048)
	return o
}

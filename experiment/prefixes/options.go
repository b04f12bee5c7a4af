package prefixes

import (
	"cmp"
	"time"
)

// Way is how routers learn what engines' caches hold. All but WayNone remember
// what they sent themselves.
type Way string

// The ways. Routers do WayTold; the others are compared with it.
const (
	// WayNone looks at no prefixes.
	WayNone Way = "no prefixes"
	// WayMemory is each router's memory of what it sent itself.
	WayMemory Way = "own memory"
	// WayPreferred adds the machine that rendezvous hashing of the prompt's
	// longest noted prefix prefers, the same at all routers, without messages.
	WayPreferred Way = "preferred machine"
	// WayEvents adds engines' cache events, read by the zone's controller and
	// passed on to all routers.
	WayEvents Way = "engines' events"
	// WayEventsBounded passes at most EventBudget bytes a second on, the newest
	// events of each engine.
	WayEventsBounded Way = "events, bounded"
	// WayTold adds what routers tell each other through the zone's controller:
	// the longest noted prefix of each prompt that an engine has read.
	WayTold Way = "told by routers"
	// WayToldEvents adds the events to that.
	WayToldEvents Way = "told, and events"
	// WayToldPreferred adds the preferred machine to WayTold.
	WayToldPreferred Way = "told, and preferred"
)

// Ways lists all ways in the order of a report.
var Ways = []Way{
	WayNone, WayMemory, WayPreferred, WayEvents, WayEventsBounded, WayTold, WayToldEvents, WayToldPreferred,
}

// Options of Run. A zero field takes the documented default.
type Options struct {
	Way  Way
	Seed uint64
	// Routers and Machines; each machine holds one replica. Defaults 16, 12.
	Routers, Machines int
	// Slots of an engine. Default 32.
	Slots int
	// CacheBlocks that an engine's prefix cache holds. Default 2,000.
	CacheBlocks int
	// Warm is left out of the result; Length follows it. Defaults 3 min, 10 min.
	Warm, Length time.Duration
	// Sessions begin a second. Default 8.
	Sessions float64
	// Turns of a session and the Think time between two, means of geometric and
	// exponential distributions. Defaults 6, 20 s.
	Turns float64
	Think time.Duration
	// Systems is the number of common system prompts, of SystemBlocks blocks on
	// average; their use falls with their rank. Defaults 60, 10.
	Systems, SystemBlocks int
	// Sticky sessions reach the same router with each turn.
	Sticky bool
	// EventDelay until an engine publishes an event, and EventGap: each such
	// event is never published. Defaults 2 s, 20.
	EventDelay time.Duration
	EventGap   uint64
	// EventInterval between two messages: a router's to the controller, and the
	// controller's to the routers. Default 1 s.
	EventInterval time.Duration
	// EventBudget of WayEventsBounded, in bytes a second and router. Default
	// 2,048.
	EventBudget int
	// Leaves is the number of machines replaced by empty ones in the middle, with
	// notice.
	Leaves int
	// MoveCaches gives the replacements the caches of the machines before them, a
	// second after the leaving is announced and whole, and tells the routers.
	MoveCaches bool
	// PrefixBlockTime as routing's setting; 0 means its default.
	PrefixBlockTime time.Duration
}

func (o Options) withDefaults() Options {
	o.Way = cmp.Or(o.Way, WayTold)
	o.Routers = cmp.Or(o.Routers, 16)
	o.Machines = cmp.Or(o.Machines, 12)
	o.Slots = cmp.Or(o.Slots, 32)
	o.CacheBlocks = cmp.Or(o.CacheBlocks, 2000)
	o.Warm = cmp.Or(o.Warm, 3*time.Minute)
	o.Length = cmp.Or(o.Length, 10*time.Minute)
	o.Sessions = cmp.Or(o.Sessions, 8)
	o.Turns = cmp.Or(o.Turns, 6)
	o.Think = cmp.Or(o.Think, 20*time.Second)
	o.Systems = cmp.Or(o.Systems, 60)
	o.SystemBlocks = cmp.Or(o.SystemBlocks, 10)
	o.EventDelay = cmp.Or(o.EventDelay, 2*time.Second)
	o.EventGap = cmp.Or(o.EventGap, 20)
	o.EventInterval = cmp.Or(o.EventInterval, time.Second)
	o.EventBudget = cmp.Or(o.EventBudget, 2048)
	return o
}

package placement

import "time"

const (
	// slowShare and slowMargin say from when on a load counts as slowed down: it took
	// so many times its time at full speed, and so much more, since the end of a load
	// is seen late.
	slowShare  = 1.2
	slowMargin = 250 * time.Millisecond
	// slowInRow is how many loads in a row must be slow before the store is believed to
	// bear fewer: a single one may be slow because its machine is.
	slowInRow = 2
	// capacityWeight is the weight of a new observation.
	capacityWeight = 0.5
	// capacityGrowth is what a load at full speed adds once a limit has been met.
	capacityGrowth = 0.1
	// sharedLoads is with how many loads under way, in the mean, one is taken to have
	// shared the store.
	sharedLoads = 1.5
)

// storeCapacity learns how many loads the weight store bears at once at full speed,
// beyond which each slows down in proportion. Until loads are seen to slow down it
// doubles what it has seen borne, as nothing states the figure.
type storeCapacity struct {
	loads float64
	// met is set once loads slowed down.
	met bool
	// slow counts the slow loads in a row, and least is the greatest capacity that
	// they leave possible.
	slow  int
	least float64
}

// observation is one finished load from the weight store.
type observation struct {
	// full is the time that the load takes at full speed.
	full, took time.Duration
	// shared is how many loads were under way in the mean, this one included.
	shared float64
}

// observe takes a finished load.
func (c *storeCapacity) observe(seen observation) {
	if seen.took <= time.Duration(slowShare*float64(seen.full))+slowMargin {
		c.observeFull(seen.shared)
		return
	}
	if seen.shared < sharedLoads {
		return
	}
	slowdown := max(float64(seen.took)/float64(seen.full), 1)
	c.least = max(c.least, seen.shared/slowdown)
	c.slow++
	if c.slow < slowInRow {
		return
	}
	c.loads += capacityWeight * (c.least - c.loads)
	c.loads = max(c.loads, 1)
	c.met, c.slow, c.least = true, 0, 0
}

// observeFull takes a load that went at full speed beside others.
func (c *storeCapacity) observeFull(shared float64) {
	c.slow, c.least = 0, 0
	switch {
	case shared+1 < c.loads:
	case !c.met:
		c.loads = max(c.loads, 2*shared)
	default:
		c.loads += capacityGrowth
	}
}

// concurrent is how many loads may be under way at once.
func (c *storeCapacity) concurrent() int { return max(int(c.loads+0.5), 1) }

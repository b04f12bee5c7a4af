package placement

import "time"

const (
	// slowLoadFactor and slowLoadMargin define a slow load: it took longer than slowLoadFactor
	// times its duration at full speed plus slowLoadMargin. The margin covers that the end of a
	// load is seen late.
	slowLoadFactor = 1.15
	slowLoadMargin = 200 * time.Millisecond
	// minSlowLoads is how many consecutive loads must be slow before the estimate is lowered. A
	// single load may be slow because of its machine.
	minSlowLoads = 2
	// slowObservationWeight is the weight of a new observation: two observations make up three
	// quarters of the estimate.
	slowObservationWeight = 0.5
	// A load at full speed raises the estimate if the loads that ran meanwhile were within
	// concurrencyMargin of it and the load ran at no less than fullSpeedShare of its speed. The
	// estimate grows to rampUpFactor times those loads until a slowdown has been seen, and by
	// growthPerLoad loads afterwards.
	concurrencyMargin = 0.75
	fullSpeedShare    = 0.9
	rampUpFactor      = 1.5
	growthPerLoad     = 0.1
	// sharedStoreLoads is the mean number of concurrent loads from which on a load counts as
	// one that shared the store. A slow load with fewer than this updates the rate of the tier
	// instead of the estimate.
	sharedStoreLoads = 1.5
)

// storeConcurrency estimates how many concurrent loads the weight store serves at full speed.
// Beyond that number all loads slow down in proportion. No setting states the number.
type storeConcurrency struct {
	estimate float64
	// slowdownSeen is set once loads have slowed down.
	slowdownSeen bool
	// consecutiveSlow counts the slow loads since the last load at full speed, and slowEstimate
	// is the largest number of loads that they showed the store to sustain.
	consecutiveSlow int
	slowEstimate    float64
}

// loadObservation describes one finished load from the weight store.
type loadObservation struct {
	// fullSpeedTime is the duration of the load at full speed, and took its actual duration.
	fullSpeedTime, took time.Duration
	// meanConcurrency is the mean number of loads that ran meanwhile, this one included.
	meanConcurrency float64
}

// observe updates the estimate with a finished load.
func (c *storeConcurrency) observe(load loadObservation) {
	if load.took <= time.Duration(slowLoadFactor*float64(load.fullSpeedTime))+slowLoadMargin {
		c.observeFullSpeed(load)
		return
	}
	if load.meanConcurrency < sharedStoreLoads {
		return
	}
	c.slowEstimate = max(c.slowEstimate, load.sustainedLoads())
	c.consecutiveSlow++
	if c.consecutiveSlow < minSlowLoads {
		return
	}
	c.estimate += slowObservationWeight * (c.slowEstimate - c.estimate)
	c.estimate = max(c.estimate, 1)
	c.slowdownSeen, c.consecutiveSlow, c.slowEstimate = true, 0, 0
}

// sustainedLoads returns how many loads at full speed correspond to what the store carried
// meanwhile.
func (o loadObservation) sustainedLoads() float64 {
	return o.meanConcurrency / max((o.took-slowLoadMargin/2).Seconds()/o.fullSpeedTime.Seconds(), 1)
}

// observeFullSpeed updates the estimate with a load that was not slow.
func (c *storeConcurrency) observeFullSpeed(load loadObservation) {
	c.consecutiveSlow, c.slowEstimate = 0, 0
	sustained := load.sustainedLoads()
	switch {
	case sustained+concurrencyMargin < c.estimate:
	case sustained < fullSpeedShare*load.meanConcurrency:
		c.estimate = max(c.estimate, sustained)
	case !c.slowdownSeen:
		c.estimate = max(c.estimate, rampUpFactor*sustained)
	default:
		c.estimate += growthPerLoad
	}
}

// maxConcurrent returns how many loads may run at once.
func (c *storeConcurrency) maxConcurrent() int { return max(int(c.estimate+0.5), 1) }

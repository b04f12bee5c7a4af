package work

import (
	"math"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

const (
	// maxEngineSamples is the number of observations that an engine's baseline speed is computed
	// from. They give an error of a tenth where single observations are off by a third.
	maxEngineSamples = 24
	// enginePriorWeight is the weight, in observations, of the prior that an engine has the
	// reference speed. It keeps a single outlier from moving the speed.
	enginePriorWeight = 2
	// engineSampleAge is how long an engine's observations count, so that an engine with one
	// request in five seconds keeps as many of them as the others.
	engineSampleAge = 2 * time.Minute
	// deviationSamples is the number of last observations that are checked for a deviation from
	// the baseline speed, and minDeviatingSamples the number of them that must show it. At two
	// observations a second, three show it 1.5 s after an engine slowed down, and half a second
	// of noise affects only two.
	deviationSamples    = 5
	minDeviatingSamples = 3
	// deviationWindow is the age at which observations no longer tell the current speed; it is
	// also how long an engine that gets no requests is still taken to deviate.
	deviationWindow = 4 * time.Second
	// deviationLog is the distance from the baseline speed, in its logarithm, at which an
	// observation deviates: a ratio of 2.2. Faults slow engines by a factor of three and more;
	// three of five observations of a healthy engine exceed the threshold once in about 1,000
	// cases.
	deviationLog = 0.8
	// minOwnShare is the least share of the time to the first event that the prompt itself must
	// account for if the observation is to show a faster engine: overestimated work ahead of the
	// prompt looks the same.
	minOwnShare = 0.5
	// maxDeviation is how long a deviation lasts before its speed becomes the baseline: longer
	// than transient faults last.
	maxDeviation = 12 * time.Second
)

// engine is the state learned of one engine's speed.
type engine struct {
	id cluster.MachineID
	// validSince is the earliest send time of attempts to the engine's current incarnation, in
	// nanoseconds since the Unix epoch.
	validSince int64
	// lastObserved is the time of the last observation, and observations their number.
	lastObserved int64
	observations int64
	recent       history
	// speed is the baseline speed relative to the reference engine, and logSpeed its logarithm.
	speed, logSpeed float64
	// deviationSpeed is the speed that the last observations showed. It applies from
	// deviationStart to deviationExpiry while deviating is set.
	deviating                       bool
	deviationSpeed                  float64
	deviationStart, deviationExpiry int64
}

func newEngine(id cluster.MachineID, validSince int64) *engine {
	return &engine{id: id, validSince: validSince, speed: 1}
}

// speedAt returns the estimated speed at a time in nanoseconds since the Unix epoch.
func (e *engine) speedAt(nanos int64) float64 {
	if e.deviating && nanos >= e.deviationStart && nanos <= e.deviationExpiry {
		return e.deviationSpeed
	}
	if nanos-e.lastObserved > int64(engineSampleAge) {
		return 1
	}
	return e.speed
}

// addSample updates the speed from an observation.
func (e *engine) addSample(s sample, r rates) {
	if e.deviating && s.at > e.deviationExpiry {
		e.deviating = false
	}
	s.duringDeviation = e.deviating
	e.recent.dropBefore(s.at - int64(engineSampleAge))
	e.recent.add(s, maxEngineSamples)
	e.lastObserved = max(e.lastObserved, s.at)
	e.observations++

	e.updateBaseline(r)
	e.detectDeviation(r)
}

// updateBaseline computes the baseline speed from the samples outside of deviations, by the
// current rates.
func (e *engine) updateBaseline(r rates) {
	var scratch [maxEngineSamples + 1]estimate
	estimates := append(scratch[:0], estimate{weight: enginePriorWeight})
	for i := range e.recent.samples {
		if s := &e.recent.samples[i]; !s.duringDeviation {
			estimates = append(estimates, estimate{log: r.logSpeed(s), weight: r.ownShare(s)})
		}
	}
	e.setLogSpeed(weightedMedian(estimates))
}

// detectDeviation decides by the last observations whether the engine deviates from its baseline
// speed.
func (e *engine) detectDeviation(r rates) {
	var scratch [2][deviationSamples]float64
	slow, fast := scratch[0][:0], scratch[1][:0]
	oldest := e.lastObserved - int64(deviationWindow)
	for i := max(len(e.recent.samples)-deviationSamples, 0); i < len(e.recent.samples); i++ {
		s := &e.recent.samples[i]
		if s.at < oldest {
			continue
		}
		switch log := r.logSpeed(s); {
		case log < e.logSpeed-deviationLog:
			slow = append(slow, log)
		case log > e.logSpeed+deviationLog && r.ownShare(s) > minOwnShare:
			fast = append(fast, log)
		}
	}
	switch {
	case len(slow) >= minDeviatingSamples:
		e.extendDeviation(median(slow))
	case len(fast) >= minDeviatingSamples:
		e.extendDeviation(median(fast))
	default:
		e.deviating = false
	}
}

// extendDeviation begins or extends a deviation.
func (e *engine) extendDeviation(log float64) {
	if !e.deviating {
		e.deviating, e.deviationStart = true, e.lastObserved
	}
	e.deviationSpeed = math.Exp(min(max(log, -maxLog), maxLog))
	e.deviationExpiry = e.lastObserved + int64(deviationWindow)
	if e.lastObserved-e.deviationStart > int64(maxDeviation) {
		e.adoptDeviation()
	}
}

// adoptDeviation makes the speed of a lasting deviation the baseline.
func (e *engine) adoptDeviation() {
	e.deviating = false
	e.recent.dropBefore(e.deviationStart)
	for i := range e.recent.samples {
		e.recent.samples[i].duringDeviation = false
	}
	e.setLogSpeed(math.Log(e.deviationSpeed))
}

// setLogSpeed sets the baseline speed, within its bounds.
func (e *engine) setLogSpeed(log float64) {
	e.logSpeed = min(max(log, -maxLog), maxLog)
	e.speed = math.Exp(e.logSpeed)
}

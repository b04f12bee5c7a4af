package work

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

const (
	// defaultStep is the duration of a decoding step of one request alone, with a model of
	// about 50 billion parameters on current accelerators.
	defaultStep = 5 * time.Millisecond
	// stepGrowthPerRequest is the share by which each further running request lengthens a step.
	// Decoding is bound by reading weights, so 64 requests lengthen it by a quarter only. That is
	// too little to be learned from pauses, which prefill lengthens many times.
	stepGrowthPerRequest = 0.004
	// maxStepSamples is the number of recent pauses that the estimate uses.
	maxStepSamples = 128
	// stepQuantile is the quantile of pauses taken to be free of prefill: an engine that spent
	// more than half of its time on prefill could not keep up with its demand.
	stepQuantile = 0.25
)

// steps estimates the duration of a decoding step on the reference engine with the reference
// model.
type steps struct {
	// baseline is the duration of a step of one request alone, in ms.
	baseline float64
	// recent is a ring of the baselines that the last pauses imply, and next its write index.
	recent []float64
	next   int
	// sorted is scratch space for the quantile.
	sorted []float64
}

// add takes the baseline that one pause implies and updates the estimate at intervals.
func (s *steps) add(step float64) {
	if len(s.recent) < maxStepSamples {
		s.recent = append(s.recent, step)
	} else {
		s.recent[s.next] = step
	}
	s.next = (s.next + 1) % maxStepSamples
	if s.next%initialRefitAfter != 0 {
		return
	}
	s.sorted = append(s.sorted[:0], s.recent...)
	slices.Sort(s.sorted)
	s.baseline = s.sorted[int(stepQuantile*float64(len(s.sorted)))]
}

// ObservePause takes the time between two events of a stream, the second of which carries the
// given number of tokens, from an engine that runs the given number of requests. A stream pauses
// while the engine prefills a prompt, and clients can't tell when it does. The step is therefore
// learned for the whole service from the shorter pauses and scaled by the engine's speed and the
// model's factor, which are learned from prefill.
func (e *Estimator) ObservePause(now time.Time, engine cluster.MachineID, model cluster.ModelID, running int, pause time.Duration, tokens int) {
	if tokens <= 0 || pause <= 0 {
		return
	}
	e.now = max(e.now, now.UnixNano())
	e.steps.add(milliseconds(pause) / float64(tokens) / e.stepScale(engine, model, running))
}

// StepTime returns the time that the engine needs to produce one token for each of its running
// requests while it prefills nothing.
func (e *Estimator) StepTime(engine cluster.MachineID, model cluster.ModelID, running int) time.Duration {
	return duration(e.steps.baseline * e.stepScale(engine, model, running))
}

// stepScale returns the duration of a step relative to a step of one request alone on the
// reference engine with the reference model.
func (e *Estimator) stepScale(engine cluster.MachineID, model cluster.ModelID, running int) float64 {
	return e.factor(model) * (1 + stepGrowthPerRequest*float64(max(running-1, 0))) / e.Speed(engine)
}

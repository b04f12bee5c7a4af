package work

import (
	"math"

	"github.com/valveslip/valveslip/cluster"
)

const (
	// maxModelSamples is the number of observations that a model's factor is computed from. They
	// give an error of a tenth where single observations are off by a third.
	maxModelSamples = 32
	// modelPriorWeight is the weight, in observations, of the prior that a model has factor 1. Two
	// keep a single outlier from moving the factor and are outweighed from the third observation
	// on.
	modelPriorWeight = 2
	// minKnownSamples is the number of observations from which on a model ignores observations
	// from engines that deviate from their baseline speed.
	minKnownSamples = 8
	// maxFactor bounds the ratio of a model's factor or an engine's speed to the reference, and
	// maxLog is its logarithm.
	maxFactor = 32
	maxLog    = 5 * math.Ln2
)

// model is the state learned of one base model.
type model struct {
	id           cluster.ModelID
	lastObserved int64
	recent       history
	// factor is the prefill time relative to the reference model, and logFactor its logarithm.
	factor, logFactor float64
}

func newModel(id cluster.ModelID) *model { return &model{id: id, factor: 1} }

// addSample updates the factor from an observation. It ignores one whose time is mostly not prefill
// of its own prompt, which says little about the model.
func (m *model) addSample(s sample, r rates) {
	if r.prefill(s.uncached, s.pairs) < r.overhead+float64(s.ahead) {
		return
	}
	m.recent.add(s, maxModelSamples)
	m.updateFactor(r)
}

// updateFactor computes the factor from the remembered samples, by the current rates.
func (m *model) updateFactor(r rates) {
	if len(m.recent.samples) == 0 {
		return
	}
	var scratch [maxModelSamples + 1]estimate
	estimates := append(scratch[:0], estimate{weight: modelPriorWeight})
	for i := range m.recent.samples {
		estimates = append(estimates, estimate{log: r.logFactor(&m.recent.samples[i]), weight: 1})
	}
	m.setLogFactor(weightedMedian(estimates))
}

// known reports whether the model has minKnownSamples observations.
func (m *model) known() bool { return len(m.recent.samples) >= minKnownSamples }

// setLogFactor sets the factor, within its bounds.
func (m *model) setLogFactor(log float64) {
	m.logFactor = min(max(log, -maxLog), maxLog)
	m.factor = math.Exp(m.logFactor)
}

package work

import (
	"testing"
	"time"
)

// largeEstimator returns an estimator that has observed 1,600 engines for ten seconds.
func largeEstimator() (*Estimator, *simulator) {
	sim := newSimulator(unevenService().rates, 1600, unevenService().factors)
	e := NewEstimator(Config{})
	sim.run(e, 10*time.Second)
	return e, sim
}

// BenchmarkPrefillEstimate measures one prefill estimate. A routing decision asks for up to 140
// engines within a budget of 20 us.
func BenchmarkPrefillEstimate(b *testing.B) {
	e, sim := largeEstimator()
	p := Prompt{Tokens: 9190, Cached: 6300}
	engines, models := len(sim.speeds), len(sim.factors)
	var ids []Observation
	for i := range 140 {
		ids = append(ids, Observation{Engine: engineID(i * engines / 140), Model: modelID(i % models)})
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		e.PrefillTime(ids[i].Engine, ids[i].Model, p)
		i = (i + 1) % len(ids)
	}
}

// BenchmarkFit measures one fit of the rates, including the normalization over 1,600 engines.
func BenchmarkFit(b *testing.B) {
	e, _ := largeEstimator()
	for b.Loop() {
		e.fit()
	}
}

// BenchmarkObserve measures one observation, with its share of the fits.
func BenchmarkObserve(b *testing.B) {
	e, sim := largeEstimator()
	o := Observation{Model: modelID(0), Prompt: Prompt{Tokens: 9190}, TimeToFirstEvent: 300 * time.Millisecond}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		sim.now = sim.now.Add(time.Millisecond)
		o.Engine = engineID(i)
		e.Observe(sim.now, o)
		i = (i + 1) % 60
	}
}

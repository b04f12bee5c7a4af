package work

import (
	"math"
	"testing"
	"time"
)

// TestStepTimeIsLearnedDespitePrefill observes events of six tokens from engines that run 12
// requests, where prefill lengthens one pause in three. The baseline step must be within a tenth:
// then, in a pause of 500 ms, the 30 ms that six tokens take are known to 3 ms.
func TestStepTimeIsLearnedDespitePrefill(t *testing.T) {
	sim := unevenService()
	e := NewEstimator(Config{})
	sim.run(e, 20*time.Second)
	step := func(engine, model, running int) float64 {
		return 4.43 * (1 + 0.0044*float64(running-1)) * sim.factors[model] / sim.speeds[engine]
	}
	for i := range 2000 {
		engine, model := i%len(sim.speeds), sim.rng.IntN(len(sim.factors))
		pause := 6 * step(engine, model, 12) * math.Exp(sim.rng.NormFloat64()*0.1)
		if sim.rng.IntN(3) == 0 {
			pause += sim.prefillTime(engine, model, sim.prompt())
		}
		e.ObservePause(sim.now, engineID(engine), modelID(model), 12, duration(pause), 6)
	}
	var errs []float64
	for engine := range sim.speeds {
		for model := range sim.factors {
			estimate := milliseconds(e.StepTime(engineID(engine), modelID(model), 12))
			errs = append(errs, math.Abs(estimate/step(engine, model, 12)-1))
		}
	}
	t.Logf("step %.2f ms for one request on the reference engine; relative error, median and 90th percentile: %.3f %.3f", e.steps.baseline, quantile(errs, 0.5), quantile(errs, 0.9))
	atMost(t, "step error, median", quantile(errs, 0.5), 0.1)
	atMost(t, "step error, 90th percentile", quantile(errs, 0.9), 0.25)
	if alone, full := e.StepTime("", "", 1), e.StepTime("", "", 64); full <= alone {
		t.Errorf("a step takes %v for one request and %v for 64", alone, full)
	}
}

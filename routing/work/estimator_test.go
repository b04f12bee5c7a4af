package work

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// TestEstimatesConvergeWithinTenSeconds observes 60 engines twice a second each. The estimated
// prefill time ahead of a prompt is off by up to half, one observation in 20 is an outlier and
// three in 20 are slowed by noise. Chats of 826 tokens and prompts of 9,190 tokens differ by 240 ms
// and more, so with an objective of 500 ms an error of a fifth moves the first event of the longer
// one by a tenth of the objective, about as much as noise does. From ten seconds to ten minutes,
// half of the estimates must therefore be within a tenth and 90% within a quarter.
func TestEstimatesConvergeWithinTenSeconds(t *testing.T) {
	for name, sim := range map[string]*simulator{"even": evenService(), "uneven": unevenService(), "few fast": fewFastService()} {
		e := NewEstimator(Config{})
		for _, span := range []time.Duration{2, 3, 5, 10, 40, 540} {
			sim.run(e, span*time.Second)
			speeds, factors, firsts := sim.logErrors(t, e, fmt.Sprintf("%s, after %.0f s", name, sim.now.Sub(simulationStart).Seconds()))
			if sim.now.Sub(simulationStart) < 10*time.Second {
				continue
			}
			atMost(t, name+": speed error, 90th percentile", quantile(speeds, 0.9), 0.2)
			atMost(t, name+": factor error, 90th percentile", quantile(factors, 0.9), 0.2)
			atMost(t, name+": first event error, median", quantile(firsts, 0.5), 0.1)
			atMost(t, name+": first event error, 90th percentile", quantile(firsts, 0.9), 0.25)
		}
	}
}

// TestSeldomObservedEnginesConverge checks that engines with one request in five seconds are known
// within a quarter after two minutes, which is as long as their observations count.
func TestSeldomObservedEnginesConverge(t *testing.T) {
	sim := unevenService()
	sim.interval = 5 * time.Second
	e := NewEstimator(Config{})
	sim.run(e, engineSampleAge)
	speeds, _, _ := sim.logErrors(t, e, "every 5 s, after 2 min")
	atMost(t, "speed error, 90th percentile", quantile(speeds, 0.9), 0.25)
}

// TestFirstOutliersChangeNothing checks that one or two outliers on a new model or engine change
// nothing; otherwise its estimates would be off by a factor of ten.
func TestFirstOutliersChangeNothing(t *testing.T) {
	sim := evenService()
	e := NewEstimator(Config{})
	sim.run(e, 20*time.Second)
	p := Prompt{Tokens: 9190}
	for i := range 2 {
		sim.now = sim.now.Add(time.Second)
		first := 10 * (sim.rates.overhead + sim.prefillTime(0, 0, p))
		e.Observe(sim.now, Observation{Engine: "new", Model: modelID(0), Prompt: p, TimeToFirstEvent: duration(first)})
		e.Observe(sim.now, Observation{Engine: engineID(0), Model: "new", Prompt: p, TimeToFirstEvent: duration(first)})
		if speed := e.Speed("new"); math.Abs(speed-1) > 0.2 {
			t.Errorf("speed %.2f after %d outliers", speed, i+1)
		}
		if factor := e.factor("new"); math.Abs(factor-1) > 0.2 {
			t.Errorf("factor %.2f after %d outliers", factor, i+1)
		}
	}
}

// TestSingleModelEnginesKeepReferenceSpeed has engines that run one model each, as popular models
// do. No observation tells whether such an engine is fast or its model small. Speeds differ less
// among engines than sizes among models, so the difference must mostly be attributed to the model,
// also after half an hour; otherwise the engine would be rated too fast or too slow for every model
// placed there.
func TestSingleModelEnginesKeepReferenceSpeed(t *testing.T) {
	sim := newSimulator(unevenService().rates, 60, []float64{1, 0.35, 1, 1, 0.23, 1, 1, 1, 0.35, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1})
	sim.enginesPerModel = 3
	e := NewEstimator(Config{})
	sim.run(e, 30*time.Minute)
	speeds, factors, _ := sim.logErrors(t, e, "models apart, after 30 min")
	atMost(t, "speed error, maximum", slices.Max(speeds), 0.4)
	atMost(t, "factor error, 90th percentile", quantile(factors, 0.9), 0.4)
	for i := range sim.speeds {
		p := Prompt{Tokens: 9190}
		estimate := milliseconds(e.PrefillTime(engineID(i), modelID(sim.model(i)), p))
		atMost(t, fmt.Sprintf("prefill error on engine %d", i), math.Abs(estimate/sim.prefillTime(i, sim.model(i), p)-1), 0.3)
	}
}

// TestOverestimatedWorkAheadKeepsSpeed has busy engines for which nodes estimate three times the
// actual prefill time ahead, because the engines cache prompts that the nodes don't know of. First
// events come sooner than expected, but the engines are no faster: a speed overestimated by half
// would draw more requests and make them busier.
func TestOverestimatedWorkAheadKeepsSpeed(t *testing.T) {
	sim := evenService()
	sim.overestimated = map[int]bool{3: true, 17: true, 31: true, 45: true}
	e := NewEstimator(Config{})
	sim.run(e, 30*time.Second)
	var speeds []float64
	for range 60 {
		sim.run(e, 500*time.Millisecond)
		for i := range sim.overestimated {
			speeds = append(speeds, e.Speed(engineID(i)))
		}
	}
	t.Logf("speeds over 30 s: median %.2f, maximum %.2f", quantile(speeds, 0.5), slices.Max(speeds))
	atMost(t, "speed, median", quantile(speeds, 0.5), 1.35)
	atMost(t, "speed, maximum", slices.Max(speeds), 2)
}

// TestTransientSlowdownIsDetected slows engines by a factor of 3.7 to 5 for six seconds, as a
// transient fault does. With two observations a second it must be detected after two seconds, or
// most of the fault is over before the estimate helps, and the recovery three seconds after its
// end, or the other engines keep the load.
func TestTransientSlowdownIsDetected(t *testing.T) {
	for _, slow := range []float64{3.7, 5} {
		sim := unevenService()
		e := NewEstimator(Config{})
		sim.run(e, 30*time.Second)
		slowed := []int{0, 7, 14, 21, 28, 35, 42, 49}
		for _, i := range slowed {
			sim.slowdown[i] = slow
		}
		detected := sim.timeToHold(e, slowed, 6*time.Second, func(i int) bool { return e.Speed(engineID(i)) < sim.speed(i)/2 })
		clear(sim.slowdown)
		recovered := sim.timeToHold(e, slowed, 6*time.Second, func(i int) bool { return e.Speed(engineID(i)) > sim.speed(i)/1.5 })
		t.Logf("slowed %.1f times: detected after %.1f s, recovery detected after %.1f s", slow, detected, recovered)
		atMost(t, "seconds to detection, median", median(slices.Clone(detected)), 1.6)
		atMost(t, "seconds to detection, maximum", slices.Max(detected), 2.1)
		atMost(t, "seconds to detected recovery, maximum", slices.Max(recovered), 3)
	}
}

// TestHealthyEnginesRarelyDeviate has no faults, but one outlier in 20 observations and three in 20
// slowed by up to 2.5 times. Engines may be taken to deviate for less than 1% of the time: of 60
// engines fewer than one is then avoided, or preferred, without reason.
func TestHealthyEnginesRarelyDeviate(t *testing.T) {
	for name, sim := range map[string]*simulator{"even": evenService(), "uneven": unevenService()} {
		e := NewEstimator(Config{})
		sim.run(e, 30*time.Second)
		checks, deviations := 0, 0
		for range 600 {
			sim.run(e, 500*time.Millisecond)
			for _, engine := range e.engines {
				checks++
				if engine.deviating {
					deviations++
				}
			}
		}
		t.Logf("%s: %d of %d checks find a deviating engine", name, deviations, checks)
		atMost(t, name+": share of time deviating", float64(deviations)/float64(checks), 0.01)
	}
}

// TestDeviationExpiresWithoutRequests checks that an engine that is rated slow and therefore gets
// no requests returns to its baseline after deviationWindow, so that it gets requests again.
func TestDeviationExpiresWithoutRequests(t *testing.T) {
	sim := evenService()
	e := NewEstimator(Config{})
	sim.run(e, 30*time.Second)
	sim.slowdown[0] = 5
	sim.run(e, 3*time.Second)
	if speed := e.Speed(engineID(0)); speed > 0.5 {
		t.Fatalf("speed %.2f of a slow engine", speed)
	}
	end := sim.now.Add(deviationWindow + time.Second)
	for sim.now.Before(end) {
		sim.now = sim.now.Add(10 * time.Millisecond)
		sim.observe(e, 1+sim.rng.IntN(len(sim.speeds)-1))
	}
	if speed := e.Speed(engineID(0)); speed < 0.8 {
		t.Errorf("speed %.2f of an engine without requests for %v", speed, deviationWindow)
	}
}

// TestLastingSlowdownBecomesBaseline checks that a lasting speed becomes the baseline, also for an
// engine with one request a second, which remembers more samples from before the change.
func TestLastingSlowdownBecomesBaseline(t *testing.T) {
	sim := evenService()
	sim.interval = time.Second
	e := NewEstimator(Config{})
	sim.run(e, 30*time.Second)
	sim.noisy = false
	sim.slowdown[0] = 3
	sim.run(e, maxDeviation+5*time.Second)
	if known := e.engines[engineID(0)]; known.deviating || math.Abs(known.speed*3-1) > 0.25 {
		t.Errorf("speed %.2f, deviating %v, of an engine that stays three times slower", known.speed, known.deviating)
	}
}

// TestBriefNoiseMovesNoSpeed checks that half a second in which all observations of an engine are
// five times slower moves no speed by more than a twentieth, also if two observations fall into it.
func TestBriefNoiseMovesNoSpeed(t *testing.T) {
	sim := unevenService()
	e := NewEstimator(Config{})
	sim.run(e, 30*time.Second)
	sim.noisy = false
	sim.run(e, 12*time.Second)
	for _, every := range []time.Duration{500 * time.Millisecond, 250 * time.Millisecond} {
		sim.interval = every
		for i := 0; i < len(sim.speeds); i += 7 {
			before := e.Speed(engineID(i))
			sim.slowdown[i] = 5
			sim.run(e, 500*time.Millisecond)
			delete(sim.slowdown, i)
			for range 15 {
				atMost(t, fmt.Sprintf("speed change of engine %d by noise", i), math.Abs(e.Speed(engineID(i))/before-1), 0.05)
				sim.run(e, 100*time.Millisecond)
			}
		}
	}
}

// TestForgottenEngineStartsFromPrior checks that a new engine at an old address starts from the
// prior, and that late answers of its predecessor don't count for it.
func TestForgottenEngineStartsFromPrior(t *testing.T) {
	sim := unevenService()
	e := NewEstimator(Config{})
	sim.run(e, 20*time.Second)
	if speed := e.Speed(engineID(0)); speed > 0.6 {
		t.Fatalf("speed %.2f of a slow engine", speed)
	}
	e.Forget(engineID(0))
	if speed := e.Speed(engineID(0)); speed != 1 {
		t.Errorf("speed %.2f of a new engine", speed)
	}
	for range 5 {
		e.Observe(sim.now.Add(time.Second), Observation{Engine: engineID(0), Model: modelID(0), Prompt: Prompt{Tokens: 9190}, TimeToFirstEvent: 2 * time.Second})
	}
	if speed := e.Speed(engineID(0)); speed != 1 {
		t.Errorf("speed %.2f of a new engine after late answers of its predecessor", speed)
	}
	sim.speeds[0] = 1.2
	sim.run(e, 10*time.Second)
	if speed := e.Speed(engineID(0)); math.Abs(speed-1) > 0.2 {
		t.Errorf("speed %.2f of a new engine with the speed of the others", speed)
	}
}

// TestEqualObservationsGiveEqualEstimates guards against estimates that depend on the iteration
// order of a map.
func TestEqualObservationsGiveEqualEstimates(t *testing.T) {
	var lists [2][]EngineSpeed
	for i := range lists {
		e := NewEstimator(Config{MaxEngines: 50, MaxModels: 8})
		unevenService().run(e, 20*time.Second)
		lists[i] = e.Speeds()
	}
	if !slices.Equal(lists[0], lists[1]) {
		t.Errorf("%v\n%v", lists[0], lists[1])
	}
}

// TestMemoryIsBounded checks that the least recently observed engines and models are evicted
// first.
func TestMemoryIsBounded(t *testing.T) {
	e := NewEstimator(Config{MaxEngines: 10, MaxModels: 5})
	for i := range 30 {
		e.Observe(simulationStart.Add(time.Duration(i)*time.Second), Observation{
			Engine: engineID(i), Model: modelID(i), Prompt: Prompt{Tokens: 1000}, TimeToFirstEvent: 50 * time.Millisecond,
		})
	}
	if len(e.engines) != 10 || len(e.models) != 5 {
		t.Errorf("%d engines and %d models are remembered", len(e.engines), len(e.models))
	}
	if list := e.Speeds(); list[0].Engine != engineID(20) || list[9].Age != 0 || list[0].Age != 9*time.Second || list[0].Observations != 1 {
		t.Errorf("speeds %+v", list)
	}
}

// TestInvalidObservationsAreIgnored checks that impossible observations are ignored and that
// extreme ones and extreme prompts give no invalid estimates.
func TestInvalidObservationsAreIgnored(t *testing.T) {
	e := NewEstimator(Config{})
	for _, o := range []Observation{
		{Prompt: Prompt{Tokens: 100}},
		{Prompt: Prompt{Tokens: 100}, TimeToFirstEvent: -time.Second},
		{TimeToFirstEvent: time.Second},
	} {
		e.Observe(simulationStart, o)
	}
	if len(e.engines) != 0 {
		t.Errorf("%d engines were observed", len(e.engines))
	}
	for range 100 {
		e.Observe(simulationStart, Observation{Prompt: Prompt{Tokens: 100, Cached: 500}, PrefillAhead: -time.Second, TimeToFirstEvent: time.Nanosecond})
		e.Observe(simulationStart, Observation{Prompt: Prompt{Tokens: 1e8}, PrefillAhead: time.Hour, TimeToFirstEvent: time.Hour})
	}
	for _, p := range []Prompt{{}, {Tokens: -1}, {Tokens: 10, Cached: -10}, {Tokens: 10, Cached: 20}, {Tokens: 1e8}} {
		if prefill := e.PrefillTime("", "", p); prefill < 0 {
			t.Errorf("prefill of %v for %+v", prefill, p)
		}
	}
	if overhead := e.Overhead(""); overhead <= 0 || overhead > time.Minute {
		t.Errorf("overhead %v", overhead)
	}
}

// TestPriorAppliesWithoutObservations checks that the configured priors apply before the first
// observation.
func TestPriorAppliesWithoutObservations(t *testing.T) {
	e := NewEstimator(Config{TokensPerMillisecond: 10, PairTime: time.Millisecond, Overhead: 20 * time.Millisecond})
	if prefill := e.PrefillTime("e", "m", Prompt{Tokens: 2000, Cached: 1000}); prefill != 101500*time.Microsecond {
		t.Errorf("prefill of %v for a prompt", prefill)
	}
	if e.Overhead("e") != 20*time.Millisecond || e.Speed("e") != 1 || len(e.Speeds()) != 0 {
		t.Errorf("overhead %v, speed %v, speeds %v", e.Overhead("e"), e.Speed("e"), e.Speeds())
	}
}

// atMost fails the test if the value exceeds the bound.
func atMost(t *testing.T, name string, value, bound float64) {
	t.Helper()
	if !(value <= bound) {
		t.Errorf("%s: %.3f, want at most %.3f", name, value, bound)
	}
}

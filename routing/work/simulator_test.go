package work

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// simulator is a service with known true speeds that feeds an estimator the observations that
// nodes would make.
type simulator struct {
	rates   rates
	speeds  []float64
	factors []float64
	// interval is the time between two observations of one engine.
	interval time.Duration
	// noisy adds outliers and the errors of nodes' estimates to the observations.
	noisy bool
	rng   *rand.Rand
	now   time.Time
	// next is the engine that is observed next.
	next int
	// slowdown is the factor by which an engine is currently slowed.
	slowdown map[int]float64
	// enginesPerModel is the number of engines that run the same single model; with zero, every
	// engine runs all models.
	enginesPerModel int
	// overestimated engines always have prefill ahead of a prompt, of which nodes estimate three
	// times the actual time.
	overestimated map[int]bool
}

// unevenService has a quarter of its engines at speed 0.55 and the others at 1.2, and some small
// models.
func unevenService() *simulator {
	sim := newSimulator(rates{overhead: 8, perToken: 1 / 38.1, perMillionPairs: 0.737}, 60, []float64{0.23, 1, 1, 1, 0.35, 1, 1, 1, 1, 0.35, 1, 1})
	for i := range sim.speeds {
		sim.speeds[i] = 1.2
		if i%4 == 0 {
			sim.speeds[i] = 0.55
		}
	}
	return sim
}

// fewFastService is unevenService with inverse speeds: a quarter of its engines need 0.55 of the
// reference time and the others 1.2 times as long.
func fewFastService() *simulator {
	sim := unevenService()
	for i := range sim.speeds {
		sim.speeds[i] = 1 / 1.2
		if i%4 == 0 {
			sim.speeds[i] = 1 / 0.55
		}
	}
	return sim
}

// evenService has engines of equal speed and two sizes of models.
func evenService() *simulator {
	return newSimulator(rates{overhead: 45, perToken: 1 / 38.4, perMillionPairs: 1.18}, 60, []float64{1, 0.28, 1, 1, 0.28, 1, 1, 1})
}

func newSimulator(r rates, engines int, factors []float64) *simulator {
	sim := &simulator{
		rates: r, speeds: make([]float64, engines), factors: factors, interval: 500 * time.Millisecond, noisy: true,
		rng: rand.New(rand.NewPCG(1, 2)), now: simulationStart, slowdown: make(map[int]float64),
	}
	for i := range sim.speeds {
		sim.speeds[i] = 1
	}
	return sim
}

func engineID(i int) cluster.MachineID { return cluster.MachineID(fmt.Sprintf("e%03d", i)) }
func modelID(i int) cluster.ModelID    { return cluster.ModelID(fmt.Sprintf("m%03d", i)) }

// prompt draws a chat or a long prompt, of which about two thirds are cached in half of the cases.
func (sim *simulator) prompt() Prompt {
	if sim.rng.IntN(2) == 0 {
		return Prompt{Tokens: int(826 * math.Exp(sim.rng.NormFloat64()*0.5))}
	}
	p := Prompt{Tokens: 6300 + int(2890*math.Exp(sim.rng.NormFloat64()*0.7))}
	if sim.rng.IntN(2) == 0 {
		p.Cached = 6300
	}
	return p
}

// prefillTime returns the true prefill time of a prompt on an engine, in ms.
func (sim *simulator) prefillTime(engine, model int, p Prompt) float64 {
	slowdown := 1.0
	if by, found := sim.slowdown[engine]; found {
		slowdown = by
	}
	prefill := sim.rates.perToken*p.uncached() + sim.rates.perMillionPairs*p.pairs()
	return sim.factors[model] * prefill / sim.speeds[engine] * slowdown
}

// model draws one of the models that an engine runs.
func (sim *simulator) model(engine int) int {
	if sim.enginesPerModel > 0 {
		return engine / sim.enginesPerModel % len(sim.factors)
	}
	return sim.rng.IntN(len(sim.factors))
}

// observe makes one observation of an engine. Models are equally frequent on all engines that run
// them. Ahead is what a node would estimate from its knowledge of the engine.
func (sim *simulator) observe(e *Estimator, engine int) {
	model := sim.model(engine)
	p := sim.prompt()
	ahead, estimated := 0.0, 0.0
	if sim.overestimated[engine] || sim.rng.IntN(2) == 0 {
		otherModel, otherPrompt := sim.model(engine), sim.prompt()
		ahead = sim.prefillTime(engine, otherModel, otherPrompt)
		estimated = milliseconds(e.PrefillTime(engineID(engine), modelID(otherModel), otherPrompt))
	}
	if sim.overestimated[engine] {
		estimated *= 3
	}
	slowdown := max(sim.slowdown[engine], 1)
	first := sim.rates.overhead/sim.speeds[engine]*slowdown + sim.prefillTime(engine, model, p) + ahead
	if sim.noisy {
		first *= math.Exp(sim.rng.NormFloat64() * 0.15)
		estimated *= 0.5 + sim.rng.Float64()
		switch share := sim.rng.Float64(); {
		case share < 0.05:
			first *= math.Exp((sim.rng.Float64()*2 - 1) * math.Log(10))
		case share < 0.2:
			first *= 1 + 1.5*sim.rng.Float64()
		}
	}
	e.Observe(sim.now, Observation{
		Engine: engineID(engine), Model: modelID(model), Prompt: p, PrefillAhead: duration(estimated), TimeToFirstEvent: duration(first),
	})
}

// run observes all engines in turn for a time span, at even intervals.
func (sim *simulator) run(e *Estimator, span time.Duration) {
	step := sim.interval / time.Duration(len(sim.speeds))
	for range int(span / step) {
		sim.now = sim.now.Add(step)
		sim.observe(e, sim.next)
		sim.next = (sim.next + 1) % len(sim.speeds)
	}
}

// speed returns the true speed of an engine relative to the reference engine.
func (sim *simulator) speed(engine int) float64 {
	return sim.speeds[engine] / median(slices.Clone(sim.speeds))
}

// quantile returns a quantile of the values, which it sorts.
func quantile(values []float64, q float64) float64 {
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}

// firstEventErrors returns the relative errors of the estimated time to the first event of a prompt
// with nothing ahead of it, over all engines and models.
func (sim *simulator) firstEventErrors(e *Estimator, p Prompt) []float64 {
	var errs []float64
	for engine := range sim.speeds {
		for model := range sim.factors {
			estimate := milliseconds(e.Overhead(engineID(engine)) + e.PrefillTime(engineID(engine), modelID(model), p))
			first := sim.rates.overhead/sim.speeds[engine] + sim.prefillTime(engine, model, p)
			errs = append(errs, math.Abs(estimate/first-1))
		}
	}
	return errs
}

// logErrors logs and returns the relative errors of speeds, factors and times to the first event.
func (sim *simulator) logErrors(t *testing.T, e *Estimator, name string) (speeds, factors, firsts []float64) {
	t.Helper()
	for i := range sim.speeds {
		speeds = append(speeds, math.Abs(e.Speed(engineID(i))/sim.speed(i)-1))
	}
	medianFactor := median(slices.Clone(sim.factors))
	for i, factor := range sim.factors {
		factors = append(factors, math.Abs(e.factor(modelID(i))/(factor/medianFactor)-1))
	}
	firsts = append(sim.firstEventErrors(e, Prompt{Tokens: 826}), sim.firstEventErrors(e, Prompt{Tokens: 9190})...)
	firsts = append(firsts, sim.firstEventErrors(e, Prompt{Tokens: 9190, Cached: 6300})...)
	t.Logf("%-24s rate %5.1f tokens/ms, %.2f ms/M pairs, overhead %4.1f ms; relative error, median and 90th percentile: speeds %.3f %.3f, factors %.3f %.3f, first events %.3f %.3f",
		name, 1/e.rates.perToken, e.rates.perMillionPairs, e.rates.overhead,
		quantile(speeds, 0.5), quantile(speeds, 0.9), quantile(factors, 0.5), quantile(factors, 0.9), quantile(firsts, 0.5), quantile(firsts, 0.9))
	return speeds, factors, firsts
}

// timeToHold observes all engines for a span. It returns for each of the given engines the seconds
// until the condition first held for at least a second, or infinity.
func (sim *simulator) timeToHold(e *Estimator, engines []int, span time.Duration, holds func(engine int) bool) []float64 {
	begin := sim.now
	since := make([]float64, len(engines))
	for i := range since {
		since[i] = math.Inf(1)
	}
	for sim.now.Sub(begin) < span {
		sim.run(e, 100*time.Millisecond)
		for k, i := range engines {
			at := sim.now.Sub(begin).Seconds()
			if !holds(i) && at < since[k]+1 {
				since[k] = math.Inf(1)
			} else if math.IsInf(since[k], 1) {
				since[k] = at
			}
		}
	}
	return since
}

// simulationStart is the time at which every simulator starts.
var simulationStart = time.Unix(1e9, 0)

package work

import (
	"math"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Observation is a measured time to the first event of an attempt.
type Observation struct {
	Engine cluster.MachineID
	// Model is the base model; an adapter counts as its base.
	Model  cluster.ModelID
	Prompt Prompt
	// PrefillAhead is the prefill time that was estimated to be queued on the engine at the send,
	// at the engine's own speed.
	PrefillAhead time.Duration
	// TimeToFirstEvent is the time from the send to the first event.
	TimeToFirstEvent time.Duration
}

const (
	// maxFitSamples is the number of observations that the rates are fitted to.
	maxFitSamples = 384
	// minFitSpacing is the least time between two of these observations once there are
	// maxFitSamples of them, so that they span most of a minute.
	minFitSpacing = 100 * time.Millisecond
	// refitAfter is the number of new observations after which the rates are fitted again. That
	// gives a fit every three seconds, which takes 0.2 ms with 60 engines and 3 ms with 1,600.
	refitAfter = 32
	// initialRefitAfter replaces refitAfter up to initialSamples observations.
	initialRefitAfter = 8
	// initialSamples is the number of observations up to which the rates are fitted more often.
	initialSamples = 64
)

// Estimator learns the prefill and decoding speeds of the engines of one service. It is not safe
// for concurrent use.
type Estimator struct {
	cfg     Config
	prior   rates
	rates   rates
	engines map[cluster.MachineID]*engine
	models  map[cluster.ModelID]*model
	// now is the time of the last observation, in nanoseconds since the Unix epoch.
	now int64
	// fitHistory holds the observations that the rates are fitted to, and sinceFit counts those
	// that came after the last fit.
	fitHistory history
	sinceFit   int
	steps      steps
}

// NewEstimator returns an estimator that starts from the priors in the configuration.
func NewEstimator(cfg Config) *Estimator {
	cfg = cfg.withDefaults()
	prior := rates{overhead: milliseconds(cfg.Overhead), perToken: 1 / cfg.TokensPerMillisecond, perMillionPairs: milliseconds(cfg.PairTime)}
	return &Estimator{
		cfg: cfg, prior: prior, rates: prior,
		engines: make(map[cluster.MachineID]*engine), models: make(map[cluster.ModelID]*model),
		steps: steps{baseline: milliseconds(defaultStep)},
	}
}

// PrefillTime returns the estimated prefill time of the prompt on the engine, without other work.
func (e *Estimator) PrefillTime(engine cluster.MachineID, model cluster.ModelID, p Prompt) time.Duration {
	prefill := e.rates.perToken*p.uncached() + e.rates.perMillionPairs*p.pairs()
	return duration(e.factor(model) * prefill / e.Speed(engine))
}

// Overhead returns the estimated time to the first event apart from prefill.
func (e *Estimator) Overhead(engine cluster.MachineID) time.Duration {
	return duration(e.rates.overhead / e.Speed(engine))
}

// Speed returns the engine's speed relative to the reference engine of its service: at 0.5 the
// same work takes twice as long. An unknown engine has speed 1.
func (e *Estimator) Speed(engine cluster.MachineID) float64 {
	known, found := e.engines[engine]
	if !found {
		return 1
	}
	return known.speedAt(e.now)
}

// factor returns the prefill time with a model relative to the reference model.
func (e *Estimator) factor(id cluster.ModelID) float64 {
	if known, found := e.models[id]; found {
		return known.factor
	}
	return 1
}

// Observe updates the estimates from an observation. It ignores an attempt that was sent to an
// earlier incarnation of the engine.
func (e *Estimator) Observe(now time.Time, o Observation) {
	if o.TimeToFirstEvent <= 0 || o.Prompt.Tokens <= 0 {
		return
	}
	e.now = max(e.now, now.UnixNano())
	engine := e.engine(o.Engine)
	if now.Add(-o.TimeToFirstEvent).UnixNano() < engine.validSince {
		return
	}
	model := e.model(o.Model)
	s := sample{
		at: now.UnixNano(), uncached: float32(o.Prompt.uncached()), pairs: float32(o.Prompt.pairs()),
		elapsed: float32(milliseconds(o.TimeToFirstEvent)), engine: engine, model: model,
	}
	s.ahead = float32(milliseconds(max(o.PrefillAhead, 0)) * engine.speedAt(now.Add(-o.TimeToFirstEvent).UnixNano()))
	model.lastObserved = max(model.lastObserved, s.at)
	if !engine.deviating || !model.known() {
		model.addSample(s, e.rates)
	}
	engine.addSample(s, e.rates)
	if !engine.deviating || len(e.fitHistory.samples) < initialSamples {
		e.addToFit(s)
	}
}

// addToFit adds an observation to those that the rates are fitted to, and fits them when due.
func (e *Estimator) addToFit(s sample) {
	count := len(e.fitHistory.samples)
	if count >= maxFitSamples && s.at-e.fitHistory.samples[count-1].at < int64(minFitSpacing) {
		return
	}
	e.fitHistory.add(s, maxFitSamples)
	e.sinceFit++
	due := refitAfter
	if count < initialSamples {
		due = initialRefitAfter
	}
	if e.sinceFit < due {
		return
	}
	e.sinceFit = 0
	e.fit()
}

// fit updates the rates. It first moves the medians of factors and speeds into the rates;
// otherwise all factors, or all speeds, could drift together against the rates.
func (e *Estimator) fit() {
	e.normalizeFactors()
	e.normalizeSpeeds()
	e.rates = e.rates.fit(e.fitHistory.samples, e.prior)
}

// normalizeFactors scales the factors so that their median over the requests is 1.
func (e *Estimator) normalizeFactors() {
	for _, model := range e.models {
		model.updateFactor(e.rates)
	}
	logs := make([]float64, 0, len(e.fitHistory.samples))
	for i := range e.fitHistory.samples {
		logs = append(logs, e.fitHistory.samples[i].model.logFactor)
	}
	logMedian := median(logs)
	for _, model := range e.models {
		if len(model.recent.samples) > 0 {
			model.setLogFactor(model.logFactor - logMedian)
		}
	}
	e.rates.perToken *= math.Exp(logMedian)
	e.rates.perMillionPairs *= math.Exp(logMedian)
}

// normalizeSpeeds scales the speeds so that their median over the engines is 1.
func (e *Estimator) normalizeSpeeds() {
	logs := make([]float64, 0, len(e.engines))
	for _, engine := range e.engines {
		if engine.observations == 0 {
			continue
		}
		engine.updateBaseline(e.rates)
		if engine.observations >= minDeviatingSamples {
			logs = append(logs, engine.logSpeed)
		}
	}
	logMedian := median(logs)
	for _, engine := range e.engines {
		if engine.observations > 0 {
			engine.setLogSpeed(engine.logSpeed - logMedian)
		}
	}
	e.rates.overhead *= math.Exp(-logMedian)
	e.rates.perToken *= math.Exp(-logMedian)
	e.rates.perMillionPairs *= math.Exp(-logMedian)
}

// Forget resets an engine that is gone. Observations of attempts that were sent before then are
// ignored for a new engine at the same address.
func (e *Estimator) Forget(id cluster.MachineID) {
	if _, found := e.engines[id]; found {
		e.engines[id] = newEngine(id, e.now)
	}
}

// engine returns the state of an engine and creates it if necessary.
func (e *Estimator) engine(id cluster.MachineID) *engine {
	known, found := e.engines[id]
	if found {
		return known
	}
	if len(e.engines) >= e.cfg.MaxEngines {
		e.evictEngine()
	}
	known = newEngine(id, math.MinInt64)
	e.engines[id] = known
	return known
}

// model returns the state of a model and creates it if necessary.
func (e *Estimator) model(id cluster.ModelID) *model {
	known, found := e.models[id]
	if found {
		return known
	}
	if len(e.models) >= e.cfg.MaxModels {
		e.evictModel()
	}
	known = newModel(id)
	e.models[id] = known
	return known
}

// evictEngine removes the engine whose last observation is the oldest.
func (e *Estimator) evictEngine() {
	var oldest *engine
	for _, known := range e.engines {
		if oldest == nil || known.lastObserved < oldest.lastObserved || known.lastObserved == oldest.lastObserved && known.id < oldest.id {
			oldest = known
		}
	}
	delete(e.engines, oldest.id)
}

// evictModel removes the model whose last observation is the oldest.
func (e *Estimator) evictModel() {
	var oldest *model
	for _, known := range e.models {
		if oldest == nil || known.lastObserved < oldest.lastObserved || known.lastObserved == oldest.lastObserved && known.id < oldest.id {
			oldest = known
		}
	}
	delete(e.models, oldest.id)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

package experiment

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/simulation"
	"github.com/valveslip/valveslip/verdict"
)

// The resolution of measured times.
const (
	highestTime       = int64(2 * time.Hour / time.Millisecond)
	significantDigits = 3
	sampleInterval    = 10 * time.Minute
)

// quantiles at which distributions are kept.
var quantiles = []float64{0, 10, 25, 50, 75, 90, 95, 97.5, 99, 99.5, 99.9, 99.99, 100}

// Sample is the state at one time of a run.
type Sample struct {
	// Hours since measurements began.
	Hours float64 `json:"hours"`
	// Loaded replicas and Idle accelerators now.
	Loaded int     `json:"loaded"`
	Idle   float64 `json:"idle"`
	// Store fetches running now.
	Store int `json:"store"`
	// FirstToken99 is the 99th percentile of the first token's delay over the
	// interval that ends here, in seconds.
	FirstToken99 float64 `json:"first_token_p99"`
}

// Measurement is what one run gave. Times are in seconds.
type Measurement struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	Requests int    `json:"requests"`
	Served   int    `json:"served"`
	// Refusals by code.
	Refusals map[verdict.Code]int `json:"refusals"`
	// Cold counts requests that waited for a load.
	Cold int `json:"cold"`
	// ColdStart is the distribution over all requests of the time that each
	// waited with no replica of its model loaded; a request that was refused
	// meanwhile counts with its whole wait.
	ColdStart []float64 `json:"cold_start"`
	// ColdOnly is the same over the requests that waited.
	ColdOnly []float64 `json:"cold_only"`
	// FirstToken is the distribution over served requests.
	FirstToken []float64 `json:"first_token"`
	// Accelerator hours with a loaded idle replica, with a running one and
	// with one being loaded.
	IdleHours    float64 `json:"idle_hours"`
	BusyHours    float64 `json:"busy_hours"`
	LoadingHours float64 `json:"loading_hours"`
	Loads        int     `json:"loads"`
	// StoreBusy is the mean number of running fetches, StorePeak the largest.
	StoreBusy float64  `json:"store_busy"`
	StorePeak int      `json:"store_peak"`
	Samples   []Sample `json:"samples"`
	// Events and Hash of the event log.
	Events uint64 `json:"events"`
	Hash   uint64 `json:"hash,string"`
}

// Quantile returns the value of a kept distribution at a percentile, zero when
// it is not kept.
func Quantile(distribution []float64, percentile float64) float64 {
	for i, kept := range quantiles {
		if kept == percentile && i < len(distribution) {
			return distribution[i]
		}
	}
	return 0
}

// recorder collects what a run measures.
type recorder struct {
	from        time.Time
	result      *Measurement
	cold        *hdrhistogram.Histogram
	coldOnly    *hdrhistogram.Histogram
	firstToken  *hdrhistogram.Histogram
	intervalTop *hdrhistogram.Histogram
}

// newRecorder returns a recorder of requests that arrive from a time on.
func newRecorder(from time.Time, result *Measurement) *recorder {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, highestTime, significantDigits) }
	return &recorder{
		from: from, result: result, cold: histogram(), coldOnly: histogram(),
		firstToken: histogram(), intervalTop: histogram(),
	}
}

// finished records one request.
func (r *recorder) finished(ended simulation.Result) {
	if ended.Arrival.At.Before(r.from) {
		return
	}
	r.result.Requests++
	record(r.cold, ended.ColdStart)
	if ended.ColdStart > 0 {
		r.result.Cold++
		record(r.coldOnly, ended.ColdStart)
	}
	if ended.Outcome != simulation.OutcomeServed {
		r.result.Refusals[ended.Code]++
		return
	}
	r.result.Served++
	wait := ended.FirstToken.Sub(ended.Arrival.At)
	record(r.firstToken, wait)
	record(r.intervalTop, wait)
}

// record adds a time, bounded by what the histogram holds.
func record(histogram *hdrhistogram.Histogram, value time.Duration) {
	_ = histogram.RecordValue(min(value.Milliseconds(), highestTime))
}

// distribution returns the values at the kept percentiles, in seconds.
func distribution(histogram *hdrhistogram.Histogram) []float64 {
	values := make([]float64, len(quantiles))
	for i, percentile := range quantiles {
		values[i] = float64(histogram.ValueAtQuantile(percentile)) / 1000
	}
	return values
}

// close completes the measurement.
func (r *recorder) close() {
	r.result.ColdStart = distribution(r.cold)
	r.result.ColdOnly = distribution(r.coldOnly)
	r.result.FirstToken = distribution(r.firstToken)
}

// RunCell runs one scenario under one policy and seed with the planner alone:
// one cell, no faults, one queue a model.
func RunCell(scenario *Scenario, policy Policy, seed uint64) (*Measurement, error) {
	models, err := buildModels(scenario, policy.Override)
	if err != nil {
		return nil, err
	}
	begin := simulation.Epoch.Add(scenario.Warmup)
	end := begin.Add(scenario.Duration)
	var future map[cluster.ModelID][]time.Time
	if policy.Clairvoyant {
		future = collect(newSource(scenario, models, seed, end))
	}
	result := &Measurement{Scenario: scenario.Name, Policy: policy.Name, Seed: seed, Refusals: map[verdict.Code]int{}}
	recorder := newRecorder(begin, result)
	cell := simulation.NewCell(simulation.CellConfig{
		Seed: seed, Deployment: buildDeployment(scenario, models), Settings: models.Snapshot,
		Planner: policy.make(future), Source: newSource(scenario, models, seed, end),
		PlanInterval: time.Second, WakeInterval: 100 * time.Millisecond, Finished: recorder.finished,
	})
	cell.Run(begin)
	cell.Usage.Reset()
	busyBefore, loadsBefore := cell.Store.Busy, cell.Usage.Loads
	for at := begin.Add(sampleInterval); !at.After(end); at = at.Add(sampleInterval) {
		cell.Run(at)
		result.Samples = append(result.Samples, recorder.sample(at.Sub(begin), cell.Usage, cell.Store))
	}
	cell.Run(end)
	recorder.close()
	result.account(cell.Usage, loadsBefore)
	result.StoreBusy = (cell.Store.Busy - busyBefore) / scenario.Duration.Seconds()
	result.StorePeak = cell.Store.Peak
	result.Events, result.Hash = cell.Kernel.Executed(), cell.Kernel.Hash()
	return result, nil
}

// sample takes the state at one time and begins a new interval.
func (r *recorder) sample(since time.Duration, usage *simulation.Usage, store *simulation.WeightStore) Sample {
	taken := Sample{
		Hours: since.Hours(), Loaded: usage.Loaded(), Idle: usage.Idle(), Store: store.Active(),
		FirstToken99: float64(r.intervalTop.ValueAtQuantile(99)) / 1000,
	}
	r.intervalTop.Reset()
	return taken
}

// account takes over the accelerator hours.
func (m *Measurement) account(usage *simulation.Usage, loadsBefore int) {
	m.IdleHours, m.BusyHours, m.LoadingHours = usage.IdleHours, usage.BusyHours, usage.LoadingHours
	m.Loads = usage.Loads - loadsBefore
}

// collect reads all arrivals of a source by model.
func collect(source *trafficSource) map[cluster.ModelID][]time.Time {
	future := map[cluster.ModelID][]time.Time{}
	for {
		arrival, ok := source.Next()
		if !ok {
			return future
		}
		future[arrival.Model] = append(future[arrival.Model], arrival.At)
	}
}

// Plan is a set of runs.
type Plan struct {
	Scenarios []*Scenario
	Policies  []Policy
	// FirstSeed and Seeds give the seeds.
	FirstSeed uint64
	Seeds     int
	// Workers run at once.
	Workers int
	// Progress is called after each run; nil means none.
	Progress func()
}

// Run executes the plan and returns the measurements in the plan's order,
// whatever ran first.
func (p *Plan) Run(ctx context.Context) ([]*Measurement, error) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(p.Workers, 1))
	results := make([]*Measurement, len(p.Scenarios)*len(p.Policies)*p.Seeds)
	index := 0
	for _, scenario := range p.Scenarios {
		for _, policy := range p.Policies {
			for i := range p.Seeds {
				slot, seed := index, p.FirstSeed+uint64(i)
				index++
				group.Go(func() error {
					if ctx.Err() != nil {
						return ctx.Err()
					}
					result, err := RunCell(scenario, policy, seed)
					results[slot] = result
					if p.Progress != nil {
						p.Progress()
					}
					return err
				})
			}
		}
	}
	return results, group.Wait()
}

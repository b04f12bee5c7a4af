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

// Range and resolution of recorded times, and the interval between samples.
const (
	maxRecordedMilliseconds = int64(2 * time.Hour / time.Millisecond)
	significantDigits       = 3
	sampleInterval          = 10 * time.Minute
)

// storedPercentiles are the percentiles at which distributions are stored.
var storedPercentiles = []float64{0, 10, 25, 50, 75, 90, 95, 97.5, 99, 99.5, 99.9, 99.99, 100}

// Sample is the state at one time of a run.
type Sample struct {
	// Hours is the time since the start of the measurement.
	Hours float64 `json:"hours"`
	// Loaded is the number of loaded replicas, Idle the number of idle accelerators.
	Loaded int     `json:"loaded"`
	Idle   float64 `json:"idle"`
	// Store is the number of fetches in progress.
	Store int `json:"store"`
	// FirstToken99 is the 99th percentile of the first-token time in seconds over the interval that
	// ends with this sample.
	FirstToken99 float64 `json:"first_token_p99"`
}

// Measurement holds the results of one run. Times are in seconds.
type Measurement struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	Requests int    `json:"requests"`
	Served   int    `json:"served"`
	// Refusals by code.
	Refusals map[verdict.Code]int `json:"refusals"`
	// Cold counts the requests that waited for a load.
	Cold int `json:"cold"`
	// ColdStart is the distribution, over all requests, of the time that a request waited while no
	// replica of its model was loaded. A request that was refused while waiting counts with its
	// whole wait.
	ColdStart []float64 `json:"cold_start"`
	// ColdOnly is the same distribution over the requests that waited.
	ColdOnly []float64 `json:"cold_only"`
	// FirstToken is the distribution of the first-token time over served requests.
	FirstToken []float64 `json:"first_token"`
	// Accelerator hours with a loaded idle replica, with a busy one, and with one that is loading.
	IdleHours    float64 `json:"idle_hours"`
	BusyHours    float64 `json:"busy_hours"`
	LoadingHours float64 `json:"loading_hours"`
	Loads        int     `json:"loads"`
	// StoreBusy is the mean number of fetches in progress, StorePeak the maximum.
	StoreBusy float64  `json:"store_busy"`
	StorePeak int      `json:"store_peak"`
	Samples   []Sample `json:"samples"`
	// Events is the number of simulated events, Hash the hash of the event log.
	Events uint64 `json:"events"`
	Hash   uint64 `json:"hash,string"`
}

// Quantile returns the value of a stored distribution at a percentile, zero if the percentile is
// not stored.
func Quantile(distribution []float64, percentile float64) float64 {
	for i, kept := range storedPercentiles {
		if kept == percentile && i < len(distribution) {
			return distribution[i]
		}
	}
	return 0
}

// recorder collects the measurements of a run.
type recorder struct {
	measureFrom        time.Time
	result             *Measurement
	coldStart          *hdrhistogram.Histogram
	coldOnly           *hdrhistogram.Histogram
	firstToken         *hdrhistogram.Histogram
	intervalFirstToken *hdrhistogram.Histogram
}

// newRecorder returns a recorder for the requests that arrive at measureFrom or later.
func newRecorder(measureFrom time.Time, result *Measurement) *recorder {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecordedMilliseconds, significantDigits) }
	return &recorder{
		measureFrom: measureFrom, result: result, coldStart: histogram(), coldOnly: histogram(),
		firstToken: histogram(), intervalFirstToken: histogram(),
	}
}

// recordResult records a request that has ended.
func (r *recorder) recordResult(result simulation.Result) {
	if result.Arrival.At.Before(r.measureFrom) {
		return
	}
	r.result.Requests++
	recordMilliseconds(r.coldStart, result.ColdStart)
	if result.ColdStart > 0 {
		r.result.Cold++
		recordMilliseconds(r.coldOnly, result.ColdStart)
	}
	if result.Outcome != simulation.OutcomeServed {
		r.result.Refusals[result.Code]++
		return
	}
	r.result.Served++
	wait := result.FirstToken.Sub(result.Arrival.At)
	recordMilliseconds(r.firstToken, wait)
	recordMilliseconds(r.intervalFirstToken, wait)
}

// recordMilliseconds adds a time to the histogram, limited to its range.
func recordMilliseconds(histogram *hdrhistogram.Histogram, value time.Duration) {
	_ = histogram.RecordValue(min(value.Milliseconds(), maxRecordedMilliseconds))
}

// percentileValues returns the values at storedPercentiles, in seconds.
func percentileValues(histogram *hdrhistogram.Histogram) []float64 {
	values := make([]float64, len(storedPercentiles))
	for i, percentile := range storedPercentiles {
		values[i] = float64(histogram.ValueAtQuantile(percentile)) / 1000
	}
	return values
}

// finish writes the distributions to the measurement.
func (r *recorder) finish() {
	r.result.ColdStart = percentileValues(r.coldStart)
	r.result.ColdOnly = percentileValues(r.coldOnly)
	r.result.FirstToken = percentileValues(r.firstToken)
}

// RunCell runs one scenario under one policy and seed with only the planner: one cell without
// faults and with one queue per model.
func RunCell(scenario *Scenario, policy Policy, seed uint64) (*Measurement, error) {
	models, err := buildModels(scenario, policy.Override)
	if err != nil {
		return nil, err
	}
	begin := simulation.Epoch.Add(scenario.Warmup)
	end := begin.Add(scenario.Duration)
	var future map[cluster.ModelID][]time.Time
	if policy.Clairvoyant {
		future = collectArrivals(newTrafficSource(scenario, models, seed, end))
	}
	result := &Measurement{Scenario: scenario.Name, Policy: policy.Name, Seed: seed, Refusals: map[verdict.Code]int{}}
	recorder := newRecorder(begin, result)
	cell := simulation.NewCell(simulation.CellConfig{
		Seed: seed, Deployment: buildDeployment(scenario, models), Settings: models.Snapshot,
		Planner: policy.newPlanner(future), Source: newTrafficSource(scenario, models, seed, end),
		PlanInterval: time.Second, WakeInterval: 100 * time.Millisecond, Finished: recorder.recordResult,
	})
	cell.Run(begin)
	cell.Usage.Reset()
	busyBefore, loadsBefore := cell.Store.Busy, cell.Usage.Loads
	for at := begin.Add(sampleInterval); !at.After(end); at = at.Add(sampleInterval) {
		cell.Run(at)
		result.Samples = append(result.Samples, recorder.takeSample(at.Sub(begin), cell.Usage, cell.Store))
	}
	cell.Run(end)
	recorder.finish()
	result.setUsage(cell.Usage, loadsBefore)
	result.StoreBusy = (cell.Store.Busy - busyBefore) / scenario.Duration.Seconds()
	result.StorePeak = cell.Store.Peak
	result.Events, result.Hash = cell.Kernel.Executed(), cell.Kernel.Hash()
	return result, nil
}

// takeSample returns the current state and starts a new interval.
func (r *recorder) takeSample(since time.Duration, usage *simulation.Usage, store *simulation.WeightStore) Sample {
	sample := Sample{
		Hours: since.Hours(), Loaded: usage.Loaded(), Idle: usage.Idle(), Store: store.Active(),
		FirstToken99: float64(r.intervalFirstToken.ValueAtQuantile(99)) / 1000,
	}
	r.intervalFirstToken.Reset()
	return sample
}

// setUsage sets the accelerator hours and the number of loads.
func (m *Measurement) setUsage(usage *simulation.Usage, loadsBefore int) {
	m.IdleHours, m.BusyHours, m.LoadingHours = usage.IdleHours, usage.BusyHours, usage.LoadingHours
	m.Loads = usage.Loads - loadsBefore
}

// collectArrivals reads all arrivals of a source and groups them by model.
func collectArrivals(source *trafficSource) map[cluster.ModelID][]time.Time {
	future := map[cluster.ModelID][]time.Time{}
	for {
		arrival, ok := source.Next()
		if !ok {
			return future
		}
		future[arrival.Model] = append(future[arrival.Model], arrival.At)
	}
}

// Plan is a set of runs: every scenario under every policy with every seed.
type Plan struct {
	Scenarios []*Scenario
	Policies  []Policy
	// The seeds are Seeds consecutive numbers from FirstSeed.
	FirstSeed uint64
	Seeds     int
	// Workers is the number of concurrent runs.
	Workers int
	// Progress is called after each run unless nil.
	Progress func()
}

// Run executes the plan and returns the measurements in the order of the plan, whichever run ended
// first.
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

package prefixes

import (
	"slices"
	"time"
)

// aftermath is the time after a replacement that is reported apart.
const aftermath = time.Minute

// measured sums up a run.
type measured struct {
	blocks, hits     int
	refusals, failed int
	first            []time.Duration
	// after are the first-token times in the minute after the replacement.
	after []time.Duration
}

// Result is what one run measured after it was warm.
type Result struct {
	Way Way
	// Requests that got a first token; Failed ones ended without an answer and
	// Refusals are those of engines for lack of a slot, both of the whole run.
	Requests, Failed, Refusals int
	// CachedShare of the prompts' blocks.
	CachedShare float64
	// First-token times, from the arrival at the router.
	P50, P95, P99 time.Duration
	// AfterP50 and AfterP95 are those of the minute after machines were replaced.
	AfterP50, AfterP95 time.Duration
	// Imbalance is the largest number of requests of a machine over the mean.
	Imbalance float64
	// BytesPerNode that a router sends and receives a second.
	BytesPerNode float64
}

// count notes that an engine began with a prompt.
func (w *world) count(e *engine, r run, hits int) {
	if !w.warm() {
		return
	}
	e.requests++
	w.measured.blocks += len(r.turn.blocks)
	w.measured.hits += hits
}

func (w *world) result() Result {
	m := &w.measured
	slices.Sort(m.first)
	slices.Sort(m.after)
	result := Result{
		Way: w.options.Way, Requests: len(m.first), Failed: m.failed, Refusals: m.refusals,
		CachedShare:  float64(m.hits) / float64(max(m.blocks, 1)),
		P50:          quantile(m.first, 0.5),
		P95:          quantile(m.first, 0.95),
		P99:          quantile(m.first, 0.99),
		AfterP50:     quantile(m.after, 0.5),
		AfterP95:     quantile(m.after, 0.95),
		BytesPerNode: float64(w.news.bytes) / float64(len(w.routers)) / w.options.Length.Seconds(),
	}
	largest, sum := 0, 0
	for _, e := range w.engines {
		largest, sum = max(largest, e.requests), sum+e.requests
	}
	result.Imbalance = float64(largest*len(w.engines)) / float64(max(sum, 1))
	return result
}

func quantile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}

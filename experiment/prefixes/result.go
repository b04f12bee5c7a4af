package prefixes

import (
	"slices"
	"time"
)

// replacementWindow is the time after a replacement that is reported separately.
const replacementWindow = time.Minute

// measurements aggregates the measurements of a run.
type measurements struct {
	promptBlocks, cachedBlocks int
	refusals, failures         int
	firstTokenTimes            []time.Duration
	// firstTokenTimesAfterReplacement holds the times of requests that arrived within
	// replacementWindow after the replacement.
	firstTokenTimesAfterReplacement []time.Duration
}

// Result holds the measurements of one run after its warm-up.
type Result struct {
	Strategy Strategy
	// Requests counts the requests that got a first token. Failed requests ended without an answer
	// and Refusals counts dispatches that an engine refused, both including the warm-up.
	Requests, Failed, Refusals int
	// CachedShare is the share of the prompts' blocks that were cached.
	CachedShare float64
	// Percentiles of the first-token time, measured from the arrival at the router.
	P50, P95, P99 time.Duration
	// AfterP50 and AfterP95 are the same for requests that arrived in the minute after the machines
	// were replaced.
	AfterP50, AfterP95 time.Duration
	// Imbalance is the largest number of requests of a machine divided by the mean.
	Imbalance float64
	// BytesPerNode is the number of bytes that a router sends and receives per second.
	BytesPerNode float64
}

// recordPrefill counts a prompt and its cached blocks when its prefill starts.
func (s *simulator) recordPrefill(e *engine, r execution, hits int) {
	if !s.isMeasuring() {
		return
	}
	e.startedPrompts++
	s.measurements.promptBlocks += len(r.turn.blocks)
	s.measurements.cachedBlocks += hits
}

// buildResult computes the result from the measurements.
func (s *simulator) buildResult() Result {
	m := &s.measurements
	slices.Sort(m.firstTokenTimes)
	slices.Sort(m.firstTokenTimesAfterReplacement)
	result := Result{
		Strategy: s.options.Strategy, Requests: len(m.firstTokenTimes), Failed: m.failures, Refusals: m.refusals,
		CachedShare:  float64(m.cachedBlocks) / float64(max(m.promptBlocks, 1)),
		P50:          percentile(m.firstTokenTimes, 0.5),
		P95:          percentile(m.firstTokenTimes, 0.95),
		P99:          percentile(m.firstTokenTimes, 0.99),
		AfterP50:     percentile(m.firstTokenTimesAfterReplacement, 0.5),
		AfterP95:     percentile(m.firstTokenTimesAfterReplacement, 0.95),
		BytesPerNode: float64(s.updates.sentBytes) / float64(len(s.routers)) / s.options.Duration.Seconds(),
	}
	largest, sum := 0, 0
	for _, e := range s.engines {
		largest, sum = max(largest, e.startedPrompts), sum+e.startedPrompts
	}
	result.Imbalance = float64(largest*len(s.engines)) / float64(max(sum, 1))
	return result
}

// percentile returns the element at the given share of the sorted times, or zero if there are none.
func percentile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}

package routing

import (
	"math"
	"time"
)

const (
	// outcomeWeight is the weight of one outcome in a machine's failure rate: 0.2, so that the last
	// three count for half.
	outcomeWeight = 0.2
	// failureRateHalfLife is the time in which a failure rate halves without an outcome, 3 s, so that a machine which is
	// avoided gets an attempt that can show that it works again: 13 s after one failure, 20 s after many.
	failureRateHalfLife = 3 * time.Second
	// minFailureRate is the rate below which a machine is as good as one that never failed: 1%, because any
	// penalty keeps requests away for as long as a machine without one is free.
	minFailureRate = 0.01
)

// failureRate is the moving average of the share of a machine's attempts that failed. It also falls with time.
type failureRate struct {
	rate float64
	// at is when rate was last updated.
	at int64
}

// current returns the rate now.
func (f *failureRate) current(nanos int64) float64 {
	if f.rate == 0 {
		return 0
	}
	rate := f.rate * math.Exp2(-float64(nanos-f.at)/float64(failureRateHalfLife))
	if rate < minFailureRate {
		return 0
	}
	return rate
}

// observe updates the rate after an attempt.
func (f *failureRate) observe(nanos int64, failed bool) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	rate := f.current(nanos)
	f.rate, f.at = rate+outcomeWeight*(outcome-rate), nanos
}

// observeOutcome updates the machine's failure rate. Refusals before the request ran and failures of the own
// path say nothing about the machine's health.
func (m *machine) observeOutcome(nanos int64, event *AttemptEnded) {
	switch {
	case event.EngineFull || event.ModelMissing || event.PathDoubted || event.OtherStart:
		return
	case event.Failure != nil && isPermanent(event.Failure.Code):
		return
	}
	m.failures.observe(nanos, event.Failure != nil)
}

// failurePenalty returns what the machine's recent failures add to its cost.
func (r *Router) failurePenalty(m *machine) float64 {
	return m.failures.current(r.nanos) * float64(r.config.FailurePenalty)
}

package routing

import "time"

// retryBudget bounds a model's retries to a share of its recent requests, so
// that a failing back end is not met with more load. It is a token bucket that
// each request and each second fill a little.
type retryBudget struct {
	saved  float64
	filled int64
}

// earn credits one admitted request.
func (b *retryBudget) earn(nanos int64, config *Config) {
	b.refill(nanos, config)
	b.saved = min(b.saved+config.RetryRatio, config.RetryReserve)
}

// spend takes one retry out and reports whether there was one.
func (b *retryBudget) spend(nanos int64, config *Config) bool {
	b.refill(nanos, config)
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

func (b *retryBudget) refill(nanos int64, config *Config) {
	elapsed := time.Duration(nanos - b.filled).Seconds()
	if b.filled != 0 && elapsed > 0 {
		b.saved = min(b.saved+elapsed*config.RetryFloor, config.RetryReserve)
	}
	b.filled = nanos
}

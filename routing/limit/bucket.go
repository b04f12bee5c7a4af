package limit

import (
	"math"
	"time"
)

// Bucket is a token bucket on a caller-supplied clock. Its level may be negative, so that usage
// above an estimate is paid back before more is admitted. (golang.org/x/time/rate cannot charge or
// refund after the fact.)
type Bucket struct {
	level  float64
	filled int64
	// started is set by the first use, at which the bucket is full.
	started bool
}

// burst returns the capacity of a bucket: the units of one second, at least one.
func burst(rate float64) float64 { return max(1, rate) }

// refill adds the units that accrued since the last call at a rate in units per second.
func (b *Bucket) refill(nanos int64, rate float64) {
	if !b.started {
		b.started, b.level, b.filled = true, burst(rate), nanos
		return
	}
	if elapsed := nanos - b.filled; elapsed > 0 {
		b.level += time.Duration(elapsed).Seconds() * rate
		b.filled = nanos
	}
	b.level = min(b.level, burst(rate))
}

// Wait returns the time until the amount may be taken, zero if it may be taken now. An amount above
// the burst may be taken when the bucket is full, which makes the level negative.
func (b *Bucket) Wait(nanos int64, rate, amount float64) time.Duration {
	b.refill(nanos, rate)
	missing := min(amount, burst(rate)) - b.level
	if missing <= 0 {
		return 0
	}
	if rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration(math.Ceil(missing / rate * float64(time.Second)))
}

// Take charges an amount; a negative amount is a refund.
func (b *Bucket) Take(amount float64) { b.level -= amount }

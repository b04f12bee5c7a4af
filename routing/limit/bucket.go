package limit

import (
	"math"
	"time"
)

// Bucket is a token bucket on virtual time whose level may go below zero, so
// that what was used beyond an estimate is paid back before more is admitted.
// (golang.org/x/time/rate cannot charge or refund after the fact.)
type Bucket struct {
	level  float64
	filled int64
	// started is set by the first use, which finds the bucket full.
	started bool
}

// burst is how much a bucket holds: one second's worth, at least one unit.
func burst(rate float64) float64 { return max(1, rate) }

// refill adds what the rate, in units a second, gave since the last use.
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

// Wait returns how long until amount may be taken, zero if now. An amount above
// the burst may be taken when the bucket is full; the level goes below zero.
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

// Take charges amount, a negative one gives back.
func (b *Bucket) Take(amount float64) { b.level -= amount }

package proxy

import (
	"sync"
	"time"
)

// Rate limits the combined throughput of several proxies, separately for each direction,
// as a machine's network link does. It is safe for concurrent use; nil sets no limit.
type Rate struct {
	bytesPerSecond float64

	mu sync.Mutex
	// busyUntil is when the data reserved so far has been sent, by direction.
	busyUntil [2]time.Time
}

// NewRate returns a limit of mbps megabits per second, and nil if mbps is not positive.
func NewRate(mbps float64) *Rate {
	if mbps <= 0 {
		return nil
	}
	return &Rate{bytesPerSecond: mbps * 1e6 / 8}
}

// reserve queues n bytes for sending and returns how long it takes until they have been
// sent, including the data queued before them.
func (r *Rate) reserve(d direction, n int, now time.Time) time.Duration {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	begin := r.busyUntil[d]
	if begin.Before(now) {
		begin = now
	}
	r.busyUntil[d] = begin.Add(time.Duration(float64(n) / r.bytesPerSecond * float64(time.Second)))
	return r.busyUntil[d].Sub(now)
}

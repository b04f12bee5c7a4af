package proxy

import (
	"sync"
	"time"
)

// Rate bounds what passes several proxies together, in each direction for itself, as a
// machine's link does. It is safe for concurrent use; nil sets no bound.
type Rate struct {
	bytesPerSecond float64

	mu sync.Mutex
	// free is when all that was let through before will have passed.
	free [2]time.Time
}

// NewRate returns a bound in millions of bits a second, nil for zero.
func NewRate(mbps float64) *Rate {
	if mbps <= 0 {
		return nil
	}
	return &Rate{bytesPerSecond: mbps * 1e6 / 8}
}

// reserve takes the link for n bytes and returns how long they need until they have passed.
func (r *Rate) reserve(d direction, n int, now time.Time) time.Duration {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	begin := r.free[d]
	if begin.Before(now) {
		begin = now
	}
	r.free[d] = begin.Add(time.Duration(float64(n) / r.bytesPerSecond * float64(time.Second)))
	return r.free[d].Sub(now)
}

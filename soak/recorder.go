package soak

import (
	"math"
	"sync"
	"time"

	"github.com/valveslip/valveslip/soak/check"
)

// openEnd is the end time of a disturbance that has not ended yet.
const openEnd = time.Duration(math.MaxInt64 / 2)

// recorder collects the history of a run. It is safe for concurrent use.
type recorder struct {
	mu      sync.Mutex
	began   time.Time
	history check.History
}

// elapsed returns the time since the start of the run.
func (r *recorder) elapsed() time.Duration { return r.sinceStart(time.Now()) }

func (r *recorder) sinceStart(t time.Time) time.Duration { return t.Sub(r.began) }

// record changes the history under the lock.
func (r *recorder) record(change func(*check.History)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.history)
}

// beginDisturbance records that a part of the system is disturbed until the returned function
// is called.
func (r *recorder) beginDisturbance(d check.Disturbance) func() {
	d.To = openEnd
	index := 0
	r.record(func(h *check.History) {
		index = len(h.Disturbances)
		h.Disturbances = append(h.Disturbances, d)
	})
	return func() {
		r.record(func(h *check.History) { h.Disturbances[index].To = r.elapsed() })
	}
}

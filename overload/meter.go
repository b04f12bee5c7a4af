package overload

import (
	"context"
	"sync/atomic"
	"time"
)

// Every is the pause between two measurements. Together with the lateness that is looked for
// it bounds how long an overload goes unnoticed; five a second cost a process nothing that can
// be measured.
const Every = 200 * time.Millisecond

// Meter measures lateness. It is safe for concurrent use.
type Meter struct {
	now func() time.Time
	// turn waits for what every piece of work waits for, and returns.
	turn func()
	// began is when the measurement under way began, zero for none, last what the one before
	// it came to; both in nanoseconds, began since the epoch.
	began, last atomic.Int64
}

// New returns a meter that goes by a clock. The function turn queues behind all that is ready
// to run, as work does that comes from the network.
func New(now func() time.Time, turn func()) *Meter { return &Meter{now: now, turn: turn} }

// Run measures until the context ends.
func (m *Meter) Run(ctx context.Context) {
	ticker := time.NewTicker(Every)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.measure()
		case <-ctx.Done():
			return
		}
	}
}

// measure takes one measurement.
func (m *Meter) measure() {
	began := m.now()
	m.began.Store(began.UnixNano())
	m.turn()
	m.last.Store(int64(m.now().Sub(began)))
	m.began.Store(0)
}

// Late is how late work is carried out: what the last measurement came to, or more where the
// one under way takes longer already.
func (m *Meter) Late() time.Duration {
	last := time.Duration(m.last.Load())
	began := m.began.Load()
	if began == 0 {
		return last
	}
	return max(last, m.now().Sub(time.Unix(0, began)))
}

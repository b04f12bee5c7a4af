package overload

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// MeasureInterval is the longest pause between two measurements. Under load they follow each
	// other sooner: one begins with the first admission after the previous one has ended.
	MeasureInterval = 200 * time.Millisecond
	// MaxLateness is the lateness above which no work is admitted. Beyond it, more work delays
	// everything: running requests and the updates that keep the process informed. It is two and
	// a half times the pauses of a process whose CPU quota is enforced in periods of 100 ms, and an
	// eighth of 2 s, the least time within which changes must be known.
	MaxLateness = 250 * time.Millisecond
	// BurstMaxLateness is the lateness above which no more work is admitted once MaxBurst pieces
	// of work were admitted since the measurement began. It equals one pause of a CPU quota, which
	// alone is no sign of overload. MaxBurst pieces take a process with a fifth of a core 0.2 to
	// 0.3 s, so they alone make it late: without this bound, 600 were admitted before the first of
	// them showed, and the process became 2.5 s late.
	BurstMaxLateness = 100 * time.Millisecond
	MaxBurst         = 64
)

// Meter measures lateness and decides whether work is admitted. It is safe for concurrent use.
type Meter struct {
	// epoch is the origin of the meter's times on the monotonic clock. That clock stops while the
	// machine is suspended, so a suspension during a measurement doesn't count as lateness.
	epoch time.Time
	// probe waits in the same queue as all work, and returns.
	probe func()
	// requested triggers a measurement.
	requested chan struct{}
	// began is the time since epoch at which the current measurement began, zero if there is none,
	// and last the result of the previous one, both in nanoseconds.
	began, last atomic.Int64
	// admitted counts the work admitted since the last measurement began.
	admitted atomic.Int64
	// lastLate is the time since epoch of the last measurement above MaxLateness, in nanoseconds;
	// zero if there was none.
	lastLate atomic.Int64
}

// New returns a meter. The function probe must queue behind everything that is ready to run, as
// work from the network does.
func New(probe func()) *Meter {
	return &Meter{epoch: time.Now(), probe: probe, requested: make(chan struct{}, 1)}
}

// now returns the time since epoch, which is never zero.
func (m *Meter) now() time.Duration { return time.Since(m.epoch) + time.Nanosecond }

// Run measures until the context is done.
func (m *Meter) Run(ctx context.Context) {
	ticker := time.NewTicker(MeasureInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-m.requested:
		case <-ctx.Done():
			return
		}
		m.measure()
	}
}

// measure takes one measurement.
func (m *Meter) measure() {
	began := m.now()
	m.admitted.Store(0)
	m.began.Store(int64(began))
	m.probe()
	ended := m.now()
	m.last.Store(int64(ended - began))
	if ended-began > MaxLateness {
		m.lastLate.Store(int64(ended))
	}
	m.began.Store(0)
}

// LateWithin reports whether the lateness exceeded MaxLateness within the given time span.
func (m *Meter) LateWithin(span time.Duration) bool {
	at := m.lastLate.Load()
	return at != 0 && m.now()-time.Duration(at) <= span || m.pending() > MaxLateness
}

// Lateness returns the current lateness: the result of the last measurement, or the duration of the
// current one if that is longer.
func (m *Meter) Lateness() time.Duration { return max(time.Duration(m.last.Load()), m.pending()) }

// pending returns for how long the current measurement has been running, zero if there is none.
func (m *Meter) pending() time.Duration {
	began := m.began.Load()
	if began == 0 {
		return 0
	}
	return m.now() - time.Duration(began)
}

// holdPoll is the interval at which WaitWhileLate checks whether the process is still late. MaxHold
// bounds a hold: clients close a connection that is not read for a second.
const (
	holdPoll = 5 * time.Millisecond
	MaxHold  = time.Second
)

// WaitWhileLate waits while the process is later than MaxLateness, for at most MaxHold.
func (m *Meter) WaitWhileLate(ctx context.Context) {
	for held := time.Duration(0); held < MaxHold && m.pending() > MaxLateness; held += holdPoll {
		select {
		case <-time.After(holdPoll):
		case <-ctx.Done():
			return
		}
	}
}

// Admit reports whether a piece of work may be admitted, and how late the process is.
func (m *Meter) Admit() (late time.Duration, may bool) {
	late = m.pending()
	if late > MaxLateness || late > BurstMaxLateness && m.admitted.Load() >= MaxBurst {
		return late, false
	}
	m.admitted.Add(1)
	if late == 0 {
		select {
		case m.requested <- struct{}{}:
		default:
		}
	}
	return late, true
}

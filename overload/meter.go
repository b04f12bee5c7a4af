package overload

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// Every is the longest pause between two measurements. Where work comes they follow each
	// other sooner: one begins with the first piece after the last one has ended.
	Every = 200 * time.Millisecond
	// MostLate is how late the process may work while it takes more. Beyond that each piece
	// more makes all wait longer: those under way, and what keeps the process informed. It is
	// two and a half times the pauses of a process that is held to a share of a core by tenths
	// of a second, and an eighth of the least time within which changes must be known, 2 s.
	MostLate = 250 * time.Millisecond
	// LateSoon is how late it may work once it has taken MostInTurn since the measurement began:
	// as long as such a pause, which is no sign of too much work. That many cost a process with
	// a fifth of a core 0.2 to 0.3 s, so that they alone make it late: without this bound 600
	// were taken until the first of them showed, and the process was 2.5 s late.
	LateSoon   = 100 * time.Millisecond
	MostInTurn = 64
)

// Meter measures lateness and says what is not to be taken because of it. It is safe for
// concurrent use.
type Meter struct {
	// epoch counts the meter's times by the steady clock. That one stands while the machine is
	// suspended, so that a suspension within a measurement is no lateness.
	epoch time.Time
	// turn waits for what every piece of work waits for, and returns.
	turn func()
	// wanted has a measurement begin.
	wanted chan struct{}
	// began is when the measurement under way began, zero for none, last what the one before
	// it came to; both in nanoseconds, began since the epoch.
	began, last atomic.Int64
	// taken counts what was taken since the measurement under way began, or the last one did.
	taken atomic.Int64
	// lateAt is when the process was found later than MostLate last, in nanoseconds since the
	// epoch; zero for never.
	lateAt atomic.Int64
}

// New returns a meter. The function turn queues behind all that is ready to run, as work does
// that comes from the network.
func New(turn func()) *Meter {
	return &Meter{epoch: time.Now(), turn: turn, wanted: make(chan struct{}, 1)}
}

// now is the time since the epoch, never zero.
func (m *Meter) now() time.Duration { return time.Since(m.epoch) + time.Nanosecond }

// Run measures until the context ends.
func (m *Meter) Run(ctx context.Context) {
	ticker := time.NewTicker(Every)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-m.wanted:
		case <-ctx.Done():
			return
		}
		m.measure()
	}
}

// measure takes one measurement.
func (m *Meter) measure() {
	began := m.now()
	m.taken.Store(0)
	m.began.Store(int64(began))
	m.turn()
	ended := m.now()
	m.last.Store(int64(ended - began))
	if ended-began > MostLate {
		m.lateAt.Store(int64(ended))
	}
	m.began.Store(0)
}

// LateWithin reports whether the process was later than MostLate at some time of the last span.
func (m *Meter) LateWithin(span time.Duration) bool {
	at := m.lateAt.Load()
	return at != 0 && m.now()-time.Duration(at) <= span || m.waiting() > MostLate
}

// Late is how late work is carried out: what the last measurement came to, or more where the
// one under way takes longer already.
func (m *Meter) Late() time.Duration { return max(time.Duration(m.last.Load()), m.waiting()) }

// waiting is for how long the measurement under way has waited, zero for none.
func (m *Meter) waiting() time.Duration {
	began := m.began.Load()
	if began == 0 {
		return 0
	}
	return m.now() - time.Duration(began)
}

// holdPoll spaces looks at whether the process is still late, LongestHold bounds a hold: callers
// give a connection up that is not read within a second.
const (
	holdPoll    = 5 * time.Millisecond
	LongestHold = time.Second
)

// Hold waits while the process works later than MostLate, at most LongestHold.
func (m *Meter) Hold(ctx context.Context) {
	for held := time.Duration(0); held < LongestHold && m.waiting() > MostLate; held += holdPoll {
		select {
		case <-time.After(holdPoll):
		case <-ctx.Done():
			return
		}
	}
}

// Take says whether a piece of work may be taken, and how late the process is where it may not.
func (m *Meter) Take() (late time.Duration, may bool) {
	late = m.waiting()
	if late > MostLate || late > LateSoon && m.taken.Load() >= MostInTurn {
		return late, false
	}
	m.taken.Add(1)
	if late == 0 {
		select {
		case m.wanted <- struct{}{}:
		default:
		}
	}
	return late, true
}

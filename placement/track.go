package placement

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// track is what a planner keeps of one model between rounds. Its size is fixed.
type track struct {
	model cluster.ModelID
	// gaps are the model's idle periods. Those of a base model end with the
	// arrivals of its adapters too, since they need it.
	gaps gapHistogram
	// busy is whether the model or, for a base, one of its adapters had
	// requests in the last round; idleSince is when that ended.
	busy      bool
	idleSince time.Time
	// schedule is computed from gaps when they change.
	schedule      schedule
	scheduleStale bool
	scheduleGoal  objective
	// target is the replica count wanted under load, lowered only after the
	// demand stayed below it since lowerSince; lowerPeak is the largest
	// count wanted in that time.
	target     int
	lowerSince time.Time
	lowerPeak  int
	// decided is whether the last plan explained the model.
	decided bool
}

// observe records whether the model has work now and whether it had any since
// the last round.
func (t *track) observe(now time.Time, working, worked bool) {
	if t.idleSince.IsZero() {
		t.idleSince = now
		t.busy = working
		return
	}
	if (working || worked) && !t.busy {
		t.gaps.add(now.Sub(t.idleSince))
		t.scheduleStale = true
	}
	if t.busy || working || worked {
		t.idleSince = now
	}
	t.busy = working
}

// idle returns how long the model has been without work.
func (t *track) idle(now time.Time) time.Duration {
	if t.busy {
		return 0
	}
	return now.Sub(t.idleSince)
}

// scale turns the replica count that the present load needs into the target,
// raising at once and lowering after the delay.
func (t *track) scale(now time.Time, needed int, delay time.Duration) int {
	if needed >= t.target {
		t.target, t.lowerSince = needed, time.Time{}
		return t.target
	}
	if t.lowerSince.IsZero() {
		t.lowerSince, t.lowerPeak = now, needed
	}
	t.lowerPeak = max(t.lowerPeak, needed)
	if now.Sub(t.lowerSince) >= delay {
		t.target, t.lowerSince = t.lowerPeak, time.Time{}
	}
	return t.target
}

package placement

import (
	"time"

	"github.com/valveslip/valveslip/settings"
)

// The baselines share machine choice, load order, limits and reasons with the
// adaptive planner and differ only in what stays loaded and what is evicted.

// NewAlwaysLoaded returns a planner that wants one replica of every allotted
// model all the time and evicts the longest idle one when a model with waiting
// requests finds no memory.
func NewAlwaysLoaded() Planner { return newBaseline(alwaysLoaded{}) }

// NewFixedKeepAlive returns a planner that unloads a model once it was idle for
// keepAlive, whatever the model, and evicts the longest idle one at need.
func NewFixedKeepAlive(keepAlive time.Duration) Planner {
	return newBaseline(&fixedKeepAlive{keep: fixedSchedule(keepAlive)})
}

// NewLRU returns a planner that unloads only to make room, the longest idle
// model first.
func NewLRU() Planner {
	return newBaseline(&fixedKeepAlive{keep: fixedSchedule(forever)})
}

// newBaseline wires a retention into the shared machinery.
func newBaseline(keep retention) Planner {
	shared := newPlanner(Config{}.withDefaults(), keep)
	return &shared
}

// longestIdleFirst orders evictions by idle time alone.
type longestIdleFirst struct{}

// value implements retention.
func (longestIdleFirst) value(_ *track, _ *settings.Policy, idle, _ time.Duration) float64 {
	return 1 / (1 + idle.Seconds())
}

// expects implements retention: the baselines foretell nothing.
func (longestIdleFirst) expects(*track, *settings.Policy, cost, time.Time) bool { return false }

// alwaysLoaded keeps everything.
type alwaysLoaded struct{ longestIdleFirst }

// foreverSchedule is shared: schedules are read only.
var foreverSchedule = fixedSchedule(forever)

// schedule implements retention.
func (alwaysLoaded) schedule(*track, *settings.Policy, cost) *schedule {
	return &foreverSchedule
}

// standing implements retention.
func (alwaysLoaded) standing(*settings.Policy) int { return 1 }

// fixedKeepAlive keeps everything for one time.
type fixedKeepAlive struct {
	longestIdleFirst
	keep schedule
}

// schedule implements retention.
func (f *fixedKeepAlive) schedule(*track, *settings.Policy, cost) *schedule {
	return &f.keep
}

// standing implements retention.
func (*fixedKeepAlive) standing(*settings.Policy) int { return 0 }

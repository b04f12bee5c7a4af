package placement

import (
	"time"

	"github.com/valveslip/valveslip/settings"
)

// The baselines use the machine choice, load order, limits and reasons of the adaptive planner.
// They differ only in what stays loaded and what is evicted.

// NewAlwaysLoaded returns a planner that always wants one replica of every allotted model. If a
// model with waiting requests finds no memory, it evicts the model that has been idle longest.
func NewAlwaysLoaded() Planner { return newBaseline(alwaysLoaded{}) }

// NewFixedKeepAlive returns a planner that unloads any model after it has been idle for
// keepAlive. If memory is needed, it evicts the model that has been idle longest.
func NewFixedKeepAlive(keepAlive time.Duration) Planner {
	return newBaseline(&fixedKeepAlive{keepSchedule: fixedSchedule(keepAlive)})
}

// NewLRU returns a planner that unloads only to free memory, the model that has been idle
// longest first.
func NewLRU() Planner {
	return newBaseline(&fixedKeepAlive{keepSchedule: fixedSchedule(unlimitedKeepAlive)})
}

// newBaseline returns a planner with default configuration and the given retention.
func newBaseline(rule retention) Planner {
	shared := newPlanner(Config{}.withDefaults(), rule)
	return &shared
}

// longestIdleFirst orders evictions by idle time alone.
type longestIdleFirst struct{}

// keepValue implements retention.
func (longestIdleFirst) keepValue(_ *modelHistory, _ *settings.Policy, idle, _ time.Duration) float64 {
	return 1 / (1 + idle.Seconds())
}

// expectsWakeUp implements retention. The baselines predict no wake-ups.
func (longestIdleFirst) expectsWakeUp(*modelHistory, *settings.Policy, cost, time.Time) bool {
	return false
}

// alwaysLoaded keeps every model loaded.
type alwaysLoaded struct{ longestIdleFirst }

// unlimitedSchedule is shared by all models, since schedules are read only.
var unlimitedSchedule = fixedSchedule(unlimitedKeepAlive)

// schedule implements retention.
func (alwaysLoaded) schedule(*modelHistory, *settings.Policy, cost) *keepSchedule {
	return &unlimitedSchedule
}

// alwaysLoadedReplicas implements retention.
func (alwaysLoaded) alwaysLoadedReplicas(*settings.Policy) int { return 1 }

// fixedKeepAlive keeps every model for the same idle time.
type fixedKeepAlive struct {
	longestIdleFirst
	keepSchedule keepSchedule
}

// schedule implements retention.
func (f *fixedKeepAlive) schedule(*modelHistory, *settings.Policy, cost) *keepSchedule {
	return &f.keepSchedule
}

// alwaysLoadedReplicas implements retention.
func (*fixedKeepAlive) alwaysLoadedReplicas(*settings.Policy) int { return 0 }

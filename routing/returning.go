package routing

import (
	"cmp"
	"slices"
	"time"
)

// returningCallers counts the callers that were refused or given up with a retry time. While the
// model is not loaded they count as waiting in the demand report until that time. Otherwise a model
// whose callers cannot wait as long as its load takes would refuse all of them and never be loaded.
type returningCallers struct {
	callers int
	// from and until bound when they are expected back.
	from, until int64
	// byTime holds the callers in order of their retry times.
	byTime []returningCaller
}

// returningCaller is a caller's retry time and priority.
type returningCaller struct {
	at       int64
	priority int
}

const (
	// returnGracePeriod is how long after its retry time a caller is still expected, 10 s.
	returnGracePeriod = 10 * time.Second
	// maxReturning bounds the remembered retry times of a model.
	maxReturning = 1024
)

// expectReturn records that a request of the model ended with a retry time; zero means none.
func (r *Router) expectReturn(m *model, priority int, after time.Duration) {
	if after == 0 || r.draining {
		return
	}
	retryAt := r.nanos + int64(after)
	m.returning.add(r.nanos, returningCaller{at: retryAt, priority: priority})
	if m.loaded > 0 {
		return
	}
	if m.returning.callers == 0 || retryAt < m.returning.from {
		m.returning.from = retryAt
	}
	m.returning.callers++
	m.returning.until = max(m.returning.until, retryAt+int64(returnGracePeriod))
	r.markDemandChanged(m)
}

// add inserts a caller in order of retry time.
func (e *returningCallers) add(nanos int64, caller returningCaller) {
	e.dropPassed(nanos)
	if len(e.byTime) == maxReturning {
		return
	}
	place, _ := slices.BinarySearchFunc(e.byTime, caller, compareReturnTimes)
	e.byTime = slices.Insert(e.byTime, place, caller)
}

func compareReturnTimes(a, b returningCaller) int { return cmp.Compare(a.at, b.at) }

// dropPassed removes the callers whose retry time has passed.
func (e *returningCallers) dropPassed(nanos int64) {
	passed, _ := slices.BinarySearchFunc(e.byTime, returningCaller{at: nanos + 1}, compareReturnTimes)
	e.byTime = slices.Delete(e.byTime, 0, passed)
}

// removeReturned removes one caller. Which one returned is not known; without the removal, callers
// that retry at once would delay all others.
func (e *returningCallers) removeReturned() {
	if len(e.byTime) > 0 {
		e.byTime = slices.Delete(e.byTime, 0, 1)
	}
}

// countAhead returns the number of callers of at least the priority that are still expected back.
func (e *returningCallers) countAhead(nanos int64, priority int) int {
	e.dropPassed(nanos)
	count := 0
	for _, caller := range e.byTime {
		if caller.priority >= priority {
			count++
		}
	}
	return count
}

// expectedCallers returns how many callers are expected back while the model is not loaded.
func (m *model) expectedCallers(nanos int64) int {
	if m.loaded > 0 || nanos >= m.returning.until {
		m.returning.callers, m.returning.from, m.returning.until = 0, 0, 0
	}
	return m.returning.callers
}

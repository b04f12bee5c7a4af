package placement

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// modelHistory is what a planner learns about one model. Its size is fixed.
type modelHistory struct {
	model cluster.ModelID
	// idlePeriods is the histogram of the model's idle periods. Arrivals for an adapter also
	// end the idle period of its base model, which they need.
	idlePeriods idleHistogram
	// recurrence predicts wake-ups by their period. meanWakeUpRequests is the mean number of
	// requests at a wake-up; wakeUpRequests counts them until wakeUpEnds.
	recurrence         recurrence
	meanWakeUpRequests float64
	wakeUpRequests     int
	wakeUpEnds         time.Time
	// arrivalRate is the rate of arrivals, and starvation follows the requests since the model
	// last had a replica.
	arrivalRate arrivalRate
	starvation  starvation
	// objective is the last known time to answer of the model's requests, zero if none is
	// known.
	objective time.Duration
	// prefill is the prefill load of the model's prompts.
	prefill prefillHistory
	// busy reports that the model, or an adapter of this base model, had requests in the last
	// round. idleSince is the time at which that ended.
	busy      bool
	idleSince time.Time
	// keepSchedule is computed from idlePeriods when they change.
	keepSchedule      keepSchedule
	scheduleStale     bool
	scheduleObjective keepObjective
	// targetReplicas is the replica count wanted under load. It is lowered only after the
	// demand has stayed below it since belowTargetSince, to peakBelowTarget, which is the
	// largest count wanted in that time.
	targetReplicas   int
	belowTargetSince time.Time
	peakBelowTarget  int
	// explainedLast reports that the last plan contained a decision for the model.
	explainedLast bool
}

const (
	// minWakeUpIdle is the idle time after which new requests count as a wake-up, so that the
	// recurrence and the number of requests are learned only from longer idle periods.
	minWakeUpIdle = 3 * time.Minute
	// wakeUpDuration is how long after a wake-up arriving requests are counted: a cold start of
	// this length would have delayed them.
	wakeUpDuration = 20 * time.Second
	// wakeUpSmoothing is the weight of a new observation: the last three make up about half of
	// the mean.
	wakeUpSmoothing = 0.2
)

// observe records whether the model has requests now and how many arrived since the last round.
func (t *modelHistory) observe(now time.Time, working bool, arrivals int) {
	if t.idleSince.IsZero() {
		t.idleSince = now
		t.busy = working
		return
	}
	worked := working || arrivals > 0
	if worked && !t.busy {
		t.recordWakeUp(now, now.Sub(t.idleSince))
	}
	t.countWakeUpRequests(now, arrivals)
	if t.busy || worked {
		t.idleSince = now
	}
	t.busy = working
}

// recordWakeUp records the end of an idle period.
func (t *modelHistory) recordWakeUp(now time.Time, idle time.Duration) {
	t.idlePeriods.add(idle)
	t.scheduleStale = true
	if idle >= minWakeUpIdle {
		t.recurrence.add(now)
		t.wakeUpEnds, t.wakeUpRequests = now.Add(wakeUpDuration), 0
	}
}

// countWakeUpRequests updates the mean number of requests at a wake-up.
func (t *modelHistory) countWakeUpRequests(now time.Time, arrivals int) {
	if t.wakeUpEnds.IsZero() {
		return
	}
	t.wakeUpRequests += arrivals
	if now.Before(t.wakeUpEnds) {
		return
	}
	t.meanWakeUpRequests += wakeUpSmoothing * (float64(t.wakeUpRequests) - t.meanWakeUpRequests)
	t.wakeUpEnds = time.Time{}
}

// requestsPerWakeUp returns how many requests a cold start is expected to delay.
func (t *modelHistory) requestsPerWakeUp() float64 { return max(t.meanWakeUpRequests, 1) }

// idle returns how long the model has had no requests.
func (t *modelHistory) idle(now time.Time) time.Duration {
	if t.busy {
		return 0
	}
	return now.Sub(t.idleSince)
}

// updateTarget updates and returns the target for the replica count that the present load
// needs. It raises the target at once and lowers it after the delay.
func (t *modelHistory) updateTarget(now time.Time, needed int, delay time.Duration) int {
	if needed >= t.targetReplicas {
		t.targetReplicas, t.belowTargetSince = needed, time.Time{}
		return t.targetReplicas
	}
	if t.belowTargetSince.IsZero() {
		t.belowTargetSince, t.peakBelowTarget = now, needed
	}
	t.peakBelowTarget = max(t.peakBelowTarget, needed)
	if now.Sub(t.belowTargetSince) >= delay {
		t.targetReplicas, t.belowTargetSince = t.peakBelowTarget, time.Time{}
	}
	return t.targetReplicas
}

package placement

import (
	"time"

	"github.com/valveslip/valveslip/settings"
)

// adaptiveRetention keeps models loaded by their learned idle periods.
type adaptiveRetention struct{ config Config }

// coldStartChangeThreshold is the relative change of the expected load time above which a
// schedule is computed again. Smaller changes are ignored so that most rounds reuse the
// schedule.
const coldStartChangeThreshold = 0.25

// maxLearnedKeepAlives limits a learned keep-alive to this multiple of the policy's keep-alive.
const maxLearnedKeepAlives = 16

// schedule implements retention. It returns the learned windows if there are enough samples,
// and the policy's keep-alive otherwise.
func (a adaptiveRetention) schedule(history *modelHistory, policy *settings.Policy, cost cost) *keepSchedule {
	objective := keepObjective{
		weight: policy.ColdStartWeight, exchange: a.config.ColdStartExchange, requests: history.requestsPerWakeUp(),
		cost: cost, limit: maxLearnedKeepAlives * policy.KeepAlive,
	}
	if !history.scheduleStale && !objective.differs(history.scheduleObjective) {
		return &history.keepSchedule
	}
	history.scheduleStale, history.scheduleObjective = false, objective
	if float64(history.idlePeriods.total) < a.config.MinSamples {
		history.keepSchedule = fixedSchedule(policy.KeepAlive)
	} else {
		history.keepSchedule = history.idlePeriods.optimalSchedule(objective)
	}
	return &history.keepSchedule
}

// expectsWakeUp implements retention.
func (a adaptiveRetention) expectsWakeUp(history *modelHistory, policy *settings.Policy, cost cost, at time.Time) bool {
	probability := history.recurrence.probability(at)
	if probability == 0 || policy.KeepAlive == 0 {
		return false
	}
	objective := keepObjective{
		weight: policy.ColdStartWeight, exchange: a.config.ColdStartExchange, requests: history.requestsPerWakeUp(), cost: cost,
	}
	return probability*objective.coldStartSaving() > objective.idleCost(lagResolution.Seconds())
}

// differs reports whether the other objective would give a different schedule.
func (g keepObjective) differs(other keepObjective) bool {
	change := float64(g.coldStart-other.coldStart) / float64(max(other.coldStart, 1))
	return g.weight != other.weight || g.limit != other.limit || g.acceleratorShare != other.acceleratorShare ||
		change > coldStartChangeThreshold || change < -coldStartChangeThreshold
}

// alwaysLoadedReplicas implements retention.
func (a adaptiveRetention) alwaysLoadedReplicas(*settings.Policy) int { return 0 }

// minObjectiveWeight is added to the policy's weight wherever work or loss is valued, so that a
// weight of zero still gives an order.
const minObjectiveWeight = 0.05

// keepValue implements retention. It returns the probability that the model is needed within
// the horizon, times what a reload would cost the requests that come then.
func (a adaptiveRetention) keepValue(history *modelHistory, policy *settings.Policy, idle, reload time.Duration) float64 {
	now := history.idleSince.Add(idle)
	probability := max(history.reuseProbability(idle), history.recurrence.probability(now), history.recurrence.probability(now.Add(lagResolution)))
	return (minObjectiveWeight + policy.ColdStartWeight) * probability * history.requestsPerWakeUp() * coldStartCost(reload)
}

// reuseHorizon is how far ahead the value of keeping a replica looks: a model that is needed
// only later than this counts as not needed.
const reuseHorizon = 10 * time.Minute

// reuseProbability returns the probability that a model that has been idle for the given time
// is needed within reuseHorizon. While there are few samples, a prior that falls with the idle
// time dominates.
func (t *modelHistory) reuseProbability(idle time.Duration) float64 {
	bucket, end := idleBucket(idle), idleBucket(idle+reuseHorizon)
	var beyond, within float32
	for i := bucket; i < idleBuckets; i++ {
		beyond += t.idlePeriods.counts[i]
		if i <= end {
			within += t.idlePeriods.counts[i]
		}
	}
	prior := reuseHorizon.Seconds() / (reuseHorizon + idle).Seconds()
	return (float64(within) + prior) / (float64(beyond) + 1)
}

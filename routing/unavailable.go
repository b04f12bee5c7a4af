package routing

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
)

// settingMachineLimit and settingMachineRest name the rate limit and the rest period of machines
// in explanations.
const (
	settingMachineLimit = "limit of machines"
	settingMachineRest  = "rest of machines"
)

// refuseUnservable refuses waiting requests for the machine's loaded models that can't be sent in
// time because of rate limits and rest periods.
func (r *Router) refuseUnservable(m *machine) {
	for _, replica := range m.replicas {
		if replica.state != cluster.ReplicaLoaded || replica.model.queue.Len() == 0 {
			continue
		}
		until := r.unavailableUntil(replica.model)
		if until == 0 {
			continue
		}
		for _, waiting := range replica.model.waitingInOrder() {
			if failure, reason := r.unavailableRefusal(waiting, until); failure != nil {
				r.finish(waiting, failure, reason)
			}
		}
	}
}

// noticeSetting returns the setting that keeps the model's machines from taking requests.
func (r *Router) noticeSetting(m *model) string {
	for _, tier := range m.tiers {
		for _, replica := range tier {
			if replica.machine.turns.blockCause(r.nanos) == FilterResting {
				return settingMachineRest
			}
		}
	}
	return settingMachineLimit
}

// unavailableUntil returns the time until which no machine that holds the model takes requests, by
// rate limits and rest periods; zero if one takes requests or may at any moment.
func (r *Router) unavailableUntil(m *model) int64 {
	var earliest int64
	for _, tier := range m.tiers {
		for _, replica := range tier {
			if replica.machine.leaving() {
				continue
			}
			at := replica.machine.turns.availableAt(r.nanos)
			if at <= r.nanos {
				return 0
			}
			if earliest == 0 || at < earliest {
				earliest = at
			}
		}
	}
	if len(m.loading) > 0 && earliest != 0 {
		ready, known := r.earliestReady(m)
		if !known {
			return 0
		}
		earliest = min(earliest, ready)
	}
	return earliest
}

// unavailableRefusal returns why the request can't be sent in time if no machine that holds the
// model takes requests until the given time, or nil.
func (r *Router) unavailableRefusal(waiting *request, until int64) (*verdict.Error, Explanation) {
	last := r.latestStart(waiting)
	if until <= last {
		return nil, Explanation{}
	}
	left, wait := time.Duration(last-r.nanos), time.Duration(until-r.nanos)
	failure := verdict.New(verdict.NotRun, verdict.CodeDeadlineUnmeetable,
		"the machines that hold the model take no requests for %s, the request can wait %s",
		wait.Round(time.Millisecond), left.Round(time.Millisecond))
	back := max(r.boundRetryAfter(wait), r.retryAfter(waiting.model))
	return failure.After(back), waiting.model.explain(r.noticeSetting(waiting.model), left.Seconds(), wait.Seconds())
}

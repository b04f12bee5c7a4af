package routing

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
)

// settingMachineLimit and settingMachineRest name what machines said of themselves in explanations.
const (
	settingMachineLimit = "limit of machines"
	settingMachineRest  = "rest of machines"
)

// refuseClosed ends requests that wait for the models of a machine and can't be sent in time.
func (r *Router) refuseClosed(m *machine) {
	for _, replica := range m.replicas {
		if replica.state != cluster.ReplicaLoaded || replica.model.queue.Len() == 0 {
			continue
		}
		until := r.closedUntil(replica.model)
		if until == 0 {
			continue
		}
		for _, waiting := range replica.model.waitingInOrder() {
			if failure, reason := r.closedTooLong(waiting, until); failure != nil {
				r.finish(waiting, failure, reason)
			}
		}
	}
}

// bindingNotice names what keeps the model's machines from taking requests.
func (r *Router) bindingNotice(m *model) string {
	for _, tier := range m.tiers {
		for _, replica := range tier {
			if replica.machine.turns.closed(r.nanos) == FilterResting {
				return settingMachineRest
			}
		}
	}
	return settingMachineLimit
}

// closedUntil is until when all machines that hold the model are known to take no requests;
// zero where one takes some or may any moment.
func (r *Router) closedUntil(m *model) int64 {
	var earliest int64
	for _, tier := range m.tiers {
		for _, replica := range tier {
			if replica.machine.leaving() {
				continue
			}
			at := replica.machine.turns.opensAt(r.nanos)
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

// closedTooLong says why the request can't be sent in time though its model is loaded, or nil. No
// machine that holds the model takes requests until a time.
func (r *Router) closedTooLong(waiting *request, until int64) (*verdict.Error, Explanation) {
	last := r.startBy(waiting)
	if until <= last {
		return nil, Explanation{}
	}
	left, wait := time.Duration(last-r.nanos), time.Duration(until-r.nanos)
	failure := verdict.New(verdict.NotRun, verdict.CodeDeadlineUnmeetable,
		"the machines that hold the model take no requests for %s, the request can wait %s",
		wait.Round(time.Millisecond), left.Round(time.Millisecond))
	back := max(r.bounded(wait), r.comeBack(waiting.model))
	return failure.After(back), waiting.model.explain(r.bindingNotice(waiting.model), left.Seconds(), wait.Seconds())
}

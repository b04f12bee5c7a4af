package routing

import (
	"time"

	"github.com/valveslip/valveslip/verdict"
)

const (
	// refusalShare is the part of its objective within which a request is refused that
	// can't be in time; later its caller would gain nothing.
	refusalShare = 0.25
	// heededShare is the part of the time left that a caller waits at most before it
	// comes back.
	heededShare = 1.0 / 3
)

// late says why a request is better refused at once than answered late, or nil: the
// model is being loaded and will be ready after the request's objective, but soon enough
// for the caller to come back when it is. A caller that came back waits.
func (r *Router) late(waiting *request) (*verdict.Error, Explanation) {
	objective, model := int64(waiting.Objective), waiting.model
	if objective == 0 || waiting.Returned || model.loaded > 0 {
		return nil, Explanation{}
	}
	elapsed := r.nanos - waiting.arrived
	if elapsed > int64(refusalShare*float64(objective)) {
		return nil, Explanation{}
	}
	ready, known := r.earliestReady(model)
	wait := ready - r.nanos
	if !known || elapsed+wait <= objective || wait > int64(heededShare*float64(waiting.deadline-r.nanos)) {
		return nil, Explanation{}
	}
	reason := model.explain(settingObjective, waiting.Objective.Seconds(), time.Duration(elapsed+wait).Seconds())
	failure := verdict.New(verdict.NotRun, verdict.CodeDeadlineUnmeetable,
		"the model is expected to be ready in %s, after the objective", time.Duration(wait).Round(time.Millisecond))
	return failure.After(r.bounded(time.Duration(wait))), reason
}

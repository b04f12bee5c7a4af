package fleet

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/placement"
)

// minLoggedDuration is how long a new cause must last before it is logged, because causes may
// alternate from plan to plan.
const minLoggedDuration = 500 * time.Millisecond

// loadDelay is the reason why requests wait for a model without an order.
type loadDelay struct {
	// loggedCause is the cause that was last logged. currentCause is the cause given by the last
	// plan, which has applied since the time since.
	loggedCause, currentCause placement.Cause
	since                     time.Time
}

// explainDelays logs why models that requests wait for get no order. The first cause is logged at
// once, a different one after minLoggedDuration.
func (c *controller) explainDelays(plan *placement.Plan, wanted map[cluster.ModelID]placement.Demand, ordered map[cluster.ModelID]bool) {
	delayed := make(map[cluster.ModelID]loadDelay)
	for i := range plan.Decisions {
		decision := &plan.Decisions[i]
		waiting := wanted[decision.Model].Waiting
		if waiting == 0 || ordered[decision.Model] {
			continue
		}
		next, loggable := c.loadDelays[decision.Model].update(decision.Reason.Cause, c.core.now)
		delayed[decision.Model] = next
		if loggable {
			c.core.log(eventlog.LoadDelayed{
				Work: decision.Model, Cause: string(decision.Reason.Cause), Waiting: waiting,
				Wanted: decision.Wanted, Held: decision.Held, Loaded: decision.Loaded,
				Loading: plan.Store.Loading, Limit: plan.Store.Limit, Starts: plan.Store.Starts,
			})
		}
	}
	c.loadDelays = delayed
}

// update returns the delay after a plan that gives the cause, and whether the cause is to be
// logged.
func (d loadDelay) update(cause placement.Cause, now time.Time) (loadDelay, bool) {
	if cause != d.currentCause {
		d.currentCause, d.since = cause, now
	}
	if cause == d.loggedCause || d.loggedCause != "" && now.Sub(d.since) < minLoggedDuration {
		return d, false
	}
	d.loggedCause = cause
	return d, true
}

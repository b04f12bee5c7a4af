package fleet

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/placement"
)

// lastingDelay is how long another cause of a delay must last to be logged: causes
// alternate from plan to plan.
const lastingDelay = 500 * time.Millisecond

// delay is why requests wait for a model without an order.
type delay struct {
	// logged is the cause that was logged last, current the one of the last plan, which
	// holds since then.
	logged, current placement.Cause
	since           time.Time
}

// explainDelays logs why models that requests wait for get no order: the first cause at
// once, another once it lasts.
func (c *cell) explainDelays(plan *placement.Plan, wanted map[cluster.ModelID]placement.Demand, ordered map[cluster.ModelID]bool) {
	delayed := make(map[cluster.ModelID]delay)
	for i := range plan.Decisions {
		decision := &plan.Decisions[i]
		waiting := wanted[decision.Model].Waiting
		if waiting == 0 || ordered[decision.Model] {
			continue
		}
		next, logs := c.delayed[decision.Model].with(decision.Reason.Cause, c.core.now)
		delayed[decision.Model] = next
		if logs {
			c.core.log(eventlog.LoadDelayed{
				Work: decision.Model, Cause: string(decision.Reason.Cause), Waiting: waiting,
				Wanted: decision.Wanted, Held: decision.Held, Loaded: decision.Loaded,
				Loading: plan.Store.Loading, Limit: plan.Store.Limit, Starts: plan.Store.Starts,
			})
		}
	}
	c.delayed = delayed
}

// with returns the delay after a plan that gives the cause, and whether that is logged.
func (d delay) with(cause placement.Cause, now time.Time) (delay, bool) {
	if cause != d.current {
		d.current, d.since = cause, now
	}
	if cause == d.logged || d.logged != "" && now.Sub(d.since) < lastingDelay {
		return d, false
	}
	d.logged = cause
	return d, true
}

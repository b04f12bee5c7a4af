package fleet

import (
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet/pacing"
	"github.com/valveslip/valveslip/routing"
)

// routingInput takes an event of the request path.
func (c *Core) routingInput(event routing.Event) {
	switch e := event.(type) {
	case routing.RequestArrived:
		c.gate.arrive(e.Request)
		return
	case routing.CallerGone:
		if c.gate.callerGone(e.Request) {
			return
		}
	case routing.AttemptEnded:
		c.gate.attemptEnded(&e)
	case routing.FirstByteSent:
		if c.dispatching != nil {
			c.dispatching.firstByteSent(e.Request)
		}
	}
	c.routing(event)
}

// routing feeds the router, and then what the gate ended meanwhile.
func (c *Core) routing(event routing.Event) {
	c.routerStep(event)
	c.endWithheld()
}

// endWithheld tells the router of what the gate ended, once its effects are taken.
func (c *Core) endWithheld() {
	for c.depth == 0 && len(c.withheld) > 0 {
		next := c.withheld[0]
		c.withheld = c.withheld[1:]
		c.routerStep(next)
	}
}

// routerStep feeds one event to the router and takes its effects.
func (c *Core) routerStep(event routing.Event) {
	c.depth++
	defer func() { c.depth-- }()
	c.noteForDispatcher(event)
	for _, effect := range c.router.Step(c.now, event) {
		switch e := effect.(type) {
		case routing.StatusNeeded:
		case routing.PoisonFound:
			c.poison.found(e.Records)
		case routing.TurnWanted:
			c.pacer.step(pacing.TurnRequested{Machine: e.Machine, PerSecond: e.PerSecond})
		case routing.MachineLeavingFound:
			c.leavingFound(&e)
		case routing.MachineRestFound:
			c.restFound(&e)
		case routing.MachineLimitFound:
			c.pacer.found(&e)
		case routing.PoisonTestWanted:
			c.poison.testWanted(e.Content)
		case routing.Dispatch:
			if c.dispatching == nil || !c.dispatching.dispatch(&e) {
				c.gate.dispatch(e)
			}
		case routing.Finish:
			c.gate.finished(e.Request)
			if c.dispatching != nil {
				c.dispatching.finished(e.Request)
			}
			c.emit(RoutingOutput{Effect: e})
		default:
			c.emit(RoutingOutput{Effect: effect})
		}
	}
}

// leavingFound takes an answer's word that its machine leaves. What waits for the machine looks for
// another.
func (c *Core) leavingFound(e *routing.MachineLeavingFound) {
	c.log(eventlog.WorkerLeaving{Machine: e.Machine, Request: e.Request})
	if c.dispatching != nil {
		c.dispatching.machineLeft(e.Machine)
	}
	c.cell.news = true
}

// restFound takes an answer's word that its machine wants nothing from this node for a time. What
// waits for the machine looks for another.
func (c *Core) restFound(e *routing.MachineRestFound) {
	c.log(eventlog.WorkerRests{Machine: e.Machine, Request: e.Request, Rest: e.Rest})
	if c.dispatching != nil {
		c.dispatching.machineLeft(e.Machine)
	}
}

// noteForDispatcher tells who places attempts of what the router is about to learn.
func (c *Core) noteForDispatcher(event routing.Event) {
	if c.dispatching == nil {
		return
	}
	switch e := event.(type) {
	case routing.RequestArrived:
		c.dispatching.arrived(&e.Request)
	case routing.AttemptEnded:
		c.dispatching.attemptEnded(&e)
	}
}

package fleet

import (
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet/pacing"
	"github.com/valveslip/valveslip/routing"
)

// handleRoutingInput handles an event of the request path.
func (c *Core) handleRoutingInput(event routing.Event) {
	switch e := event.(type) {
	case routing.RequestArrived:
		c.resumptions.admit(e.Request)
		return
	case routing.CallerGone:
		if c.resumptions.callerGone(e.Request) || c.gate.callerGone(e.Request) {
			return
		}
	case routing.MachineStartFound:
		c.releases.startFound(e.Machine, e.Start)
	case routing.AttemptEnded:
		c.gate.attemptEnded(&e)
	case routing.FirstByteSent:
		if c.dispatchClient != nil {
			c.dispatchClient.firstByteSent(e.Request)
		}
	}
	c.feedRouter(event)
}

// feedRouter hands an event to the router, and then the attempts that the gate ended meanwhile.
func (c *Core) feedRouter(event routing.Event) {
	c.routerStep(event)
	c.reportWithheld()
}

// reportWithheld reports the attempts that the gate ended to the router, once no router step is
// being handled.
func (c *Core) reportWithheld() {
	for c.routerDepth == 0 && len(c.withheldAttempts) > 0 {
		next := c.withheldAttempts[0]
		c.withheldAttempts = c.withheldAttempts[1:]
		c.routerStep(next)
	}
}

// routerStep hands one event to the router and handles its effects.
func (c *Core) routerStep(event routing.Event) {
	c.routerDepth++
	defer func() { c.routerDepth-- }()
	c.notifyDispatchClient(event)
	for _, effect := range c.router.Step(c.now, event) {
		switch e := effect.(type) {
		case routing.StatusNeeded:
		case routing.StreamBegan:
			c.resumptions.began(e)
		case routing.PoisonFound:
			c.poison.recordsFound(e.Records)
		case routing.TurnWanted:
			c.pacer.step(pacing.TurnRequested{Machine: e.Machine, PerSecond: e.PerSecond, Slots: e.Concurrency, StatedPerSecond: e.StatedPerSecond})
		case routing.TurnReleased:
			c.pacer.step(pacing.TurnReturned{Machine: e.Machine, Number: e.Turn.Number, By: e.Turn.By})
		case routing.MachineLeavingFound:
			c.machineLeaving(&e)
		case routing.MachineRestFound:
			c.machineResting(&e)
		case routing.MachineLimitChanged:
			c.pacer.broadcastLimit(&e)
		case routing.RequestHeldBack:
			c.log(eventlog.RequestHeld{Request: e.Request, Behind: e.Behind, Content: e.Content.String()})
		case routing.PoisonProbeWanted:
			if !c.poison.claimProbe(e.Content) {
				c.feedRouter(routing.PoisonProbeDenied(e))
			}
		case routing.PoisonProbeSilent:
			c.poison.returnProbe(e.Content)
		case routing.Dispatch:
			if c.dispatchClient == nil || !c.dispatchClient.dispatch(&e) {
				c.gate.dispatch(e)
			}
		case routing.Finish:
			c.gate.requestFinished(e.Request)
			if c.dispatchClient != nil {
				c.dispatchClient.requestFinished(e.Request)
			}
			c.emit(RoutingOutput{Effect: e})
		default:
			c.emit(RoutingOutput{Effect: effect})
		}
	}
}

// machineLeaving handles a response header by which a machine announces that it leaves. Attempts
// that are held for the machine are placed elsewhere.
func (c *Core) machineLeaving(e *routing.MachineLeavingFound) {
	c.log(eventlog.WorkerLeaving{Machine: e.Machine, Request: e.Request})
	if c.dispatchClient != nil {
		c.dispatchClient.releaseHeldFor(e.Machine)
	}
	c.controller.planStale = true
}

// machineResting handles a response header by which a machine asks for no requests from this node
// for a while. Attempts that are held for the machine are placed elsewhere.
func (c *Core) machineResting(e *routing.MachineRestFound) {
	c.log(eventlog.WorkerRests{Machine: e.Machine, Request: e.Request, Rest: e.Rest})
	if c.dispatchClient != nil {
		c.dispatchClient.releaseHeldFor(e.Machine)
	}
}

// notifyDispatchClient passes router events to the dispatch client before the router handles
// them.
func (c *Core) notifyDispatchClient(event routing.Event) {
	if c.dispatchClient == nil {
		return
	}
	switch e := event.(type) {
	case routing.RequestArrived:
		c.dispatchClient.requestArrived(&e.Request)
	case routing.AttemptEnded:
		c.dispatchClient.attemptEnded(&e)
	}
}

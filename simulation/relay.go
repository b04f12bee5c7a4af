package simulation

import (
	"sort"
	"time"

	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
)

// relayedAttempt is one dispatch on its way to an engine and back.
type relayedAttempt struct {
	callers  *Callers
	from     *Node
	run      int
	request  *request
	dispatch routing.Dispatch
	timer    Timer
	settled  bool
}

// dispatch runs an attempt on the engine that the routing core chose.
func (c *Callers) dispatch(from *Node, dispatch routing.Dispatch) {
	w := c.world
	current, ok := c.requests[dispatch.Request]
	if !ok {
		return
	}
	current.attempt, current.machine, current.received = dispatch.Attempt, dispatch.Machine, answer{}
	current.result.Waited = w.Kernel.Now().Sub(current.result.Arrival.At)
	attempt := &relayedAttempt{callers: c, from: from, run: from.run, request: current, dispatch: dispatch}
	machine, ok := w.engines[dispatch.Machine]
	if !ok || !w.Network.Reachable(from.Place, machine.place()) {
		attempt.end(connectTimeout, routing.AttemptEnded{Failure: unreachable()})
		return
	}
	attempt.timer = w.Kernel.At(dispatch.Deadline, LabelDispatch, attempt.expire)
	w.Kernel.After(w.Network.Delay(from.Place, machine.place()), LabelDispatch, func() { attempt.reach(machine) })
}

// unreachable is the failure of an attempt that never reached its engine.
func unreachable() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeEngineFailed, "engine unreachable")
}

// reach presents the request to the engine.
func (a *relayedAttempt) reach(machine *Engine) {
	if a.from.run != a.run || !a.from.alive || a.settled {
		return // the connection is gone before the engine read the request
	}
	arrival := &a.request.result.Arrival
	refusal := machine.Run(Run{
		Request: a.dispatch.Request, Attempt: a.dispatch.Attempt, Model: a.dispatch.Model, Version: a.dispatch.Version,
		Priority: arrival.Priority, PromptTokens: arrival.PromptTokens, Tokens: arrival.Tokens, Prefixes: arrival.Prefixes,
		FirstToken: func() { a.back(machine, a.firstToken) },
		Done:       func() { a.back(machine, a.done) },
		Cut:        func() { a.back(machine, a.cut) },
	})
	if refusal == Accepted {
		return
	}
	there := a.callers.world.Network.Delay(machine.place(), a.from.Place)
	a.end(there, routing.AttemptEnded{
		Failure:    verdict.New(verdict.NotRun, verdict.CodeEngineRefused, "engine refused"),
		EngineFull: refusal == RefusedFull, ModelMissing: refusal == RefusedMissing,
	})
}

// back carries something from the engine to the node. What cannot pass is
// noticed at the attempt's deadline.
func (a *relayedAttempt) back(machine *Engine, arrive func()) {
	w := a.callers.world
	if !w.Network.Reachable(machine.place(), a.from.Place) {
		return
	}
	w.Kernel.After(w.Network.Delay(machine.place(), a.from.Place), LabelAnswer, func() {
		if a.from.run == a.run && a.from.alive && !a.settled {
			arrive()
		}
	})
}

// firstToken passes the first byte on to the caller.
func (a *relayedAttempt) firstToken() {
	if a.request.result.FirstToken.IsZero() {
		a.request.result.FirstToken = a.callers.world.Kernel.Now()
	}
	a.input(routing.FirstByteSent{Request: a.dispatch.Request})
}

// done takes the whole answer.
func (a *relayedAttempt) done() {
	tokens := a.request.result.Arrival.Tokens
	received := answer{request: a.dispatch.Request, attempt: a.dispatch.Attempt, tokens: tokens}
	if tamper := a.callers.world.config.Tamper.Answer; tamper != nil {
		tamper(&received.request, &received.tokens)
	}
	a.request.received = received
	a.end(0, routing.AttemptEnded{Tokens: tokens})
}

// cut reports a broken stream.
func (a *relayedAttempt) cut() {
	a.end(0, routing.AttemptEnded{Failure: verdict.New(verdict.Ran, verdict.CodeStreamCut, "engine broke the stream")})
}

// expire gives the attempt up at its deadline.
func (a *relayedAttempt) expire() {
	if a.from.run != a.run || !a.from.alive || a.settled {
		return
	}
	a.callers.cancel(a.from, routing.CancelAttempt{
		Request: a.dispatch.Request, Attempt: a.dispatch.Attempt, Machine: a.dispatch.Machine,
	})
	a.end(0, routing.AttemptEnded{
		Failure: verdict.New(verdict.MayHaveRun, verdict.CodeDeadlineExceeded, "attempt passed its deadline"),
	})
}

// end reports the attempt's end to the routing core after a delay.
func (a *relayedAttempt) end(after time.Duration, ended routing.AttemptEnded) {
	if a.settled {
		return
	}
	a.settled = true
	a.timer.Cancel()
	ended.Request, ended.Attempt = a.dispatch.Request, a.dispatch.Attempt
	a.callers.world.Kernel.After(after, LabelAnswer, func() { a.input(ended) })
}

// input passes a routing event to the node that holds the request.
func (a *relayedAttempt) input(event routing.Event) {
	a.from.deliverTo(a.run, node.RoutingInput{Event: event})
}

// sortRequests orders requests by ID.
func sortRequests(requests []*request) {
	sort.Slice(requests, func(i, j int) bool { return requests[i].id < requests[j].id })
}

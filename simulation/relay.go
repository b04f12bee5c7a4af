package simulation

import (
	"sort"
	"time"

	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
)

// relayedAttempt is one attempt that a node relays to an engine.
type relayedAttempt struct {
	callers     *Callers
	from        *Node
	incarnation int
	request     *request
	dispatch    routing.Dispatch
	timer       Timer
	ended       bool
}

// dispatch relays an attempt to the engine that the routing core chose.
func (c *Callers) dispatch(from *Node, dispatch routing.Dispatch) {
	w := c.world
	current, ok := c.requests[dispatch.Request]
	if !ok {
		return
	}
	current.attempt, current.machine, current.received = dispatch.Attempt, dispatch.Machine, receivedAnswer{}
	current.result.Waited = w.Kernel.Now().Sub(current.result.Arrival.At)
	attempt := &relayedAttempt{callers: c, from: from, incarnation: from.incarnation, request: current, dispatch: dispatch}
	machine, ok := w.engines[dispatch.Machine]
	if !ok || !w.Network.Reachable(from.Place, machine.place()) {
		attempt.end(connectTimeout, routing.AttemptEnded{Failure: unreachable()})
		return
	}
	attempt.timer = w.Kernel.At(dispatch.Deadline, LabelDispatch, attempt.expire)
	w.Kernel.After(w.Network.Delay(from.Place, machine.place()), LabelDispatch, func() { attempt.startOn(machine) })
}

// unreachable returns the failure of an attempt that never reached its engine.
func unreachable() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeEngineFailed, "engine unreachable")
}

// startOn starts the attempt on the engine that it has reached.
func (a *relayedAttempt) startOn(machine *Engine) {
	if a.from.incarnation != a.incarnation || !a.from.alive || a.ended {
		return // the connection closed before the engine read the request
	}
	arrival := &a.request.result.Arrival
	refusal := machine.Run(Run{
		Request: a.dispatch.Request, Attempt: a.dispatch.Attempt, Model: a.dispatch.Model, Version: a.dispatch.Version,
		Priority: arrival.Priority, PromptTokens: arrival.PromptTokens, Tokens: arrival.Tokens, Prefixes: arrival.Prefixes,
		FirstToken:   func() { a.sendBack(machine, a.recordFirstToken) },
		Done:         func() { a.sendBack(machine, a.recordAnswer) },
		StreamBroken: func() { a.sendBack(machine, a.streamBroken) },
	})
	if refusal == Accepted {
		return
	}
	delay := a.callers.world.Network.Delay(machine.place(), a.from.Place)
	a.end(delay, routing.AttemptEnded{
		Failure:    verdict.New(verdict.NotRun, verdict.CodeEngineRefused, "engine refused"),
		EngineFull: refusal == RefusedFull, ModelMissing: refusal == RefusedMissing,
	})
}

// sendBack calls arrive after the delay from the engine to the node. If the node
// is unreachable, the attempt ends at its deadline instead.
func (a *relayedAttempt) sendBack(machine *Engine, arrive func()) {
	w := a.callers.world
	if !w.Network.Reachable(machine.place(), a.from.Place) {
		return
	}
	w.Kernel.After(w.Network.Delay(machine.place(), a.from.Place), LabelAnswer, func() {
		if a.from.incarnation == a.incarnation && a.from.alive && !a.ended {
			arrive()
		}
	})
}

// recordFirstToken records the first byte and reports it to the routing core.
func (a *relayedAttempt) recordFirstToken() {
	if a.request.result.FirstToken.IsZero() {
		a.request.result.FirstToken = a.callers.world.Kernel.Now()
	}
	a.deliverEvent(routing.FirstByteSent{Request: a.dispatch.Request})
}

// recordAnswer records the whole answer and ends the attempt.
func (a *relayedAttempt) recordAnswer() {
	tokens := a.request.result.Arrival.Tokens
	received := receivedAnswer{request: a.dispatch.Request, attempt: a.dispatch.Attempt, tokens: tokens}
	if tamper := a.callers.world.config.Tamper.Answer; tamper != nil {
		tamper(&received.request, &received.tokens)
	}
	a.request.received = received
	a.end(0, routing.AttemptEnded{Tokens: tokens})
}

// streamBroken ends the attempt with the failure of a broken stream.
func (a *relayedAttempt) streamBroken() {
	a.end(0, routing.AttemptEnded{Failure: verdict.New(verdict.Ran, verdict.CodeStreamCut, "engine broke the stream")})
}

// expire cancels and ends the attempt at its deadline.
func (a *relayedAttempt) expire() {
	if a.from.incarnation != a.incarnation || !a.from.alive || a.ended {
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
	if a.ended {
		return
	}
	a.ended = true
	a.timer.Cancel()
	ended.Request, ended.Attempt = a.dispatch.Request, a.dispatch.Attempt
	a.callers.world.Kernel.After(after, LabelAnswer, func() { a.deliverEvent(ended) })
}

// deliverEvent delivers a routing event to the node that dispatched the attempt.
func (a *relayedAttempt) deliverEvent(event routing.Event) {
	a.from.deliverTo(a.incarnation, node.RoutingInput{Event: event})
}

// sortRequests orders requests by ID.
func sortRequests(requests []*request) {
	sort.Slice(requests, func(i, j int) bool { return requests[i].id < requests[j].id })
}

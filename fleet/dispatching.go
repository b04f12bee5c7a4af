package fleet

import (
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet/dispatch"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

// dispatching has attempts at engines placed by the dispatcher of all nodes before they are
// sent, and tells it what becomes of them.
type dispatching struct {
	core  *Core
	place *dispatch.Core
	// requests that have not ended, as the dispatcher is asked for them.
	requests map[cluster.RequestID]*placedRequest
	// asked are those whose question has no answer, by its number.
	asked   map[int64]*placedRequest
	numbers int64
	// held are those that wait for their time.
	held   map[cluster.RequestID]*placedRequest
	counts DispatchCounts
}

// DispatchCounts counts how attempts at engines were placed.
type DispatchCounts struct {
	// Asked counts the questions to dispatchers, Unanswered those to which no answer came in
	// time, Held the attempts that were to wait for their engine.
	Asked, Unanswered, Held int
	// Known are the attempts of all nodes that this one knows as the dispatcher.
	Known int
}

// placedRequest is a request to an engine that has not ended.
type placedRequest struct {
	request routing.Request
	arrived time.Time
	attempt cluster.Attempt
	// number of the question for the present attempt.
	number  int64
	askedAt time.Time
	// answer to it, and when the attempt is to be sent.
	answer dispatch.Answered
	sendAt time.Time
	// sent is set once the attempt goes to its machine, begun once the answer has begun.
	sent, begun bool
}

// mostUrgent is the priority of requests of rank 0.
const mostUrgent = 9

// limitedDelay is the longest time for which an attempt is kept whose tenant's tokens are
// granted: they last 400 ms, of which a dispatch leaves 150, and 50 are left for the question to
// the dispatcher.
const limitedDelay = 200 * time.Millisecond

func newDispatching(core *Core) *dispatching {
	d := &dispatching{
		core: core, requests: map[cluster.RequestID]*placedRequest{}, asked: map[int64]*placedRequest{},
		held: map[cluster.RequestID]*placedRequest{},
	}
	d.place = dispatch.New(dispatch.Config{Self: core.config.Self.dispatcher(), CacheTokens: d.cacheTokens, Fetches: core.config.Fetches, Work: core.config.Work})
	return d
}

// dispatcher is the node as dispatchers are chosen from.
func (e *NodeEntry) dispatcher() dispatch.Peer {
	return dispatch.Peer{ID: e.ID, Address: e.Address, Machine: e.Machine, Capacity: e.Capacity}
}

// cacheTokens is how many tokens of prompts the engines of a model keep.
func (d *dispatching) cacheTokens(model cluster.ModelID) int {
	service, _, _ := catalog.Split(model)
	if known := d.core.compiled.Service(service); known != nil && known.Engine != nil {
		return known.Engine.CacheTokens
	}
	return 0
}

// concerns reports whether requests for a model go to engines.
func (d *dispatching) concerns(model cluster.ModelID) bool {
	_, name, _ := catalog.Split(model)
	return name != ""
}

// arrived notes a request that goes to engines.
func (d *dispatching) arrived(r *routing.Request) {
	if d.concerns(r.Model) {
		d.requests[r.ID] = &placedRequest{request: *r, arrived: d.core.now}
	}
}

// dispatch takes an attempt that the router decided on, and reports whether it is kept until
// the dispatcher has answered.
func (d *dispatching) dispatch(decided *routing.Dispatch) bool {
	p := d.requests[decided.Request]
	if p == nil {
		return false
	}
	if len(decided.Alternatives) == 0 {
		d.send(p, decided)
		return false
	}
	d.end(p, p.sent)
	d.numbers++
	if d.numbers == 1 {
		// Answers to an earlier process of the machine are no answers to this one.
		d.numbers = d.core.now.UnixNano()
	}
	*p = placedRequest{request: p.request, arrived: p.arrived, begun: p.begun, attempt: decided.Attempt, number: d.numbers, askedAt: d.core.now}
	d.asked[p.number] = p
	d.counts.Asked++
	candidates := make([]wire.EngineCandidate, len(decided.Alternatives))
	for i, a := range decided.Alternatives {
		candidates[i] = wire.EngineCandidate{Machine: a.Machine, Penalty: a.Penalty}
	}
	d.step(dispatch.Asked{Number: p.number, Work: d.work(p), Candidates: candidates})
	return true
}

// work is what the request asks of an engine now.
func (d *dispatching) work(p *placedRequest) wire.EngineWork {
	r := &p.request
	w := wire.EngineWork{
		Model: r.Model, PromptTokens: r.PromptTokens, OutputTokens: r.LengthHint, Rank: mostUrgent - r.Priority, LongestPause: r.LongestPause,
		Objective: d.objective(p), Left: r.Deadline.Sub(d.core.now),
	}
	if w.OutputTokens <= 0 || w.OutputTokens > r.MaxTokens {
		w.OutputTokens = r.MaxTokens
	}
	for i := range min(len(r.Prefixes), len(r.PrefixTokens)) {
		w.Prefixes = append(w.Prefixes, wire.PromptPrefix{Hash: r.Prefixes[i], Tokens: r.PrefixTokens[i]})
	}
	return w
}

// objective is the time that is left until the next event is late: the first, or, of an answer
// that has begun, the one after the longest pause that its caller bears.
func (d *dispatching) objective(p *placedRequest) time.Duration {
	r := &p.request
	switch {
	case p.begun && r.LongestPause > 0:
		return r.LongestPause
	case p.begun || r.Objective <= 0:
		return r.Deadline.Sub(d.core.now)
	}
	return r.Objective - d.core.now.Sub(p.arrived)
}

// send notes an attempt that goes to its machine now.
func (d *dispatching) send(p *placedRequest, decided *routing.Dispatch) {
	p.sent = true
	d.step(dispatch.Sent{Number: p.number, Machine: decided.Machine, Answered: p.answer.Machine, Work: d.work(p), Resumed: p.begun})
}

// step feeds the dispatching core and carries its effects out.
func (d *dispatching) step(event dispatch.Event) {
	effects := d.place.Step(d.core.now, event)
	for _, effect := range append([]dispatch.Effect(nil), effects...) {
		switch e := effect.(type) {
		case dispatch.Send:
			d.core.send(e.Address, e.Message)
		case dispatch.Answered:
			d.answered(&e)
		case dispatch.DispatcherChanged:
			d.core.log(eventlog.DispatcherChanged{Dispatcher: e.Dispatcher, Silent: e.Silent, InFlight: len(d.requests)})
		}
	}
}

// answered takes the answer to a question; the attempt is sent when its time has come.
func (d *dispatching) answered(e *dispatch.Answered) {
	p := d.asked[e.Number]
	if p == nil {
		return
	}
	delete(d.asked, e.Number)
	if e.Machine == "" {
		d.counts.Unanswered++
	}
	if e.Delay > 0 {
		d.counts.Held++
	}
	if e.Delay > limitedDelay && d.core.gate.limits(p.request.ID) {
		e.Delay = limitedDelay
	}
	if p.begun {
		// Half of an answer is worth nothing, and machines refuse what gives way to all others
		// first: of 242 continuations on a day with changes of demand, 106 were sent so.
		e.Forecast.Background = false
	}
	e.Forecast.FetchAddress = d.core.view.addressOf(e.Forecast.Fetch)
	p.answer, p.sendAt = *e, d.core.now.Add(e.Delay)
	d.held[p.request.ID] = p
}

// tick sends what has waited for its time, and lets the dispatching core's time pass.
func (d *dispatching) tick() {
	if due := d.place.NextDue(); !due.IsZero() && !d.core.now.Before(due) {
		d.step(dispatch.Tick{})
	}
	for {
		next := d.first()
		if next == nil || d.core.now.Before(next.sendAt) {
			return
		}
		delete(d.held, next.request.ID)
		d.core.routing(routing.AttemptPlaced{
			Request: next.request.ID, Attempt: next.attempt, Machine: next.answer.Machine,
			Held: d.core.now.Sub(next.askedAt), Forecast: next.answer.Forecast,
		})
	}
}

// machineLeft has what waits for a machine that leaves, is gone or wants nothing look for another
// at once.
func (d *dispatching) machineLeft(id cluster.MachineID) {
	for _, p := range d.held {
		if p.answer.Machine == id {
			p.sendAt = d.core.now
		}
	}
}

// first returns the held request that is sent first, nil without one.
func (d *dispatching) first() *placedRequest {
	var next *placedRequest
	for _, p := range d.held {
		if next == nil || p.sendAt.Before(next.sendAt) || p.sendAt.Equal(next.sendAt) && p.number < next.number {
			next = p
		}
	}
	return next
}

// due returns when the next tick has something to do.
func (d *dispatching) due() time.Time {
	next := d.place.NextDue()
	if first := d.first(); first != nil {
		next = earliest(next, first.sendAt)
	}
	return next
}

// firstByteSent tells the dispatcher that an answer has begun.
func (d *dispatching) firstByteSent(id cluster.RequestID) {
	if p := d.requests[id]; p != nil && p.sent {
		p.begun = true
		d.step(dispatch.Began{Number: p.number})
	}
}

// attemptEnded tells the dispatcher that an attempt has ended.
func (d *dispatching) attemptEnded(e *routing.AttemptEnded) {
	if p := d.requests[e.Request]; p != nil && p.attempt == e.Attempt {
		d.end(p, e.Failure == nil || e.Failure.Verdict != verdict.NotRun)
	}
}

// end tells the dispatcher that the present attempt takes nothing of its machine any more.
func (d *dispatching) end(p *placedRequest, read bool) {
	if p.number == 0 {
		return
	}
	delete(d.asked, p.number)
	delete(d.held, p.request.ID)
	d.step(dispatch.Ended{Number: p.number, Read: read})
	p.number, p.sent = 0, false
}

// finished forgets a request that has ended.
func (d *dispatching) finished(id cluster.RequestID) {
	if p := d.requests[id]; p != nil {
		delete(d.requests, id)
		d.end(p, p.sent)
	}
}

// unloaded tells who places attempts that an engine gave a model up.
func (c *Core) unloaded(machine cluster.MachineID, model cluster.ModelID) {
	if c.dispatching != nil {
		c.dispatching.step(dispatch.Unloaded{Machine: machine, Model: model})
	}
}

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

// dispatchClient has the dispatcher of all nodes place attempts at engines before they are sent,
// and reports their progress to it.
type dispatchClient struct {
	core       *Core
	dispatcher *dispatch.Core
	// requests are the engine requests that have not ended.
	requests map[cluster.RequestID]*placedRequest
	// pending are the requests whose placement question is unanswered, by the question's number.
	pending    map[int64]*placedRequest
	lastNumber int64
	// held are the placed requests that wait for their send time.
	held   map[cluster.RequestID]*placedRequest
	counts DispatchCounts
}

// DispatchCounts counts how attempts at engines were placed.
type DispatchCounts struct {
	// Asked counts the questions to dispatchers, Unanswered those that were not answered in time,
	// and Held the attempts that had to wait for their engine.
	Asked, Unanswered, Held int
	// Known is the number of attempts of all nodes that this node tracks as the dispatcher.
	Known int
}

// placedRequest is an engine request that has not ended.
type placedRequest struct {
	request   routing.Request
	arrivedAt time.Time
	attempt   cluster.Attempt
	// number identifies the question for the current attempt.
	number  int64
	askedAt time.Time
	// answer is the dispatcher's answer, and sendAt the time at which the attempt is to be sent.
	answer dispatch.PlacementAnswered
	sendAt time.Time
	// sent is set once the attempt goes to its machine, answerBegun once the caller has received
	// the first byte.
	sent, answerBegun bool
}

// maxPriority is the request priority that corresponds to rank 0.
const maxPriority = 9

// maxLimitedHold is the longest time for which an attempt that uses granted tokens is held. The
// tokens are valid for 400 ms, of which the dispatch needs 150 ms and the question to the
// dispatcher 50 ms.
const maxLimitedHold = 200 * time.Millisecond

func newDispatchClient(core *Core) *dispatchClient {
	d := &dispatchClient{
		core: core, requests: map[cluster.RequestID]*placedRequest{}, pending: map[int64]*placedRequest{},
		held: map[cluster.RequestID]*placedRequest{},
	}
	d.dispatcher = dispatch.New(dispatch.Config{Self: core.config.Self.dispatchPeer(), CacheTokens: d.cacheTokens, FetchesCachedPrefixes: core.config.FetchesCachedPrefixes, Work: core.config.Work})
	return d
}

// dispatchPeer returns the node as a peer of package dispatch.
func (e *NodeEntry) dispatchPeer() dispatch.Peer {
	return dispatch.Peer{ID: e.ID, Address: e.Address, Machine: e.Machine, Capacity: e.Capacity}
}

// cacheTokens returns the number of prompt tokens that an engine of the model caches.
func (d *dispatchClient) cacheTokens(model cluster.ModelID) int {
	service, _, _ := catalog.Split(model)
	if known := d.core.compiled.Service(service); known != nil && known.Engine != nil {
		return known.Engine.CacheTokens
	}
	return 0
}

// targetsEngines reports whether requests for a model go to engines.
func (d *dispatchClient) targetsEngines(model cluster.ModelID) bool {
	_, name, _ := catalog.Split(model)
	return name != ""
}

// requestArrived tracks a request that goes to engines.
func (d *dispatchClient) requestArrived(request *routing.Request) {
	if d.targetsEngines(request.Model) {
		d.requests[request.ID] = &placedRequest{request: *request, arrivedAt: d.core.now}
	}
}

// dispatch handles an attempt that the router decided on. It reports whether the attempt is kept
// until the dispatcher has answered.
func (d *dispatchClient) dispatch(decided *routing.Dispatch) bool {
	p := d.requests[decided.Request]
	if p == nil {
		return false
	}
	if len(decided.Alternatives) == 0 {
		d.recordSend(p, decided)
		return false
	}
	d.endAttempt(p, p.sent)
	d.lastNumber++
	if d.lastNumber == 1 {
		// Numbers start at the clock's time, so that answers to an earlier process of this
		// machine match no question of this one.
		d.lastNumber = d.core.now.UnixNano()
	}
	*p = placedRequest{request: p.request, arrivedAt: p.arrivedAt, answerBegun: p.answerBegun, attempt: decided.Attempt, number: d.lastNumber, askedAt: d.core.now}
	d.pending[p.number] = p
	d.counts.Asked++
	candidates := make([]wire.EngineCandidate, len(decided.Alternatives))
	for i, a := range decided.Alternatives {
		candidates[i] = wire.EngineCandidate{Machine: a.Machine, Penalty: a.Penalty}
	}
	d.step(dispatch.PlacementRequested{Number: p.number, Work: d.engineWork(p), Candidates: candidates})
	return true
}

// engineWork describes what the request currently requires of an engine.
func (d *dispatchClient) engineWork(p *placedRequest) wire.EngineWork {
	r := &p.request
	work := wire.EngineWork{
		Model: r.Model, PromptTokens: r.PromptTokens, OutputTokens: r.LengthHint, Rank: maxPriority - r.Priority, LongestPause: r.LongestPause,
		Objective: d.remainingObjective(p), Left: r.Deadline.Sub(d.core.now),
	}
	if work.OutputTokens <= 0 || work.OutputTokens > r.MaxTokens {
		work.OutputTokens = r.MaxTokens
	}
	for i := range min(len(r.Prefixes), len(r.PrefixTokens)) {
		work.Prefixes = append(work.Prefixes, wire.PromptPrefix{Hash: r.Prefixes[i], Tokens: r.PrefixTokens[i]})
	}
	return work
}

// remainingObjective returns the time until the next event of the answer is late. For an answer
// that has begun, that is the longest pause that its caller accepts.
func (d *dispatchClient) remainingObjective(p *placedRequest) time.Duration {
	r := &p.request
	switch {
	case p.answerBegun && r.LongestPause > 0:
		return r.LongestPause
	case p.answerBegun || r.Objective <= 0:
		return r.Deadline.Sub(d.core.now)
	}
	return r.Objective - d.core.now.Sub(p.arrivedAt)
}

// recordSend reports an attempt that is sent to its machine now.
func (d *dispatchClient) recordSend(p *placedRequest, decided *routing.Dispatch) {
	p.sent = true
	d.step(dispatch.AttemptSent{Number: p.number, Machine: decided.Machine, Answered: p.answer.Machine, Work: d.engineWork(p), Resumed: p.answerBegun})
}

// step hands an event to the dispatching core and carries out its effects.
func (d *dispatchClient) step(event dispatch.Event) {
	effects := d.dispatcher.Step(d.core.now, event)
	for _, effect := range append([]dispatch.Effect(nil), effects...) {
		switch e := effect.(type) {
		case dispatch.Send:
			d.core.send(e.Address, e.Message)
		case dispatch.PlacementAnswered:
			d.handleAnswer(&e)
		case dispatch.DispatcherChanged:
			d.core.log(eventlog.DispatcherChanged{Dispatcher: e.Dispatcher, Silent: e.Silent, InFlight: len(d.requests)})
		}
	}
}

// handleAnswer handles the answer to a question and holds the attempt until its send time.
func (d *dispatchClient) handleAnswer(e *dispatch.PlacementAnswered) {
	p := d.pending[e.Number]
	if p == nil {
		return
	}
	delete(d.pending, e.Number)
	if e.Machine == "" {
		d.counts.Unanswered++
	}
	if e.Delay > 0 {
		d.counts.Held++
	}
	if e.Delay > maxLimitedHold && d.core.gate.usesGrantedTokens(p.request.ID) {
		e.Delay = maxLimitedHold
	}
	if p.answerBegun {
		// A partial answer is worthless to its caller, and machines reject low-priority requests
		// first: on a day with changing demand, 106 of 242 continuations were sent as background
		// work.
		e.Forecast.Background = false
	}
	e.Forecast.FetchAddress = d.core.view.addressOf(e.Forecast.Fetch)
	p.answer, p.sendAt = *e, d.core.now.Add(e.Delay)
	d.held[p.request.ID] = p
}

// tick advances the dispatching core's time and sends the held attempts that are due.
func (d *dispatchClient) tick() {
	if due := d.dispatcher.NextDue(); !due.IsZero() && !d.core.now.Before(due) {
		d.step(dispatch.Tick{})
	}
	for {
		next := d.nextHeld()
		if next == nil || d.core.now.Before(next.sendAt) {
			return
		}
		delete(d.held, next.request.ID)
		d.core.feedRouter(routing.AttemptPlaced{
			Request: next.request.ID, Attempt: next.attempt, Machine: next.answer.Machine,
			Held: d.core.now.Sub(next.askedAt), Forecast: next.answer.Forecast,
		})
	}
}

// releaseHeldFor makes the attempts held for a machine due at once. It is called when the machine
// leaves, is gone or accepts no requests, so that the attempts are placed elsewhere.
func (d *dispatchClient) releaseHeldFor(id cluster.MachineID) {
	for _, p := range d.held {
		if p.answer.Machine == id {
			p.sendAt = d.core.now
		}
	}
}

// nextHeld returns the held request with the earliest send time, nil for none.
func (d *dispatchClient) nextHeld() *placedRequest {
	var next *placedRequest
	for _, p := range d.held {
		if next == nil || p.sendAt.Before(next.sendAt) || p.sendAt.Equal(next.sendAt) && p.number < next.number {
			next = p
		}
	}
	return next
}

// due returns the time of the next required tick.
func (d *dispatchClient) due() time.Time {
	next := d.dispatcher.NextDue()
	if first := d.nextHeld(); first != nil {
		next = earliest(next, first.sendAt)
	}
	return next
}

// firstByteSent reports to the dispatcher that an answer has begun.
func (d *dispatchClient) firstByteSent(id cluster.RequestID) {
	if p := d.requests[id]; p != nil && p.sent {
		p.answerBegun = true
		d.step(dispatch.FirstEventReceived{Number: p.number})
	}
}

// attemptEnded reports to the dispatcher that an attempt has ended.
func (d *dispatchClient) attemptEnded(e *routing.AttemptEnded) {
	if p := d.requests[e.Request]; p != nil && p.attempt == e.Attempt {
		d.endAttempt(p, e.Failure == nil || e.Failure.Verdict != verdict.NotRun)
	}
}

// endAttempt reports to the dispatcher that the current attempt no longer uses its machine.
// promptRead tells whether the machine has read the prompt.
func (d *dispatchClient) endAttempt(p *placedRequest, promptRead bool) {
	if p.number == 0 {
		return
	}
	delete(d.pending, p.number)
	delete(d.held, p.request.ID)
	d.step(dispatch.AttemptEnded{Number: p.number, Read: promptRead})
	p.number, p.sent = 0, false
}

// requestFinished drops a request that has ended.
func (d *dispatchClient) requestFinished(id cluster.RequestID) {
	if p := d.requests[id]; p != nil {
		delete(d.requests, id)
		d.endAttempt(p, p.sent)
	}
}

// modelUnloaded reports to the dispatching core that an engine has unloaded a model.
func (c *Core) modelUnloaded(machine cluster.MachineID, model cluster.ModelID) {
	if c.dispatchClient != nil {
		c.dispatchClient.step(dispatch.ModelUnloaded{Machine: machine, Model: model})
	}
}

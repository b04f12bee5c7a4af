package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
)

// connectTimeout is how long a node tries to connect to an engine.
const connectTimeout = time.Second

// Callers models the callers of a deployment and the relays of its nodes. It sends
// requests to nodes, runs the attempts that the routing cores dispatch, and passes
// the answers back.
type Callers struct {
	world           *World
	random          *rand.Rand
	requests        map[cluster.RequestID]*request
	sequence        uint64
	sourceScheduled bool
	// Outcomes counts the ended requests, Refusals the refused ones by code.
	Outcomes map[Outcome]int
	Refusals map[verdict.Code]int
	// Arrived counts all requests, Undelivered those for which no node accepted
	// connections.
	Arrived, Undelivered int
}

// request is one request that has not ended.
type request struct {
	id     cluster.RequestID
	result Result
	node   *Node
	// incarnation is that of the node that received the request.
	incarnation int
	// attempt is the last dispatched attempt, zero before the first.
	attempt cluster.Attempt
	machine cluster.MachineID
	// received is the answer to the current attempt, zero before it arrived.
	received receivedAnswer
	ended    bool
}

// receivedAnswer is the answer that a relay received for an attempt.
type receivedAnswer struct {
	request cluster.RequestID
	attempt cluster.Attempt
	tokens  int
}

// newCallers returns callers without requests.
func newCallers(w *World) *Callers {
	return &Callers{
		world: w, random: w.Kernel.Stream("callers"), requests: map[cluster.RequestID]*request{},
		Outcomes: map[Outcome]int{}, Refusals: map[verdict.Code]int{},
	}
}

// Pending returns the number of requests that have not ended.
func (c *Callers) Pending() int { return len(c.requests) }

// send sends a request to a node of the caller's zone, or of another zone if no
// node there accepts connections.
func (c *Callers) send(arrival Arrival) {
	to := c.pickNode(arrival.Zone)
	if to == nil {
		c.Arrived++
		c.Undelivered++
		return
	}
	c.sendTo(to, arrival)
}

// sendTo sends a request to a node.
func (c *Callers) sendTo(to *Node, arrival Arrival) {
	c.Arrived++
	c.sequence++
	added := &request{
		id:     cluster.RequestID(fmt.Sprintf("%s-%d", to.ID, c.sequence)),
		result: Result{Arrival: arrival}, node: to, incarnation: to.incarnation,
	}
	c.requests[added.id] = added
	c.world.Checkers.trackRequest(added)
	input := node.RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
		ID: added.id, Model: arrival.Model, TokenPath: arrival.TokenPath, Team: arrival.Team,
		Priority: arrival.Priority, Deadline: arrival.At.Add(arrival.Deadline), Repeatable: arrival.Repeatable,
		BodyBytes: int64(4 * arrival.PromptTokens), PromptTokens: arrival.PromptTokens,
		MaxTokens: arrival.Tokens, Prefixes: arrival.Prefixes,
	}}}
	c.world.Kernel.After(c.world.config.Deployment.ClientDelay, LabelArrival, func() {
		if to.incarnation != added.incarnation || !to.alive {
			c.loseConnection(added)
			return
		}
		to.deliver(input)
	})
}

// pickNode picks a random node that accepts connections, in the zone if possible.
// It returns nil if no node accepts connections.
func (c *Callers) pickNode(zone cluster.ZoneID) *Node {
	var near, far []*Node
	for _, candidate := range c.world.nodes {
		switch {
		case !candidate.alive || candidate.draining:
		case candidate.Place.Zone == zone:
			near = append(near, candidate)
		default:
			far = append(far, candidate)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return nil
	}
	return near[c.random.IntN(len(near))]
}

// loseConnections ends the requests on a dead process.
func (c *Callers) loseConnections(dead *Node) {
	var lost []*request
	for _, pending := range c.requests {
		if pending.node == dead && pending.incarnation == dead.incarnation {
			lost = append(lost, pending)
		}
	}
	sortRequests(lost)
	for _, pending := range lost {
		c.world.cancelOrphanedAttempt(pending)
		c.loseConnection(pending)
	}
}

// loseConnection ends a request whose node died.
func (c *Callers) loseConnection(broken *request) {
	broken.result.Verdict = verdict.MayHaveRun
	c.recordOutcome(broken, OutcomeConnectionLost)
}

// recordOutcome records the outcome of a request.
func (c *Callers) recordOutcome(ended *request, outcome Outcome) {
	ended.ended = true
	ended.result.Outcome = outcome
	ended.result.Ended = c.world.Kernel.Now()
	delete(c.requests, ended.id)
	c.Outcomes[outcome]++
	if outcome == OutcomeRefused {
		c.Refusals[ended.result.Code]++
	}
	c.world.Checkers.checkOutcome(ended)
	if c.world.config.Finished != nil {
		c.world.config.Finished(ended.result)
	}
}

// applyEffect applies an effect of a routing core to the request path.
func (c *Callers) applyEffect(from *Node, effect routing.Effect) {
	switch e := effect.(type) {
	case routing.Dispatch:
		c.dispatch(from, e)
	case routing.Finish:
		c.finish(e)
	case routing.CancelAttempt:
		c.cancel(from, e)
	}
}

// finish passes the outcome of a request to the caller.
func (c *Callers) finish(finish routing.Finish) {
	ended, ok := c.requests[finish.Request]
	if !ok {
		c.world.Checkers.checkNoOutcome(finish.Request)
		return
	}
	if finish.Failure == nil {
		c.world.Checkers.checkAnswer(ended)
		c.recordOutcome(ended, OutcomeServed)
		return
	}
	ended.result.Code = finish.Failure.Code
	ended.result.Verdict = finish.Failure.Verdict
	if finish.Failure.Verdict == verdict.NotRun {
		c.recordOutcome(ended, OutcomeRefused)
		return
	}
	c.recordOutcome(ended, OutcomeFailed)
}

// cancel sends the cancellation of an attempt to its engine.
func (c *Callers) cancel(from *Node, effect routing.CancelAttempt) {
	w := c.world
	machine, ok := w.engines[effect.Machine]
	if !ok || !w.Network.Reachable(from.Place, machine.place()) {
		return
	}
	w.Kernel.After(w.Network.Delay(from.Place, machine.place()), LabelEngineCall, func() {
		machine.Cancel(effect.Request, effect.Attempt)
	})
}

// cancelOrphanedAttempt cancels the attempt of a request whose node died, because
// the engine sees the broken connection.
func (w *World) cancelOrphanedAttempt(broken *request) {
	machine, ok := w.engines[broken.machine]
	if !ok || broken.attempt == 0 {
		return
	}
	w.Kernel.After(w.Network.Delay(broken.node.Place, machine.place()), LabelEngineCall, func() {
		machine.Cancel(broken.id, broken.attempt)
	})
}

// place returns the zone and region of the engine's machine.
func (e *Engine) place() Place { return Place{Zone: e.Machine.Zone, Region: e.Machine.Region} }

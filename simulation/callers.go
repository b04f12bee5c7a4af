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

// connectTimeout is how long a relay tries to reach an engine.
const connectTimeout = time.Second

// Callers are the callers of a deployment together with the nodes' relays: they
// send requests, run the attempts that the routing cores dispatch and pass
// answers back.
type Callers struct {
	world    *World
	random   *rand.Rand
	requests map[cluster.RequestID]*request
	sequence uint64
	fed      bool
	// Outcomes counts ended requests; Refusals counts refused ones by code.
	Outcomes map[Outcome]int
	Refusals map[verdict.Code]int
	// Arrived counts requests; Unreached found no node at all.
	Arrived, Unreached int
}

// request is one request on its way.
type request struct {
	id     cluster.RequestID
	result Result
	node   *Node
	run    int
	// attempt is the current dispatch, zero before the first.
	attempt cluster.Attempt
	machine cluster.MachineID
	// received is what came of the current attempt's answer.
	received answer
	ended    bool
}

// answer is what a relay received for an attempt.
type answer struct {
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

// Pending returns how many requests have not ended.
func (c *Callers) Pending() int { return len(c.requests) }

// arrive sends a request to a node of the caller's zone, or of another one when
// none there accepts connections.
func (c *Callers) arrive(arrival Arrival) {
	to := c.pick(arrival.Zone)
	if to == nil {
		c.Arrived++
		c.Unreached++
		return
	}
	c.ask(to, arrival)
}

// ask sends a request to a node.
func (c *Callers) ask(to *Node, arrival Arrival) {
	c.Arrived++
	c.sequence++
	added := &request{
		id:     cluster.RequestID(fmt.Sprintf("%s-%d", to.ID, c.sequence)),
		result: Result{Arrival: arrival}, node: to, run: to.run,
	}
	c.requests[added.id] = added
	c.world.Checkers.arrived(added)
	input := node.RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
		ID: added.id, Model: arrival.Model, TokenPath: arrival.TokenPath, Team: arrival.Team,
		Priority: arrival.Priority, Deadline: arrival.At.Add(arrival.Deadline), Repeatable: arrival.Repeatable,
		BodyBytes: int64(4 * arrival.PromptTokens), PromptTokens: arrival.PromptTokens,
		MaxTokens: arrival.Tokens, Prefixes: arrival.Prefixes,
	}}}
	c.world.Kernel.After(c.world.config.Deployment.ClientDelay, LabelArrival, func() {
		if to.run != added.run || !to.alive {
			c.lost(added)
			return
		}
		to.deliver(input)
	})
}

// pick chooses a node that accepts connections, of the zone if possible.
func (c *Callers) pick(zone cluster.ZoneID) *Node {
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

// nodeDied ends the connections of a dead process.
func (c *Callers) nodeDied(dead *Node) {
	var lost []*request
	for _, pending := range c.requests {
		if pending.node == dead && pending.run == dead.run {
			lost = append(lost, pending)
		}
	}
	sortRequests(lost)
	for _, pending := range lost {
		c.world.cancelAttempt(pending)
		c.lost(pending)
	}
}

// lost ends a request whose connection broke.
func (c *Callers) lost(broken *request) {
	broken.result.Verdict = verdict.MayHaveRun
	c.end(broken, OutcomeConnectionLost)
}

// end records the one outcome of a request.
func (c *Callers) end(ended *request, outcome Outcome) {
	ended.ended = true
	ended.result.Outcome = outcome
	ended.result.Ended = c.world.Kernel.Now()
	delete(c.requests, ended.id)
	c.Outcomes[outcome]++
	if outcome == OutcomeRefused {
		c.Refusals[ended.result.Code]++
	}
	c.world.Checkers.finished(ended)
	if c.world.config.Finished != nil {
		c.world.config.Finished(ended.result)
	}
}

// carryOut does what a routing core asks of the request path.
func (c *Callers) carryOut(from *Node, effect routing.Effect) {
	switch e := effect.(type) {
	case routing.Dispatch:
		c.dispatch(from, e)
	case routing.Finish:
		c.finish(e)
	case routing.CancelAttempt:
		c.cancel(from, e)
	}
}

// finish gives the caller its outcome.
func (c *Callers) finish(finish routing.Finish) {
	ended, ok := c.requests[finish.Request]
	if !ok {
		c.world.Checkers.finishedTwice(finish.Request)
		return
	}
	if finish.Failure == nil {
		c.world.Checkers.answered(ended)
		c.end(ended, OutcomeServed)
		return
	}
	ended.result.Code = finish.Failure.Code
	ended.result.Verdict = finish.Failure.Verdict
	if finish.Failure.Verdict == verdict.NotRun {
		c.end(ended, OutcomeRefused)
		return
	}
	c.end(ended, OutcomeFailed)
}

// cancel stops an attempt at its engine.
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

// cancelAttempt stops what runs for a request whose node died: the engine sees
// the broken connection.
func (w *World) cancelAttempt(broken *request) {
	machine, ok := w.engines[broken.machine]
	if !ok || broken.attempt == 0 {
		return
	}
	w.Kernel.After(w.Network.Delay(broken.node.Place, machine.place()), LabelEngineCall, func() {
		machine.Cancel(broken.id, broken.attempt)
	})
}

// place is where the machine stands.
func (e *Engine) place() Place { return Place{Zone: e.Machine.Zone, Region: e.Machine.Region} }

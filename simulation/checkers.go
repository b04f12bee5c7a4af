package simulation

import (
	"fmt"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/verdict"
)

// Promise names one of the promises of the product.
type Promise string

// The promises.
const (
	PromiseReplicas      Promise = "no more replicas than decided"
	PromiseMemory        Promise = "memory never overcommitted"
	PromiseOutcome       Promise = "every request served or refused in time, once"
	PromiseAnswer        Promise = "whole and own answer"
	PromiseNotRun        Promise = "refused as not run was not run"
	PromiseAtMostOnce    Promise = "not repeatable runs at most once"
	PromiseLeaving       Promise = "leaving machine gets no new work"
	PromisePlannedStop   Promise = "planned stop cuts nothing"
	PromiseConfiguration Promise = "accepted configuration in force in time, never reverts"
)

// The times that the checkers allow.
const (
	// outcomeGrace is how long after its deadline a request may end.
	outcomeGrace = time.Second
	// leavingGrace is how long after its announcement, as the machine list
	// shows it, a leaving machine may get work.
	leavingGrace = 5 * time.Second
	// configurationLimit is how long an accepted edit may take to be in force
	// on every node that can be reached.
	configurationLimit = 13 * time.Second
	// loweringTime is how long controllers may still load up to a count that an
	// edit has lowered; after it, each replica that goes lowers the bound.
	loweringTime = time.Minute
	// keptViolations bounds the violations that are kept with their detail.
	keptViolations = 32
)

// Violation is one broken promise.
type Violation struct {
	At      time.Time
	Promise Promise
	Detail  string
}

// String returns one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s: %s", v.At.Sub(Epoch), v.Promise, v.Detail)
}

// Checkers watch every promise at every event, from the true state of engines,
// callers and configuration that no core can see.
type Checkers struct {
	world *World
	// Violations holds the first ones; Count counts all by promise.
	Violations []Violation
	Count      map[Promise]int
	// Checked counts the checks made, by promise.
	Checked map[Promise]uint64

	held    map[cluster.ModelID]int
	decided map[cluster.ModelID]decision
	runs    map[cluster.RequestID]int
	// once holds the requests that may run at most once, also after their end.
	once     map[cluster.RequestID]bool
	outcomes map[cluster.RequestID]verdict.Verdict
	leaving  map[cluster.MachineID]time.Time
	accepted []acceptedRevision
}

// decision is the replica count decided for a model. Lowered says that an edit
// lowered it: what is held above the new count may remain until it is unloaded,
// but may not grow.
type decision struct {
	count   int
	allowed int
	// loweredAt is when an edit last lowered the count.
	loweredAt time.Time
}

// acceptedRevision is one accepted edit.
type acceptedRevision struct {
	stamp settings.Stamp
	at    time.Time
}

// newCheckers returns checkers that have seen nothing.
func newCheckers(w *World) *Checkers {
	return &Checkers{
		world: w, Count: map[Promise]int{}, Checked: map[Promise]uint64{},
		held: map[cluster.ModelID]int{}, decided: map[cluster.ModelID]decision{},
		runs: map[cluster.RequestID]int{}, once: map[cluster.RequestID]bool{}, outcomes: map[cluster.RequestID]verdict.Verdict{},
		leaving: map[cluster.MachineID]time.Time{},
	}
}

// Total returns the number of violations.
func (c *Checkers) Total() int {
	total := 0
	for _, count := range c.Count {
		total += count
	}
	return total
}

// require records a violation unless the promise holds.
func (c *Checkers) require(holds bool, promise Promise, format string, arguments ...any) {
	c.Checked[promise]++
	if holds {
		return
	}
	c.Count[promise]++
	if len(c.Violations) < keptViolations {
		c.Violations = append(c.Violations, Violation{
			At: c.world.Kernel.Now(), Promise: promise, Detail: fmt.Sprintf(format, arguments...),
		})
	}
}

// replicaChanged checks the replica count and the memory before a change.
func (c *Checkers) replicaChanged(machine *Engine, model cluster.ModelID, next cluster.ReplicaState) {
	before := machine.State(model)
	switch {
	case before == cluster.ReplicaAbsent && next != cluster.ReplicaAbsent:
		c.held[model]++
		c.replicaAdded(machine, model)
	case before != cluster.ReplicaAbsent && next == cluster.ReplicaAbsent:
		c.held[model]--
		c.replicaGone(model)
	}
}

// replicaAdded checks that a load was allowed.
func (c *Checkers) replicaAdded(machine *Engine, model cluster.ModelID) {
	decided := c.decided[model]
	c.require(c.held[model] <= decided.allowed, PromiseReplicas,
		"%s: %d replicas held, %d decided, after a load on %s", model, c.held[model], decided.allowed, machine.Machine.ID)
	used := machine.UsedBytes()
	c.require(used <= machine.Config.MemoryBytes, PromiseMemory,
		"%s: %d of %d bytes after loading %s", machine.Machine.ID, used, machine.Config.MemoryBytes, model)
}

// replicaGone lets the allowed count of a lowered model sink with what is held.
func (c *Checkers) replicaGone(model cluster.ModelID) {
	decided := c.decided[model]
	settled := decided.loweredAt.Add(loweringTime)
	if decided.allowed > decided.count && c.world.Kernel.Now().After(settled) && c.world.disturbed.until.Before(settled) {
		decided.allowed = max(decided.count, c.held[model])
		c.decided[model] = decided
	}
}

// settingsAccepted takes over the decided counts of an accepted tree.
func (c *Checkers) settingsAccepted(snapshot *settings.Snapshot) {
	seen := map[cluster.ModelID]bool{}
	for i := range snapshot.Models {
		model := &snapshot.Models[i]
		seen[model.ID] = true
		c.decide(model.ID, model.Policy.MaxReplicas)
	}
	for model := range c.decided {
		if !seen[model] {
			c.decide(model, 0)
		}
	}
	accepted := acceptedRevision{stamp: snapshot.Stamp, at: c.world.Kernel.Now()}
	c.accepted = append(c.accepted, accepted)
	c.world.Kernel.After(configurationLimit, LabelCheck, func() { c.configurationSpread(accepted) })
}

// decide changes the decided count of a model. While a lowered count has not
// reached every controller, the earlier one stands.
func (c *Checkers) decide(model cluster.ModelID, count int) {
	decided := c.decided[model]
	if count < decided.count {
		decided.loweredAt = c.world.Kernel.Now()
	}
	decided.count, decided.allowed = count, max(count, decided.allowed)
	c.decided[model] = decided
}

// executed checks a request that an engine begins to run.
func (c *Checkers) executed(machine *Engine, run Run) {
	c.runs[run.Request]++
	if pending, known := c.world.Callers.requests[run.Request]; known {
		pending.result.Runs++
	}
	c.require(!c.once[run.Request] || c.runs[run.Request] <= 1, PromiseAtMostOnce,
		"%s runs for the %d. time on %s", run.Request, c.runs[run.Request], machine.Machine.ID)
	ended, was := c.outcomes[run.Request]
	c.require(!was || ended != verdict.NotRun, PromiseNotRun, "%s runs after it was refused as not run", run.Request)
	if since, leaves := c.leaving[machine.Machine.ID]; leaves {
		limit := since.Add(c.world.config.Deployment.MachineListLag + leavingGrace)
		c.require(!c.world.Kernel.Now().After(limit), PromiseLeaving,
			"%s runs on %s %s after its end was announced", run.Request, machine.Machine.ID, c.world.Kernel.Now().Sub(since))
	}
}

// arrived makes sure that the request ends in time.
func (c *Checkers) arrived(added *request) {
	if !added.result.Arrival.Repeatable {
		c.once[added.id] = true
	}
	limit := added.result.Arrival.At.Add(added.result.Arrival.Deadline + outcomeGrace)
	c.world.Kernel.At(limit, LabelCheck, func() { c.checkInTime(added) })
}

// checkInTime checks that a request has ended, unless its node stood still or
// was replaced meanwhile.
func (c *Checkers) checkInTime(added *request) {
	disturbed := added.node.paused || added.node.disturbedAt.After(added.result.Arrival.At.Add(-outcomeGrace))
	c.require(added.ended || disturbed, PromiseOutcome,
		"%s for %s on %s has no outcome %s after its deadline", added.id, added.result.Arrival.Model, added.node.ID, outcomeGrace)
}

// finished checks the outcome of a request.
func (c *Checkers) finished(ended *request) {
	c.outcomes[ended.id] = ended.result.Verdict
	if ended.result.Outcome == OutcomeRefused {
		c.require(c.runs[ended.id] == 0, PromiseNotRun,
			"%s refused as not run (%s) after %d runs", ended.id, ended.result.Code, c.runs[ended.id])
	}
}

// finishedTwice records a second outcome of a request.
func (c *Checkers) finishedTwice(id cluster.RequestID) {
	_, known := c.outcomes[id]
	c.require(!known, PromiseOutcome, "%s has two outcomes", id)
}

// answered checks that a served caller has the whole answer to its request.
func (c *Checkers) answered(served *request) {
	own := served.received.request == served.id && served.received.attempt == served.attempt
	c.require(own, PromiseAnswer, "%s attempt %d was given the answer to %s attempt %d",
		served.id, served.attempt, served.received.request, served.received.attempt)
	c.require(served.received.tokens == served.result.Arrival.Tokens, PromiseAnswer,
		"%s was given %d of %d tokens", served.id, served.received.tokens, served.result.Arrival.Tokens)
}

// machineLeaving notes the announced end of a machine.
func (c *Checkers) machineLeaving(id cluster.MachineID) { c.leaving[id] = c.world.Kernel.Now() }

// machineGone forgets a machine.
func (c *Checkers) machineGone(id cluster.MachineID) { delete(c.leaving, id) }

// drained checks that a planned stop left nothing behind.
func (c *Checkers) drained(stopped *Node) {
	left := 0
	for _, pending := range c.world.Callers.requests {
		if pending.node == stopped && pending.run == stopped.run && pending.attempt > 0 {
			left++
		}
	}
	c.require(left == 0, PromisePlannedStop, "%s stops with %d requests in flight", stopped.ID, left)
}

// inForce checks that a node's settings do not go back.
func (c *Checkers) inForce(on *Node, stamp settings.Stamp) {
	c.require(on.history != stamp.History || stamp.Revision >= on.revision, PromiseConfiguration,
		"%s went back from revision %d to %d", on.ID, on.revision, stamp.Revision)
	on.history, on.revision = stamp.History, stamp.Revision
	if c.world.OnInForce == nil {
		return
	}
	for i := len(c.accepted) - 1; i >= 0; i-- {
		if c.accepted[i].stamp.Revision == stamp.Revision {
			c.world.OnInForce(on, c.world.Kernel.Now().Sub(c.accepted[i].at))
			return
		}
	}
}

// configurationSpread checks that an edit is in force on every node that was
// reachable since it was accepted.
func (c *Checkers) configurationSpread(accepted acceptedRevision) {
	if c.world.disturbed.until.After(accepted.at) {
		return
	}
	for _, member := range c.world.nodes {
		if !member.alive || member.paused || member.disturbedAt.After(accepted.at) {
			continue
		}
		c.require(member.revision >= accepted.stamp.Revision, PromiseConfiguration,
			"%s has revision %d, %s after %d was accepted", member.ID, member.revision, configurationLimit, accepted.stamp.Revision)
	}
}

// Promises lists every promise.
func Promises() []Promise {
	return []Promise{
		PromiseReplicas, PromiseMemory, PromiseOutcome, PromiseAnswer, PromiseNotRun, PromiseAtMostOnce,
		PromiseLeaving, PromisePlannedStop, PromiseConfiguration,
	}
}

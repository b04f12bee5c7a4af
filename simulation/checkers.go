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

// Names of the promises.
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

const (
	// outcomeGrace is how long after its deadline a request may end.
	outcomeGrace = time.Second
	// leavingGrace is how long a leaving machine may start requests after the
	// machine list shows that it leaves.
	leavingGrace = 5 * time.Second
	// configurationLimit is how long an accepted edit may take to be in force on
	// every reachable node.
	configurationLimit = 13 * time.Second
	// loweringGrace is how long controllers may still load up to the earlier limit
	// after an edit lowered it. Afterwards each removed replica lowers the bound.
	loweringGrace = time.Minute
	// maxKeptViolations is the largest number of violations kept with their detail.
	maxKeptViolations = 32
)

// Violation is one broken promise.
type Violation struct {
	At      time.Time
	Promise Promise
	Detail  string
}

// String returns the time since Epoch, the promise and the detail in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s: %s", v.At.Sub(Epoch), v.Promise, v.Detail)
}

// Checkers checks the promises at each change of the true state of engines,
// requests and settings, which the cores themselves cannot see.
type Checkers struct {
	world *World
	// Violations holds the first violations; Count counts all by promise.
	Violations []Violation
	Count      map[Promise]int
	// Checked counts the checks by promise.
	Checked map[Promise]uint64

	// replicaCounts counts the replicas of each model that are not absent.
	replicaCounts map[cluster.ModelID]int
	limits        map[cluster.ModelID]replicaLimit
	runs          map[cluster.RequestID]int
	// notRepeatable holds the requests that are not repeatable, also after their end.
	notRepeatable map[cluster.RequestID]bool
	outcomes      map[cluster.RequestID]verdict.Verdict
	leaving       map[cluster.MachineID]time.Time
	accepted      []acceptedRevision
}

// replicaLimit is the replica limit of a model. After an edit lowered the limit,
// excess replicas may remain until they are unloaded.
type replicaLimit struct {
	// accepted is the limit in the accepted settings.
	accepted int
	// tolerated is the number of replicas that the checker allows. It is larger
	// than accepted for a while after an edit lowered the limit.
	tolerated int
	// loweredAt is when an edit last lowered the limit.
	loweredAt time.Time
}

// acceptedRevision is the revision of one accepted edit.
type acceptedRevision struct {
	stamp settings.Stamp
	at    time.Time
}

// newCheckers returns checkers without any state.
func newCheckers(w *World) *Checkers {
	return &Checkers{
		world: w, Count: map[Promise]int{}, Checked: map[Promise]uint64{},
		replicaCounts: map[cluster.ModelID]int{}, limits: map[cluster.ModelID]replicaLimit{},
		runs: map[cluster.RequestID]int{}, notRepeatable: map[cluster.RequestID]bool{}, outcomes: map[cluster.RequestID]verdict.Verdict{},
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

// require counts a check and records a violation unless the promise holds.
func (c *Checkers) require(holds bool, promise Promise, format string, arguments ...any) {
	c.Checked[promise]++
	if holds {
		return
	}
	c.Count[promise]++
	if len(c.Violations) < maxKeptViolations {
		c.Violations = append(c.Violations, Violation{
			At: c.world.Kernel.Now(), Promise: promise, Detail: fmt.Sprintf(format, arguments...),
		})
	}
}

// trackReplica counts replicas and checks the limits on replicas and memory. It
// is called before the state of the replica changes.
func (c *Checkers) trackReplica(machine *Engine, model cluster.ModelID, next cluster.ReplicaState) {
	before := machine.State(model)
	switch {
	case before == cluster.ReplicaAbsent && next != cluster.ReplicaAbsent:
		c.replicaCounts[model]++
		c.checkLoad(machine, model)
	case before != cluster.ReplicaAbsent && next == cluster.ReplicaAbsent:
		c.replicaCounts[model]--
		c.lowerTolerated(model)
	}
}

// checkLoad checks that a load exceeds neither the replica limit nor the memory.
func (c *Checkers) checkLoad(machine *Engine, model cluster.ModelID) {
	limit := c.limits[model]
	c.require(c.replicaCounts[model] <= limit.tolerated, PromiseReplicas,
		"%s: %d replicas held, %d decided, after a load on %s", model, c.replicaCounts[model], limit.tolerated, machine.Machine.ID)
	used := machine.UsedBytes()
	c.require(used <= machine.Config.MemoryBytes, PromiseMemory,
		"%s: %d of %d bytes after loading %s", machine.Machine.ID, used, machine.Config.MemoryBytes, model)
}

// lowerTolerated reduces the tolerated replicas to those that are left, once
// loweringGrace has passed since an edit lowered the limit. A fault that delays the
// settings beyond that time keeps the earlier bound.
func (c *Checkers) lowerTolerated(model cluster.ModelID) {
	limit := c.limits[model]
	graceEnd := limit.loweredAt.Add(loweringGrace)
	if limit.tolerated > limit.accepted && c.world.Kernel.Now().After(graceEnd) && c.world.activeFaults.recoveredAt.Before(graceEnd) {
		limit.tolerated = max(limit.accepted, c.replicaCounts[model])
		c.limits[model] = limit
	}
}

// acceptSettings updates the replica limits from accepted settings and schedules
// the check that the settings are in force in time.
func (c *Checkers) acceptSettings(snapshot *settings.Snapshot) {
	seen := map[cluster.ModelID]bool{}
	for i := range snapshot.Models {
		model := &snapshot.Models[i]
		seen[model.ID] = true
		c.setLimit(model.ID, model.Policy.MaxReplicas)
	}
	for model := range c.limits {
		if !seen[model] {
			c.setLimit(model, 0)
		}
	}
	accepted := acceptedRevision{stamp: snapshot.Stamp, at: c.world.Kernel.Now()}
	c.accepted = append(c.accepted, accepted)
	c.world.Kernel.After(configurationLimit, LabelCheck, func() { c.checkSpread(accepted) })
}

// setLimit changes the replica limit of a model. The earlier limit is tolerated
// until a lower one has reached every controller.
func (c *Checkers) setLimit(model cluster.ModelID, count int) {
	limit := c.limits[model]
	if count < limit.accepted {
		limit.loweredAt = c.world.Kernel.Now()
	}
	limit.accepted, limit.tolerated = count, max(count, limit.tolerated)
	c.limits[model] = limit
}

// checkRun checks that an engine may begin to run a request.
func (c *Checkers) checkRun(machine *Engine, run Run) {
	c.runs[run.Request]++
	if pending, known := c.world.Callers.requests[run.Request]; known {
		pending.result.Runs++
	}
	c.require(!c.notRepeatable[run.Request] || c.runs[run.Request] <= 1, PromiseAtMostOnce,
		"%s runs for the %d. time on %s", run.Request, c.runs[run.Request], machine.Machine.ID)
	outcome, hasEnded := c.outcomes[run.Request]
	c.require(!hasEnded || outcome != verdict.NotRun, PromiseNotRun, "%s runs after it was refused as not run", run.Request)
	if announced, isLeaving := c.leaving[machine.Machine.ID]; isLeaving {
		limit := announced.Add(c.world.config.Deployment.MachineListLag + leavingGrace)
		c.require(!c.world.Kernel.Now().After(limit), PromiseLeaving,
			"%s runs on %s %s after its end was announced", run.Request, machine.Machine.ID, c.world.Kernel.Now().Sub(announced))
	}
}

// trackRequest records a new request and schedules the check that it ends in time.
func (c *Checkers) trackRequest(added *request) {
	if !added.result.Arrival.Repeatable {
		c.notRepeatable[added.id] = true
	}
	limit := added.result.Arrival.At.Add(added.result.Arrival.Deadline + outcomeGrace)
	c.world.Kernel.At(limit, LabelCheck, func() { c.checkInTime(added) })
}

// checkInTime checks that a request has ended, unless its node was paused or
// restarted since the request arrived.
func (c *Checkers) checkInTime(added *request) {
	interrupted := added.node.paused || added.node.interruptedAt.After(added.result.Arrival.At.Add(-outcomeGrace))
	c.require(added.ended || interrupted, PromiseOutcome,
		"%s for %s on %s has no outcome %s after its deadline", added.id, added.result.Arrival.Model, added.node.ID, outcomeGrace)
}

// checkOutcome records the verdict of an ended request and checks that a refused
// request has not run.
func (c *Checkers) checkOutcome(ended *request) {
	c.outcomes[ended.id] = ended.result.Verdict
	if ended.result.Outcome == OutcomeRefused {
		c.require(c.runs[ended.id] == 0, PromiseNotRun,
			"%s refused as not run (%s) after %d runs", ended.id, ended.result.Code, c.runs[ended.id])
	}
}

// checkNoOutcome checks that a request that gets an outcome, but isn't pending, has
// had no outcome before.
func (c *Checkers) checkNoOutcome(id cluster.RequestID) {
	_, known := c.outcomes[id]
	c.require(!known, PromiseOutcome, "%s has two outcomes", id)
}

// checkAnswer checks that a caller got the whole answer to its own request.
func (c *Checkers) checkAnswer(served *request) {
	own := served.received.request == served.id && served.received.attempt == served.attempt
	c.require(own, PromiseAnswer, "%s attempt %d was given the answer to %s attempt %d",
		served.id, served.attempt, served.received.request, served.received.attempt)
	c.require(served.received.tokens == served.result.Arrival.Tokens, PromiseAnswer,
		"%s was given %d of %d tokens", served.id, served.received.tokens, served.result.Arrival.Tokens)
}

// recordLeaving records that a machine was announced to leave.
func (c *Checkers) recordLeaving(id cluster.MachineID) { c.leaving[id] = c.world.Kernel.Now() }

// clearLeaving removes the record of a machine that left.
func (c *Checkers) clearLeaving(id cluster.MachineID) { delete(c.leaving, id) }

// checkDrained checks that a planned stop leaves no dispatched request.
func (c *Checkers) checkDrained(stopped *Node) {
	left := 0
	for _, pending := range c.world.Callers.requests {
		if pending.node == stopped && pending.incarnation == stopped.incarnation && pending.attempt > 0 {
			left++
		}
	}
	c.require(left == 0, PromisePlannedStop, "%s stops with %d requests in flight", stopped.ID, left)
}

// checkInForce checks that a node does not go back to an older revision, and
// reports the delay since the revision was accepted to OnInForce.
func (c *Checkers) checkInForce(on *Node, stamp settings.Stamp) {
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

// checkSpread checks that an edit is in force on every node that was running since
// the edit was accepted. It checks nothing if a fault delayed the settings.
func (c *Checkers) checkSpread(accepted acceptedRevision) {
	if c.world.activeFaults.recoveredAt.After(accepted.at) {
		return
	}
	for _, member := range c.world.nodes {
		if !member.alive || member.paused || member.interruptedAt.After(accepted.at) {
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

package routing

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
)

// dispatchQueue dispatches waiting requests of a model as long as replicas take them.
func (r *Router) dispatchQueue(m *model) {
	for {
		head := r.nextToStart(m)
		if head == nil || !r.tryDispatch(head) {
			return
		}
	}
}

// dispatchToMachine dispatches waiting requests to a machine that may have room again. Of the first
// requests of all its models, the one with the highest priority and then the earliest deadline goes
// first.
func (r *Router) dispatchToMachine(m *machine) {
	if r.waiting == 0 {
		return
	}
	r.dispatchHeads(m)
	if !m.turns.allowsRequest(r.nanos) && m.nextModel(nil) != nil {
		r.requestTurn(m)
	}
}

// dispatchHeads dispatches the first requests of the machine's models as long as it has room.
func (r *Router) dispatchHeads(m *machine) {
	var skipped []*model
	for r.noRoomCause(m) == "" {
		next := m.nextModel(skipped)
		if next == nil {
			return
		}
		if head := r.nextToStart(next); head != nil && !r.tryDispatch(head) {
			skipped = append(skipped, next)
		}
	}
}

// dispatchToFreed dispatches to the machines that gained room in this step. It runs after all
// timers, so that a request whose own timer is also due is not dispatched.
func (r *Router) dispatchToFreed() {
	if len(r.freedMachines) > 0 {
		r.recheckHeldBack = true
		r.releaseHeldBack()
	}
	for _, machine := range r.freedMachines {
		r.dispatchToMachine(machine)
	}
	r.freedMachines = r.freedMachines[:0]
}

// nextModel returns the model on the machine whose first waiting request goes first, or nil.
func (m *machine) nextModel(except []*model) *model {
	var best *model
	for _, replica := range m.replicas {
		candidate := replica.model
		if replica.state != cluster.ReplicaLoaded || candidate.queue.Head() == nil || slices.Contains(except, candidate) {
			continue
		}
		if best == nil || headBefore(candidate, best) {
			best = candidate
		}
	}
	return best
}

func headBefore(a, b *model) bool {
	first, second := a.queue.Head(), b.queue.Head()
	if first.Priority != second.Priority {
		return first.Priority > second.Priority
	}
	return first.Deadline < second.Deadline
}

// tryDispatch dispatches the request if a replica takes it, and reports whether it did.
func (r *Router) tryDispatch(ready *request) bool {
	chosen, reason := r.choose(ready)
	if chosen == nil {
		return false
	}
	if ready.item.Queued() {
		ready.model.startInterval.observeStart(r.nanos)
		ready.model.queue.Remove(&ready.item)
		r.accountWait(ready)
	}
	r.dispatch(ready, chosen, reason)
	return true
}

func (r *Router) dispatch(ready *request, chosen *replica, reason Choice) {
	machine := chosen.machine
	ready.running, ready.silent = true, false
	ready.attempt++
	ready.countedAttempts++
	ready.machine, ready.attemptRelease = machine, r.releaseOf(machine)
	ready.attemptStart = r.requiredStart(ready, machine)
	ready.dispatched = r.nanos
	machine.addDispatch(r.nanos)
	r.useTurn(machine, ready)
	if len(ready.Prefixes) > 0 {
		r.prefixes.AddSent(r.nanos, machine.id, ready.Model, ready.Prefixes)
	}
	ready.model.running++
	r.markDemandChanged(ready.model)
	r.arm(&ready.timer, ready.deadline)
	reason.Waited = ready.waited
	reason.SettingsRevision = r.settingsRevision()
	decided := Dispatch{
		Request: ready.ID, Attempt: ready.attempt,
		Machine: machine.id, Address: machine.address,
		Model: ready.Model, Version: chosen.version, Release: ready.attemptRelease, Pinned: ready.Pinned, Start: ready.attemptStart,
		Deadline: time.Unix(0, ready.deadline), Final: !ready.retryAllowed(), Reason: reason,
		Limited: machine.turns.limited, Probe: ready.probe,
	}
	if r.config.ListAlternatives != nil && r.config.ListAlternatives(ready.Model) {
		decided.Alternatives = r.alternatives(ready, chosen)
		ready.unsent = true
	}
	r.emit(decided)
}

// stopRunning removes the request's current attempt from its machine and returns the machine.
func (r *Router) stopRunning(running *request) *machine {
	machine := running.machine
	r.releaseTurn(machine, running.slotTurn)
	running.slotTurn = SlotTurn{}
	running.running, running.unsent = false, false
	r.recheckHeldBack = true
	running.machine = nil
	machine.inFlight--
	running.model.running--
	r.markDemandChanged(running.model)
	return machine
}

// attemptEnded handles the outcome of a current attempt and ignores any other.
func (r *Router) attemptEnded(event *AttemptEnded) {
	ended := r.requests[event.Request]
	if ended == nil || !ended.running || ended.attempt != event.Attempt {
		return
	}
	dispatched := ended.dispatched
	model := ended.model
	ended.generated += event.Tokens
	machine := r.stopRunning(ended)
	if event.Withheld {
		r.finish(ended, event.Failure, Explanation{Machine: machine.id})
		r.freedMachines = append(r.freedMachines, machine)
		return
	}
	machine.noteEnd(event)
	machine.observeOutcome(r.nanos, event)
	r.recordEvidence(ended, machine, event)
	if event.Relayed {
		r.renewPatience(ended)
	}
	if event.Failure == nil {
		machine.consecutiveBackOffs = 0
		model.observeService(float64(r.nanos - dispatched))
		updateMean(&model.meanGenerated, float64(event.Tokens))
		r.finish(ended, nil, Explanation{Machine: machine.id})
	} else {
		r.attemptFailed(ended, machine, event)
	}
	r.freedMachines = append(r.freedMachines, machine)
}

// meanWeight is the weight of a new observation in an exponential moving average: 0.1, so that the
// last seven count for half.
const meanWeight = 0.1

func updateMean(mean *float64, observed float64) {
	if *mean == 0 {
		*mean = max(observed, 1)
		return
	}
	*mean += meanWeight * (observed - *mean)
}

// attemptFailed retries the request or ends it.
func (r *Router) attemptFailed(failed *request, machine *machine, event *AttemptEnded) {
	if event.Failure.Verdict != verdict.NotRun {
		failed.mayHaveRun = true
	}
	r.backOffAfter(failed, machine, event)
	if r.moveAttempt(failed, event) {
		return
	}
	retry, reason := r.mayRetry(failed, event)
	reason.Machine = machine.id
	if !retry && r.awaitRetryBudget(failed, reason) {
		return
	}
	if !retry {
		failure := event.Failure
		if failure.RetryAfter == 0 && !isPermanent(failure.Code) {
			failure = failure.After(r.retryAfter(failed.model))
		}
		r.finish(failed, failure, reason)
		return
	}
	r.redispatch(failed, reason)
}

// mayRetry decides about a retry by the verdict, the number of attempts and the retry budget, in
// this order.
func (r *Router) mayRetry(failed *request, event *AttemptEnded) (bool, Explanation) {
	notRun := event.Failure.Verdict == verdict.NotRun
	switch {
	case failed.firstByteSent && !failed.Resumable, isPermanent(event.Failure.Code):
		return false, Explanation{}
	case !notRun && !failed.Repeatable:
		return false, Explanation{}
	case failed.model.configured == nil:
		return false, Explanation{}
	case r.requestBlocked(failed) && !(failed.probe && notRun):
		return false, Explanation{Setting: settingPoisonEnds}
	case notRun && event.Unreached:
		failed.countedAttempts--
		return true, Explanation{}
	case notRun && (event.EngineFull || event.ModelMissing):
		failed.countedAttempts--
		return r.spendResend(failed)
	}
	if allowed := failed.allowedAttempts(); failed.countedAttempts >= allowed {
		return false, failed.model.explain(settingRetryAttempts, float64(allowed), float64(failed.countedAttempts))
	}
	return r.spendRetry(failed)
}

// spendRetry takes one retry from the budget in force.
func (r *Router) spendRetry(failed *request) (bool, Explanation) {
	paid := false
	if r.config.RetryWindow > 0 {
		paid = r.windowBudgetOf(failed.model).spend(r.nanos, &r.config, r.retryDivisor())
	} else {
		paid = failed.model.retries.spend(r.nanos, &r.config)
	}
	if !paid {
		return false, Explanation{Setting: settingRetryBudget, Limit: r.config.RetryRatio}
	}
	return true, Explanation{}
}

// refundRetry returns a retry to the budget because its attempt was not started.
func (r *Router) refundRetry(m *model) {
	if r.config.RetryWindow > 0 {
		r.windowBudgetOf(m).refund(r.nanos, &r.config)
		return
	}
	m.retries.tokens++
}

// spendResend takes a resend after an engine's refusal from the budget. Only the window budget
// counts those.
func (r *Router) spendResend(failed *request) (bool, Explanation) {
	if r.config.RetryWindow == 0 {
		return true, Explanation{}
	}
	return r.spendRetry(failed)
}

// allowedAttempts returns how many dispatches that may have run the request is allowed.
func (failed *request) allowedAttempts() int {
	if failed.Attempts > 0 {
		return failed.Attempts
	}
	if failed.model.configured == nil {
		return 1
	}
	return max(failed.model.configured.Policy.RetryAttempts, 1)
}

// retryAllowed reports whether another attempt is allowed although the current one may have run.
func (failed *request) retryAllowed() bool {
	return failed.Repeatable && failed.countedAttempts < failed.allowedAttempts()
}

// isPermanent reports whether a retry would fail in the same way or could not be answered.
func isPermanent(code verdict.Code) bool {
	switch code {
	case verdict.CodeInvalidRequest, verdict.CodeUnauthorized, verdict.CodeForbidden,
		verdict.CodeRequestTooLarge, verdict.CodeDeadlineExceeded, verdict.CodeCallerGone, verdict.CodeCallerStalled,
		verdict.CodeDuplicateKey, verdict.CodeOutcomeUnknown, verdict.CodeConflict:
		return true
	}
	return false
}

// redispatch dispatches a failed request again, queues it or ends it.
func (r *Router) redispatch(failed *request, reason Explanation) {
	model := failed.model
	if !r.mustWait(failed) && r.tryDispatch(failed) {
		return
	}
	if r.draining {
		r.finish(failed, r.drainingFailure(), reason)
		return
	}
	if failed.queueBudget <= 0 {
		r.failQueueTimeout(failed)
		return
	}
	if failure, why := r.releaseRefusal(failed); failure != nil {
		r.finish(failed, failure, why)
		return
	}
	if failure, why := r.startRefusal(failed, 0); failure != nil {
		r.finish(failed, failure, why)
		return
	}
	r.enqueue(failed, true)
	r.dispatchQueue(model)
}

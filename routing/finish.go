package routing

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
)

// firstByteSent records that the request can no longer be retried, unless it is resumable. A
// request that waits for a retry by then ends.
func (r *Router) firstByteSent(id cluster.RequestID) {
	sent := r.requests[id]
	if sent == nil {
		return
	}
	r.pinRelease(sent)
	if !sent.firstByteSent {
		sent.firstByteAt, sent.firstByteAttempt = r.nanos, sent.attempt
	}
	sent.firstByteSent = true
	if sent.running {
		sent.machine.consecutiveBackOffs = 0
		r.recordReadPrompt(sent)
		return
	}
	if sent.Resumable {
		return
	}
	r.finish(sent, verdict.New(verdict.Ran, verdict.CodeStreamCut,
		"the answer broke off after its first byte"), Explanation{})
}

// withdraw ends a request that waits in the queue or whose attempt is not sent yet.
func (r *Router) withdraw(id cluster.RequestID, failure *verdict.Error) {
	if waiting := r.requests[id]; waiting != nil && (!waiting.running || waiting.unsent) {
		r.abandon(waiting, failure, Explanation{})
	}
}

// callerGone ends a request whose caller left.
func (r *Router) callerGone(id cluster.RequestID) {
	gone := r.requests[id]
	if gone == nil {
		return
	}
	r.abandon(gone, verdict.New(verdict.NotRun, verdict.CodeCallerGone, "the caller left"), Explanation{})
}

// abandon cancels the current attempt, if one was sent, and ends the request.
func (r *Router) abandon(abandoned *request, failure *verdict.Error, reason Explanation) {
	machine := abandoned.machine
	if machine != nil && !abandoned.unsent {
		abandoned.mayHaveRun = true
		r.poison.AttemptCancelled(r.now, abandoned.Content, abandoned.unstartedParts(), abandoned.startReached(machine))
		reason.Machine = machine.id
		r.emit(CancelAttempt{
			Request: abandoned.ID, Attempt: abandoned.attempt,
			Machine: machine.id, Address: machine.address,
		})
	}
	r.finish(abandoned, failure, reason)
	if machine != nil {
		r.freedMachines = append(r.freedMachines, machine)
	}
}

// requestTimerDue ends a request whose deadline or queue time passed.
func (r *Router) requestTimerDue(due *request) {
	if r.awaitsProbe(due) {
		r.refuseBlocked(due)
		return
	}
	if r.recheckBudget(due) || r.recheckWaiting(due) {
		return
	}
	if r.nanos < due.deadline {
		r.failQueueTimeout(due)
		return
	}
	waited := time.Duration(r.nanos - due.arrived)
	reason := due.model.explain(settingDeadline, time.Duration(due.deadline-due.arrived).Seconds(), waited.Seconds())
	failure := verdict.New(verdict.NotRun, verdict.CodeDeadlineExceeded, "the deadline passed")
	r.abandon(due, failure.After(r.retryAfter(due.model)), reason)
}

// failQueueTimeout ends a request whose queue time passed.
func (r *Router) failQueueTimeout(due *request) {
	waited := due.waited
	if due.item.Queued() {
		waited += time.Duration(r.nanos - due.queuedSince)
	}
	reason := due.model.explain(settingQueueTime, time.Duration(due.queueBudget).Seconds(), waited.Seconds())
	if due.model.configured != nil {
		reason.Limit = due.model.configured.Policy.QueueTime.Seconds()
	}
	failure := verdict.New(verdict.NotRun, verdict.CodeQueueTimeout, "%s", due.waitingCause())
	r.finish(due, failure.After(r.retryAfter(due.model)), reason)
}

// waitingCause describes why the request was not dispatched within its queue time.
func (waiting *request) waitingCause() string {
	switch {
	case waiting.retryUnpaid:
		return "the retry budget allowed no other attempt within the queue time"
	case waiting.Pinned:
		return "no machine of the release at which the stream began was free within the queue time"
	case waiting.item.Held():
		return "machines ended under such requests, and another one ran during the queue time"
	}
	return "no replica was free within the queue time"
}

// finish ends an admitted request. No other function removes one.
func (r *Router) finish(ended *request, failure *verdict.Error, reason Explanation) {
	model := ended.model
	if ended.item.Held() {
		r.stopHolding(ended)
	}
	if ended.item.Queued() {
		model.queue.Remove(&ended.item)
		r.accountWait(ended)
	}
	if ended.running {
		r.stopRunning(ended)
	}
	r.recheckHeldBack = true
	r.cancelMove(ended)
	r.disarm(&ended.timer)
	delete(r.requests, ended.ID)
	if failure != nil {
		r.returnUnusedProbe(ended)
		failure = ended.coverAttempts(failure)
		reason.Code = failure.Code
		r.expectReturn(model, ended.Priority, failure.RetryAfter)
	}
	r.releaseLimits(ended)
	reason.Waited = ended.waited
	reason.Attempts = int(ended.attempt)
	reason.SettingsRevision = r.settingsRevision()
	r.emit(Finish{Request: ended.ID, Failure: failure, Reason: reason})
	r.recycle(ended)
	r.forgetIfUnused(model)
}

// releaseLimits returns the request's use of the limits. A request that was neither queued nor
// dispatched does not count against rates.
func (r *Router) releaseLimits(ended *request) {
	used := float64(ended.generated)
	if ended.attempt > 0 {
		used += float64(ended.PromptTokens)
	}
	refund := ended.attempt == 0 && ended.queuedSince == 0
	r.limits.Release(r.nanos, ended.claim, used, refund)
}

// coverAttempts returns the failure with a verdict that covers all attempts of the request.
func (ended *request) coverAttempts(failure *verdict.Error) *verdict.Error {
	if failure.Verdict != verdict.NotRun || (!ended.firstByteSent && !ended.mayHaveRun) {
		return failure
	}
	covered := *failure
	covered.Verdict = verdict.MayHaveRun
	if ended.firstByteSent {
		covered.Verdict = verdict.Ran
	}
	return &covered
}

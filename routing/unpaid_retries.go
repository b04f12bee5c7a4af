package routing

// A started stream that may be continued but for the retry budget waits until the budget allows it:
// ending it would leave its caller with half an answer. It is held in its queue meanwhile.

// awaitRetryBudget makes a started stream wait for the retry budget, and reports whether it does.
func (r *Router) awaitRetryBudget(failed *request, reason Explanation) bool {
	started := failed.firstByteSent && failed.Resumable
	if reason.Setting != settingRetryBudget || !started || r.config.RetryWindow == 0 || r.draining || failed.queueBudget <= 0 {
		return false
	}
	failed.retryUnpaid = true
	r.enqueue(failed, true)
	r.armBudgetCheck(failed)
	return true
}

// armBudgetCheck sets the timer of a stream that waits for the retry budget to the next time at which
// a slice of the budget's window expires, or to the end of its wait.
func (r *Router) armBudgetCheck(unpaid *request) {
	slice := int64(r.config.RetryWindow) / windowSlices
	next := (r.nanos/slice + 1) * slice
	r.arm(&unpaid.timer, min(next, unpaid.waitEnd()))
}

// waitEnd returns the time until which a waiting request may wait.
func (waiting *request) waitEnd() int64 {
	return min(waiting.deadline, waiting.queuedSince+waiting.queueBudget)
}

// payRetry pays the retry of a request that waits for the budget, if the budget allows it.
func (r *Router) payRetry(waiting *request) {
	if !waiting.retryUnpaid {
		return
	}
	if paid, _ := r.spendRetry(waiting); paid {
		waiting.retryUnpaid = false
		r.arm(&waiting.timer, waiting.waitEnd())
	}
}

// recheckBudget handles the timer of a stream that waits for the retry budget, and reports whether it
// goes on waiting.
func (r *Router) recheckBudget(due *request) bool {
	if !due.retryUnpaid || r.nanos >= due.waitEnd() {
		return false
	}
	r.recheckHeldBack = true
	r.armBudgetCheck(due)
	return true
}

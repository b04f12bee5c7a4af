package routing

import "github.com/valveslip/valveslip/cluster"

// attemptSilent moves a request away from a silent machine if another machine has room for it now
// and the retry budget allows it. A slot on that machine is reserved until the first attempt has
// ended. Otherwise the attempt goes on: the machine may only be slow, and cancelling would end a
// request whose caller still has time.
func (r *Router) attemptSilent(event *AttemptSilent) {
	silent := r.requests[event.Request]
	if silent == nil || !silent.running || silent.attempt != event.Attempt {
		return
	}
	if silent.probe && !silent.silent {
		r.emit(PoisonProbeSilent{Content: silent.probed})
	}
	silent.silent, r.recheckHeldBack = true, true
	if !r.mayMove(silent) {
		return
	}
	successor := r.findMoveTarget(silent)
	if successor == nil {
		return
	}
	if paid, _ := r.spendRetry(silent); !paid {
		return
	}
	silent.moveTarget = successor
	successor.machine.reserved++
	r.poison.AttemptCancelled(r.now, silent.Content, silent.unstartedParts(), silent.startReached(silent.machine))
	r.emit(CancelAttempt{
		Request: silent.ID, Attempt: silent.attempt, Machine: silent.machine.id, Address: silent.machine.address,
	})
}

// mayMove reports whether another attempt may follow the current one, has time for an answer, and
// is not pending already.
func (r *Router) mayMove(silent *request) bool {
	inTime := r.nanos+int64(silent.Objective) < silent.deadline
	return silent.moveTarget == nil && !r.draining && inTime && silent.canStillAnswer() && silent.retryAllowed()
}

// canStillAnswer reports whether the answer of another attempt could still be relayed to the caller.
func (silent *request) canStillAnswer() bool {
	return silent.model.configured != nil && (!silent.firstByteSent || silent.Resumable)
}

// findMoveTarget returns the nearest replica on another machine that takes the request now and on
// which it has not failed; nil without one.
func (r *Router) findMoveTarget(silent *request) *replica {
	for _, tier := range silent.model.tiers {
		for _, candidate := range tier {
			if candidate.machine != silent.machine && r.unusableCause(silent, candidate, false) == "" {
				return candidate
			}
		}
	}
	return nil
}

// cancelMove releases the slot reserved for a request and refunds its retry.
func (r *Router) cancelMove(moving *request) {
	if moving.moveTarget == nil {
		return
	}
	r.releaseReservation(moving)
	r.refundRetry(moving.model)
}

// releaseReservation releases the reserved slot and returns its replica.
func (r *Router) releaseReservation(moving *request) *replica {
	successor := moving.moveTarget
	moving.moveTarget = nil
	successor.machine.reserved--
	r.freedMachines = append(r.freedMachines, successor.machine)
	return successor
}

// moveAttempt dispatches a request to its reserved slot after its attempt was cancelled, and
// reports whether it did. It doesn't if meanwhile the caller left, the answer began or the replica
// is gone.
func (r *Router) moveAttempt(failed *request, event *AttemptEnded) bool {
	if failed.moveTarget == nil {
		return false
	}
	successor := r.releaseReservation(failed)
	possible := !r.draining && !isPermanent(event.Failure.Code) && failed.canStillAnswer() && !r.requestBlocked(failed)
	if !possible || !successor.isPresent() || r.unusableCause(failed, successor, false) != "" {
		r.refundRetry(failed.model)
		return false
	}
	if event.Unreached {
		failed.countedAttempts--
	}
	r.dispatch(failed, successor, r.recordChoice(failed.model, []scoredReplica{r.score(failed, successor)}))
	return true
}

// isPresent reports whether a replica is still loaded on its machine.
func (c *replica) isPresent() bool {
	return c.state == cluster.ReplicaLoaded && c.machine.replica(c.model) == c
}

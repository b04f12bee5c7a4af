package routing

import "github.com/valveslip/valveslip/cluster"

// attemptSilent takes a request away from a machine that says nothing, if another machine
// has room for it now and the budget pays for the attempt. The room is kept until the first
// attempt has ended. Otherwise the machine goes on: it may be slow, and to end its attempt
// would end the request, whose caller has time left.
func (r *Router) attemptSilent(event *AttemptSilent) {
	silent := r.requests[event.Request]
	if silent == nil || !silent.running || silent.attempt != event.Attempt || !r.mayMove(silent) {
		return
	}
	successor := r.successor(silent)
	if successor == nil {
		return
	}
	if paid, _ := r.payRetry(silent); !paid {
		return
	}
	silent.successor = successor
	successor.machine.reserved++
	r.poison.Left(r.now, silent.Content, silent.machine.id)
	r.emit(CancelAttempt{
		Request: silent.ID, Attempt: silent.attempt, Machine: silent.machine.id, Address: silent.machine.address,
	})
}

// mayMove reports whether another attempt may follow the present one, has time for an
// answer, and is not on its way already.
func (r *Router) mayMove(silent *request) bool {
	inTime := r.nanos+int64(silent.Objective) < silent.deadline
	return silent.successor == nil && !r.draining && inTime && silent.answerable() && silent.mayFollow()
}

// answerable reports whether another attempt's answer could still be given to the caller.
func (silent *request) answerable() bool {
	return silent.model.configured != nil && (!silent.firstByte || silent.Resumable)
}

// successor returns a replica on a machine that the request was not sent to and that takes
// it now, the nearest first; nil without one.
func (r *Router) successor(silent *request) *replica {
	for _, tier := range silent.model.tiers {
		for _, candidate := range tier {
			if candidate.machine != silent.machine && r.usable(silent, candidate, false) == "" {
				return candidate
			}
		}
	}
	return nil
}

// endMove gives back the room that is kept for a request, and what was paid for it.
func (r *Router) endMove(moving *request) {
	if moving.successor == nil {
		return
	}
	r.takeRoom(moving)
	r.refund(moving.model)
}

// takeRoom ends the keeping of room and returns where it was.
func (r *Router) takeRoom(moving *request) *replica {
	successor := moving.successor
	moving.successor = nil
	successor.machine.reserved--
	r.freed = append(r.freed, successor.machine)
	return successor
}

// move dispatches a request whose attempt was cancelled for another, and reports whether it
// did. The caller may have left meanwhile, the answer may have begun, the replica may be
// gone.
func (r *Router) move(failed *request, event *AttemptEnded) bool {
	if failed.successor == nil {
		return false
	}
	successor := r.takeRoom(failed)
	possible := !r.draining && !permanent(event.Failure.Code) && failed.answerable() && !r.convicted(failed.Content)
	if !possible || !successor.here() || r.usable(failed, successor, false) != "" {
		r.refund(failed.model)
		return false
	}
	if event.Unreached {
		failed.tries--
	}
	r.dispatch(failed, successor, r.choice(failed.model, []scored{r.score(failed, successor)}))
	return true
}

// here reports whether a replica is still loaded on its machine.
func (c *replica) here() bool {
	return c.state == cluster.ReplicaLoaded && c.machine.replica(c.model) == c
}

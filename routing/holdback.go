package routing

import (
	"slices"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/verdict"
)

// Requests that may end their machine run one at a time on a router, so that the end of a machine
// can be attributed and costs few others: those with the same suspected content, those of a
// throttled caller, and probes. The others wait, held in their queues. Only a request that runs
// keeps others waiting: one that waits for a machine itself could do so for seconds. Held are also a
// blocked request that asked for the permission for a probe, until the answer, a started stream whose
// continuation the retry budget does not allow yet, and a stream for which no machine of its release
// is free.

// RequestHeldBack reports that a waiting request is held in its queue while another one runs.
type RequestHeldBack struct {
	Request, Behind cluster.RequestID
	Content         poison.Fingerprint
}

func (RequestHeldBack) routingEffect() {}

// runsAlone reports whether the request may only run while no similar one does.
func (r *Router) runsAlone(ready *request) bool {
	if ready.probe || r.poison.Suspected(ready.Content) {
		return true
	}
	if !ready.throttled {
		return false
	}
	_, throttled := r.suspectCallers.Throttled(r.now, ready.Caller)
	return throttled
}

// mustWait reports whether a request can't be dispatched now, although a machine may have room for it.
func (r *Router) mustWait(ready *request) bool {
	return ready.retryUnpaid || r.awaitsProbe(ready) || r.heldBackBy(ready) != nil || r.awaitsRelease(ready)
}

// heldBackBy returns the running request that keeps a request from being dispatched, or nil. A
// request whose machine is silent keeps none: it may never end.
func (r *Router) heldBackBy(ready *request) *request {
	if r.poison.Empty() || r.config.Poison.Off() || !r.runsAlone(ready) {
		return nil
	}
	var first *request
	for _, other := range r.requests {
		if other == ready || !other.running || other.silent || !excludes(other, ready) {
			continue
		}
		if first == nil || other.ID < first.ID {
			first = other
		}
	}
	return first
}

// excludes reports whether a request that runs alone can't run together with another one.
func excludes(running, ready *request) bool {
	sameContent := running.Content == ready.Content && !ready.Content.IsZero()
	sameCaller := ready.throttled && running.Caller == ready.Caller
	return sameContent || sameCaller || running.probe && ready.probe
}

// holdBack holds a waiting request in its queue if it must wait, and reports whether it did.
func (r *Router) holdBack(waiting *request) bool {
	behind := r.heldBackBy(waiting)
	if behind == nil && !r.mustWait(waiting) {
		return false
	}
	waiting.model.queue.Hold(&waiting.item)
	r.heldBack = append(r.heldBack, waiting)
	if behind != nil && !waiting.holdReported {
		waiting.holdReported = true
		r.emit(RequestHeldBack{Request: waiting.ID, Behind: behind.ID, Content: waiting.Content})
	}
	return true
}

// stopHolding removes a request from the list of those that are held back.
func (r *Router) stopHolding(held *request) {
	if at := slices.Index(r.heldBack, held); at >= 0 {
		r.heldBack = slices.Delete(r.heldBack, at, at+1)
	}
}

// releaseHeldBack dispatches or queues the held requests that nothing keeps from running any more.
// Of similar ones that run alone it releases the first.
func (r *Router) releaseHeldBack() {
	if !r.recheckHeldBack || len(r.heldBack) == 0 {
		return
	}
	r.recheckHeldBack = false
	var checked *request
	for _, held := range slices.Clone(r.heldBack) {
		if checked != nil && r.runsAlone(held) && excludes(checked, held) {
			continue
		}
		if failure, reason := r.throttledRefusal(held); failure != nil {
			r.finish(held, failure, reason)
			continue
		}
		if failure, reason := r.releaseRefusal(held); failure != nil {
			r.finish(held, failure, reason)
			continue
		}
		r.payRetry(held)
		if held.retryUnpaid || r.awaitsProbe(held) || r.awaitsRelease(held) {
			continue
		}
		checked = held
		if r.heldBackBy(held) == nil {
			r.release(held)
		}
	}
}

// release returns a held request to its place in the queue.
func (r *Router) release(held *request) {
	model := held.model
	r.stopHolding(held)
	if model.queue.Ready() == 0 {
		model.beginWaiting(r.nanos)
	}
	model.queue.Release(&held.item)
	r.dispatchQueue(model)
}

// throttledRefusal returns why a waiting request that was admitted while its caller was throttled
// can't be dispatched, because another machine has ended under the caller's requests since; or nil.
func (r *Router) throttledRefusal(waiting *request) (*verdict.Error, Explanation) {
	if !waiting.throttled {
		return nil, Explanation{}
	}
	return r.callerRefusal(waiting.model, waiting.Caller)
}

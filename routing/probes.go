package routing

import (
	"time"

	"github.com/valveslip/valveslip/routing/poison"
)

// probeGrantTimeout is how long a blocked request waits for the permission to run as a probe. The
// store answers within tens of milliseconds; while it is slow, the caller is refused instead.
const probeGrantTimeout = time.Second

// takeProbe makes the request a probe of its content if this node has permission for one. If a probe
// is due, the request asks for the permission and waits for it, so that the probe need not wait for
// the next such request, which may come to this node much later. Probes run one at a time on this
// node, since the end of a machine would count against all contents probed there.
func (r *Router) takeProbe(arrived *Request, blocked poison.Fingerprint) bool {
	if r.probeRuns() || !r.probesOnly(arrived, blocked) {
		return false
	}
	arrived.probed = blocked
	if r.poison.TakeProbe(blocked) {
		arrived.Attempts, arrived.probe = 1, true
		return true
	}
	if !r.poison.ProbeDue(r.now, blocked) || r.waitingForProbe(blocked) != nil {
		return false
	}
	arrived.probeWanted = true
	r.emit(PoisonProbeWanted{Content: blocked})
	return true
}

// probesOnly reports whether the outcome of a request would tell of the blocked content or part alone. A request that is
// blocked for another reason too is no probe of either. Nor is one that has another suspected part or content beside a
// blocked part: that is probably the harmful one, beside which the blocked part was seen.
func (r *Router) probesOnly(arrived *Request, blocked poison.Fingerprint) bool {
	tells := func(other poison.Fingerprint) bool {
		return other == blocked || !r.blocked(other) && (!blocked.IsPart() || !r.poison.Suspected(other))
	}
	if !tells(arrived.Content) {
		return false
	}
	for _, part := range arrived.Parts {
		if !tells(part) {
			return false
		}
	}
	return true
}

// probeRuns reports whether a probe runs at a machine that answers. One that waits for a machine does not count.
func (r *Router) probeRuns() bool {
	for _, other := range r.requests {
		if other.probe && other.running && !other.silent {
			return true
		}
	}
	return false
}

// waitingForProbe returns the request that waits for the permission to probe a content, or nil.
func (r *Router) waitingForProbe(content poison.Fingerprint) *request {
	for _, waiting := range r.requests {
		if waiting.probeWanted && waiting.item.Held() && waiting.probed == content {
			return waiting
		}
	}
	return nil
}

// awaitsProbe reports whether a request waits for the permission to run as a probe. It no longer
// does once its content is not blocked any more.
func (r *Router) awaitsProbe(waiting *request) bool {
	return waiting.probeWanted && r.blocked(waiting.probed)
}

// grantProbe makes the request that waits for the permission a probe. Without one, the next that
// arrives is.
func (r *Router) grantProbe(content poison.Fingerprint) {
	waiting := r.waitingForProbe(content)
	if waiting == nil || !r.blocked(content) {
		r.poison.GrantProbe(content)
		return
	}
	waiting.probeWanted, waiting.probe, waiting.Attempts = false, true, 1
	r.arm(&waiting.timer, waiting.waitEnd())
	r.recheckHeldBack = true
}

// denyProbe refuses the request that waits for the permission to probe a content.
func (r *Router) denyProbe(content poison.Fingerprint) {
	if waiting := r.waitingForProbe(content); waiting != nil && r.blocked(content) {
		r.refuseBlocked(waiting)
	}
}

// refuseBlocked ends a waiting request whose content is blocked.
func (r *Router) refuseBlocked(waiting *request) {
	left, _ := r.poison.Blocked(r.now, waiting.probed)
	failure, reason := r.poisonFailure(waiting.probed, left)
	r.finish(waiting, failure, reason)
}

// returnUnusedProbe returns the permission for a probe that did not run.
func (r *Router) returnUnusedProbe(ended *request) {
	if ended.probe && !ended.mayHaveRun {
		r.poison.GrantProbe(ended.probed)
	}
}

package check

import (
	"slices"
	"time"
)

// hasRefusals reports whether a request was refused with one of refusalStatuses.
func (h *History) hasRefusals() bool {
	return slices.ContainsFunc(h.Requests, func(r Request) bool { return slices.Contains(refusalStatuses, r.Status) })
}

// hasLeavings reports whether a worker announced that it leaves.
func (h *History) hasLeavings() bool { return len(h.Leavings) > 0 }

// hasWorkerLimit reports whether a worker announced a limit for longer than workerLimitWindow, not
// counting workerLimitGrace, while the nodes were connected for at least part of that time.
func (h *History) hasWorkerLimit() bool {
	return slices.ContainsFunc(h.WorkerLimits, func(n WorkerLimit) bool {
		from, to := n.From+workerLimitGrace, min(n.To, h.lastSent())
		return to-from > workerLimitWindow && !h.disturbedThroughout(from, to)
	})
}

// minUndisturbedBeforeStop is how long a node must have been undisturbed before a planned stop,
// so that callers have open requests and keep-alive connections there.
const minUndisturbedBeforeStop = 5 * time.Second

// hasUndisturbedStop reports whether a planned stop of a process completed without another
// disturbance of its node during the stop and minUndisturbedBeforeStop before it.
func (h *History) hasUndisturbedStop() bool {
	return slices.ContainsFunc(h.Stops, func(s Stop) bool {
		return s.Ended != 0 && !slices.ContainsFunc(h.Disturbances, func(d Disturbance) bool {
			concerns := d.Node == s.Node || d.Node == AllNodes
			return concerns && !d.isPartOfStop(&s) && d.From < s.Ended && d.To+minUndisturbedBeforeStop > s.At
		})
	})
}

// hasPoisonAfterBound reports whether the history goes on, with connected nodes, after all nodes
// had to know of the harmful request.
func (h *History) hasPoisonAfterBound() bool {
	third, known := h.poisonKnownFrom()
	return known && h.lastSent() > third+poisonBound+recoveryGrace && !h.disturbedThroughout(third+poisonBound, h.lastSent())
}

// hasDueAcquittal reports whether the popular request had to be accepted again before the end of the
// history, at a time when nodes were connected and no later worker crash excused its refusal.
func (h *History) hasDueAcquittal() bool {
	third, _ := h.poisonKnownFrom()
	allowed := h.bystanderRefusals()
	for at := third + maxAcquittalDelay; at+recoveryGrace < h.lastSent(); at += time.Second {
		excused := slices.ContainsFunc(allowed, func(a refusalPeriod) bool { return a.from <= at && at < a.to })
		if !excused && !h.disturbedThroughout(at, at+time.Second) {
			return true
		}
	}
	return false
}

// disturbedThroughout reports whether, sampled once a second, the links between nodes or the
// store were disturbed for the whole time between from and to.
func (h *History) disturbedThroughout(from, to time.Duration) bool {
	for at := from; at < to; at += time.Second {
		if !h.peersDisturbed(at, at) && !h.disturbed(AllNodes, at, at, ScopeStore) {
			return false
		}
	}
	return true
}

// hasKeys reports whether any request had an API key.
func (h *History) hasKeys() bool {
	return slices.ContainsFunc(h.Requests, func(r Request) bool { return r.Key != "" })
}

// lastSent returns when the last request was sent.
func (h *History) lastSent() time.Duration {
	end := time.Duration(0)
	for i := range h.Requests {
		end = max(end, h.Requests[i].Sent)
	}
	return end
}

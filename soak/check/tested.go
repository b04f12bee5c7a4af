package check

import (
	"slices"
	"time"
)

// anyRefused reports whether a request was refused as not run.
func (h *History) anyRefused() bool {
	return slices.ContainsFunc(h.Requests, func(r Request) bool { return slices.Contains(refusals, r.Status) })
}

// anyLeft reports whether a worker said that it leaves.
func (h *History) anyLeft() bool { return len(h.Leavings) > 0 }

// anyWorkerLimit reports whether a worker named a limit for long enough, while something was in touch.
func (h *History) anyWorkerLimit() bool {
	return slices.ContainsFunc(h.WorkerLimits, func(n WorkerLimit) bool {
		from, to := n.From+workerLimitKnown, min(n.To, h.end())
		return to-from > workerLimitWindow && !h.disturbedThroughout(from, to)
	})
}

// stopTested is how long a node must have been undisturbed before a planned stop, so that
// callers had requests there and kept connections.
const stopTested = 5 * time.Second

// stopsInPeace reports whether a process stopped as planned while nothing else was out of
// order at its node, and a while before.
func (h *History) stopsInPeace() bool {
	return slices.ContainsFunc(h.Stops, func(s Stop) bool {
		return s.Ended != 0 && !slices.ContainsFunc(h.Disturbances, func(d Disturbance) bool {
			concerns := d.Node == s.Node || d.Node == AllNodes
			return concerns && !d.planned(&s) && d.From < s.Ended && d.To+stopTested > s.At
		})
	})
}

// poisonTold reports whether the harmful request came again after nodes had to know of it, to
// one that was in touch.
func (h *History) poisonTold() bool {
	third, known := h.thirdEnd()
	return known && h.end() > third+poisonBound+settling && !h.disturbedThroughout(third+poisonBound, h.end())
}

// acquittalDue reports whether what many ask for had to be taken again before the end, while
// something was in touch and no later end excused its refusal.
func (h *History) acquittalDue() bool {
	third, _ := h.thirdEnd()
	allowed := h.bystanderRefusals()
	for at := third + acquittedWithin; at+settling < h.end(); at += time.Second {
		excused := slices.ContainsFunc(allowed, func(a refusal) bool { return a.from <= at && at < a.to })
		if !excused && !h.disturbedThroughout(at, at+time.Second) {
			return true
		}
	}
	return false
}

// disturbedThroughout reports whether at no second of a time all links between nodes and the
// store were in order.
func (h *History) disturbedThroughout(from, to time.Duration) bool {
	for at := from; at < to; at += time.Second {
		if !h.peersDisturbed(at, at) && !h.disturbed(AllNodes, at, at, ScopeStore) {
			return false
		}
	}
	return true
}

// keyed reports whether callers gave keys.
func (h *History) keyed() bool {
	return slices.ContainsFunc(h.Requests, func(r Request) bool { return r.Key != "" })
}

// end is when the last request was sent.
func (h *History) end() time.Duration {
	end := time.Duration(0)
	for i := range h.Requests {
		end = max(end, h.Requests[i].Sent)
	}
	return end
}

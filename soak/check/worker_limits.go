package check

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Tolerances for a rate limit that a worker announces. From workerLimitGrace after the announcement
// on, any workerLimitWindow may have workerLimitOverrun times the limit and workerLimitExtra requests
// more.
const (
	workerLimitGrace   = 3 * time.Second
	workerLimitWindow  = 4 * time.Second
	workerLimitOverrun = 1.5
	workerLimitExtra   = 5
)

// checkWorkerLimits checks that all nodes together send a worker no more than its announced limit and
// the tolerances allow. Nodes that were restarted, paused or cut off from others are excluded. Every
// window that begins with a run is one observation.
func checkWorkerLimits(h *History, f *Finding) {
	requests := h.requestsByID()
	for i := range h.WorkerLimits {
		limit := &h.WorkerLimits[i]
		runs := h.runsUnderLimit(limit, requests)
		maxRequests := workerLimitOverrun*limit.PerSecond*workerLimitWindow.Seconds() + workerLimitExtra
		last := 0
		for first := range runs {
			for last < len(runs) && runs[last]-runs[first] < workerLimitWindow {
				last++
			}
			detail := ""
			if got := last - first; float64(got) > maxRequests {
				detail = fmt.Sprintf("got %d requests in %s, %.1f are allowed", got, workerLimitWindow, maxRequests)
			}
			f.record(limit.Worker, runs[first], detail)
		}
	}
}

// runsUnderLimit returns the sorted start times of the runs at a worker while nodes had to know its
// limit. Disturbances of the store are no excuse; runs that a link may have held back are skipped.
func (h *History) runsUnderLimit(limit *WorkerLimit, requests map[string]*Request) []time.Duration {
	var times []time.Duration
	for i := range h.Runs {
		run := &h.Runs[i]
		request := requests[run.Request]
		if run.Worker != limit.Worker || request == nil || run.At < limit.From+workerLimitGrace || run.At > limit.To {
			continue
		}
		if !h.disturbed(request.Node, request.Sent, run.At, ScopeProcess, ScopePeer) && !h.workerDisturbed(run.Worker, request.Sent, run.At) {
			times = append(times, run.At)
		}
	}
	slices.SortFunc(times, cmp.Compare[time.Duration])
	return times
}

package check

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// What a worker gets that named a limit: within any window, from workerLimitKnown on, so many times
// the limit and so many requests beside.
const (
	workerLimitKnown   = 3 * time.Second
	workerLimitWindow  = 4 * time.Second
	workerLimitOverrun = 1.5
	workerLimitBeside  = 5
)

// workerLimitsKept: nodes that were not restarted, frozen or cut send a worker together no more than
// it said that it takes. Judged is each window that begins with a run.
func workerLimitsKept(h *History, f *Finding) {
	requests := h.requestsByID()
	for i := range h.WorkerLimits {
		limit := &h.WorkerLimits[i]
		runs := h.runsUnderLimit(limit, requests)
		most := workerLimitOverrun*limit.PerSecond*workerLimitWindow.Seconds() + workerLimitBeside
		last := 0
		for first := range runs {
			for last < len(runs) && runs[last]-runs[first] < workerLimitWindow {
				last++
			}
			detail := ""
			if got := last - first; float64(got) > most {
				detail = fmt.Sprintf("got %d requests in %s, %.1f are allowed", got, workerLimitWindow, most)
			}
			f.judge(limit.Worker, runs[first], detail)
		}
	}
}

// runsUnderLimit lists when runs began at a worker while its limit had to be known, in order. Trouble
// of the store excuses nothing; runs that a link held back are left out.
func (h *History) runsUnderLimit(limit *WorkerLimit, requests map[string]*Request) []time.Duration {
	var times []time.Duration
	for i := range h.Runs {
		run := &h.Runs[i]
		request := requests[run.Request]
		if run.Worker != limit.Worker || request == nil || run.At < limit.From+workerLimitKnown || run.At > limit.To {
			continue
		}
		if !h.disturbed(request.Node, request.Sent, run.At, ScopeProcess, ScopePeer) && !h.workerDisturbed(run.Worker, request.Sent, run.At) {
			times = append(times, run.At)
		}
	}
	slices.SortFunc(times, cmp.Compare[time.Duration])
	return times
}

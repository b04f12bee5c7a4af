package check

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// What a worker gets that named a limit: within any window, from needKnown on, so many times the
// limit and so many requests beside.
const (
	needKnown   = 3 * time.Second
	needWindow  = 4 * time.Second
	needOverrun = 1.5
	needBeside  = 5
)

// needsKept: nodes that were not restarted, frozen or cut send a worker together no more than it
// said that it takes. Judged is each window that begins with a run.
func needsKept(h *History, f *Finding) {
	requests := h.requestsByID()
	for i := range h.Needs {
		need := &h.Needs[i]
		runs := h.runsInNeed(need, requests)
		most := needOverrun*need.PerSecond*needWindow.Seconds() + needBeside
		last := 0
		for first := range runs {
			for last < len(runs) && runs[last]-runs[first] < needWindow {
				last++
			}
			detail := ""
			if got := last - first; float64(got) > most {
				detail = fmt.Sprintf("got %d requests in %s, %.1f are allowed", got, needWindow, most)
			}
			f.judge(need.Worker, runs[first], detail)
		}
	}
}

// runsInNeed lists when runs began at a worker while its limit had to be known, in order. Trouble
// of the store excuses nothing; runs that a link held back are left out.
func (h *History) runsInNeed(need *Need, requests map[string]*Request) []time.Duration {
	var times []time.Duration
	for i := range h.Runs {
		run := &h.Runs[i]
		request := requests[run.Request]
		if run.Worker != need.Worker || request == nil || run.At < need.From+needKnown || run.At > need.To {
			continue
		}
		if !h.disturbed(request.Node, request.Sent, run.At, ScopeProcess, ScopePeer) && !h.workerDisturbed(run.Worker, request.Sent, run.At) {
			times = append(times, run.At)
		}
	}
	slices.SortFunc(times, cmp.Compare[time.Duration])
	return times
}

package check

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// PoisonPrefix begins the identifiers of all attempts of the harmful request. PoisonBody
	// is their common body, which crashes each worker that begins to run it.
	PoisonPrefix = "poison-"
	PoisonBody   = "ends the worker that runs it"
	// PopularPrefix begins the identifiers of requests that all have the same harmless body.
	PopularPrefix = "popular-"
	popularBody   = "what many ask for"
	// poisonThreshold is the number of crashed machines after which a request is known to be
	// harmful. maxPoisonRunsAfterBound is the number of runs allowed after that.
	poisonThreshold         = 3
	maxPoisonRunsAfterBound = 3
	// poisonBound is the time within which nodes must know of a harmful request: half of the
	// bound promised to users, and a tolerance for a busy machine.
	poisonBound = 1500*time.Millisecond + poisonSlack
	// maxAcquittalDelay is how long the popular request may be refused because it ran on the
	// workers that crashed. It is tried again after a second, and once more after 10 s if the
	// node that was to try it has ended.
	maxAcquittalDelay = poisonBound + 12*time.Second
)

// checkPoisonContainment checks that once the harmful request has crashed poisonThreshold workers and
// all nodes must know it, undisturbed nodes send it to workers at most maxPoisonRunsAfterBound
// times more.
func checkPoisonContainment(h *History, f *Finding) {
	requests := map[string]*Request{}
	for i := range h.Requests {
		requests[h.Requests[i].ID] = &h.Requests[i]
	}
	third, known := h.poisonKnownFrom()
	if !known {
		return
	}
	runsAfterBound := 0
	for i := range h.Requests {
		r := &h.Requests[i]
		if strings.HasPrefix(r.ID, PoisonPrefix) && h.mustKnowPoison(r, r.Sent, third) {
			f.record(r.ID, r.Sent, "")
		}
	}
	for _, run := range h.poisonRuns() {
		if sender := requests[run.Request]; sender == nil || !h.mustKnowPoison(sender, run.At, third) {
			continue
		}
		if runsAfterBound++; runsAfterBound > maxPoisonRunsAfterBound {
			f.record(run.Request, run.At, fmt.Sprintf("node %d sent it to %s %s after the third worker had ended", requests[run.Request].Node, run.Worker, run.At-third))
		}
	}
}

// mustKnowPoison reports whether the node of a request must have known of the harmful request at a
// time: poisonBound had passed, and the node ran and was connected to the others.
func (h *History) mustKnowPoison(r *Request, at, third time.Duration) bool {
	return at > third+poisonBound && !h.disturbed(r.Node, at, at, ScopeProcess, ScopeStore) && !h.peersDisturbed(at, at)
}

// poisonRuns returns the runs of the harmful request, oldest first.
func (h *History) poisonRuns() []*Run {
	var runs []*Run
	for i := range h.Runs {
		if h.Runs[i].Body == PoisonBody {
			runs = append(runs, &h.Runs[i])
		}
	}
	slices.SortFunc(runs, func(a, b *Run) int { return int(a.At - b.At) })
	return runs
}

// poisonKnownFrom returns when the harmful request crashed the last worker that poisonThreshold
// requires, and false if it crashed fewer.
func (h *History) poisonKnownFrom() (time.Duration, bool) {
	ended := map[string]bool{}
	for _, run := range h.poisonRuns() {
		ended[run.Worker] = true
		if len(ended) == poisonThreshold {
			return run.At, true
		}
	}
	return 0, false
}

// refusalPeriod is a period in which the popular request may be refused as harmful.
type refusalPeriod struct{ from, to time.Duration }

// bystanderRefusals returns the periods after crashes of workers that ran the popular request at
// the same time as the harmful one. The popular request is tried again after a second, or later if
// the node that was to try it may have ended.
func (h *History) bystanderRefusals() []refusalPeriod {
	var refusals []refusalPeriod
	requests := h.requestsByID()
	for _, end := range h.poisonRuns() {
		beside := slices.ContainsFunc(h.Runs, func(run Run) bool {
			if run.Worker != end.Worker || !strings.HasPrefix(run.Request, PopularPrefix) {
				return false
			}
			request := requests[run.Request]
			return request != nil && request.Sent <= end.At && request.Ended >= end.At
		})
		if !beside {
			continue
		}
		length := poisonBound
		if h.anyProcessDisturbed(end.At, end.At+poisonBound) {
			length = maxAcquittalDelay
		}
		refusals = append(refusals, refusalPeriod{end.At, end.At + length})
	}
	return refusals
}

// anyProcessDisturbed reports whether the process of some node was started, stopped, killed or
// paused at any time between from and to.
func (h *History) anyProcessDisturbed(from, to time.Duration) bool {
	return slices.ContainsFunc(h.Disturbances, func(d Disturbance) bool {
		return d.Scope == ScopeProcess && d.From <= to && d.To >= from
	})
}

// checkBystanders checks that the popular request is refused as harmful only for a limited time,
// also after later crashes of workers that ran it. Other requests are sent only once, so a lasting
// refusal of them would not be seen.
func checkBystanders(h *History, f *Finding) {
	third, _ := h.poisonKnownFrom()
	allowed := h.bystanderRefusals()
	for i := range h.Requests {
		r := &h.Requests[i]
		if !strings.HasPrefix(r.ID, PopularPrefix) || r.Sent < third+maxAcquittalDelay || h.disturbed(r.Node, r.Sent, r.Sent, ScopeProcess, ScopeStore) || h.peersDisturbed(r.Sent, r.Sent) {
			continue
		}
		if slices.ContainsFunc(allowed, func(a refusalPeriod) bool { return a.from <= r.Sent && r.Sent < a.to }) {
			continue
		}
		detail := ""
		if strings.Contains(r.Body, `"poison_request"`) {
			detail = fmt.Sprintf("node %d refused it as harmful %s after the third worker had ended", r.Node, r.Sent-third)
		}
		f.record(r.ID, r.Sent, detail)
	}
}

package check

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// PoisonPrefix begins the identifiers of the harmful request's tries, PoisonBody is what
	// all of them carry: it ends each worker that begins to run it.
	PoisonPrefix = "poison-"
	PoisonBody   = "ends the worker that runs it"
	// PopularPrefix begins the identifiers of requests that all ask for the same.
	PopularPrefix = "popular-"
	popularBody   = "what many ask for"
	// poisonEnds machines that ended make it known, poisonSends are allowed after that.
	poisonEnds  = 3
	poisonSends = 3
	// poisonBound is within what nodes know: half of the users' bound, and what a busy
	// machine needs besides.
	poisonBound = 1500*time.Millisecond + poisonSlack
	// acquittedWithin is how long after that what many ask for may be refused, because it was
	// at the workers that ended: it is tried again after a second, and once more after 10 s
	// where the node that was to try it ended.
	acquittedWithin = poisonBound + 12*time.Second
)

// poisonHeldBack: once the harmful request has ended three workers, workers run it three
// times more at most, sent by nodes where nothing was out of order.
func poisonHeldBack(h *History, f *Finding) {
	node := map[string]*Request{}
	for i := range h.Requests {
		node[h.Requests[i].ID] = &h.Requests[i]
	}
	third, known := h.thirdEnd()
	if !known {
		return
	}
	late := 0
	for i := range h.Requests {
		r := &h.Requests[i]
		if strings.HasPrefix(r.ID, PoisonPrefix) && h.poisonJudged(r, r.Sent, third) {
			f.judge(r.ID, r.Sent, "")
		}
	}
	for _, run := range h.poisonRuns() {
		if sender := node[run.Request]; sender == nil || !h.poisonJudged(sender, run.At, third) {
			continue
		}
		if late++; late > poisonSends {
			f.judge(run.Request, run.At, fmt.Sprintf("node %d sent it to %s %s after the third worker had ended", node[run.Request].Node, run.Worker, run.At-third))
		}
	}
}

// poisonJudged reports whether a node must have known of the harmful request at a time: it
// ran and heard of others for a while.
func (h *History) poisonJudged(r *Request, at, third time.Duration) bool {
	return at > third+poisonBound && !h.disturbed(r.Node, at, at, ScopeProcess, ScopeStore) && !h.peersDisturbed(at, at)
}

// poisonRuns lists the harmful request's runs, oldest first.
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

// thirdEnd is when the third worker ended by the harmful request; false when none did.
func (h *History) thirdEnd() (time.Duration, bool) {
	ended := map[string]bool{}
	for _, run := range h.poisonRuns() {
		ended[run.Worker] = true
		if len(ended) == poisonEnds {
			return run.At, true
		}
	}
	return 0, false
}

// refusal is a time in which what many ask for may be refused as harmful.
type refusal struct{ from, to time.Duration }

// bystanderRefusals follow the ends of workers that ran what many ask for beside the harmful
// request. It is tried again after a second, later where the node that was to try it may have ended.
func (h *History) bystanderRefusals() []refusal {
	var refusals []refusal
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
			length = acquittedWithin
		}
		refusals = append(refusals, refusal{end.At, end.At + length})
	}
	return refusals
}

// anyProcessDisturbed reports whether the process of some node ended, began or stood still.
func (h *History) anyProcessDisturbed(from, to time.Duration) bool {
	return slices.ContainsFunc(h.Disturbances, func(d Disturbance) bool {
		return d.Scope == ScopeProcess && d.From <= to && d.To >= from
	})
}

// bystandersTaken: what many ask for is not refused for long as if it were harmful, also after
// a later end beside which it ran. Other requests come once, so that it would not show.
func bystandersTaken(h *History, f *Finding) {
	third, _ := h.thirdEnd()
	allowed := h.bystanderRefusals()
	for i := range h.Requests {
		r := &h.Requests[i]
		if !strings.HasPrefix(r.ID, PopularPrefix) || r.Sent < third+acquittedWithin || h.disturbed(r.Node, r.Sent, r.Sent, ScopeProcess, ScopeStore) || h.peersDisturbed(r.Sent, r.Sent) {
			continue
		}
		if slices.ContainsFunc(allowed, func(a refusal) bool { return a.from <= r.Sent && r.Sent < a.to }) {
			continue
		}
		detail := ""
		if strings.Contains(r.Body, `"poison_request"`) {
			detail = fmt.Sprintf("node %d refused it as harmful %s after the third worker had ended", r.Node, r.Sent-third)
		}
		f.judge(r.ID, r.Sent, detail)
	}
}

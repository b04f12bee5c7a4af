package check

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// HarmfulPartPrefix begins the identifiers of requests with a part of their prompts that crashes
	// each engine that begins to answer them, and BesidePartPrefix those of sound ones with the same
	// caller and the same first part.
	HarmfulPartPrefix = "part-"
	BesidePartPrefix  = "beside-"
	harmfulPart       = "dead0001"
	soundPart         = "50000001"
	// partThreshold is the number of crashed engines after which the part is known to be harmful.
	// maxPartRunsAfterBound is the number of runs allowed from partBound after that, the time promised
	// to users.
	partThreshold         = 5
	maxPartRunsAfterBound = 3
	partBound             = 3 * time.Second
	// besideBound is the time after which sound requests must begin again: twice partBound.
	besideBound = 2 * partBound
	// minBeside is the number of sound requests from which their share is judged, and besideShare the
	// least share of them that begin, in proportion to other streams at the same time.
	minBeside   = 20
	besideShare = 0.5
)

// PromptParts returns the parts of the prompt of a request in the form in which callers state them,
// empty for requests that state none.
func PromptParts(id string) string {
	own := fmt.Sprintf("%x", []byte(id)[max(len(id)-6, 0):])
	switch {
	case strings.HasPrefix(id, HarmfulPartPrefix):
		return fmt.Sprintf("%s:100,%s:50,%s:20", soundPart, harmfulPart, own)
	case strings.HasPrefix(id, BesidePartPrefix):
		return fmt.Sprintf("%s:100,%s:20", soundPart, own)
	}
	return ""
}

// HasHarmfulPart reports whether the parts of a prompt, the last one not counted, include the one that
// crashes engines.
func HasHarmfulPart(parts string) bool { return strings.Contains(parts, harmfulPart+":") }

// partRuns returns the runs of requests with the harmful part, oldest first.
func (h *History) partRuns() []*Run {
	var runs []*Run
	for i := range h.Runs {
		if strings.HasPrefix(h.Runs[i].Request, HarmfulPartPrefix) {
			runs = append(runs, &h.Runs[i])
		}
	}
	slices.SortFunc(runs, func(a, b *Run) int { return cmp.Compare(a.At, b.At) })
	return runs
}

// partKnownFrom returns when the harmful part crashed the last engine that partThreshold requires, and
// false if it crashed fewer.
func (h *History) partKnownFrom() (time.Duration, bool) {
	ended := map[string]bool{}
	for _, run := range h.partRuns() {
		ended[run.Worker] = true
		if len(ended) == partThreshold {
			return run.At, true
		}
	}
	return 0, false
}

// checkHarmfulPart checks that once the harmful part has crashed partThreshold engines and all nodes must
// know it, undisturbed nodes send requests with it at most maxPartRunsAfterBound times more.
func checkHarmfulPart(h *History, f *Finding) {
	fifth, known := h.partKnownFrom()
	if !known {
		return
	}
	requests := h.requestsByID()
	mustKnow := func(node int, at time.Duration) bool {
		return at > fifth+partBound && !h.disturbed(node, at, at, ScopeProcess, ScopeStore) && !h.peersDisturbed(at, at)
	}
	for i := range h.Requests {
		if r := &h.Requests[i]; strings.HasPrefix(r.ID, HarmfulPartPrefix) && mustKnow(r.Node, r.Sent) {
			f.record(r.ID, r.Sent, "")
		}
	}
	after := 0
	for _, run := range h.partRuns() {
		sender := requests[run.Request]
		if sender == nil || !mustKnow(sender.Node, run.At) {
			continue
		}
		if after++; after > maxPartRunsAfterBound {
			f.record(run.Request, run.At, fmt.Sprintf("node %d sent it to %s %s after the fifth engine had ended", sender.Node, run.Worker, run.At-fifth))
		}
	}
}

// checkBesidePart checks that sound requests with the caller and the first part of harmful ones begin, from
// besideBound after the fifth engine crashed, or the last if there were fewer, at least half as often as other
// streams do at the same time.
func checkBesidePart(h *History, f *Finding) {
	runs := h.partRuns()
	if len(runs) == 0 {
		return
	}
	from, known := h.partKnownFrom()
	if !known {
		from = runs[len(runs)-1].At
	}
	var beside, others tally
	for i := range h.Requests {
		request := &h.Requests[i]
		counts := request.Route == RouteStream && request.Resumes == "" && request.Sent >= from+besideBound
		if !counts || h.disturbed(request.Node, request.Sent, request.Ended, ScopeProcess, ScopeCaller, ScopeStore, ScopePath) {
			continue
		}
		began := request.Status == http.StatusOK && strings.Contains(request.Body, "\n\n")
		switch {
		case strings.HasPrefix(request.ID, BesidePartPrefix):
			beside.add(began)
		case strings.HasPrefix(request.ID, "n"):
			others.add(began)
		}
	}
	if beside.sent < minBeside || others.sent < minBeside {
		return
	}
	detail := ""
	if beside.share() < besideShare*others.share() {
		detail = fmt.Sprintf("%d of %d began, %d of %d other streams", beside.served, beside.sent, others.served, others.sent)
	}
	f.Judged += beside.sent - 1
	f.record("requests beside a harmful part", from, detail)
}

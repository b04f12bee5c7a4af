package check

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/valveslip/valveslip/standin/worker"
)

// refusalStatuses are the HTTP statuses which state that the request has not run and never will.
var refusalStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// checkRunsOnce checks that each request of RouteWrite and RouteOnce runs at most once.
func checkRunsOnce(h *History, f *Finding) {
	runs := h.runsByRequest()
	for i := range h.Requests {
		request := &h.Requests[i]
		if request.Route != RouteWrite && request.Route != RouteOnce {
			continue
		}
		detail := ""
		if ran := runs[request.ID]; len(ran) > 1 {
			detail = "ran " + describeRuns(ran)
		}
		f.record(request.ID, request.Sent, detail)
	}
}

// checkRefusedNeverRuns checks that a refused request ran neither before nor after the refusal.
func checkRefusedNeverRuns(h *History, f *Finding) {
	runs := h.runsByRequest()
	for i := range h.Requests {
		request := &h.Requests[i]
		if !slices.Contains(refusalStatuses, request.Status) {
			continue
		}
		detail := ""
		if ran := runs[request.ID]; len(ran) > 0 {
			detail = fmt.Sprintf("refused with %d at %s, ran %s", request.Status, request.Ended, describeRuns(ran))
		}
		f.record(request.ID, request.Sent, detail)
	}
}

// describeRuns lists the worker and start time of each run.
func describeRuns(runs []*Run) string {
	texts := make([]string, 0, len(runs))
	for _, run := range runs {
		texts = append(texts, fmt.Sprintf("on %s at %s", run.Worker, run.At))
	}
	return strings.Join(texts, ", ")
}

// checkAnswers checks that a complete answer has the identifier of its request, a worker's
// stamp and the full text that this worker returns, and that workers received the body
// of the request unchanged.
func checkAnswers(h *History, f *Finding) {
	runs := h.runsByRequest()
	for i := range h.Requests {
		request := &h.Requests[i]
		for _, run := range runs[request.ID] {
			if run.Body != Body(request.ID) {
				f.record(request.ID, run.At, fmt.Sprintf("worker %s got the body %q", run.Worker, run.Body))
			}
		}
		if request.Status != http.StatusOK || request.Failure != "" {
			continue
		}
		f.record(request.ID, request.Ended, request.describeMismatch())
	}
}

// Body returns the body that callers send with a request.
func Body(id string) string {
	if strings.HasPrefix(id, PoisonPrefix) {
		return PoisonBody
	}
	if strings.HasPrefix(id, PopularPrefix) {
		return popularBody
	}
	return "prompt of " + id
}

// describeMismatch describes what is wrong with a complete answer; empty if nothing is.
func (r *Request) describeMismatch() string {
	from := strings.TrimPrefix(r.Stamp, worker.Stamp(""))
	switch {
	case r.EchoedID != r.ID:
		return fmt.Sprintf("the answer is that of %q", r.EchoedID)
	case r.Stamp == "" || from == r.Stamp:
		return fmt.Sprintf("the stamp is %q", r.Stamp)
	case !r.Route.Streams() && r.Body != worker.AnswerText(r.ID, from):
		return fmt.Sprintf("the body is %q", r.Body)
	}
	return ""
}

// checkStreams checks that a stream which ended regularly has all events, and one that was
// cut has a prefix of them.
func checkStreams(h *History, f *Finding) {
	for i := range h.Requests {
		request := &h.Requests[i]
		if !request.Route.Streams() || request.Status != http.StatusOK {
			continue
		}
		whole := worker.StreamText(request.ID, request.After, h.Bounds.StreamEvents)
		detail := ""
		switch {
		case request.Failure == "" && request.Body != whole:
			detail = fmt.Sprintf("ended whole with %q", request.Body)
		case !strings.HasPrefix(whole, request.Body):
			detail = fmt.Sprintf("cut (%s) after %q", request.Failure, request.Body)
		}
		f.record(request.ID, request.Ended, detail)
	}
}

// checkAnswerDeadlines checks that at undisturbed nodes every request gets a complete answer
// within its deadline plus answerSlack. A stream that has begun may be cut at its deadline,
// or if a worker that ran it was disturbed, or while all nodes are killed. An answer may be too long if such a
// worker wrote it.
func checkAnswerDeadlines(h *History, f *Finding) {
	runs := h.runsByRequest()
	for i := range h.Requests {
		request := &h.Requests[i]
		if h.disturbed(request.Node, request.Sent, request.Ended, ScopeProcess, ScopeCaller) {
			continue
		}
		begun := request.Route.Streams() && request.Status == http.StatusOK || request.TooLong
		took := request.Ended - request.Sent
		detail := ""
		switch {
		case took > request.Deadline+answerSlack:
			detail = fmt.Sprintf("took %s of %s", took, request.Deadline)
		case request.Failure == "" || request.Left || request.cutAtDeadline() || h.cutBesideKill(request):
		case !begun || !h.workerDisturbedDuring(request, runs[request.ID]):
			detail = fmt.Sprintf("no whole answer after %s: %s", took, request.Failure)
		}
		f.record(request.ID, request.Sent, detail)
	}
}

// cutAtDeadline reports whether a stream that had begun was cut at its deadline.
func (r *Request) cutAtDeadline() bool {
	return r.Route.Streams() && r.Status == http.StatusOK && r.Ended-r.Sent >= r.Deadline
}

// AnswerLimit returns how long callers wait for the answer to a request with a deadline.
func AnswerLimit(deadline time.Duration) time.Duration { return deadline + answerSlack + maxReadTime }

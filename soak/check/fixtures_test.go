package check

import (
	"fmt"
	"net/http"
	"time"

	"github.com/valveslip/valveslip/standin/worker"
)

// addResumedStreams adds streams that are cut after two events and resumed at another node, while two workers
// of each of two software versions serve.
func addResumedStreams(h *History) {
	h.StreamService = "engine"
	for n, release := range []string{"v1", "v1", "v2", "v2"} {
		h.Lives = append(h.Lives, Life{Worker: fmt.Sprintf("engine-%d", n), Service: "engine", Release: release, To: time.Minute})
	}
	for n := range minResumed {
		first := completedRequest(fmt.Sprintf("resumable-%d", n), RouteStream, 14*time.Second)
		first.Node, first.LeavesAfter, first.Left, first.Failure, first.Body = 1, 2, true, "left", worker.StreamText(first.ID, 0, 2)
		next := completedRequest(first.ID+"+", RouteStream, 15*time.Second)
		next.Node, next.After, next.Resumes, next.Body = 1, 2, first.ID, worker.StreamText(next.ID, 2, testEvents)
		began, resumed := runOf(first.ID, "engine-0", first.Sent), runOf(next.ID, "engine-1", next.Sent)
		began.Release, began.Events = "v1", 4
		resumed.Release, resumed.After, resumed.Events = "v1", 2, testEvents-2
		// The caller got no event of this run.
		lost := runOf(next.ID, "engine-2", next.Sent-time.Millisecond)
		lost.Release, lost.After, lost.Events = "v2", 2, 1
		h.Requests = append(h.Requests, first, next)
		h.Runs = append(h.Runs, began, resumed, lost)
	}
}

// addSkew adds a time in which most callers come to node 1.
func addSkew(h *History) {
	h.Skews = append(h.Skews, Skew{Node: 1, From: 50 * time.Second, To: 60 * time.Second})
	for n := range 2 * minSkewed {
		for node := range 2 {
			request := completedRequest(fmt.Sprintf("n%d-skewed-%d", node, n), RouteRead, 54*time.Second)
			request.Node = node
			h.Requests = append(h.Requests, request)
			h.Runs = append(h.Runs, runOf(request.ID, "w1", request.Sent))
		}
	}
}

// addHarmfulPart adds requests with a part that crashes five engines, and sound ones beside them. Both are
// sent until long after all nodes must know the part.
func addHarmfulPart(h *History) {
	for n := range 10 {
		try := Request{ID: fmt.Sprintf("%s%d", HarmfulPartPrefix, n), Node: 1, Route: RouteStream, Status: http.StatusBadGateway, Sent: time.Second + time.Duration(n)*time.Second/2}
		if n < partThreshold {
			h.Runs = append(h.Runs, runOf(try.ID, fmt.Sprintf("crashed-%d", n), try.Sent))
		} else {
			try.Status, try.Sent = http.StatusServiceUnavailable, 10*time.Second
		}
		try.Ended = try.Sent
		h.Requests = append(h.Requests, try)
	}
	for n := range minBeside {
		for _, id := range []string{BesidePartPrefix, "n1-other-"} {
			request := completedRequest(fmt.Sprintf("%s%d", id, n), RouteStream, 12*time.Second)
			request.Node = 1
			h.Requests = append(h.Requests, request)
			h.Runs = append(h.Runs, runOf(request.ID, "w1", request.Sent))
		}
	}
}

// addStreamsAfterKill adds streams that a kill of all nodes breaks off after two events. One try to take them up
// reaches no node, the next one brings the rest.
func addStreamsAfterKill(h *History) {
	at := 150 * time.Second
	for n, release := range []string{"v1", "v1", "v2", "v2"} {
		h.Lives = append(h.Lives, Life{Worker: fmt.Sprintf("late-engine-%d", n), Service: "engine", Release: release, From: at - 10*time.Second, To: at + time.Minute})
	}
	h.KillsOfAll = append(h.KillsOfAll, KillOfAll{From: at, To: at + 20*time.Millisecond})
	for node := range 2 {
		h.Disturbances = append(h.Disturbances, Disturbance{Node: node, Scope: ScopeProcess, From: at, To: at + time.Second})
	}
	for n := range minResumed {
		first := completedRequest(fmt.Sprintf("killed-%d", n), RouteStream, at-2*time.Second)
		first.Node, first.Deadline, first.Ended = 1, 5*time.Second, at+10*time.Millisecond
		first.Failure, first.Body = "reset", worker.StreamText(first.ID, 0, 2)
		refused := Request{ID: first.ID + "+", Route: RouteStream, After: 2, Resumes: first.ID, Deadline: first.Deadline, Failure: "refused", Sent: at + 100*time.Millisecond, Ended: at + 101*time.Millisecond}
		next := completedRequest(first.ID+"++", RouteStream, at+1800*time.Millisecond)
		next.Deadline, next.After, next.Resumes, next.Body = first.Deadline, 2, first.ID, worker.StreamText(next.ID, 2, testEvents)
		began, resumed := runOf(first.ID, "late-engine-0", first.Sent), runOf(next.ID, "late-engine-1", next.Sent)
		began.Release, began.Events = "v1", 4
		resumed.Release, resumed.After, resumed.Events = "v1", 2, testEvents-2
		h.Requests = append(h.Requests, first, refused, next)
		h.Runs = append(h.Runs, began, resumed)
	}
}

package check

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/valveslip/valveslip/standin/worker"
)

// repeatPoison makes a node send the harmful request long after it has crashed three workers.
func repeatPoison(h *History, node int) {
	for n := range maxPoisonRunsAfterBound + 1 {
		try := Request{
			ID: fmt.Sprintf("%sagain-%d-%d", PoisonPrefix, node, n), Node: node, Route: RouteWrite, Status: http.StatusBadGateway,
			Sent: 12*time.Second + time.Duration(n)*time.Second, Ended: 16 * time.Second,
		}
		h.Requests = append(h.Requests, try)
		h.Runs = append(h.Runs, runOf(try.ID, fmt.Sprintf("late-%d-%d", node, n), try.Sent))
	}
}

// plantedDefects are applied to validHistory one at a time. Each must be found by the check of its
// promise.
var plantedDefects = []struct {
	promise Promise
	name    string
	plant   func(*History)
}{
	{PromisePoison, "a node that forgets", func(h *History) { repeatPoison(h, 1) }},
	{PromisePoison, "nodes that count alone", func(h *History) { repeatPoison(h, 0); repeatPoison(h, 1) }},
	{PromiseBystanders, "a node that convicts bystanders", func(h *History) {
		h.Requests = append(h.Requests, Request{
			ID: PopularPrefix + "1", Node: 1, Route: RouteRead, Status: http.StatusServiceUnavailable, Body: `{"code":"poison_request"}`,
			Sent: 4*time.Second + maxAcquittalDelay, Ended: 4*time.Second + maxAcquittalDelay,
		})
	}},
	{PromiseKeys, "a node that keeps old keys", func(h *History) {
		kept := completedRequest("keyed-late", RouteKeyed, 11*time.Second)
		kept.Key = "old"
		h.Requests = append(h.Requests, kept)
		h.Runs = append(h.Runs, runOf(kept.ID, "w1", kept.Sent))
	}},
	{PromiseLimit, "a node that spends without asking", func(h *History) {
		flood := completedRequest(FloodPrefix+"beyond", RouteKeyed, 12*time.Second)
		h.Requests = append(h.Requests, flood)
		h.Runs = append(h.Runs, runOf(flood.ID, "w1", flood.Sent))
	}},
	{PromiseWorkerLimit, "nodes that keep a limit each for itself", func(h *History) {
		for n := range 12 {
			beyond := completedRequest(fmt.Sprintf("beyond-%d", n), RouteRead, 13*time.Second)
			beyond.Node = n % 2
			h.Requests = append(h.Requests, beyond)
			h.Runs = append(h.Runs, runOf(beyond.ID, "needy", beyond.Sent))
		}
	}},
	{PromiseOnce, "a second run", func(h *History) { h.Runs = append(h.Runs, runOf("n0-0", "w2", 13*time.Second)) }},
	{PromiseNeverRun, "a later run of a refused request", func(h *History) {
		h.Runs = append(h.Runs, runOf("refused", "w1", 30*time.Second))
	}},
	{PromiseNeverRun, "a refusal for too many requests after a run", func(h *History) {
		h.Requests[0].Status = http.StatusTooManyRequests
	}},
	{PromiseWhole, "another request's answer", func(h *History) { h.Requests[0].EchoedID = "other" }},
	{PromiseWhole, "another request's body", func(h *History) { h.Requests[0].Body = worker.AnswerText("other", "w1") }},
	{PromiseWhole, "a body that was cut and looks whole", func(h *History) { h.Requests[0].Body = h.Requests[0].Body[:9] }},
	{PromiseWhole, "an answer without a stamp", func(h *History) { h.Requests[0].Stamp = "" }},
	{PromiseWhole, "a worker that gets another body", func(h *History) { h.Runs[0].Body = "other" }},
	{PromiseStream, "a lost event", replaceStreamBody(func(id string) string {
		return worker.StreamText(id, 0, 2) + worker.StreamText(id, 3, testEvents)
	})},
	{PromiseStream, "a repeated event", replaceStreamBody(func(id string) string {
		return worker.StreamText(id, 0, 2) + worker.StreamText(id, 1, testEvents)
	})},
	{PromiseStream, "a mixture", replaceStreamBody(func(id string) string {
		return worker.StreamText(id, 0, 2) + worker.StreamText("other", 2, testEvents)
	})},
	{PromiseStream, "an end that is too early", replaceStreamBody(func(id string) string { return worker.StreamText(id, 0, 4) })},
	{PromiseHolder, "an order of a holder that was followed", func(h *History) {
		h.Orders = append(h.Orders, Order{Worker: "e1", Holder: "a", Fence: 3, At: 10 * time.Second})
	}},
	{PromiseHolder, "two holders under one fence", func(h *History) {
		h.Orders = append(h.Orders, Order{Worker: "e2", Holder: "c", Fence: 4, At: 10 * time.Second})
	}},
	{PromiseMemory, "a load that does not fit", func(h *History) { h.Orders[0].Overfills = true }},
	{PromiseLoads, "a load too many", func(h *History) {
		h.Orders = append(h.Orders, Order{Worker: "e2", Holder: "a", Fence: 3, At: 2 * time.Second, Load: true})
	}},
	{PromiseLeaving, "work after the bound", func(h *History) {
		request := completedRequest("late", RouteRead, 18*time.Second)
		request.Node = 1
		h.Requests = append(h.Requests, request)
		h.Runs = append(h.Runs, runOf("late", "w2", 18*time.Second))
	}},
	{PromiseLeavingAnswer, "a node that doesn't hear what answers say", func(h *History) {
		unheard := completedRequest("unheard", RouteRead, 12*time.Second)
		unheard.Node = 1
		h.Requests = append(h.Requests, unheard)
		h.Runs = append(h.Runs, runOf("unheard", "going", 12*time.Second))
	}},
	{PromiseRest, "a node that goes by a back-off of its own", func(h *History) {
		for n := range 3 {
			again := Request{ID: fmt.Sprintf("again-%d", n), Node: 1, Route: RouteRead, Sent: 8 * time.Second, Ended: 8 * time.Second, Status: http.StatusServiceUnavailable}
			h.Requests = append(h.Requests, again)
			h.Rejections = append(h.Rejections, Rejection{Request: again.ID, Worker: "shedding", Backoff: 3 * time.Second, At: again.Sent})
		}
	}},
	{PromiseConfiguration, "a version that is not in force", func(h *History) { h.Probes[len(h.Probes)-1].InForce = false }},
	{PromiseForward, "a version that comes back", func(h *History) {
		h.Probes = append(h.Probes, Probe{Node: 1, Life: 1, Version: 2, Sent: 18 * time.Second, Ended: 19 * time.Second})
	}},
	{PromiseForward, "a standing route that is not known", func(h *History) { h.Requests[0].Status = http.StatusNotFound }},
	{PromiseStop, "a request that ran and was cut by a stop", func(h *History) {
		cut := &h.Requests[len(h.Requests)-2]
		cut.Sent, cut.Ended, cut.Failure = 24500*time.Millisecond, 25*time.Second, "reset"
	}},
	{PromiseStop, "an answer without end of a sound worker in a stop", func(h *History) {
		cut := &h.Requests[len(h.Requests)-2]
		cut.Sent, cut.Ended, cut.Failure, cut.TooLong = 24500*time.Millisecond, 25*time.Second, "too long", true
	}},
	{PromiseStop, "a request that no worker saw and that was cut by a stop", func(h *History) {
		h.Requests[len(h.Requests)-2].Failure = "reset"
		h.Runs = h.Runs[:len(h.Runs)-1]
	}},
	{PromiseStop, "a stream that a stop cut before its caller would have left", func(h *History) {
		cut := &h.Requests[len(h.Requests)-2]
		cut.LeavesAfter, cut.Failure = 4, "reset"
	}},
	{PromiseLeave, "an answer in a stop that lets its caller keep the connection", func(h *History) {
		at := slices.IndexFunc(h.Requests, func(r Request) bool { return r.ID == "leaving" })
		h.Requests[at].ClosesConnection = false
	}},
	{PromiseLeave, "a kept connection that a stop closes", func(h *History) { h.Closings[0].At = 22 * time.Second }},
	{PromiseStopEnds, "a stop that does not end", func(h *History) {
		h.Stops[0].Ended += time.Minute
		h.Disturbances[0].To = h.Stops[0].Ended
		h.Disturbances[1].From = h.Stops[0].Ended
	}},
	{PromiseStopEnds, "a stop that ends with an error", func(h *History) { h.Stops[0].Status = 1 }},
	{PromiseAnswer, "an answer that comes too late", func(h *History) { h.Requests[1].Ended += time.Minute }},
	{PromiseAnswer, "an answer without end of a sound worker", func(h *History) {
		h.Requests[1].Failure, h.Requests[1].TooLong = "too long", true
	}},
	{PromiseOnce, "a second run of a stream that may not be resumed", func(h *History) {
		stream := completedRequest("once-again", RouteOnce, 13*time.Second)
		h.Requests = append(h.Requests, stream)
		h.Runs = append(h.Runs, runOf(stream.ID, "w1", stream.Sent), runOf(stream.ID, "w2", stream.Sent))
	}},
	{PromiseAnswer, "a connection that breaks", func(h *History) { h.Requests[1].Status, h.Requests[1].Failure = 0, "reset" }},
	{PromiseAnswer, "a stream that breaks", func(h *History) {
		at := slices.IndexFunc(h.Requests, func(r Request) bool { return r.Node == 1 && r.Route == RouteStream })
		h.Requests[at].Failure = "reset"
	}},
	{PromiseBrittle, "a worker that falls once more", func(h *History) {
		h.Falls = append(h.Falls, Fall{Worker: "w1", Service: "plain", At: 14 * time.Second})
	}},
	{PromiseSkew, "a node that refuses what comes beyond the usual", func(h *History) {
		for i := range h.Requests {
			if strings.HasPrefix(h.Requests[i].ID, "n1-skewed-") && i%3 == 0 {
				h.Requests[i].Status = http.StatusServiceUnavailable
			}
		}
	}},
	{PromisePart, "nodes that go by the content of whole requests", func(h *History) {
		for n := range maxPartRunsAfterBound + 1 {
			try := Request{ID: fmt.Sprintf("%sagain-%d", HarmfulPartPrefix, n), Node: 1, Route: RouteStream, Status: http.StatusBadGateway, Sent: 8 * time.Second, Ended: 8 * time.Second}
			h.Requests = append(h.Requests, try)
			h.Runs = append(h.Runs, runOf(try.ID, fmt.Sprintf("late-part-%d", n), try.Sent))
		}
	}},
	{PromiseBesidePart, "nodes that refuse the caller of harmful requests", func(h *History) {
		for i := range h.Requests {
			if strings.HasPrefix(h.Requests[i].ID, BesidePartPrefix) && i%4 != 0 {
				h.Requests[i].Status, h.Requests[i].Body = http.StatusServiceUnavailable, ""
			}
		}
	}},
	{PromiseRelease, "a stream that its caller resumes at another software version", func(h *History) {
		at := slices.IndexFunc(h.Runs, func(r Run) bool { return r.Request == "resumable-0+" && r.Release == "v1" })
		h.Runs[at].Release = "v2"
	}},
	{PromiseRelease, "a stream that a node continues at another software version", func(h *History) {
		at := slices.IndexFunc(h.Requests, func(r Request) bool { return r.Node == 1 && r.Route == RouteStream && r.Failure == "" })
		for n, release := range []string{"v1", "v2"} {
			run := runOf(h.Requests[at].ID, fmt.Sprintf("engine-%d", 2*n), h.Requests[at].Sent+time.Duration(n))
			run.Release, run.After, run.Events = release, 2*n, testEvents-2*n
			h.Runs = append(h.Runs, run)
		}
	}},
	{PromiseResumed, "nodes that refuse resumed streams", func(h *History) {
		for i := range h.Requests {
			if h.Requests[i].Resumes != "" && i%3 != 0 {
				h.Requests[i].Status, h.Requests[i].Body = http.StatusServiceUnavailable, ""
			}
		}
	}},
	{PromiseRelease, "a stream that goes on at another software version after all nodes were killed", func(h *History) {
		at := slices.IndexFunc(h.Runs, func(r Run) bool { return r.Request == "killed-0++" })
		h.Runs[at].Release = "v2"
	}},
	{PromiseAfterKill, "nodes that start and refuse streams whose origins are stored", func(h *History) {
		for i := range h.Requests {
			request := &h.Requests[i]
			if strings.HasPrefix(request.ID, "killed-") && strings.HasSuffix(request.ID, "++") && request.ID != "killed-0++" {
				request.Status, request.Body = http.StatusServiceUnavailable, ""
			}
		}
	}},
	{PromisePath, "a node that fails its callers while it is cut off from workers", func(h *History) {
		for i := range h.Requests {
			if strings.HasPrefix(h.Requests[i].ID, "n1-cut-") {
				h.Requests[i].Status = http.StatusBadGateway
			}
		}
	}},
	{PromiseLives, "a process that ends by itself", func(h *History) { h.Exits = []Exit{{Node: 1, At: time.Second, Status: "exit 2"}} }},
	{PromiseRecovery, "a node that stays away", func(h *History) { h.Recoveries[0].Reached = false }},
}

// replaceStreamBody returns a defect that replaces the body of the first stream.
func replaceStreamBody(text func(id string) string) func(*History) {
	return func(h *History) {
		at := slices.IndexFunc(h.Requests, func(r Request) bool { return r.Route.Streams() })
		h.Requests[at].Body = text(h.Requests[at].ID)
	}
}

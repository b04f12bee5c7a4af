package check

import (
	"fmt"
	"slices"
	"time"
)

const (
	// backoffGrace is the time after a worker's request for a back-off within which
	// requests may still reach it.
	backoffGrace = 500 * time.Millisecond
	// maxBackoffRequests is the number of requests that may reach a worker from one node during
	// its back-off.
	maxBackoffRequests = 2
)

// checkBackoffs checks that a worker that rejected a node's request and asked for a back-off gets at most
// maxBackoffRequests from that node until the back-off ends. Excused are only nodes that were
// stopped, killed or paused, and workers whose link held requests back. Every back-off is one
// observation.
func checkBackoffs(h *History, f *Finding) {
	arrived := h.arrivalTimes()
	requests := h.requestsByID()
	for i := range h.Rejections {
		rejection := &h.Rejections[i]
		request := requests[rejection.Request]
		if request == nil || !h.isBackoffEvaluated(rejection, request.Node) {
			continue
		}
		count := 0
		for _, at := range arrived[nodeWorker{request.Node, rejection.Worker}] {
			if at >= rejection.At+backoffGrace && at <= rejection.At+rejection.Backoff {
				count++
			}
		}
		detail := ""
		if count > maxBackoffRequests {
			detail = fmt.Sprintf("node %d sent %d requests within the %s of rest that it asked for", request.Node, count, rejection.Backoff)
		}
		f.record(rejection.Worker, rejection.At, detail)
	}
}

// isBackoffEvaluated reports whether a back-off can be evaluated: it is longer than backoffGrace, and
// neither the node's process nor the worker was disturbed during it.
func (h *History) isBackoffEvaluated(rejection *Rejection, node int) bool {
	end := rejection.At + rejection.Backoff
	return rejection.Backoff > backoffGrace && !h.processDisturbed(node, rejection.At, end) && !h.workerDisturbed(rejection.Worker, rejection.At, end)
}

// arrivalTimes returns the times at which requests from each node reached each worker, whether they
// ran or were rejected.
func (h *History) arrivalTimes() map[nodeWorker][]time.Duration {
	requests := h.requestsByID()
	arrived := map[nodeWorker][]time.Duration{}
	note := func(id, worker string, at time.Duration) {
		if request := requests[id]; request != nil {
			key := nodeWorker{request.Node, worker}
			arrived[key] = append(arrived[key], at)
		}
	}
	for i := range h.Runs {
		note(h.Runs[i].Request, h.Runs[i].Worker, h.Runs[i].At)
	}
	for i := range h.Rejections {
		note(h.Rejections[i].Request, h.Rejections[i].Worker, h.Rejections[i].At)
	}
	return arrived
}

// hasJudgeableBackoff reports whether some worker asked for a back-off that can be evaluated.
func (h *History) hasJudgeableBackoff() bool {
	requests := h.requestsByID()
	return slices.ContainsFunc(h.Rejections, func(t Rejection) bool {
		request := requests[t.Request]
		return request != nil && h.isBackoffEvaluated(&t, request.Node)
	})
}

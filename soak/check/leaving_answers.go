package check

import (
	"fmt"
	"time"
)

// toldOf names a node that passed on an answer of a worker.
type toldOf struct {
	node   int
	worker string
}

// leavingTold is when each node first passed on an answer by which a worker said that it leaves.
func (h *History) leavingTold() map[toldOf]time.Duration {
	says := map[string]time.Duration{}
	for _, said := range h.LeavingAnswers {
		if at, known := says[said.Worker]; !known || said.At < at {
			says[said.Worker] = said.At
		}
	}
	requests := h.requestsByID()
	told := map[toldOf]time.Duration{}
	for i := range h.Runs {
		run := &h.Runs[i]
		request := requests[run.Request]
		from, leaves := says[run.Worker]
		if request == nil || !leaves || run.At <= from || !request.answered() {
			continue
		}
		key := toldOf{request.Node, run.Worker}
		if at, known := told[key]; !known || request.Ended < at {
			told[key] = request.Ended
		}
	}
	return told
}

// leavingAnswersKept: what a client sends a node later than the bound after that node passed on an answer
// by which a worker said that it leaves doesn't run there. Only an end or a standstill of the node
// excuses it. Judged is each request to such a node that ran, wherever.
func leavingAnswersKept(h *History, f *Finding) {
	told := h.leavingTold()
	requests := h.requestsByID()
	for i := range h.Runs {
		run := &h.Runs[i]
		request := requests[run.Request]
		if request == nil {
			continue
		}
		at, known := told[toldOf{request.Node, run.Worker}]
		switch {
		case known && request.Sent > at+h.Bounds.Drain && !h.restarted(request.Node, at, run.At):
			f.judge(run.Request, run.At, fmt.Sprintf("node %d sent it to %s, whose answer said at %s that it leaves", request.Node, run.Worker, at))
		case h.toldAny(told, request):
			f.judge(run.Request, run.At, "")
		}
	}
}

// toldAny reports whether the request's node had to know of some worker that it leaves.
func (h *History) toldAny(told map[toldOf]time.Duration, request *Request) bool {
	for key, at := range told {
		if key.node == request.Node && request.Sent > at+h.Bounds.Drain {
			return true
		}
	}
	return false
}

// restarted reports whether a node's process ended, began or stood still within a time.
func (h *History) restarted(node int, from, to time.Duration) bool {
	return h.disturbed(node, from, to, ScopeProcess)
}

// anyLeavingTold reports whether a node had to know by an answer that a worker leaves.
func (h *History) anyLeavingTold() bool {
	for _, at := range h.leavingTold() {
		if at+h.Bounds.Drain+settling < h.end() {
			return true
		}
	}
	return false
}

package check

import (
	"fmt"
	"strings"
	"time"

	"github.com/valveslip/valveslip/standin/worker"
)

// nodeWorker identifies a pair of a node and a worker whose answers it forwards.
type nodeWorker struct {
	node   int
	worker string
}

// leavingFirstRelayed returns when each node first forwarded an answer in which a worker announced
// that it leaves.
func (h *History) leavingFirstRelayed() map[nodeWorker]time.Duration {
	announcedAt := map[string]time.Duration{}
	for _, said := range h.LeavingAnswers {
		if at, known := announcedAt[said.Worker]; !known || said.At < at {
			announcedAt[said.Worker] = said.At
		}
	}
	requests := h.requestsByID()
	relayedAt := map[nodeWorker]time.Duration{}
	for i := range h.Runs {
		run := &h.Runs[i]
		request := requests[run.Request]
		from, leaves := announcedAt[run.Worker]
		if request == nil || !leaves || run.At <= from || !request.answeredBy(run.Worker) {
			continue
		}
		key := nodeWorker{request.Node, run.Worker}
		if at, known := relayedAt[key]; !known || request.Ended < at {
			relayedAt[key] = request.Ended
		}
	}
	return relayedAt
}

// answeredBy reports whether a complete answer of the worker arrived. An answer of the node itself,
// as after a timeout, carries nothing of what the worker says. A worker's name in the history is the
// ID in its stamp, followed by the time of its start.
func (r *Request) answeredBy(name string) bool {
	id, _, _ := strings.Cut(name, "@")
	return r.Answered() && r.Stamp == worker.Stamp(id)
}

// checkLeavingAnswers checks that a node which forwarded a worker's announcement that it leaves
// gives that worker no requests that arrive later than Bounds.Drain after it. Only a stop, kill or
// pause of the node excuses it. Every request to such a node that ran on any worker is one
// observation.
func checkLeavingAnswers(h *History, f *Finding) {
	relayedAt := h.leavingFirstRelayed()
	requests := h.requestsByID()
	for i := range h.Runs {
		run := &h.Runs[i]
		request := requests[run.Request]
		if request == nil {
			continue
		}
		at, known := relayedAt[nodeWorker{request.Node, run.Worker}]
		switch {
		case known && request.Sent > at+h.Bounds.Drain && !h.processDisturbed(request.Node, at, run.At):
			f.record(run.Request, run.At, fmt.Sprintf("node %d sent it to %s, whose answer said at %s that it leaves", request.Node, run.Worker, at))
		case h.mustKnowAnyLeaving(relayedAt, request):
			f.record(run.Request, run.At, "")
		}
	}
}

// mustKnowAnyLeaving reports whether the request's node had to know of any leaving worker.
func (h *History) mustKnowAnyLeaving(relayedAt map[nodeWorker]time.Duration, request *Request) bool {
	for key, at := range relayedAt {
		if key.node == request.Node && request.Sent > at+h.Bounds.Drain {
			return true
		}
	}
	return false
}

// processDisturbed reports whether a node's process was started, stopped, killed or paused at any
// time between from and to.
func (h *History) processDisturbed(node int, from, to time.Duration) bool {
	return h.disturbed(node, from, to, ScopeProcess)
}

// hasDueLeavingAnswer reports whether a node had to know from an answer that a worker leaves, long
// enough before the end of the history for the check to apply.
func (h *History) hasDueLeavingAnswer() bool {
	for _, at := range h.leavingFirstRelayed() {
		if at+h.Bounds.Drain+recoveryGrace < h.lastSent() {
			return true
		}
	}
	return false
}

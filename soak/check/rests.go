package check

import (
	"fmt"
	"slices"
	"time"
)

const (
	// restKnown is how long after it was asked for a worker's rest begins.
	restKnown = 500 * time.Millisecond
	// restRequests may reach a worker from one node in its rest.
	restRequests = 2
)

// restsKept: a worker that turned a node's request away and asked for rest gets no more than a few
// requests of that node until it is over. Only an end or a standstill of the node excuses it, and a
// link that held requests back. Judged is each rest.
func restsKept(h *History, f *Finding) {
	arrived := h.arrivals()
	requests := h.requestsByID()
	for i := range h.Turned {
		turned := &h.Turned[i]
		request := requests[turned.Request]
		if request == nil || !h.restJudged(turned, request.Node) {
			continue
		}
		count := 0
		for _, at := range arrived[toldOf{request.Node, turned.Worker}] {
			if at >= turned.At+restKnown && at <= turned.At+turned.Rest {
				count++
			}
		}
		detail := ""
		if count > restRequests {
			detail = fmt.Sprintf("node %d sent %d requests within the %s of rest that it asked for", request.Node, count, turned.Rest)
		}
		f.judge(turned.Worker, turned.At, detail)
	}
}

// restJudged reports whether nothing excuses what a node sends in a rest.
func (h *History) restJudged(turned *Turned, node int) bool {
	end := turned.At + turned.Rest
	return turned.Rest > restKnown && !h.restarted(node, turned.At, end) && !h.workerDisturbed(turned.Worker, turned.At, end)
}

// arrivals lists when requests of each node reached each worker, run or turned away.
func (h *History) arrivals() map[toldOf][]time.Duration {
	requests := h.requestsByID()
	arrived := map[toldOf][]time.Duration{}
	note := func(id, worker string, at time.Duration) {
		if request := requests[id]; request != nil {
			key := toldOf{request.Node, worker}
			arrived[key] = append(arrived[key], at)
		}
	}
	for i := range h.Runs {
		note(h.Runs[i].Request, h.Runs[i].Worker, h.Runs[i].At)
	}
	for i := range h.Turned {
		note(h.Turned[i].Request, h.Turned[i].Worker, h.Turned[i].At)
	}
	return arrived
}

// anyTurned reports whether a worker asked a node for rest that nothing excuses.
func (h *History) anyTurned() bool {
	requests := h.requestsByID()
	return slices.ContainsFunc(h.Turned, func(t Turned) bool {
		request := requests[t.Request]
		return request != nil && h.restJudged(&t, request.Node)
	})
}

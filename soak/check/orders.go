package check

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// oneHolder: each fence belongs to one holder, and the orders that a worker takes
// come under fences that never go back.
func oneHolder(h *History, f *Finding) {
	holders := map[uint64]string{}
	for worker, orders := range h.ordersByWorker() {
		last := uint64(0)
		for _, order := range orders {
			holder, known := holders[order.Fence]
			holders[order.Fence] = cmp.Or(holder, order.Holder)
			detail := ""
			switch {
			case known && holder != order.Holder:
				detail = fmt.Sprintf("%s and %s give orders under fence %d", holder, order.Holder, order.Fence)
			case order.Fence < last:
				detail = fmt.Sprintf("%s gave an order under fence %d after one under %d", order.Holder, order.Fence, last)
			}
			last = max(last, order.Fence)
			f.judge(worker, order.At, detail)
		}
	}
}

// memoryKept: no load needs more memory than the worker has.
func memoryKept(h *History, f *Finding) {
	for _, order := range h.Orders {
		detail := ""
		if order.Overfills {
			detail = "a load by " + order.Holder + " does not fit"
		}
		f.judge(order.Worker, order.At, detail)
	}
}

// loadsKept: in no window more loads begin than are allowed and one more on each
// worker, whose order may have come late.
func loadsKept(h *History, f *Finding) {
	var begun []time.Duration
	for _, order := range h.Orders {
		if order.Load {
			begun = append(begun, order.At)
		}
	}
	slices.Sort(begun)
	most := h.Bounds.LoadsPerWindow + h.Engines
	for i, at := range begun {
		within, _ := slices.BinarySearch(begun, at+h.Bounds.LoadWindow)
		detail := ""
		if count := within - i; count > most {
			detail = fmt.Sprintf("%d loads began within %s, %d are allowed", count, h.Bounds.LoadWindow, h.Bounds.LoadsPerWindow)
		}
		f.judge("weight store", at, detail)
	}
}

// leftAlone: a node in touch sends a leaving worker nothing after the bound. Judged is what
// could have gone there: each run of its service from then on that a node in touch sent. The
// bound needs no slack, since the leaving is noted after the store took it; a run is left out
// while the worker's link holds requests back.
func leftAlone(h *History, f *Finding) {
	requests := h.requestsByID()
	leaving := map[string]time.Duration{}
	due := map[string]time.Duration{}
	for _, left := range h.Leavings {
		if at, known := leaving[left.Worker]; !known || left.At < at {
			leaving[left.Worker] = left.At
		}
		service, at := h.Services[left.Worker], left.At+h.Bounds.Drain
		if first, known := due[service]; !known || at < first {
			due[service] = at
		}
	}
	for i := range h.Runs {
		run := &h.Runs[i]
		from, known := due[h.Services[run.Worker]]
		request := requests[run.Request]
		if !known || request == nil || run.At <= from || !h.inTouch(request.Node, run.At, run.At) || h.workerDisturbed(run.Worker, request.Sent, run.At) {
			continue
		}
		detail := ""
		if left, leaves := leaving[run.Worker]; leaves && run.At > left+h.Bounds.Drain {
			detail = fmt.Sprintf("node %d sent it to %s, which left at %s", request.Node, run.Worker, left)
		}
		f.judge(run.Request, run.At, detail)
	}
}

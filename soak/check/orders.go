package check

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// checkSingleHolder checks that each fencing token belongs to one lease holder, and that the
// tokens of the orders accepted by one worker never decrease.
func checkSingleHolder(h *History, f *Finding) {
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
			f.record(worker, order.At, detail)
		}
	}
}

// checkMemory checks that no load needs more memory than the worker has.
func checkMemory(h *History, f *Finding) {
	for _, order := range h.Orders {
		detail := ""
		if order.Overfills {
			detail = "a load by " + order.Holder + " does not fit"
		}
		f.record(order.Worker, order.At, detail)
	}
}

// checkLoadRate checks that no window has more model loads than allowed, plus one for each
// worker, since an order may arrive late.
func checkLoadRate(h *History, f *Finding) {
	var begun []time.Duration
	for _, order := range h.Orders {
		if order.Load {
			begun = append(begun, order.At)
		}
	}
	slices.Sort(begun)
	maxLoads := h.Bounds.LoadsPerWindow + h.Engines
	for i, at := range begun {
		within, _ := slices.BinarySearch(begun, at+h.Bounds.LoadWindow)
		detail := ""
		if count := within - i; count > maxLoads {
			detail = fmt.Sprintf("%d loads began within %s, %d are allowed", count, h.Bounds.LoadWindow, h.Bounds.LoadsPerWindow)
		}
		f.record("weight store", at, detail)
	}
}

// checkLeavingWorkers checks that a connected node sends a leaving worker nothing after the bound
// Bounds.Drain. Every later run of the worker's service that a connected node sent is one
// observation, since it could have gone to the leaving worker. The bound needs no tolerance,
// because the leaving is recorded after the store accepted it. Runs at workers whose link may
// have held requests back are skipped.
func checkLeavingWorkers(h *History, f *Finding) {
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
		if !known || request == nil || run.At <= from || !h.isConnected(request.Node, run.At, run.At) || h.workerDisturbed(run.Worker, request.Sent, run.At) {
			continue
		}
		detail := ""
		if left, leaves := leaving[run.Worker]; leaves && run.At > left+h.Bounds.Drain {
			detail = fmt.Sprintf("node %d sent it to %s, which left at %s", request.Node, run.Worker, left)
		}
		f.record(run.Request, run.At, detail)
	}
}

package routing

import "container/heap"

// timer is due at a time for one request or one machine; exactly one is set.
type timer struct {
	at int64
	// order breaks ties: armed first, due first.
	order   uint64
	index   int
	armed   bool
	request *request
	machine *machine
}

// arm sets or moves a timer.
func (r *Router) arm(t *timer, at int64) {
	r.armings++
	t.at, t.order = at, r.armings
	if t.armed {
		heap.Fix(&r.timers, t.index)
		return
	}
	t.armed = true
	heap.Push(&r.timers, t)
}

// disarm stops a timer if it is armed.
func (r *Router) disarm(t *timer) {
	if t.armed {
		heap.Remove(&r.timers, t.index)
		t.armed = false
	}
}

// expire runs all timers that are due.
func (r *Router) expire() {
	for len(r.timers) > 0 && r.timers[0].at <= r.nanos {
		due := r.timers[0]
		r.disarm(due)
		if due.request != nil {
			r.requestDue(due.request)
		} else {
			r.machineDue(due.machine)
		}
	}
}

// timerHeap orders timers by time, then by when they were armed.
type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap) Push(value any) {
	t := value.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return t
}

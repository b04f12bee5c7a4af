package routing

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
		r.timers.Fix(t.index)
		return
	}
	t.armed = true
	r.timers.Push(t)
}

// disarm stops a timer if it is armed.
func (r *Router) disarm(t *timer) {
	if t.armed {
		r.timers.Remove(t.index)
		t.armed = false
	}
}

// expire runs all timers that are due.
func (r *Router) expire() {
	for r.timers.Len() > 0 && r.timers.First().at <= r.nanos {
		due := r.timers.First()
		r.disarm(due)
		if due.request != nil {
			r.requestDue(due.request)
		} else {
			r.machineDue(due.machine)
		}
	}
}

// Before implements binaryheap.Element: by time, then by when they were armed.
func (t *timer) Before(other *timer) bool {
	if t.at != other.at {
		return t.at < other.at
	}
	return t.order < other.order
}

// Moved implements binaryheap.Element.
func (t *timer) Moved(index int) { t.index = index }

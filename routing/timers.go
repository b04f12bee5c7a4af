package routing

// timer is the timer of one request or one machine; exactly one of them is set.
type timer struct {
	at int64
	// sequence breaks ties: the timer that was armed first is due first.
	sequence uint64
	index    int
	armed    bool
	request  *request
	machine  *machine
}

// arm sets or moves a timer.
func (r *Router) arm(t *timer, at int64) {
	r.timerSequence++
	t.at, t.sequence = at, r.timerSequence
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

// runDueTimers runs all timers that are due.
func (r *Router) runDueTimers() {
	for r.timers.Len() > 0 && r.timers.First().at <= r.nanos {
		due := r.timers.First()
		r.disarm(due)
		if due.request != nil {
			r.requestTimerDue(due.request)
		} else {
			r.machineTimerDue(due.machine)
		}
	}
}

// Before implements binaryheap.Element: by time, then by the order in which the timers were armed.
func (t *timer) Before(other *timer) bool {
	if t.at != other.at {
		return t.at < other.at
	}
	return t.sequence < other.sequence
}

// Moved implements binaryheap.Element.
func (t *timer) Moved(index int) { t.index = index }

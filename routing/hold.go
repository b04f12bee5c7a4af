package routing

// hold keeps every request in its queue until endHold, or until the time given.
func (r *Router) hold(event DispatchesHeld) { r.heldUntil = event.Until.UnixNano() }

// held reports whether dispatches wait.
func (r *Router) held() bool { return r.nanos < r.heldUntil }

// endHold lets the requests that waited go.
func (r *Router) endHold() {
	if r.heldUntil == 0 {
		return
	}
	r.heldUntil = 0
	for _, model := range r.sortedModels() {
		if model.queue.Len() > 0 {
			r.changed = append(r.changed, model)
		}
	}
	r.settleModels()
}

// releaseDue ends a hold whose time is over.
func (r *Router) releaseDue() {
	if r.heldUntil != 0 && !r.held() {
		r.endHold()
	}
}

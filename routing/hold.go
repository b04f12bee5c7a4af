package routing

// hold keeps every request in its queue until endHold or the given time.
func (r *Router) hold(event DispatchesPaused) { r.heldUntil = event.Until.UnixNano() }

// dispatchesPaused reports whether dispatches are paused.
func (r *Router) dispatchesPaused() bool { return r.nanos < r.heldUntil }

// endHold dispatches the requests that waited during the hold.
func (r *Router) endHold() {
	if r.heldUntil == 0 {
		return
	}
	r.heldUntil = 0
	for _, model := range r.sortedModels() {
		if model.queue.Len() > 0 {
			r.changedModels = append(r.changedModels, model)
		}
	}
	r.updateChangedModels()
}

// endExpiredHold ends a hold whose time has passed.
func (r *Router) endExpiredHold() {
	if r.heldUntil != 0 && !r.dispatchesPaused() {
		r.endHold()
	}
}

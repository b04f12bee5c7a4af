package routing

import "time"

// retryBudget bounds a model's retries to a share of its recent requests, so that retries don't
// multiply the load on a failing back end. It is a token bucket that each request and the elapsed
// time refill.
type retryBudget struct {
	tokens     float64
	refilledAt int64
}

// credit adds the share of one admitted request.
func (b *retryBudget) credit(nanos int64, config *Config) {
	b.refill(nanos, config)
	b.tokens = min(b.tokens+config.RetryRatio, config.RetryReserve)
}

// spend takes one retry and reports whether there was one.
func (b *retryBudget) spend(nanos int64, config *Config) bool {
	b.refill(nanos, config)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *retryBudget) refill(nanos int64, config *Config) {
	elapsed := time.Duration(nanos - b.refilledAt).Seconds()
	if b.refilledAt != 0 && elapsed > 0 {
		b.tokens = min(b.tokens+elapsed*config.RetryFloor, config.RetryReserve)
	}
	b.refilledAt = nanos
}

// windowSlices is the number of slices of a budget's window, 20; a slice expires as a whole.
const windowSlices = 20

// windowBudget bounds the retries of one engine pool: within a sliding window they are at most a
// share of the pool's requests plus this router's part of what all routers may send beyond that.
type windowBudget struct {
	requests, retries [windowSlices]float64
	currentSlice      int64
	// extraFrom is the time from which the router's part of RetryExtra may be spent.
	extraFrom int64
}

// windowBudgetOf returns the budget of the model's engine pool.
func (r *Router) windowBudgetOf(m *model) *windowBudget {
	name := ""
	if m.configured != nil {
		name = m.configured.Policy.EnginePool
	}
	budget := r.windowBudgets[name]
	if budget == nil {
		budget = &windowBudget{extraFrom: r.retryExtraFrom()}
		r.windowBudgets[name] = budget
	}
	return budget
}

// retryExtraFrom returns the time from which this router may spend its part of RetryExtra. What earlier
// starts of the routers spent is unknown to it: it may have been all of it, just before this start.
func (r *Router) retryExtraFrom() int64 {
	if r.config.FirstStart {
		return 0
	}
	return r.startedAt + int64(r.config.RetryWindow)
}

// advance clears the slices that have expired.
func (b *windowBudget) advance(nanos int64, window time.Duration) {
	now := nanos / max(int64(window)/windowSlices, 1)
	steps := min(now-b.currentSlice, windowSlices)
	for step := int64(1); step <= steps; step++ {
		at := (b.currentSlice + step) % windowSlices
		b.requests[at], b.retries[at] = 0, 0
	}
	if steps > 0 {
		b.currentSlice = now
		at := now % windowSlices
		b.requests[at], b.retries[at] = 0, 0
	}
}

// credit counts one request.
func (b *windowBudget) credit(nanos int64, config *Config) {
	b.advance(nanos, config.RetryWindow)
	b.requests[b.currentSlice%windowSlices]++
}

// retryDivisor returns the number of routers among which RetryExtra is divided: the largest of the last RetryWindow, as
// routers that are gone may have spent their parts in it.
func (r *Router) retryDivisor() int {
	if r.nanos < r.moreRoutersUntil {
		return max(r.routers, r.moreRouters)
	}
	return r.routers
}

// rememberRouters keeps the number of routers for a RetryWindow, before a lower one is applied.
func (r *Router) rememberRouters() {
	r.moreRouters, r.moreRoutersUntil = r.retryDivisor(), r.nanos+int64(r.config.RetryWindow)
}

// spend counts one retry if the window allows it, and reports whether it did.
func (b *windowBudget) spend(nanos int64, config *Config, routers int) bool {
	b.advance(nanos, config.RetryWindow)
	var requests, retries float64
	for i := range windowSlices {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	allowed := config.RetryRatio * requests
	if nanos >= b.extraFrom {
		allowed += config.RetryExtra / float64(max(routers, 1))
	}
	if retries+1 > allowed {
		return false
	}
	b.retries[b.currentSlice%windowSlices]++
	return true
}

// refund removes the latest counted retry.
func (b *windowBudget) refund(nanos int64, config *Config) {
	b.advance(nanos, config.RetryWindow)
	for back := range int64(windowSlices) {
		if at := (b.currentSlice - back + windowSlices) % windowSlices; b.retries[at] > 0 {
			b.retries[at]--
			return
		}
	}
}

// creditRetries credits one admitted request to the budget in force.
func (r *Router) creditRetries(m *model) {
	if r.config.RetryWindow > 0 {
		r.windowBudgetOf(m).credit(r.nanos, &r.config)
		return
	}
	m.retries.credit(r.nanos, &r.config)
}

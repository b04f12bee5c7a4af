package routing

import "time"

// expected counts the callers that were refused or given up while the model was
// not loaded and told when to come back. They count as waiting in the demand report until
// then; without that, a model whose callers cannot wait as long as its load
// takes would refuse all of them and never be loaded.
type expected struct {
	callers int
	// from and until bound when they come back.
	from, until int64
}

// comeBackTime is how long after the told time a caller is still expected.
const comeBackTime = 10 * time.Second

// expectBack notes that a request of a model ended with the advice to come back,
// zero without any.
func (r *Router) expectBack(m *model, after time.Duration) {
	if m.loaded > 0 || after == 0 || r.draining {
		return
	}
	back := r.nanos + int64(after)
	if m.expected.callers == 0 || back < m.expected.from {
		m.expected.from = back
	}
	m.expected.callers++
	m.expected.until = max(m.expected.until, back+int64(comeBackTime))
	r.touch(m)
}

// expecting returns how many callers are expected back at a not loaded model.
func (m *model) expecting(nanos int64) int {
	if m.loaded > 0 || nanos >= m.expected.until {
		m.expected = expected{}
	}
	return m.expected.callers
}

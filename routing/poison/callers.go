package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	// throttleAfterEnds is the number of consecutive machine ends after which a caller is
	// throttled. Each end must come under a request that was sent after the previous end, so
	// machines that fail together count once. A caller that sends a different harmful request
	// each time can be recognized by nothing else.
	throttleAfterEnds = 3
	// initialCallerHold is the delay of a caller's next request after the end that throttles it;
	// each further end doubles it, up to maxCallerHold. With 1,000 harmful requests in 8 s to six
	// machines, other callers still complete 80% of theirs.
	initialCallerHold = time.Second
	maxCallerHold     = time.Minute
	// callerStateTTL is how long after the last end, or after the hold that it caused, another
	// end still counts as consecutive: machines that fail for other reasons do so minutes apart.
	// maxCallers bounds the remembered callers, which take about 100 bytes each.
	callerStateTTL = 30 * time.Second
	maxCallers     = 4096
)

// callerState is the recent record of one caller.
type callerState struct {
	// consecutiveEnds counts machine ends without a complete answer in between; lastEnd is the
	// time of the last one.
	consecutiveEnds int
	lastEnd         time.Time
	// heldUntil is the time until which no request of the caller is sent.
	heldUntil time.Time
	// parts are those of the prompts of the requests under which the machines ended, at most
	// MaxParts.
	parts []Fingerprint
}

// Callers throttles callers whose consecutive requests end machines, until one of their requests
// is answered completely. It is a pure state machine and not safe for concurrent use.
type Callers struct{ states map[uint64]*callerState }

// NewCallers returns an empty table.
func NewCallers() *Callers { return &Callers{states: map[uint64]*callerState{}} }

// Ended records that a machine ended while it ran a request of the caller that was sent at the
// given time. The parts are those of its prompt that other requests may share.
func (c *Callers) Ended(now time.Time, caller uint64, sent time.Time, parts []Fingerprint) {
	state := c.states[caller]
	if state == nil {
		c.evict()
		state = &callerState{}
		c.states[caller] = state
	}
	if !sent.After(state.lastEnd) {
		return
	}
	if now.Sub(state.heldUntil) >= callerStateTTL && now.Sub(state.lastEnd) >= callerStateTTL {
		state.consecutiveEnds = 0
	}
	for _, part := range parts {
		if len(state.parts) < MaxParts && !slices.Contains(state.parts, part) {
			state.parts = append(state.parts, part)
		}
	}
	state.consecutiveEnds++
	state.lastEnd = now
	if doublings := state.consecutiveEnds - throttleAfterEnds; doublings >= 0 {
		state.heldUntil = now.Add(min(initialCallerHold<<min(doublings, 16), maxCallerHold))
	}
}

// Answered records that a request of the caller was answered completely.
func (c *Callers) Answered(caller uint64) { delete(c.states, caller) }

// PartBlocked forgets the callers whose requests had a part that is blocked now: the part ended the
// machines, and refusing it is enough.
func (c *Callers) PartBlocked(part Fingerprint) {
	maps.DeleteFunc(c.states, func(_ uint64, state *callerState) bool { return slices.Contains(state.parts, part) })
}

// Throttled reports whether the caller is throttled, which limits it to one request at a time, and
// how long the next one must wait.
func (c *Callers) Throttled(now time.Time, caller uint64) (wait time.Duration, doubtful bool) {
	state := c.states[caller]
	if state == nil || state.consecutiveEnds < throttleAfterEnds {
		return 0, false
	}
	return max(state.heldUntil.Sub(now), 0), true
}

// evict removes the caller with the fewest consecutive ends if the table is full; of several, the
// one with the oldest last end.
func (c *Callers) evict() {
	if len(c.states) < maxCallers {
		return
	}
	var evicted uint64
	var candidate *callerState
	for caller, state := range c.states {
		older := candidate != nil && state.consecutiveEnds == candidate.consecutiveEnds && state.lastEnd.Before(candidate.lastEnd)
		if candidate == nil || state.consecutiveEnds < candidate.consecutiveEnds || older {
			evicted, candidate = caller, state
		}
	}
	delete(c.states, evicted)
}

// Sweep removes callers whose last end is older than callerStateTTL.
func (c *Callers) Sweep(now time.Time) {
	for caller, state := range c.states {
		if now.Sub(state.heldUntil) >= callerStateTTL && now.Sub(state.lastEnd) >= callerStateTTL {
			delete(c.states, caller)
		}
	}
}

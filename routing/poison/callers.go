package poison

import "time"

const (
	// callerEnds machines in a row, each under a request that was sent after the end before,
	// hold a caller back: one that sends a different harmful request each time is known by
	// nothing else. Machines that fail together count once.
	callerEnds = 3
	// callerHold is how long a caller waits after such an end; each further one doubles it
	// up to longestCallerHold. With a thousand harmful requests in 8 s before six machines,
	// other callers keep 80 in 100 of theirs.
	callerHold        = time.Second
	longestCallerHold = time.Minute
	// callerMemory is how long after the last end, or after the hold for it, the next one
	// counts as in a row with it: machines that fail by themselves do so minutes apart. maxCallers bounds the callers that are remembered,
	// at about 100 bytes each.
	callerMemory = 30 * time.Second
	maxCallers   = 4096
)

// callerState is what one caller's requests did lately.
type callerState struct {
	// ends counts machines that ended in a row, the last one at last.
	ends int
	last time.Time
	// heldUntil is until when nothing of the caller is sent.
	heldUntil time.Time
}

// Callers holds callers back under whose requests machines end one after the other, until
// one of their requests is answered whole. It is a pure state machine and not safe for
// concurrent use.
type Callers struct{ states map[uint64]*callerState }

// NewCallers returns an empty table.
func NewCallers() *Callers { return &Callers{states: map[uint64]*callerState{}} }

// Ended notes that a machine ended under a request of the caller that was sent at a time.
func (c *Callers) Ended(now time.Time, caller uint64, sent time.Time) {
	state := c.states[caller]
	if state == nil {
		c.makeRoom()
		state = &callerState{}
		c.states[caller] = state
	}
	if !sent.After(state.last) {
		return
	}
	if now.Sub(state.heldUntil) >= callerMemory && now.Sub(state.last) >= callerMemory {
		state.ends = 0
	}
	state.ends++
	state.last = now
	if over := state.ends - callerEnds; over >= 0 {
		state.heldUntil = now.Add(min(callerHold<<min(over, 16), longestCallerHold))
	}
}

// Answered notes that a request of the caller was answered whole.
func (c *Callers) Answered(caller uint64) { delete(c.states, caller) }

// Doubtful reports whether the caller's requests run one at a time, and how long the next
// one must wait.
func (c *Callers) Doubtful(now time.Time, caller uint64) (wait time.Duration, doubtful bool) {
	state := c.states[caller]
	if state == nil || state.ends < callerEnds {
		return 0, false
	}
	return max(state.heldUntil.Sub(now), 0), true
}

// makeRoom drops the caller with the fewest ends, of several the one of the oldest, when
// there are too many.
func (c *Callers) makeRoom() {
	if len(c.states) < maxCallers {
		return
	}
	var least uint64
	var found *callerState
	for caller, state := range c.states {
		older := found != nil && state.ends == found.ends && state.last.Before(found.last)
		if found == nil || state.ends < found.ends || older {
			least, found = caller, state
		}
	}
	delete(c.states, least)
}

// Sweep forgets callers whose last end is long ago.
func (c *Callers) Sweep(now time.Time) {
	for caller, state := range c.states {
		if now.Sub(state.heldUntil) >= callerMemory && now.Sub(state.last) >= callerMemory {
			delete(c.states, caller)
		}
	}
}

package dispatch

import "github.com/valveslip/valveslip/cluster"

// engine is the state of one engine as the dispatcher estimates it.
type engine struct {
	id cluster.MachineID
	// prefills are the attempts whose prompts are not yet prefilled, ordered by send time. streams
	// are the attempts whose answers have begun.
	prefills, streams []*trackedAttempt
	// prefillingSince is when the engine began to prefill without an idle period, zero if it is
	// idle. prefillDoneAt is the latest time at which a prefill is known to have ended.
	prefillingSince, prefillDoneAt int64
	// lastSendAt is the send time of the attempt that was placed there last. lastReferencedAt is
	// when a node last named the engine as a candidate or in a report.
	lastSendAt, lastReferencedAt int64
	cache                        *prefixCache
}

// insertPrefill inserts an attempt into prefills in order of send time.
func (e *engine) insertPrefill(a *trackedAttempt) {
	at := len(e.prefills)
	for at > 0 && e.prefills[at-1].sendAt > a.sendAt {
		at--
	}
	e.prefills = append(e.prefills, nil)
	copy(e.prefills[at+1:], e.prefills[at:])
	e.prefills[at] = a
}

// removeAttempt removes an attempt from a list in place.
func removeAttempt(list []*trackedAttempt, a *trackedAttempt) []*trackedAttempt {
	kept := list[:0]
	for _, other := range list {
		if other != a {
			kept = append(kept, other)
		}
	}
	for i := len(kept); i < len(list); i++ {
		list[i] = nil
	}
	return kept
}

// markStreaming records that the answer of an attempt has begun, without an observation for the
// estimator: the time to the first event is unknown.
func (a *trackedAttempt) markStreaming(began bool) {
	if began && !a.streaming {
		a.streaming = true
		a.engine.prefills = removeAttempt(a.engine.prefills, a)
		a.engine.streams = append(a.engine.streams, a)
	}
}

// recordPrefillEnd records that a prefill ended now. The engine becomes idle if no other prompt
// has been sent to it.
func (e *engine) recordPrefillEnd(now int64) {
	e.prefillDoneAt = now
	for _, a := range e.prefills {
		if a.sendAt <= now {
			return
		}
	}
	e.prefillingSince = 0
}

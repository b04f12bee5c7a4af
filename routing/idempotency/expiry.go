package idempotency

import (
	"slices"
	"time"
)

// Before implements binaryheap.Element. It orders entries by expiry.
func (e *entry) Before(other *entry) bool { return e.expires < other.expires }

// Moved implements binaryheap.Element.
func (e *entry) Moved(index int) { e.index = index }

// expire handles the entries that are due. A request that is still in progress at its expiry was
// lost: its outcome is unknown, and is remembered for another window.
func (t *Table) expire(nanos int64) {
	for t.expiry.Len() > 0 && t.expiry.First().expires <= nanos {
		due := t.expiry.First()
		switch {
		case due.state == inProgress:
			t.setOutcome(nanos, due, Outcome{Kind: OutcomeUnknown, Request: due.claim.Request})
		default:
			t.releaseClaim(nanos, due)
		}
	}
}

// releaseClaim removes the claim of an entry but keeps the promises.
func (t *Table) releaseClaim(nanos int64, e *entry) {
	e.promisedOwners = slices.DeleteFunc(e.promisedOwners, func(former formerOwners) bool {
		return former.until+t.retention() <= nanos
	})
	var last int64
	for _, former := range e.promisedOwners {
		last = max(last, former.until)
	}
	if last == 0 {
		t.remove(e)
		return
	}
	*e = entry{key: e.key, hash: e.hash, promisedOwners: e.promisedOwners, highestBallot: e.highestBallot, expires: e.expires, index: e.index}
	t.setState(e, promised, last+t.retention())
}

// setState sets the state and the expiry of an entry and adds the entry to the table if necessary.
func (t *Table) setState(e *entry, in state, expires int64) {
	e.state, e.expires = in, expires
	if t.entries[e.key] == e {
		t.expiry.Fix(e.index)
		return
	}
	t.entries[e.key] = e
	t.expiry.Push(e)
}

// remove deletes an entry if it is in the table.
func (t *Table) remove(e *entry) {
	if t.entries[e.key] == e {
		delete(t.entries, e.key)
		t.expiry.Remove(e.index)
	}
}

// nextExpiry returns the time until the first entry expires, at least Config.RetryAfter.
func (t *Table) nextExpiry(nanos int64) time.Duration {
	if t.expiry.Len() == 0 {
		return t.config.RetryAfter
	}
	return max(time.Duration(t.expiry.First().expires-nanos), t.config.RetryAfter)
}

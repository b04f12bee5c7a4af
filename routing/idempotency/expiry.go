package idempotency

import (
	"slices"
	"time"
)

// Before implements binaryheap.Element: by when entries expire.
func (e *entry) Before(other *entry) bool { return e.expires < other.expires }

// Moved implements binaryheap.Element.
func (e *entry) Moved(index int) { e.index = index }

// expire forgets what is due. A request that is still in progress by then was
// lost: its outcome stays unknown for another window.
func (t *Table) expire(nanos int64) {
	for t.expiry.Len() > 0 && t.expiry.First().expires <= nanos {
		due := t.expiry.First()
		switch {
		case due.state == inProgress:
			t.end(nanos, due, Outcome{Kind: OutcomeUnknown, Request: due.claim.Request})
		default:
			t.release(nanos, due)
		}
	}
}

// release forgets the claim of an entry, but not what was promised.
func (t *Table) release(nanos int64, held *entry) {
	held.promised = slices.DeleteFunc(held.promised, func(former formerOwners) bool {
		return former.until+t.retention() <= nanos
	})
	var last int64
	for _, former := range held.promised {
		last = max(last, former.until)
	}
	if last == 0 {
		t.remove(held)
		return
	}
	*held = entry{key: held.key, hash: held.hash, promised: held.promised, highest: held.highest, expires: held.expires, index: held.index}
	t.keep(held, promised, last+t.retention())
}

// keep puts an entry into a state until a time.
func (t *Table) keep(held *entry, in state, expires int64) {
	held.state, held.expires = in, expires
	if t.entries[held.key] == held {
		t.expiry.Fix(held.index)
		return
	}
	t.entries[held.key] = held
	t.expiry.Push(held)
}

// remove forgets an entry if it is kept.
func (t *Table) remove(held *entry) {
	if t.entries[held.key] == held {
		delete(t.entries, held.key)
		t.expiry.Remove(held.index)
	}
}

// nextExpiry returns when the first entry goes.
func (t *Table) nextExpiry(nanos int64) time.Duration {
	if t.expiry.Len() == 0 {
		return t.config.RetryAfter
	}
	return max(time.Duration(t.expiry.First().expires-nanos), t.config.RetryAfter)
}

package idempotency

import (
	"container/heap"
	"slices"
	"time"
)

// expiryHeap orders entries by when they expire.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *expiryHeap) Push(value any) {
	added := value.(*entry)
	added.index = len(*h)
	*h = append(*h, added)
}

func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	removed := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return removed
}

// expire forgets what is due. A request that is still in progress by then was
// lost: its outcome stays unknown for another window.
func (t *Table) expire(nanos int64) {
	for len(t.expiry) > 0 && t.expiry[0].expires <= nanos {
		due := t.expiry[0]
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
		heap.Fix(&t.expiry, held.index)
		return
	}
	t.entries[held.key] = held
	heap.Push(&t.expiry, held)
}

// remove forgets an entry if it is kept.
func (t *Table) remove(held *entry) {
	if t.entries[held.key] == held {
		delete(t.entries, held.key)
		heap.Remove(&t.expiry, held.index)
	}
}

// nextExpiry returns when the first entry goes.
func (t *Table) nextExpiry(nanos int64) time.Duration {
	if len(t.expiry) == 0 {
		return t.config.RetryAfter
	}
	return max(time.Duration(t.expiry[0].expires-nanos), t.config.RetryAfter)
}

package decisions

// ring is a fixed-capacity buffer of entries by sequence number; a new entry
// overwrites the oldest. The entries of one model form a linked list from the
// newest to the oldest that is not overwritten.
type ring[T any] struct {
	slots []slot[T]
	// next is the sequence number of the next entry; numbers start at 1.
	next uint64
}

// slot is one entry with the sequence number of the previous entry in its linked
// list; zero means none.
type slot[T any] struct {
	value    T
	previous uint64
}

// newRing returns an empty ring with the given capacity.
func newRing[T any](capacity int) ring[T] {
	return ring[T]{slots: make([]slot[T], capacity), next: 1}
}

// put stores an entry and returns its sequence number. If the entry overwrites an
// older one, that one is returned as evicted.
func (r *ring[T]) put(value T, previous uint64) (sequence uint64, evicted T, overwritten bool) {
	sequence = r.next
	r.next++
	target := &r.slots[sequence%uint64(len(r.slots))]
	evicted, overwritten = target.value, sequence > uint64(len(r.slots))
	*target = slot[T]{value: value, previous: previous}
	return sequence, evicted, overwritten
}

// get returns the slot with the given sequence number and whether it is still
// held.
func (r *ring[T]) get(sequence uint64) (*slot[T], bool) {
	if sequence == 0 || sequence >= r.next || r.next-sequence > uint64(len(r.slots)) {
		return nil, false
	}
	return &r.slots[sequence%uint64(len(r.slots))], true
}

// newestFirst returns at most limit entries of a linked list, from the given
// sequence number to older ones.
func (r *ring[T]) newestFirst(sequence uint64, limit int) []T {
	var entries []T
	for len(entries) < limit {
		entry, held := r.get(sequence)
		if !held {
			break
		}
		entries = append(entries, entry.value)
		sequence = entry.previous
	}
	return entries
}

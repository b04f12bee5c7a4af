package decisions

// ring holds the latest entries by sequence number. Entries of one model are
// chained from the newest to the oldest that is still held.
type ring[T any] struct {
	slots []slot[T]
	// next is the sequence number of the next entry; numbers start at 1.
	next uint64
}

// slot is one entry with the sequence number of the entry before it in its
// chain, zero for none.
type slot[T any] struct {
	value    T
	previous uint64
}

// newRing returns a ring of the given capacity.
func newRing[T any](capacity int) ring[T] {
	return ring[T]{slots: make([]slot[T], capacity), next: 1}
}

// put stores an entry over the oldest one and returns its sequence number and
// the entry that was lost, if any.
func (r *ring[T]) put(value T, previous uint64) (sequence uint64, lost T, overwritten bool) {
	sequence = r.next
	r.next++
	place := &r.slots[sequence%uint64(len(r.slots))]
	lost, overwritten = place.value, sequence > uint64(len(r.slots))
	*place = slot[T]{value: value, previous: previous}
	return sequence, lost, overwritten
}

// get returns the entry with a sequence number while it is held.
func (r *ring[T]) get(sequence uint64) (*slot[T], bool) {
	if sequence == 0 || sequence >= r.next || r.next-sequence > uint64(len(r.slots)) {
		return nil, false
	}
	return &r.slots[sequence%uint64(len(r.slots))], true
}

// chain returns at most limit entries from a sequence number back.
func (r *ring[T]) chain(sequence uint64, limit int) []T {
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

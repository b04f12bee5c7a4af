package feed

import (
	"slices"

	"github.com/valveslip/valveslip/wire"
)

// Least bounds of what a node keeps to close its peers' gaps with. It keeps as many changes as it
// knows keys, and as many bytes, where those are more: the workers of a fleet enter within a few
// updates of a relay when all machines get power.
const (
	// leastHistoryChanges is about a page of the store's, 500 items.
	leastHistoryChanges = 512
	// leastHistoryBytes of values: 35 versions of a configuration of 59 KB, the size with
	// 481 models.
	leastHistoryBytes = 2 << 20
)

// history holds the newest changes that said something new.
type history struct {
	// after is the revision from which on it is whole.
	after   int64
	changes []wire.StoreChange
	bytes   int64
}

// restart forgets all changes.
func (h *history) restart(after int64) { *h = history{after: after} }

// add appends changes and drops the oldest ones beyond the bounds.
func (h *history) add(changes []wire.StoreChange, known *contents) {
	h.changes = append(h.changes, changes...)
	for i := range changes {
		h.bytes += int64(len(changes[i].Value))
	}
	mostChanges := max(leastHistoryChanges, len(known.keys))
	mostBytes := max(leastHistoryBytes, known.bytes)
	drop := 0
	for drop < len(h.changes) && (len(h.changes)-drop > mostChanges || h.bytes > mostBytes) {
		h.after = h.changes[drop].Revision
		h.bytes -= int64(len(h.changes[drop].Value))
		drop++
	}
	h.changes = slices.Delete(h.changes, 0, drop)
}

// reaches reports whether all changes after a revision are known.
func (h *history) reaches(after int64) bool { return after >= h.after }

// since returns the changes after a revision, false if some of them are gone.
func (h *history) since(after int64) ([]wire.StoreChange, bool) {
	if !h.reaches(after) {
		return nil, false
	}
	for i := range h.changes {
		if h.changes[i].Revision > after {
			return slices.Clone(h.changes[i:]), true
		}
	}
	return nil, true
}

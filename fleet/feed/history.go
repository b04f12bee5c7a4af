package feed

import (
	"slices"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/wire"
)

// Least limits of the changes that a node keeps for peers with a gap. It keeps as many changes as
// it knows keys, and as many bytes as these have, if those are more: when all machines are powered
// on, the workers of a whole fleet register within a few updates.
const (
	// minKeptChanges is about a page of the store, 500 items.
	minKeptChanges = 512
	// minKeptBytes limits the bytes of the values: 2 MiB hold 35 versions of a configuration of 59
	// KB, the size with 481 models.
	minKeptBytes = 2 << 20
)

// history holds the newest changes that carry news.
type history struct {
	// completeAfter is the revision after which no change is missing.
	completeAfter keyvalue.Revision
	// lastOfEra is the last revision that this node knew of the era of the store before the present one,
	// firstOfEra the first that it knew of the present one, both zero in the first era. The changes
	// between them lead from the one state to the other, and from no state between.
	lastOfEra, firstOfEra keyvalue.Revision
	changes               []wire.StoreChange
	bytes                 int64
}

// restart drops all changes; the history is complete after the revision.
func (h *history) restart(completeAfter keyvalue.Revision) {
	*h = history{completeAfter: completeAfter}
}

// add appends changes and drops the oldest ones beyond the limits.
func (h *history) add(changes []wire.StoreChange, known *contents) {
	h.changes = append(h.changes, changes...)
	for i := range changes {
		h.bytes += int64(len(changes[i].Value))
	}
	maxChanges := max(minKeptChanges, len(known.keys))
	maxBytes := max(minKeptBytes, known.bytes)
	drop := 0
	for drop < len(h.changes) && (len(h.changes)-drop > maxChanges || h.bytes > maxBytes) {
		h.completeAfter = h.changes[drop].Revision
		h.bytes -= int64(len(h.changes[drop].Value))
		drop++
	}
	h.changes = slices.Delete(h.changes, 0, drop)
}

// beginEra records that the revision first follows the revision last of an earlier era.
func (h *history) beginEra(last, first keyvalue.Revision) {
	if h.firstOfEra != 0 {
		// Nothing leads from the era before the last one to the present one.
		h.completeAfter = max(h.completeAfter, h.firstOfEra)
	}
	h.lastOfEra, h.firstOfEra = last, first
}

// covers reports whether the history holds all changes after the revision.
func (h *history) covers(after keyvalue.Revision) bool {
	isBetween := after > h.lastOfEra && after < h.firstOfEra
	return after >= h.completeAfter && !isBetween
}

// since returns the changes after a revision, and false if some of them were dropped.
func (h *history) since(after keyvalue.Revision) ([]wire.StoreChange, bool) {
	if !h.covers(after) {
		return nil, false
	}
	for i := range h.changes {
		if h.changes[i].Revision > after {
			return slices.Clone(h.changes[i:]), true
		}
	}
	return nil, true
}

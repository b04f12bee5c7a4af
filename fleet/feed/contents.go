package feed

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/wire"
)

// contents holds the keys and values of the store as far as the node knows them. They show what
// changed between two full reads, and make up the snapshot for a node that starts.
type contents struct {
	revision keyvalue.Revision
	keys     map[string]storedValue
	// bytes is the size of all keys and values.
	bytes int64
}

// storedValue is the newest known value of a key.
type storedValue struct {
	revision keyvalue.Revision
	value    []byte
}

// size returns the bytes that the key and its value take.
func (s storedValue) size(key string) int64 { return int64(len(key) + len(s.value)) }

// Limits on the changes that a poll may return. A longer answer is replaced by a full read.
const (
	// historyBytesFactor limits the answer to a poll to twice the bytes of all values. Without the
	// limit, a node that was cut off while one large value changed often would read each of its
	// versions. With it, the node is up to date after at most three times the time in which its
	// link carries a full read.
	historyBytesFactor = 2
	// minHistoryBytes is the least limit, so that a small store does not cause full reads.
	minHistoryBytes = 256 << 10
)

// maxHistoryBytes returns how many bytes of changes a poll may return.
func (c *contents) maxHistoryBytes() int64 { return max(historyBytesFactor*c.bytes, minHistoryBytes) }

// put stores the value of a key.
func (c *contents) put(change *wire.StoreChange) {
	c.remove(change.Key)
	entry := storedValue{revision: change.Revision, value: change.Value}
	c.keys[change.Key] = entry
	c.bytes += entry.size(change.Key)
}

// remove deletes a key.
func (c *contents) remove(key string) {
	if entry, known := c.keys[key]; known {
		c.bytes -= entry.size(key)
		delete(c.keys, key)
	}
}

func (c *contents) isEmpty() bool { return c.revision == 0 }

// moveTo gives the values their revisions in a later era of the store. Those that are not the same there
// are replaced by the changes that lead to the era.
func (c *contents) moveTo(era keyvalue.Era) {
	for key, known := range c.keys {
		if moved, err := keyvalue.NewRevision(era, known.revision.Counter()); err == nil {
			known.revision = moved
			c.keys[key] = known
		}
	}
}

// applyChanges applies changes that bring the contents up to the revision.
func (c *contents) applyChanges(changes []wire.StoreChange, revision keyvalue.Revision) {
	if c.revision != 0 && c.revision.Era() != revision.Era() {
		c.moveTo(revision.Era())
	}
	c.revision = revision
	for i := range changes {
		if changes[i].Deleted {
			c.remove(changes[i].Key)
		} else {
			c.put(&changes[i])
		}
	}
}

// isSame reports whether a pair is the stored value. The store counts on from a copy in another era, so
// that there a pair with the same count may be another one.
func (s storedValue) isSame(pair *wire.StoreChange) bool {
	if s.revision.Era() == pair.Revision.Era() {
		return s.revision == pair.Revision
	}
	return s.revision.Counter() == pair.Revision.Counter() && bytes.Equal(s.value, pair.Value)
}

// replace takes a full read of the store at the revision and returns what changed since the
// previous contents, ordered by revision. Within an era it also returns values with a revision above
// the previous one, which were applied ahead of the other changes: the receivers of the next update may
// not have them.
func (c *contents) replace(pairs []wire.StoreChange, revision keyvalue.Revision) []wire.StoreChange {
	previous, previousRevision := c.keys, c.revision
	sameEra := previousRevision.Era() == revision.Era()
	c.keys, c.bytes = make(map[string]storedValue, len(pairs)), 0
	c.revision = revision
	var changes []wire.StoreChange
	for i := range pairs {
		c.put(&pairs[i])
		known, isKnown := previous[pairs[i].Key]
		if !isKnown || !known.isSame(&pairs[i]) || sameEra && pairs[i].Revision > previousRevision {
			changes = append(changes, pairs[i])
		}
	}
	for key := range previous {
		if _, kept := c.keys[key]; !kept {
			changes = append(changes, wire.StoreChange{Key: key, Revision: revision, Deleted: true})
		}
	}
	slices.SortFunc(changes, func(a, b wire.StoreChange) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	return changes
}

package feed

import (
	"cmp"
	"slices"

	"github.com/valveslip/valveslip/wire"
)

// contents are the pairs in the store, as far as is known. With them a read of everything
// tells what changed since, and a node that starts learns everything from this one.
type contents struct {
	revision int64
	keys     map[string]stored
	// bytes of all keys and values.
	bytes int64
}

// stored is what is known of one key.
type stored struct {
	revision int64
	value    []byte
}

// bytes that a key and its value take.
func (s stored) bytes(key string) int64 { return int64(len(key) + len(s.value)) }

// Bounds of the history that is read rather than everything anew.
const (
	// historyShare is how many times the bytes of all values an answer with changes may
	// have. A node that was cut off while one large value changed often would otherwise
	// read each of its versions; with it, it is up to date after three times the time in
	// which its link carries everything.
	historyShare = 2
	// leastHistory is read in any case.
	leastHistory = 256 << 10
)

// worthReading is how many bytes of changes are worth reading.
func (c *contents) worthReading() int64 { return max(historyShare*c.bytes, leastHistory) }

// set notes the value of a key.
func (c *contents) set(s *wire.StoreChange) {
	c.drop(s.Key)
	entry := stored{revision: s.Revision, value: s.Value}
	c.keys[s.Key] = entry
	c.bytes += entry.bytes(s.Key)
}

// drop forgets a key.
func (c *contents) drop(key string) {
	if entry, known := c.keys[key]; known {
		c.bytes -= entry.bytes(key)
		delete(c.keys, key)
	}
}

func (c *contents) empty() bool { return c.revision == 0 }

// note takes changes that bring the contents up to a revision.
func (c *contents) note(changes []wire.StoreChange, revision int64) {
	c.revision = revision
	for i := range changes {
		if changes[i].Deleted {
			c.drop(changes[i].Key)
		} else {
			c.set(&changes[i])
		}
	}
}

// replace takes everything that is in the store at a revision and returns what changed
// since the contents were known, in order of revisions. What was known ahead is among it: the
// nodes that it is passed on to may not have heard of it.
func (c *contents) replace(pairs []wire.StoreChange, revision int64) []wire.StoreChange {
	before, after := c.keys, c.revision
	c.keys, c.bytes = make(map[string]stored, len(pairs)), 0
	c.revision = revision
	var changes []wire.StoreChange
	for i := range pairs {
		c.set(&pairs[i])
		if pairs[i].Revision != before[pairs[i].Key].revision || pairs[i].Revision > after {
			changes = append(changes, pairs[i])
		}
	}
	for key := range before {
		if _, kept := c.keys[key]; !kept {
			changes = append(changes, wire.StoreChange{Key: key, Revision: revision, Deleted: true})
		}
	}
	slices.SortFunc(changes, func(a, b wire.StoreChange) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	return changes
}

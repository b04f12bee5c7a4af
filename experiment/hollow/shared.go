package hollow

import (
	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/settings"
)

// sharedResults is how many of the last results of a kind are kept.
const sharedResults = 16

// recent keeps the last results by key.
type recent[K comparable, V any] struct {
	values map[K]V
	order  []K
}

// get returns the result for key, which make computes if it is not there.
func (r *recent[K, V]) get(key K, compute func() (V, error)) (V, error) {
	if value, ok := r.values[key]; ok {
		return value, nil
	}
	value, err := compute()
	if err != nil {
		return value, err
	}
	if r.values == nil {
		r.values = make(map[K]V)
	}
	r.values[key] = value
	r.order = append(r.order, key)
	if len(r.order) > sharedResults {
		delete(r.values, r.order[0])
		r.order = r.order[1:]
	}
	return value, nil
}

// shared lets the processes share compiled and decoded trees, as memory and
// processor time for hundreds of copies are not there, and counts how many each
// would have made.
type shared struct {
	snapshots recent[settings.Stamp, *settings.Snapshot]
	trees     recent[uint64, *settings.Tree]
	compiles  int64
	decodes   int64
}

func (s *shared) compile(tree *settings.Tree, stamp settings.Stamp) (*settings.Snapshot, error) {
	s.compiles++
	return s.snapshots.get(stamp, func() (*settings.Snapshot, error) { return tree.Compile(stamp) })
}

func (s *shared) decode(data []byte) (*settings.Tree, error) {
	s.decodes++
	return s.trees.get(xxhash.Sum64(data), func() (*settings.Tree, error) { return settings.DecodeTree(data) })
}

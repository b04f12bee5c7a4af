package hollow

import (
	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/settings"
)

// maxCachedResults is the number of results that a resultCache keeps.
const maxCachedResults = 16

// resultCache caches the most recently computed results by key.
type resultCache[K comparable, V any] struct {
	values map[K]V
	order  []K
}

// getOrCompute returns the cached result for key, or calls compute and caches its result.
func (r *resultCache[K, V]) getOrCompute(key K, compute func() (V, error)) (V, error) {
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
	if len(r.order) > maxCachedResults {
		delete(r.values, r.order[0])
		r.order = r.order[1:]
	}
	return value, nil
}

// treeCache shares compiled and decoded trees between the processes, because separate copies for
// hundreds of processes would take too much memory and processor time. It counts how many each
// would have made.
type treeCache struct {
	snapshots resultCache[settings.Stamp, *settings.Snapshot]
	trees     resultCache[uint64, *settings.Tree]
	compiles  int64
	decodes   int64
}

// compile counts a compilation and returns the shared snapshot.
func (s *treeCache) compile(tree *settings.Tree, stamp settings.Stamp) (*settings.Snapshot, error) {
	s.compiles++
	return s.snapshots.getOrCompute(stamp, func() (*settings.Snapshot, error) { return tree.Compile(stamp) })
}

// decode counts a decoding and returns the shared tree.
func (s *treeCache) decode(data []byte) (*settings.Tree, error) {
	s.decodes++
	return s.trees.getOrCompute(xxhash.Sum64(data), func() (*settings.Tree, error) { return settings.DecodeTree(data) })
}

package shell

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestOrderedMapMatchesList compares orderedMap with a list that is searched linearly, after
// random puts and removals.
func TestOrderedMapMatchesList(t *testing.T) {
	type pair struct{ key, value int }
	rapid.Check(t, func(t *rapid.T) {
		var ordered orderedMap[int, pair]
		var list []pair
		for step := range rapid.IntRange(0, 40).Draw(t, "steps") {
			key := rapid.IntRange(0, 6).Draw(t, "key")
			at := slices.IndexFunc(list, func(p pair) bool { return p.key == key })
			if rapid.Bool().Draw(t, "drop") {
				ordered.remove(key)
				if at >= 0 {
					list = slices.Delete(list, at, at+1)
				}
			} else {
				ordered.put(key, pair{key, step})
				if at >= 0 {
					list[at] = pair{key, step}
				} else {
					list = append(list, pair{key, step})
				}
			}
			value, known := ordered.get(key)
			at = slices.IndexFunc(list, func(p pair) bool { return p.key == key })
			if known != (at >= 0) || known && value != list[at] {
				t.Fatalf("key %d: %v, %t in %v", key, value, known, list)
			}
		}
		values := ordered.values()
		slices.SortFunc(values, func(a, b pair) int { return a.key - b.key })
		slices.SortFunc(list, func(a, b pair) int { return a.key - b.key })
		if !slices.Equal(values, list) {
			t.Fatalf("%v, want %v", values, list)
		}
	})
}

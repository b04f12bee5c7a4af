package topk

import (
	"cmp"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestInsertKeepsFirstValuesInAnyInsertionOrder guards against values that are lost, misplaced
// or kept beyond the limit: whatever the insertion order, the list must equal the first values
// of all values sorted.
func TestInsertKeepsFirstValuesInAnyInsertionOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOf(rapid.IntRange(0, 30)).Draw(t, "values")
		limit := rapid.IntRange(0, 6).Draw(t, "most")
		var first []int
		for _, value := range values {
			first = Insert(first, value, limit, cmp.Compare[int])
		}
		slices.Sort(values)
		if want := values[:min(limit, len(values))]; !slices.Equal(first, want) {
			t.Fatalf("%v, want %v", first, want)
		}
	})
}

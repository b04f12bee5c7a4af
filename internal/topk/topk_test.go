package topk

import (
	"cmp"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestInsertKeepsTheFirst: whatever comes in whatever order, the list is the beginning of all
// sorted.
func TestInsertKeepsTheFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOf(rapid.IntRange(0, 30)).Draw(t, "values")
		most := rapid.IntRange(0, 6).Draw(t, "most")
		var first []int
		for _, value := range values {
			first = Insert(first, value, most, cmp.Compare[int])
		}
		slices.Sort(values)
		if want := values[:min(most, len(values))]; !slices.Equal(first, want) {
			t.Fatalf("%v, want %v", first, want)
		}
	})
}

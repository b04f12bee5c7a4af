package topk

import "slices"

// Insert inserts a value into a sorted list that holds the first values in the order of
// compare, truncates the list to limit values and returns it. For a small limit this finds
// the first of n values with little more than n comparisons, whereas sorting all of them
// takes n log n.
func Insert[T any](first []T, value T, limit int, compare func(a, b T) int) []T {
	index, _ := slices.BinarySearchFunc(first, value, compare)
	if index >= limit {
		return first
	}
	return slices.Insert(first[:min(len(first), limit-1)], index, value)
}

package topk

import "slices"

// Insert puts a value into the sorted list of the first ones by an order, of which most are
// kept, and returns the list. The first few of n values are found so with n comparisons and
// few more, where sorting all takes n log n.
func Insert[T any](first []T, value T, most int, compare func(a, b T) int) []T {
	at, _ := slices.BinarySearchFunc(first, value, compare)
	if at >= most {
		return first
	}
	return slices.Insert(first[:min(len(first), most-1)], at, value)
}

package authority

import (
	"cmp"
	"maps"
	"slices"
)

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// compareStrings compares two string identifiers for sorting.
func compareStrings[S ~string](a, b S) int { return cmp.Compare(a, b) }

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

// compareStrings orders string-like identifiers.
func compareStrings[S ~string](a, b S) int { return cmp.Compare(a, b) }

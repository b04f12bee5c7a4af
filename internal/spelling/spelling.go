package spelling

import "math"

// Nearest returns the known word with the smallest edit distance to an unknown one, the first
// of several. It returns an empty string if that distance is more than a third of the known
// word's length.
func Nearest(unknown string, known []string) string {
	best, distance := "", math.MaxInt
	for _, word := range known {
		if d := editDistance(unknown, word); d < distance {
			best, distance = word, d
		}
	}
	if distance > len(best)/3 {
		return ""
	}
	return best
}

// editDistance returns the Levenshtein distance of two words, in bytes. Its time grows with
// the product of their lengths, so the words should be short.
func editDistance(a, b string) int {
	previous := make([]int, len(b)+1)
	for j := range previous {
		previous[j] = j
	}
	for i := range len(a) {
		current := make([]int, len(b)+1)
		current[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			current[j+1] = min(previous[j]+cost, previous[j+1]+1, current[j]+1)
		}
		previous = current
	}
	return previous[len(b)]
}

package agenda

import (
	"slices"
	"testing"
	"time"
)

// TestNextReturnsEntriesInTimeOrderUntilEnd guards against an entry that runs before another of
// an earlier time, or before one of the same time that was added first, and against an entry
// that runs although its time is after the end.
func TestNextReturnsEntriesInTimeOrderUntilEnd(t *testing.T) {
	var a EventQueue
	start := time.Unix(1000, 0)
	var ran []int
	for i, delay := range []time.Duration{3, 1, 2, 1, 5} {
		a.Schedule(start.Add(delay*time.Second), func() { ran = append(ran, i) })
	}
	end := start.Add(3 * time.Second)
	for at, run, due := a.Next(end); due; at, run, due = a.Next(end) {
		if at.After(end) {
			t.Errorf("Next returned an entry scheduled at %s, after the end %s", at, end)
		}
		run()
	}
	if want := []int{1, 3, 2, 0}; !slices.Equal(ran, want) {
		t.Errorf("ran %v, want %v", ran, want)
	}
}

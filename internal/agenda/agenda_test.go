package agenda

import (
	"slices"
	"testing"
	"time"
)

// TestEntriesRunInOrder guards against entries that run before others of an earlier time, or of the
// same time that were added before, and against entries beyond the end.
func TestEntriesRunInOrder(t *testing.T) {
	var a Agenda
	start := time.Unix(1000, 0)
	var ran []int
	for i, after := range []time.Duration{3, 1, 2, 1, 5} {
		a.Add(start.Add(after*time.Second), func() { ran = append(ran, i) })
	}
	end := start.Add(3 * time.Second)
	for at, run, due := a.Next(end); due; at, run, due = a.Next(end) {
		if at.After(end) {
			t.Errorf("an entry of %s runs by %s", at, end)
		}
		run()
	}
	if want := []int{1, 3, 2, 0}; !slices.Equal(ran, want) {
		t.Errorf("ran %v, want %v", ran, want)
	}
}

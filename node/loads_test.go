package node

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// TestLoadReportsArePublishedOnlyWhenChangedOrStale checks that a load report is published
// after a considerable change, or when the last published one is too old, and that
// idle machines are not published again.
func TestLoadReportsArePublishedOnlyWhenChangedOrStale(t *testing.T) {
	const slots = 32
	start := time.Unix(1_000_000, 0)
	filter := newLoadFilter()
	for _, step := range []struct {
		name      string
		seconds   int
		work      int
		published bool
	}{
		{"idle machine", 0, 0, false},
		{"first work", 1, 1, true},
		{"small change", 2, 3, false},
		{"change of an eighth of the slots", 3, 5, true},
		{"unchanged", 4, 5, false},
		{"unchanged, but long ago", 9, 5, true},
		{"idle again", 10, 0, true},
		{"still idle, long ago", 60, 0, false},
	} {
		now := start.Add(time.Duration(step.seconds) * time.Second)
		report := cluster.LoadReport{Machine: "a", At: now, Running: step.work}
		if published := filter.takeIfChanged(now, slots, &report); published != step.published {
			t.Errorf("%s: published %v, want %v", step.name, published, step.published)
		}
	}
	now := start.Add(time.Minute)
	report := cluster.LoadReport{Machine: "b", At: now, Running: 9}
	if !filter.takeIfChanged(now, slots, &report) || filter.takeIfChanged(now.Add(time.Minute), slots, &report) {
		t.Error("a report must be published exactly once, however late")
	}
}

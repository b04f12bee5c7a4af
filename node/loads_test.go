package node

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

func TestLoadsAreToldWhenTheyChange(t *testing.T) {
	const slots = 32
	start := time.Unix(1_000_000, 0)
	news := newLoadNews()
	for _, step := range []struct {
		name    string
		seconds int
		work    int
		told    bool
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
		if told := news.take(now, slots, &report); told != step.told {
			t.Errorf("%s: told %v, want %v", step.name, told, step.told)
		}
	}
	now := start.Add(time.Minute)
	report := cluster.LoadReport{Machine: "b", At: now, Running: 9}
	if !news.take(now, slots, &report) || news.take(now.Add(time.Minute), slots, &report) {
		t.Error("one report must be told once, however late")
	}
}

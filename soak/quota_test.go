package soak

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// TestQuotaStopsAtItsShareAndResumesNextPeriod checks that a process is suspended once it has
// used its share of a period and resumed when the next period begins.
func TestQuotaStopsAtItsShareAndResumesNextPeriod(t *testing.T) {
	q := &quota{share: 20 * time.Millisecond}
	began := time.Unix(100, 0)
	for _, step := range []struct {
		after, used time.Duration
		want        syscall.Signal
	}{
		{0, 500 * time.Millisecond, 0},
		{10 * time.Millisecond, 515 * time.Millisecond, 0},
		{20 * time.Millisecond, 521 * time.Millisecond, syscall.SIGSTOP},
		{50 * time.Millisecond, 521 * time.Millisecond, 0},
		{quotaPeriod, 521 * time.Millisecond, syscall.SIGCONT},
		{quotaPeriod + 10*time.Millisecond, 530 * time.Millisecond, 0},
		{2 * quotaPeriod, 530 * time.Millisecond, 0},
	} {
		if got := q.nextSignal(began.Add(step.after), step.used); got != step.want {
			t.Errorf("after %v with %v used: %v, want %v", step.after, step.used, got, step.want)
		}
	}
}

// TestProcessorTimeIncreases guards against a wrongly computed clock ID, for which the
// processor time can't be read. It uses the clock of the test process.
func TestProcessorTimeIncreases(t *testing.T) {
	before, err := processorTime(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	for after := before; after <= before; {
		if after, err = processorTime(os.Getpid()); err != nil {
			t.Fatal(err)
		}
	}
}

package soak

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestRunGoesOnUntilPromisesCanBeJudged guards against runs on a busy machine that test a promise and end before the
// nodes have served enough to judge it, and against runs without an end where nothing can be judged.
func TestRunGoesOnUntilPromisesCanBeJudged(t *testing.T) {
	for name, c := range map[string]struct {
		limit  time.Duration
		enough int
		took   time.Duration
	}{
		"at once":                {20 * time.Second, 1, 0},
		"at the third look":      {20 * time.Second, 3, 2 * judgementInterval},
		"never":                  {20 * time.Second, 100, 20 * time.Second},
		"never, without a limit": {0, 100, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &run{ctx: context.Background(), options: Options{AwaitJudgement: c.limit}}
				began, looks := time.Now(), 0
				r.goOnUntil(func() bool {
					looks++
					return looks >= c.enough
				})
				if took := time.Since(began); took != c.took {
					t.Errorf("took %s, want %s", took, c.took)
				}
			})
		})
	}
}

// TestRunThatIsInterruptedDoesNotGoOn guards against a run that waits for observations after its end.
func TestRunThatIsInterruptedDoesNotGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		r := &run{ctx: ctx, options: Options{AwaitJudgement: time.Minute}}
		began := time.Now()
		r.goOnUntil(func() bool { return false })
		if took := time.Since(began); took != time.Second {
			t.Errorf("took %s, want 1s", took)
		}
	})
}

package placement

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// TestRecurrenceFindsPeriod wakes a model every two hours with a few minutes
// of jitter and looks at the chances around the next wake-up.
func TestRecurrenceFindsPeriod(t *testing.T) {
	var learned recurrence
	for i := range 12 {
		learned.add(start.Add(time.Duration(i)*2*time.Hour + time.Duration(i%3)*time.Minute))
	}
	next := start.Add(24 * time.Hour)
	if chance := learned.chance(next.Add(time.Minute)); chance < 0.4 {
		t.Errorf("chance at the period = %.2f", chance)
	}
	if chance := learned.chance(next.Add(-time.Hour)); chance != 0 {
		t.Errorf("chance between = %.2f", chance)
	}
}

// TestClockStepsBack plans across a clock that is set back.
func TestClockStepsBack(t *testing.T) {
	state := testState(testSnapshot(1, testModel("booking", nil)), 1)
	planner := NewPlanner(Config{})
	for _, minutes := range []int{0, 10, 20, 5, 15} {
		state.Now = start.Add(time.Duration(minutes) * time.Minute)
		state.Demand["booking"] = Demand{Waiting: 1, Arrivals: 1}
		planner.Plan(state)
		delete(state.Demand, "booking")
		state.Now = state.Now.Add(time.Minute)
		planner.Plan(state)
	}
	if held := planner.store.allowance; held < 0 || held > 2 {
		t.Errorf("allowance of store starts = %v", held)
	}
}

// TestWindowsFollowObjective learns idle times of one minute, every so often of
// an hour.
func TestWindowsFollowObjective(t *testing.T) {
	cases := []struct {
		name      string
		everyLong int
		weight    float64
		keepAlive time.Duration
		wakes     bool
	}{
		{"idle time alone counts", 8, 0, 0, false},
		{"short idle times are bridged", 8, 0.5, time.Minute, false},
		{"cold starts alone count", 8, 1, time.Hour, false},
		{"long idle times end with a wake-up", 1, 0.9, 0, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var gaps gapHistogram
			for i := range 40 {
				if i%test.everyLong == 0 {
					gaps.add(time.Hour)
				} else {
					gaps.add(time.Minute)
				}
			}
			plan := gaps.plan(objective{
				weight: test.weight, exchange: 1, requests: 1, limit: 4 * time.Hour,
				cost: cost{coldStart: 20 * time.Second, share: 0.5},
			})
			if kept := plan.keepAlive(); kept < test.keepAlive || kept > test.keepAlive*5/4+time.Second {
				t.Errorf("keep-alive %v, want about %v", kept, test.keepAlive)
			}
			if next, wakes := plan.next(10 * time.Minute); wakes != test.wakes || wakes && (next > time.Hour || next < 50*time.Minute) {
				t.Errorf("expected wake-up %v at %v, want %v", wakes, next, test.wakes)
			}
		})
	}
}

// TestStoreWindowAdapts slows remote loads down and lets them recover.
func TestStoreWindowAdapts(t *testing.T) {
	store := newStoreModel(Config{}.withDefaults())
	now := start
	run := func(slowness float64) {
		key := loadKey{machine: "machine-0000", model: "booking"}
		store.begin(now, StoreState{StartsPerSecond: 2, Concurrency: 8, Speed: 1})
		expected := store.expected(cluster.TierRemote, gigabyte)
		store.ordered(key, pendingLoad{tier: cluster.TierRemote, bytes: gigabyte, ordered: now, expected: expected})
		now = now.Add(time.Duration(slowness * float64(expected)))
		store.finished(key, now)
		now = now.Add(time.Second)
	}
	run(1)
	for range 3 {
		run(4)
	}
	slow := store.concurrency()
	if slow > 4 {
		t.Errorf("concurrency after slow loads = %d", slow)
	}
	for range 40 {
		run(1)
	}
	if recovered := store.concurrency(); recovered != 8 {
		t.Errorf("concurrency after good loads = %d", recovered)
	}
}

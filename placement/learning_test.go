package placement

import (
	"math"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
)

// TestRecurrenceFindsPeriod wakes a model every two hours with a few minutes
// of jitter and looks at the chances around the next wake-up.
func TestRecurrenceFindsPeriod(t *testing.T) {
	var learned recurrence
	for i := range 12 {
		learned.add(start.Add(time.Duration(i)*2*time.Hour + time.Duration(i%3)*time.Minute))
	}
	next := start.Add(24 * time.Hour)
	if chance := learned.probability(next.Add(time.Minute)); chance < 0.4 {
		t.Errorf("chance at the period = %.2f", chance)
	}
	if chance := learned.probability(next.Add(-time.Hour)); chance != 0 {
		t.Errorf("chance between = %.2f", chance)
	}
}

// TestClockStepBackKeepsStartTokensInBounds plans across a clock that is set back.
func TestClockStepBackKeepsStartTokensInBounds(t *testing.T) {
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
	if held := planner.store.startTokens; held < 0 || held > 2 {
		t.Errorf("allowance of store starts = %v", held)
	}
}

// TestScheduleFollowsObjective learns idle times of one minute, every so often of
// an hour.
func TestScheduleFollowsObjective(t *testing.T) {
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
			var gaps idleHistogram
			for i := range 40 {
				if i%test.everyLong == 0 {
					gaps.add(time.Hour)
				} else {
					gaps.add(time.Minute)
				}
			}
			plan := gaps.optimalSchedule(keepObjective{
				weight: test.weight, exchange: 1, requests: 1, limit: 4 * time.Hour,
				cost: cost{coldStart: 20 * time.Second, acceleratorShare: 0.5},
			})
			if kept := plan.keepAlive(); kept < test.keepAlive || kept > test.keepAlive*5/4+time.Second {
				t.Errorf("keep-alive %v, want about %v", kept, test.keepAlive)
			}
			if next, wakes := plan.nextWindowStart(10 * time.Minute); wakes != test.wakes || wakes && (next > time.Hour || next < 50*time.Minute) {
				t.Errorf("expected wake-up %v at %v, want %v", wakes, next, test.wakes)
			}
		})
	}
}

// simulatedStore is a weight store that bears so many loads at full speed and slows all
// down in proportion beyond.
type simulatedStore struct {
	fullSpeedLoads float64
	secondsLeft    []float64
}

// runFor lets time pass and returns the loads that were done, by index.
func (s *simulatedStore) runFor(seconds float64) []int {
	speed := min(1, s.fullSpeedLoads/max(float64(len(s.secondsLeft)), 1))
	var done []int
	for i := range s.secondsLeft {
		s.secondsLeft[i] -= seconds * speed
		if s.secondsLeft[i] <= 0 {
			done = append(done, i)
		}
	}
	return done
}

// learnConcurrency runs so many loads on a store, as many at once as the model allows,
// and returns the model. Every load on a slow machine takes twice as long.
func learnConcurrency(fullSpeedLoads float64, loads int, seconds float64, slowEvery int) *storeModel {
	const step = 10 * time.Millisecond
	store := newStoreModel(Config{}.withDefaults())
	simulated := &simulatedStore{fullSpeedLoads: fullSpeedLoads}
	var keys []loadKey
	now, begun, finished := start, 0, 0
	bytes := int64(seconds * store.bytesPerSecond[cluster.TierRemote])
	for finished < loads {
		store.beginRound(now, StoreState{StartsPerSecond: 100, Concurrency: 100, Bears: 4, Speed: 1})
		for _, i := range slices.Backward(simulated.runFor(step.Seconds())) {
			store.observeFinished(keys[i], now)
			keys, simulated.secondsLeft = slices.Delete(keys, i, i+1), slices.Delete(simulated.secondsLeft, i, i+1)
			finished++
		}
		for len(keys) < store.concurrency() {
			key := loadKey{machine: cluster.MachineID(strconv.Itoa(begun)), model: "booking"}
			begun++
			left := seconds
			if slowEvery > 0 && begun%slowEvery == 0 {
				left *= 2
			}
			store.addPending(key, pendingLoad{
				tier: cluster.TierRemote, usesStore: true, bytes: bytes, ordered: now, expected: time.Duration(seconds * float64(time.Second)),
			})
			keys, simulated.secondsLeft = append(keys, key), append(simulated.secondsLeft, left)
		}
		store.runningLoads = len(keys)
		now = now.Add(step)
	}
	return &store
}

// TestStoreCapacityIsLearned: nothing states how many loads a store bears at once, and
// within ten loads, or four rounds of them where it bears more, it is known to within
// a fifth or one load.
func TestStoreConcurrencyIsLearned(t *testing.T) {
	for _, bears := range []float64{2, 3, 4, 6, 8, 12, 25} {
		for _, seconds := range []float64{0.7, 3, 6} {
			loads := max(10, 4*int(bears))
			got := float64(learnConcurrency(bears, loads, seconds, 0).concurrency())
			if off := math.Abs(got - bears); off > max(1, bears/5) {
				t.Errorf("a store that bears %v loads of %v s: %v learned after %d", bears, seconds, got, loads)
			}
		}
	}
}

// TestSlowMachineIsNoSlowStore: single loads that are slow because of their machine
// don't lower what the store is believed to bear by more than a load.
func TestSlowMachineDoesNotLowerStoreConcurrency(t *testing.T) {
	if got := learnConcurrency(4, 60, 6, 5).concurrency(); got < 3 {
		t.Errorf("%d loads at once learned, want 4", got)
	}
}

// TestLoneSlowLoadsTellTheRate: a load that shares the store with no other says nothing
// of how many the store bears, but how fast it is.
func TestLoneSlowLoadsLowerOnlyTheRate(t *testing.T) {
	store := newStoreModel(Config{}.withDefaults())
	now := start
	first := store.expectedTime(cluster.TierRemote, gigabyte)
	for range 20 {
		key := loadKey{machine: "machine-0000", model: "booking"}
		store.beginRound(now, StoreState{StartsPerSecond: 2, Concurrency: 8, Speed: 1})
		expected := store.expectedTime(cluster.TierRemote, gigabyte)
		store.addPending(key, pendingLoad{tier: cluster.TierRemote, usesStore: true, bytes: gigabyte, ordered: now, expected: expected})
		store.runningLoads = 1
		now = now.Add(4 * first)
		store.beginRound(now, StoreState{StartsPerSecond: 2, Concurrency: 8, Speed: 1})
		store.observeFinished(key, now)
		store.runningLoads = 0
	}
	if got := store.concurrency(); got != 8 {
		t.Errorf("%d loads at once after lone slow loads, want 8", got)
	}
	if got := store.expectedTime(cluster.TierRemote, gigabyte); got < 3*first {
		t.Errorf("%v expected after loads of %v", got, 4*first)
	}
}

// TestAdaptersTellNothingOfTheStore: adapters come past the store's limits, in no time,
// also while it is overloaded.
func TestAdapterLoadsLeaveStoreConcurrencyUnchanged(t *testing.T) {
	base := testModel("base", func(m *settings.Model) { m.Policy.MaxReplicas = 9 })
	state := testState(testSnapshot(1, base, adapterOf("base", "adapter")), 2)
	addLoadedReplica(&state, 0, "base")
	state.Store = StoreState{StartsPerSecond: 9, Concurrency: 99, Bears: 4, Speed: 1}
	state.Demand["adapter"] = Demand{Waiting: 1, Arrivals: 1}
	planner := NewPlanner(engineConfig())
	engine := fakeEngines{loadTimeFactor: 1, completesAt: map[loadKey]time.Time{}}
	plan := planner.Plan(state)
	expectActions(t, plan, "load adapter on machine-0000")
	engine.apply(&state, plan)
	for range 4 {
		planner.store.runningLoads = 9
		engine.advance(&state, time.Second)
		plan = planner.Plan(state)
	}
	if plan.Store.Limit != 4 {
		t.Fatalf("%d loads at once after an adapter's load, want 4", plan.Store.Limit)
	}
}

// TestSmallLoadsAreNotSlow: of a load that takes little more than what any load takes,
// whatever its size, a store that nothing is stated of must not seem overloaded.
func TestSmallLoadsDoNotLowerStoreConcurrency(t *testing.T) {
	store := newStoreModel(Config{}.withDefaults())
	now := start
	for range 10 {
		var keys []loadKey
		store.beginRound(now, StoreState{StartsPerSecond: 9, Concurrency: 8, Speed: 1})
		for i := range 4 {
			key := loadKey{machine: cluster.MachineID(strconv.Itoa(i)), model: "small"}
			store.addPending(key, pendingLoad{
				tier: cluster.TierRemote, usesStore: true, bytes: 1e6, ordered: now, expected: store.expectedTime(cluster.TierRemote, 1e6),
			})
			keys = append(keys, key)
		}
		store.runningLoads = len(keys)
		now = now.Add(loadOverhead)
		store.beginRound(now, StoreState{StartsPerSecond: 9, Concurrency: 8, Speed: 1})
		for _, key := range keys {
			store.observeFinished(key, now)
		}
	}
	if got := store.concurrency(); got != 8 {
		t.Errorf("%d loads at once, want 8", got)
	}
}

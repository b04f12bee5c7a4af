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

// TestRecurrenceFindsPeriod wakes a model every two hours with a few minutes of jitter. A
// wake-up must be probable at the next period and not between two.
func TestRecurrenceFindsPeriod(t *testing.T) {
	var learned recurrence
	for i := range 12 {
		learned.add(start.Add(time.Duration(i)*2*time.Hour + time.Duration(i%3)*time.Minute))
	}
	next := start.Add(24 * time.Hour)
	if probability := learned.probability(next.Add(time.Minute)); probability < 0.4 {
		t.Errorf("probability at the period %.2f, want 0.4 or more", probability)
	}
	if probability := learned.probability(next.Add(-time.Hour)); probability != 0 {
		t.Errorf("probability between two periods %.2f, want 0", probability)
	}
}

// TestClockStepBackKeepsStartTokensInBounds guards against a clock that is set back emptying or
// overfilling the token bucket of starts.
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
	if startTokens := planner.store.startTokens; startTokens < 0 || startTokens > 2 {
		t.Errorf("start tokens %v, want 0 to 2", startTokens)
	}
}

// TestScheduleFollowsObjective learns idle periods of one minute with one of an hour in every
// longEvery, and checks the windows for different weights of cold starts.
func TestScheduleFollowsObjective(t *testing.T) {
	cases := []struct {
		name      string
		longEvery int
		weight    float64
		keepAlive time.Duration
		wakeUp    bool
	}{
		{"only idle time has weight", 8, 0, 0, false},
		{"keep-alive covers short idle times", 8, 0.5, time.Minute, false},
		{"only cold starts have weight", 8, 1, time.Hour, false},
		{"window before the wake-up after a long idle time", 1, 0.9, 0, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var idlePeriods idleHistogram
			for i := range 40 {
				if i%test.longEvery == 0 {
					idlePeriods.add(time.Hour)
				} else {
					idlePeriods.add(time.Minute)
				}
			}
			schedule := idlePeriods.optimalSchedule(keepObjective{
				weight: test.weight, exchange: 1, requests: 1, limit: 4 * time.Hour,
				cost: cost{coldStart: 20 * time.Second, acceleratorShare: 0.5},
			})
			if kept := schedule.keepAlive(); kept < test.keepAlive || kept > test.keepAlive*5/4+time.Second {
				t.Errorf("keep-alive %v, want about %v", kept, test.keepAlive)
			}
			if next, wakeUp := schedule.nextWindowStart(10 * time.Minute); wakeUp != test.wakeUp || wakeUp && (next > time.Hour || next < 50*time.Minute) {
				t.Errorf("expected wake-up %v at %v, want %v", wakeUp, next, test.wakeUp)
			}
		})
	}
}

// simulatedStore is a weight store that serves fullSpeedLoads loads at full speed and slows
// down all of them in proportion beyond that.
type simulatedStore struct {
	fullSpeedLoads float64
	secondsLeft    []float64
}

// runFor advances the time and returns the indexes of the finished loads.
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

// learnConcurrency runs the given number of loads on a simulated store, as many at once as the
// model allows, and returns the model. If slowEvery is not zero, one in slowEvery loads takes
// twice as long because its machine is slow.
func learnConcurrency(fullSpeedLoads float64, loads int, seconds float64, slowEvery int) *storeModel {
	const step = 10 * time.Millisecond
	store := newStoreModel(Config{}.withDefaults())
	simulated := &simulatedStore{fullSpeedLoads: fullSpeedLoads}
	var keys []loadKey
	now, begun, finished := start, 0, 0
	bytes := int64(seconds * store.bytesPerSecond[cluster.TierRemote])
	for finished < loads {
		store.beginRound(now, StoreState{StartsPerSecond: 100, Concurrency: 100, InitialConcurrency: 4, Speed: 1})
		for _, i := range slices.Backward(simulated.runFor(step.Seconds())) {
			store.observeFinished(keys[i], now)
			keys, simulated.secondsLeft = slices.Delete(keys, i, i+1), slices.Delete(simulated.secondsLeft, i, i+1)
			finished++
		}
		for len(keys) < store.concurrency() {
			key := loadKey{machine: cluster.MachineID(strconv.Itoa(begun)), model: "booking"}
			begun++
			secondsLeft := seconds
			if slowEvery > 0 && begun%slowEvery == 0 {
				secondsLeft *= 2
			}
			store.addPending(key, pendingLoad{
				tier: cluster.TierRemote, usesStore: true, bytes: bytes, ordered: now, expected: time.Duration(seconds * float64(time.Second)),
			})
			keys, simulated.secondsLeft = append(keys, key), append(simulated.secondsLeft, secondsLeft)
		}
		store.runningLoads = len(keys)
		now = now.Add(step)
	}
	return &store
}

// TestStoreConcurrencyIsLearned: no setting states how many loads a store serves at full speed.
// Within ten loads, or four times that number if it is larger, the estimate must be within a
// fifth or one load of it.
func TestStoreConcurrencyIsLearned(t *testing.T) {
	for _, fullSpeedLoads := range []float64{2, 3, 4, 6, 8, 12, 25} {
		for _, seconds := range []float64{0.7, 3, 6} {
			loads := max(10, 4*int(fullSpeedLoads))
			got := float64(learnConcurrency(fullSpeedLoads, loads, seconds, 0).concurrency())
			if deviation := math.Abs(got - fullSpeedLoads); deviation > max(1, fullSpeedLoads/5) {
				t.Errorf("store with full speed for %v loads of %v s: estimate %v after %d loads", fullSpeedLoads, seconds, got, loads)
			}
		}
	}
}

// TestSlowMachineDoesNotLowerStoreConcurrency guards against slow machines being taken for an
// overloaded store: single slow loads may lower the estimate by at most one.
func TestSlowMachineDoesNotLowerStoreConcurrency(t *testing.T) {
	if got := learnConcurrency(4, 60, 6, 5).concurrency(); got < 3 {
		t.Errorf("estimated concurrency %d, want 3 or more of 4", got)
	}
}

// TestLoneSlowLoadsLowerOnlyTheRate: a slow load that shared the store with no other must lower
// the estimated load rate, not the estimated concurrency.
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
		t.Errorf("estimated concurrency %d after lone slow loads, want 8", got)
	}
	if got := store.expectedTime(cluster.TierRemote, gigabyte); got < 3*first {
		t.Errorf("expected time %v after loads of %v, want at least three quarters of it", got, 4*first)
	}
}

// TestAdapterLoadsLeaveStoreConcurrencyUnchanged: loads of adapters don't use the store's
// limits, so their short times must not change the estimate, even while the store is
// overloaded.
func TestAdapterLoadsLeaveStoreConcurrencyUnchanged(t *testing.T) {
	base := testModel("base", func(m *settings.Model) { m.Policy.MaxReplicas = 9 })
	state := testState(testSnapshot(1, base, adapterOf("base", "adapter")), 2)
	addLoadedReplica(&state, 0, "base")
	state.Store = StoreState{StartsPerSecond: 9, Concurrency: 99, InitialConcurrency: 4, Speed: 1}
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
		t.Fatalf("estimated concurrency %d after loading an adapter, want 4", plan.Store.Limit)
	}
}

// TestSmallLoadsDoNotLowerStoreConcurrency: the duration of a small load is mostly the fixed
// overhead. Such loads must not make the store seem overloaded.
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
		t.Errorf("estimated concurrency %d after small loads, want 8", got)
	}
}

package placement

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/settings"
)

// TestStarvedModelIsLoadedBeforeHigherScore guards against a large model being passed over for
// ever because small ones score higher. After four requests over more than 8 s it must come
// first, even if its callers left in between. After three requests it must not.
func TestStarvedModelIsLoadedBeforeHigherScore(t *testing.T) {
	large := testModel("large", func(m *settings.Model) { m.Policy.Memory = 30 * gigabyte })
	for requests, want := range map[int]string{3: "load small on machine-0000", 4: "load large on machine-0000"} {
		state := testState(testSnapshot(1, large, testModel("small", nil)), 1)
		state.Store = StoreState{StartsPerSecond: 0.0001, Concurrency: 1, Speed: 1}
		planner := NewPlanner(engineConfig())
		planner.Plan(state)
		planner.store.startTokens = 0
		for k := range 64 {
			state.Now = state.Now.Add(500 * time.Millisecond)
			state.Demand["large"] = Demand{Waiting: 1}
			if k < requests {
				state.Demand["large"] = Demand{Waiting: 1, Arrivals: 1}
			}
			expectActions(t, planner.Plan(state))
		}
		delete(state.Demand, "large")
		state.Now = state.Now.Add(time.Minute)
		expectActions(t, planner.Plan(state))
		planner.store.startTokens = 1
		state.Now = state.Now.Add(500 * time.Millisecond)
		state.Demand["large"], state.Demand["small"] = Demand{Waiting: 1}, Demand{Waiting: 1, Arrivals: 1}
		expectActions(t, planner.Plan(state), want)
	}
}

// TestServingReplicaResetsStarvation guards against a score that stays raised after the model
// has got a replica.
func TestServingReplicaResetsStarvation(t *testing.T) {
	var starvation starvation
	now := start
	for range 20 {
		now = now.Add(time.Second)
		starvation.observe(now, false, 1, 1)
	}
	if factor := starvation.scoreFactor(now); factor < 4 {
		t.Errorf("score factor %v after 19 s of waiting, want 4 or more", factor)
	}
	starvation.observe(now, true, 1, 1)
	if factor := starvation.scoreFactor(now); factor != 1 {
		t.Errorf("score factor %v with a replica, want 1", factor)
	}
}

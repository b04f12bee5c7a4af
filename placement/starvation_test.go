package placement

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/settings"
)

// TestPassedOverModelComesFirst: where the store lets one load begin, a large model that
// was asked for four times over 8 s comes before a small one that is worth more, though
// its callers left in between; one that was asked for thrice does not.
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

// TestReplicaEndsStarving: what waited is forgotten once a replica serves or will serve.
func TestServingReplicaResetsStarvation(t *testing.T) {
	var waits starvation
	now := start
	for range 20 {
		now = now.Add(time.Second)
		waits.observe(now, false, 1, 1)
	}
	if grown := waits.scoreFactor(now); grown < 4 {
		t.Errorf("worth grew by %v in 19 s, want four times or more", grown)
	}
	waits.observe(now, true, 1, 1)
	if grown := waits.scoreFactor(now); grown != 1 {
		t.Errorf("worth grown by %v with a replica", grown)
	}
}

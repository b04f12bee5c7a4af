package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/settings"
)

// TestWithdrawnLoadReturnsItsStartToken guards against loads without an order using up the
// start tokens of the weight store, which would block later loads.
func TestWithdrawnLoadReturnsItsStartToken(t *testing.T) {
	state := testState(testSnapshot(1, testModel("booking", nil)), 1)
	state.Store = StoreState{StartsPerSecond: 1, Concurrency: 4, Speed: 1}
	state.Demand["booking"] = Demand{Waiting: 1, Arrivals: 1}
	planner := NewPlanner(Config{})
	for round := range 5 {
		plan := planner.Plan(state)
		if len(plan.Actions) != 1 {
			t.Fatalf("round %d: %d actions, want the load again", round, len(plan.Actions))
		}
		planner.CancelLoad(&plan.Actions[0])
		state.Now = state.Now.Add(30 * time.Millisecond)
	}
}

// TestTakeoverKeepsStoreStartRate guards against a new planner starting with a full token
// bucket right after its predecessor has used its own. With more demand than the store allows,
// no window may contain more starts than the limit.
func TestTakeoverKeepsStoreStartRate(t *testing.T) {
	const rate, window, burst = 20.0, 5 * time.Second, 6.0
	models := make([]settings.Model, 400)
	for i := range models {
		models[i] = testModel(fmt.Sprintf("model-%03d", i), nil)
	}
	state := testState(testSnapshot(1, models...), 400)
	state.Store = StoreState{StartsPerSecond: rate, Concurrency: 400, Speed: 1, Burst: burst}
	for i := range models {
		state.Demand[models[i].ID] = Demand{Waiting: 1, Arrivals: 1}
	}
	var starts []time.Time
	begin := state.Now
	var planner *AdaptivePlanner
	for step := range 400 {
		if step%110 == 0 {
			planner = NewPlanner(Config{EmptyStartBucket: step > 0})
		}
		state.Now = begin.Add(time.Duration(step) * 25 * time.Millisecond)
		for _, action := range planner.Plan(state).Actions {
			starts = append(starts, state.Now)
			delete(state.Demand, action.Model)
		}
	}
	for i := range starts {
		count := 0
		for _, at := range starts[i:] {
			if at.Sub(starts[i]) < window {
				count++
			}
		}
		if limit := rate*window.Seconds() + burst + 1; float64(count) > limit {
			t.Fatalf("%d loads began within %v, want at most %v", count, window, limit)
		}
	}
	if len(starts) < 150 {
		t.Errorf("%d loads began in 10 s, want 150 or more", len(starts))
	}
}

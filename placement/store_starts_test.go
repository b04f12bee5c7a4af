package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/settings"
)

// TestWithdrawnLoadKeepsItsStart: a load whose order was not given takes nothing of
// the weight store.
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
		planner.Withdraw(&plan.Actions[0])
		state.Now = state.Now.Add(30 * time.Millisecond)
	}
}

// TestTakeoverKeepsStoreLimit: with demand for more than the store allows, one
// planner after the other starts no more loads in any window than are allowed.
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
			planner = NewPlanner(Config{AssumeStarts: step > 0})
		}
		state.Now = begin.Add(time.Duration(step) * 25 * time.Millisecond)
		for _, action := range planner.Plan(state).Actions {
			starts = append(starts, state.Now)
			delete(state.Demand, action.Model)
		}
	}
	for i := range starts {
		n := 0
		for _, at := range starts[i:] {
			if at.Sub(starts[i]) < window {
				n++
			}
		}
		if bound := rate*window.Seconds() + burst + 1; float64(n) > bound {
			t.Fatalf("%d loads began within %v, %v allowed", n, window, bound)
		}
	}
	if len(starts) < 150 {
		t.Errorf("%d loads began in 10 s", len(starts))
	}
}

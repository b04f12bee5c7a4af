package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// busyWaitState returns machines with 40 GB. The first one has the checkpoint of booking on its
// disk and carries out an order for the given time.
func busyWaitState(busyFor time.Duration) State {
	state := testState(testSnapshot(1, testModel("assistant", nil), testModel("booking", nil)), 2)
	state.Machines[0].Cached["booking"] = cluster.TierDisk
	state.Machines[0].Busy, state.Machines[0].OrderTimeLeft = true, busyFor
	state.Demand["booking"] = Demand{Waiting: 1, Arrivals: 1}
	return state
}

// TestLoadWaitsForBrieflyBusyMachineWithCheckpoint: a machine that is busy for a moment can
// load from its disk sooner than another one from the weight store. The store load would also
// occupy that machine and delay other loads from the store.
func TestLoadWaitsForBrieflyBusyMachineWithCheckpoint(t *testing.T) {
	planner := NewPlanner(Config{})
	state := busyWaitState(300 * time.Millisecond)
	plan := planner.Plan(state)
	if len(plan.Actions) != 0 {
		t.Fatalf("actions %v, want to wait for the machine with the checkpoint", actionsOf(plan))
	}
	at := slices.IndexFunc(plan.Decisions, func(d Decision) bool { return d.Model == "booking" })
	if at < 0 || plan.Decisions[at].Reason.Cause != CauseMachineBusy {
		t.Fatalf("decisions %+v, want the cause %q", plan.Decisions, CauseMachineBusy)
	}
	state.Now = state.Now.Add(300 * time.Millisecond)
	state.Machines[0].Busy, state.Machines[0].OrderTimeLeft = false, 0
	plan = planner.Plan(state)
	if len(plan.Actions) != 1 || plan.Actions[0].Machine != state.Machines[0].ID || plan.Actions[0].Tier != cluster.TierDisk {
		t.Fatalf("actions %v, want the load from disk", actionsOf(plan))
	}
}

// TestLoadDoesNotWaitForLongBusyMachine: no load may wait for a machine that is busy for longer
// than a load from the weight store takes, or for an unknown time.
func TestLoadDoesNotWaitForLongBusyMachine(t *testing.T) {
	for name, busyFor := range map[string]time.Duration{"long": time.Minute, "unknown": 0} {
		t.Run(name, func(t *testing.T) {
			state := busyWaitState(busyFor)
			plan := NewPlanner(Config{}).Plan(state)
			if len(plan.Actions) != 1 || plan.Actions[0].Machine != state.Machines[1].ID {
				t.Fatalf("actions %v, want the load on the free machine", actionsOf(plan))
			}
		})
	}
}

// TestFurtherModelsDoNotWaitForSameBusyMachine: each model that waits for a busy machine adds
// to its queue, so further models must be loaded on other machines.
func TestFurtherModelsDoNotWaitForSameBusyMachine(t *testing.T) {
	state := busyWaitState(300 * time.Millisecond)
	state.Machines[0].MemoryBytes = 400 * gigabyte
	models := state.Settings.Models
	for _, id := range []cluster.ModelID{"m1", "m2", "m3", "m4", "m5", "m6"} {
		models = append(models, testModel(string(id), nil))
		state.Machines[0].Cached[id] = cluster.TierDisk
		state.Demand[id] = Demand{Waiting: 1, Arrivals: 1}
	}
	state.Settings = testSnapshot(2, models...)
	state.Allotment = testAllotment(state.Settings)
	plan := NewPlanner(Config{}).Plan(state)
	if loads := len(plan.Actions); loads == 0 || loads == 7 {
		t.Fatalf("%d loads begin elsewhere, want some of seven: %v", loads, actionsOf(plan))
	}
}

package placement

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// TestWhatAReplicaForPromptsDisplaces: a second replica of a model whose prompts come in a
// row takes the place of a rare model that comes back in time, from this or another
// engine's disk, or that another engine has loaded. It doesn't take that of one that the
// weight store alone has: its next caller would wait for 13 s.
func TestPrefillReplicaEvictsOnlyQuicklyReloadedModel(t *testing.T) {
	for name, test := range map[string]struct {
		// here and there are where the rare model's weights are on the disk, and loaded
		// whether the third engine holds it too.
		here, there, loaded bool
		want                []string
	}{
		"on the same disk":    {here: true, want: []string{"unload rare on machine-0001"}},
		"on another disk":     {there: true, want: []string{"unload rare on machine-0001"}},
		"loaded elsewhere":    {loaded: true, want: []string{"unload rare on machine-0001"}},
		"only in the store":   {},
		"here and everywhere": {here: true, there: true, loaded: true, want: []string{"unload rare on machine-0001"}},
	} {
		t.Run(name, func(t *testing.T) {
			state, planner := evictionState()
			if test.here {
				state.Machines[1].Cached["rare"] = cluster.TierDisk
			}
			if test.there {
				state.Machines[2].Cached["rare"] = cluster.TierDisk
			}
			if test.loaded {
				state.Machines[2].MemoryBytes = 10 * gigabyte
				addLoadedReplica(&state, 2, "rare")
			}
			requestEachSecond(&state, planner, 20, "rare")
			state.Demand["rare"] = Demand{}
			var plan Plan
			for range 10 {
				plan = planWithDemand(&state, planner, "booking", 200*time.Millisecond, promptDemand(1, longPrompt))
				if len(plan.Actions) > 0 {
					break
				}
			}
			expectActions(t, plan, test.want...)
		})
	}
}

// evictionState returns three engines, the first two with a place for one model each. The
// first holds booking, the second, which has booking's weights at hand, a rare model.
func evictionState() (State, *AdaptivePlanner) {
	state, planner := readingState(3, testModel("rare", nil))
	for i := range state.Machines {
		state.Machines[i].MemoryBytes = 10 * gigabyte
		clear(state.Machines[i].Cached)
	}
	state.Machines[2].MemoryBytes = gigabyte // Not enough for any.
	state.Machines[1].Cached["booking"] = cluster.TierDisk
	state.LoadTime = func(_ cluster.ModelID, tier cluster.Tier) time.Duration {
		if tier == cluster.TierRemote {
			return 13 * time.Second
		}
		return 800 * time.Millisecond
	}
	addLoadedReplica(&state, 1, "rare")
	return state, planner
}

// TestVictimIsTheOneThatComesBackInTime: of two idle models asked for as often, the one
// whose callers would still be answered in time makes way.
func TestVictimIsModelThatReloadsWithinObjective(t *testing.T) {
	state, planner := evictionState()
	state.Machines[0].Replicas, state.Machines[0].MemoryBytes = nil, gigabyte
	state.Machines[1].MemoryBytes = 20 * gigabyte
	entries := append(state.Settings.Models, testModel("strict", nil))
	state.Settings = testSnapshot(2, entries...)
	state.Allotment = testAllotment(state.Settings)
	addLoadedReplica(&state, 1, "strict")
	state.Machines[1].Cached["rare"], state.Machines[1].Cached["strict"] = cluster.TierDisk, cluster.TierDisk
	for range 20 {
		state.Now = state.Now.Add(time.Second)
		state.Demand["rare"] = Demand{Arrivals: 1, Objective: 4 * time.Second}
		state.Demand["strict"] = Demand{Arrivals: 1, Objective: 500 * time.Millisecond}
		planner.Plan(state)
	}
	clear(state.Demand)
	plan := planWithDemand(&state, planner, "booking", 200*time.Millisecond, Demand{Waiting: 1, Arrivals: 1})
	expectActions(t, plan, "unload rare on machine-0001")
}

// TestLostCopyDisplacesWhatComesBackQuickly: after the only engine with a model's weights
// has gone, the model is loaded ahead of its next request in place of one that lies on the
// same engine's disk, not of one that the store alone has; the one asked for most is first.
func TestLostModelReplacesOnlyQuicklyReloadedModel(t *testing.T) {
	for name, test := range map[string]struct {
		onDisk bool
		want   []string
	}{
		"on disk":           {true, []string{"unload rare on machine-0001"}},
		"only in the store": {false, nil},
	} {
		t.Run(name, func(t *testing.T) {
			state, planner := evictionState()
			entries := append(state.Settings.Models, testModel("gone", nil), testModel("gone-seldom", nil))
			state.Settings = testSnapshot(2, entries...)
			state.Allotment = testAllotment(state.Settings)
			state.Machines[0].MemoryBytes, state.Machines[0].Replicas = gigabyte, nil
			delete(state.Machines[1].Cached, "booking")
			if test.onDisk {
				state.Machines[1].Cached["rare"] = cluster.TierDisk
			}
			lost := state.Machines[2]
			lost.MemoryBytes = 20 * gigabyte
			state.Machines = append(state.Machines[:2:2], lost)
			addLoadedReplica(&state, 2, "gone")
			addLoadedReplica(&state, 2, "gone-seldom")
			for second := range 20 {
				asked := []cluster.ModelID{"gone"}
				if second%5 == 0 {
					asked = append(asked, "gone-seldom", "rare")
				}
				requestEachSecond(&state, planner, 1, asked...)
			}
			state.Machines = state.Machines[:2]
			state.Now = state.Now.Add(time.Second)
			plan := planner.Plan(state)
			expectActions(t, plan, test.want...)
			if plan.Wanted["gone"] != 1 {
				t.Errorf("%d of the lost model wanted, want 1", plan.Wanted["gone"])
			}
			if !test.onDisk {
				return
			}
			state.Machines[1].Replicas = nil
			state.Now = state.Now.Add(time.Second)
			expectActions(t, planner.Plan(state), "load gone on machine-0001")
		})
	}
}

// TestReplicaForPromptsGivesWay: a request that waits for a model takes the place of a
// busy model's second replica, which ends its streams first, on the only engine that has
// the model's weights at hand; never that of its only one, or of one that what runs needs.
func TestPrefillReplicaIsEvictedForWaitingRequest(t *testing.T) {
	for name, test := range map[string]struct {
		second  bool
		running int
		want    []string
	}{
		"second replica":      {true, 2, []string{"unload booking on machine-0001"}},
		"needed by what runs": {true, 5, nil},
		"only replica":        {false, 2, nil},
	} {
		t.Run(name, func(t *testing.T) {
			state, planner := evictionState()
			state.Machines[1].Replicas = nil
			addLoadedReplica(&state, 1, "booking")
			state.Machines[1].Cached["rare"] = cluster.TierDisk
			if !test.second {
				state.Machines[0].Replicas, state.Machines[0].MemoryBytes = nil, gigabyte
			}
			planner.Plan(state)
			state.Now = state.Now.Add(time.Second)
			state.Demand["booking"] = Demand{Running: test.running, Arrivals: 2}
			state.Demand["rare"] = Demand{Waiting: 1, Arrivals: 1, Objective: 4 * time.Second}
			expectActions(t, planner.Plan(state), test.want...)
		})
	}
}

// TestNothingMakesWayForABlockedLoad: while the weight store lets no load begin, nothing is
// unloaded for a replica that no request waits for.
func TestNoEvictionForLoadBlockedByStore(t *testing.T) {
	for name, test := range map[string]struct {
		concurrency int
		want        []string
	}{
		"the store is free": {8, []string{"unload rare on machine-0001"}},
		"the store is busy": {1, nil},
	} {
		t.Run(name, func(t *testing.T) {
			state, planner := evictionState()
			clear(state.Machines[1].Cached)
			state.Machines[0].Cached["booking"], state.Machines[1].Cached["rare"] = cluster.TierDisk, cluster.TierDisk
			state.LoadTime = func(cluster.ModelID, cluster.Tier) time.Duration { return time.Second }
			state.Store.Concurrency = test.concurrency
			loading := Machine{ID: "machine-0009", Pool: "assistant", Sealed: true, Busy: true, MemoryBytes: 10 * gigabyte}
			loading.Replicas = []Slot{{Model: "rare", State: cluster.ReplicaLoading, Since: state.Now, Bytes: 10 * gigabyte, Version: "1"}}
			state.Machines = append(state.Machines, loading)
			var plan Plan
			for range 12 {
				plan = planWithDemand(&state, planner, "booking", 200*time.Millisecond, promptDemand(1, longPrompt))
				if len(plan.Actions) > 0 {
					break
				}
			}
			expectActions(t, plan, test.want...)
		})
	}
}

package placement

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// TestPrefillReplicaEvictsOnlyQuicklyReloadedModel: a second replica for prefill may evict a
// rarely used model that can be reloaded from a disk or is loaded on another engine. It must
// not evict one that only the weight store has, because its next caller would wait 13 s.
func TestPrefillReplicaEvictsOnlyQuicklyReloadedModel(t *testing.T) {
	for name, test := range map[string]struct {
		// cachedHere and cachedElsewhere state whether the same engine or the third one has the
		// rare model on disk, and loadedElsewhere whether the third one also has it loaded.
		cachedHere, cachedElsewhere, loadedElsewhere bool
		want                                         []string
	}{
		"on the same disk":             {cachedHere: true, want: []string{"unload rare on machine-0001"}},
		"on another disk":              {cachedElsewhere: true, want: []string{"unload rare on machine-0001"}},
		"loaded elsewhere":             {loadedElsewhere: true, want: []string{"unload rare on machine-0001"}},
		"only in the store":            {},
		"cached and loaded everywhere": {cachedHere: true, cachedElsewhere: true, loadedElsewhere: true, want: []string{"unload rare on machine-0001"}},
	} {
		t.Run(name, func(t *testing.T) {
			state, planner := evictionState()
			if test.cachedHere {
				state.Machines[1].Cached["rare"] = cluster.TierDisk
			}
			if test.cachedElsewhere {
				state.Machines[2].Cached["rare"] = cluster.TierDisk
			}
			if test.loadedElsewhere {
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

// evictionState returns three engines. The first two have memory for one model each: the first
// holds booking, and the second, which has booking cached, holds a rare model. The third has
// too little memory for either.
func evictionState() (State, *AdaptivePlanner) {
	state, planner := prefillState(3, testModel("rare", nil))
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

// TestVictimIsModelThatReloadsWithinObjective: of two idle models with the same request rate,
// the one that can be reloaded within its objective must be evicted. Otherwise callers with a
// strict objective get late answers.
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

// TestLostModelReplacesOnlyQuicklyReloadedModel: when the only engine with a copy of a model is
// gone, the model is loaded before its next request. The load may evict a model that is on the
// same engine's disk, but not one that only the weight store has. The lost model with the most
// requests comes first.
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
				t.Errorf("%d replicas of the lost model wanted, want 1", plan.Wanted["gone"])
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

// TestPrefillReplicaIsEvictedForWaitingRequest: a waiting request may evict a busy model's
// replica that was loaded only for prefill, on the only engine that has the requested model
// cached. It must not evict the only replica, or one that running requests need.
func TestPrefillReplicaIsEvictedForWaitingRequest(t *testing.T) {
	for name, test := range map[string]struct {
		secondReplica bool
		running       int
		want          []string
	}{
		"second replica":             {true, 2, []string{"unload booking on machine-0001"}},
		"needed by running requests": {true, 5, nil},
		"only replica":               {false, 2, nil},
	} {
		t.Run(name, func(t *testing.T) {
			state, planner := evictionState()
			state.Machines[1].Replicas = nil
			addLoadedReplica(&state, 1, "booking")
			state.Machines[1].Cached["rare"] = cluster.TierDisk
			if !test.secondReplica {
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

// TestNoEvictionForLoadBlockedByStore: while the weight store allows no load, nothing may be
// unloaded for a replica that no request waits for. Otherwise the evicted model is missing
// while nothing replaces it.
func TestNoEvictionForLoadBlockedByStore(t *testing.T) {
	for name, test := range map[string]struct {
		concurrency int
		want        []string
	}{
		"store allows a load": {8, []string{"unload rare on machine-0001"}},
		"store at its limit":  {1, nil},
	} {
		t.Run(name, func(t *testing.T) {
			state, planner := evictionState()
			clear(state.Machines[1].Cached)
			state.Machines[0].Cached["booking"], state.Machines[1].Cached["rare"] = cluster.TierDisk, cluster.TierDisk
			state.LoadTime = func(cluster.ModelID, cluster.Tier) time.Duration { return time.Second }
			state.Store.Concurrency = test.concurrency
			loading := Machine{ID: "machine-0009", Pool: "assistant", Sealed: true, Busy: true, MemoryBytes: 10 * gigabyte}
			loading.Replicas = []Replica{{Model: "rare", State: cluster.ReplicaLoading, Since: state.Now, Bytes: 10 * gigabyte, Version: "1"}}
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

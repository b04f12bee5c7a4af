package placement

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// occupancyState returns machines that carry out one order at a time; the first has
// copies of four models, each asked for once a second, and room for another.
func occupancyState() (State, *AdaptivePlanner) {
	models := []cluster.ModelID{"booking", "c1", "c2", "c3", "c4"}
	state := testState(testSnapshot(1, testModel("booking", nil)), 1)
	entries := state.Settings.Models
	for _, id := range models[1:] {
		entries = append(entries, testModel(string(id), nil))
		state.Machines[0].Cached[id] = cluster.TierDisk
	}
	state.Settings = testSnapshot(2, entries...)
	state.Allotment = testAllotment(state.Settings)
	state.LoadTime = func(_ cluster.ModelID, tier cluster.Tier) time.Duration {
		if tier == cluster.TierRemote {
			return 6 * time.Second
		}
		return time.Second
	}
	config := engineConfig()
	config.OneOrder = true
	return state, NewPlanner(config)
}

// requestEachSecond has the models asked for, once a second for so many seconds, and served elsewhere.
func requestEachSecond(state *State, planner *AdaptivePlanner, seconds int, models ...cluster.ModelID) {
	for range seconds {
		state.Now = state.Now.Add(time.Second)
		for _, id := range models {
			state.Demand[id] = Demand{Arrivals: 1}
		}
		planner.Plan(*state)
	}
	clear(state.Demand)
}

// TestMachineIsKeptForQuickLoads: a load from the store for one late request would keep
// the machine from the models at hand there that are asked for all the time. Many
// waiting requests, or a copy of those models elsewhere, make it worth while.
func TestMachineIsKeptForLocalLoads(t *testing.T) {
	for name, test := range map[string]struct {
		waiting int
		spare   bool
		want    []string
	}{
		"one request":      {1, false, nil},
		"many requests":    {400, false, []string{"load booking on machine-0000"}},
		"copies elsewhere": {4, true, []string{"load booking on machine-0000"}},
	} {
		t.Run(name, func(t *testing.T) {
			state, planner := occupancyState()
			if test.spare {
				for range 3 {
					spare := state.Machines[0]
					spare.ID, spare.MemoryBytes = spare.ID+"-spare", 0
					state.Machines = append(state.Machines, spare)
				}
			}
			requestEachSecond(&state, planner, 20, "c1", "c2", "c3", "c4")
			state.Demand["booking"] = Demand{Waiting: test.waiting, Arrivals: test.waiting, Objective: time.Second}
			expectActions(t, planner.Plan(state), test.want...)
		})
	}
}

// TestRequestInTimeCountsMore: the same request is worth the load when its answer would
// be in time.
func TestStoreLoadGainIsHigherWithinObjective(t *testing.T) {
	gain := func(objective time.Duration) float64 {
		state, planner := occupancyState()
		state.Demand["booking"] = Demand{Waiting: 3, Objective: objective}
		planner.Plan(state)
		planner.round.state = &state
		return planner.round.storeLoadGain(planner.catalogue.indexOf("booking"), 6*time.Second)
	}
	if late, inTime := gain(time.Second), gain(time.Minute); inTime < 2*late {
		t.Errorf("gain %.2f late and %.2f in time", late, inTime)
	}
}

// TestCopyIsMadeAhead: a model that was asked for and is on no machine any more is loaded
// where there is room, one never asked for is not.
func TestLostModelIsLoadedBeforeNextRequest(t *testing.T) {
	state, planner := occupancyState()
	state.Machines[0].Cached = map[cluster.ModelID]cluster.Tier{}
	state.Store.Concurrency = 1
	expectActions(t, planner.Plan(state))
	addLoadedReplica(&state, 0, "booking")
	requestEachSecond(&state, planner, 5, "booking")
	state.Machines[0].Replicas = nil
	state.Now = state.Now.Add(time.Second)
	expectActions(t, planner.Plan(state), "load booking on machine-0000")
}

// TestCrowdedModelGetsAReplica: a model whose replica runs more than it should is worth
// another one from the store, though its requests are being served; one that has room,
// or that has a replica under way, is not.
func TestOverloadedModelGainsFromStoreLoad(t *testing.T) {
	gain := func(running int, under bool) float64 {
		state, planner := occupancyState()
		addLoadedReplica(&state, 0, "booking")
		if under {
			state.Machines = append(state.Machines, testMachines(2)[1])
			addLoadedReplica(&state, 1, "booking").State = cluster.ReplicaLoading
		}
		for range 10 {
			state.Now = state.Now.Add(time.Second)
			state.Demand["booking"] = Demand{Running: running, Arrivals: 5, Objective: time.Second}
			planner.Plan(state)
		}
		planner.round.state = &state
		return planner.round.storeLoadGain(planner.catalogue.indexOf("booking"), 3*time.Second)
	}
	if got := gain(5, false); got < 1 {
		t.Errorf("gain %.2f of a crowded model", got)
	}
	if idle, coming := gain(1, false), gain(5, true); idle != 0 || coming != 0 {
		t.Errorf("gain %.2f with room, %.2f with a replica under way, want none", idle, coming)
	}
}

package placement

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// oneOrderState returns a machine that carries out one order at a time. It has copies of four
// models on disk and free memory for another one.
func oneOrderState() (State, *AdaptivePlanner) {
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
	config.SerialOrders = true
	return state, NewPlanner(config)
}

// requestEachSecond gives each model one arrival per second for the given number of seconds,
// served elsewhere.
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

// TestMachineIsKeptForLocalLoads: a load from the store for one late request must not occupy a
// machine whose cached models are requested all the time. It is worthwhile for many waiting
// requests, or if other machines have copies of those models.
func TestMachineIsKeptForLocalLoads(t *testing.T) {
	for name, test := range map[string]struct {
		waiting         int
		copiesElsewhere bool
		want            []string
	}{
		"one request":      {1, false, nil},
		"many requests":    {400, false, []string{"load booking on machine-0000"}},
		"copies elsewhere": {4, true, []string{"load booking on machine-0000"}},
	} {
		t.Run(name, func(t *testing.T) {
			state, planner := oneOrderState()
			if test.copiesElsewhere {
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

// TestStoreLoadGainIsHigherWithinObjective: waiting requests must count more if the load lets
// them be answered within their objective.
func TestStoreLoadGainIsHigherWithinObjective(t *testing.T) {
	gain := func(objective time.Duration) float64 {
		state, planner := oneOrderState()
		state.Demand["booking"] = Demand{Waiting: 3, Objective: objective}
		planner.Plan(state)
		planner.round.state = &state
		return planner.round.storeLoadGain(planner.catalogue.indexOf("booking"), 6*time.Second)
	}
	if late, inTime := gain(time.Second), gain(time.Minute); inTime < 2*late {
		t.Errorf("gain %.2f late and %.2f in time, want at least twice as much in time", late, inTime)
	}
}

// TestLostModelIsLoadedBeforeNextRequest: a model with recent requests of which no machine has
// a copy any more is loaded where memory is free. One without requests is not.
func TestLostModelIsLoadedBeforeNextRequest(t *testing.T) {
	state, planner := oneOrderState()
	state.Machines[0].Cached = map[cluster.ModelID]cluster.Tier{}
	state.Store.Concurrency = 1
	expectActions(t, planner.Plan(state))
	addLoadedReplica(&state, 0, "booking")
	requestEachSecond(&state, planner, 5, "booking")
	state.Machines[0].Replicas = nil
	state.Now = state.Now.Add(time.Second)
	expectActions(t, planner.Plan(state), "load booking on machine-0000")
}

// TestOverloadedModelGainsFromStoreLoad: a model whose replica runs more requests than its
// target gains from another replica although no request waits. One below the target, or with a
// replica that is loading, does not.
func TestOverloadedModelGainsFromStoreLoad(t *testing.T) {
	gain := func(running int, loading bool) float64 {
		state, planner := oneOrderState()
		addLoadedReplica(&state, 0, "booking")
		if loading {
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
		t.Errorf("gain %.2f of an overloaded model, want 1 or more", got)
	}
	if idle, withLoading := gain(1, false), gain(5, true); idle != 0 || withLoading != 0 {
		t.Errorf("gain %.2f below the target, %.2f with a loading replica, want 0", idle, withLoading)
	}
}

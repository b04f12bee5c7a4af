package placement

import (
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
)

// TestPlanMatchesGoldenFile compares complete plans, including their reasons, with golden
// files. It guards against unintended changes of decisions, of reasons and of the field names
// that are written out.
func TestPlanMatchesGoldenFile(t *testing.T) {
	adapter := testModel("recall-letters", func(m *settings.Model) {
		m.Kind, m.Base, m.Policy.Memory = settings.KindAdapter, "assistant", gigabyte
	})
	models := func(extra ...settings.Model) *settings.Snapshot {
		return testSnapshot(3, append([]settings.Model{testModel("assistant", nil), testModel("booking", nil)}, extra...)...)
	}
	cases := []struct {
		name  string
		state func() State
	}{
		{"cold_start", func() State {
			state := testState(models(), 3)
			state.Machines[1].Cached["booking"] = cluster.TierDisk
			state.Machines[2].Leaving = true
			state.Demand["booking"] = Demand{Waiting: 2, Arrivals: 2, EarliestDeadline: 20 * time.Second}
			return state
		}},
		{"adapter_with_base", func() State {
			state := testState(models(adapter), 2)
			state.Demand["recall-letters"] = Demand{Waiting: 1, Arrivals: 1}
			return state
		}},
		{"adapter_joins_base", func() State {
			state := testState(models(adapter), 2)
			addLoadedReplica(&state, 1, "assistant")
			state.Demand["recall-letters"] = Demand{Waiting: 1, Arrivals: 1}
			return state
		}},
		{"not_allotted", func() State {
			state := testState(models(), 2)
			state.Allotment.Models = state.Allotment.Models[:1]
			state.Demand["booking"] = Demand{Waiting: 1, Arrivals: 1}
			return state
		}},
		{"allotment_lowered", func() State {
			state := testState(models(), 2)
			addLoadedReplica(&state, 0, "booking")
			addLoadedReplica(&state, 1, "booking")
			state.Allotment.Models[1].MaxReplicas = 1
			state.Machines[0].Load.PerModel = map[cluster.ModelID]int{"booking": 1}
			state.Demand["booking"] = Demand{Running: 1}
			return state
		}},
		{"evict_idle", func() State {
			state := testState(models(), 1)
			state.Machines[0].MemoryBytes = 15 * gigabyte
			addLoadedReplica(&state, 0, "assistant")
			state.Demand["booking"] = Demand{Waiting: 1, Arrivals: 1}
			return state
		}},
		{"never_evict_busy", func() State {
			state := testState(models(), 1)
			state.Machines[0].MemoryBytes = 15 * gigabyte
			addLoadedReplica(&state, 0, "assistant")
			state.Demand["assistant"] = Demand{Running: 1}
			state.Demand["booking"] = Demand{Waiting: 1, Arrivals: 1}
			return state
		}},
		{"store_limit", func() State {
			state := testState(models(), 2)
			state.Store.Concurrency = 1
			addLoadedReplica(&state, 0, "assistant").State = cluster.ReplicaLoading
			state.Demand["booking"] = Demand{Waiting: 1, Arrivals: 1}
			return state
		}},
		{"new_version", func() State {
			state := testState(models(), 2)
			addLoadedReplica(&state, 0, "booking").Version = "0"
			state.Allotment.Models[1].MaxReplicas = 1
			state.Demand["booking"] = Demand{Running: 1}
			return state
		}},
		{"machine_leaves", func() State {
			state := testState(models(), 2)
			addLoadedReplica(&state, 0, "booking")
			state.Machines[0].Leaving = true
			state.Demand["booking"] = Demand{Running: 1}
			return state
		}},
		{"removed_model", func() State {
			state := testState(models(), 1)
			addLoadedReplica(&state, 0, "old-model").Bytes = gigabyte
			return state
		}},
		{"unsealed_machine", func() State {
			state := testState(models(), 1)
			state.Machines[0].Sealed = false
			state.Demand["booking"] = Demand{Waiting: 1, Arrivals: 1}
			return state
		}},
		{"minimum", func() State {
			state := testState(models(testModel("triage", func(m *settings.Model) { m.Policy.MinReplicas = 1 })), 1)
			return state
		}},
	}
	golden := goldie.New(t)
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			golden.AssertJson(t, test.name, NewPlanner(Config{}).Plan(test.state()))
		})
	}
}

// TestIdleModelIsUnloadedAfterKeepAlive follows a model from its first request to its unload.
// Without idle samples, the fixed keep-alive of the policy must apply, counted from the end of
// the load.
func TestIdleModelIsUnloadedAfterKeepAlive(t *testing.T) {
	state := testState(testSnapshot(1, testModel("booking", nil)), 1)
	planner := NewPlanner(Config{})
	engine := fakeEngines{loadTimeFactor: 1, completesAt: map[loadKey]time.Time{}}
	state.Demand["booking"] = Demand{Waiting: 1, Arrivals: 1}
	var unloaded time.Duration
	for state.Now.Sub(start) < 10*time.Minute && unloaded == 0 {
		plan := planner.Plan(state)
		for _, action := range plan.Actions {
			if action.Kind == cluster.OrderUnload {
				unloaded = state.Now.Sub(start)
				if action.Reason.Cause != CauseIdle || action.Reason.Setting != keyKeepAlive {
					t.Errorf("unload reason %+v, want idle past keep-alive", action.Reason)
				}
			}
		}
		engine.apply(&state, plan)
		engine.advance(&state, time.Second)
		if len(state.Machines[0].Replicas) > 0 && state.Machines[0].Replicas[0].State == cluster.ReplicaLoaded {
			delete(state.Demand, "booking")
		}
	}
	load := planner.store.expectedTime(cluster.TierRemote, 10*gigabyte)
	if want := 5*time.Minute + load; unloaded < want || unloaded > want+2*time.Second {
		t.Errorf("unloaded after %v, want %v", unloaded, want)
	}
}

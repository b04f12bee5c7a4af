package placement

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
)

// engineConfig returns the configuration for engines that keep idle models, drop adapters with
// their base model and don't count adapters against the store's limits.
func engineConfig() Config {
	return Config{
		RetainIdle: true, EvictForRunning: true, UnloadDropsAdapters: true, AdaptersUnlimited: true,
		TargetLoad: 0.5, SaturatedLoad: 0.75, GrowthFactor: 2,
	}
}

func adapterOf(base string, name string) settings.Model {
	return testModel(name, func(m *settings.Model) {
		m.Kind, m.Base, m.Policy.Memory, m.Policy.MaxReplicas = settings.KindAdapter, cluster.ModelID(base), gigabyte, 8
	})
}

func actionsOf(plan Plan) []string {
	var actions []string
	for _, action := range plan.Actions {
		actions = append(actions, action.Kind.String()+" "+string(action.Model)+" on "+string(action.Machine))
	}
	return actions
}

func expectActions(t *testing.T, plan Plan, want ...string) {
	t.Helper()
	got := actionsOf(plan)
	if len(got) != len(want) {
		t.Fatalf("actions %q, want %q", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("actions %q, want %q", got, want)
		}
	}
}

// TestIdleModelStaysUntilMemoryIsNeeded guards against unloads of idle models whose memory no
// other model needs.
func TestIdleModelStaysUntilMemoryIsNeeded(t *testing.T) {
	state := testState(testSnapshot(1, testModel("a", nil), testModel("b", nil)), 1)
	addLoadedReplica(&state, 0, "a")
	planner := NewPlanner(engineConfig())
	planner.Plan(state)
	state.Now = state.Now.Add(24 * time.Hour)
	expectActions(t, planner.Plan(state))
	state.Machines[0].MemoryBytes = 15 * gigabyte
	state.Demand["b"] = Demand{Waiting: 1}
	expectActions(t, planner.Plan(state), "unload a on machine-0000")
}

// TestAdapterSlotLimitIsKept: an adapter is loaded only where an adapter slot is free. Without
// one, the idle adapter with the smallest loss is evicted, and a busy one never is.
func TestAdapterSlotLimitIsKept(t *testing.T) {
	state := testState(testSnapshot(1, testModel("base", nil), adapterOf("base", "x"), adapterOf("base", "y")), 1)
	state.Machines[0].AdapterSlots = 1
	addLoadedReplica(&state, 0, "base")
	addLoadedReplica(&state, 0, "x")
	state.Demand["y"] = Demand{Waiting: 1}
	planner := NewPlanner(engineConfig())
	expectActions(t, planner.Plan(state), "unload x on machine-0000")
	state.Machines[0].Replicas = state.Machines[0].Replicas[:1]
	state.Now = state.Now.Add(time.Second)
	expectActions(t, planner.Plan(state), "load y on machine-0000")
	state.Demand["x"], state.Demand["y"] = Demand{Running: 1}, Demand{Waiting: 1}
	addLoadedReplica(&state, 0, "x")
	expectActions(t, NewPlanner(engineConfig()).Plan(state))
}

// TestAdapterLoadsDespiteStoreLimit: loads of adapters must not wait for the weight store if
// its limits don't count them.
func TestAdapterLoadsDespiteStoreLimit(t *testing.T) {
	state := testState(testSnapshot(1, testModel("base", nil), adapterOf("base", "x")), 1)
	state.Store = StoreState{StartsPerSecond: 0.0001, Concurrency: 1, Speed: 1}
	addLoadedReplica(&state, 0, "base")
	planner := NewPlanner(engineConfig())
	planner.store.startTokens = 0
	state.Demand["x"] = Demand{Waiting: 1}
	planner.Plan(state)
	state.Now = state.Now.Add(time.Millisecond)
	expectActions(t, planner.Plan(state), "load x on machine-0000")
}

// TestBusyMachineGetsNoAction guards against orders to a machine that is carrying out another
// one and would refuse them.
func TestBusyMachineGetsNoAction(t *testing.T) {
	state := testState(testSnapshot(1, testModel("a", nil)), 2)
	state.Machines[0].Busy = true
	state.Demand["a"] = Demand{Waiting: 1}
	expectActions(t, NewPlanner(engineConfig()).Plan(state), "load a on machine-0001")
}

// TestSaturatedReplicaEvictsIdleModels: running requests above the saturation limit must get
// replicas in the memory of idle models although no request waits, and GrowthFactor must limit
// their number.
func TestSaturatedReplicaEvictsIdleModels(t *testing.T) {
	many := func(m *settings.Model) { m.Policy.MaxReplicas = 8 }
	state := testState(testSnapshot(1, testModel("hot", many), testModel("idle", many)), 6)
	for i := range state.Machines {
		state.Machines[i].MemoryBytes = 10 * gigabyte
		if i > 0 {
			addLoadedReplica(&state, i, "idle")
		}
	}
	addLoadedReplica(&state, 0, "hot")
	state.Demand["hot"] = Demand{Running: 60}
	plan := NewPlanner(engineConfig()).Plan(state)
	unloads := 0
	for _, action := range plan.Actions {
		if action.Kind == cluster.OrderUnload && action.Model == "idle" && action.Reason.Cause == CauseEvicted {
			unloads++
		}
	}
	if unloads != 2 || len(plan.Actions) != 2 {
		t.Fatalf("actions %q, want two evictions: GrowthFactor 2 allows 2*1+1 replicas, of which one is loaded", actionsOf(plan))
	}
}

// TestBaseUnloadIncludesItsAdapters guards against separate unloads of adapters where the
// unload of their base model removes them.
func TestBaseUnloadIncludesItsAdapters(t *testing.T) {
	state := testState(testSnapshot(1, testModel("base", nil), adapterOf("base", "x"), testModel("rare", nil)), 1)
	state.Machines[0].MemoryBytes = 12 * gigabyte
	addLoadedReplica(&state, 0, "base")
	addLoadedReplica(&state, 0, "x")
	state.Demand["rare"] = Demand{Waiting: 1}
	expectActions(t, NewPlanner(engineConfig()).Plan(state), "unload base on machine-0000")
}

// TestAdapterWaitsForLoadingBase: an adapter must wait for the base model that an engine is
// loading. The base model may be loaded on another engine only if the first one has no free
// adapter slot.
func TestAdapterWaitsForLoadingBase(t *testing.T) {
	state := testState(testSnapshot(1, testModel("base", func(m *settings.Model) { m.Policy.MaxReplicas = 8 }), adapterOf("base", "x"), adapterOf("base", "y")), 3)
	for i := range state.Machines {
		state.Machines[i].AdapterSlots = 1
	}
	state.Demand["x"] = Demand{Waiting: 1}
	planner := NewPlanner(engineConfig())
	plan := planner.Plan(state)
	expectActions(t, plan, "load base on machine-0000")
	addLoadedReplica(&state, 0, "base").State = cluster.ReplicaLoading
	state.Machines[0].Busy = true
	for range 5 {
		state.Now = state.Now.Add(300 * time.Millisecond)
		expectActions(t, planner.Plan(state))
	}
	state.Demand["y"] = Demand{Waiting: 1}
	state.Now = state.Now.Add(300 * time.Millisecond)
	expectActions(t, planner.Plan(state), "load base on machine-0001")
}

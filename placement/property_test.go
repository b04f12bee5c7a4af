package placement

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
)

// drawModels draws base models and adapters with varied policies.
func drawModels(t *rapid.T) []settings.Model {
	var models []settings.Model
	bases := rapid.IntRange(1, 4).Draw(t, "bases")
	for i := range bases {
		models = append(models, testModel(fmt.Sprintf("model-%d", i), func(m *settings.Model) {
			m.Policy.Memory = int64(rapid.IntRange(5, 25).Draw(t, "gigabytes")) * gigabyte
			drawPolicy(t, m)
			m.Policy.EnginePool = rapid.SampledFrom([]string{"assistant", "booking"}).Draw(t, "pool")
		}))
	}
	for i := range rapid.IntRange(0, 4).Draw(t, "adapters") {
		models = append(models, testModel(fmt.Sprintf("adapter-%d", i), func(m *settings.Model) {
			base := &models[rapid.IntRange(0, bases-1).Draw(t, "base")]
			m.Kind, m.Base, m.Policy.Memory = settings.KindAdapter, base.ID, gigabyte
			drawPolicy(t, m)
			m.Policy.EnginePool = base.Policy.EnginePool
		}))
	}
	return models
}

// drawPolicy draws replica counts, priority, objective, keep-alive and version of a policy.
func drawPolicy(t *rapid.T, m *settings.Model) {
	m.Policy.MaxReplicas = rapid.IntRange(1, 3).Draw(t, "max")
	m.Policy.MinReplicas = rapid.IntRange(0, 1).Draw(t, "min") * rapid.IntRange(0, 1).Draw(t, "min given")
	m.Policy.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
	m.Policy.ColdStartWeight = rapid.Float64Range(0, 1).Draw(t, "weight")
	m.Policy.KeepAlive = time.Duration(rapid.IntRange(0, 120).Draw(t, "keep-alive")) * time.Second
	m.Policy.Version = rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")
}

// drawStep changes one part of the state: demand, a machine, the allotment or the store.
func drawStep(t *rapid.T, state *State) {
	model := state.Settings.Models[rapid.IntRange(0, len(state.Settings.Models)-1).Draw(t, "model")].ID
	switch rapid.IntRange(0, 7).Draw(t, "step") {
	case 0, 1:
		waiting := rapid.IntRange(0, 20).Draw(t, "waiting")
		state.Demand[model] = Demand{Waiting: waiting, Arrivals: waiting, EarliestDeadline: 30 * time.Second}
	case 2:
		delete(state.Demand, model)
	case 3:
		state.Demand[model] = Demand{Running: rapid.IntRange(1, 20).Draw(t, "running")}
	case 4:
		machine := &state.Machines[rapid.IntRange(0, len(state.Machines)-1).Draw(t, "machine")]
		machine.Leaving = rapid.Bool().Draw(t, "leaving")
		machine.Sealed = rapid.IntRange(0, 3).Draw(t, "sealed") > 0
	case 5:
		drawAllotment(t, state)
	case 6:
		state.Store.Speed = rapid.Float64Range(0.2, 1).Draw(t, "speed")
		state.Store.Concurrency = rapid.IntRange(0, 8).Draw(t, "concurrency")
	case 7:
		machine := &state.Machines[rapid.IntRange(0, len(state.Machines)-1).Draw(t, "machine")]
		if len(machine.Replicas) > 0 {
			machine.Replicas[0].Unknown = rapid.Bool().Draw(t, "unknown")
		}
	}
}

// drawAllotment changes one model's allotment in a copy, since earlier states may share the old
// record.
func drawAllotment(t *rapid.T, state *State) {
	changed := *state.Allotment
	changed.Models = append([]cluster.ModelAllotment(nil), changed.Models...)
	share := &changed.Models[rapid.IntRange(0, len(changed.Models)-1).Draw(t, "share")]
	share.MaxReplicas = rapid.IntRange(0, 3).Draw(t, "limit")
	share.Candidates = nil
	if rapid.Bool().Draw(t, "restricted") {
		share.Candidates = []cluster.MachineID{state.Machines[0].ID}
	}
	state.Allotment = &changed
}

// plannersUnderTest lists the planners that must keep the invariants.
var plannersUnderTest = []struct {
	name string
	make func() Planner
}{
	{"adaptive", func() Planner { return NewPlanner(Config{MinSamples: 2}) }},
	{"fixed", func() Planner { return NewFixedKeepAlive(20 * time.Second) }},
	{"lru", NewLRU},
}

// TestRandomPlansKeepInvariants verifies each plan in random sequences of states. A second
// planner with the same states must make the same plans: map order or leftover buffers could
// make them differ.
func TestRandomPlansKeepInvariants(t *testing.T) {
	for _, planner := range plannersUnderTest {
		t.Run(planner.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkRandomWorld(t, planner.make) })
		})
	}
}

// checkRandomWorld runs one random sequence of states.
func checkRandomWorld(t *rapid.T, newPlanner func() Planner) {
	state := testState(testSnapshot(1, drawModels(t)...), rapid.IntRange(1, 4).Draw(t, "machines"))
	for i := range state.Machines {
		state.Machines[i].Pool = rapid.SampledFrom([]string{"assistant", "booking"}).Draw(t, "machine pool")
	}
	first, second := newPlanner(), newPlanner()
	engine := fakeEngines{loadTimeFactor: rapid.Float64Range(0.5, 4).Draw(t, "slowness"), completesAt: map[loadKey]time.Time{}}
	var check invariantChecker
	for range rapid.IntRange(5, 60).Draw(t, "rounds") {
		drawStep(t, &state)
		plan := first.Plan(state)
		if again := second.Plan(state); !reflect.DeepEqual(plan, again) {
			t.Fatalf("plans differ:\n%+v\n%+v", plan, again)
		}
		if violations := check.check(&state, plan); len(violations) > 0 {
			t.Fatalf("%s\nplan %+v\nmachines %+v", strings.Join(violations, "\n"), plan.Actions, state.Machines)
		}
		engine.apply(&state, plan)
		engine.advance(&state, time.Duration(rapid.IntRange(1, 15).Draw(t, "seconds"))*time.Second)
	}
	requireLoaded(t, &state, first, &engine)
}

// requireLoaded restores allotment, store and machines, and requires that the first model gets
// loaded if a machine of its pool exists and no minimum competes with it.
func requireLoaded(t *rapid.T, state *State, planner Planner, engine *fakeEngines) {
	id := state.Settings.Models[0].ID
	model := state.Settings.Model(id)
	state.Allotment = testAllotment(state.Settings)
	state.Store = StoreState{StartsPerSecond: 2, Concurrency: 8, Speed: 1}
	clear(state.Demand)
	state.Demand[id] = Demand{Waiting: 1, Arrivals: 1}
	loadable := false
	for m := range state.Machines {
		machine := &state.Machines[m]
		machine.Sealed, machine.Leaving = true, false
		loadable = loadable || machine.Pool == model.Policy.EnginePool
		for s := range machine.Replicas {
			machine.Replicas[s].Unknown = false
		}
	}
	for i := range state.Settings.Models {
		loadable = loadable && state.Settings.Models[i].Policy.MinReplicas == 0
	}
	if !loadable {
		return
	}
	for range 1200 {
		engine.apply(state, planner.Plan(*state))
		engine.advance(state, time.Second)
		for m := range state.Machines {
			for _, slot := range state.Machines[m].Replicas {
				if slot.Model == id && slot.State == cluster.ReplicaLoaded && slot.Version == model.Policy.Version {
					return
				}
			}
		}
	}
	t.Fatalf("%s is never loaded; last decisions %+v", id, planner.Plan(*state).Decisions)
}

// TestCheckerReportsPlantedDefect plants one defect at a time in a valid plan, so that a
// checker that overlooks it can't make the property test pass.
func TestCheckerReportsPlantedDefect(t *testing.T) {
	adapter := testModel("recall", func(m *settings.Model) {
		m.Kind, m.Base, m.Policy.Memory = settings.KindAdapter, "assistant", gigabyte
	})
	load := Action{Kind: cluster.OrderLoad, Machine: "machine-0000", Model: "assistant", Bytes: 10 * gigabyte, Reason: Reason{Cause: CauseDemand}}
	cases := []struct {
		defect string
		change func(*State, *Action)
	}{
		{"overcommitted", func(s *State, _ *Action) { s.Machines[0].MemoryBytes = gigabyte }},
		{"allotment", func(s *State, _ *Action) { s.Allotment.Models[0].MaxReplicas = 0 }},
		{"unsealed", func(s *State, _ *Action) { s.Machines[0].Sealed = false }},
		{"leaving", func(s *State, _ *Action) { s.Machines[0].Leaving = true }},
		{"without its base", func(_ *State, a *Action) { a.Model = "recall" }},
		{"without a need", func(s *State, _ *Action) { clear(s.Demand) }},
		{"no cause", func(_ *State, a *Action) { a.Reason.Cause = "" }},
		{"pool", func(s *State, _ *Action) { s.Machines[0].Pool = "booking" }},
		{"store starts", func(s *State, _ *Action) { s.Store.StartsPerSecond = -1 }},
		{"not a candidate", func(s *State, _ *Action) { s.Allotment.Models[0].Candidates = []cluster.MachineID{"machine-0001"} }},
		{"no confirmed replica", func(_ *State, a *Action) { a.Kind = cluster.OrderUnload }},
		{"while used by recall", func(s *State, a *Action) {
			a.Kind = cluster.OrderUnload
			addLoadedReplica(s, 0, "assistant")
			addLoadedReplica(s, 0, "recall")
		}},
		{"evicted for a model of equal priority", func(s *State, a *Action) {
			a.Kind, a.Reason.Cause = cluster.OrderUnload, CauseEvicted
			addLoadedReplica(s, 0, "assistant")
		}},
	}
	for _, test := range cases {
		t.Run(test.defect, func(t *testing.T) {
			state := testState(testSnapshot(1, testModel("assistant", nil), adapter), 2)
			state.Demand["assistant"] = Demand{Waiting: 1}
			state.Demand["recall"] = Demand{Waiting: 1}
			good := invariantChecker{remoteStarts: 1}
			if found := good.check(&state, Plan{Actions: []Action{load}}); len(found) > 0 {
				t.Fatalf("valid plan reported: %v", found)
			}
			action := load
			test.change(&state, &action)
			bad := invariantChecker{remoteStarts: 1}
			found := strings.Join(bad.check(&state, Plan{Actions: []Action{action}}), "\n")
			if !strings.Contains(found, test.defect) {
				t.Errorf("violations %q lack the planted defect", found)
			}
		})
	}
}

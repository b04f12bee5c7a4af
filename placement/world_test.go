package placement

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
)

const gigabyte = int64(1e9)

// start is the time at which every test begins.
var start = time.Date(2026, time.March, 2, 8, 0, 0, 0, time.UTC)

// testModel returns a base model with common policy values.
func testModel(id string, change func(*settings.Model)) settings.Model {
	model := settings.Model{
		ID: cluster.ModelID(id), Kind: settings.KindModel, Path: "/" + id, Team: "/",
		Policy: settings.Policy{
			MaxReplicas: 2, Memory: 10 * gigabyte, KeepAlive: 5 * time.Minute, ColdStartWeight: 0.5,
			EnginePool: "assistant", Version: "1", DrainTime: 10 * time.Second,
		},
		Sources: map[string]string{
			keyMinReplicas: "default", keyMaxReplicas: "/", keyKeepAlive: "/", keyColdStartWeight: "/",
			keyPriority: "default", keyEnginePool: "/" + id, keyVersion: "/" + id, keyMemory: "/" + id,
		},
	}
	if change != nil {
		change(&model)
	}
	return model
}

// testSnapshot returns a settings snapshot with the models.
func testSnapshot(revision int64, models ...settings.Model) *settings.Snapshot {
	slices.SortFunc(models, func(a, b settings.Model) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return settings.NewSnapshot(settings.Stamp{History: "test", Revision: revision}, models, nil, nil)
}

// testAllotment allots each model up to its maximum, on any machine.
func testAllotment(snapshot *settings.Snapshot) *cluster.Allotment {
	allotment := &cluster.Allotment{Zone: "zone-a", Revision: 7, SettingsRevision: snapshot.Stamp.Revision}
	for i := range snapshot.Models {
		allotment.Models = append(allotment.Models, cluster.ModelAllotment{
			Model: snapshot.Models[i].ID, MaxReplicas: snapshot.Models[i].Policy.MaxReplicas,
		})
	}
	return allotment
}

// testMachines returns sealed machines with 40 GB in the pool "assistant", two in each rack.
func testMachines(count int) []Machine {
	machines := make([]Machine, count)
	for i := range machines {
		machines[i] = Machine{
			ID: cluster.MachineID(fmt.Sprintf("machine-%04d", i)), Rack: fmt.Sprintf("rack-%03d", i/2),
			Pool: "assistant", Sealed: true, MemoryBytes: 40 * gigabyte, Accelerators: 2, Slots: 8,
			Cached: map[cluster.ModelID]cluster.Tier{},
		}
	}
	return machines
}

// testState returns a state at the start time with nothing loaded.
func testState(snapshot *settings.Snapshot, machines int) State {
	return State{
		Now: start, Zone: "zone-a", Token: 5, Settings: snapshot, Allotment: testAllotment(snapshot),
		Machines: testMachines(machines), Demand: map[cluster.ModelID]Demand{},
		Store: StoreState{StartsPerSecond: 2, Concurrency: 8, Speed: 1},
	}
}

// addLoadedReplica puts a loaded replica on the machine.
func addLoadedReplica(state *State, machine int, id cluster.ModelID) *Replica {
	model := state.Settings.Model(id)
	slot := Replica{Model: id, State: cluster.ReplicaLoaded, Since: state.Now}
	if model != nil {
		slot.Version, slot.Bytes = model.Policy.Version, model.Policy.Memory
	}
	replicas := append(state.Machines[machine].Replicas, slot)
	slices.SortFunc(replicas, func(a, b Replica) int { return strings.Compare(string(a.Model), string(b.Model)) })
	state.Machines[machine].Replicas = replicas
	at := slices.IndexFunc(replicas, func(s Replica) bool { return s.Model == id })
	return &replicas[at]
}

// fakeEngines carries out plans. A load takes its expected time multiplied by loadTimeFactor,
// and an unload takes one second.
type fakeEngines struct {
	loadTimeFactor float64
	completesAt    map[loadKey]time.Time
}

// apply enters the plan's actions into the ledger.
func (e *fakeEngines) apply(state *State, plan Plan) {
	for _, action := range plan.Actions {
		m := slices.IndexFunc(state.Machines, func(machine Machine) bool { return machine.ID == action.Machine })
		machine := &state.Machines[m]
		key := loadKey{machine: action.Machine, model: action.Model}
		switch action.Kind {
		case cluster.OrderLoad:
			slot := addLoadedReplica(state, m, action.Model)
			slot.State = cluster.ReplicaLoading
			e.completesAt[key] = state.Now.Add(time.Duration(e.loadTimeFactor * float64(action.ExpectedTime)))
		case cluster.OrderUnload:
			at := slices.IndexFunc(machine.Replicas, func(s Replica) bool { return s.Model == action.Model })
			machine.Replicas[at].State = cluster.ReplicaUnloading
			e.completesAt[key] = state.Now.Add(time.Second)
		case cluster.OrderSetPool:
			machine.Pool = action.Pool
		}
	}
}

// advance moves the time forward and completes the orders that are due.
func (e *fakeEngines) advance(state *State, step time.Duration) {
	state.Now = state.Now.Add(step)
	for m := range state.Machines {
		machine := &state.Machines[m]
		kept := machine.Replicas[:0]
		for _, slot := range machine.Replicas {
			due, ok := e.completesAt[loadKey{machine: machine.ID, model: slot.Model}]
			if ok && !due.After(state.Now) {
				if slot.State == cluster.ReplicaUnloading {
					continue
				}
				if slot.State == cluster.ReplicaLoading {
					slot.State, slot.Since = cluster.ReplicaLoaded, due
					machine.Cached[slot.Model] = cluster.TierMemory
				}
			}
			kept = append(kept, slot)
		}
		machine.Replicas = kept
	}
}

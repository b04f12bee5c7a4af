package authority

import (
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/wire"
)

// The largest deployment expected within two years.
const (
	largeZones              = 18
	largeMachines           = 100 // in each zone; 1,600 workers over 18 zones are 89
	largeBaseModels         = 62
	largeAdapters           = 1600
	largeReplicasPerMachine = 8
)

func largeSettings() *settings.Snapshot {
	var models []settings.Model
	for i := range largeAdapters {
		models = append(models, settings.Model{
			ID: cluster.ModelID(fmt.Sprintf("adapter-%04d", i)), Base: cluster.ModelID(fmt.Sprintf("base-%02d", i%largeBaseModels)),
			Policy: settings.Policy{MaxReplicas: 2},
		})
	}
	for i := range largeBaseModels {
		models = append(models, settings.Model{
			ID: cluster.ModelID(fmt.Sprintf("base-%02d", i)), Policy: settings.Policy{MaxReplicas: 12},
		})
	}
	return settings.NewSnapshot(settings.Stamp{Revision: 1}, models, nil, nil)
}

func largeMachineList() []cluster.Machine {
	var list []cluster.Machine
	for zone := range largeZones {
		for machine := range largeMachines {
			list = append(list, cluster.Machine{
				ID:   cluster.MachineID(fmt.Sprintf("machine-%02d-%03d", zone, machine)),
				Zone: cluster.ZoneID(fmt.Sprintf("zone-%02d", zone)), Rack: fmt.Sprintf("rack-%d", machine%6),
			})
		}
	}
	return list
}

// largeState returns the input of Apportion for the large deployment without records.
func largeState() ApportionInput {
	tracker := NewMachineTracker(DefaultMachineLag)
	tracker.RecordList(testStart, largeMachineList())
	return ApportionInput{Now: testStart.Add(DefaultReportMaxAge), Settings: largeSettings(), Tracker: tracker}
}

// settledState returns the state after the plan was stored and every zone reported.
func settledState(state ApportionInput, plan ApportionPlan) ApportionInput {
	for _, write := range plan.Writes {
		write.Allotment.Revision = 10
		view := ZoneView{Zone: write.Allotment.Zone, Allotment: write.Allotment}
		view.Report = &wire.ZoneReport{Token: 1, AllotmentRevision: 10}
		for _, model := range write.Allotment.Models {
			view.Report.Models = append(view.Report.Models, wire.ZoneModelReport{Model: model.Model, Held: 1, Wanted: 1})
		}
		state.Zones = append(state.Zones, view)
	}
	return state
}

func BenchmarkApportionFirst(b *testing.B) {
	state := largeState()
	b.ReportAllocs()
	for b.Loop() {
		Apportion(state)
	}
}

func BenchmarkApportionSettled(b *testing.B) {
	state := largeState()
	state = settledState(state, Apportion(state))
	largest := 0
	for _, zone := range state.Zones {
		largest = max(largest, len(EncodeAllotment(zone.Allotment)))
	}
	b.ReportAllocs()
	for b.Loop() {
		if plan := Apportion(state); len(plan.Writes) != 0 {
			b.Fatalf("%d writes in a settled state", len(plan.Writes))
		}
	}
	b.ReportMetric(float64(largest), "record-bytes")
}

// BenchmarkEncodeAllModelsInOneZone encodes the largest possible record: every model in
// one zone.
func BenchmarkEncodeAllModelsInOneZone(b *testing.B) {
	state := largeState()
	tracker := NewMachineTracker(DefaultMachineLag)
	tracker.RecordList(testStart, largeMachineList()[:largeMachines])
	state.Tracker = tracker
	state.Config.WriteBudget = 1 << 30
	plan := Apportion(state)
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		size = len(EncodeAllotment(plan.Writes[0].Allotment))
	}
	b.ReportMetric(float64(size), "record-bytes")
	b.ReportMetric(float64(len(plan.Writes[0].Allotment.Models)), "models")
}

// newLargeController returns a controller that holds the lease of a zone of the large
// deployment.
func newLargeController() (*Controller, []cluster.Inventory) {
	controller := NewController(ControllerConfig{Zone: "zone-00", Node: "n"})
	list := largeMachineList()[:largeMachines]
	controller.Step(testStart, MachinesListed{Machines: list})
	controller.Step(testStart, LeaseAcquired{Token: 5, SentAt: testStart, TTL: testTTL})
	allotment := cluster.Allotment{Zone: "zone-00", Revision: 7}
	for _, machine := range list {
		allotment.Machines = append(allotment.Machines, machine.ID)
	}
	for _, model := range largeSettings().Models {
		allotment.Models = append(allotment.Models, cluster.ModelAllotment{Model: model.ID, MaxReplicas: 2})
	}
	controller.Step(testStart, AllotmentRead{Allotment: allotment, ReadRevision: 8})
	inventories := make([]cluster.Inventory, len(list))
	for i, machine := range list {
		inventory := cluster.Inventory{Machine: machine.ID, Token: 5, Sequence: 1, Epoch: 1, MemoryBytes: 80 << 30}
		for r := range largeReplicasPerMachine {
			inventory.Replicas = append(inventory.Replicas, cluster.Replica{
				Model: allotment.Models[i*largeReplicasPerMachine+r].Model, State: cluster.ReplicaLoaded, Bytes: 1 << 30,
			})
		}
		inventories[i] = inventory
		controller.Step(testStart, Sealed{Inventory: inventory})
	}
	return controller, inventories
}

func BenchmarkStepTick(b *testing.B) {
	controller, _ := newLargeController()
	now := testStart
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		controller.Step(now, Tick{})
	}
}

func BenchmarkStepInventory(b *testing.B) {
	controller, inventories := newLargeController()
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		controller.Step(testStart, InventoryRead{Inventory: inventories[i%len(inventories)]})
		i++
	}
}

// BenchmarkStepPlan issues and settles one load and one unload.
func BenchmarkStepPlan(b *testing.B) {
	controller, inventories := newLargeController()
	plan := placement.Plan{Actions: []placement.Action{
		{Kind: cluster.OrderLoad, Machine: inventories[0].Machine, Model: "base-61", Bytes: 1 << 30},
		{Kind: cluster.OrderUnload, Machine: inventories[1].Machine, Model: inventories[1].Replicas[0].Model},
	}}
	b.ReportAllocs()
	for b.Loop() {
		effects := controller.Step(testStart, PlanMade{Plan: plan})
		if len(effects) != len(plan.Actions) {
			b.Fatalf("%d orders", len(effects))
		}
		for _, order := range ordersOf(effects) {
			controller.Step(testStart, OrderRefused{Machine: order.Machine, Order: order.ID})
		}
	}
}

func BenchmarkState(b *testing.B) {
	controller, _ := newLargeController()
	b.ReportAllocs()
	for b.Loop() {
		controller.State(testStart)
	}
}

// BenchmarkStateAfterTakeover measures State before any machine is sealed.
func BenchmarkStateAfterTakeover(b *testing.B) {
	controller, _ := newLargeController()
	allotment := *controller.allotment
	controller.Step(testStart, LeaseAcquired{Token: 9, SentAt: testStart, TTL: testTTL})
	controller.Step(testStart, AllotmentRead{Allotment: allotment, ReadRevision: 10})
	b.ReportAllocs()
	for b.Loop() {
		controller.State(testStart)
	}
}

func BenchmarkReport(b *testing.B) {
	controller, _ := newLargeController()
	b.ReportAllocs()
	for b.Loop() {
		controller.Report()
	}
}

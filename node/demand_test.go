package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/replication"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/weights"
	"github.com/valveslip/valveslip/wire"
)

// demandZones lists the zones that newDemandCore knows.
var demandZones = []cluster.ZoneID{"zone-a", "zone-b", "zone-c"}

// newDemandCore returns a core that knows three zones of its region, which may load
// all the models and hold no replica.
func newDemandCore(models []cluster.ModelID) *Core {
	core := NewCore(CoreConfig{Self: cluster.Node{ID: "n", Zone: "zone-a", Region: "r", PeerAddress: "127.0.0.1:1"}, Seed: 1})
	for _, zone := range demandZones {
		core.cells.recordClaim(wire.ControllerClaim{Zone: zone, Node: "n", Token: 1})
		known := core.cells.getOrAdd(zone)
		known.region = "r"
		known.apply(wire.CellStatus{Zone: zone, Full: true, Allotted: models})
	}
	return core
}

// waitingModels returns models with one waiting request each.
func waitingModels(count int, waited, left time.Duration) (ids []cluster.ModelID, models []wire.ModelDemand) {
	for i := range count {
		id := cluster.ModelID(fmt.Sprintf("model-%02d", i))
		ids = append(ids, id)
		models = append(models, wire.ModelDemand{Model: id, Waiting: 1, OldestWait: waited, EarliestDeadline: left})
	}
	return ids, models
}

// TestOverdueDemandIsDividedEvenlyOverZones checks that rarely used models that no
// zone loads are divided evenly over the zones, each assigned to one zone, once their
// requests have waited for a fraction of their time. A single preferred zone may not
// start all of the loads in time, because its share of the weight store limits its
// load starts.
func TestOverdueDemandIsDividedEvenlyOverZones(t *testing.T) {
	for _, count := range []int{6, 18, 30} {
		ids, models := waitingModels(count, 5*time.Second, 10*time.Second)
		perZone := newDemandCore(ids).divideDemand(models)
		assigned := 0
		for _, zone := range demandZones {
			assigned += len(perZone[zone])
			if len(perZone[zone]) != count/len(demandZones) {
				t.Errorf("%s is assigned %d of %d models", zone, len(perZone[zone]), count)
			}
		}
		if assigned != count {
			t.Errorf("%d models assigned, %d have waiting requests", assigned, count)
		}
	}
}

// TestNewDemandGoesToPreferredZone checks that all routers report a model's new demand
// to the same zone, regardless of other waiting models.
func TestNewDemandGoesToPreferredZone(t *testing.T) {
	ids, models := waitingModels(18, time.Second, 14*time.Second)
	core := newDemandCore(ids)
	for zone, assigned := range core.divideDemand(models) {
		for _, model := range assigned {
			if preferred := core.preferredZones(model.Model)[0].zone; preferred != zone {
				t.Errorf("%s is assigned to %s instead of %s", model.Model, zone, preferred)
			}
		}
	}
}

// TestDemandForLoadingModelStaysWithItsZone checks that demand is reported only to the
// zone that already loads the model, however long requests have waited.
func TestDemandForLoadingModelStaysWithItsZone(t *testing.T) {
	ids, models := waitingModels(18, 5*time.Second, 10*time.Second)
	core := newDemandCore(ids)
	for _, id := range ids {
		core.cells.getOrAdd("zone-c").applyReplica(&wire.ReplicaRecord{Machine: "m", Model: id, State: cluster.ReplicaLoading})
	}
	if perZone := core.divideDemand(models); len(perZone["zone-c"]) != len(models) || len(perZone) != 1 {
		t.Errorf("assigned to %d zones, %d of %d models to the zone that loads them", len(perZone), len(perZone["zone-c"]), len(models))
	}
}

// TestStoreStartsAreSharedByCellsWithLiveController checks that the weight store's
// load starts are divided among the cells whose controller can order loads.
func TestStoreStartsAreSharedByCellsWithLiveController(t *testing.T) {
	core := newDemandCore(nil)
	core.cells.recordClaim(wire.ControllerClaim{Zone: "zone-c", Node: "gone", Token: 2})
	core.cellRole.storeStatus = weights.Status{StartsPerSecond: 2, Concurrency: 8, Speed: 1}
	if share := core.cellRole.storeShare(); share.StartsPerSecond != 1 {
		t.Errorf("each of two cells gets %v of 2 starts per second", share.StartsPerSecond)
	}
}

// TestAssumedLoadTimesAreNotPublished guards against requests that are refused because
// of an assumed load time. Without a configured time, the expected end of a load is
// published only after the controller has observed a load.
func TestAssumedLoadTimesAreNotPublished(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	role := newDemandCore(nil).cellRole
	policy := settings.Policy{MaxReplicas: 2, Memory: 4 << 30, EnginePool: "p"}
	state := placement.State{
		Now: now, Zone: "zone-a", Token: 1, Store: placement.StoreState{StartsPerSecond: 2, Concurrency: 8, Speed: 1},
		Settings: settings.NewSnapshot(settings.Stamp{Revision: 1}, []settings.Model{
			{ID: "first", Kind: settings.KindModel, Path: "/first", Team: "/", Policy: policy},
			{ID: "second", Kind: settings.KindModel, Path: "/second", Team: "/", Policy: policy},
		}, nil, nil),
		Allotment: &cluster.Allotment{Zone: "zone-a", Models: []cluster.ModelAllotment{{Model: "first", MaxReplicas: 1}, {Model: "second", MaxReplicas: 1}}},
		Machines:  []placement.Machine{{ID: "m", Pool: "p", Sealed: true, MemoryBytes: 40 << 30, Slots: 8}},
		Demand:    map[cluster.ModelID]placement.Demand{"first": {Waiting: 1}},
	}
	plan := role.planner.Plan(state)
	role.recordExpectedLoadEnds(plan)
	if len(plan.Actions) != 1 || len(role.expectedLoadEnds) != 0 {
		t.Fatalf("%d loads, %d of them published with an assumed end", len(plan.Actions), len(role.expectedLoadEnds))
	}
	slot := placement.Replica{Model: "first", State: cluster.ReplicaLoading, Bytes: policy.Memory, Since: now}
	state.Machines[0].Replicas = []placement.Replica{slot}
	state.Demand = nil
	state.Now = now.Add(500 * time.Millisecond)
	role.planner.Plan(state)
	slot.State, slot.Since = cluster.ReplicaLoaded, now.Add(time.Second)
	state.Machines[0].Replicas = []placement.Replica{slot}
	state.Demand = map[cluster.ModelID]placement.Demand{"second": {Waiting: 1}}
	state.Now = now.Add(2 * time.Second)
	role.recordExpectedLoadEnds(role.planner.Plan(state))
	if _, published := role.expectedLoadEnds[replicaKey{"m", "second"}]; !published {
		t.Error("expected end of a load is not published although a load was observed")
	}
}

// halfStartPlanner returns plans that leave half a start of the weight store unused.
type halfStartPlanner struct{ plans []time.Time }

// Plan implements placement.Planner.
func (p *halfStartPlanner) Plan(state placement.State) placement.Plan {
	p.plans = append(p.plans, state.Now)
	return placement.Plan{Store: placement.StoreUse{Starts: 0.5}}
}

// TestNextPlanIsDueWhenStoreAllowsNextStart checks that the next plan comes when the
// weight store allows another load start, which would otherwise be lost.
func TestNextPlanIsDueWhenStoreAllowsNextStart(t *testing.T) {
	zone, planner := newCacheMoveFixture(t), &halfStartPlanner{}
	parsed, err := settings.ParseYAML([]byte("children: {m: {kind: model}}"))
	if err != nil {
		t.Fatal(err)
	}
	zone.core.stepReplication(replication.Loaded{Tree: parsed, Stamp: settings.Stamp{History: "h", Revision: 1, Digest: parsed.Digest()}})
	zone.core.cellRole.planner = planner
	zone.core.cellRole.storeStatus = weights.Status{StartsPerSecond: 1, Concurrency: 8, Speed: 1}
	zone.runTenSeconds()
	if len(planner.plans) < 3 {
		t.Fatalf("%d plans", len(planner.plans))
	}
	for i := 2; i < len(planner.plans); i++ {
		if gap := planner.plans[i].Sub(planner.plans[i-1]); gap > 500*time.Millisecond {
			t.Fatalf("next plan came %s after a plan that left half a start, at one start per second", gap)
		}
	}
}

// TestAdapterDemandFollowsBaseModelZone checks that an adapter's preferred zone is the
// one that holds, or would load, its base model, so that the base model is not loaded
// twice.
func TestAdapterDemandFollowsBaseModelZone(t *testing.T) {
	parsed, err := settings.ParseYAML([]byte("children: {base: {kind: model}, x: {kind: adapter, base: base}, y: {kind: adapter, base: base}, z: {kind: adapter, base: base}}"))
	if err != nil {
		t.Fatal(err)
	}
	core := newDemandCore([]cluster.ModelID{"base", "x", "y", "z"})
	core.stepReplication(replication.Loaded{Tree: parsed, Stamp: settings.Stamp{History: "h", Revision: 1, Digest: parsed.Digest()}})
	checkAdapters := func(want cluster.ZoneID) {
		t.Helper()
		for _, adapter := range []cluster.ModelID{"x", "y", "z"} {
			if preferred := core.preferredZones(adapter)[0].zone; preferred != want {
				t.Errorf("%s is assigned to %s, its base model to %s", adapter, preferred, want)
			}
		}
	}
	checkAdapters(core.preferredZones("base")[0].zone)
	for _, zone := range demandZones {
		holdingCell := core.cells.getOrAdd(zone)
		holdingCell.applyReplica(&wire.ReplicaRecord{Machine: "m", Model: "base", State: cluster.ReplicaLoaded})
		checkAdapters(zone)
		holdingCell.applyReplica(&wire.ReplicaRecord{Machine: "m", Model: "base", State: cluster.ReplicaAbsent})
	}
}

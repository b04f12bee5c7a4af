package authority

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
)

const testTTL = 10 * time.Second

var testStart = time.Date(2030, time.March, 4, 0, 0, 0, 0, time.UTC)

// controllerFixture drives one controller step by step.
type controllerFixture struct {
	t          *testing.T
	now        time.Time
	controller *Controller
}

func newControllerFixture(t *testing.T, machines ...cluster.MachineID) *controllerFixture {
	fixture := &controllerFixture{t: t, now: testStart}
	fixture.controller = NewController(ControllerConfig{Zone: "z1", Node: "n1"})
	fixture.step(MachinesListed{Machines: testMachines(machines...)})
	return fixture
}

func testMachines(ids ...cluster.MachineID) []cluster.Machine {
	var list []cluster.Machine
	for _, id := range ids {
		list = append(list, cluster.Machine{ID: id, Zone: "z1", Address: string(id)})
	}
	return list
}

func (c *controllerFixture) step(event Event) []Effect { return c.controller.Step(c.now, event) }

func (c *controllerFixture) stepAfter(d time.Duration, event Event) []Effect {
	c.now = c.now.Add(d)
	return c.step(event)
}

func (c *controllerFixture) acquire(token cluster.FencingToken) []Effect {
	return c.step(LeaseAcquired{Token: token, SentAt: c.now, TTL: testTTL})
}

func (c *controllerFixture) allot(limit int, machines ...cluster.MachineID) {
	c.step(AllotmentRead{ReadRevision: 1000, Allotment: cluster.Allotment{
		Zone: "z1", Revision: 3, Machines: machines,
		Models: []cluster.ModelAllotment{{Model: "x", MaxReplicas: limit}},
	}})
}

func (c *controllerFixture) seal(token cluster.FencingToken, machine cluster.MachineID, replicas ...cluster.Replica) {
	c.step(Sealed{Inventory: testInventory(token, machine, 1, replicas...)})
}

func testInventory(token cluster.FencingToken, machine cluster.MachineID, sequence uint64, replicas ...cluster.Replica) cluster.Inventory {
	return cluster.Inventory{
		Machine: machine, Token: token, Sequence: sequence, Epoch: 1, MemoryBytes: 10, Replicas: replicas,
	}
}

// planLoad plans one load of model x and returns the orders issued.
func (c *controllerFixture) planLoad(machine cluster.MachineID, bytes int64) []cluster.Order {
	effects := c.step(PlanMade{Plan: placement.Plan{Actions: []placement.Action{
		{Kind: cluster.OrderLoad, Machine: machine, Model: "x", Bytes: bytes},
	}}})
	return ordersOf(effects)
}

func ordersOf(effects []Effect) []cluster.Order {
	var orders []cluster.Order
	for _, effect := range effects {
		if send, ok := effect.(SendOrder); ok {
			orders = append(orders, send.Order)
		}
	}
	return orders
}

func (c *controllerFixture) requireOrderCount(orders []cluster.Order, want int, why string) {
	c.t.Helper()
	if len(orders) != want {
		c.t.Fatalf("%s: %d orders given, want %d", why, len(orders), want)
	}
}

// TestUnsealedMachineCountsAsHoldingModel guards against exceeding the allotment after a
// takeover: the former controller may have loaded the model on a machine that is not
// sealed yet.
func TestUnsealedMachineCountsAsHoldingModel(t *testing.T) {
	fixture := newControllerFixture(t, "m1", "m2")
	if effects := fixture.acquire(5); len(effects) != 2 {
		t.Fatalf("%d effects after acquisition, want a seal of each machine", len(effects))
	}
	fixture.allot(1, "m1", "m2")
	fixture.seal(5, "m1")
	fixture.requireOrderCount(fixture.planLoad("m1", 4), 0, "m2 is not sealed")
	if held := fixture.controller.Report()[0].Held; held != 1 {
		t.Fatalf("held %d, want the possible replica on m2", held)
	}
	fixture.seal(5, "m2")
	fixture.requireOrderCount(fixture.planLoad("m1", 4), 1, "both are sealed")
}

// TestUnlistedMachineOfRecordCountsUntilListLagPasses guards against overlooking a machine
// that the allotment names and this node's machine list does not show yet.
func TestUnlistedMachineOfRecordCountsUntilListLagPasses(t *testing.T) {
	fixture := newControllerFixture(t, "m1")
	fixture.acquire(5)
	fixture.allot(1, "m1", "m2")
	fixture.seal(5, "m1")
	fixture.requireOrderCount(fixture.planLoad("m1", 4), 0, "m2 may exist")
	for range 4 {
		fixture.stepAfter(DefaultMachineLag/3, MachinesListed{Machines: testMachines("m1")})
	}
	fixture.requireOrderCount(fixture.planLoad("m1", 4), 1, "m2 has been missing for longer than the lag")
}

// TestMachineOutsideRecordGetsNoLoad guards against a load on a machine that a successor
// would not know of, because the allotment does not name it.
func TestMachineOutsideRecordGetsNoLoad(t *testing.T) {
	fixture := newControllerFixture(t, "m1", "m2")
	fixture.acquire(5)
	fixture.allot(1, "m1")
	fixture.seal(5, "m1")
	fixture.seal(5, "m2")
	fixture.requireOrderCount(fixture.planLoad("m2", 4), 0, "m2 is not in the record")
	if fixture.controller.State(fixture.now).Machines[1].Sealed {
		t.Fatal("the planner sees m2 as sealed")
	}
}

// TestAllotmentReadBeforeAcquisitionIsIgnored guards against using a higher count that was
// lowered before the lease was acquired.
func TestAllotmentReadBeforeAcquisitionIsIgnored(t *testing.T) {
	fixture := newControllerFixture(t, "m1")
	fixture.acquire(5)
	fixture.step(AllotmentRead{ReadRevision: 4, Allotment: cluster.Allotment{Zone: "z1", Revision: 3}})
	if fixture.controller.AllotmentRevision() != 0 {
		t.Fatal("an allotment read before the lease was acquired came into use")
	}
}

// TestAllotmentReadAfterLeaseEndWaitsForRenewal guards against a superseded lease holder
// that uses an allotment which its successor has not read.
func TestAllotmentReadAfterLeaseEndWaitsForRenewal(t *testing.T) {
	fixture := newControllerFixture(t, "m1")
	fixture.acquire(5)
	fixture.stepAfter(testTTL, Tick{})
	fixture.allot(1, "m1")
	if fixture.controller.AllotmentRevision() != 0 {
		t.Fatal("an allotment came into use while another node may hold the lease")
	}
	fixture.step(LeaseRenewed{SentAt: fixture.now, TTL: testTTL})
	if fixture.controller.AllotmentRevision() != 3 {
		t.Fatal("the allotment did not come into use after the renewal")
	}
}

// TestMemoryStaysReservedUntilInventoryShowsItFree guards against overcommitted memory: an
// unloading replica and an unsettled load still occupy theirs, also after an outdated
// inventory.
func TestMemoryStaysReservedUntilInventoryShowsItFree(t *testing.T) {
	fixture := newControllerFixture(t, "m1")
	fixture.acquire(5)
	fixture.allot(1, "m1")
	fixture.seal(5, "m1", cluster.Replica{Model: "y", State: cluster.ReplicaUnloading, Bytes: 7})
	fixture.requireOrderCount(fixture.planLoad("m1", 4), 0, "7 of 10 bytes are still occupied")
	fixture.step(InventoryRead{Inventory: testInventory(5, "m1", 2)})
	fixture.requireOrderCount(fixture.planLoad("m1", 4), 1, "the unload has ended")
	if free := fixture.controller.FreeBytes(); free != 6 {
		t.Fatalf("%d bytes free, want 6", free)
	}
	fixture.step(InventoryRead{Inventory: testInventory(5, "m1", 1)})
	fixture.step(InventoryRead{Inventory: testInventory(5, "m1", 2)})
	if free := fixture.controller.FreeBytes(); free != 6 {
		t.Fatalf("%d bytes free after an inventory without the load, want 6", free)
	}
}

// TestUnansweredOrderIsResentUntilAnswered guards against a lost or delayed order being
// taken as not carried out.
func TestUnansweredOrderIsResentUntilAnswered(t *testing.T) {
	fixture := newControllerFixture(t, "m1")
	fixture.acquire(5)
	fixture.allot(1, "m1")
	fixture.seal(5, "m1")
	first := fixture.planLoad("m1", 4)
	fixture.requireOrderCount(first, 1, "a load")
	fixture.step(EngineUnreachable{Machine: "m1"})
	if !fixture.controller.State(fixture.now).Machines[0].Replicas[0].Unknown {
		t.Fatal("the outcome of the order is not shown as unknown")
	}
	again := ordersOf(fixture.stepAfter(time.Second, Tick{}))
	fixture.requireOrderCount(again, 1, "the same order")
	if again[0].ID != first[0].ID {
		t.Fatalf("order %s sent again as %s", first[0].ID, again[0].ID)
	}
	fixture.step(InventoryRead{Inventory: testInventory(5, "m1", 2), Order: first[0].ID})
	if free := fixture.controller.FreeBytes(); free != 10 {
		t.Fatalf("%d bytes free after an answer that shows no load, want 10", free)
	}
}

// TestSealAnsweredAfterLeaseEndIsIgnored guards against a former lease holder sealing an
// engine that has restarted and lost its successor's token.
func TestSealAnsweredAfterLeaseEndIsIgnored(t *testing.T) {
	fixture := newControllerFixture(t, "m1")
	fixture.acquire(5)
	fixture.allot(1, "m1")
	fixture.now = fixture.now.Add(testTTL)
	fixture.seal(5, "m1")
	if fixture.controller.Ready() {
		t.Fatal("a seal answered after the end of the lease counted")
	}
}

// TestHolderGivesOrdersAfterLeaseEndWhileServiceIsUnreachable guards against a zone
// without a controller during an outage of the key-value service.
func TestHolderGivesOrdersAfterLeaseEndWhileServiceIsUnreachable(t *testing.T) {
	fixture := newControllerFixture(t, "m1")
	fixture.acquire(5)
	fixture.allot(1, "m1")
	fixture.seal(5, "m1")
	fixture.stepAfter(testTTL, LeaseUnreachable{})
	fixture.stepAfter(time.Hour, Tick{})
	fixture.requireOrderCount(fixture.planLoad("m1", 4), 1, "the service is unreachable")
}

// TestRestartedEngineGetsNoOrdersUntilSealedAgain guards against orders to an engine that
// lost its token in a restart and may follow another controller.
func TestRestartedEngineGetsNoOrdersUntilSealedAgain(t *testing.T) {
	fixture := newControllerFixture(t, "m1")
	fixture.acquire(5)
	fixture.allot(1, "m1")
	fixture.seal(5, "m1")
	restarted := testInventory(0, "m1", 1)
	restarted.Epoch = 2
	fixture.step(InventoryRead{Inventory: restarted})
	fixture.requireOrderCount(fixture.planLoad("m1", 4), 0, "the engine lost its token")
	fixture.step(InventoryRead{Inventory: testInventory(5, "m1", 9)})
	fixture.requireOrderCount(fixture.planLoad("m1", 4), 0, "an inventory of the former run proves nothing")
	restarted.Token = 5
	fixture.step(Sealed{Inventory: restarted})
	orders := fixture.planLoad("m1", 4)
	fixture.requireOrderCount(orders, 1, "sealed again")
	if orders[0].Epoch != 2 {
		t.Fatalf("order is meant for run %d, want 2", orders[0].Epoch)
	}
}

// TestRestartedEngineThatKeptItsTokenGetsOrders guards against sealing an engine
// needlessly when it stored the token before its restart. An engine sealed in its current
// run may have followed another controller in between.
func TestRestartedEngineThatKeptItsTokenGetsOrders(t *testing.T) {
	fixture := newControllerFixture(t, "m1")
	fixture.acquire(5)
	fixture.allot(1, "m1")
	fixture.seal(5, "m1")
	fixture.now = fixture.now.Add(time.Hour)
	restarted := testInventory(5, "m1", 1)
	restarted.Epoch, restarted.TokenEpoch = 2, 2
	fixture.step(InventoryRead{Inventory: restarted})
	fixture.requireOrderCount(fixture.planLoad("m1", 4), 0, "sealed in this run, but perhaps too late")
	restarted.Epoch = 3
	fixture.step(InventoryRead{Inventory: restarted})
	fixture.requireOrderCount(fixture.planLoad("m1", 4), 1, "the token was kept")
}

// TestAdapterLoadWaitsForBaseModel guards against loads of adapters and unloads of base
// models that engines refuse, and against memory that is not reserved while the load is
// deferred.
func TestAdapterLoadWaitsForBaseModel(t *testing.T) {
	fixture := newControllerFixture(t, "m1")
	fixture.acquire(5)
	fixture.step(AllotmentRead{ReadRevision: 1000, Allotment: cluster.Allotment{
		Zone: "z1", Revision: 3, Machines: []cluster.MachineID{"m1"},
		Models: []cluster.ModelAllotment{{Model: "adapter", MaxReplicas: 1}, {Model: "x", MaxReplicas: 1}},
	}})
	base := cluster.Replica{Model: "x", State: cluster.ReplicaLoading}
	fixture.seal(5, "m1", base)
	plan := func(kind cluster.OrderKind, model, base cluster.ModelID) []cluster.Order {
		return ordersOf(fixture.step(PlanMade{Plan: placement.Plan{Actions: []placement.Action{
			{Kind: kind, Machine: "m1", Model: model, Base: base, Bytes: 3},
		}}}))
	}
	fixture.requireOrderCount(plan(cluster.OrderLoad, "adapter", "x"), 0, "the base is loading")
	if free := fixture.controller.FreeBytes(); free != 7 {
		t.Fatalf("%d bytes free while the adapter waits, want 7", free)
	}
	fixture.requireOrderCount(plan(cluster.OrderUnload, "adapter", "x"), 0, "it was not sent")
	if free := fixture.controller.FreeBytes(); free != 10 {
		t.Fatalf("%d bytes free after it was withdrawn, want 10", free)
	}
	fixture.requireOrderCount(plan(cluster.OrderLoad, "adapter", "x"), 0, "the base is still loading")
	fixture.requireOrderCount(ordersOf(fixture.stepAfter(DefaultCallTimeout, Tick{})), 0, "nothing to send again")
	base.State = cluster.ReplicaLoaded
	orders := ordersOf(fixture.step(InventoryRead{Inventory: testInventory(5, "m1", 2, base)}))
	fixture.requireOrderCount(orders, 1, "the base is loaded")
	adapter := cluster.Replica{Model: "adapter", State: cluster.ReplicaLoading}
	fixture.step(InventoryRead{Inventory: testInventory(5, "m1", 3, adapter, base), Order: orders[0].ID})
	fixture.requireOrderCount(plan(cluster.OrderUnload, "x", ""), 0, "the adapter needs the base")
	fixture.requireOrderCount(plan(cluster.OrderUnload, "adapter", "x"), 1, "nothing needs the adapter")
	fixture.step(InventoryRead{Inventory: testInventory(5, "m1", 4, base)})
	fixture.requireOrderCount(plan(cluster.OrderUnload, "x", ""), 1, "the adapter is gone")
}

// TestHolderStepsDownOnLaterToken guards against two controllers that both act for a zone
// after an engine has stored the later token.
func TestHolderStepsDownOnLaterToken(t *testing.T) {
	fixture := newControllerFixture(t, "m1")
	fixture.acquire(5)
	fixture.seal(5, "m1")
	effects := fixture.step(InventoryRead{Inventory: testInventory(6, "m1", 2)})
	if len(effects) != 1 || fixture.controller.Holding() {
		t.Fatalf("effects %v, holding %v", effects, fixture.controller.Holding())
	}
	if _, ok := effects[0].(SteppedDown); !ok {
		t.Fatalf("effect %T, want SteppedDown", effects[0])
	}
}

// TestUnresponsiveEngineGetsNoOrdersButStillCounts: the replica of an unresponsive engine
// takes no requests, but it may still exist. A replica loaded in its place would exceed
// the allotment.
func TestUnresponsiveEngineGetsNoOrdersButStillCounts(t *testing.T) {
	fixture := newControllerFixture(t, "m1", "m2")
	fixture.acquire(5)
	fixture.allot(1, "m1", "m2")
	fixture.seal(5, "m1", cluster.Replica{Model: "x", State: cluster.ReplicaLoaded, Bytes: 4})
	fixture.seal(5, "m2")
	for range maxUnansweredCalls - 1 {
		fixture.step(EngineUnreachable{Machine: "m1"})
	}
	if !fixture.controller.Responsive("m1") || !fixture.controller.State(fixture.now).Machines[0].Sealed {
		t.Fatal("the engine counts as unresponsive too early")
	}
	fixture.step(EngineUnreachable{Machine: "m1"})
	state := fixture.controller.State(fixture.now)
	if fixture.controller.Responsive("m1") || state.Machines[0].Sealed || len(state.Machines[0].Replicas) != 1 {
		t.Fatalf("shown to the planner as %+v", state.Machines[0])
	}
	fixture.requireOrderCount(fixture.planLoad("m2", 4), 0, "the replica on m1 may still be there")
	fixture.step(InventoryRead{Inventory: testInventory(5, "m1", 2)})
	if !fixture.controller.Responsive("m1") {
		t.Fatal("the engine counts as unresponsive after an answer")
	}
	fixture.requireOrderCount(fixture.planLoad("m2", 4), 1, "m1 shows that the replica is gone")
}

package authority

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
)

const testTTL = 10 * time.Second

var testStart = time.Date(2030, time.March, 4, 0, 0, 0, 0, time.UTC)

// cellTest drives one controller by hand.
type cellTest struct {
	t          *testing.T
	now        time.Time
	controller *Controller
}

func newCellTest(t *testing.T, machines ...cluster.MachineID) *cellTest {
	test := &cellTest{t: t, now: testStart}
	test.controller = NewController(ControllerConfig{Zone: "z1", Node: "n1"})
	test.step(MachinesListed{Machines: testMachines(machines...)})
	return test
}

func testMachines(ids ...cluster.MachineID) []cluster.Machine {
	var list []cluster.Machine
	for _, id := range ids {
		list = append(list, cluster.Machine{ID: id, Zone: "z1", Address: string(id)})
	}
	return list
}

func (c *cellTest) step(event Event) []Effect { return c.controller.Step(c.now, event) }

func (c *cellTest) after(d time.Duration, event Event) []Effect {
	c.now = c.now.Add(d)
	return c.step(event)
}

func (c *cellTest) acquire(token cluster.FencingToken) []Effect {
	return c.step(LeaseAcquired{Token: token, SentAt: c.now, TTL: testTTL})
}

func (c *cellTest) allot(limit int, machines ...cluster.MachineID) {
	c.step(AllotmentRead{ReadRevision: 1000, Allotment: cluster.Allotment{
		Zone: "z1", Revision: 3, Machines: machines,
		Models: []cluster.ModelAllotment{{Model: "x", MaxReplicas: limit}},
	}})
}

func (c *cellTest) seal(token cluster.FencingToken, machine cluster.MachineID, replicas ...cluster.Replica) {
	c.step(Sealed{Inventory: testInventory(token, machine, 1, replicas...)})
}

func testInventory(token cluster.FencingToken, machine cluster.MachineID, sequence uint64, replicas ...cluster.Replica) cluster.Inventory {
	return cluster.Inventory{
		Machine: machine, Token: token, Sequence: sequence, Epoch: 1, MemoryBytes: 10, Replicas: replicas,
	}
}

// load plans one load and returns the orders given.
func (c *cellTest) load(machine cluster.MachineID, bytes int64) []cluster.Order {
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

func (c *cellTest) expectOrders(orders []cluster.Order, want int, why string) {
	c.t.Helper()
	if len(orders) != want {
		c.t.Fatalf("%s: %d orders given, want %d", why, len(orders), want)
	}
}

func TestUnsealedMachineCountsAsHoldingTheModel(t *testing.T) {
	cell := newCellTest(t, "m1", "m2")
	if effects := cell.acquire(5); len(effects) != 2 {
		t.Fatalf("%d effects after acquisition, want a seal of each machine", len(effects))
	}
	cell.allot(1, "m1", "m2")
	cell.seal(5, "m1")
	cell.expectOrders(cell.load("m1", 4), 0, "m2 is not sealed")
	if held := cell.controller.Report()[0].Held; held != 1 {
		t.Fatalf("held %d, want the possible replica on m2", held)
	}
	cell.seal(5, "m2")
	cell.expectOrders(cell.load("m1", 4), 1, "both are sealed")
}

func TestMachineNamedByRecordCountsBeforeItIsListed(t *testing.T) {
	cell := newCellTest(t, "m1")
	cell.acquire(5)
	cell.allot(1, "m1", "m2")
	cell.seal(5, "m1")
	cell.expectOrders(cell.load("m1", 4), 0, "m2 may exist")
	for range 4 {
		cell.after(DefaultMachineLag/3, MachinesListed{Machines: testMachines("m1")})
	}
	cell.expectOrders(cell.load("m1", 4), 1, "m2 has gone past the lag")
}

func TestMachineOutsideTheRecordTakesNoLoad(t *testing.T) {
	cell := newCellTest(t, "m1", "m2")
	cell.acquire(5)
	cell.allot(1, "m1")
	cell.seal(5, "m1")
	cell.seal(5, "m2")
	cell.expectOrders(cell.load("m2", 4), 0, "m2 is not in the record")
	if cell.controller.State(cell.now).Machines[1].Sealed {
		t.Fatal("m2 is offered to the planner")
	}
}

func TestAllotmentReadBeforeTheAcquisitionIsIgnored(t *testing.T) {
	cell := newCellTest(t, "m1")
	cell.acquire(5)
	cell.step(AllotmentRead{ReadRevision: 4, Allotment: cluster.Allotment{Zone: "z1", Revision: 3}})
	if cell.controller.AllotmentRevision() != 0 {
		t.Fatal("an old read was used")
	}
}

func TestRecordReadBeyondTheLeaseWaitsForARenewal(t *testing.T) {
	cell := newCellTest(t, "m1")
	cell.acquire(5)
	cell.after(testTTL, Tick{})
	cell.allot(1, "m1")
	if cell.controller.AllotmentRevision() != 0 {
		t.Fatal("a record came into use while another node may hold the lease")
	}
	cell.step(LeaseRenewed{SentAt: cell.now, TTL: testTTL})
	if cell.controller.AllotmentRevision() != 3 {
		t.Fatal("the record was lost")
	}
}

func TestMemoryIsReservedUntilInventoryShowsItFree(t *testing.T) {
	cell := newCellTest(t, "m1")
	cell.acquire(5)
	cell.allot(1, "m1")
	cell.seal(5, "m1", cluster.Replica{Model: "y", State: cluster.ReplicaUnloading, Bytes: 7})
	cell.expectOrders(cell.load("m1", 4), 0, "7 of 10 bytes are still occupied")
	cell.step(InventoryRead{Inventory: testInventory(5, "m1", 2)})
	cell.expectOrders(cell.load("m1", 4), 1, "the unload has ended")
	if free := cell.controller.FreeBytes(); free != 6 {
		t.Fatalf("%d bytes free, want 6", free)
	}
	cell.step(InventoryRead{Inventory: testInventory(5, "m1", 1)})
	cell.step(InventoryRead{Inventory: testInventory(5, "m1", 2)})
	if free := cell.controller.FreeBytes(); free != 6 {
		t.Fatalf("%d bytes free after an inventory without the load, want 6", free)
	}
}

func TestUnansweredOrderIsSentAgainUntilAnswered(t *testing.T) {
	cell := newCellTest(t, "m1")
	cell.acquire(5)
	cell.allot(1, "m1")
	cell.seal(5, "m1")
	first := cell.load("m1", 4)
	cell.expectOrders(first, 1, "a load")
	cell.step(EngineUnreachable{Machine: "m1"})
	if !cell.controller.State(cell.now).Machines[0].Replicas[0].Unknown {
		t.Fatal("the outcome is not shown as unknown")
	}
	again := ordersOf(cell.after(time.Second, Tick{}))
	cell.expectOrders(again, 1, "the same order")
	if again[0].ID != first[0].ID {
		t.Fatalf("order %s sent again as %s", first[0].ID, again[0].ID)
	}
	cell.step(InventoryRead{Inventory: testInventory(5, "m1", 2), Order: first[0].ID})
	if free := cell.controller.FreeBytes(); free != 10 {
		t.Fatalf("%d bytes free after an answer that shows no load, want 10", free)
	}
}

func TestSealAnsweredAfterTheLeaseEndedDoesNotCount(t *testing.T) {
	cell := newCellTest(t, "m1")
	cell.acquire(5)
	cell.allot(1, "m1")
	cell.now = cell.now.Add(testTTL)
	cell.seal(5, "m1")
	if cell.controller.Ready() {
		t.Fatal("the seal counted")
	}
}

func TestHolderGoesOnBeyondItsLease(t *testing.T) {
	cell := newCellTest(t, "m1")
	cell.acquire(5)
	cell.allot(1, "m1")
	cell.seal(5, "m1")
	cell.after(testTTL, LeaseUnreachable{})
	cell.after(time.Hour, Tick{})
	cell.expectOrders(cell.load("m1", 4), 1, "the service is unreachable")
}

func TestRestartedEngineTakesNoOrdersBeforeItIsSealedAgain(t *testing.T) {
	cell := newCellTest(t, "m1")
	cell.acquire(5)
	cell.allot(1, "m1")
	cell.seal(5, "m1")
	restarted := testInventory(0, "m1", 1)
	restarted.Epoch = 2
	cell.step(InventoryRead{Inventory: restarted})
	cell.expectOrders(cell.load("m1", 4), 0, "the engine has forgotten its token")
	cell.step(InventoryRead{Inventory: testInventory(5, "m1", 9)})
	cell.expectOrders(cell.load("m1", 4), 0, "an inventory of the former run proves nothing")
	restarted.Token = 5
	cell.step(Sealed{Inventory: restarted})
	orders := cell.load("m1", 4)
	cell.expectOrders(orders, 1, "sealed again")
	if orders[0].Epoch != 2 {
		t.Fatalf("order is meant for run %d, want 2", orders[0].Epoch)
	}
}

func TestRestartedEngineThatKeptItsTokenGoesOn(t *testing.T) {
	cell := newCellTest(t, "m1")
	cell.acquire(5)
	cell.allot(1, "m1")
	cell.seal(5, "m1")
	cell.now = cell.now.Add(time.Hour)
	restarted := testInventory(5, "m1", 1)
	restarted.Epoch, restarted.TokenEpoch = 2, 2
	cell.step(InventoryRead{Inventory: restarted})
	cell.expectOrders(cell.load("m1", 4), 0, "sealed in this run, but perhaps too late")
	restarted.Epoch = 3
	cell.step(InventoryRead{Inventory: restarted})
	cell.expectOrders(cell.load("m1", 4), 1, "the token was kept")
}

func TestAdapterWaitsForItsBase(t *testing.T) {
	cell := newCellTest(t, "m1")
	cell.acquire(5)
	cell.step(AllotmentRead{ReadRevision: 1000, Allotment: cluster.Allotment{
		Zone: "z1", Revision: 3, Machines: []cluster.MachineID{"m1"},
		Models: []cluster.ModelAllotment{{Model: "adapter", MaxReplicas: 1}, {Model: "x", MaxReplicas: 1}},
	}})
	base := cluster.Replica{Model: "x", State: cluster.ReplicaLoading}
	cell.seal(5, "m1", base)
	plan := func(kind cluster.OrderKind, model, base cluster.ModelID) []cluster.Order {
		return ordersOf(cell.step(PlanMade{Plan: placement.Plan{Actions: []placement.Action{
			{Kind: kind, Machine: "m1", Model: model, Base: base, Bytes: 3},
		}}}))
	}
	cell.expectOrders(plan(cluster.OrderLoad, "adapter", "x"), 0, "the base is loading")
	if free := cell.controller.FreeBytes(); free != 7 {
		t.Fatalf("%d bytes free while the adapter waits, want 7", free)
	}
	cell.expectOrders(plan(cluster.OrderUnload, "adapter", "x"), 0, "it was not sent")
	if free := cell.controller.FreeBytes(); free != 10 {
		t.Fatalf("%d bytes free after it was withdrawn, want 10", free)
	}
	cell.expectOrders(plan(cluster.OrderLoad, "adapter", "x"), 0, "the base is still loading")
	cell.expectOrders(ordersOf(cell.after(DefaultCallTimeout, Tick{})), 0, "nothing to send again")
	base.State = cluster.ReplicaLoaded
	orders := ordersOf(cell.step(InventoryRead{Inventory: testInventory(5, "m1", 2, base)}))
	cell.expectOrders(orders, 1, "the base is loaded")
	adapter := cluster.Replica{Model: "adapter", State: cluster.ReplicaLoading}
	cell.step(InventoryRead{Inventory: testInventory(5, "m1", 3, adapter, base), Order: orders[0].ID})
	cell.expectOrders(plan(cluster.OrderUnload, "x", ""), 0, "the adapter needs the base")
	cell.expectOrders(plan(cluster.OrderUnload, "adapter", "x"), 1, "nothing needs the adapter")
	cell.step(InventoryRead{Inventory: testInventory(5, "m1", 4, base)})
	cell.expectOrders(plan(cluster.OrderUnload, "x", ""), 1, "the adapter is gone")
}

func TestLaterTokenEndsTheHolder(t *testing.T) {
	cell := newCellTest(t, "m1")
	cell.acquire(5)
	cell.seal(5, "m1")
	effects := cell.step(InventoryRead{Inventory: testInventory(6, "m1", 2)})
	if len(effects) != 1 || cell.controller.Holding() {
		t.Fatalf("effects %v, holding %v", effects, cell.controller.Holding())
	}
	if _, ok := effects[0].(SteppedDown); !ok {
		t.Fatalf("effect %T, want SteppedDown", effects[0])
	}
}

// TestUnresponsiveEngineIsPassedOverButCounts: its replica takes no requests
// and no orders, yet none may be loaded in its place beyond the allotment.
func TestUnresponsiveEngineIsPassedOverButCounts(t *testing.T) {
	cell := newCellTest(t, "m1", "m2")
	cell.acquire(5)
	cell.allot(1, "m1", "m2")
	cell.seal(5, "m1", cluster.Replica{Model: "x", State: cluster.ReplicaLoaded, Bytes: 4})
	cell.seal(5, "m2")
	for range unresponsiveAfter - 1 {
		cell.step(EngineUnreachable{Machine: "m1"})
	}
	if !cell.controller.Responsive("m1") || !cell.controller.State(cell.now).Machines[0].Sealed {
		t.Fatal("passed over too early")
	}
	cell.step(EngineUnreachable{Machine: "m1"})
	state := cell.controller.State(cell.now)
	if cell.controller.Responsive("m1") || state.Machines[0].Sealed || len(state.Machines[0].Replicas) != 1 {
		t.Fatalf("shown to the planner as %+v", state.Machines[0])
	}
	cell.expectOrders(cell.load("m2", 4), 0, "the replica on m1 may still be there")
	cell.step(InventoryRead{Inventory: testInventory(5, "m1", 2)})
	if !cell.controller.Responsive("m1") {
		t.Fatal("not taken back after an answer")
	}
	cell.expectOrders(cell.load("m2", 4), 1, "m1 shows that the replica is gone")
}

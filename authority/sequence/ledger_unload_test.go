package sequence

import (
	"errors"
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
)

// TestUnloadOfBaseModelRemovesAdapters: engines discard a base model's adapters with it,
// so adapters that stayed in the ledger would count as replicas that don't exist.
func TestUnloadOfBaseModelRemovesAdapters(t *testing.T) {
	fixture := newLedgerFixture(t, catalog.Report{Held: []catalog.LoadedModel{{Name: "base", Adapters: []string{"a1"}}}})
	send := fixture.requestOrder(cluster.OrderUnload, baseModel, false)
	fixture.step(OrderAnswered{Machine: testMachine, Number: send.Number, Outcome: OutcomeTaken})
	fixture.advance(time.Second)
	fixture.step(Tick{})
	if len(fixture.replicaStates()) != 0 {
		t.Fatalf("states %v, want none", fixture.replicaStates())
	}
}

// TestLoadRefusedDuringUnloadIsResentSoon: an engine refuses a load until the unload
// before it is done, which takes milliseconds. Waiting for a report would delay the load
// much longer.
func TestLoadRefusedDuringUnloadIsResentSoon(t *testing.T) {
	fixture := newLedgerFixture(t, catalog.Report{OrderCount: 3, Held: []catalog.LoadedModel{{Name: "other"}}})
	unload := fixture.requestOrder(cluster.OrderUnload, otherModel, false)
	fixture.step(OrderAnswered{Machine: testMachine, Number: unload.Number, Outcome: OutcomeTaken})
	fixture.advance(initialUnloadEstimate)
	fixture.step(Tick{})
	load := fixture.requestOrder(cluster.OrderLoad, baseModel, false)
	if load == nil {
		t.Fatal("no load was sent after the unload")
	}
	fixture.step(OrderAnswered{Machine: testMachine, Number: load.Number, Outcome: OutcomeConflict})
	fixture.advance(unloadConflictRetry)
	again := sentOrder(fixture.step(Tick{}))
	if again == nil || again.Order != load.Order {
		t.Fatalf("sent %+v, want the load again at once", again)
	}
	fixture.advance(unloadConflictWindow)
	fixture.step(OrderAnswered{Machine: testMachine, Number: again.Number, Outcome: OutcomeConflict})
	fixture.advance(unloadConflictRetry)
	if other := sentOrder(fixture.step(Tick{})); other != nil {
		t.Fatalf("sent %+v, want a report to be read once the unload takes long", other)
	}
}

// TestUnloadEstimateAdaptsToRefusals swaps two models 100 times on an engine that takes 45
// ms to unload. With a fixed estimate of the unload's duration the engine refused every
// load after an unload.
func TestUnloadEstimateAdaptsToRefusals(t *testing.T) {
	const unloading = 45 * time.Millisecond
	fixture := newLedgerFixture(t, catalog.Report{OrderCount: 3, Held: []catalog.LoadedModel{{Name: "other"}}})
	refused, swaps := 0, 100
	models := [2]cluster.ModelID{otherModel, baseModel}
	for n := range swaps {
		unload := fixture.requestOrder(cluster.OrderUnload, models[n%2], false)
		fixture.step(OrderAnswered{Machine: testMachine, Number: unload.Number, Outcome: OutcomeTaken})
		began := fixture.now
		var load *SendOrder
		for load == nil {
			fixture.advance(time.Millisecond)
			fixture.step(Tick{})
			load = fixture.requestOrder(cluster.OrderLoad, models[(n+1)%2], false)
		}
		for fixture.now.Sub(began) < unloading {
			refused++
			fixture.step(OrderAnswered{Machine: testMachine, Number: load.Number, Outcome: OutcomeConflict})
			fixture.advance(unloadConflictRetry)
			load = sentOrder(fixture.step(Tick{}))
		}
		fixture.step(OrderAnswered{Machine: testMachine, Number: load.Number, Outcome: OutcomeTaken})
		fixture.advance(time.Second)
		name := [2]string{"other", "base"}[(n+1)%2]
		fixture.step(MachineSeen{Worker: catalog.Worker{ID: testMachine, Service: "svc", Address: "a:1", LoadedModels: []catalog.LoadedModel{{Name: name}}}, MemoryBytes: 100})
		fixture.step(Tick{})
	}
	if refused*10 > swaps {
		t.Errorf("%d loads of %d were refused", refused, swaps)
	}
}

// TestBusyForReturnsRemainingTime: an engine that carries out an order has a remaining
// time, one that doesn't report has none.
func TestBusyForReturnsRemainingTime(t *testing.T) {
	fixture := newLedgerFixture(t, catalog.Report{OrderCount: 3})
	busyFor := func() time.Duration {
		return fixture.ledger.Machines(func(cluster.ModelID) int64 { return 0 })[0].OrderTimeLeft
	}
	if got := busyFor(); got != 0 {
		t.Fatalf("%v for an idle engine", got)
	}
	send := fixture.requestOrder(cluster.OrderLoad, baseModel, false)
	fixture.step(OrderAnswered{Machine: testMachine, Number: send.Number, Outcome: OutcomeTaken})
	began := busyFor()
	fixture.advance(600 * time.Millisecond)
	fixture.step(Tick{})
	if left := busyFor(); began < time.Second || began-left != 600*time.Millisecond {
		t.Fatalf("%v at the beginning of a load of 1 s, %v after 600 ms", began, left)
	}
	fixture.step(ReportRead{Machine: testMachine, Err: errors.New("no answer")})
	if got := busyFor(); got != 0 {
		t.Fatalf("%v for an engine that does not report", got)
	}
}

// TestAdapterSlotStaysTakenUntilUnloadEstimate: engines take orders while they unload an
// adapter, so early loads that were taken are no evidence that its slot is free. An engine
// that is ordered to hold more than it can terminates.
func TestAdapterSlotStaysTakenUntilUnloadEstimate(t *testing.T) {
	fixture := newLedgerFixture(t, catalog.Report{Held: []catalog.LoadedModel{{Name: "base", Adapters: []string{"a1"}}}})
	take := func(kind cluster.OrderKind) {
		send := fixture.requestOrder(kind, adapter, true)
		fixture.step(OrderAnswered{Machine: testMachine, Number: send.Number, Outcome: OutcomeTaken})
	}
	for range 50 {
		take(cluster.OrderUnload)
		fixture.advance(initialUnloadEstimate - time.Millisecond)
		fixture.step(Tick{})
		if _, counted := fixture.replicaStates()[adapter]; !counted {
			t.Fatal("the slot of an adapter counts as free before the unload estimate has passed")
		}
		fixture.advance(time.Millisecond)
		fixture.step(Tick{})
		take(cluster.OrderLoad)
		fixture.advance(2 * time.Second)
		fixture.step(Tick{})
	}
}

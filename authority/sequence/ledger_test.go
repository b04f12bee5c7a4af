package sequence

import (
	"errors"
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
)

// TestUnansweredOrderIsResentWithSameCount: an order without an answer may be carried out
// late. A different order in the meantime, or a new count for the same one, could be
// carried out in addition to it.
func TestUnansweredOrderIsResentWithSameCount(t *testing.T) {
	fixture := newLedgerFixture(t, catalog.Report{OrderCount: 3})
	first := fixture.requestOrder(cluster.OrderLoad, baseModel, false)
	if first == nil || first.Order.Expected != 3 || first.Order.Token != 7 {
		t.Fatalf("sent %+v, want an order that expects count 3 under token 7", first)
	}
	fixture.step(OrderAnswered{Machine: testMachine, Number: first.Number, Err: errors.New("no answer")})
	if other := fixture.requestOrder(cluster.OrderLoad, otherModel, false); other != nil {
		t.Fatalf("another order was sent while one has no known outcome: %+v", other)
	}
	fixture.advance(time.Second)
	again := sentOrder(fixture.step(Tick{}))
	if again == nil || again.Order != first.Order || again.Number == first.Number {
		t.Fatalf("sent %+v, want the same order under a new number", again)
	}
	fixture.step(OrderAnswered{Machine: testMachine, Number: first.Number, Outcome: OutcomeTaken})
	if other := fixture.requestOrder(cluster.OrderLoad, otherModel, false); other != nil {
		t.Fatal("the answer to an earlier sending settled the order")
	}
	fixture.step(OrderAnswered{Machine: testMachine, Number: again.Number, Outcome: OutcomeTaken})
	if got := fixture.replicaStates()[baseModel]; got != cluster.ReplicaLoading {
		t.Fatalf("state %s, want loading", got)
	}
}

// TestReplicaMissingFromLateReportIsKept: a report lags behind the engine and may not name
// a model that was just loaded. If the replica were dropped, its slot would be used again
// and the engine would be ordered to hold more than it can.
func TestReplicaMissingFromLateReportIsKept(t *testing.T) {
	fixture := newLedgerFixture(t, catalog.Report{OrderCount: 3, Held: []catalog.LoadedModel{{Name: "base"}}})
	send := fixture.requestOrder(cluster.OrderLoad, adapter, true)
	fixture.step(OrderAnswered{Machine: testMachine, Number: send.Number, Outcome: OutcomeTaken})
	fixture.advance(1100 * time.Millisecond)
	fixture.step(Tick{})
	fixture.advance(150 * time.Millisecond)
	fixture.report(catalog.Report{OrderCount: 4, Held: []catalog.LoadedModel{{Name: "base"}}})
	if got := fixture.replicaStates()[adapter]; got != cluster.ReplicaLoaded {
		t.Fatalf("state %s after a late report, want loaded", got)
	}
	fixture.advance(2 * time.Second)
	fixture.report(catalog.Report{OrderCount: 4, Held: []catalog.LoadedModel{{Name: "base"}}})
	if _, kept := fixture.replicaStates()[adapter]; kept {
		t.Fatal("a replica that reports have lacked for seconds is kept")
	}
}

// TestEngineBusyWithUnknownOrderIsNotPlannedWith: an engine that is busy with another
// holder's order uses memory that no report shows, so an order to it could overcommit its
// memory.
func TestEngineBusyWithUnknownOrderIsNotPlannedWith(t *testing.T) {
	busy := catalog.Report{OrderCount: 5, Busy: true, Held: []catalog.LoadedModel{{Name: "other"}}}
	fixture := newLedgerFixture(t, busy)
	if fixture.sealed() {
		t.Fatal("an engine that is busy with an unknown order counts as known")
	}
	if send := fixture.requestOrder(cluster.OrderLoad, baseModel, false); send != nil {
		t.Fatalf("ordered %+v from an engine that is busy with an unknown order", send)
	}
	fixture.advance(5 * time.Second)
	fixture.report(catalog.Report{OrderCount: 5, Held: []catalog.LoadedModel{{Name: "other"}, {Name: "late"}}})
	if !fixture.sealed() || fixture.replicaStates()["svc/late"] != cluster.ReplicaLoaded {
		t.Fatalf("states %v after the engine is done, want the unknown load to show", fixture.replicaStates())
	}
}

// TestOrderOfAnotherHolderDuringTermUnsealsMachine guards against the same overcommitted
// memory when another holder's order arrives during the term.
func TestOrderOfAnotherHolderDuringTermUnsealsMachine(t *testing.T) {
	fixture := newLedgerFixture(t, catalog.Report{OrderCount: 4, Held: []catalog.LoadedModel{{Name: "other"}}})
	send := fixture.requestOrder(cluster.OrderUnload, otherModel, false)
	fixture.step(OrderAnswered{Machine: testMachine, Number: send.Number, Outcome: OutcomeConflict})
	fixture.advance(time.Second)
	fixture.report(catalog.Report{OrderCount: 6, Busy: true, Held: []catalog.LoadedModel{{Name: "other"}}})
	if fixture.sealed() {
		t.Fatal("an engine that took another holder's order counts as known")
	}
}

// TestBusyEngineGetsNoAdapterOrder: engines refuse every order while one is carried out,
// also one for an adapter.
func TestBusyEngineGetsNoAdapterOrder(t *testing.T) {
	fixture := newLedgerFixture(t, catalog.Report{OrderCount: 3, Held: []catalog.LoadedModel{{Name: "base"}}})
	send := fixture.requestOrder(cluster.OrderLoad, otherModel, false)
	fixture.step(OrderAnswered{Machine: testMachine, Number: send.Number, Outcome: OutcomeTaken})
	if second := fixture.requestOrder(cluster.OrderLoad, adapter, true); second != nil {
		t.Fatalf("ordered %+v from a busy engine", second)
	}
}

// TestStaleTokenEndsTerm guards against a superseded lease holder that continues its term.
func TestStaleTokenEndsTerm(t *testing.T) {
	fixture := newLedgerFixture(t, catalog.Report{})
	send := fixture.requestOrder(cluster.OrderLoad, baseModel, false)
	effects := fixture.step(OrderAnswered{Machine: testMachine, Number: send.Number, Outcome: OutcomeStaleToken})
	if len(effects) != 1 || effects[0] != (Superseded{Machine: testMachine}) {
		t.Fatalf("effects %v, want Superseded", effects)
	}
}

// TestConflictWithAdvancedCountIsAnotherHoldersOrder: when every send was answered with a
// conflict and the engine's count has advanced, the engine took another holder's order.
// Its load must not be mistaken for the ledger's own.
func TestConflictWithAdvancedCountIsAnotherHoldersOrder(t *testing.T) {
	fixture := newLedgerFixture(t, catalog.Report{OrderCount: 4, Held: []catalog.LoadedModel{{Name: "other"}}})
	send := fixture.requestOrder(cluster.OrderLoad, baseModel, false)
	fixture.step(OrderAnswered{Machine: testMachine, Number: send.Number, Outcome: OutcomeConflict})
	fixture.advance(time.Second)
	fixture.report(catalog.Report{OrderCount: 5, Busy: true, Held: []catalog.LoadedModel{{Name: "other"}}})
	if fixture.sealed() {
		t.Fatal("an engine that is busy with another holder's order counts as known")
	}
	fixture.advance(5 * time.Second)
	fixture.report(catalog.Report{OrderCount: 5, Held: []catalog.LoadedModel{{Name: "other"}, {Name: "theirs"}}})
	states := fixture.replicaStates()
	if _, kept := states[baseModel]; kept || states["svc/theirs"] != cluster.ReplicaLoaded {
		t.Fatalf("states %v, want the other holder's model in place of the own", states)
	}
}

// TestFirstOrderWaitsForReport: a term begins with the registry entries, which may be out
// of date. An order that relies on them could overcommit the engine, so its report is read
// first, and a report from before the term doesn't count.
func TestFirstOrderWaitsForReport(t *testing.T) {
	fixture := &ledgerFixture{t: t, ledger: New(), now: time.Unix(1000, 0)}
	fixture.step(MachineSeen{Worker: catalog.Worker{
		ID: testMachine, Service: "svc", Address: "a:1", LoadedModels: []catalog.LoadedModel{{Name: "base"}},
	}, MemoryBytes: 100})
	fixture.step(TermBegan{Holder: "n1", Token: 7})
	if got := fixture.replicaStates()[baseModel]; got != cluster.ReplicaLoaded {
		t.Fatalf("state %s, want what the entry says", got)
	}
	effects := fixture.step(OrderRequested{Machine: testMachine, Kind: cluster.OrderLoad, Model: otherModel, ExpectedTime: time.Second})
	if len(effects) != 1 || effects[0] != (ReadReport{Machine: testMachine, Address: "a:1"}) {
		t.Fatalf("effects %v, want a report to be read", effects)
	}
	fixture.report(catalog.Report{OrderCount: 8, Held: []catalog.LoadedModel{{Name: "base"}}})
	if send := fixture.requestOrder(cluster.OrderLoad, otherModel, false); send != nil {
		t.Fatalf("sent %+v after a report that may date from before the term", send)
	}
	fixture.advance(time.Second)
	fixture.report(catalog.Report{OrderCount: 9, Held: []catalog.LoadedModel{{Name: "base"}}})
	if send := fixture.requestOrder(cluster.OrderLoad, otherModel, false); send == nil || send.Order.Expected != 9 {
		t.Fatalf("sent %+v, want an order that expects the reported count", send)
	}
}

// TestReplicaMissingFromOldEntryIsKeptUntilReport: an entry written before an outage of
// the key-value service may arrive long after a load. The report that is read because of
// it decides whether the replica is dropped.
func TestReplicaMissingFromOldEntryIsKeptUntilReport(t *testing.T) {
	fixture := newLedgerFixture(t, catalog.Report{OrderCount: 1, Held: []catalog.LoadedModel{{Name: "base"}, {Name: "other"}}})
	fixture.advance(time.Minute)
	old := MachineSeen{Worker: catalog.Worker{
		ID: testMachine, Service: "svc", Address: "a:1", LoadedModels: []catalog.LoadedModel{{Name: "other"}},
	}, MemoryBytes: 100}
	effects := fixture.step(old)
	if fixture.replicaStates()[baseModel] != cluster.ReplicaLoaded {
		t.Fatalf("states %v, want what the last report said", fixture.replicaStates())
	}
	if len(effects) != 1 || effects[0] != (ReadReport{Machine: testMachine, Address: "a:1"}) {
		t.Fatalf("effects %v, want a report to be read", effects)
	}
	fixture.report(catalog.Report{OrderCount: 1, Held: []catalog.LoadedModel{{Name: "other"}}})
	if _, kept := fixture.replicaStates()[baseModel]; kept {
		t.Fatal("a replica that the report lacks is kept")
	}
}

// TestLoadedModelDecidesWhetherOwnOrderWasTaken: after a lost answer the count alone doesn't
// tell whether the engine took the ledger's own order or another holder's. What the engine
// holds when it is done does.
func TestLoadedModelDecidesWhetherOwnOrderWasTaken(t *testing.T) {
	for name, test := range map[string]struct {
		held []catalog.LoadedModel
		want bool
	}{
		"own":     {[]catalog.LoadedModel{{Name: "base"}}, true},
		"another": {[]catalog.LoadedModel{{Name: "other"}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newLedgerFixture(t, catalog.Report{OrderCount: 8})
			send := fixture.requestOrder(cluster.OrderLoad, baseModel, false)
			fixture.step(OrderAnswered{Machine: testMachine, Number: send.Number, Err: errors.New("no answer")})
			fixture.advance(time.Second)
			again := sentOrder(fixture.step(Tick{}))
			fixture.step(OrderAnswered{Machine: testMachine, Number: again.Number, Outcome: OutcomeConflict})
			fixture.advance(time.Second)
			fixture.report(catalog.Report{OrderCount: 9, Busy: true})
			if other := fixture.requestOrder(cluster.OrderLoad, otherModel, false); other != nil {
				t.Fatalf("ordered %+v while it is unknown which order the engine carries out", other)
			}
			fixture.advance(5 * time.Second)
			fixture.report(catalog.Report{OrderCount: 9, Held: test.held})
			if state, held := fixture.replicaStates()[baseModel]; held != test.want || held && state != cluster.ReplicaLoaded {
				t.Fatalf("states %v, want the own model held: %t", fixture.replicaStates(), test.want)
			}
		})
	}
}

// TestEngineWithoutReportCountsAsBusy guards against loads planned on an engine that
// doesn't answer the request for its report.
func TestEngineWithoutReportCountsAsBusy(t *testing.T) {
	fixture := &ledgerFixture{t: t, ledger: New(), now: time.Unix(1000, 0)}
	fixture.step(MachineSeen{Worker: catalog.Worker{ID: testMachine, Service: "svc", Address: "a:1"}, MemoryBytes: 100})
	fixture.step(TermBegan{Holder: "n1", Token: 7})
	fixture.advance(time.Second)
	busy := func() bool {
		fixture.step(Tick{})
		return fixture.ledger.Machines(func(cluster.ModelID) int64 { return 0 })[0].Busy
	}
	if fixture.requestOrder(cluster.OrderLoad, baseModel, false) != nil || busy() {
		t.Fatal("the report is asked for before the first order, and may still come")
	}
	fixture.advance(100 * time.Millisecond)
	if !busy() {
		t.Fatal("an engine that does not answer the request for its report is not busy")
	}
	fixture.step(ReportRead{Machine: testMachine, Err: errors.New("no answer")})
	if !busy() {
		t.Fatal("an engine that did not report is not busy")
	}
	fixture.report(catalog.Report{})
	if busy() {
		t.Fatal("an engine that has reported is busy")
	}
}

// TestEntryThatNewlyNamesModelCompletesLoad: an engine writes its registry entry when a
// load is done, before its reports show it. An entry that named the model before the load
// is no evidence of the load.
func TestEntryThatNewlyNamesModelCompletesLoad(t *testing.T) {
	entry := func(models ...string) MachineSeen {
		worker := catalog.Worker{ID: testMachine, Service: "svc", Address: "a:1"}
		for _, name := range models {
			worker.LoadedModels = append(worker.LoadedModels, catalog.LoadedModel{Name: name})
		}
		return MachineSeen{Worker: worker, MemoryBytes: 100, AdapterSlots: 8}
	}
	for name, test := range map[string]struct {
		before []string
		want   cluster.ReplicaState
	}{
		"newly named": {nil, cluster.ReplicaLoaded},
		"named since": {[]string{"base"}, cluster.ReplicaLoading},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newLedgerFixture(t, catalog.Report{OrderCount: 3})
			fixture.step(entry(test.before...))
			send := fixture.requestOrder(cluster.OrderLoad, baseModel, false)
			fixture.step(OrderAnswered{Machine: testMachine, Number: send.Number, Outcome: OutcomeTaken})
			fixture.advance(900 * time.Millisecond)
			fixture.step(entry("base"))
			if got := fixture.replicaStates()[baseModel]; got != test.want {
				t.Fatalf("state %s, want %s", got, test.want)
			}
			next := fixture.requestOrder(cluster.OrderLoad, otherModel, false)
			if (next != nil) != (test.want == cluster.ReplicaLoaded) {
				t.Fatalf("sent %+v after a load in state %s", next, test.want)
			}
		})
	}
}

package sequence

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
)

const (
	testMachine = cluster.MachineID("m1")
	baseModel   = cluster.ModelID("svc/base")
	otherModel  = cluster.ModelID("svc/other")
	adapter     = cluster.ModelID("svc/base/a1")
)

// ledgerFixture drives a ledger of one machine.
type ledgerFixture struct {
	t      *testing.T
	ledger *Ledger
	now    time.Time
}

// newLedgerFixture returns a ledger in a term whose machine has reported.
func newLedgerFixture(t *testing.T, report catalog.Report) *ledgerFixture {
	t.Helper()
	f := &ledgerFixture{t: t, ledger: New(), now: time.Unix(1000, 0)}
	f.step(MachineSeen{Worker: catalog.Worker{ID: testMachine, Service: "svc", Address: "a:1"}, MemoryBytes: 100, AdapterSlots: 8})
	f.step(TermBegan{Holder: "n1", Token: 7})
	f.advance(time.Second)
	f.report(report)
	return f
}

func (f *ledgerFixture) step(event Event) []Effect { return f.ledger.Step(f.now, event) }

func (f *ledgerFixture) advance(d time.Duration) { f.now = f.now.Add(d) }

func (f *ledgerFixture) report(report catalog.Report) []Effect {
	return f.step(ReportRead{Machine: testMachine, Report: report})
}

// requestOrder asks for an order and returns the one sent, nil for none.
func (f *ledgerFixture) requestOrder(kind cluster.OrderKind, model cluster.ModelID, isAdapter bool) *SendOrder {
	f.t.Helper()
	return sentOrder(f.step(OrderRequested{Machine: testMachine, Kind: kind, Model: model, Bytes: 40, Adapter: isAdapter, ExpectedTime: time.Second}))
}

func sentOrder(effects []Effect) *SendOrder {
	for _, effect := range effects {
		if send, ok := effect.(SendOrder); ok {
			return &send
		}
	}
	return nil
}

// replicaStates returns the state of each replica as the planner sees it.
func (f *ledgerFixture) replicaStates() map[cluster.ModelID]cluster.ReplicaState {
	states := map[cluster.ModelID]cluster.ReplicaState{}
	for _, machine := range f.ledger.Machines(func(cluster.ModelID) int64 { return 0 }) {
		for _, slot := range machine.Replicas {
			states[slot.Model] = slot.State
		}
	}
	return states
}

func (f *ledgerFixture) sealed() bool {
	return f.ledger.Machines(func(cluster.ModelID) int64 { return 0 })[0].Sealed
}

package sequence

import (
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
)

// Order is an order to one engine.
type Order struct {
	Machine cluster.MachineID
	Kind    cluster.OrderKind
	Model   cluster.ModelID
	// Expected is how many orders the engine must have taken.
	Expected int64
	// Holder and Token of the lease under which the order is given.
	Holder cluster.NodeID
	Token  cluster.FencingToken
}

// Outcome is what an engine answered to an order.
type Outcome uint8

// The outcomes.
const (
	// OutcomeInvalid orders can't be carried out as they are.
	OutcomeInvalid Outcome = iota
	// OutcomeTaken orders are being carried out.
	OutcomeTaken
	// OutcomeHolds means that what was ordered holds.
	OutcomeHolds
	// OutcomeConflict means that another order is under way or that the engine
	// has taken another number of orders.
	OutcomeConflict
	// OutcomeStale means that the engine has seen a larger token.
	OutcomeStale
	// OutcomeOtherMachine means that another machine answers at the address.
	OutcomeOtherMachine
)

// String returns the name used in logs.
func (o Outcome) String() string {
	switch o {
	case OutcomeTaken:
		return "taken"
	case OutcomeHolds:
		return "holds"
	case OutcomeConflict:
		return "conflict"
	case OutcomeStale:
		return "stale token"
	case OutcomeOtherMachine:
		return "other machine"
	default:
		return "invalid"
	}
}

// Event is an input of the ledger.
type Event interface{ sequenceEvent() }

// TermBegan begins a term as holder of the lease with a token.
type TermBegan struct {
	Holder cluster.NodeID
	Token  cluster.FencingToken
}

// TermEnded ends the term: no more orders are given.
type TermEnded struct{}

// MachineSeen brings a machine's entry, as it is new or has changed.
type MachineSeen struct {
	Worker catalog.Worker
	// MemoryBytes and AdapterSlots of the machine's engine.
	MemoryBytes  int64
	AdapterSlots int
}

// MachineGone says that a machine's entry is gone.
type MachineGone struct{ Machine cluster.MachineID }

// Ordered asks to give an order. It is passed over when the machine takes none
// at present; the next plan asks again.
type Ordered struct {
	Machine cluster.MachineID
	Kind    cluster.OrderKind
	Model   cluster.ModelID
	// Bytes that the model takes there.
	Bytes int64
	// Adapter is true for adapters, which engines load beside other orders.
	Adapter bool
	// ExpectedTime of a load.
	ExpectedTime time.Duration
}

// Answered brings the answer to the SendOrder of the same number. With Err the
// outcome is unknown.
type Answered struct {
	Machine cluster.MachineID
	Number  uint64
	Outcome Outcome
	Err     error
}

// ReportRead brings the answer to a ReadReport.
type ReportRead struct {
	Machine cluster.MachineID
	Report  catalog.Report
	Err     error
}

// Tick lets time pass.
type Tick struct{}

func (TermBegan) sequenceEvent()   {}
func (TermEnded) sequenceEvent()   {}
func (MachineSeen) sequenceEvent() {}
func (MachineGone) sequenceEvent() {}
func (Ordered) sequenceEvent()     {}
func (Answered) sequenceEvent()    {}
func (ReportRead) sequenceEvent()  {}
func (Tick) sequenceEvent()        {}

// Effect is an output of the ledger.
type Effect interface{ sequenceEffect() }

// SendOrder sends an order to an engine. Every sending has a number of its own.
type SendOrder struct {
	Address string
	Number  uint64
	Order   Order
}

// ReadReport reads an engine's report.
type ReadReport struct {
	Machine cluster.MachineID
	Address string
}

// ReplicaChanged says that a replica is in another state.
type ReplicaChanged struct {
	Machine cluster.MachineID
	Model   cluster.ModelID
	State   cluster.ReplicaState
	// ReadyIn is the expected time until a loading replica is loaded.
	ReadyIn time.Duration
	// Took is how long it was in the state before.
	Took time.Duration
}

// Superseded says that an engine follows a later holder: the term is over.
type Superseded struct{ Machine cluster.MachineID }

func (SendOrder) sequenceEffect()      {}
func (ReadReport) sequenceEffect()     {}
func (ReplicaChanged) sequenceEffect() {}
func (Superseded) sequenceEffect()     {}

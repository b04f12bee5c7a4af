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
	// Expected is the number of orders that the engine must have taken so far.
	Expected int64
	// Holder and Token identify the lease under which the order is given.
	Holder cluster.NodeID
	Token  cluster.FencingToken
}

// Outcome is an engine's answer to an order.
type Outcome uint8

// The outcomes of an order.
const (
	// OutcomeInvalid means that the engine can't carry out the order as it stands.
	OutcomeInvalid Outcome = iota
	// OutcomeTaken means that the engine is carrying out the order.
	OutcomeTaken
	// OutcomeAlreadyDone means that the ordered state already holds.
	OutcomeAlreadyDone
	// OutcomeConflict means that the engine is carrying out another order or has taken a
	// different number of orders.
	OutcomeConflict
	// OutcomeStaleToken means that the engine has seen a larger fencing token.
	OutcomeStaleToken
	// OutcomeOtherMachine means that a different machine answers at the address.
	OutcomeOtherMachine
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	switch o {
	case OutcomeTaken:
		return "taken"
	case OutcomeAlreadyDone:
		return "holds"
	case OutcomeConflict:
		return "conflict"
	case OutcomeStaleToken:
		return "stale token"
	case OutcomeOtherMachine:
		return "other machine"
	default:
		return "invalid"
	}
}

// Event is an input of the ledger.
type Event interface{ sequenceEvent() }

// TermBegan starts a term: this node holds the lease with the token.
type TermBegan struct {
	Holder cluster.NodeID
	Token  cluster.FencingToken
}

// TermEnded ends the term: no more orders are given.
type TermEnded struct{}

// MachineSeen carries the registry entry of a machine that is new or has changed.
type MachineSeen struct {
	Worker catalog.Worker
	// MemoryBytes and AdapterSlots are the capacity of the machine's engine.
	MemoryBytes  int64
	AdapterSlots int
}

// MachineGone reports that a machine's registry entry was deleted.
type MachineGone struct{ Machine cluster.MachineID }

// OrderRequested asks for an order to a machine. It is dropped if the machine can't take one now;
// the next plan asks again.
type OrderRequested struct {
	Machine cluster.MachineID
	Kind    cluster.OrderKind
	Model   cluster.ModelID
	// Bytes is the memory that the model takes on the machine.
	Bytes int64
	// Adapter is true for adapters, which engines load without staying busy for other
	// orders.
	Adapter bool
	// ExpectedTime is the expected duration of a load.
	ExpectedTime time.Duration
}

// OrderAnswered carries the answer to the SendOrder with the same number. If Err is set, the
// outcome is unknown.
type OrderAnswered struct {
	Machine cluster.MachineID
	Number  uint64
	Outcome Outcome
	Err     error
}

// ReportRead carries the answer to a ReadReport.
type ReportRead struct {
	Machine cluster.MachineID
	Report  catalog.Report
	Err     error
}

// Tick reports that time has passed.
type Tick struct{}

func (TermBegan) sequenceEvent()      {}
func (TermEnded) sequenceEvent()      {}
func (MachineSeen) sequenceEvent()    {}
func (MachineGone) sequenceEvent()    {}
func (OrderRequested) sequenceEvent() {}
func (OrderAnswered) sequenceEvent()  {}
func (ReportRead) sequenceEvent()     {}
func (Tick) sequenceEvent()           {}

// Effect is an output of the ledger, to be carried out by the caller.
type Effect interface{ sequenceEffect() }

// SendOrder asks the caller to send an order to an engine. Each send, also of the same
// order, has its own number.
type SendOrder struct {
	Address string
	Number  uint64
	Order   Order
}

// ReadReport asks the caller to read an engine's report.
type ReadReport struct {
	Machine cluster.MachineID
	Address string
}

// ReplicaChanged reports that a replica's state has changed.
type ReplicaChanged struct {
	Machine cluster.MachineID
	Model   cluster.ModelID
	State   cluster.ReplicaState
	// ReadyIn is the expected time until a loading replica is loaded.
	ReadyIn time.Duration
	// Took is how long the replica was in its former state.
	Took time.Duration
}

// Superseded reports that an engine follows a later lease holder, so the term is over.
type Superseded struct{ Machine cluster.MachineID }

func (SendOrder) sequenceEffect()      {}
func (ReadReport) sequenceEffect()     {}
func (ReplicaChanged) sequenceEffect() {}
func (Superseded) sequenceEffect()     {}

package fleet

import (
	"time"

	"github.com/valveslip/valveslip/authority/sequence"
	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/keyvalue/lease"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/wire"
)

// Event is an input of the core.
type Event interface{ fleetEvent() }

// Tick lets time pass. The shell sends one at least at Core.NextDue.
type Tick struct{}

// ConfigurationRead brings a configuration that was read from the store.
type ConfigurationRead struct{ Compiled *catalog.Compiled }

// WorkersRead brings machines' entries. With Full, machines that are not named
// are gone.
type WorkersRead struct {
	Workers []catalog.Worker
	Gone    []cluster.MachineID
	Full    bool
	// Restarted are later starts of machines that are gone.
	Restarted []routing.MachineRestarted
	// Unread are machines whose entries can't be read. Such an entry counts later than one
	// of Workers of the same machine.
	Unread []UnreadWorker
	// Revision of the store that the entries were read at.
	Revision int64
}

// UnreadWorker is a machine whose entry can't be read.
type UnreadWorker struct {
	ID cluster.MachineID
	// Leaving is set when the entry says as much as that the machine is not ready.
	Leaving bool
	// Cause is why it can't be read.
	Cause string
}

// NodesRead brings the entries of nodes. With Full, nodes that are not named
// are gone.
type NodesRead struct {
	Nodes []NodeEntry
	Gone  []cluster.NodeID
	Full  bool
}

// HolderRead brings the record of the lease under which orders are given; an
// empty node means that there is none.
type HolderRead struct {
	Node  NodeEntry
	Token cluster.FencingToken
}

// LastHolderRead brings the record of the machine that gave orders last.
type LastHolderRead struct {
	Node NodeEntry
	// Revision of the record.
	Revision int64
}

// PoisonStored is a record of the store on a request that ends machines.
type PoisonStored struct {
	Record poison.Record
	// Tests are how often a node was let send the request once more, Tester the last one.
	// EndsBefore is how many machines had ended under the request by then.
	Tests      int
	Tester     cluster.NodeID
	EndsBefore int
	Revision   int64
}

// PoisonRead brings such records. With Full, requests that are not named have none; the
// records of Gone were deleted.
type PoisonRead struct {
	Records []PoisonStored
	// Unread are records that can't be read: only their fingerprints and revisions count.
	Unread []PoisonStored
	Gone   []poison.Fingerprint
	Full   bool
}

// StoreSynced says that everything that was in the store has been read.
type StoreSynced struct{}

// Paused says that this process stood still, so that what it knows is old until
// StoreSynced.
type Paused struct{ For time.Duration }

// KeysProven says that the configuration in force was the newest one at a time.
type KeysProven struct{ At time.Time }

// RoutingInput brings an event of the request path.
type RoutingInput struct{ Event routing.Event }

// MessageReceived brings a message of another node.
type MessageReceived struct{ Message wire.Message }

// LeaseAnswered brings the answer to an awaited LeaseCall.
type LeaseAnswered struct {
	Record Record
	Answer lease.Answer
}

// StoreWritten brings the answer to a StoreWrite; no error when the key was written, or had
// a value already.
type StoreWritten struct {
	Key string
	Err error
}

// TicketTaken says that the key of a StoreTicket was written.
type TicketTaken struct {
	Shard  int
	Number int64
}

// OrderAnswered brings the answer to a SendOrder.
type OrderAnswered struct {
	Answer sequence.Answered
	Order  sequence.Order
	Took   time.Duration
}

// ReportRead brings the answer to a ReadReport.
type ReportRead struct{ Read sequence.ReportRead }

// DrainStarted closes admission and gives the lease up.
type DrainStarted struct{}

// ResignStarted gives the lease up at the beginning of a planned stop.
type ResignStarted struct{}

func (Tick) fleetEvent()              {}
func (ConfigurationRead) fleetEvent() {}
func (WorkersRead) fleetEvent()       {}
func (NodesRead) fleetEvent()         {}
func (HolderRead) fleetEvent()        {}
func (LastHolderRead) fleetEvent()    {}
func (PoisonRead) fleetEvent()        {}
func (StoreWritten) fleetEvent()      {}
func (TicketTaken) fleetEvent()       {}
func (StoreSynced) fleetEvent()       {}
func (Paused) fleetEvent()            {}
func (KeysProven) fleetEvent()        {}
func (RoutingInput) fleetEvent()      {}
func (MessageReceived) fleetEvent()   {}
func (LeaseAnswered) fleetEvent()     {}
func (OrderAnswered) fleetEvent()     {}
func (ReportRead) fleetEvent()        {}
func (DrainStarted) fleetEvent()      {}
func (ResignStarted) fleetEvent()     {}

// Effect is an output of the core.
type Effect interface{ fleetEffect() }

// RoutingOutput hands an effect to the request path.
type RoutingOutput struct{ Effect routing.Effect }

// SendMessage sends a message to another node; it may be lost.
type SendMessage struct {
	Address string
	Message wire.Message
}

// Record is one of the records that a node keeps under a lease.
type Record uint8

// The records.
const (
	// RecordNode says that the node lives.
	RecordNode Record = iota + 1
	// RecordHolder says that the node gives orders.
	RecordHolder
)

// LeaseCall makes a call for one of the records.
type LeaseCall struct {
	Record  Record
	Call    lease.Call
	Awaited bool
}

// StoreWrite writes a key that must be absent to the store, or with Delete deletes the one
// of a revision.
type StoreWrite struct {
	Key      string
	Value    []byte
	Delete   bool
	Revision int64
}

// StoreTicket writes a key that must be absent and that lasts for a time; TicketTaken answers
// if it was written.
type StoreTicket struct {
	Key    string
	Lasts  time.Duration
	Shard  int
	Number int64
}

// SendOrder sends an order to an engine.
type SendOrder struct{ Send sequence.SendOrder }

// ReadReport reads an engine's report.
type ReadReport struct{ Read sequence.ReadReport }

// PeersSettled says that the live nodes, Core.Nodes, have changed: whoever makes something of
// all of them does so now.
type PeersSettled struct{}

// Log writes a line.
type Log struct{ Line eventlog.Event }

func (RoutingOutput) fleetEffect() {}
func (SendMessage) fleetEffect()   {}
func (LeaseCall) fleetEffect()     {}
func (StoreWrite) fleetEffect()    {}
func (StoreTicket) fleetEffect()   {}
func (SendOrder) fleetEffect()     {}
func (ReadReport) fleetEffect()    {}
func (PeersSettled) fleetEffect()  {}
func (Log) fleetEffect()           {}

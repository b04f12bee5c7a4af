package node

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/weights"
	"github.com/valveslip/valveslip/wire"
)

// Event is an input of the composed core. A shell (the real node or the simulator)
// passes events one at a time.
type Event interface{ nodeEvent() }

// Tick signals the passing of time; shells send one every TickInterval.
type Tick struct{}

// MessageReceived is a message from a peer.
type MessageReceived struct{ Message wire.Message }

// RoutingInput is an event of the request path.
type RoutingInput struct{ Event routing.Event }

// KeyValueAnswered is the answer to the KeyValueCall with the same ID. Err is nil or a
// *verdict.Error: MayHaveRun when the answer was lost.
type KeyValueAnswered struct {
	ID       uint64
	Pairs    []keyvalue.KeyValue
	Revision keyvalue.Revision
	Txn      keyvalue.TransactionResult
	Lease    int64
	TTL      time.Duration
	Err      error
}

// WatchDelivered is a batch of changes from the watch that the call with this ID
// started.
type WatchDelivered struct {
	ID    uint64
	Batch keyvalue.WatchBatch
}

// WatchEnded reports that a watch has failed.
type WatchEnded struct {
	ID  uint64
	Err error
}

// EngineAnswered is the answer to an EngineCall. Err is nil, an
// *engine.StaleTokenError or any other error; after another error the effect of an
// order is unknown.
type EngineAnswered struct {
	Call      EngineCall
	Inventory cluster.Inventory
	Report    cluster.LoadReport
	Err       error
}

// MachinesListed is the platform's machine list, or the error of reading it.
type MachinesListed struct {
	Machines []cluster.Machine
	Version  uint64
	Err      error
}

// StoreStatusRead is the weight store's status, or the error of reading it.
type StoreStatusRead struct {
	Status weights.Status
	Err    error
}

// EditCommitted is a settings edit that the administration API of this node has just
// committed. It applies here without waiting for a controller's watch.
type EditCommitted struct {
	History string
	Entry   settings.Entry
}

// DrainStarted starts a graceful stop.
type DrainStarted struct{}

func (Tick) nodeEvent()             {}
func (MessageReceived) nodeEvent()  {}
func (RoutingInput) nodeEvent()     {}
func (KeyValueAnswered) nodeEvent() {}
func (WatchDelivered) nodeEvent()   {}
func (WatchEnded) nodeEvent()       {}
func (EngineAnswered) nodeEvent()   {}
func (MachinesListed) nodeEvent()   {}
func (StoreStatusRead) nodeEvent()  {}
func (EditCommitted) nodeEvent()    {}
func (DrainStarted) nodeEvent()     {}

// Effect is an output of the composed core, carried out by the shell.
type Effect interface{ nodeEffect() }

// SendMessage sends a message to the peer listening at Address. The message may be
// lost.
type SendMessage struct {
	Address string
	Message wire.Message
}

// KeyValueOperation is the type of a KeyValueCall.
type KeyValueOperation uint8

// The operations of the key-value service.
const (
	KeyValueRange KeyValueOperation = iota + 1
	KeyValueTxn
	KeyValueGrant
	KeyValueKeepAlive
	KeyValueRevoke
	KeyValueWatch
)

// KeyValueCall asks the shell to call the key-value service.
type KeyValueCall struct {
	ID        uint64
	Operation KeyValueOperation
	// Prefix is used by KeyValueRange and KeyValueWatch.
	Prefix string
	// StartRevision is used by KeyValueWatch.
	StartRevision keyvalue.Revision
	Txn           keyvalue.Transaction
	Lease         int64
	TTL           time.Duration
}

// EngineOperation is the type of an EngineCall.
type EngineOperation uint8

// The control operations of an engine.
const (
	EngineSeal EngineOperation = iota + 1
	EngineOrder
	EngineInventory
	EngineReport
	EngineMoveCache
)

// EngineCall asks the shell to call an engine's control API.
type EngineCall struct {
	Operation EngineOperation
	Machine   cluster.Machine
	Token     cluster.FencingToken
	Order     cluster.Order
	// Target, Model and Version are used by EngineMoveCache, which copies the model's KV
	// cache from Machine to Target.
	Target  cluster.Machine
	Model   cluster.ModelID
	Version string
}

// ListMachines asks the shell to read the machine list.
type ListMachines struct{}

// ReadStoreStatus asks the shell to read the weight store's status.
type ReadStoreStatus struct{}

// RoutingOutput passes an effect of the routing core to the request path.
type RoutingOutput struct{ Effect routing.Effect }

// SettingsApplied reports that the snapshot now applies to all decisions.
type SettingsApplied struct{ Snapshot *settings.Snapshot }

// SettingsRejected reports that new settings could not be applied. The previous ones
// stay in force; an operator must act.
type SettingsRejected struct {
	Stamp settings.Stamp
	Err   error
}

// RecordUnreadable reports that the data stored in the key-value service at a key, or
// below it, cannot be decoded. The previously known data stays in use.
type RecordUnreadable struct {
	Key string
	Err error
}

// PlanMade reports a plan that this node made as controller.
type PlanMade struct {
	Zone cluster.ZoneID
	Plan placement.Plan
}

// DrainCompleted reports that a graceful stop is complete.
type DrainCompleted struct{}

func (SendMessage) nodeEffect()      {}
func (KeyValueCall) nodeEffect()     {}
func (EngineCall) nodeEffect()       {}
func (ListMachines) nodeEffect()     {}
func (ReadStoreStatus) nodeEffect()  {}
func (RoutingOutput) nodeEffect()    {}
func (SettingsApplied) nodeEffect()  {}
func (SettingsRejected) nodeEffect() {}
func (RecordUnreadable) nodeEffect() {}
func (PlanMade) nodeEffect()         {}
func (DrainCompleted) nodeEffect()   {}

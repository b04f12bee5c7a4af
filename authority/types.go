package authority

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
)

// Event is an input of the controller core of one cell.
type Event interface{ authorityEvent() }

// LeaseAcquired says that the cell's lease record was written with this token;
// the key-value service promised it for TTL from SentAt, the time at which the
// request was sent.
type LeaseAcquired struct {
	Token  cluster.FencingToken
	SentAt time.Time
	TTL    time.Duration
}

// LeaseRenewed extends the lease; SentAt is when the renewal was sent.
type LeaseRenewed struct {
	SentAt time.Time
	TTL    time.Duration
}

// LeaseLost says that the record has gone or names another holder.
type LeaseLost struct{}

// LeaseUnreachable says that the service did not answer. While it is
// unreachable the holder goes on beyond the lease's end: the engines' tokens,
// not the clock, keep two controllers apart.
type LeaseUnreachable struct {
	// Unknown is true when the call may have taken effect. It is repeated
	// sooner then: the record may already keep others from the cell.
	Unknown bool
}

// MachinesListed brings the zone's part of the machine list.
type MachinesListed struct{ Machines []cluster.Machine }

// AllotmentRead brings the zone's allotment record. ReadRevision is the global
// revision at which it was read or watched; a read from before the lease was
// acquired is ignored, because a later record may have lowered a count.
type AllotmentRead struct {
	Allotment    cluster.Allotment
	ReadRevision int64
}

// Sealed brings the answer to a seal.
type Sealed struct{ Inventory cluster.Inventory }

// InventoryRead brings a later inventory. Order is the ID of the order that it
// answers, empty for a plain read; the answer to an order settles it.
type InventoryRead struct {
	Inventory cluster.Inventory
	Order     string
}

// OrderRefused says that the engine refused the order for good, for another
// reason than a stale token: it will never take effect.
type OrderRefused struct {
	Machine cluster.MachineID
	Order   string
}

// Resign gives the cell up for a planned stop.
type Resign struct{}

// EngineUnreachable says that a seal, order or inventory call had no answer;
// whether an order took effect is unknown until an inventory is read.
type EngineUnreachable struct{ Machine cluster.MachineID }

// StaleToken says that an engine follows a later controller.
type StaleToken struct {
	Machine cluster.MachineID
	Held    cluster.FencingToken
}

// PlanMade brings a plan made from the controller's last State.
type PlanMade struct{ Plan placement.Plan }

// Tick lets time pass.
type Tick struct{}

func (LeaseAcquired) authorityEvent()     {}
func (LeaseRenewed) authorityEvent()      {}
func (LeaseLost) authorityEvent()         {}
func (LeaseUnreachable) authorityEvent()  {}
func (MachinesListed) authorityEvent()    {}
func (AllotmentRead) authorityEvent()     {}
func (Sealed) authorityEvent()            {}
func (InventoryRead) authorityEvent()     {}
func (EngineUnreachable) authorityEvent() {}
func (StaleToken) authorityEvent()        {}
func (OrderRefused) authorityEvent()      {}
func (Resign) authorityEvent()            {}
func (PlanMade) authorityEvent()          {}
func (Tick) authorityEvent()              {}

// Effect is an output of the controller core.
type Effect interface{ authorityEffect() }

// AcquireLease asks the shell to write the cell's lease record if absent.
type AcquireLease struct{ Zone cluster.ZoneID }

// RenewLease asks the shell to keep the lease alive.
type RenewLease struct{}

// ReleaseLease asks the shell to delete the record and revoke the lease.
type ReleaseLease struct{}

// SealMachine asks the shell to seal one machine with the token.
type SealMachine struct {
	Machine cluster.Machine
	Token   cluster.FencingToken
}

// ReadInventory asks the shell to read one machine's inventory.
type ReadInventory struct{ Machine cluster.Machine }

// SendOrder asks the shell to give a fenced order. Memory is already reserved.
type SendOrder struct {
	Machine cluster.Machine
	Order   cluster.Order
}

// SteppedDown says that the controller gave up its cell.
type SteppedDown struct{ Cause string }

func (AcquireLease) authorityEffect()  {}
func (RenewLease) authorityEffect()    {}
func (ReleaseLease) authorityEffect()  {}
func (SealMachine) authorityEffect()   {}
func (ReadInventory) authorityEffect() {}
func (SendOrder) authorityEffect()     {}
func (SteppedDown) authorityEffect()   {}

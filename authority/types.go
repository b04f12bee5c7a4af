package authority

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
)

// Event is an input of a zone's Controller.
type Event interface{ authorityEvent() }

// LeaseAcquired reports that the zone's lease record was written with this token. The
// lease lasts for TTL from SentAt, the time at which the request was sent.
type LeaseAcquired struct {
	Token  cluster.FencingToken
	SentAt time.Time
	TTL    time.Duration
}

// LeaseRenewed reports a renewal of the lease for TTL from SentAt, the time at which the
// request was sent.
type LeaseRenewed struct {
	SentAt time.Time
	TTL    time.Duration
}

// LeaseLost reports that the lease record was deleted or names another holder.
type LeaseLost struct{}

// LeaseUnreachable reports that the key-value service did not answer. The lease holder
// continues even past the end of the lease: the fencing tokens stored by the engines, not
// the clock, keep two controllers apart.
type LeaseUnreachable struct {
	// Unknown is true when the call may have taken effect. The call is then repeated
	// sooner, because the written record may already keep other nodes from acquiring the
	// lease.
	Unknown bool
}

// MachinesListed carries the zone's part of the machine list.
type MachinesListed struct{ Machines []cluster.Machine }

// AllotmentRead carries the zone's allotment. ReadRevision is the global revision of the
// key-value service at which it was read or watched. A read from before the lease was
// acquired is ignored, because a later record may have lowered a count.
type AllotmentRead struct {
	Allotment    cluster.Allotment
	ReadRevision int64
}

// Sealed carries an engine's answer to a seal.
type Sealed struct{ Inventory cluster.Inventory }

// InventoryRead carries an inventory read after the seal. Order is the ID of the order
// that the inventory answers, empty for a plain read. The answer to an order settles the
// order.
type InventoryRead struct {
	Inventory cluster.Inventory
	Order     string
}

// OrderRefused reports that the engine refused the order permanently, for a reason other
// than a stale token: the order will never take effect.
type OrderRefused struct {
	Machine cluster.MachineID
	Order   string
}

// Resign asks the controller to release the lease for a planned stop.
type Resign struct{}

// EngineUnreachable reports that a seal, order or inventory call had no answer. Whether an
// order took effect is unknown until an inventory is read.
type EngineUnreachable struct{ Machine cluster.MachineID }

// StaleToken reports that an engine follows a controller with a larger token.
type StaleToken struct {
	Machine cluster.MachineID
	Held    cluster.FencingToken
}

// PlanMade carries a plan computed from the controller's last State.
type PlanMade struct{ Plan placement.Plan }

// Tick reports that time has passed.
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

// Effect is an output of a zone's Controller, to be carried out by the caller.
type Effect interface{ authorityEffect() }

// AcquireLease asks the caller to write the zone's lease record if it is absent.
type AcquireLease struct{ Zone cluster.ZoneID }

// RenewLease asks the caller to renew the lease.
type RenewLease struct{}

// ReleaseLease asks the caller to delete the lease record and revoke the lease.
type ReleaseLease struct{}

// SealMachine asks the caller to seal one machine with the token.
type SealMachine struct {
	Machine cluster.Machine
	Token   cluster.FencingToken
}

// ReadInventory asks the caller to read one machine's inventory.
type ReadInventory struct{ Machine cluster.Machine }

// SendOrder asks the caller to send a fenced order. The ledger has already reserved the
// order's memory.
type SendOrder struct {
	Machine cluster.Machine
	Order   cluster.Order
}

// SteppedDown reports that the controller gave up its zone.
type SteppedDown struct{ Cause string }

func (AcquireLease) authorityEffect()  {}
func (RenewLease) authorityEffect()    {}
func (ReleaseLease) authorityEffect()  {}
func (SealMachine) authorityEffect()   {}
func (ReadInventory) authorityEffect() {}
func (SendOrder) authorityEffect()     {}
func (SteppedDown) authorityEffect()   {}

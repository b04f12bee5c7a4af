package fleet

import (
	"time"

	"github.com/valveslip/valveslip/authority/sequence"
	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/keyvalue/lease"
	"github.com/valveslip/valveslip/reachability"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/wire"
)

// Event is an input of the core.
type Event interface{ fleetEvent() }

// Tick advances the core's time. The shell sends one at Core.NextDue at the latest.
type Tick struct{}

// ConfigurationRead delivers a configuration that was read from the store or by another node.
type ConfigurationRead struct {
	Compiled *catalog.Compiled
	// Value is the stored form.
	Value []byte
}

// Events that deliver records of the store have a field Restored. It is set if the store came back from
// a copy since the last ones: what the copy lacks may have been lost, and what it has may be outdated.
// EraBegan follows them.

// WorkersRead delivers machines' entries. With Full, machines that are not listed are gone.
type WorkersRead struct {
	Workers  []catalog.Worker
	Gone     []cluster.MachineID
	Full     bool
	Restored bool
	// Restarted are machines of Gone that have started again.
	Restarted []routing.MachineRestarted
	// Undecodable are machines whose entries can't be decoded. Such an entry is newer than an entry
	// of the same machine in Workers.
	Undecodable []UndecodableWorker
	// Revision is the store revision at which the entries were read.
	Revision keyvalue.Revision
}

// UndecodableWorker is a machine whose entry can't be decoded.
type UndecodableWorker struct {
	ID cluster.MachineID
	// Leaving is set if the entry at least shows that the machine is not ready.
	Leaving bool
	// Cause is the decoding error.
	Cause string
}

// NodesRead delivers the entries of nodes. With Full, nodes that are not listed are gone.
type NodesRead struct {
	Nodes    []NodeEntry
	Gone     []cluster.NodeID
	Full     bool
	Restored bool
}

// HolderRead delivers the record of the order lease. An empty node means that there is no record.
type HolderRead struct {
	Node     NodeEntry
	Token    cluster.FencingToken
	Restored bool
}

// LastHolderRead delivers the record of the machine that last gave orders.
type LastHolderRead struct {
	Node NodeEntry
	// Revision is the store revision of the record.
	Revision keyvalue.Revision
}

// StoredPoisonRecord is a stored record of a poison request.
type StoredPoisonRecord struct {
	Record poison.Record
	// Probes is how often a node was allowed to send the request once more, and Prober the node of
	// the last probe. EndsBefore is the number of machines that had ended under the request before
	// that probe.
	Probes     int
	Prober     cluster.NodeID
	EndsBefore int
	// Silent is set once the machine of that probe was silent for longer than is usual, so that another
	// probe need not wait.
	Silent   bool
	Revision keyvalue.Revision
}

// PoisonRead delivers stored records of poison requests. With Full, requests that are not listed
// have no record. The records of Gone were deleted.
type PoisonRead struct {
	Records []StoredPoisonRecord
	// Undecodable are records that can't be decoded; only their fingerprints and revisions are
	// valid.
	Undecodable []StoredPoisonRecord
	Gone        []poison.Fingerprint
	Full        bool
	Restored    bool
}

// EraBegan reports that the store has come back from a copy and that its records were delivered. The
// records that are known and were not delivered are the same as before, with revisions of the era. At the
// first read of the store, it reports the era alone.
type EraBegan struct{ Era keyvalue.Era }

// ReleasesAnswered is the answer to ReadReleases: the record as the store held it after the effect, empty without one.
type ReleasesAnswered struct {
	Record ReleaseRecord
	// Era is the era of the store.
	Era keyvalue.Era
	Err error
}

// StoreSynced reports that the whole content of the store has been read.
type StoreSynced struct{}

// Paused reports that this process was suspended, so that its state is stale until StoreSynced.
type Paused struct{ For time.Duration }

// KeysProven reports that the configuration in force was the newest one at the given time.
type KeysProven struct{ At time.Time }

// RoutingInput delivers an event of the request path.
type RoutingInput struct{ Event routing.Event }

// MessageReceived delivers a message of another node.
type MessageReceived struct{ Message wire.Message }

// LeaseAnswered delivers the answer to an awaited LeaseCall.
type LeaseAnswered struct {
	Record Record
	Answer lease.Answer
}

// StoreWritten delivers the answer to a StoreWrite. Err is nil if the key was written or had another revision, in
// which case Conflict is set.
type StoreWritten struct {
	Key      string
	Err      error
	Conflict bool
}

// TicketWritten reports that the key of a WriteTicket was written.
type TicketWritten struct {
	Shard  int
	Number int64
}

// OrderAnswered delivers the answer to a SendOrder.
type OrderAnswered struct {
	Answer sequence.OrderAnswered
	Order  sequence.Order
	Took   time.Duration
}

// ReportRead delivers the answer to a ReadReport.
type ReportRead struct{ Read sequence.ReportRead }

// MachinePathChanged reports what this node believes of its own path to machines.
type MachinePathChanged struct{ State reachability.State }

// DrainStarted stops admission of requests.
type DrainStarted struct{}

// ResignStarted gives up the order lease when a planned stop begins.
type ResignStarted struct{}

func (Tick) fleetEvent()               {}
func (ConfigurationRead) fleetEvent()  {}
func (WorkersRead) fleetEvent()        {}
func (NodesRead) fleetEvent()          {}
func (HolderRead) fleetEvent()         {}
func (LastHolderRead) fleetEvent()     {}
func (PoisonRead) fleetEvent()         {}
func (StoreWritten) fleetEvent()       {}
func (TicketWritten) fleetEvent()      {}
func (EraBegan) fleetEvent()           {}
func (ReleasesAnswered) fleetEvent()   {}
func (StoreSynced) fleetEvent()        {}
func (Paused) fleetEvent()             {}
func (KeysProven) fleetEvent()         {}
func (RoutingInput) fleetEvent()       {}
func (MessageReceived) fleetEvent()    {}
func (LeaseAnswered) fleetEvent()      {}
func (OrderAnswered) fleetEvent()      {}
func (ReportRead) fleetEvent()         {}
func (DrainStarted) fleetEvent()       {}
func (MachinePathChanged) fleetEvent() {}
func (ResignStarted) fleetEvent()      {}

// Effect is an output of the core.
type Effect interface{ fleetEffect() }

// RoutingOutput hands an effect to the request path.
type RoutingOutput struct{ Effect routing.Effect }

// SendMessage sends a message to another node; delivery is not guaranteed.
type SendMessage struct {
	Address string
	Message wire.Message
}

// Record identifies one of the records that a node keeps under a lease.
type Record uint8

// The records.
const (
	// RecordNode shows that the node is alive.
	RecordNode Record = iota + 1
	// RecordHolder shows that the node holds the order lease.
	RecordHolder
)

// LeaseCall makes a store call for the lease of one record.
type LeaseCall struct {
	Record  Record
	Call    lease.Call
	Awaited bool
}

// StoreWrite creates or replaces a key whose current revision is Revision, zero for an absent
// key. With Delete it deletes the key at that revision.
type StoreWrite struct {
	Key      string
	Value    []byte
	Delete   bool
	Revision keyvalue.Revision
}

// ReadReleases reads the record of releases from the store itself. ReleasesAnswered follows.
type ReadReleases struct{}

// WriteTicket writes a key that must be absent and that expires after Lasts. TicketWritten follows
// only if the key was written.
type WriteTicket struct {
	Key    string
	Lasts  time.Duration
	Shard  int
	Number int64
}

// SendOrder sends a load or unload order to an engine.
type SendOrder struct{ Send sequence.SendOrder }

// ReadReport reads an engine's report.
type ReadReport struct{ Read sequence.ReadReport }

// PeersChanged reports that the live nodes, Core.Nodes, have changed. State that is derived from
// all of them is recomputed on this effect.
type PeersChanged struct{}

// Log writes an event to the log.
type Log struct{ Line eventlog.Event }

func (RoutingOutput) fleetEffect() {}
func (SendMessage) fleetEffect()   {}
func (LeaseCall) fleetEffect()     {}
func (StoreWrite) fleetEffect()    {}
func (ReadReleases) fleetEffect()  {}
func (WriteTicket) fleetEffect()   {}
func (SendOrder) fleetEffect()     {}
func (ReadReport) fleetEffect()    {}
func (PeersChanged) fleetEffect()  {}
func (Log) fleetEffect()           {}

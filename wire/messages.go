package wire

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/settings"
)

// Message is implemented by every message between nodes.
type Message interface{ message() }

// MemberRecord is the state of a member as stated in a heartbeat.
type MemberRecord struct {
	Node cluster.Node
	// Incarnation is raised by the member itself to refute a suspicion.
	Incarnation uint64
	// State is "alive", "suspect", "dead" or "leaving".
	State string
}

// ControllerClaim names the holder of a zone's lease, as far as the sender knows.
type ControllerClaim struct {
	Zone  cluster.ZoneID
	Node  cluster.NodeID
	Token cluster.FencingToken
}

// Heartbeat shows that the sender is alive. It carries gossip about members, the stamp of the
// sender's configuration and the newest controller claims that the sender knows.
type Heartbeat struct {
	From        cluster.Node
	Incarnation uint64
	Sequence    uint64
	// Ack is true for the answer to a heartbeat, whose Sequence it repeats.
	Ack     bool
	Leaving bool
	Stamp   settings.Stamp
	Claims  []ControllerClaim
	Gossip  []MemberRecord
	// MembersDigest is a digest of the members that the sender regards as running, which the
	// receiver compares with its own; zero if unknown.
	MembersDigest uint64
}

// ConfigurationRequest asks a peer for the configuration after Stamp.
type ConfigurationRequest struct {
	// From and FromAddress identify the node to answer.
	From        cluster.NodeID
	FromAddress string
	Stamp       settings.Stamp
}

// ConfigurationEntry is an accepted edit.
type ConfigurationEntry struct {
	Revision int64
	// Digest is the digest of the whole tree after the edit.
	Digest uint64
	// Data is the edit as encoded by package settings.
	Data []byte
}

// ConfigurationEntries carries the edits after revision After. It answers a ConfigurationRequest or
// pushes newly accepted edits.
type ConfigurationEntries struct {
	From        cluster.NodeID
	FromAddress string
	History     string
	After       int64
	Entries     []ConfigurationEntry
}

// ConfigurationSnapshot answers a ConfigurationRequest with the whole tree.
type ConfigurationSnapshot struct {
	From        cluster.NodeID
	FromAddress string
	Stamp       settings.Stamp
	// Data is the tree as encoded by package settings.
	Data []byte
}

// ModelDemand is a router's demand for one model since its last report.
type ModelDemand struct {
	Model cluster.ModelID
	// Waiting and Running are the present numbers of waiting and running requests.
	Waiting, Running int
	// Arrivals is the number of requests since the last report. PromptTokens is the number of
	// their prompt tokens that engines have to process, at the usual speed of engines.
	Arrivals, PromptTokens int
	// OldestWait is the longest time that a waiting request has waited.
	OldestWait time.Duration
	// EarliestDeadline is the time from the sending of the message to the earliest deadline
	// of a waiting request.
	EarliestDeadline time.Duration
	// Objective is the time from a request's arrival within which its answer should begin,
	// zero if none is stated.
	Objective time.Duration
}

// ScopeDemand is a router's use of one limited scope.
type ScopeDemand struct {
	Path string
	// Requests and Tokens are the demand per second over the last interval, including refused
	// requests. Concurrency is the number of requests in flight and of those refused for
	// concurrency since the last report.
	Requests, Tokens float64
	Concurrency      int
}

// Demand reports a router's demand to the controllers of the zones that have the models' allotments.
type Demand struct {
	From     cluster.NodeID
	Zone     cluster.ZoneID
	Sequence uint64
	// Full is true if models that are not listed have no demand. Otherwise only models whose
	// demand has changed are listed.
	Full   bool
	Models []ModelDemand
	Scopes []ScopeDemand
}

// ReplicaRecord describes a replica that routers may use.
type ReplicaRecord struct {
	Machine cluster.MachineID
	Address string
	Model   cluster.ModelID
	Version string
	State   cluster.ReplicaState
	// Slots is the number of requests that the engine runs at the same time.
	Slots int
	// Leaving is set if the machine is leaving and takes no new work.
	Leaving bool
	// ReadyIn is the expected time until a loading replica is loaded, zero if unknown.
	ReadyIn time.Duration
}

// MachineLoad is the load of one machine as last reported.
type MachineLoad struct {
	Machine         cluster.MachineID
	Running, Queued int
	Age             time.Duration
}

// ScopeShare grants a router a part of a scope's limit for the time ExpiresIn.
type ScopeShare struct {
	Path             string
	Requests, Tokens float64
	Concurrency      int
	ExpiresIn        time.Duration
}

// CellStatus reports the state of a zone from its controller to the routers. Sequence numbers the
// messages with the same Token; a receiver that misses one requests a full status.
type CellStatus struct {
	Zone   cluster.ZoneID
	Region cluster.RegionID
	From   cluster.NodeID
	// FromAddress is the peer address of the controller.
	FromAddress string
	Token       cluster.FencingToken
	Sequence    uint64
	// Full is set if the message replaces the receiver's whole state of the zone. Otherwise
	// Replicas holds changed records only; a removed replica has the state ReplicaAbsent.
	Full     bool
	Replicas []ReplicaRecord
	Loads    []MachineLoad
	Shares   []ScopeShare
	// Allotted lists the models that the zone may hold, in a full status only.
	Allotted []cluster.ModelID
}

// CellStatusRequest asks a controller for a full CellStatus.
type CellStatusRequest struct {
	Zone        cluster.ZoneID
	From        cluster.NodeID
	FromAddress string
}

// ZoneReport reports from a zone's controller to the apportioner how many replicas of each model the
// zone wants and holds.
type ZoneReport struct {
	Zone  cluster.ZoneID
	Token cluster.FencingToken
	// AllotmentRevision is the revision of the allotment that the controller acts on.
	AllotmentRevision int64
	Models            []ZoneModelReport
	Machines          int
	FreeBytes         int64
	// Pools lists the machines by engine pool, sorted by pool.
	Pools []PoolReport
}

// PoolReport lists the machines of one engine pool, sorted.
type PoolReport struct {
	Pool     string
	Machines []cluster.MachineID
}

// ZoneModelReport holds the replicas of one model in a ZoneReport.
type ZoneModelReport struct {
	Model cluster.ModelID
	// Wanted is the number of replicas that the demand calls for. Held is the number of
	// replicas in any state, including unknown.
	Wanted, Held int
}

// InspectionRequest asks a node for its data on a subject, on behalf of an operator.
type InspectionRequest struct {
	From        cluster.NodeID
	FromAddress string
	// Number identifies the request in the answer.
	Number uint64
	// Subject and Key name the requested data, such as "decisions" and a model.
	Subject, Key string
}

// InspectionAnswer answers an InspectionRequest.
type InspectionAnswer struct {
	From   cluster.NodeID
	Number uint64
	// Found is false if the node has no data on the subject.
	Found bool
	// Data is the JSON that the administration API returns.
	Data []byte
}

func (Heartbeat) message()             {}
func (ConfigurationRequest) message()  {}
func (ConfigurationEntries) message()  {}
func (ConfigurationSnapshot) message() {}
func (Demand) message()                {}
func (CellStatus) message()            {}
func (CellStatusRequest) message()     {}
func (ZoneReport) message()            {}
func (StoreChanges) message()          {}
func (StoreChangesRequest) message()   {}
func (StoreSnapshotRequest) message()  {}
func (StoreSnapshot) message()         {}
func (ClockTold) message()             {}
func (LenderClaim) message()           {}
func (LenderVote) message()            {}
func (TokensRequest) message()         {}
func (TokensAnswer) message()          {}
func (EngineRequest) message()         {}
func (EngineAnswer) message()          {}
func (EngineNews) message()            {}
func (MachineLimit) message()          {}
func (TurnRequest) message()           {}
func (TurnAnswer) message()            {}
func (TurnReturned) message()          {}
func (InspectionRequest) message()     {}
func (InspectionAnswer) message()      {}

// StoreChange is a change of a pair in the key-value store.
type StoreChange struct {
	Key   string
	Value []byte
	// Revision is the revision of the change.
	Revision keyvalue.Revision
	Deleted  bool
}

// StoreChanges forwards the store's changes after revision After up to Revision, as the sender knows
// them. It also shows how recently the sender, directly or through others, read the store.
type StoreChanges struct {
	From            cluster.NodeID
	After, Revision keyvalue.Revision
	// Age is the time between the reading of the store and the sending.
	Age time.Duration
	// Partial is true if changes are left out, which the receiver must read from the store.
	Partial bool
	Changes []StoreChange
	// Proven is the latest revision of the proven key's value that the store has confirmed to
	// be the newest, zero for none.
	//
	// Echo and Lead date this confirmation by the receiver's clock. Echo is the newest clock
	// reading that the sender got from the receiver, zero for none. Lead is the time from the
	// query of the store to the arrival of that reading, negative if the store was queried
	// later. When the store was queried, the receiver's clock showed at least Echo - Lead.
	Proven keyvalue.Revision
	Echo   int64
	Lead   time.Duration
	// KnowsEras is set by senders that notice when the store comes back from a copy. Others may go on
	// from a state that the store has lost.
	KnowsEras bool
}

// ClockTold sends a reading of the sender's clock to a node that forwards changes of the store.
type ClockTold struct {
	From cluster.NodeID
	// Sent is the time of sending by the sender's clock, in nanoseconds.
	Sent int64
}

// StoreSnapshotRequest asks a node for its whole copy of the store.
type StoreSnapshotRequest struct {
	// From and FromAddress identify the node to answer.
	From        cluster.NodeID
	FromAddress string
	// Capacity is the number of processor cores of the sender. Nodes with more cores are
	// served first, since they then serve others.
	Capacity float64
	// Referred is set if another node referred the sender to the receiver. The receiver then
	// refers the sender only to nodes that it has served itself.
	Referred bool
}

// StoreSnapshot is a part of a node's copy of the store at a revision. A zero Revision means that
// the node at Refer is to be asked or, if Refer is empty, that the sender has no copy yet and will
// answer when it has one.
type StoreSnapshot struct {
	From cluster.NodeID
	// Refer is the address of the node to ask instead, empty for none.
	Refer    string
	Revision keyvalue.Revision
	// Age is the time between the reading of the store and the sending.
	Age time.Duration
	// Part is the index of this part, from zero; Parts is the number of parts.
	Part, Parts int
	// Content holds the changes of the part, encoded by PackChanges.
	Content []byte
	// KnowsEras is as in StoreChanges.
	KnowsEras bool
}

// StoreChangesRequest asks a node for the store's changes after a revision, as far as it keeps them.
type StoreChangesRequest struct {
	// From and FromAddress identify the node to answer.
	From        cluster.NodeID
	FromAddress string
	After       keyvalue.Revision
	// Always asks for an answer even if there are no changes. Such an answer shows that the
	// node is alive and how old its copy is.
	Always bool
}

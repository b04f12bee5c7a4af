package cluster

import "time"

// NodeID names one valveslip process. It is unique per start of the process.
type NodeID string

// MachineID names one back-end machine that runs a model engine.
type MachineID string

// ModelID is the name callers use for a base model or an adapter.
type ModelID string

// ZoneID names a zone, the failure domain that one controller decides for.
type ZoneID string

// RegionID names a region, a set of zones.
type RegionID string

// RequestID identifies one caller's request; it embeds the accepting node.
type RequestID string

// Attempt numbers the dispatches of one request, from 1.
type Attempt uint32

// FencingToken orders the holders of a cell's lease. It is the key-value
// service's global revision at which the lease was acquired: a later holder
// always has a larger token. Zero means none.
type FencingToken uint64

// Tier says from where an engine would load a checkpoint.
type Tier uint8

// The cache tiers, fastest last.
const (
	TierRemote Tier = iota
	TierDisk
	TierMemory
)

// String returns the lower-case name of the tier.
func (t Tier) String() string {
	switch t {
	case TierMemory:
		return "memory"
	case TierDisk:
		return "disk"
	default:
		return "remote"
	}
}

// ReplicaState is the life cycle of a replica on one machine. Every state but
// ReplicaAbsent occupies memory.
type ReplicaState uint8

// The replica states.
const (
	ReplicaAbsent ReplicaState = iota
	ReplicaLoading
	ReplicaLoaded
	ReplicaUnloading
)

// String returns the lower-case name of the state.
func (s ReplicaState) String() string {
	switch s {
	case ReplicaLoading:
		return "loading"
	case ReplicaLoaded:
		return "loaded"
	case ReplicaUnloading:
		return "unloading"
	default:
		return "absent"
	}
}

// Replica is one model on one machine, as the machine's engine reports it.
type Replica struct {
	Model   ModelID
	Version string
	State   ReplicaState
	// Bytes of machine memory the replica occupies in its current state.
	Bytes int64
	// Since is when the replica entered State.
	Since time.Time
}

// Inventory is a machine's own account of itself. It is the only evidence of
// what is loaded there.
type Inventory struct {
	Machine MachineID
	// Token is the highest fencing token the engine has accepted. Orders with
	// a smaller one are refused.
	Token FencingToken
	// Sequence grows with every change of the inventory, so a late answer can
	// be told from a newer one. It restarts when the engine restarts; Epoch
	// then differs.
	Sequence uint64
	// Epoch identifies one run of the engine process. A later run has a larger
	// one; the process's start time in nanoseconds will do.
	Epoch uint64
	// TokenEpoch is the run in which Token was accepted. It is smaller than Epoch
	// when the engine has kept its token through a restart; zero means that the
	// engine does not say.
	TokenEpoch uint64
	// MemoryBytes is the machine's total memory for replicas.
	MemoryBytes int64
	// Accelerators is the number of accelerators of the machine.
	Accelerators int
	// Slots is how many requests the engine runs at once.
	Slots int
	// Pool is the engine pool (role) the machine currently serves.
	Pool string
	// Leaving is true when the machine will stop soon.
	Leaving bool
	// Replicas holds every replica that is not absent, sorted by model.
	Replicas []Replica
	// Cached gives the fastest tier of each checkpoint the machine holds in
	// memory or on disk; a model missing here must be fetched remotely.
	Cached map[ModelID]Tier
}

// Find returns the replica of model, or false.
func (i *Inventory) Find(model ModelID) (Replica, bool) {
	for _, replica := range i.Replicas {
		if replica.Model == model {
			return replica, true
		}
	}
	return Replica{}, false
}

// UsedBytes is the memory occupied by all replicas, whatever their state.
func (i *Inventory) UsedBytes() int64 {
	var used int64
	for _, replica := range i.Replicas {
		used += replica.Bytes
	}
	return used
}

// OrderKind is the kind of a fenced order to an engine.
type OrderKind uint8

// The kinds of orders.
const (
	OrderLoad OrderKind = iota + 1
	OrderUnload
	// OrderSetPool changes the engine pool (role) of the machine.
	OrderSetPool
)

// String returns the lower-case name of the kind.
func (k OrderKind) String() string {
	switch k {
	case OrderLoad:
		return "load"
	case OrderUnload:
		return "unload"
	case OrderSetPool:
		return "set-pool"
	default:
		return "none"
	}
}

// Order is a fenced order to one machine's engine.
type Order struct {
	// ID is unique; an engine that sees it twice applies it once and gives the
	// first answer again, a refusal included.
	ID string
	// Token is the issuer's fencing token. An engine accepts an order only
	// when it has been sealed with exactly this token in its present run; a
	// fresh engine, which was never sealed, refuses every order.
	Token FencingToken
	// Epoch is the run of the engine process that the order is meant for. An
	// engine refuses an order for another run, so an order that is delivered
	// late can't reach the successor of a process that has ended.
	Epoch   uint64
	Machine MachineID
	Kind    OrderKind
	Model   ModelID
	// Base is the base model an adapter needs, empty for base models.
	Base    ModelID
	Version string
	// Bytes the replica will occupy, from its policy.
	Bytes int64
	// Pool is the target of OrderSetPool.
	Pool string
	// DrainTime bounds how long an unload waits for requests in flight.
	DrainTime time.Duration
}

// Machine is an entry of the platform's machine list.
type Machine struct {
	ID      MachineID
	Zone    ZoneID
	Region  RegionID
	Rack    string
	Address string // host:port of the engine's HTTP listener
	// Leaving is true once the platform has announced the machine's end.
	Leaving bool
}

// Node is a valveslip process as its peers know it.
type Node struct {
	ID     NodeID
	Zone   ZoneID
	Region RegionID
	// PeerAddress is host:port for messages between nodes.
	PeerAddress string
	// AdminAddress is host:port of the administration API.
	AdminAddress string
	// CallerAddress is host:port of the callers' API.
	CallerAddress string
}

// ModelAllotment is one model's share in a zone.
type ModelAllotment struct {
	Model ModelID
	// MaxReplicas that the zone's controller may have at once, in any state.
	MaxReplicas int
	// Candidates are the only machines that may hold them; empty means any
	// machine of the record whose pool fits.
	Candidates []MachineID
	// Ceiling is the largest count that an earlier record granted and that the
	// zone has not yet confirmed to have left, zero when there is none. What
	// the zone may hold at the moment is the larger of both.
	Ceiling int
}

// Allotment is the compact record that lets one zone's controller load and
// unload without asking anyone. The sum over zones never exceeds the decided
// count of a model.
type Allotment struct {
	Zone ZoneID
	// Revision is the key-value service's revision of the record.
	Revision int64
	// SettingsRevision is the settings revision it was computed from.
	SettingsRevision int64
	// WrittenAt is when the record was computed, to the second.
	WrittenAt time.Time
	// Machines are all machines of the zone that may hold anything, sorted. A
	// machine is added before it is used and taken off only once it has gone
	// from the machine list, so a new controller knows where an earlier one
	// may have loaded.
	Machines []MachineID
	// Models is sorted by model.
	Models []ModelAllotment
}

// Limit returns the maximum replicas of model, zero when not allotted.
func (a *Allotment) Limit(model ModelID) int {
	for i := range a.Models {
		if a.Models[i].Model == model {
			return a.Models[i].MaxReplicas
		}
	}
	return 0
}

// LoadReport is an engine's lagged statement of its work.
type LoadReport struct {
	Machine MachineID
	// At is when the engine measured it.
	At time.Time
	// Running and Queued count requests in the engine.
	Running, Queued int
	// TokensPerSecond generated over the last second.
	TokensPerSecond float64
	// PerModel counts running requests by model.
	PerModel map[ModelID]int
}

// CacheEvent says that an engine began or ceased to hold a prompt prefix.
// Events come late and with gaps in Sequence.
type CacheEvent struct {
	Machine  MachineID
	Sequence uint64
	Model    ModelID
	// PrefixHash is xxhash64 of the prompt prefix block.
	PrefixHash uint64
	Evicted    bool
}

package cluster

import "time"

// NodeID identifies one valveslip process. It is unique per process start.
type NodeID string

// MachineID identifies one back-end machine that runs a model engine.
type MachineID string

// ModelID is the name that callers use for a base model or an adapter.
type ModelID string

// ZoneID identifies a zone, the failure domain managed by one controller.
type ZoneID string

// RegionID identifies a region, a set of zones.
type RegionID string

// RequestID identifies one caller's request; it contains the identifier of the
// node that accepted it.
type RequestID string

// Attempt is the number of a dispatch of one request, counted from 1.
type Attempt uint32

// FencingToken orders the successive holders of a zone controller's lease. It is
// the key-value service's global revision at which the lease was acquired, so a
// later holder always has a larger token. Zero means none.
type FencingToken uint64

// Tier is the storage tier from which an engine would load a checkpoint.
type Tier uint8

// The storage tiers, slowest first.
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

// ReplicaState is the life-cycle state of a replica on one machine. Every state
// except ReplicaAbsent occupies memory.
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

// Replica is one model on one machine, as reported by the machine's engine.
type Replica struct {
	Model   ModelID
	Version string
	State   ReplicaState
	// Bytes is the machine memory that the replica occupies in its current
	// state.
	Bytes int64
	// Since is the time at which the replica entered State.
	Since time.Time
}

// Inventory is the state that a machine reports about itself. It is the only
// authoritative source on which replicas are loaded there.
type Inventory struct {
	Machine MachineID
	// Token is the highest fencing token the engine has accepted. The engine
	// refuses orders with a smaller token.
	Token FencingToken
	// Sequence increases with every change of the inventory, so that a late
	// answer can be distinguished from a newer one. It restarts when the engine
	// restarts; Epoch then differs.
	Sequence uint64
	// Epoch identifies one run of the engine process. A later run has a larger
	// value; the start time of the process in nanoseconds is suitable.
	Epoch uint64
	// TokenEpoch is the run in which Token was accepted. It is smaller than
	// Epoch if the engine preserved its token across a restart. Zero means that
	// the engine does not state it.
	TokenEpoch uint64
	// MemoryBytes is the machine's total memory for replicas.
	MemoryBytes int64
	// Accelerators is the number of accelerators of the machine.
	Accelerators int
	// Slots is the number of requests that the engine runs concurrently.
	Slots int
	// Pool is the engine pool (role) the machine currently serves.
	Pool string
	// Leaving is true when the machine will stop soon.
	Leaving bool
	// Replicas contains every replica that is not absent, sorted by model.
	Replicas []Replica
	// Cached maps each checkpoint that the machine holds in memory or on disk to
	// its fastest tier. A model without an entry must be fetched from the remote
	// store.
	Cached map[ModelID]Tier
}

// Find returns the replica of model and whether the machine has one.
func (i *Inventory) Find(model ModelID) (Replica, bool) {
	for _, replica := range i.Replicas {
		if replica.Model == model {
			return replica, true
		}
	}
	return Replica{}, false
}

// UsedBytes returns the memory occupied by all replicas in any state.
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
	// ID is unique. An engine that receives an ID again does not apply the order
	// again and repeats its first answer, including a refusal.
	ID string
	// Token is the fencing token of the issuer. An engine accepts an order only
	// if it was sealed with exactly this token in its current run. A new engine
	// process, which was never sealed, refuses every order.
	Token FencingToken
	// Epoch is the run of the engine process for which the order is meant. An
	// engine refuses an order for another run, so an order that is delivered
	// late cannot reach the successor of a process that has ended.
	Epoch   uint64
	Machine MachineID
	Kind    OrderKind
	Model   ModelID
	// Base is the base model that an adapter needs; it is empty for base models.
	Base    ModelID
	Version string
	// Bytes is the memory that the replica will occupy, according to its policy.
	Bytes int64
	// Pool is the target pool of OrderSetPool.
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
	// Leaving is true once the platform has announced that the machine will be
	// stopped.
	Leaving bool
}

// Node is a valveslip process as known to its peers.
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
	// MaxReplicas is the number of replicas in any state that the zone's
	// controller may have at the same time.
	MaxReplicas int
	// Candidates are the only machines that may hold the replicas. Empty means
	// every machine of the record whose pool matches.
	Candidates []MachineID
	// Ceiling is the largest number of replicas that an earlier record granted
	// and that the zone has not yet confirmed to have left; zero means none. The
	// zone may currently hold the larger of MaxReplicas and Ceiling.
	Ceiling int
}

// Allotment is the compact record that allows one zone's controller to load and
// unload models without asking any other node. The sum over all zones never
// exceeds the decided number of replicas of a model.
type Allotment struct {
	Zone ZoneID
	// Revision is the key-value service's revision of the record.
	Revision int64
	// SettingsRevision is the settings revision from which the record was
	// computed.
	SettingsRevision int64
	// WrittenAt is when the record was computed, with a resolution of 1 s.
	WrittenAt time.Time
	// Machines are all machines of the zone that may hold replicas, sorted. A
	// machine is added before it is used and removed only after it has
	// disappeared from the machine list, so that a new controller knows where an
	// earlier one may have loaded models.
	Machines []MachineID
	// Models is sorted by model.
	Models []ModelAllotment
}

// Limit returns the maximum number of replicas of model; zero if it has no
// allotment.
func (a *Allotment) Limit(model ModelID) int {
	for i := range a.Models {
		if a.Models[i].Model == model {
			return a.Models[i].MaxReplicas
		}
	}
	return 0
}

// LoadReport is an engine's report of its current work. It arrives with a delay.
type LoadReport struct {
	Machine MachineID
	// At is the time at which the engine took the measurement.
	At time.Time
	// Running and Queued count requests in the engine.
	Running, Queued int
	// TokensPerSecond is the number of tokens generated over the last second.
	TokensPerSecond float64
	// PerModel counts running requests by model.
	PerModel map[ModelID]int
}

// CacheEvent reports that an engine began or stopped holding a prompt prefix.
// Events arrive late and with gaps in Sequence.
type CacheEvent struct {
	Machine  MachineID
	Sequence uint64
	Model    ModelID
	// PrefixHash is the xxhash64 of the prompt prefix block.
	PrefixHash uint64
	Evicted    bool
}

package placement

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
)

// Demand is the demand for one model in the zone, summed over all routers.
type Demand struct {
	Waiting, Running int
	// Arrivals counts the requests that arrived since the last plan, and PromptTokens the
	// tokens of their prompts.
	Arrivals, PromptTokens int
	// PromptSquareSum is a lower bound of the sum of the squared token counts of these prompts.
	PromptSquareSum float64
	// OldestWait is the age of the oldest waiting request. EarliestDeadline is the time left
	// until the earliest deadline of the waiting requests.
	OldestWait, EarliestDeadline time.Duration
	// Objective is the time from arrival within which the answer to a request should begin.
	// Zero means that none is stated.
	Objective time.Duration
}

// Replica is one replica of a model in the controller's ledger. It counts with its memory in every
// state. If Unknown is set, the replica may or may not exist.
type Replica struct {
	Model   cluster.ModelID
	Version string
	State   cluster.ReplicaState
	Unknown bool
	Bytes   int64
	Since   time.Time
}

// Machine is one machine of the zone.
type Machine struct {
	ID   cluster.MachineID
	Rack string
	Pool string
	// Sealed reports that the machine has confirmed its list of replicas to the present
	// controller. An unsealed machine gets no orders and counts as full.
	Sealed       bool
	Leaving      bool
	MemoryBytes  int64
	Accelerators int
	Slots        int
	// AdapterSlots is the maximum number of adapters on the machine. Zero means no limit.
	AdapterSlots int
	// Busy reports that the machine is carrying out an order and takes no other. OrderTimeLeft is
	// the expected remaining time of that order, zero when it is unknown.
	Busy          bool
	OrderTimeLeft time.Duration
	// Replicas lists the replicas on the machine, reserved ones included, sorted by model.
	Replicas []Replica
	Cached   map[cluster.ModelID]cluster.Tier
	// Load is the last load report of the engine. It may be stale.
	Load cluster.LoadReport
}

// StoreState is the share of the weight store that the zone may use.
type StoreState struct {
	// StartsPerSecond and Concurrency limit the loads that this cell starts per second and runs
	// at once.
	StartsPerSecond float64
	Concurrency     int
	// InitialConcurrency is the initial estimate of how many concurrent loads the store serves at
	// full speed, used until loads have been observed. Zero stands for Concurrency.
	InitialConcurrency int
	// Speed is the present speed of the store as a share of its full speed.
	Speed float64
	// Burst is how many loads may start at once after a pause. Zero stands for the starts of
	// one second.
	Burst float64
}

// State is the snapshot of the zone from which a plan is made.
type State struct {
	Now       time.Time
	Zone      cluster.ZoneID
	Token     cluster.FencingToken
	Settings  *settings.Snapshot
	Allotment *cluster.Allotment
	// Machines is sorted by ID.
	Machines []Machine
	Demand   map[cluster.ModelID]Demand
	// Minimum is the zone's share of each model's MinReplicas. If it is nil, the zone keeps the
	// whole minimum.
	Minimum map[cluster.ModelID]int
	Store   StoreState
	// LongestPause is the longest pause between two tokens of a stream that callers accept.
	// Zero means that none is stated.
	LongestPause time.Duration
	// LoadTime states the duration of loads. If it is nil, the planner uses its own estimates.
	// It is called once for each settings snapshot.
	LoadTime LoadTime
}

// LoadTime returns the stated duration of a load of the model from the tier. Zero means that
// none is stated.
type LoadTime func(cluster.ModelID, cluster.Tier) time.Duration

// Action is one step of a plan.
type Action struct {
	Kind    cluster.OrderKind
	Machine cluster.MachineID
	Model   cluster.ModelID
	Base    cluster.ModelID
	Version string
	Bytes   int64
	Pool    string
	Tier    cluster.Tier
	// ExpectedTime is the expected duration of a load. Founded reports that it was stated or
	// comes from observed loads; otherwise it is an assumed default.
	ExpectedTime time.Duration
	Founded      bool
	DrainTime    time.Duration
	Reason       Reason
}

// Plan is the result of one planning round.
type Plan struct {
	// Actions is listed in the order in which the orders should be given.
	Actions []Action
	// Decisions explains each model whose wanted or held count is not zero or changed since the
	// last plan, sorted by model.
	Decisions []Decision
	// Wanted is the wanted number of replicas by model, for the zone report. Models that want
	// none are left out.
	Wanted map[cluster.ModelID]int
	// Store is the use of the weight store by this plan.
	Store StoreUse
}

// StoreUse describes the use of the weight store by loads.
type StoreUse struct {
	// Loading counts the running and planned loads, and Limit is their maximum.
	Loading, Limit int
	// Starts is how many further loads may start now.
	Starts float64
}

// Decision explains the replica count of one model.
type Decision struct {
	Model cluster.ModelID
	// Wanted is the number of replicas that policy and demand ask for, and Allowed the maximum
	// by the allotment. Held counts the replicas in any state, and Loaded those that are ready.
	Wanted, Allowed, Held, Loaded int
	Reason                        Reason
	// NextWake is the time at which the idle-time histogram expects the next arrival.
	NextWake time.Time
}

// Cause names the rule behind a decision or action.
type Cause string

// The causes of decisions and actions.
const (
	CauseDemand            Cause = "waiting requests"
	CauseLoad              Cause = "load above target"
	CauseMinimum           Cause = "minimum replicas"
	CausePrewarm           Cause = "expected wake-up"
	CauseKeepAlive         Cause = "within keep-alive"
	CauseIdle              Cause = "idle past keep-alive"
	CauseEvicted           Cause = "evicted for a model with more waiting work"
	CauseNotAllotted       Cause = "no allotment in this zone"
	CauseAllotmentFull     Cause = "allotment reached"
	CauseNoMemory          Cause = "no machine with free memory"
	CauseNoMachine         Cause = "no machine in the pool"
	CauseStoreLimit        Cause = "weight store limit"
	CauseMachineLeaves     Cause = "machine leaving"
	CauseVersion           Cause = "version changed"
	CauseRemoved           Cause = "model removed from the tree"
	CauseBaseMissing       Cause = "base model not loaded"
	CauseRunning           Cause = "running requests"
	CauseAdapter           Cause = "needed by an adapter"
	CauseUnsealed          Cause = "machine not sealed"
	CauseAlreadyHolds      Cause = "machine already holds the model"
	CauseNotCandidate      Cause = "machine not a candidate of the allotment"
	CauseNoCopy            Cause = "no machine has a copy"
	CauseKeptForLocalLoads Cause = "machines kept for quicker loads"
	CauseMachineBusy       Cause = "machine carries out another order"
	CausePrefill           Cause = "prompts to read"
)

// Reason is the recorded explanation of an action or decision.
type Reason struct {
	Cause Cause
	// Setting is the policy key behind the decision, and Source the level of the settings tree
	// that its value comes from. Both are empty if no key was involved.
	Setting, Source string
	// Idle is the idle time of the model, and KeepAlive the limit with which it was compared.
	Idle, KeepAlive time.Duration
	Waiting         int
	// Reading is the prefill load of the model in seconds of prefill per second, and
	// ReadingBound the limit of it for one replica.
	Reading      float64 `json:",omitempty"`
	ReadingBound float64 `json:",omitempty"`
	// Candidates lists the few machines with the best scores.
	Candidates []Candidate
	// Filtered counts the excluded machines by cause.
	Filtered []FilterCount
	// SettingsRevision, AllotmentRevision and Token are those that the decision was based on.
	SettingsRevision  int64
	AllotmentRevision int64
	Token             cluster.FencingToken
}

// Candidate is one machine with its score. A smaller score is better.
type Candidate struct {
	Machine      cluster.MachineID
	Tier         cluster.Tier
	ExpectedTime time.Duration
	FreeBytes    int64
	Score        float64
}

// FilterCount is the number of machines that were excluded for one cause.
type FilterCount struct {
	Cause Cause
	Count int
}

// Planner turns states into plans. It keeps what it learns about each model between rounds, and
// has no clock and no goroutine.
type Planner interface {
	Plan(state State) Plan
}

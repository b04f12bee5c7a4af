package routing

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

// Request is what the core knows of a caller's request.
type Request struct {
	// ID is never used twice; an arrival of one in flight is ignored.
	ID    cluster.RequestID
	Model cluster.ModelID
	// TokenPath is the subtree of the caller's token; limits of every level
	// from there to the root, and from the model to the root, apply.
	TokenPath string
	// Team for fairness between teams in one queue.
	Team string
	// Priority of the request, resolved from policy and caller; larger goes
	// first.
	Priority int
	// Deadline at which the request must have ended.
	Deadline time.Time
	// Objective is within what time of the arrival the answer should begin; zero when
	// none is stated.
	Objective time.Duration
	// Patience is how long the caller waits for the answer to begin, zero for until the
	// deadline; Returned is set when it has tried before.
	Patience   time.Duration
	Returned   bool
	Repeatable bool
	// BodyBytes of the request, for the queue's byte bound.
	BodyBytes int64
	// PromptTokens and MaxTokens estimate the tokens it will use.
	PromptTokens, MaxTokens int
	// Prefixes are the xxhash64 chain of prompt prefix blocks, shortest first.
	Prefixes []uint64
	// PrefixTokens are the tokens of these beginnings, where they are known.
	PrefixTokens []int
	// LengthHint is the caller's estimate of the tokens that will be generated, LongestPause
	// the longest time between two events that is in time; zero when not stated.
	LengthHint   int
	LongestPause time.Duration
	// Attempts bounds the dispatches of this request, the first included; zero
	// leaves it to the policy.
	Attempts int
	// Resumable answers may be continued by another attempt after their first
	// byte.
	Resumable bool
	// Content is the fingerprint of what the request asks for, zero when it was not taken.
	Content poison.Fingerprint
	// Credential is the hash of the caller's key, empty without one, and Tenant the name
	// of who holds it. Public requests need none.
	Credential, Tenant string
	Public             bool
	// Rank among the tenant's requests, 0 being the most urgent.
	Rank int
	// Caller tells the request's caller from others; all that can't be told share zero.
	Caller uint64
	// test is set while a convicted request is tried once more.
	test bool
}

// Event is an input of the core.
type Event interface{ routingEvent() }

// RequestArrived asks to admit a request.
type RequestArrived struct{ Request Request }

// CallerGone says that the caller left; the request ends without an answer.
type CallerGone struct{ Request cluster.RequestID }

// FirstByteSent says that the first byte of the answer went to the caller;
// from then on the request is not started anew.
type FirstByteSent struct{ Request cluster.RequestID }

// RequestWithdrawn ends a request that waits, since it must not be sent any more. One that
// runs goes on.
type RequestWithdrawn struct {
	Request cluster.RequestID
	Failure *verdict.Error
}

// AttemptEnded reports how a dispatched attempt ended. Events of attempts that
// are not the request's current one are ignored.
type AttemptEnded struct {
	Request cluster.RequestID
	Attempt cluster.Attempt
	// Failure is nil when the whole answer was relayed.
	Failure *verdict.Error
	// Unreached is true when no byte of the request was sent, because no
	// connection was had.
	Unreached bool
	// Withheld is true when the request must not be sent any more, whatever the machine; it
	// ends with the failure.
	Withheld bool
	// Answered is true when the engine itself answered with a failure.
	Answered bool
	// EngineFull is true when the engine refused for lack of a slot and
	// ModelMissing when it does not hold the model.
	EngineFull, ModelMissing bool
	// Broken is true when the machine's side ended the connection before the answer was
	// whole; Content is the request's fingerprint then.
	Broken  bool
	Content poison.Fingerprint
	// MachineEnded is true when the machine's process is known to have ended: its address
	// refuses connections, or another machine answers there.
	MachineEnded bool
	// Tokens generated, as counted by the relay.
	Tokens int
}

// CellStatusChanged brings a zone's replicas, loads and limit shares.
type CellStatusChanged struct{ Status wire.CellStatus }

// CellLost says that nothing is known of the zone any more.
type CellLost struct{ Zone cluster.ZoneID }

// MachineLeaving says that a machine takes no new work from now on, whatever
// the controller's status says.
type MachineLeaving struct{ Machine cluster.MachineID }

// CacheEventsArrived brings engines' prefix cache events, late and with gaps.
type CacheEventsArrived struct{ Events []cluster.CacheEvent }

// SettingsChanged puts a snapshot in force.
type SettingsChanged struct{ Snapshot *settings.Snapshot }

// AttemptPlaced names the machine that is to take a dispatched attempt which was not sent yet;
// an empty one leaves it where it is. The attempt is dispatched again, without alternatives.
type AttemptPlaced struct {
	Request cluster.RequestID
	Attempt cluster.Attempt
	Machine cluster.MachineID
	// Held is how long the attempt was kept for that, Forecast what is expected of the machine.
	Held     time.Duration
	Forecast Forecast
}

// Forecast is what a node that places the attempts of all nodes expects of an attempt.
type Forecast struct {
	// Dispatcher is that node, empty where a node chose by itself.
	Dispatcher cluster.NodeID
	// Expected time to the first event, and Backlog of reading before the prompt, which takes
	// Read; Kept are the tokens that are not read again, Speed is the engine's against the
	// usual one.
	Expected, Backlog, Read time.Duration
	Kept                    int
	Speed                   float64
	// Background attempts would be late anyway, and give way to all others at the engine.
	Background bool
	// Fetch is the machine from which the engine first takes what of the prompt it is to keep,
	// empty for none, and FetchAddress its address.
	Fetch        cluster.MachineID
	FetchAddress string
}

// AttemptSilent says that the machine of an attempt has sent nothing for longer than is
// usual. The attempt goes on; it is cancelled only if another may take its place.
type AttemptSilent struct {
	Request cluster.RequestID
	Attempt cluster.Attempt
}

// DrainStarted closes admission; waiting requests are refused as not run.
type DrainStarted struct{}

// ZoneRegion says in which region a zone lies.
type ZoneRegion struct {
	Zone   cluster.ZoneID
	Region cluster.RegionID
}

// RoutersChanged says how many routers share the replicas and limits, this one
// included, which place it has among them, from zero in the order of node
// identifiers, and in which regions zones lie. Routers zero leaves the count.
type RoutersChanged struct {
	Routers, Rank int
	Zones         []ZoneRegion
}

// DispatchesHeld keeps all requests waiting until Until or DispatchesReleased,
// because this process stood still and what it knows of machines is old.
type DispatchesHeld struct{ Until time.Time }

// DispatchesReleased ends DispatchesHeld.
type DispatchesReleased struct{}

// MachineEnded says that a machine's process is known to have ended without a notice.
type MachineEnded struct{ Machine cluster.MachineID }

// PoisonLearned brings what other nodes or the store know of requests that end machines.
type PoisonLearned struct{ Records []poison.Record }

// PoisonPardoned says that a request is no longer to blame for the machines that ended.
type PoisonPardoned struct{ Content poison.Fingerprint }

// PoisonTestGranted lets this node, as the only one, send a convicted request once more
// when it comes next.
type PoisonTestGranted struct{ Content poison.Fingerprint }

// Tick lets time-outs pass. The shell sends one at least at NextDeadline.
type Tick struct{}

func (RequestArrived) routingEvent()     {}
func (CallerGone) routingEvent()         {}
func (FirstByteSent) routingEvent()      {}
func (RequestWithdrawn) routingEvent()   {}
func (AttemptEnded) routingEvent()       {}
func (AttemptSilent) routingEvent()      {}
func (AttemptPlaced) routingEvent()      {}
func (CellStatusChanged) routingEvent()  {}
func (CellLost) routingEvent()           {}
func (MachineLeaving) routingEvent()     {}
func (CacheEventsArrived) routingEvent() {}
func (SettingsChanged) routingEvent()    {}
func (DrainStarted) routingEvent()       {}
func (RoutersChanged) routingEvent()     {}
func (DispatchesHeld) routingEvent()     {}
func (DispatchesReleased) routingEvent() {}
func (MachineEnded) routingEvent()       {}
func (PoisonLearned) routingEvent()      {}
func (PoisonPardoned) routingEvent()     {}
func (PoisonTestGranted) routingEvent()  {}
func (Tick) routingEvent()               {}

// Effect is an output of the core.
type Effect interface{ routingEffect() }

// Dispatch tells the shell to run an attempt on a machine.
type Dispatch struct {
	Request cluster.RequestID
	Attempt cluster.Attempt
	Machine cluster.MachineID
	Address string
	Model   cluster.ModelID
	// Version of the replica.
	Version string
	// Deadline at which the shell must give the attempt up.
	Deadline time.Time
	// Final is true when no other attempt may follow a failure that may have
	// run, so that it is not worth giving this one up early.
	Final bool
	// Limited is set where the machine is known to have named a limit: what its answer does
	// not say holds no longer.
	Limited bool
	Reason  Choice
	// Alternatives are the machines that may take the attempt, the chosen one among them;
	// listed only with Config.ListAlternatives, until AttemptPlaced has named one of them.
	Alternatives []Alternative
}

// Alternative is a machine that may take an attempt. Penalty is what speaks against it besides
// its work, in time of waiting.
type Alternative struct {
	Machine cluster.MachineID
	Penalty time.Duration
}

// Finish is the one terminal outcome of a request. Failure is nil when the
// answer was relayed whole. The shell answers the caller from it at once.
type Finish struct {
	Request cluster.RequestID
	Failure *verdict.Error
	Reason  Explanation
}

// StatusNeeded asks the shell to request a full status of the zone from its
// controller, because one was missed.
type StatusNeeded struct{ Zone cluster.ZoneID }

// PoisonFound brings what this node newly knows of requests that end machines; all nodes
// must learn it.
type PoisonFound struct{ Records []poison.Record }

// PoisonTestWanted asks whether this node may send a convicted request once more, when it
// comes next.
type PoisonTestWanted struct{ Content poison.Fingerprint }

// CancelAttempt tells the shell to cancel an attempt at the engine: its request has
// ended, or another machine is to take it once the shell reports that the attempt ended.
type CancelAttempt struct {
	Request cluster.RequestID
	Attempt cluster.Attempt
	Machine cluster.MachineID
	Address string
}

func (Dispatch) routingEffect()         {}
func (Finish) routingEffect()           {}
func (CancelAttempt) routingEffect()    {}
func (StatusNeeded) routingEffect()     {}
func (PoisonFound) routingEffect()      {}
func (PoisonTestWanted) routingEffect() {}

// Choice explains why a replica was chosen.
type Choice struct {
	// Candidates considered, at most a handful, the chosen one first.
	Candidates []Candidate
	// Filtered counts replicas by why they were left out.
	Filtered []FilterCount
	// SettingsRevision in force.
	SettingsRevision int64
	// Token of the controller whose status named the replica.
	Token cluster.FencingToken
	// Waited in the queue before this dispatch.
	Waited time.Duration
	// Held is how long the attempt was kept for the word of a dispatcher, and Forecast what
	// that expected.
	Held     time.Duration
	Forecast Forecast
}

// Candidate is one replica with its scores.
type Candidate struct {
	Machine      cluster.MachineID
	Zone         cluster.ZoneID
	ExpectedWait time.Duration
	// PrefixBlocks expected in the engine's cache, after decay.
	PrefixBlocks float64
	InFlight     int
}

// FilterCount says how many replicas were left out for one cause.
type FilterCount struct {
	Cause FilterCause
	Count int
}

// FilterCause is why a replica was not considered.
type FilterCause string

// The filter causes.
const (
	FilterLeaving  FilterCause = "machine leaving"
	FilterLoading  FilterCause = "still loading"
	FilterFull     FilterCause = "no free slot"
	FilterRecent   FilterCause = "refused recently"
	FilterTried    FilterCause = "already tried for this request"
	FilterVersion  FilterCause = "other version"
	FilterUnlisted FilterCause = "not in the cell's status"
	FilterLimited  FilterCause = "no turn at a machine with a limit"
	FilterResting  FilterCause = "machine wants rest"
	FilterHeld     FilterCause = "this node stood still and reads the machine list first"
)

// Explanation is the recorded reason of a refusal or an end.
type Explanation struct {
	Code verdict.Code
	// Setting and Source name the policy key that decided and the tree level
	// its value came from, when one did.
	Setting, Source string
	// Limit and Value are the bound and what met it.
	Limit, Value float64
	Waited       time.Duration
	Attempts     int
	Machine      cluster.MachineID
	// SettingsRevision in force.
	SettingsRevision int64
}

package routing

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

// Request is the routing core's description of a caller's request.
type Request struct {
	// ID is unique; the arrival of a request whose ID is in flight is ignored.
	ID    cluster.RequestID
	Model cluster.ModelID
	// TokenPath is the subtree of the caller's token. The limits of all levels from there to the
	// root and from the model to the root apply.
	TokenPath string
	// Team is the unit of fair queueing within a model's queue.
	Team string
	// Priority is resolved from the policy and the caller; a larger one goes first.
	Priority int
	// Deadline is the time by which the request must have ended.
	Deadline time.Time
	// Objective is the time after the arrival within which the answer should begin; zero when none
	// is stated.
	Objective time.Duration
	// Patience is how long the caller waits for the answer to begin, zero for until the deadline.
	// Returned is set when the caller has sent the request before.
	Patience   time.Duration
	Returned   bool
	Repeatable bool
	// BodyBytes is the size of the body, for the queue's limit in bytes.
	BodyBytes int64
	// PromptTokens is the estimated length of the prompt and MaxTokens the most tokens to generate.
	PromptTokens, MaxTokens int
	// Prefixes is the chain of xxhash64 hashes of the prompt's block prefixes, shortest first.
	Prefixes []uint64
	// PrefixTokens are the lengths of these prefixes in tokens, where known.
	PrefixTokens []int
	// LengthHint is the caller's estimate of the tokens that will be generated, and LongestPause
	// the longest acceptable time between two events of the stream; zero when not stated.
	LengthHint   int
	LongestPause time.Duration
	// Attempts bounds the dispatches of this request, the first included; zero applies the policy.
	Attempts int
	// Resumable answers may be continued by another attempt after their first byte.
	Resumable bool
	// Content is the fingerprint of the request's content, zero when it was not computed. Parts are
	// those of the parts of its prompt that other requests may share.
	Content poison.Fingerprint
	Parts   []poison.Fingerprint
	// Credential is the hash of the caller's API key, empty without one, and Tenant the name of its
	// holder. Public requests need no key.
	Credential, Tenant string
	Public             bool
	// Rank is the request's urgency among its tenant's requests, 0 being the most urgent.
	Rank int
	// Continues is set if the caller has events of the stream already, and Resumes is the request that
	// brought the first one, if the caller names it.
	Continues bool
	Resumes   cluster.RequestID
	// Pinned is set if the request continues a stream that began at machines of Release, so that no
	// others may run it.
	Pinned  bool
	Release string
	// Caller identifies the caller. All callers that can't be identified share zero.
	Caller uint64
	// probe is set while a blocked request is sent once more as a probe, probeWanted while it
	// waits for the permission; probed is the content or part that is blocked. throttled is set if it
	// arrived while its caller was throttled.
	probe, probeWanted, throttled bool
	probed                        poison.Fingerprint
}

// Event is an input of the routing core.
type Event interface{ routingEvent() }

// RequestArrived asks to admit a request.
type RequestArrived struct{ Request Request }

// CallerGone reports that the caller left; the request ends without an answer.
type CallerGone struct{ Request cluster.RequestID }

// FirstByteSent reports that the first byte of the answer went to the caller. From then on the
// request is retried only if it is resumable.
type FirstByteSent struct{ Request cluster.RequestID }

// RequestWithdrawn ends a waiting request that must not be sent any more. A request that runs goes
// on.
type RequestWithdrawn struct {
	Request cluster.RequestID
	Failure *verdict.Error
}

// AttemptEnded reports how a dispatched attempt ended. Events of attempts other than the request's
// current one are ignored.
type AttemptEnded struct {
	Request cluster.RequestID
	Attempt cluster.Attempt
	// Failure is nil when the whole answer was relayed.
	Failure *verdict.Error
	// Unreached is true when no byte of the request was sent because no connection could be made.
	Unreached bool
	// OtherStart is true when nothing was sent because the machine that answers may be another start than the
	// one that the Dispatch names.
	OtherStart bool
	// PathDoubted is true when the node suspected its own path to all machines, or had lost the node through
	// which it sent, when the attempt failed. The failure then says nothing of the machine.
	PathDoubted bool
	// Withheld is true when the request must not be sent to any machine any more; it ends with the
	// failure.
	Withheld bool
	// Relayed is true when the attempt sent a part of the answer to the caller, whose patience begins anew with it.
	Relayed bool
	// Answered is true when the engine itself answered with a failure.
	Answered bool
	// EngineFull is true when the engine refused for lack of a slot, ModelMissing when it does not
	// hold the model.
	EngineFull, ModelMissing bool
	// Broken is true when the machine's side closed the connection before the answer was complete;
	// Content is then the request's fingerprint.
	Broken  bool
	Content poison.Fingerprint
	// MachineEnded is true when the machine's process is known to have ended: its address refuses
	// connections, or another machine answers there.
	MachineEnded bool
	// Tokens is the number of generated tokens, counted by the relay.
	Tokens int
}

// CellStatusChanged carries a zone's replicas, loads and limit shares.
type CellStatusChanged struct{ Status wire.CellStatus }

// CellLost reports that the zone's controller is no longer heard of.
type CellLost struct{ Zone cluster.ZoneID }

// MachineLeaving reports that a machine takes no new requests from now on, whatever the
// controller's status says.
type MachineLeaving struct{ Machine cluster.MachineID }

// CacheEventsArrived carries the engines' prefix cache events, which may be late and incomplete.
type CacheEventsArrived struct{ Events []cluster.CacheEvent }

// SettingsChanged puts a settings snapshot in force.
type SettingsChanged struct{ Snapshot *settings.Snapshot }

// AttemptPlaced names the machine for a dispatched attempt that was not sent yet; an empty one
// leaves the machine unchanged. The attempt is dispatched again, without alternatives.
type AttemptPlaced struct {
	Request cluster.RequestID
	Attempt cluster.Attempt
	Machine cluster.MachineID
	// Held is how long the attempt was held for this decision, Forecast the dispatcher's
	// expectation for it.
	Held     time.Duration
	Forecast Forecast
}

// Forecast is the expectation for an attempt of the node that places the attempts of all nodes.
type Forecast struct {
	// Dispatcher is that node, empty when a node decided by itself.
	Dispatcher cluster.NodeID
	// Expected is the time to the first event, Backlog the prefill time queued before the prompt,
	// and Read the prefill time of the prompt. Kept is the number of prompt tokens that are cached,
	// Speed the speed of the engine relative to the usual one.
	Expected, Backlog, Read time.Duration
	Kept                    int
	Speed                   float64
	// Background attempts would miss their objective anyway, and yield to all others at the engine.
	Background bool
	// Fetch is the machine from which the engine first copies the cached part of the prompt, empty
	// for none, and FetchAddress its address.
	Fetch        cluster.MachineID
	FetchAddress string
}

// AttemptSilent reports that the machine of an attempt has sent nothing for longer than is usual.
// The attempt goes on unless another machine can take the request.
type AttemptSilent struct {
	Request cluster.RequestID
	Attempt cluster.Attempt
}

// DrainStarted closes admission; waiting requests are refused with verdict NotRun.
type DrainStarted struct{}

// ZoneRegion states the region of a zone.
type ZoneRegion struct {
	Zone   cluster.ZoneID
	Region cluster.RegionID
}

// RoutersChanged states how many routers share the replicas and limits, this one included, this
// router's rank among them (from zero, in the order of node IDs), and the regions of zones. If
// Routers is zero the number and rank stay unchanged.
type RoutersChanged struct {
	Routers, Rank int
	Zones         []ZoneRegion
}

// DispatchesPaused pauses all dispatches until Until or DispatchesResumed, because this process was
// paused and its knowledge of machines is outdated.
type DispatchesPaused struct{ Until time.Time }

// DispatchesResumed ends DispatchesPaused.
type DispatchesResumed struct{}

// BackOffsCleared ends the back-offs after failures of machines, because this node's own path to them
// has failed.
type BackOffsCleared struct{}

// MachineEnded reports that a machine's process is known to have ended without notice.
type MachineEnded struct{ Machine cluster.MachineID }

// PoisonLearned carries what other nodes or the store know of requests that end machines.
type PoisonLearned struct{ Records []poison.Record }

// PoisonPardoned clears a request of the blame for the machines that ended under it.
type PoisonPardoned struct{ Content poison.Fingerprint }

// PoisonProbeGranted allows this node alone to send a blocked request once more: the one that waits
// for the permission or, without one, the next that arrives.
type PoisonProbeGranted struct{ Content poison.Fingerprint }

// PoisonProbeDenied answers a PoisonProbeWanted: this node may not send the request once more now.
type PoisonProbeDenied struct{ Content poison.Fingerprint }

// Tick runs the timers that are due. The owner sends one at NextDeadline at the latest.
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
func (DispatchesPaused) routingEvent()   {}
func (DispatchesResumed) routingEvent()  {}
func (BackOffsCleared) routingEvent()    {}
func (MachineEnded) routingEvent()       {}
func (PoisonLearned) routingEvent()      {}
func (PoisonPardoned) routingEvent()     {}
func (PoisonProbeGranted) routingEvent() {}
func (PoisonProbeDenied) routingEvent()  {}
func (Tick) routingEvent()               {}

// Effect is an output of the routing core.
type Effect interface{ routingEffect() }

// Dispatch requests an attempt on a machine.
type Dispatch struct {
	Request cluster.RequestID
	Attempt cluster.Attempt
	Machine cluster.MachineID
	Address string
	Model   cluster.ModelID
	// Version is that of the replica, Release that of the machine's software.
	Version, Release string
	// Pinned is set if only machines of Release may run the request, because its stream began there.
	Pinned bool
	// Start is the start of the machine that must answer, empty for any.
	Start cluster.MachineID
	// Deadline is the time at which the attempt must be given up.
	Deadline time.Time
	// Final is true when no retry is allowed after a failure that may have run, so that giving this
	// attempt up early has no benefit.
	Final bool
	// Limited is set if the machine is known to have a rate limit. An answer that states none then
	// ends it.
	Limited bool
	// Probe is set if the request is a blocked one that is sent once more as a probe.
	Probe  bool
	Reason Choice
	// Alternatives are the machines that may take the attempt, the chosen one among them. They are
	// listed only with Config.ListAlternatives and until AttemptPlaced has named one of them.
	Alternatives []Alternative
}

// Alternative is a machine that may take an attempt. Penalty is the cost of choosing it apart from
// its load, expressed as waiting time.
type Alternative struct {
	Machine cluster.MachineID
	Penalty time.Duration
}

// Finish is the single terminal outcome of a request. Failure is nil when the whole answer was
// relayed. The caller is answered from it at once.
type Finish struct {
	Request cluster.RequestID
	Failure *verdict.Error
	Reason  Explanation
}

// StatusNeeded asks for a full status from the zone's controller because one was missed.
type StatusNeeded struct{ Zone cluster.ZoneID }

// PoisonFound carries new knowledge of this node about requests that end machines, to be sent to
// all nodes.
type PoisonFound struct{ Records []poison.Record }

// PoisonProbeWanted asks whether this node may send a blocked request once more. A request waits for
// PoisonProbeGranted or PoisonProbeDenied.
type PoisonProbeWanted struct{ Content poison.Fingerprint }

// PoisonProbeSilent reports that the machine of a probe does not answer: the probe shows nothing, and another
// one need not wait for its end.
type PoisonProbeSilent struct{ Content poison.Fingerprint }

// CancelAttempt cancels an attempt at the engine: its request has ended, or another machine takes
// it once AttemptEnded reports the end of this attempt.
type CancelAttempt struct {
	Request cluster.RequestID
	Attempt cluster.Attempt
	Machine cluster.MachineID
	Address string
}

func (Dispatch) routingEffect()          {}
func (Finish) routingEffect()            {}
func (CancelAttempt) routingEffect()     {}
func (StatusNeeded) routingEffect()      {}
func (PoisonFound) routingEffect()       {}
func (PoisonProbeWanted) routingEffect() {}
func (PoisonProbeSilent) routingEffect() {}

// Choice explains why a replica was chosen.
type Choice struct {
	// Candidates are the compared replicas, at most maxCandidates, the chosen one first.
	Candidates []Candidate
	// Filtered counts the excluded replicas by cause.
	Filtered []FilterCount
	// SettingsRevision is the revision in force.
	SettingsRevision int64
	// Token is the fencing token of the controller whose status listed the replica.
	Token cluster.FencingToken
	// Waited is the time in the queue before this dispatch.
	Waited time.Duration
	// Held is how long the attempt was held for a dispatcher's decision, Forecast the dispatcher's
	// expectation.
	Held     time.Duration
	Forecast Forecast
}

// Candidate is one compared replica with its scores.
type Candidate struct {
	Machine      cluster.MachineID
	Zone         cluster.ZoneID
	ExpectedWait time.Duration
	// PrefixBlocks is the number of prompt blocks expected in the engine's cache, after decay.
	PrefixBlocks float64
	InFlight     int
}

// FilterCount is the number of replicas excluded for one cause.
type FilterCount struct {
	Cause FilterCause
	Count int
}

// FilterCause is why a replica was excluded from a choice.
type FilterCause string

// The causes for which a replica is excluded from a choice.
const (
	FilterLeaving    FilterCause = "machine leaving"
	FilterLoading    FilterCause = "still loading"
	FilterFull       FilterCause = "no free slot"
	FilterRecent     FilterCause = "refused recently"
	FilterTried      FilterCause = "already tried for this request"
	FilterVersion    FilterCause = "other version"
	FilterRelease    FilterCause = "other software release"
	FilterUnrecorded FilterCause = "software release not recorded yet"
	FilterUnlisted   FilterCause = "not in the cell's status"
	FilterLimited    FilterCause = "no turn at a machine with a limit"
	FilterResting    FilterCause = "machine wants rest"
	FilterHeld       FilterCause = "this node stood still and reads the machine list first"
)

// Explanation is the recorded reason of a refusal or of the end of a request.
type Explanation struct {
	Code verdict.Code
	// Setting is the policy key that decided and Source the tree level that its value came from,
	// when one did.
	Setting, Source string
	// Limit is the bound and Value the quantity that was compared with it.
	Limit, Value float64
	Waited       time.Duration
	Attempts     int
	Machine      cluster.MachineID
	// SettingsRevision is the revision in force.
	SettingsRevision int64
}

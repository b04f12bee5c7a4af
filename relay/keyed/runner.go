package keyed

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/relay"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/idempotency"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
	"github.com/valveslip/valveslip/wire/exchange"
)

// Inner runs a request regardless of its key; *relay.Runner implements it.
type Inner interface {
	Run(ctx context.Context, call relay.Call, sink relay.Sink) relay.Result
}

// Peers gives access to the other nodes of the region.
type Peers interface {
	Self() cluster.Node
	// RegionMembers returns the other running nodes of the region. It returns false while
	// this node does not know them yet.
	RegionMembers() ([]cluster.Node, bool)
	Send(address string, message wire.Message)
}

// Timeouts and limits of the exchange between nodes.
const (
	// DefaultAskTime is the default time to wait for another node's answer.
	DefaultAskTime = 2 * time.Second
	// outcomeRepeatDelay is the delay after which an outcome is sent a second time,
	// because the first message may be lost.
	outcomeRepeatDelay = time.Second
	// claimTimeoutFactor is the timeout of a claim at another node in multiples of the
	// ask timeout: that node may have to ask other owners first.
	claimTimeoutFactor = 2
	// maxForwards bounds how often a claim is forwarded to another first owner.
	maxForwards = 3
)

// Runner runs requests, those with the same key at most once. It is safe for concurrent
// use.
type Runner struct {
	inner       Inner
	peers       Peers
	askTimeout  time.Duration
	keptAnswers answerCache
	exchange    exchange.Table
	// claimsContext is cancelled by RefuseClaims.
	claimsContext context.Context
	cancelClaims  context.CancelFunc

	mutex sync.Mutex
	table *idempotency.Table
	// successorAddress is the peer address of the node that took over this node's
	// records, empty before a handover.
	successorAddress string
}

// NewRunner returns a Runner that runs requests by inner. A zero askTimeout means
// DefaultAskTime.
func NewRunner(inner Inner, peers Peers, config idempotency.Config, askTimeout time.Duration) *Runner {
	if askTimeout == 0 {
		askTimeout = DefaultAskTime
	}
	r := &Runner{inner: inner, peers: peers, askTimeout: askTimeout, table: idempotency.New(peers.Self().ID, config)}
	r.claimsContext, r.cancelClaims = context.WithCancel(context.Background())
	return r
}

// RefuseClaims refuses the requests that wait for another node's decision on their key, now and
// in future. A node that stops calls it, because such requests are not counted as in flight
// and would otherwise be cut off.
func (r *Runner) RefuseClaims() { r.cancelClaims() }

// Run runs a request. A request with a key continues when its caller disconnects.
func (r *Runner) Run(ctx context.Context, call relay.Call, sink relay.Sink) relay.Result {
	if call.Key == "" {
		return r.inner.Run(ctx, call, sink)
	}
	claim := idempotency.Claim{
		Key:         idempotency.Key{TokenPath: call.Request.TokenPath, Key: call.Key},
		Fingerprint: fingerprint(&call), Request: call.Request.ID, From: r.peers.Self().ID,
	}
	decision, decidedBy := r.claim(ctx, claim)
	switch decision.Kind {
	case idempotency.DecisionRun:
		return r.run(ctx, call, sink, claim, []cluster.NodeID{decidedBy, decision.Owner})
	case idempotency.DecisionReplay:
		return r.replay(ctx, decision, sink)
	default:
		return relay.Result{Failure: r.refusal(decision)}
	}
}

// refusal returns the failure for a decision against running the request. A decision without
// a failure of its own means that the first owner could not be asked, and nothing ran.
func (r *Runner) refusal(decision idempotency.Decision) *verdict.Error {
	if failure := decision.Failure(); failure != nil {
		return failure
	}
	if r.claimsContext.Err() != nil {
		return verdict.New(verdict.NotRun, verdict.CodeNodeDraining,
			"this node is stopping; another one takes the request").After(routing.DefaultDrainRetryAfter)
	}
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the node that keeps this key cannot be asked").After(time.Second)
}

// fingerprint returns a hash of the call's path and body.
func fingerprint(call *relay.Call) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(call.Path)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(call.Body)
	return digest.Sum64()
}

// run runs a request whose claim was granted and reports its outcome to the owners.
func (r *Runner) run(ctx context.Context, call relay.Call, sink relay.Sink, claim idempotency.Claim, owners []cluster.NodeID) relay.Result {
	record := &answerRecorder{sink: sink, stream: call.Stream, recorded: storedAnswer{request: claim.Request}}
	result := r.inner.Run(context.WithoutCancel(ctx), call, record)
	outcome := idempotency.Outcome{Kind: outcomeOf(result, record.tooLarge), Request: claim.Request}
	if outcome.Kind == idempotency.OutcomeAnswered {
		outcome.Holder = claim.From
		r.keptAnswers.add(&record.recorded)
	}
	r.reportOutcome(claim.Key, owners, outcome)
	if result.Failure == nil && record.callerErr != nil {
		result.Failure = verdict.Wrap(record.callerErr, verdict.Ran, verdict.CodeCallerGone, "the caller left while the answer was sent")
	}
	return result
}

// outcomeOf returns the kind of outcome for a request's result. An answer that was too large
// to keep cannot be replayed and counts as OutcomeRan.
func outcomeOf(result relay.Result, large bool) idempotency.OutcomeKind {
	switch {
	case result.Failure == nil && large:
		return idempotency.OutcomeRan
	case result.Failure == nil:
		return idempotency.OutcomeAnswered
	case result.Failure.Verdict == verdict.NotRun:
		return idempotency.OutcomeNotRun
	case result.Failure.Verdict == verdict.Ran:
		return idempotency.OutcomeRan
	default:
		return idempotency.OutcomeUnknown
	}
}

// replay sends the kept answer of the earlier request with the same key.
func (r *Runner) replay(ctx context.Context, decision idempotency.Decision, sink relay.Sink) relay.Result {
	kept := r.fetchAnswer(ctx, decision.Outcome)
	if kept == nil {
		return relay.Result{Failure: verdict.New(verdict.Ran, verdict.CodeDuplicateKey, "the request with this key ran; its answer is not kept")}
	}
	result := relay.Result{Started: true, Status: kept.status}
	if err := kept.send(sink); err != nil {
		result.Failure = verdict.Wrap(err, verdict.Ran, verdict.CodeCallerGone, "the caller left while the answer was sent")
	}
	return result
}

// SetMembers updates the table with the nodes that share the keys. The shell calls it
// periodically.
func (r *Runner) SetMembers(now time.Time) {
	regionMembers, known := r.peers.RegionMembers()
	if !known {
		return
	}
	members := []idempotency.Member{memberOf(r.peers.Self())}
	for _, member := range regionMembers {
		members = append(members, memberOf(member))
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.table.SetMembers(now, members)
}

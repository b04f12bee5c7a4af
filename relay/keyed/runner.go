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

// Inner runs a request without regard to keys; *relay.Runner implements it.
type Inner interface {
	Run(ctx context.Context, call relay.Call, sink relay.Sink) relay.Result
}

// Peers reaches the other nodes.
type Peers interface {
	Self() cluster.Node
	// Neighbours returns the other running nodes of the region. It returns false
	// while the node has not yet learned who they are.
	Neighbours() ([]cluster.Node, bool)
	Send(address string, message wire.Message)
}

// Times of the exchange between nodes.
const (
	// DefaultAskTime bounds the wait for one node's answer.
	DefaultAskTime = 2 * time.Second
	// outcomeRepeat is when an outcome is sent a second time, because the first
	// message may be lost.
	outcomeRepeat = time.Second
	// claimTimes is how many times of asking one claim may take, because its
	// first owner has to ask others.
	claimTimes = 2
	// maxForwards bounds how often a claim follows a change of owner.
	maxForwards = 3
)

// Runner runs requests, those with a key at most once. It is safe for
// concurrent use.
type Runner struct {
	inner    Inner
	peers    Peers
	askTime  time.Duration
	kept     answers
	exchange exchange.Table
	// claiming ends when no more leave is asked for.
	claiming  context.Context
	endClaims context.CancelFunc

	mutex sync.Mutex
	table *idempotency.Table
	// heirAddress is set when this node has handed over.
	heirAddress string
}

// NewRunner returns a Runner around inner. A zero askTime means DefaultAskTime.
func NewRunner(inner Inner, peers Peers, config idempotency.Config, askTime time.Duration) *Runner {
	if askTime == 0 {
		askTime = DefaultAskTime
	}
	r := &Runner{inner: inner, peers: peers, askTime: askTime, table: idempotency.New(peers.Self().ID, config)}
	r.claiming, r.endClaims = context.WithCancel(context.Background())
	return r
}

// EndClaims refuses the requests that wait for other nodes' word on their keys, and those that
// would. A node that stops calls it: nothing else counts them among what it has in flight.
func (r *Runner) EndClaims() { r.endClaims() }

// Run runs a request. One with a key goes on when its caller leaves.
func (r *Runner) Run(ctx context.Context, call relay.Call, sink relay.Sink) relay.Result {
	if call.Key == "" {
		return r.inner.Run(ctx, call, sink)
	}
	claim := idempotency.Claim{
		Key:         idempotency.Key{TokenPath: call.Request.TokenPath, Key: call.Key},
		Fingerprint: fingerprint(&call), Request: call.Request.ID, From: r.peers.Self().ID,
	}
	decision, giver := r.claim(ctx, claim)
	switch decision.Kind {
	case idempotency.DecisionRun:
		return r.run(ctx, call, sink, claim, []cluster.NodeID{giver, decision.Owner})
	case idempotency.DecisionReplay:
		return r.replay(ctx, decision, sink)
	default:
		return relay.Result{Failure: r.refusal(decision)}
	}
}

// refusal returns the failure of a decision. One that is no decision yet means
// that the first owner could not be asked, and nothing ran.
func (r *Runner) refusal(decision idempotency.Decision) *verdict.Error {
	if failure := decision.Failure(); failure != nil {
		return failure
	}
	if r.claiming.Err() != nil {
		return verdict.New(verdict.NotRun, verdict.CodeNodeDraining,
			"this node is stopping; another one takes the request").After(routing.DefaultDrainRetryAfter)
	}
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the node that keeps this key cannot be asked").After(time.Second)
}

// fingerprint identifies what a call asks for.
func fingerprint(call *relay.Call) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(call.Path)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(call.Body)
	return digest.Sum64()
}

// run runs a request that got leave and tells its owners how it ended.
func (r *Runner) run(ctx context.Context, call relay.Call, sink relay.Sink, claim idempotency.Claim, owners []cluster.NodeID) relay.Result {
	record := &recorder{sink: sink, stream: call.Stream, copied: answer{request: claim.Request}}
	result := r.inner.Run(context.WithoutCancel(ctx), call, record)
	outcome := idempotency.Outcome{Kind: outcomeOf(result, record.large), Request: claim.Request}
	if outcome.Kind == idempotency.OutcomeAnswered {
		outcome.Holder = claim.From
		r.kept.keep(&record.copied)
	}
	r.finish(claim.Key, owners, outcome)
	if result.Failure == nil && record.gone != nil {
		result.Failure = verdict.Wrap(record.gone, verdict.Ran, verdict.CodeCallerGone, "the caller left while the answer was sent")
	}
	return result
}

// outcomeOf classifies how a request ended.
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

// replay sends the kept answer of an earlier request.
func (r *Runner) replay(ctx context.Context, decision idempotency.Decision, sink relay.Sink) relay.Result {
	kept := r.fetch(ctx, decision.Outcome)
	if kept == nil {
		return relay.Result{Failure: verdict.New(verdict.Ran, verdict.CodeDuplicateKey, "the request with this key ran; its answer is not kept")}
	}
	result := relay.Result{Started: true, Status: kept.status}
	if err := kept.send(sink); err != nil {
		result.Failure = verdict.Wrap(err, verdict.Ran, verdict.CodeCallerGone, "the caller left while the answer was sent")
	}
	return result
}

// SetMembers tells the table who shares the keys. The shell calls it when time
// passes.
func (r *Runner) SetMembers(now time.Time) {
	neighbours, known := r.peers.Neighbours()
	if !known {
		return
	}
	members := []idempotency.Member{memberOf(r.peers.Self())}
	for _, neighbour := range neighbours {
		members = append(members, memberOf(neighbour))
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.table.SetMembers(now, members)
}

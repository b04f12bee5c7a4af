package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet/lending"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
)

const (
	// UnprovenRetryAfter is the Retry-After of a refusal for lack of a current key proof: within
	// that time another node, or this one after a call to the store, may have one.
	UnprovenRetryAfter = 300 * time.Millisecond
	// noLenderRetryAfter is the Retry-After of a refusal because no node lends the tenant's
	// tokens: the successor of a lost lender takes over within that time.
	noLenderRetryAfter = 500 * time.Millisecond
	// otherNodeRetryAfter is the Retry-After of a refusal because a key has moved to another
	// tenant, or because this node is isolated or its tokens have expired: another attempt or
	// another node can succeed almost at once, so that only a minimal pause is needed.
	otherNodeRetryAfter = 50 * time.Millisecond
)

// The settings that caused a refusal, as named in explanations.
const (
	settingKey   = "key"
	settingProof = "proof of keys"
	settingLimit = "tenant limit"
)

// dispatchTokenMargin is the lifetime that tokens must have left at a dispatch: it covers
// connecting, and scheduling delays on a slow machine.
const dispatchTokenMargin = 150 * time.Millisecond

// tokenReturnInterval is the time between searches for unused tokens: four searches fall within
// their lifetime of 400 ms.
const tokenReturnInterval = 100 * time.Millisecond

// gate refuses requests, and withholds their dispatches, by the caller's key and by the tenant's
// limit. Tokens are requested on arrival, so that a request beyond the limit is refused at once.
// They are requested again at the dispatch of a request that waited for longer than its tokens
// are valid. All checks made on arrival are repeated when the request is to be sent.
type gate struct {
	core *Core
	// provenAt is the latest time at which the configuration in force is known to have been the
	// newest one.
	provenAt time.Time
	// reportedUnproven is the state that was last logged: whether the proof is too old or
	// missing.
	reportedUnproven bool
	requests         map[cluster.RequestID]*gatedRequest
	// pending are the requests with an unanswered token question, by its number.
	pending    map[int64]*gatedRequest
	lastNumber int64
	// nextReturnAt is the time of the next search for unused tokens.
	nextReturnAt time.Time
}

// gatedRequest is the gate's state of a request that has not ended.
type gatedRequest struct {
	id                 cluster.RequestID
	credential, tenant string
	public             bool
	// tokens is the token count that the request states, rank its rank.
	tokens, rank int
	// fingerprint identifies what is asked for. It is the same when the caller returns with the
	// request.
	fingerprint int64
	deadline    time.Time
	// heldArrival and heldDispatch are held until the request's tokens are granted.
	heldArrival  *routing.Request
	heldDispatch *routing.Dispatch
	// pendingNumber is the number of the unanswered token question, zero for none.
	pendingNumber int64
	// grantedTokens are the tokens that were requested at tokensAskedAt by the question
	// grantNumber; zero for none. sent is set once an attempt uses them.
	grantedTokens float64
	grantNumber   int64
	tokensAskedAt time.Time
	sent          bool
}

func newGate(core *Core) *gate {
	return &gate{core: core, requests: map[cluster.RequestID]*gatedRequest{}, pending: map[int64]*gatedRequest{}}
}

// recordProof records that the configuration in force was the newest one at the given time.
func (g *gate) recordProof(at time.Time) {
	if at.After(g.provenAt) {
		g.provenAt = at
		g.core.feedLending(lending.SettingsProven{At: at})
	}
}

// proofAge returns the age of the key proof; zero and false if there is none.
func (g *gate) proofAge(now time.Time) (time.Duration, bool) {
	if g.provenAt.IsZero() {
		return 0, false
	}
	return now.Sub(g.provenAt), true
}

// proofExpired reports whether the key proof is missing or too old to send a request that needs a
// key.
func (g *gate) proofExpired(now time.Time) bool {
	bound := g.core.config.KeyProof
	age, proven := g.proofAge(now)
	return bound > 0 && g.core.compiled.RequiresKeys() && (!proven || age >= bound)
}

// tick returns unused tokens, and logs when the key proof expires or is renewed.
func (g *gate) tick() {
	g.returnExpiredTokens()
	expired := g.proofExpired(g.core.now)
	if expired == g.reportedUnproven {
		return
	}
	g.reportedUnproven = expired
	age, _ := g.proofAge(g.core.now)
	g.core.log(eventlog.KeysJudged{Proven: !expired, Age: age, Bound: g.core.config.KeyProof})
}

// checkKey returns the reason why a request must not be sent now, nil if it may be sent.
// Arrivals, dispatches and sends all use this check.
func (g *gate) checkKey(now time.Time, request *gatedRequest) *verdict.Error {
	compiled := g.core.compiled
	if request.public || !compiled.RequiresKeys() {
		return nil
	}
	holder := compiled.TenantByKeyHash(request.credential)
	switch {
	case request.credential == "":
		return verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "a key is required")
	case holder == nil:
		return verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the key was taken away")
	case holder.Name != request.tenant:
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the key has gone to another tenant").After(otherNodeRetryAfter)
	case g.proofExpired(now):
		age, _ := g.proofAge(now)
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable,
			"this node can't tell whether the key holds: what it knows of keys is %s old", age.Round(time.Millisecond)).After(UnprovenRetryAfter)
	}
	return nil
}

// admit passes a request on to the router or refuses it.
func (g *gate) admit(request routing.Request) {
	if request.Credential == "" && !g.core.compiled.RequiresKeys() {
		g.core.feedRouter(routing.RequestArrived{Request: request})
		return
	}
	held := &gatedRequest{
		id: request.ID, credential: request.Credential, tenant: request.Tenant, public: request.Public,
		tokens: request.PromptTokens + request.MaxTokens, rank: request.Rank,
		fingerprint: requestFingerprint(&request), deadline: request.Deadline,
	}
	if failure := g.checkKey(g.core.now, held); failure != nil {
		g.refuse(request.ID, failure)
		return
	}
	g.requests[request.ID] = held
	if g.charge(held) == 0 {
		g.core.feedRouter(routing.RequestArrived{Request: request})
		return
	}
	held.heldArrival = &request
	g.requestTokens(held)
}

// callerGone ends a request that is held before it reached the router. It returns false if the
// router has to handle the event.
func (g *gate) callerGone(id cluster.RequestID) bool {
	held := g.requests[id]
	if held == nil || held.heldArrival == nil {
		return false
	}
	g.requestFinished(id)
	g.refuse(id, verdict.New(verdict.NotRun, verdict.CodeCallerGone, "the caller left"))
	return true
}

// heldArrivals counts the requests that are held before they reached the router.
func (g *gate) heldArrivals() int {
	count := 0
	for _, held := range g.pending {
		if held.heldArrival != nil {
			count++
		}
	}
	return count
}

// usesGrantedTokens reports whether a request uses tokens granted to its tenant.
func (g *gate) usesGrantedTokens(id cluster.RequestID) bool {
	held := g.requests[id]
	return held != nil && held.grantedTokens > 0
}

// refuse ends a request that has not reached the router.
func (g *gate) refuse(id cluster.RequestID, failure *verdict.Error) {
	reason := routing.Explanation{Code: failure.Code, Setting: settingProof}
	switch failure.Code {
	case verdict.CodeUnauthorized:
		reason.Setting = settingKey
	case verdict.CodeTokenRateLimit:
		reason.Setting = settingLimit
	}
	g.core.emit(RoutingOutput{Effect: routing.Finish{Request: id, Failure: failure, Reason: reason}})
}

// dispatch passes an attempt on to its machine or withholds it.
func (g *gate) dispatch(d routing.Dispatch) {
	held := g.requests[d.Request]
	if held == nil {
		g.core.emit(RoutingOutput{Effect: d})
		return
	}
	if failure := g.checkKey(g.core.now, held); failure != nil {
		g.withhold(d, failure)
		return
	}
	if g.charge(held) > 0 && !g.tokensValid(g.core.now, held, dispatchTokenMargin) {
		g.returnTokens(held)
		held.heldDispatch = &d
		g.requestTokens(held)
		return
	}
	held.sent = true
	g.core.emit(RoutingOutput{Effect: d})
}

// configurationChanged ends the waiting requests whose keys were revoked.
func (g *gate) configurationChanged() {
	ids := slices.Sorted(maps.Keys(g.requests))
	for _, id := range ids {
		failure := g.checkKey(g.core.now, g.requests[id])
		if failure != nil && failure.Code == verdict.CodeUnauthorized {
			g.core.feedRouter(routing.RequestWithdrawn{Request: id, Failure: failure})
		}
	}
}

// withhold ends an attempt that must not be sent.
func (g *gate) withhold(dispatch routing.Dispatch, failure *verdict.Error) {
	g.core.withheldAttempts = append(g.core.withheldAttempts, routing.AttemptEnded{
		Request: dispatch.Request, Attempt: dispatch.Attempt, Failure: failure, Unreached: true, Withheld: true,
	})
}

// requestFinished drops a request that has ended.
func (g *gate) requestFinished(id cluster.RequestID) {
	held := g.requests[id]
	if held == nil {
		return
	}
	g.returnTokens(held)
	delete(g.requests, id)
	delete(g.pending, held.pendingNumber)
}

// maySend repeats the checks of checkKey and of the tokens at the moment of the send.
func (g *gate) maySend(now time.Time, id cluster.RequestID) *verdict.Error {
	held := g.requests[id]
	if held == nil {
		return nil
	}
	if failure := g.checkKey(now, held); failure != nil {
		return failure
	}
	if g.charge(held) > 0 && !g.tokensValid(now, held, 0) {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable,
			"the tokens of tenant %s were granted %s ago and have lapsed", held.tenant, now.Sub(held.tokensAskedAt).Round(time.Millisecond)).After(otherNodeRetryAfter)
	}
	return nil
}

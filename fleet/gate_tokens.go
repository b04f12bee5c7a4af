package fleet

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/fleet/lending"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
)

// charge returns the amount that the request counts against its tenant's limit, zero if there is
// no limit.
func (g *gate) charge(held *gatedRequest) float64 {
	tenant := g.core.compiled.Tenant(held.tenant)
	if tenant == nil || tenant.Limit.Unlimited() {
		return 0
	}
	return tenant.Limit.Charge(held.tokens)
}

// requestTokens requests the tokens for a request. The answer may be handled before it returns.
func (g *gate) requestTokens(held *gatedRequest) {
	g.lastNumber++
	if g.lastNumber == 1 {
		// Numbers start at the clock's time, so that answers to an earlier process of this
		// machine match no question of this one.
		g.lastNumber = g.core.now.UnixNano()
	}
	held.pendingNumber = g.lastNumber
	g.pending[held.pendingNumber] = held
	g.core.feedLending(lending.TokensRequested{
		Number: held.pendingNumber, Tenant: held.tenant, Amount: g.charge(held), Rank: held.rank,
		Fingerprint: held.fingerprint, MaxRetryWait: g.maxHeededWait(held), Regrant: held.heldDispatch != nil, Patience: held.tokenPatience(g.core.now),
	})
}

// requestFingerprint returns a hash of what a request asks for. A caller that returns with the
// request gets the same fingerprint at every node. Distinct requests may share a fingerprint, and
// then use each other's turns.
func requestFingerprint(request *routing.Request) int64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(request.Model))
	word := make([]byte, 0, 8*(3+len(request.Prefixes)))
	word = binary.LittleEndian.AppendUint64(word, request.Caller)
	word = binary.LittleEndian.AppendUint64(word, uint64(request.PromptTokens))
	word = binary.LittleEndian.AppendUint64(word, uint64(request.MaxTokens))
	for _, prefix := range request.Prefixes {
		word = binary.LittleEndian.AppendUint64(word, prefix)
	}
	_, _ = digest.Write(word)
	return int64(digest.Sum64())
}

// maxHeededWait returns the longest Retry-After that the request's caller can still follow.
func (g *gate) maxHeededWait(held *gatedRequest) time.Duration {
	left := held.deadline.Sub(g.core.now)
	return max(time.Duration(float64(left)*g.core.config.MaxRetryAfterShare), 0)
}

// tokenWaitShare is the share of its remaining time for which an arriving request may wait for
// tokens while no node lends them, so that the rest is enough to serve it.
const tokenWaitShare = 0.5

// tokenPatience returns how long a request may wait for its tokens; zero selects the default.
func (r *gatedRequest) tokenPatience(now time.Time) time.Duration {
	if r.heldArrival == nil {
		return 0
	}
	return time.Duration(tokenWaitShare * float64(r.heldArrival.Deadline.Sub(now)))
}

// handleTokensAnswer handles the answer to a token question and resumes the held request.
func (g *gate) handleTokensAnswer(e lending.TokensDecided) {
	held := g.pending[e.Number]
	delete(g.pending, e.Number)
	if held == nil {
		if e.Granted {
			g.core.feedLending(lending.TokensReturned{Number: e.Number, Tenant: e.Tenant})
		}
		return
	}
	held.pendingNumber = 0
	if e.Granted {
		held.grantedTokens, held.grantNumber, held.tokensAskedAt, held.sent = e.Amount, e.Number, e.AskedAt, false
	}
	failure := g.tokenFailure(&e)
	arrival, dispatch := held.heldArrival, held.heldDispatch
	held.heldArrival, held.heldDispatch = nil, nil
	switch {
	case arrival != nil && failure != nil:
		delete(g.requests, held.id)
		g.refuse(held.id, failure)
	case arrival != nil:
		g.core.feedRouter(routing.RequestArrived{Request: *arrival})
	case dispatch != nil && failure != nil:
		g.withhold(*dispatch, failure)
	case dispatch != nil:
		g.dispatch(*dispatch)
	}
}

// tokenFailure returns the refusal that follows from the answer to a token question, nil if the
// tokens are granted.
func (g *gate) tokenFailure(e *lending.TokensDecided) *verdict.Error {
	switch {
	case e.Granted:
		return nil
	case !e.Decided && g.core.lending.Isolated():
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable,
			"this node reaches no other to ask for the tokens of tenant %s", e.Tenant).After(otherNodeRetryAfter)
	case !e.Decided:
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable,
			"nobody lends the tokens of tenant %s at the moment", e.Tenant).After(noLenderRetryAfter)
	}
	var limit catalog.Limit
	if tenant := g.core.compiled.Tenant(e.Tenant); tenant != nil {
		limit = tenant.Limit
	}
	return verdict.New(verdict.NotRun, verdict.CodeTokenRateLimit,
		"tenant %s is beyond its limit of %.0f a second and a burst of %.0f: %s has not %.0f left, %s",
		e.Tenant, limit.Rate, limit.Burst, e.Lender, e.Amount, describeStanding(e)).After(e.Wait)
}

// describeStanding describes the tenant's usage at the time of the refusal.
func describeStanding(e *lending.TokensDecided) string {
	text := fmt.Sprintf("%.0f of %.0f are used in the window", e.LimitState.Used, e.LimitState.Grants)
	if e.LimitState.FirstAmount > 0 {
		text += fmt.Sprintf(", first in line is rank %d with %.0f", e.LimitState.FirstRank, e.LimitState.FirstAmount)
	}
	if e.Reserved {
		text += ", room is kept at the time told"
	}
	return text
}

// tokensValid reports whether the granted tokens may be used now and remain valid for at least
// left.
func (g *gate) tokensValid(now time.Time, held *gatedRequest, left time.Duration) bool {
	return held.grantedTokens > 0 && now.Sub(held.tokensAskedAt) <= g.core.config.Lending.Lifetime-left
}

// returnTokens returns unused tokens to the lender.
func (g *gate) returnTokens(held *gatedRequest) {
	if held.grantedTokens > 0 && !held.sent {
		g.core.feedLending(lending.TokensReturned{Number: held.grantNumber, Tenant: held.tenant})
	}
	held.grantedTokens = 0
}

// returnExpiredTokens returns the tokens of requests that have waited for longer than the tokens
// are valid.
func (g *gate) returnExpiredTokens() {
	if len(g.requests) == 0 || g.core.now.Before(g.nextReturnAt) {
		return
	}
	g.nextReturnAt = g.core.now.Add(tokenReturnInterval)
	for _, held := range g.requests {
		if held.grantedTokens > 0 && !held.sent && !g.tokensValid(g.core.now, held, dispatchTokenMargin) {
			g.returnTokens(held)
		}
	}
}

// attemptEnded records whether an attempt used its tokens. An attempt that its machine did not
// run may be repeated with the same tokens.
func (g *gate) attemptEnded(e *routing.AttemptEnded) {
	held := g.requests[e.Request]
	if held == nil {
		return
	}
	if e.Failure != nil && e.Failure.Verdict == verdict.NotRun {
		held.sent = false
		return
	}
	held.grantedTokens, held.sent = 0, false
}

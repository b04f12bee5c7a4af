package lending

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// pendingRequest is a request for tokens without an answer.
type pendingRequest struct {
	TokensRequested
	startedAt time.Time
	// retryAt is when another node is asked, or the request given up.
	retryAt time.Time
	// askedNode is the node that was asked last; empty after the answer that there is no lender.
	askedNode cluster.NodeID
}

// handleTokensRequested requests tokens, from this node itself if it is the lender. An isolated
// node answers immediately that no lender was found.
func (c *Core) handleTokensRequested(e TokensRequested) {
	a := &pendingRequest{TokensRequested: e, startedAt: c.now}
	c.pendingRequests[e.Number] = a
	c.requestFromLender(a)
	if _, stillPending := c.pendingRequests[e.Number]; stillPending && c.Isolated() {
		c.complete(a, TokensDecided{})
	}
}

// requestFromLender requests tokens from the lender, or asks a voter who the lender is.
func (c *Core) requestFromLender(a *pendingRequest) {
	s := c.shards[shardOf(a.Tenant)]
	if s.lends() {
		result, known := s.lend(loanID{node: c.cfg.Self.ID, number: a.Number}, a.Tenant, a.tokenRequest())
		if known {
			c.complete(a, TokensDecided{
				Decided: true, Granted: result.granted, Wait: result.wait, Reserved: result.reserved,
				LimitState: s.standing(a.Tenant), AskedAt: c.now, Lender: c.cfg.Self.ID,
			})
			return
		}
	}
	to := s.knownLender
	if to.id == c.cfg.Self.ID || to.address == "" {
		to = s.nextVoter()
	}
	a.askedNode = to.id
	a.retryAt = earliest(c.now.Add(lenderAnswerTimeout), c.requestDeadline(a))
	c.send(to.address, wire.TokensRequest{
		From: c.cfg.Self.ID, FromAddress: c.cfg.Self.Address, Number: a.Number, Tenant: a.Tenant,
		Amount: a.Amount, Rank: a.Rank, Mark: a.Fingerprint, Heeds: a.MaxRetryWait, Again: a.Regrant,
	})
}

// tokenRequest returns the request as the bucket takes it.
func (a *pendingRequest) tokenRequest() tokenRequest {
	return tokenRequest{amount: a.Amount, rank: a.Rank, fingerprint: a.Fingerprint, maxWait: a.MaxRetryWait, regrant: a.Regrant}
}

// nextVoter returns the next reachable voter in round-robin order, other than this node; the zero
// lender if there is none.
func (s *shard) nextVoter() lender {
	machines := s.voters.machines
	for range machines {
		machine := machines[s.voterCursor%len(machines)]
		s.voterCursor++
		if p, known := s.core.peers[machine]; known && machine != s.core.cfg.Self.Machine {
			return lender{id: p.ID, address: p.Address}
		}
	}
	return lender{}
}

// complete ends a pending request with an answer.
func (c *Core) complete(a *pendingRequest, e TokensDecided) {
	delete(c.pendingRequests, a.Number)
	e.Number, e.Tenant, e.Amount = a.Number, a.Tenant, a.Amount
	c.emit(e)
}

// retryPending repeats the pending requests that are due, and gives up those past their deadline.
func (c *Core) retryPending() {
	var due []int64
	for number, a := range c.pendingRequests {
		if !c.now.Before(a.retryAt) {
			due = append(due, number)
		}
	}
	slices.Sort(due)
	for _, number := range due {
		a := c.pendingRequests[number]
		if a.askedNode != "" {
			c.unanswered++
		}
		if !c.now.Before(c.requestDeadline(a)) {
			c.complete(a, TokensDecided{Wait: c.cfg.Lease})
			continue
		}
		// A node that did not answer is not asked first again.
		if s := c.shards[shardOf(a.Tenant)]; a.askedNode != "" && s.knownLender.id == a.askedNode {
			s.knownLender = lender{}
		}
		c.requestFromLender(a)
	}
}

// handleTokensRequest answers another node's request if this node is the lender; otherwise it names
// the lender if known. A request for no tokens probes whether messages arrive.
func (c *Core) handleTokensRequest(m *wire.TokensRequest) {
	s := c.shards[shardOf(m.Tenant)]
	if m.Returned {
		s.acceptReturn(loanID{node: m.From, number: m.Number})
		return
	}
	answer := wire.TokensAnswer{From: c.cfg.Self.ID, Number: m.Number}
	if m.Amount <= 0 {
		answer.Lends = s.lends()
	} else if s.lends() {
		s.answerRequest(m, &answer)
	} else if s.promised.node != "" && s.promised.node != m.From && c.now.Before(s.promised.until) {
		answer.Lender, answer.LenderAddress = s.promised.node, s.promised.address
	}
	c.send(m.FromAddress, answer)
}

// answerRequest fills the lender's answer to another node's request.
func (s *shard) answerRequest(m *wire.TokensRequest, answer *wire.TokensAnswer) {
	request := tokenRequest{amount: m.Amount, rank: m.Rank, fingerprint: m.Mark, maxWait: m.Heeds, regrant: m.Again}
	var result decision
	result, answer.Lends = s.lend(loanID{node: m.From, number: m.Number}, m.Tenant, request)
	answer.Granted, answer.Wait, answer.Reserved = result.granted, result.wait, result.reserved
	if answer.Lends && !result.granted {
		standing := s.standing(m.Tenant)
		answer.Used, answer.FirstRank, answer.FirstAmount = standing.Used, standing.FirstRank, standing.FirstAmount
	}
}

// lend grants tokens, or says when they will be available. known is false if the tenant has no
// limit.
func (s *shard) lend(id loanID, tenant string, request tokenRequest) (result decision, known bool) {
	b := s.buckets[tenant]
	if b == nil {
		return decision{}, false
	}
	if s.loans.has(id) {
		// The earlier answer was late or lost, and the node repeats its request.
		return decision{granted: true}, true
	}
	result = b.take(s.core.now, s.core.cfg.bucketParams(s.core.limits[tenant]), request)
	s.core.countDecision(tenant, request, result)
	if result.granted {
		s.loans.add(id, loan{tenant: tenant, amount: request.amount, at: s.core.now})
	}
	return result, true
}

// standing returns the state of a limit that this node lends; zero if it has no bucket for the
// tenant.
func (s *shard) standing(tenant string) LimitState {
	b := s.buckets[tenant]
	if b == nil {
		return LimitState{}
	}
	standing := LimitState{Used: b.used.sum, Grants: s.core.cfg.windowGrant(s.core.limits[tenant])}
	if first := b.scheduler.furthestBehind(s.core.now); first != nil {
		standing.FirstRank, standing.FirstAmount = first.id.rank, first.lastAmount
	}
	return standing
}

// acceptReturn puts unused tokens of a loan back into the bucket, once for each loan.
func (s *shard) acceptReturn(id loanID) {
	returned, known := s.loans.remove(id)
	b := s.buckets[returned.tenant]
	if known && b != nil && s.lends() {
		outstanding := s.loans.outstandingSince(returned.tenant, s.core.now.Add(-s.core.cfg.Lifetime))
		b.refund(s.core.now, s.core.cfg.bucketParams(s.core.limits[returned.tenant]), returned.amount, s.core.now.Sub(returned.at), outstanding)
	}
}

// handleTokensReturned returns unused tokens to the lender.
func (c *Core) handleTokensReturned(e TokensReturned) {
	s := c.shards[shardOf(e.Tenant)]
	if s.lends() {
		s.acceptReturn(loanID{node: c.cfg.Self.ID, number: e.Number})
		return
	}
	c.send(s.knownLender.address, wire.TokensRequest{
		From: c.cfg.Self.ID, FromAddress: c.cfg.Self.Address, Number: e.Number, Tenant: e.Tenant, Returned: true,
	})
}

// handleTokensAnswer handles an answer. A node that is not the lender may name the lender.
func (c *Core) handleTokensAnswer(m *wire.TokensAnswer) {
	a := c.pendingRequests[m.Number]
	if a == nil || m.From != a.askedNode {
		return
	}
	s := c.shards[shardOf(a.Tenant)]
	if m.Lends {
		s.knownLender = lender{id: m.From, address: c.peers[c.machines[m.From]].Address}
		c.complete(a, TokensDecided{
			Decided: true, Granted: m.Granted, Wait: m.Wait, Reserved: m.Reserved, AskedAt: a.startedAt, Lender: m.From,
			LimitState: LimitState{
				Used: m.Used, Grants: c.cfg.windowGrant(c.limits[a.Tenant]), FirstRank: m.FirstRank, FirstAmount: m.FirstAmount,
			},
		})
		return
	}
	s.knownLender = lender{id: m.Lender, address: m.LenderAddress}
	if m.Lender != "" && m.Lender != c.cfg.Self.ID {
		c.requestFromLender(a)
		return
	}
	s.knownLender = lender{}
	a.askedNode = ""
	pause := noLenderRetryDelay
	if c.startedRecently() {
		pause = startupRetryDelay
	}
	a.retryAt = earliest(c.now.Add(pause), c.requestDeadline(a))
}

// requestDeadline returns when a request is given up. A node that has just started waits for the
// expected first lender if the request's patience allows it: a caller that is refused earlier would
// return later than that.
func (c *Core) requestDeadline(a *pendingRequest) time.Time {
	end, firstLenderExpected := a.startedAt.Add(RequestTimeout), c.startedAt.Add(c.cfg.Lease+firstLenderMargin)
	if a.Patience <= RequestTimeout || !firstLenderExpected.After(end) {
		return end
	}
	return earliest(firstLenderExpected, a.startedAt.Add(a.Patience))
}

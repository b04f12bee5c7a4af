package keyed

import (
	"context"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/idempotency"
	"github.com/valveslip/valveslip/wire"
)

// claim claims a key for a request, in this node's table or at the key's first owner. It
// returns the decision and the node that made it.
func (r *Runner) claim(ctx context.Context, claim idempotency.Claim) (idempotency.Decision, cluster.NodeID) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(r.claimsContext, cancel)()
	self := r.peers.Self().ID
	decision := r.decide(ctx, claim)
	decidedBy := self
	for range maxForwards {
		if decision.Kind != idempotency.DecisionForward || decision.Owner == self {
			break
		}
		decidedBy = decision.Owner
		decision = r.claimAt(ctx, decidedBy, claim)
	}
	if decision.Kind == 0 || decision.Kind == idempotency.DecisionUnavailable {
		r.releaseClaim(claim, decidedBy)
	}
	return decision, decidedBy
}

// releaseClaim frees the key of a request that will not run, at every node that may have
// recorded the claim or may have granted it in a decision that did not arrive.
func (r *Runner) releaseClaim(claim idempotency.Claim, decidedBy cluster.NodeID) {
	r.mutex.Lock()
	owners := r.table.Owners(claim.Key)
	r.mutex.Unlock()
	asked := append(owners[:min(2, len(owners))], decidedBy)
	slices.Sort(asked)
	r.reportOutcome(claim.Key, slices.Compact(asked), idempotency.Outcome{Kind: idempotency.OutcomeNotRun, Request: claim.Request})
}

// decide decides on a claim by this node's table. It asks other owners where the table
// demands it.
func (r *Runner) decide(ctx context.Context, claim idempotency.Claim) idempotency.Decision {
	r.mutex.Lock()
	decision := r.table.Begin(time.Now(), claim)
	r.mutex.Unlock()
	for decision.Kind == idempotency.DecisionAsk {
		answer := r.ask(ctx, decision.Ask, decision.Question)
		r.mutex.Lock()
		decision = r.table.ProcessAnswer(time.Now(), claim.Key, claim.Request, answer)
		r.mutex.Unlock()
	}
	return decision
}

// claimAt claims a key at another node. Without an answer it returns the zero decision;
// the other node may have granted the claim nevertheless.
func (r *Runner) claimAt(ctx context.Context, owner cluster.NodeID, claim idempotency.Claim) idempotency.Decision {
	received, answered := r.call(ctx, owner, claimTimeoutFactor*r.askTimeout, func(number uint64) wire.Message {
		return wire.KeyClaim{
			From: claim.From, FromAddress: r.peers.Self().PeerAddress, Number: number,
			TokenPath: claim.Key.TokenPath, Key: claim.Key.Key, Fingerprint: claim.Fingerprint, Request: claim.Request,
		}
	})
	reply, ok := received.(wire.KeyDecision)
	if !answered || !ok {
		return idempotency.Decision{}
	}
	return idempotency.Decision{
		Kind: idempotency.DecisionKind(reply.Kind), Owner: reply.Owner, Outcome: outcomeFrom(reply.Outcome), RetryAfter: reply.RetryAfter,
	}
}

// ask sends a question to another owner and returns its answer, of kind AnswerNone if none
// arrives in time.
func (r *Runner) ask(ctx context.Context, owner cluster.NodeID, question idempotency.Question) idempotency.Answer {
	received, answered := r.call(ctx, owner, r.askTimeout, func(number uint64) wire.Message {
		return questionMessage(question, r.peers.Self().PeerAddress, number)
	})
	reply, ok := received.(wire.KeyAnswer)
	if !answered || !ok {
		return idempotency.Answer{Kind: idempotency.AnswerNone, From: owner}
	}
	answer := answerFrom(reply)
	answer.To = question.Round
	return answer
}

// fetchAnswer returns the answer that the outcome's holder keeps, nil if it is not available.
func (r *Runner) fetchAnswer(ctx context.Context, outcome idempotency.Outcome) *storedAnswer {
	if outcome.Holder == r.peers.Self().ID {
		return r.keptAnswers.find(outcome.Request)
	}
	received, _ := r.call(ctx, outcome.Holder, r.askTimeout, func(number uint64) wire.Message {
		self := r.peers.Self()
		return wire.KeptAnswerRequest{From: self.ID, FromAddress: self.PeerAddress, Number: number, Request: outcome.Request}
	})
	kept, ok := received.(wire.KeptAnswer)
	if !ok || !kept.Found {
		return nil
	}
	return &storedAnswer{request: outcome.Request, status: kept.Status, contentType: kept.ContentType, body: kept.Body}
}

// call sends a question to a node and waits up to wait for its answer. It returns false
// when the node is not known or does not answer in time.
func (r *Runner) call(ctx context.Context, id cluster.NodeID, wait time.Duration, question func(number uint64) wire.Message) (wire.Message, bool) {
	address, known := r.address(id)
	if !known {
		return nil, false
	}
	bounded, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	number, answers := r.exchange.Open(1)
	defer r.exchange.Forget(number)
	r.peers.Send(address, question(number))
	select {
	case received := <-answers:
		return received, true
	case <-bounded.Done():
		return nil, false
	}
}

// address returns the peer address of another node of the region.
func (r *Runner) address(id cluster.NodeID) (string, bool) {
	members, _ := r.peers.RegionMembers()
	for _, member := range members {
		if member.ID == id {
			return member.PeerAddress, true
		}
	}
	return "", false
}

// reportOutcome records a request's outcome at the given owners or their successors. Other
// nodes are sent the message twice, because one may be lost; the table ignores the repetition.
func (r *Runner) reportOutcome(key idempotency.Key, owners []cluster.NodeID, outcome idempotency.Outcome) {
	self := r.peers.Self().ID
	message := wire.KeyOutcome{From: self, TokenPath: key.TokenPath, Key: key.Key, Outcome: outcomeRecord(outcome)}
	for _, owner := range owners {
		r.mutex.Lock()
		owner = r.table.Heir(owner)
		if owner == self {
			r.table.Finish(time.Now(), key, outcome)
		}
		r.mutex.Unlock()
		if address, known := r.address(owner); known {
			r.peers.Send(address, message)
			time.AfterFunc(outcomeRepeatDelay, func() { r.peers.Send(address, message) })
		}
	}
}

package keyed

import (
	"context"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/idempotency"
	"github.com/valveslip/valveslip/wire"
)

// claim asks for leave, of this node's table or of the key's first owner. It
// returns the decision and the node that made it.
func (r *Runner) claim(ctx context.Context, claim idempotency.Claim) (idempotency.Decision, cluster.NodeID) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(r.claiming, cancel)()
	self := r.peers.Self().ID
	decision := r.decide(ctx, claim)
	giver := self
	for range maxForwards {
		if decision.Kind != idempotency.DecisionForward || decision.Owner == self {
			break
		}
		giver = decision.Owner
		decision = r.claimAt(ctx, giver, claim)
	}
	if decision.Kind == 0 || decision.Kind == idempotency.DecisionUnavailable {
		r.abandon(claim, giver)
	}
	return decision, giver
}

// abandon frees the key where a claim may have been recorded, or given leave
// that did not arrive: the request does not run.
func (r *Runner) abandon(claim idempotency.Claim, giver cluster.NodeID) {
	r.mutex.Lock()
	owners := r.table.Owners(claim.Key)
	r.mutex.Unlock()
	asked := append(owners[:min(2, len(owners))], giver)
	slices.Sort(asked)
	r.finish(claim.Key, slices.Compact(asked), idempotency.Outcome{Kind: idempotency.OutcomeNotRun, Request: claim.Request})
}

// decide decides on a claim here; other owners are asked where necessary.
func (r *Runner) decide(ctx context.Context, claim idempotency.Claim) idempotency.Decision {
	r.mutex.Lock()
	decision := r.table.Begin(time.Now(), claim)
	r.mutex.Unlock()
	for decision.Kind == idempotency.DecisionAsk {
		answer := r.ask(ctx, decision.Ask, decision.Question)
		r.mutex.Lock()
		decision = r.table.Answered(time.Now(), claim.Key, claim.Request, answer)
		r.mutex.Unlock()
	}
	return decision
}

// claimAt asks another node for leave. The decision is zero without an answer;
// the leave may then have been given.
func (r *Runner) claimAt(ctx context.Context, owner cluster.NodeID, claim idempotency.Claim) idempotency.Decision {
	received, answered := r.call(ctx, owner, claimTimes*r.askTime, func(number uint64) wire.Message {
		return wire.KeyClaim{
			From: claim.From, FromAddress: r.peers.Self().PeerAddress, Number: number,
			TokenPath: claim.Key.TokenPath, Key: claim.Key.Key, Fingerprint: claim.Fingerprint, Request: claim.Request,
		}
	})
	decided, ok := received.(wire.KeyDecision)
	if !answered || !ok {
		return idempotency.Decision{}
	}
	return idempotency.Decision{
		Kind: idempotency.DecisionKind(decided.Kind), Owner: decided.Owner, Outcome: outcomeFrom(decided.Outcome), RetryAfter: decided.RetryAfter,
	}
}

// ask puts a question to another owner.
func (r *Runner) ask(ctx context.Context, owner cluster.NodeID, question idempotency.Question) idempotency.Answer {
	received, answered := r.call(ctx, owner, r.askTime, func(number uint64) wire.Message {
		return questionMessage(question, r.peers.Self().PeerAddress, number)
	})
	told, ok := received.(wire.KeyAnswer)
	if !answered || !ok {
		return idempotency.Answer{Kind: idempotency.AnswerNone, From: owner}
	}
	answer := answerFrom(told)
	answer.To = question.Round
	return answer
}

// fetch returns the kept answer of a request, or nil.
func (r *Runner) fetch(ctx context.Context, outcome idempotency.Outcome) *answer {
	if outcome.Holder == r.peers.Self().ID {
		return r.kept.find(outcome.Request)
	}
	received, _ := r.call(ctx, outcome.Holder, r.askTime, func(number uint64) wire.Message {
		self := r.peers.Self()
		return wire.KeptAnswerRequest{From: self.ID, FromAddress: self.PeerAddress, Number: number, Request: outcome.Request}
	})
	kept, ok := received.(wire.KeptAnswer)
	if !ok || !kept.Found {
		return nil
	}
	return &answer{request: outcome.Request, status: kept.Status, contentType: kept.ContentType, body: kept.Body}
}

// call sends a question to a node and waits for its answer for a time.
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

// address returns where a node of the region takes messages.
func (r *Runner) address(id cluster.NodeID) (string, bool) {
	neighbours, _ := r.peers.Neighbours()
	for _, neighbour := range neighbours {
		if neighbour.ID == id {
			return neighbour.PeerAddress, true
		}
	}
	return "", false
}

// finish tells the nodes that know of a request how it ended, the others twice,
// because a message may be lost. The table ignores the second.
func (r *Runner) finish(key idempotency.Key, owners []cluster.NodeID, outcome idempotency.Outcome) {
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
			time.AfterFunc(outcomeRepeat, func() { r.peers.Send(address, message) })
		}
	}
}

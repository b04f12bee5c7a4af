package keyed

import (
	"context"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/idempotency"
	"github.com/valveslip/valveslip/wire"
)

// claim asks for leave, of this node's table or of the key's owner. It returns
// the decision and the node that made it.
func (r *Runner) claim(ctx context.Context, claim idempotency.Claim) (idempotency.Decision, cluster.NodeID) {
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
	return decision, giver
}

// decide decides on a claim here; former owners are asked where necessary.
func (r *Runner) decide(ctx context.Context, claim idempotency.Claim) idempotency.Decision {
	r.mutex.Lock()
	decision := r.table.Begin(time.Now(), claim)
	r.mutex.Unlock()
	for decision.Kind == idempotency.DecisionAsk {
		answer := r.ask(ctx, decision.Ask[0], claim.Key)
		r.mutex.Lock()
		decision = r.table.Answered(time.Now(), claim.Key, claim.Request, answer)
		r.mutex.Unlock()
	}
	return decision
}

// claimAt asks another node for leave. Without an answer the leave may have been
// given; it is handed back, since the request does not run.
func (r *Runner) claimAt(ctx context.Context, owner cluster.NodeID, claim idempotency.Claim) idempotency.Decision {
	received, answered := r.call(ctx, owner, func(number uint64) wire.Message {
		return wire.KeyClaim{
			From: claim.From, FromAddress: r.peers.Self().PeerAddress, Number: number,
			TokenPath: claim.Key.TokenPath, Key: claim.Key.Key, Fingerprint: claim.Fingerprint, Request: claim.Request,
		}
	})
	decided, ok := received.(wire.KeyDecision)
	if !answered || !ok {
		r.finish(claim.Key, owner, idempotency.Outcome{Kind: idempotency.OutcomeNotRun, Request: claim.Request})
		return idempotency.Decision{}
	}
	return idempotency.Decision{
		Kind: idempotency.DecisionKind(decided.Kind), Owner: decided.Owner, Outcome: outcomeFrom(decided.Outcome), RetryAfter: decided.RetryAfter,
	}
}

// ask asks a former owner what it knows of a key.
func (r *Runner) ask(ctx context.Context, owner cluster.NodeID, key idempotency.Key) idempotency.Answer {
	self := r.peers.Self()
	received, answered := r.call(ctx, owner, func(number uint64) wire.Message {
		return wire.KeyQuestion{From: self.ID, FromAddress: self.PeerAddress, Number: number, TokenPath: key.TokenPath, Key: key.Key}
	})
	told, ok := received.(wire.KeyAnswer)
	if !answered || !ok {
		return idempotency.Answer{Kind: idempotency.AnswerNone, From: owner}
	}
	answer := idempotency.Answer{
		Kind: idempotency.AnswerKind(told.Kind), From: told.From, Outcome: outcomeFrom(told.Outcome), Fingerprint: told.Fingerprint,
	}
	for _, past := range told.Past {
		answer.Past = append(answer.Past, idempotency.Past{Until: time.Unix(0, past.Until), Nodes: past.Nodes})
	}
	return answer
}

// fetch returns the kept answer of a request, or nil.
func (r *Runner) fetch(ctx context.Context, outcome idempotency.Outcome) *answer {
	if outcome.Holder == r.peers.Self().ID {
		return r.kept.find(outcome.Request)
	}
	received, _ := r.call(ctx, outcome.Holder, func(number uint64) wire.Message {
		self := r.peers.Self()
		return wire.KeptAnswerRequest{From: self.ID, FromAddress: self.PeerAddress, Number: number, Request: outcome.Request}
	})
	kept, ok := received.(wire.KeptAnswer)
	if !ok || !kept.Found {
		return nil
	}
	return &answer{request: outcome.Request, status: kept.Status, contentType: kept.ContentType, body: kept.Body}
}

// call sends a question to a node and waits for its answer.
func (r *Runner) call(ctx context.Context, id cluster.NodeID, question func(number uint64) wire.Message) (wire.Message, bool) {
	address, known := r.address(id)
	if !known {
		return nil, false
	}
	bounded, cancel := context.WithTimeout(ctx, r.askTime)
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

// finish tells the node that gave leave how a request ended, twice if it is
// another one, because a message may be lost. The table ignores the second.
func (r *Runner) finish(key idempotency.Key, giver cluster.NodeID, outcome idempotency.Outcome) {
	if giver == r.peers.Self().ID {
		r.mutex.Lock()
		r.table.Finish(time.Now(), key, outcome)
		r.mutex.Unlock()
		return
	}
	address, known := r.address(giver)
	if !known {
		return
	}
	message := wire.KeyOutcome{From: r.peers.Self().ID, TokenPath: key.TokenPath, Key: key.Key, Outcome: outcomeRecord(outcome)}
	r.peers.Send(address, message)
	time.AfterFunc(outcomeRepeat, func() { r.peers.Send(address, message) })
}

// outcomeFrom and outcomeRecord convert between message and table.
func outcomeFrom(record wire.KeyOutcomeRecord) idempotency.Outcome {
	return idempotency.Outcome{Kind: idempotency.OutcomeKind(record.Kind), Request: record.Request, Holder: record.Holder}
}

func outcomeRecord(outcome idempotency.Outcome) wire.KeyOutcomeRecord {
	return wire.KeyOutcomeRecord{Kind: int(outcome.Kind), Request: outcome.Request, Holder: outcome.Holder}
}

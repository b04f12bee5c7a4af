package keyed

import (
	"context"
	"time"

	"github.com/valveslip/valveslip/routing/idempotency"
	"github.com/valveslip/valveslip/wire"
)

// Handle takes the messages that concern keys. It returns false for all others.
func (r *Runner) Handle(message wire.Message) bool {
	switch message := message.(type) {
	case wire.KeyClaim:
		go r.claimed(message)
	case wire.KeyQuestion:
		r.asked(message)
	case wire.KeyOutcome:
		r.ended(message)
	case wire.KeyHandover:
		r.inherited(message)
	case wire.KeyHeir:
		r.mutex.Lock()
		r.table.Succeed(time.Now(), message.From, message.Heir)
		r.mutex.Unlock()
	case wire.KeyHandoverAnswer:
		r.exchange.Deliver(message.Number, message)
	case wire.KeptAnswerRequest:
		r.answerWanted(message)
	case wire.KeyDecision:
		r.exchange.Deliver(message.Number, message)
	case wire.KeyAnswer:
		r.exchange.Deliver(message.Number, message)
	case wire.KeptAnswer:
		r.exchange.Deliver(message.Number, message)
	default:
		return false
	}
	return true
}

// claimed decides on another node's claim. Other owners have to be asked,
// so it does not hold up the messages behind it.
func (r *Runner) claimed(message wire.KeyClaim) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimes*r.askTime)
	defer cancel()
	decision := r.decide(ctx, idempotency.Claim{
		Key:         idempotency.Key{TokenPath: message.TokenPath, Key: message.Key},
		Fingerprint: message.Fingerprint, Request: message.Request, From: message.From,
	})
	r.peers.Send(message.FromAddress, wire.KeyDecision{
		From: r.peers.Self().ID, Number: message.Number, Kind: int(decision.Kind),
		Owner: decision.Owner, Outcome: outcomeRecord(decision.Outcome), RetryAfter: decision.RetryAfter,
	})
}

// asked answers another node's question.
func (r *Runner) asked(message wire.KeyQuestion) {
	r.mutex.Lock()
	answer := r.table.Asked(time.Now(), questionFrom(message))
	r.mutex.Unlock()
	r.peers.Send(message.FromAddress, answerMessage(answer, message.Number))
}

// answerWanted sends a kept answer to the node that replays it.
func (r *Runner) answerWanted(message wire.KeptAnswerRequest) {
	sent := wire.KeptAnswer{From: r.peers.Self().ID, Number: message.Number}
	if kept := r.kept.find(message.Request); kept != nil {
		sent.Found, sent.Status, sent.ContentType, sent.Body = true, kept.status, kept.contentType, kept.body
	}
	r.peers.Send(message.FromAddress, sent)
}

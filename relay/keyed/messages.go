package keyed

import (
	"context"
	"time"

	"github.com/valveslip/valveslip/routing/idempotency"
	"github.com/valveslip/valveslip/wire"
)

// Handle processes a message about keys. It returns false for all other messages.
func (r *Runner) Handle(message wire.Message) bool {
	switch message := message.(type) {
	case wire.KeyClaim:
		go r.handleClaim(message)
	case wire.KeyQuestion:
		r.handleQuestion(message)
	case wire.KeyOutcome:
		r.handleOutcome(message)
	case wire.KeyHandover:
		r.handleHandover(message)
	case wire.KeyHeir:
		r.mutex.Lock()
		r.table.RecordHeir(time.Now(), message.From, message.Heir)
		r.mutex.Unlock()
	case wire.KeyHandoverAnswer:
		r.exchange.Deliver(message.Number, message)
	case wire.KeptAnswerRequest:
		r.handleAnswerRequest(message)
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

// handleClaim decides on another node's claim and answers it. It may wait for other owners,
// so it runs in its own goroutine and does not block the messages that follow.
func (r *Runner) handleClaim(message wire.KeyClaim) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeoutFactor*r.askTimeout)
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

// handleQuestion answers another owner's question about a key.
func (r *Runner) handleQuestion(message wire.KeyQuestion) {
	r.mutex.Lock()
	answer := r.table.Answer(time.Now(), questionFrom(message))
	r.mutex.Unlock()
	r.peers.Send(message.FromAddress, answerMessage(answer, message.Number))
}

// handleAnswerRequest sends a kept answer to the node that replays it to a caller.
func (r *Runner) handleAnswerRequest(message wire.KeptAnswerRequest) {
	sent := wire.KeptAnswer{From: r.peers.Self().ID, Number: message.Number}
	if kept := r.keptAnswers.find(message.Request); kept != nil {
		sent.Found, sent.Status, sent.ContentType, sent.Body = true, kept.status, kept.contentType, kept.body
	}
	r.peers.Send(message.FromAddress, sent)
}

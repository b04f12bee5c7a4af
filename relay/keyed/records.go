package keyed

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/idempotency"
	"github.com/valveslip/valveslip/wire"
)

// The functions in this file convert between the messages of package wire and the types of
// package idempotency.

func outcomeFrom(record wire.KeyOutcomeRecord) idempotency.Outcome {
	return idempotency.Outcome{Kind: idempotency.OutcomeKind(record.Kind), Request: record.Request, Holder: record.Holder}
}

func outcomeRecord(outcome idempotency.Outcome) wire.KeyOutcomeRecord {
	return wire.KeyOutcomeRecord{Kind: int(outcome.Kind), Request: outcome.Request, Holder: outcome.Holder}
}

func questionMessage(question idempotency.Question, address string, number uint64) wire.KeyQuestion {
	message := wire.KeyQuestion{
		From: question.From, FromAddress: address, Number: number,
		TokenPath: question.Claim.Key.TokenPath, Key: question.Claim.Key.Key,
		Fingerprint: question.Claim.Fingerprint, Request: question.Claim.Request, Claimant: question.Claim.From,
		Round: question.Round, Record: question.Record, Owners: question.Owners,
	}
	for _, owners := range question.Known {
		message.Known = append(message.Known, owners)
	}
	return message
}

func questionFrom(message wire.KeyQuestion) idempotency.Question {
	question := idempotency.Question{
		Claim: idempotency.Claim{
			Key:         idempotency.Key{TokenPath: message.TokenPath, Key: message.Key},
			Fingerprint: message.Fingerprint, Request: message.Request, From: message.Claimant,
		},
		From: message.From, Round: message.Round, Owners: message.Owners, Record: message.Record,
	}
	if len(message.Owners) == 0 {
		// A node of the previous version sends no owners: it takes itself for the
		// key's only one.
		question.Owners = idempotency.Owners{message.From}
	}
	for _, owners := range message.Known {
		question.Known = append(question.Known, owners)
	}
	return question
}

func answerMessage(answer idempotency.Answer, number uint64) wire.KeyAnswer {
	message := wire.KeyAnswer{
		From: answer.From, Number: number, Kind: int(answer.Kind), Outcome: outcomeRecord(answer.Outcome),
		Fingerprint: answer.Fingerprint, Round: answer.Round, Past: pastMessage(answer.Past),
	}
	for _, known := range answer.Heirs {
		message.Heirs = append(message.Heirs, wire.KeyHeir{From: known.Left, Heir: known.Heir})
	}
	return message
}

func answerFrom(message wire.KeyAnswer) idempotency.Answer {
	answer := idempotency.Answer{
		Kind: idempotency.AnswerKind(message.Kind), From: message.From, Outcome: outcomeFrom(message.Outcome),
		Fingerprint: message.Fingerprint, Round: message.Round, Past: pastFrom(message.Past),
	}
	for _, known := range message.Heirs {
		answer.Heirs = append(answer.Heirs, idempotency.Heir{Left: known.From, Heir: known.Heir})
	}
	return answer
}

func pastMessage(past []idempotency.Past) (sent []wire.PastMembership) {
	for _, former := range past {
		sent = append(sent, wire.PastMembership{Until: former.Until.UnixNano(), Nodes: former.Owners})
	}
	return sent
}

func pastFrom(sent []wire.PastMembership) (past []idempotency.Past) {
	for _, former := range sent {
		past = append(past, idempotency.Past{Until: time.Unix(0, former.Until), Owners: former.Nodes})
	}
	return past
}

// memberOf returns a node in the form of package idempotency.
func memberOf(node cluster.Node) idempotency.Member {
	return idempotency.Member{ID: node.ID, Zone: node.Zone}
}

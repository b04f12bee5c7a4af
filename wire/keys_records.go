package wire

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

type keyClaimRecord struct {
	From        cluster.NodeID
	FromAddress string
	Number      int64
	TokenPath   string
	Key         string
	Fingerprint int64
	Request     cluster.RequestID
}

func keyClaimToRecord(m KeyClaim) *keyClaimRecord {
	return &keyClaimRecord{
		From: m.From, FromAddress: m.FromAddress, Number: int64(m.Number),
		TokenPath: m.TokenPath, Key: m.Key, Fingerprint: int64(m.Fingerprint), Request: m.Request,
	}
}

func (r *keyClaimRecord) toMessage() Message {
	return KeyClaim{
		From: r.From, FromAddress: r.FromAddress, Number: uint64(r.Number),
		TokenPath: r.TokenPath, Key: r.Key, Fingerprint: uint64(r.Fingerprint), Request: r.Request,
	}
}

type keyDecisionRecord struct {
	From       cluster.NodeID
	Number     int64
	Kind       int
	Owner      cluster.NodeID
	Outcome    KeyOutcomeRecord
	RetryAfter int64
}

func keyDecisionToRecord(m KeyDecision) *keyDecisionRecord {
	return &keyDecisionRecord{
		From: m.From, Number: int64(m.Number), Kind: m.Kind, Owner: m.Owner, Outcome: m.Outcome, RetryAfter: int64(m.RetryAfter),
	}
}

func (r *keyDecisionRecord) toMessage() Message {
	return KeyDecision{
		From: r.From, Number: uint64(r.Number), Kind: r.Kind, Owner: r.Owner, Outcome: r.Outcome, RetryAfter: time.Duration(r.RetryAfter),
	}
}

type keyOutcomeRecord KeyOutcome

func (r *keyOutcomeRecord) toMessage() Message { return KeyOutcome(*r) }

type keyQuestionRecord struct {
	From        cluster.NodeID
	FromAddress string
	Number      int64
	TokenPath   string
	Key         string
	Fingerprint int64
	Request     cluster.RequestID
	Claimant    cluster.NodeID
	Round       int64
	Record      bool
	Owners      []cluster.NodeID
	Known       [][]cluster.NodeID
}

func keyQuestionToRecord(m KeyQuestion) *keyQuestionRecord {
	return &keyQuestionRecord{
		From: m.From, FromAddress: m.FromAddress, Number: int64(m.Number), TokenPath: m.TokenPath, Key: m.Key,
		Fingerprint: int64(m.Fingerprint), Request: m.Request, Claimant: m.Claimant,
		Round: int64(m.Round), Record: m.Record, Owners: m.Owners, Known: m.Known,
	}
}

func (r *keyQuestionRecord) toMessage() Message {
	return KeyQuestion{
		From: r.From, FromAddress: r.FromAddress, Number: uint64(r.Number), TokenPath: r.TokenPath, Key: r.Key,
		Fingerprint: uint64(r.Fingerprint), Request: r.Request, Claimant: r.Claimant,
		Round: uint64(r.Round), Record: r.Record, Owners: r.Owners, Known: r.Known,
	}
}

type keyAnswerRecord struct {
	From        cluster.NodeID
	Number      int64
	Kind        int
	Outcome     KeyOutcomeRecord
	Fingerprint int64
	Past        []PastMembership
	Round       int64
	Heirs       []KeyHeir
}

func keyAnswerToRecord(m KeyAnswer) *keyAnswerRecord {
	return &keyAnswerRecord{
		From: m.From, Number: int64(m.Number), Kind: m.Kind, Outcome: m.Outcome, Fingerprint: int64(m.Fingerprint), Past: m.Past,
		Round: int64(m.Round), Heirs: m.Heirs,
	}
}

func (r *keyAnswerRecord) toMessage() Message {
	return KeyAnswer{
		From: r.From, Number: uint64(r.Number), Kind: r.Kind, Outcome: r.Outcome, Fingerprint: uint64(r.Fingerprint), Past: r.Past,
		Round: uint64(r.Round), Heirs: r.Heirs,
	}
}

type keptAnswerRequestRecord struct {
	From        cluster.NodeID
	FromAddress string
	Number      int64
	Request     cluster.RequestID
}

func keptAnswerRequestToRecord(m KeptAnswerRequest) *keptAnswerRequestRecord {
	return &keptAnswerRequestRecord{From: m.From, FromAddress: m.FromAddress, Number: int64(m.Number), Request: m.Request}
}

func (r *keptAnswerRequestRecord) toMessage() Message {
	return KeptAnswerRequest{From: r.From, FromAddress: r.FromAddress, Number: uint64(r.Number), Request: r.Request}
}

type keptAnswerRecord struct {
	From        cluster.NodeID
	Number      int64
	Found       bool
	Status      int
	ContentType string
	Body        []byte
}

func keptAnswerToRecord(m KeptAnswer) *keptAnswerRecord {
	return &keptAnswerRecord{
		From: m.From, Number: int64(m.Number), Found: m.Found, Status: m.Status, ContentType: m.ContentType, Body: m.Body,
	}
}

func (r *keptAnswerRecord) toMessage() Message {
	return KeptAnswer{
		From: r.From, Number: uint64(r.Number), Found: r.Found, Status: r.Status, ContentType: r.ContentType, Body: r.Body,
	}
}

package idempotency

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
)

// Key is a caller's key within the subtree its token is bound to.
type Key struct{ TokenPath, Key string }

// Claim asks for leave to run a request. As a message it goes from the node
// that accepted the request to the key's owner.
type Claim struct {
	Key Key
	// Fingerprint is xxhash64 of the request's body and path; the same key
	// with another one is refused.
	Fingerprint uint64
	Request     cluster.RequestID
	// From is the node that would run the request.
	From cluster.NodeID
}

// OutcomeKind says how a request that got leave ended.
type OutcomeKind uint8

// The outcomes.
const (
	// OutcomeNotRun frees the key.
	OutcomeNotRun OutcomeKind = iota + 1
	// OutcomeAnswered means that the holder keeps the whole answer.
	OutcomeAnswered
	// OutcomeRan means that the request ran, but its answer is not kept.
	OutcomeRan
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
)

// Outcome is the end of a request. As a message, with its key, it goes from the
// node that ran the request to the owner that gave leave.
type Outcome struct {
	Kind    OutcomeKind
	Request cluster.RequestID
	// Holder keeps the answer, for OutcomeAnswered.
	Holder cluster.NodeID
}

// Question asks an owner, present or former, what it knows of a key.
type Question struct {
	Claim Claim
	From  cluster.NodeID
	// Round orders the questions of one node: a later claim of the same first
	// owner supersedes what an earlier one left behind.
	Round uint64
	// Owners of the key in the asker's view.
	Owners Owners
	// Known lists the owners that the asker has asked or will ask.
	Known []Owners
	// Record asks to record the claim. Everyone Known must have vouched.
	Record bool
}

// AnswerKind is what an owner knows of a key.
type AnswerKind uint8

// The answers.
const (
	// AnswerAbsent means that the owner does not know the key and will name the
	// asker's owners to those who ask after.
	AnswerAbsent AnswerKind = iota + 1
	// AnswerInProgress and AnswerEnded tell the state of a known key.
	AnswerInProgress
	AnswerEnded
	// AnswerNone means that the owner could not be asked or cannot tell.
	AnswerNone
	// AnswerRecorded means that the claim is recorded.
	AnswerRecorded
	// AnswerOutbid means that the owner vouched to a claim with a later round.
	AnswerOutbid
)

// Answer answers a Question.
type Answer struct {
	Kind    AnswerKind
	From    cluster.NodeID
	Outcome Outcome
	// Fingerprint of the known request.
	Fingerprint uint64
	// Round that the question must pass, for AnswerOutbid.
	Round uint64
	// To is the round of the question.
	To uint64
	// Heirs that the asker may not know of, if Past is not empty.
	Heirs []Heir
	// Past owners of the key that the asker did not name.
	Past []Past
}

// Heir answers in the stead of a node that left.
type Heir struct{ Left, Heir cluster.NodeID }

// Past are the owners of a key until a time.
type Past struct {
	Until  time.Time
	Owners Owners
}

// DecisionKind is what to do with a claim.
type DecisionKind uint8

// The decisions.
const (
	// DecisionRun gives leave.
	DecisionRun DecisionKind = iota + 1
	// DecisionForward says that another node owns the key.
	DecisionForward
	// DecisionAsk says that another owner must be asked first.
	DecisionAsk
	// DecisionReplay says that the answer is kept by Outcome.Holder.
	DecisionReplay
	// DecisionInProgress, DecisionRan, DecisionUnknown, DecisionMismatch and
	// DecisionFull refuse the claim.
	DecisionInProgress
	DecisionRan
	DecisionUnknown
	DecisionMismatch
	DecisionFull
	// DecisionUnavailable refuses a claim because an owner did not answer.
	DecisionUnavailable
)

// Decision is the answer to a Claim.
type Decision struct {
	Kind DecisionKind
	// Owner to ask instead, for DecisionForward; the one that recorded the
	// claim besides the first, for DecisionRun.
	Owner cluster.NodeID
	// Ask is whom to put Question to, for DecisionAsk; the Answer is handed to
	// Table.Answered.
	Ask      cluster.NodeID
	Question Question
	// Outcome for DecisionReplay and DecisionRan.
	Outcome Outcome
	// RetryAfter is when asking again may give another decision.
	RetryAfter time.Duration
}

// Failure returns the error for the caller, or nil when the decision is no
// refusal. Its verdict speaks of the request that the key stands for.
func (d Decision) Failure() *verdict.Error {
	var failure *verdict.Error
	switch d.Kind {
	case DecisionInProgress:
		failure = verdict.New(verdict.MayHaveRun, verdict.CodeDuplicateKey, "a request with this key is in progress")
	case DecisionRan:
		failure = verdict.New(verdict.Ran, verdict.CodeDuplicateKey, "the request with this key ran; its answer is not kept")
	case DecisionUnknown:
		failure = verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "a request with this key may have run on a node that is gone")
	case DecisionMismatch:
		failure = verdict.New(verdict.NotRun, verdict.CodeConflict, "the key was used with another request")
	case DecisionFull:
		failure = verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this node keeps no more keys")
	case DecisionUnavailable:
		failure = verdict.New(verdict.NotRun, verdict.CodeUnavailable, "a node that keeps this key does not answer")
	default:
		return nil
	}
	return failure.After(d.RetryAfter)
}

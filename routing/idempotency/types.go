package idempotency

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
)

// Key is a caller's idempotency key within the subtree that its token is bound to.
type Key struct{ TokenPath, Key string }

// Claim asks for permission to run a request. As a message it goes from the node that accepted the
// request to the first owner of the key.
type Claim struct {
	Key Key
	// Fingerprint is the xxhash64 of the request's body and path. A request with the same key and
	// another fingerprint is refused.
	Fingerprint uint64
	Request     cluster.RequestID
	// From is the node that would run the request.
	From cluster.NodeID
}

// OutcomeKind is how a granted request ended.
type OutcomeKind uint8

// The outcomes.
const (
	// OutcomeNotRun means that the request did not run, which frees the key.
	OutcomeNotRun OutcomeKind = iota + 1
	// OutcomeAnswered means that the holder stores the whole answer.
	OutcomeAnswered
	// OutcomeRan means that the request ran, but its answer is not stored.
	OutcomeRan
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
)

// Outcome is the end of a request. As a message it goes, with its key, from the node that ran the
// request to the owners that recorded the claim.
type Outcome struct {
	Kind    OutcomeKind
	Request cluster.RequestID
	// Holder is the node that stores the answer, for OutcomeAnswered.
	Holder cluster.NodeID
}

// Question asks a present or former owner what it knows of a key.
type Question struct {
	Claim Claim
	From  cluster.NodeID
	// Round orders the questions of one node: a later claim of the same first owner supersedes the
	// records of its earlier ones.
	Round uint64
	// Owners are the owners of the key in the asker's view.
	Owners Owners
	// Known lists the sets of owners that the asker has asked or will ask.
	Known []Owners
	// Record asks to record the claim. The asker sets it only after a quorum of each set in Known
	// confirmed that the key is unknown; the asker and the recipient count as confirming.
	Record bool
}

// AnswerKind is what an owner knows of a key.
type AnswerKind uint8

// The answers.
const (
	// AnswerAbsent means that the owner does not know the key and promises to name the asker's
	// owners to later askers.
	AnswerAbsent AnswerKind = iota + 1
	// AnswerInProgress and AnswerEnded are the states of a known key.
	AnswerInProgress
	AnswerEnded
	// AnswerNone means that the owner did not answer or can't tell.
	AnswerNone
	// AnswerRecorded means that the claim is recorded.
	AnswerRecorded
	// AnswerOutbid means that the owner made a promise to a claim with a higher ballot.
	AnswerOutbid
)

// Answer answers a Question.
type Answer struct {
	Kind    AnswerKind
	From    cluster.NodeID
	Outcome Outcome
	// Fingerprint is that of the known request.
	Fingerprint uint64
	// Round is the round that the next question must exceed, for AnswerOutbid.
	Round uint64
	// To is the round of the question.
	To uint64
	// Heirs are the successors that the asker may not know of. It is set if Past is not empty.
	Heirs []Heir
	// Past are former owners of the key that the asker did not name.
	Past []Past
}

// Heir is the successor that answers in place of a node that left.
type Heir struct{ Left, Heir cluster.NodeID }

// Past are the owners of a key until a time.
type Past struct {
	Until  time.Time
	Owners Owners
}

// DecisionKind is the result of a claim.
type DecisionKind uint8

// The decisions.
const (
	// DecisionRun grants the claim: the request may run.
	DecisionRun DecisionKind = iota + 1
	// DecisionForward means that another node is the first owner of the key.
	DecisionForward
	// DecisionAsk means that another owner must be asked first.
	DecisionAsk
	// DecisionReplay means that Outcome.Holder stores the answer.
	DecisionReplay
	// DecisionInProgress, DecisionRan, DecisionUnknown, DecisionMismatch and DecisionFull refuse
	// the claim.
	DecisionInProgress
	DecisionRan
	DecisionUnknown
	DecisionMismatch
	DecisionFull
	// DecisionUnavailable refuses the claim because an owner did not answer.
	DecisionUnavailable
)

// Decision is the answer to a Claim.
type Decision struct {
	Kind DecisionKind
	// Owner is the node to send the claim to, for DecisionForward, and the backup that recorded
	// the claim, for DecisionRun.
	Owner cluster.NodeID
	// Ask is the node to send Question to, for DecisionAsk. Its Answer is passed to
	// Table.ProcessAnswer.
	Ask      cluster.NodeID
	Question Question
	// Outcome is set for DecisionReplay and DecisionRan.
	Outcome Outcome
	// RetryAfter is the time after which the decision may be different.
	RetryAfter time.Duration
}

// Failure returns the error for the caller, or nil if the decision is not a refusal. Its verdict is
// about the request that the key stands for.
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

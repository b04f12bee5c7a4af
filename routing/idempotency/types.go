// Package idempotency decides whether a request that carries an
// Idempotency-Key may run, is being run, was run, or may have been run by a
// node that can no longer be asked.
//
// Each key has one owner among the nodes of the cell, by rendezvous hashing.
// The node that accepted the request asks the owner for leave (a Claim), runs
// the request itself and reports the outcome to the owner that gave leave. A
// key is remembered for a window after its last change.
//
// When membership changes, some keys get another owner. A new owner gives leave
// for a key only after every owner that the key had within the window said that
// it does not know it; by saying so, a former owner gives the key up for good.
// If one of them is gone, the outcome is unknown, and the request does not run.
//
// Table is a pure data structure: it has no clock, no network and no lock.
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

// Question asks a former owner what it knows of a key.
type Question struct {
	Key  Key
	From cluster.NodeID
}

// AnswerKind is what a former owner knows of a key.
type AnswerKind uint8

// The answers.
const (
	// AnswerAbsent means that the former owner does not know the key and will
	// give no leave for it from now on.
	AnswerAbsent AnswerKind = iota + 1
	// AnswerInProgress and AnswerEnded tell the state of a known key.
	AnswerInProgress
	AnswerEnded
	// AnswerNone means that the former owner could not be asked.
	AnswerNone
)

// Answer is a former owner's answer to a Question.
type Answer struct {
	Kind    AnswerKind
	From    cluster.NodeID
	Outcome Outcome
	// Fingerprint of the known request.
	Fingerprint uint64
	// Past memberships within the answering node's window, which a node that
	// joined later does not know of.
	Past []Past
}

// Past is a set of nodes that shared the keys until a time.
type Past struct {
	Until time.Time
	Nodes []cluster.NodeID
}

// DecisionKind is what to do with a claim.
type DecisionKind uint8

// The decisions.
const (
	// DecisionRun gives leave.
	DecisionRun DecisionKind = iota + 1
	// DecisionForward says that another node owns the key.
	DecisionForward
	// DecisionAsk says that former owners must be asked first.
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
)

// Decision is the answer to a Claim.
type Decision struct {
	Kind DecisionKind
	// Owner for DecisionForward.
	Owner cluster.NodeID
	// Ask lists the former owners to ask, for DecisionAsk; each one's Answer
	// is handed to Table.Answered.
	Ask []cluster.NodeID
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
	default:
		return nil
	}
	return failure.After(d.RetryAfter)
}

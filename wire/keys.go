package wire

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// KeyClaim asks the owner of an idempotency key for leave to run a request.
type KeyClaim struct {
	From        cluster.NodeID
	FromAddress string
	// Number pairs the decision with the claim.
	Number uint64
	// TokenPath and Key name the key.
	TokenPath, Key string
	// Fingerprint of the request's path and body.
	Fingerprint uint64
	Request     cluster.RequestID
}

// KeyDecision answers a KeyClaim.
type KeyDecision struct {
	From   cluster.NodeID
	Number uint64
	// Kind is an idempotency.DecisionKind.
	Kind int
	// Owner to ask instead.
	Owner      cluster.NodeID
	Outcome    KeyOutcomeRecord
	RetryAfter time.Duration
}

// KeyOutcomeRecord is how the request of a key ended.
type KeyOutcomeRecord struct {
	// Kind is an idempotency.OutcomeKind.
	Kind    int
	Request cluster.RequestID
	// Holder keeps the answer.
	Holder cluster.NodeID
}

// KeyOutcome tells an owner that gave leave or recorded it how the request ended.
type KeyOutcome struct {
	From           cluster.NodeID
	TokenPath, Key string
	Outcome        KeyOutcomeRecord
}

// KeyQuestion asks another owner what it knows of a key, or to record a claim.
type KeyQuestion struct {
	From           cluster.NodeID
	FromAddress    string
	Number         uint64
	TokenPath, Key string
	// Fingerprint, Request and Claimant are those of the claim.
	Fingerprint uint64
	Request     cluster.RequestID
	Claimant    cluster.NodeID
	// Round orders the questions of one node about a key.
	Round uint64
	// Record asks to record the claim.
	Record bool
	// Owners of the key in the asker's view, and all that it knows of.
	Owners []cluster.NodeID
	Known  [][]cluster.NodeID
}

// KeyAnswer answers a KeyQuestion.
type KeyAnswer struct {
	From   cluster.NodeID
	Number uint64
	// Kind is an idempotency.AnswerKind.
	Kind        int
	Outcome     KeyOutcomeRecord
	Fingerprint uint64
	Past        []PastMembership
	// Round that the question must pass.
	Round uint64
	// Heirs answer in the stead of nodes that left.
	Heirs []KeyHeir
}

// PastMembership names the owners of a key until a time, in rank order.
type PastMembership struct {
	// Until is in Unix nanoseconds.
	Until int64
	Nodes []cluster.NodeID
}

// KeptAnswerRequest asks the holder of a request's answer for it.
type KeptAnswerRequest struct {
	From        cluster.NodeID
	FromAddress string
	Number      uint64
	Request     cluster.RequestID
}

// KeptAnswer answers a KeptAnswerRequest.
type KeptAnswer struct {
	From   cluster.NodeID
	Number uint64
	// Found is false when the answer is not kept any more.
	Found       bool
	Status      int
	ContentType string
	Body        []byte
}

func (KeyClaim) message()          {}
func (KeyDecision) message()       {}
func (KeyOutcome) message()        {}
func (KeyQuestion) message()       {}
func (KeyAnswer) message()         {}
func (KeptAnswerRequest) message() {}
func (KeptAnswer) message()        {}

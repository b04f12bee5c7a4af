package wire

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// KeyClaim asks the owner of an idempotency key for permission to run a request.
type KeyClaim struct {
	From        cluster.NodeID
	FromAddress string
	// Number identifies the claim in the decision.
	Number uint64
	// TokenPath and Key identify the idempotency key.
	TokenPath, Key string
	// Fingerprint is a hash of the request's path and body.
	Fingerprint uint64
	Request     cluster.RequestID
}

// KeyDecision answers a KeyClaim.
type KeyDecision struct {
	From   cluster.NodeID
	Number uint64
	// Kind is an idempotency.DecisionKind.
	Kind int
	// Owner is the node to ask instead, if Kind says so.
	Owner      cluster.NodeID
	Outcome    KeyOutcomeRecord
	RetryAfter time.Duration
}

// KeyOutcomeRecord is the outcome of a key's request.
type KeyOutcomeRecord struct {
	// Kind is an idempotency.OutcomeKind.
	Kind    int
	Request cluster.RequestID
	// Holder is the node that keeps the answer.
	Holder cluster.NodeID
}

// KeyOutcome reports the outcome of a request to an owner that granted or recorded its claim.
type KeyOutcome struct {
	From           cluster.NodeID
	TokenPath, Key string
	Outcome        KeyOutcomeRecord
}

// KeyQuestion asks another owner of a key for its records, or to record a claim.
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
	// Record asks the receiver to record the claim.
	Record bool
	// Owners are the key's owners as the sender knows them. Known are all sets of owners that
	// the sender knows of, including former ones.
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
	// Round is the round that the question must exceed.
	Round uint64
	// Heirs lists the nodes that answer for nodes that have left.
	Heirs []KeyHeir
}

// PastMembership lists the owners that a key had until a time, in rank order.
type PastMembership struct {
	// Until is the end of the membership in Unix nanoseconds.
	Until int64
	Nodes []cluster.NodeID
}

// KeptAnswerRequest asks the node that keeps a request's answer to send it.
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
	// Found is false if the answer is no longer kept.
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

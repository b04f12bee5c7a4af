package idempotency

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/internal/binaryheap"
)

// Config configures a Table. A zero field takes the documented default.
type Config struct {
	// Window is how long a key is remembered after its last change. It must be longer than any
	// request's deadline. Default 30 min.
	Window time.Duration
	// MaxKeys bounds the remembered keys. Beyond it claims are refused; keys are never dropped
	// early. Default 100,000.
	MaxKeys int
	// RetryAfter is the retry delay for a key in progress. Default 1 s.
	RetryAfter time.Duration
	// AskTime bounds how long a claim waits for answers of other owners. Default 5 s.
	AskTime time.Duration
	// Lag is the longest time for which the membership views of two nodes may differ, including
	// the time that one request runs. Default 10 min.
	Lag time.Duration
}

func (c Config) withDefaults() Config {
	if c.Window <= 0 {
		c.Window = 30 * time.Minute
	}
	if c.MaxKeys <= 0 {
		c.MaxKeys = 100_000
	}
	if c.RetryAfter <= 0 {
		c.RetryAfter = time.Second
	}
	if c.AskTime <= 0 {
		c.AskTime = 5 * time.Second
	}
	if c.Lag <= 0 {
		c.Lag = 10 * time.Minute
	}
	return c
}

// state is the state of an entry.
type state uint8

const (
	// promised: the key is not known, but promises were made to askers.
	promised state = iota
	// asking: a claim waits for answers of other owners.
	asking
	inProgress
	ended
)

// ballot orders the claims of a key by different first owners.
type ballot struct {
	round uint64
	node  cluster.NodeID
}

func (b ballot) less(other ballot) bool {
	return b.round < other.round || b.round == other.round && b.node < other.node
}

// entry is the state of one remembered key.
type entry struct {
	key   Key
	hash  uint64
	state state
	claim Claim
	// ballot is that of the claim. It has another first owner if the claim is only recorded here.
	ballot  ballot
	outcome Outcome
	expires int64
	index   int

	// promisedOwners lists the owners of the askers that were told that the key is not known here,
	// and highestBallot is the highest of their ballots.
	promisedOwners []formerOwners
	highestBallot  ballot

	// The following fields are for an asking claim: the owners in this node's view, the former
	// owners learned from others, the nodes that confirmed that the key is unknown to them, the
	// nodes that did not answer, whether the backup recorded the claim, and how often a higher
	// ballot rejected it.
	owners        Owners
	learnedOwners []formerOwners
	confirmed     []cluster.NodeID
	unanswered    []cluster.NodeID
	recorded      bool
	rejections    int
}

// maxRejections bounds how often one claim is restarted with a higher ballot.
const maxRejections = 3

// Table is one node's part of the keys. Invariant: within a window, at most one claim of a key gets
// DecisionRun from any table until its outcome is OutcomeNotRun, as long as the membership views of
// the nodes differ for less than Config.Lag. This holds for three reasons:
//
//   - a claim is granted under a set of owners only after the first two of them recorded it;
//   - every quorum of a set of owners shares a node with every other quorum of that set and with its
//     first two owners (Owners.hasQuorum);
//   - a node that confirms the absence of a key names all owners that it confirmed it to before, and
//     afterwards neither records nor confirms it for a lower ballot.
//
// The invariant can be lost only if two of a key's three owners are lost.
type Table struct {
	self    cluster.NodeID
	config  Config
	joined  bool
	members members
	history history
	round   uint64
	// handedOver is set after Leave. successors holds the nodes that are known to have handed over.
	handedOver bool
	successors map[cluster.NodeID]successor
	entries    map[Key]*entry
	// expiry holds the same entries, ordered by expiry.
	expiry binaryheap.Heap[*entry]
}

// New returns the table of a node that has not joined yet. It refuses all claims until SetMembers.
func New(self cluster.NodeID, config Config) *Table {
	return &Table{self: self, config: config.withDefaults(), entries: make(map[Key]*entry), successors: make(map[cluster.NodeID]successor)}
}

// retention is how long a former membership must be considered.
func (t *Table) retention() int64 { return int64(t.config.Window + t.config.Lag) }

// Len returns the number of remembered keys.
func (t *Table) Len() int { return len(t.entries) }

// SetMembers sets the living nodes of the region, including this one. The first call means that the
// node has joined, and that the other nodes owned all keys until now. A node must not call it with
// only itself while other nodes may be alive.
func (t *Table) SetMembers(now time.Time, nodes []Member) {
	current := newMembers(nodes)
	if t.joined && slices.Equal(current.nodes, t.members.nodes) {
		return
	}
	nanos := now.UnixNano()
	if t.joined {
		t.history.add(pastMembership{nanos, t.members}, t.retention())
	}
	if !t.joined || len(t.members.nodes) <= 1 {
		t.history.add(pastMembership{nanos, current.without(t.self)}, t.retention())
	}
	t.members, t.joined = current, true
	t.markLost(nanos)
}

// markLost sets the outcome of requests in progress on nodes that are gone to unknown.
func (t *Table) markLost(nanos int64) {
	for _, e := range t.entries {
		if e.state == inProgress && !t.members.contains(e.claim.From) {
			t.setOutcome(nanos, e, Outcome{Kind: OutcomeUnknown, Request: e.claim.Request})
		}
	}
}

// Owners returns the present owners of a key.
func (t *Table) Owners(key Key) Owners { return t.members.owners(key.hash()) }

// Begin decides on a claim.
func (t *Table) Begin(now time.Time, claim Claim) Decision {
	nanos := now.UnixNano()
	t.expire(nanos)
	if !t.joined {
		return Decision{Kind: DecisionUnknown, RetryAfter: t.config.RetryAfter}
	}
	if t.handedOver {
		return Decision{Kind: DecisionUnavailable, RetryAfter: t.config.RetryAfter}
	}
	e := t.entries[claim.Key]
	if e != nil && e.state != promised {
		return t.decideKnown(e, claim)
	}
	hash := claim.Key.hash()
	if owner := t.members.owners(hash)[0]; owner != t.self {
		return Decision{Kind: DecisionForward, Owner: owner}
	}
	if e == nil {
		if len(t.entries) >= t.config.MaxKeys {
			return Decision{Kind: DecisionFull, RetryAfter: t.nextExpiry(nanos)}
		}
		e = &entry{key: claim.Key, hash: hash}
	}
	t.round++
	e.claim, e.ballot = claim, ballot{t.round, t.self}
	t.setState(e, asking, nanos+int64(t.config.AskTime))
	return t.advance(nanos, e)
}

// decideKnown decides on a claim whose key has an entry.
func (t *Table) decideKnown(e *entry, claim Claim) Decision {
	if e.claim.Fingerprint != claim.Fingerprint {
		return Decision{Kind: DecisionMismatch, RetryAfter: t.config.Window}
	}
	if e.state == ended {
		return t.decideByOutcome(e.outcome)
	}
	return Decision{Kind: DecisionInProgress, RetryAfter: t.config.RetryAfter}
}

// decideByOutcome decides on a claim whose key belongs to a request that ended.
func (t *Table) decideByOutcome(outcome Outcome) Decision {
	switch outcome.Kind {
	case OutcomeAnswered:
		return Decision{Kind: DecisionReplay, Outcome: outcome}
	case OutcomeRan:
		return Decision{Kind: DecisionRan, Outcome: outcome, RetryAfter: t.config.Window}
	default:
		return Decision{Kind: DecisionUnknown, RetryAfter: t.config.Window}
	}
}

// Finish processes the outcome of a request that was granted or recorded here. It ignores outcomes
// of other requests.
func (t *Table) Finish(now time.Time, key Key, outcome Outcome) {
	nanos := now.UnixNano()
	t.expire(nanos)
	e := t.entries[key]
	if e == nil || e.claim.Request != outcome.Request {
		return
	}
	// A request that was marked as lost may still report its outcome.
	lost := e.state == ended && e.outcome.Kind == OutcomeUnknown
	if e.state != inProgress && !lost {
		return
	}
	if outcome.Kind == OutcomeNotRun {
		t.releaseClaim(nanos, e)
		return
	}
	t.setOutcome(nanos, e, outcome)
}

// setOutcome ends the request of an entry.
func (t *Table) setOutcome(nanos int64, e *entry, outcome Outcome) {
	e.outcome = outcome
	t.setState(e, ended, nanos+int64(t.config.Window))
}

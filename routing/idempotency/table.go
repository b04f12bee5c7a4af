package idempotency

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/internal/binaryheap"
)

// Config tunes a Table. A zero field takes the documented default.
type Config struct {
	// Window for which a key is remembered after its last change; it must be
	// longer than any request's deadline. Default 30 min.
	Window time.Duration
	// MaxKeys bounds the remembered keys; beyond it claims are refused, never
	// keys forgotten. Default 100,000.
	MaxKeys int
	// RetryAfter for keys in progress. Default 1 s.
	RetryAfter time.Duration
	// AskTime bounds how long other owners may be asked. Default 5 s.
	AskTime time.Duration
	// Lag bounds for how long two nodes' views of membership may differ, the
	// time that one request runs included. Default 10 min.
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

// state of an entry.
type state uint8

const (
	// promised: the key is not known, but askers were promised to be named.
	promised state = iota
	// asking: a claim waits for the answers of other owners.
	asking
	inProgress
	ended
)

// ballot orders the claims of a key at different first owners.
type ballot struct {
	round uint64
	node  cluster.NodeID
}

func (b ballot) less(other ballot) bool {
	return b.round < other.round || b.round == other.round && b.node < other.node
}

// entry is one remembered key.
type entry struct {
	key   Key
	hash  uint64
	state state
	claim Claim
	// ballot of the claim; of another first owner if the claim is only recorded
	// here.
	ballot  ballot
	outcome Outcome
	expires int64
	index   int

	// promised lists the owners of those that were told that the key is not
	// known here, and highest is the highest of their ballots.
	promised []formerOwners
	highest  ballot

	// The rest is for a claim that is asking: the owners in this node's view,
	// former owners learned from others, who vouched, who did not answer.
	owners   Owners
	learned  []formerOwners
	vouched  []cluster.NodeID
	failed   []cluster.NodeID
	recorded bool
	outbid   int
}

// maxOutbid bounds how often one claim starts again with a higher ballot.
const maxOutbid = 3

// Table is one node's part of the keys. Invariant: within a window, at most one
// claim of a key gets DecisionRun from any table until its outcome is
// OutcomeNotRun, as long as the nodes' views of membership differ for less than
// Config.Lag. It holds because
//
//   - leave is given under some owners only after the first two recorded it;
//   - every set that vouches for some owners shares a node with every other
//     such set and with the first two (Owners.vouch);
//   - a node that vouches names all owners that it vouched to before, and
//     records or vouches to no lower ballot after.
//
// Only the loss of two of a key's three owners loses it.
type Table struct {
	self    cluster.NodeID
	config  Config
	joined  bool
	members members
	history history
	round   uint64
	// left is set when the table has handed over, heirs tells who did.
	left    bool
	heirs   map[cluster.NodeID]successor
	entries map[Key]*entry
	// expiry holds the same entries by when they expire.
	expiry binaryheap.Heap[*entry]
}

// New returns the table of a node that has not joined yet: it refuses all
// claims until SetMembers.
func New(self cluster.NodeID, config Config) *Table {
	return &Table{self: self, config: config.withDefaults(), entries: make(map[Key]*entry), heirs: make(map[cluster.NodeID]successor)}
}

// retention is for how long a former membership matters.
func (t *Table) retention() int64 { return int64(t.config.Window + t.config.Lag) }

// Len counts the remembered keys.
func (t *Table) Len() int { return len(t.entries) }

// SetMembers puts the living nodes of the cell, this one included, in force.
// The first call means that the node has joined: those others owned all keys
// until now. A node must not call it with itself alone while it has reason to
// believe that others are alive.
func (t *Table) SetMembers(now time.Time, nodes []Member) {
	current := newMembers(nodes)
	if t.joined && slices.Equal(current.nodes, t.members.nodes) {
		return
	}
	nanos := now.UnixNano()
	if t.joined {
		t.history.add(past{nanos, t.members}, t.retention())
	}
	if !t.joined || len(t.members.nodes) <= 1 {
		t.history.add(past{nanos, current.without(t.self)}, t.retention())
	}
	t.members, t.joined = current, true
	t.lose(nanos)
}

// lose marks the requests in progress on nodes that are gone.
func (t *Table) lose(nanos int64) {
	for _, held := range t.entries {
		if held.state == inProgress && !t.members.contains(held.claim.From) {
			t.end(nanos, held, Outcome{Kind: OutcomeUnknown, Request: held.claim.Request})
		}
	}
}

// Owners returns the owners of a key now.
func (t *Table) Owners(key Key) Owners { return t.members.owners(key.hash()) }

// Begin decides on a claim.
func (t *Table) Begin(now time.Time, claim Claim) Decision {
	nanos := now.UnixNano()
	t.expire(nanos)
	if !t.joined {
		return Decision{Kind: DecisionUnknown, RetryAfter: t.config.RetryAfter}
	}
	if t.left {
		return Decision{Kind: DecisionUnavailable, RetryAfter: t.config.RetryAfter}
	}
	held := t.entries[claim.Key]
	if held != nil && held.state != promised {
		return t.known(held, claim)
	}
	hash := claim.Key.hash()
	if owner := t.members.owners(hash)[0]; owner != t.self {
		return Decision{Kind: DecisionForward, Owner: owner}
	}
	if held == nil {
		if len(t.entries) >= t.config.MaxKeys {
			return Decision{Kind: DecisionFull, RetryAfter: t.nextExpiry(nanos)}
		}
		held = &entry{key: claim.Key, hash: hash}
	}
	t.round++
	held.claim, held.ballot = claim, ballot{t.round, t.self}
	t.keep(held, asking, nanos+int64(t.config.AskTime))
	return t.settle(nanos, held)
}

// known decides on a claim of a key that has an entry.
func (t *Table) known(held *entry, claim Claim) Decision {
	if held.claim.Fingerprint != claim.Fingerprint {
		return Decision{Kind: DecisionMismatch, RetryAfter: t.config.Window}
	}
	if held.state == ended {
		return t.told(held.outcome)
	}
	return Decision{Kind: DecisionInProgress, RetryAfter: t.config.RetryAfter}
}

// told decides on a claim of a key whose request ended.
func (t *Table) told(outcome Outcome) Decision {
	switch outcome.Kind {
	case OutcomeAnswered:
		return Decision{Kind: DecisionReplay, Outcome: outcome}
	case OutcomeRan:
		return Decision{Kind: DecisionRan, Outcome: outcome, RetryAfter: t.config.Window}
	default:
		return Decision{Kind: DecisionUnknown, RetryAfter: t.config.Window}
	}
}

// Finish takes the outcome of a request that got leave here or was recorded
// here. Outcomes of other requests are ignored.
func (t *Table) Finish(now time.Time, key Key, outcome Outcome) {
	nanos := now.UnixNano()
	t.expire(nanos)
	held := t.entries[key]
	if held == nil || held.claim.Request != outcome.Request {
		return
	}
	// A request that was thought lost may report its outcome after all.
	lost := held.state == ended && held.outcome.Kind == OutcomeUnknown
	if held.state != inProgress && !lost {
		return
	}
	if outcome.Kind == OutcomeNotRun {
		t.release(nanos, held)
		return
	}
	t.end(nanos, held, outcome)
}

func (t *Table) end(nanos int64, held *entry, outcome Outcome) {
	held.outcome = outcome
	t.keep(held, ended, nanos+int64(t.config.Window))
}

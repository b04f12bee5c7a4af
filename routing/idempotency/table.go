package idempotency

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
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
	// AskTime bounds how long former owners may be asked. Default 5 s.
	AskTime time.Duration
}

// state of an entry.
type state uint8

const (
	// asking: a claim waits for the answers of former owners.
	asking state = iota + 1
	inProgress
	ended
	// givenUp: a newer owner was told that the key is unknown here.
	givenUp
)

// entry is one remembered key.
type entry struct {
	key     Key
	hash    uint64
	state   state
	claim   Claim
	outcome Outcome
	expires int64
	index   int
	// vouched lists the former owners that do not know the key.
	vouched []cluster.NodeID
	// given lists the newer owners that were told that the key is unknown here,
	// the last one last.
	given []cluster.NodeID
}

// Table is one node's part of the keys. Invariant: within a window, at most one
// claim of a key gets DecisionRun from any table until its outcome is
// OutcomeNotRun, as long as the nodes' views of membership differ for less than
// a window. Only the loss of all nodes of a cell at once loses its keys.
type Table struct {
	self    cluster.NodeID
	config  Config
	joined  bool
	members members
	history history
	entries map[Key]*entry
	// expiry holds the same entries by when they expire.
	expiry expiryHeap
}

// New returns the table of a node that has not joined yet: it refuses all
// claims until SetMembers.
func New(self cluster.NodeID, config Config) *Table {
	if config.Window <= 0 {
		config.Window = 30 * time.Minute
	}
	if config.MaxKeys <= 0 {
		config.MaxKeys = 100_000
	}
	if config.RetryAfter <= 0 {
		config.RetryAfter = time.Second
	}
	if config.AskTime <= 0 {
		config.AskTime = 5 * time.Second
	}
	return &Table{self: self, config: config, entries: make(map[Key]*entry)}
}

// Len counts the remembered keys.
func (t *Table) Len() int { return len(t.entries) }

// SetMembers puts the living nodes of the cell, this one included, in force.
// The first call means that the node has joined: those others owned all keys
// until now. A node must not call it with itself alone while it has reason to
// believe that others are alive.
func (t *Table) SetMembers(now time.Time, nodes []cluster.NodeID) {
	current := newMembers(nodes)
	if t.joined && slices.Equal(current.nodes, t.members.nodes) {
		return
	}
	nanos := now.UnixNano()
	if t.joined {
		t.history.add(past{nanos, t.members}, int64(t.config.Window))
	}
	if !t.joined || len(t.members.nodes) <= 1 {
		t.history.add(past{nanos, current.without(t.self)}, int64(t.config.Window))
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

// Owner returns the node that owns the key now.
func (t *Table) Owner(key Key) cluster.NodeID { return t.members.owner(key.hash()) }

// Begin decides on a claim.
func (t *Table) Begin(now time.Time, claim Claim) Decision {
	nanos := now.UnixNano()
	t.expire(nanos)
	if !t.joined {
		return Decision{Kind: DecisionUnknown, RetryAfter: t.config.RetryAfter}
	}
	held := t.entries[claim.Key]
	if held != nil && held.state != givenUp {
		return t.known(held, claim)
	}
	hash := claim.Key.hash()
	if owner := t.members.owner(hash); owner != t.self {
		return Decision{Kind: DecisionForward, Owner: owner}
	}
	if held != nil {
		return t.given(nanos, held)
	}
	if len(t.entries) >= t.config.MaxKeys {
		return Decision{Kind: DecisionFull, RetryAfter: t.nextExpiry(nanos)}
	}
	held = &entry{key: claim.Key, hash: hash, state: asking, claim: claim}
	return t.settle(nanos, held)
}

// given decides on a claim of a key that was given up to a newer owner.
func (t *Table) given(nanos int64, held *entry) Decision {
	newest := held.given[len(held.given)-1]
	if t.members.contains(newest) {
		return Decision{Kind: DecisionForward, Owner: newest}
	}
	return Decision{Kind: DecisionUnknown, RetryAfter: time.Duration(held.expires - nanos)}
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

// settle gives leave if every former owner vouched, or says whom to ask.
func (t *Table) settle(nanos int64, held *entry) Decision {
	t.history.forget(nanos - int64(t.config.Window))
	if wait := t.history.lostUntil - nanos; wait > 0 {
		t.remove(held)
		return Decision{Kind: DecisionUnknown, RetryAfter: time.Duration(wait)}
	}
	var ask []cluster.NodeID
	var gone int64
	for owner, until := range t.history.owners(held.hash) {
		switch {
		case owner == t.self || slices.Contains(held.vouched, owner):
		case t.members.contains(owner):
			ask = append(ask, owner)
		default:
			gone = max(gone, until)
		}
	}
	if gone > 0 {
		t.remove(held)
		return Decision{Kind: DecisionUnknown, RetryAfter: time.Duration(gone + int64(t.config.Window) - nanos)}
	}
	if len(ask) > 0 {
		slices.Sort(ask)
		t.keep(held, asking, nanos+int64(t.config.AskTime))
		return Decision{Kind: DecisionAsk, Ask: ask}
	}
	t.keep(held, inProgress, nanos+int64(t.config.Window))
	return Decision{Kind: DecisionRun}
}

// Answered takes a former owner's answer for the claim that waits for it. The
// decision is DecisionAsk as long as others must answer.
func (t *Table) Answered(now time.Time, key Key, request cluster.RequestID, answer Answer) Decision {
	nanos := now.UnixNano()
	t.expire(nanos)
	held := t.entries[key]
	if held == nil || held.state != asking || held.claim.Request != request {
		return Decision{Kind: DecisionInProgress, RetryAfter: t.config.RetryAfter}
	}
	for _, former := range answer.Past {
		t.history.add(past{former.Until.UnixNano(), newMembers(former.Nodes)}, int64(t.config.Window))
	}
	switch answer.Kind {
	case AnswerAbsent:
		held.vouched = append(held.vouched, answer.From)
		return t.settle(nanos, held)
	case AnswerInProgress, AnswerEnded:
		t.remove(held)
		return t.elsewhere(held, answer)
	default:
		t.remove(held)
		return Decision{Kind: DecisionUnknown, RetryAfter: t.config.RetryAfter}
	}
}

// elsewhere decides on a claim of a key that a former owner knows.
func (t *Table) elsewhere(held *entry, answer Answer) Decision {
	if answer.Fingerprint != held.claim.Fingerprint {
		return Decision{Kind: DecisionMismatch, RetryAfter: t.config.Window}
	}
	if answer.Kind == AnswerEnded {
		return t.told(answer.Outcome)
	}
	return Decision{Kind: DecisionInProgress, RetryAfter: t.config.RetryAfter}
}

// Asked answers a newer owner's question. Saying that a key is absent gives it
// up: this table will not give leave for it within the window.
func (t *Table) Asked(now time.Time, question Question) Answer {
	nanos := now.UnixNano()
	t.expire(nanos)
	t.history.forget(nanos - int64(t.config.Window))
	answer := Answer{Kind: AnswerAbsent, From: t.self, Past: t.history.export()}
	answer.Past = append(answer.Past, Past{Until: now, Nodes: t.members.nodes})
	held := t.entries[question.Key]
	switch {
	case held == nil:
		held = &entry{key: question.Key, hash: question.Key.hash()}
	case held.state == ended:
		answer.Kind, answer.Outcome, answer.Fingerprint = AnswerEnded, held.outcome, held.claim.Fingerprint
		return answer
	case held.state == inProgress || held.state == asking:
		answer.Kind, answer.Fingerprint = AnswerInProgress, held.claim.Fingerprint
		return answer
	}
	for _, other := range held.given {
		if other != question.From {
			answer.Past = append(answer.Past, Past{Until: now, Nodes: []cluster.NodeID{other}})
		}
	}
	held.given = append(slices.DeleteFunc(held.given, func(n cluster.NodeID) bool { return n == question.From }), question.From)
	t.keep(held, givenUp, nanos+int64(t.config.Window))
	return answer
}

// Finish takes the outcome of a request that got leave here. Outcomes of other
// requests are ignored.
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
		t.remove(held)
		return
	}
	t.end(nanos, held, outcome)
}

func (t *Table) end(nanos int64, held *entry, outcome Outcome) {
	held.outcome = outcome
	t.keep(held, ended, nanos+int64(t.config.Window))
}

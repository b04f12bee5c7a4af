package idempotency

import (
	"slices"
	"strings"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Handover is what a node that stops knows. Its heir answers in its stead.
type Handover struct {
	Left cluster.NodeID
	// Round is the highest that the node has seen.
	Round uint64
	// LostUntil is until when the node cannot vouch for anything.
	LostUntil   time.Time
	Memberships []Membership
	Records     []Record
}

// Membership is a set of nodes that shared the keys until a time.
type Membership struct {
	Until   time.Time
	Members []Member
}

// Record is what a node that stops knows of one key.
type Record struct {
	// Claim names the key; the rest of it is empty if the key is only promised.
	Claim Claim
	// First is the owner that gave leave, or may have, in the given round.
	First cluster.NodeID
	Round uint64
	// Outcome is zero for a request in progress.
	Outcome Outcome
	Expires time.Time
	// Promised are the owners of those to whom the node vouched, and Highest
	// and HighestRound the last one of them.
	Promised     []Past
	Highest      cluster.NodeID
	HighestRound uint64
}

// successor is the heir of a node that left.
type successor struct {
	heir  cluster.NodeID
	until int64
}

// Leave returns what this table knows, for its heir, and ends its part: from now
// on it refuses claims and answers no questions.
func (t *Table) Leave(now time.Time) Handover {
	nanos := now.UnixNano()
	t.expire(nanos)
	t.releaseAsking(nanos)
	t.left = true
	handover := Handover{Left: t.self, Round: t.round, LostUntil: time.Unix(0, t.history.lostUntil)}
	for _, former := range append(slices.Clone(t.history.past), past{nanos, t.members}) {
		handover.Memberships = append(handover.Memberships, Membership{time.Unix(0, former.until), former.nodes})
	}
	for _, held := range t.entries {
		handover.Records = append(handover.Records, held.record())
	}
	slices.SortFunc(handover.Records, func(a, b Record) int {
		if order := strings.Compare(a.Claim.Key.TokenPath, b.Claim.Key.TokenPath); order != 0 {
			return order
		}
		return strings.Compare(a.Claim.Key.Key, b.Claim.Key.Key)
	})
	return handover
}

func (e *entry) record() Record {
	claim := e.claim
	claim.Key = e.key
	return Record{
		Claim: claim, First: e.ballot.node, Round: e.ballot.round, Outcome: e.outcome, Expires: time.Unix(0, e.expires),
		Promised: export(e.promised, nil), Highest: e.highest.node, HighestRound: e.highest.round,
	}
}

// Heirs lists the nodes that may take over from this one, best first. Those that
// have handed over themselves may still be members.
func (t *Table) Heirs() Owners {
	stay := slices.DeleteFunc(slices.Clone(t.members.nodes), func(m Member) bool {
		return m.ID == t.self || t.resolve(m.ID) != m.ID
	})
	return newMembers(stay).owners(Key{Key: string(t.self)}.hash())
}

// Inherit takes over what a node that stops knows, as a whole or in parts. It
// returns false if this node stops as well. The heir counts for the other only
// after Succeed.
func (t *Table) Inherit(now time.Time, handover Handover) bool {
	if t.left || !t.joined {
		return false
	}
	nanos := now.UnixNano()
	t.expire(nanos)
	t.round = max(t.round, handover.Round)
	t.history.lostUntil = max(t.history.lostUntil, handover.LostUntil.UnixNano())
	for _, former := range handover.Memberships {
		t.history.add(past{former.Until.UnixNano(), newMembers(former.Members)}, t.retention())
	}
	for _, record := range handover.Records {
		if record.Expires.UnixNano() > nanos {
			t.inherit(nanos, record)
		}
	}
	return true
}

// inherit merges one record. A claim that is asking starts again, because it
// has not asked those whom the other node promised to name.
func (t *Table) inherit(nanos int64, record Record) {
	key := record.Claim.Key
	if held := t.entries[key]; held != nil && held.state == asking {
		t.release(nanos, held)
	}
	held := t.entries[key]
	if held == nil {
		held = &entry{key: key, hash: key.hash()}
	}
	for _, past := range record.Promised {
		held.promised = addOwners(held.promised, formerOwners{past.Until.UnixNano(), past.Owners})
	}
	if last := (ballot{record.HighestRound, record.Highest}); held.highest.less(last) {
		held.highest = last
	}
	// What was recorded for this node, and is not known here, got no leave.
	known := record.Claim.Request != "" && record.First != t.self
	switch {
	case !known || held.state == ended && held.outcome.Kind != OutcomeUnknown:
		t.keep(held, held.state, max(held.expires, record.Expires.UnixNano()))
	case held.state == promised, record.Outcome.Kind != 0:
		t.adopt(held, record)
	case held.claim.Request != record.Claim.Request:
		// One of two got leave, and this node cannot tell which.
		held.claim.Request, held.ballot = "", ballot{}
		t.end(nanos, held, Outcome{Kind: OutcomeUnknown})
	}
}

// adopt makes a record the state of an entry.
func (t *Table) adopt(held *entry, record Record) {
	held.claim, held.ballot = record.Claim, ballot{record.Round, record.First}
	held.outcome = record.Outcome
	into := inProgress
	if record.Outcome.Kind != 0 {
		into = ended
	}
	t.keep(held, into, max(held.expires, record.Expires.UnixNano()))
}

// Succeed notes that a node left and that its heir, which has inherited all,
// answers in its stead. Claims that are asking start again: what the heir said
// before did not speak for the other.
func (t *Table) Succeed(now time.Time, left, heir cluster.NodeID) {
	nanos := now.UnixNano()
	for node, known := range t.heirs {
		if known.until <= nanos {
			delete(t.heirs, node)
		}
	}
	if _, known := t.heirs[left]; known || left == heir || t.resolve(heir) == left {
		return
	}
	t.heirs[left] = successor{heir, nanos + 2*t.retention()}
	for _, held := range t.entries {
		if held.state == asking {
			t.restart(held)
		}
	}
}

// exportHeirs lists the known heirs as they go into an Answer.
func (t *Table) exportHeirs() (heirs []Heir) {
	for left, known := range t.heirs {
		heirs = append(heirs, Heir{left, known.heir})
	}
	slices.SortFunc(heirs, func(a, b Heir) int { return compare(a.Left, b.Left) })
	return heirs
}

// releaseAsking refuses the claims that wait for answers.
func (t *Table) releaseAsking(nanos int64) {
	for _, held := range t.entries {
		if held.state == asking {
			t.release(nanos, held)
		}
	}
}

// Heir returns the node that answers for another one: itself, if it did not
// hand over.
func (t *Table) Heir(node cluster.NodeID) cluster.NodeID { return t.resolve(node) }

func (t *Table) resolve(node cluster.NodeID) cluster.NodeID {
	for range len(t.heirs) {
		next, left := t.heirs[node]
		if !left {
			break
		}
		node = next.heir
	}
	return node
}

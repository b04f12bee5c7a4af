package idempotency

import (
	"slices"
	"strings"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Handover is the state that a node hands over to its heir when it shuts down. The heir then
// answers in its place.
type Handover struct {
	Left cluster.NodeID
	// Round is the highest round that the node has seen.
	Round uint64
	// LostUntil is the time until which the node can't confirm that a key is unknown.
	LostUntil   time.Time
	Memberships []Membership
	Records     []Record
}

// Membership is a set of nodes that shared the keys until the given time.
type Membership struct {
	Until   time.Time
	Members []Member
}

// Record is a node's state of one key in a Handover.
type Record struct {
	// Claim contains the key. Its other fields are empty if the record has promises only.
	Claim Claim
	// First is the owner that granted the claim, or may have, in the given round.
	First cluster.NodeID
	Round uint64
	// Outcome is zero if the request is in progress.
	Outcome Outcome
	Expires time.Time
	// Promised are the owners that the node promised to name. Highest and HighestRound are the
	// ballot of the last promise.
	Promised     []Past
	Highest      cluster.NodeID
	HighestRound uint64
}

// successor is the heir of a node that handed over.
type successor struct {
	heir  cluster.NodeID
	until int64
}

// Leave returns the state of this table for the heir. From then on the table refuses claims and
// answers no questions.
func (t *Table) Leave(now time.Time) Handover {
	nanos := now.UnixNano()
	t.expire(nanos)
	t.releaseAsking(nanos)
	t.handedOver = true
	handover := Handover{Left: t.self, Round: t.round, LostUntil: time.Unix(0, t.history.incompleteUntil)}
	for _, former := range append(slices.Clone(t.history.memberships), pastMembership{nanos, t.members}) {
		handover.Memberships = append(handover.Memberships, Membership{time.Unix(0, former.until), former.nodes})
	}
	for _, e := range t.entries {
		handover.Records = append(handover.Records, e.record())
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
		Promised: exportOwners(e.promisedOwners, nil), Highest: e.highestBallot.node, HighestRound: e.highestBallot.round,
	}
}

// Heirs lists the nodes that may take over from this one, in order of preference. It excludes
// members that have handed over themselves.
func (t *Table) Heirs() Owners {
	stay := slices.DeleteFunc(slices.Clone(t.members.nodes), func(m Member) bool {
		return m.ID == t.self || t.resolveSuccessor(m.ID) != m.ID
	})
	return newMembers(stay).owners(Key{Key: string(t.self)}.hash())
}

// Inherit merges the state of a node that shuts down, or a part of that state. It returns false if
// this node shuts down itself or has not joined. The heir answers for the other node only after
// RecordHeir.
func (t *Table) Inherit(now time.Time, handover Handover) bool {
	if t.handedOver || !t.joined {
		return false
	}
	nanos := now.UnixNano()
	t.expire(nanos)
	t.round = max(t.round, handover.Round)
	t.history.incompleteUntil = max(t.history.incompleteUntil, handover.LostUntil.UnixNano())
	for _, former := range handover.Memberships {
		t.history.add(pastMembership{former.Until.UnixNano(), newMembers(former.Members)}, t.retention())
	}
	for _, record := range handover.Records {
		if record.Expires.UnixNano() > nanos {
			t.mergeRecord(nanos, record)
		}
	}
	return true
}

// mergeRecord merges one record. It releases a claim that is still asking, because the claim has
// not asked the owners that the other node promised to name.
func (t *Table) mergeRecord(nanos int64, record Record) {
	key := record.Claim.Key
	if e := t.entries[key]; e != nil && e.state == asking {
		t.releaseClaim(nanos, e)
	}
	e := t.entries[key]
	if e == nil {
		e = &entry{key: key, hash: key.hash()}
	}
	for _, past := range record.Promised {
		e.promisedOwners = addOwners(e.promisedOwners, formerOwners{past.Until.UnixNano(), past.Owners})
	}
	if last := (ballot{record.HighestRound, record.Highest}); e.highestBallot.less(last) {
		e.highestBallot = last
	}
	// A claim that this node recorded at the other one and no longer knows was not granted.
	known := record.Claim.Request != "" && record.First != t.self
	switch {
	case !known || e.state == ended && e.outcome.Kind != OutcomeUnknown:
		t.setState(e, e.state, max(e.expires, record.Expires.UnixNano()))
	case e.state == promised, record.Outcome.Kind != 0:
		t.adoptRecord(e, record)
	case e.claim.Request != record.Claim.Request:
		// One of the two requests may have been granted, and this node can't tell which.
		e.claim.Request, e.ballot = "", ballot{}
		t.setOutcome(nanos, e, Outcome{Kind: OutcomeUnknown})
	}
}

// adoptRecord sets the state of an entry from a record.
func (t *Table) adoptRecord(e *entry, record Record) {
	e.claim, e.ballot = record.Claim, ballot{record.Round, record.First}
	e.outcome = record.Outcome
	into := inProgress
	if record.Outcome.Kind != 0 {
		into = ended
	}
	t.setState(e, into, max(e.expires, record.Expires.UnixNano()))
}

// RecordHeir records that a node left and that its heir, which has inherited its whole state,
// answers in its place. Asking claims are restarted, because earlier answers of the heir did not
// cover the other node's state.
func (t *Table) RecordHeir(now time.Time, left, heir cluster.NodeID) {
	nanos := now.UnixNano()
	for node, known := range t.successors {
		if known.until <= nanos {
			delete(t.successors, node)
		}
	}
	if _, known := t.successors[left]; known || left == heir || t.resolveSuccessor(heir) == left {
		return
	}
	t.successors[left] = successor{heir, nanos + 2*t.retention()}
	for _, e := range t.entries {
		if e.state == asking {
			t.restart(e)
		}
	}
}

// exportHeirs lists the known heirs for an Answer.
func (t *Table) exportHeirs() (heirs []Heir) {
	for left, known := range t.successors {
		heirs = append(heirs, Heir{left, known.heir})
	}
	slices.SortFunc(heirs, func(a, b Heir) int { return compare(a.Left, b.Left) })
	return heirs
}

// releaseAsking releases the claims that wait for answers.
func (t *Table) releaseAsking(nanos int64) {
	for _, e := range t.entries {
		if e.state == asking {
			t.releaseClaim(nanos, e)
		}
	}
}

// Heir returns the node that answers for the given one: the node itself if it did not hand over.
func (t *Table) Heir(node cluster.NodeID) cluster.NodeID { return t.resolveSuccessor(node) }

// resolveSuccessor follows successors from a node to the one that answers for it.
func (t *Table) resolveSuccessor(node cluster.NodeID) cluster.NodeID {
	for range len(t.successors) {
		next, left := t.successors[node]
		if !left {
			break
		}
		node = next.heir
	}
	return node
}

package idempotency

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// settle gives leave if enough former owners vouched and the backup recorded
// the claim, or says whom to ask next.
func (t *Table) settle(nanos int64, held *entry) Decision {
	t.history.forget(nanos - t.retention())
	if wait := t.history.lostUntil - nanos; wait > 0 {
		t.release(nanos, held)
		return Decision{Kind: DecisionUnknown, RetryAfter: time.Duration(wait)}
	}
	owners := t.members.owners(held.hash)
	if owners[0] != t.self {
		t.release(nanos, held)
		return Decision{Kind: DecisionForward, Owner: owners[0]}
	}
	if !slices.Equal(owners, held.owners) {
		// Who vouched promised to name other owners than these.
		held.owners, held.vouched, held.recorded = owners, nil, false
	}
	former := t.former(held)
	if decision := t.missing(nanos, held, former); decision.Kind != 0 {
		if decision.Kind != DecisionAsk {
			t.release(nanos, held)
		}
		return decision
	}
	if backup := owners.backup(); backup != "" && !held.recorded {
		return t.question(held, backup, former, true)
	}
	t.keep(held, inProgress, nanos+int64(t.config.Window))
	return Decision{Kind: DecisionRun, Owner: owners.backup()}
}

// former lists the owners of the claim's key in former memberships, its present
// ones left out.
func (t *Table) former(held *entry) []formerOwners {
	all := t.history.owners(held.hash)
	for _, list := range [][]formerOwners{held.promised, held.learned} {
		for _, former := range list {
			all = addOwners(all, former)
		}
	}
	return slices.DeleteFunc(all, func(f formerOwners) bool { return slices.Equal(f.owners, held.owners) })
}

// missing finds what still has to be asked, or cannot be. The backup counts as
// vouching, because leave follows only its recording, which vouches as well.
func (t *Table) missing(nanos int64, held *entry, former []formerOwners) Decision {
	vouched := func(n cluster.NodeID) bool {
		n = t.resolve(n)
		return n == t.self || n == held.owners.backup() || slices.Contains(held.vouched, n)
	}
	alive := func(n cluster.NodeID) bool { return vouched(n) || t.members.contains(t.resolve(n)) }
	askable := func(n cluster.NodeID) bool {
		n = t.resolve(n)
		return vouched(n) || t.members.contains(n) && !slices.Contains(held.failed, n)
	}
	var gone int64
	unavailable := slices.Contains(held.failed, held.owners.backup())
	var ask cluster.NodeID
	for _, f := range former {
		switch {
		case f.owners.vouch(vouched):
		case !f.owners.vouch(alive):
			gone = max(gone, f.until)
		case !f.owners.vouch(askable):
			unavailable = true
		case ask == "":
			next := slices.IndexFunc(f.owners, func(n cluster.NodeID) bool { return !vouched(n) && askable(n) })
			ask = t.resolve(f.owners[next])
		}
	}
	switch {
	case gone > 0:
		wait := max(time.Duration(gone+t.retention()-nanos), t.config.RetryAfter)
		return Decision{Kind: DecisionUnknown, RetryAfter: wait}
	case unavailable:
		return Decision{Kind: DecisionUnavailable, RetryAfter: t.config.RetryAfter}
	case ask != "":
		return t.question(held, ask, former, false)
	}
	return Decision{}
}

// question is the decision to ask a node.
func (t *Table) question(held *entry, node cluster.NodeID, former []formerOwners, record bool) Decision {
	known := []Owners{held.owners}
	for _, f := range former {
		known = append(known, f.owners)
	}
	return Decision{Kind: DecisionAsk, Ask: node, Question: Question{
		Claim: held.claim, From: t.self, Round: held.ballot.round, Owners: held.owners, Known: known, Record: record,
	}}
}

// Answered takes an owner's answer for the claim that waits for it. The decision
// is DecisionAsk as long as others must answer.
func (t *Table) Answered(now time.Time, key Key, request cluster.RequestID, answer Answer) Decision {
	nanos := now.UnixNano()
	t.expire(nanos)
	held := t.entries[key]
	if held == nil || held.state == promised {
		return Decision{Kind: DecisionUnavailable, RetryAfter: t.config.RetryAfter}
	}
	if held.state != asking || held.claim.Request != request {
		return Decision{Kind: DecisionInProgress, RetryAfter: t.config.RetryAfter}
	}
	for _, known := range answer.Heirs {
		t.Succeed(now, known.Left, known.Heir)
	}
	before := len(held.learned)
	for _, past := range answer.Past {
		held.learned = addOwners(held.learned, formerOwners{past.Until.UnixNano(), past.Owners})
	}
	if answer.Kind != AnswerNone && answer.To != held.ballot.round {
		// The claim started again since the question.
		return t.settle(nanos, held)
	}
	switch answer.Kind {
	case AnswerAbsent:
		held.vouched = append(held.vouched, answer.From)
		if answer.From == held.owners.backup() && len(held.learned) == before {
			// A backup that does not record must say whom it wants to be asked.
			held.failed = append(held.failed, answer.From)
		}
	case AnswerRecorded:
		held.recorded = true
	case AnswerInProgress, AnswerEnded:
		claim := held.claim
		t.release(nanos, held)
		return t.elsewhere(claim, answer)
	case AnswerOutbid:
		t.round = max(t.round, answer.Round)
		t.restart(held)
		if held.outbid++; held.outbid > maxOutbid {
			held.failed = append(held.failed, held.owners.backup())
		}
	default:
		held.failed = append(held.failed, answer.From)
	}
	return t.settle(nanos, held)
}

// restart makes a claim that is asking ask again, with a higher ballot.
func (t *Table) restart(held *entry) {
	t.round++
	held.ballot.round, held.vouched, held.recorded = t.round, nil, false
}

// elsewhere decides on a claim of a key that another owner knows.
func (t *Table) elsewhere(claim Claim, answer Answer) Decision {
	if answer.Fingerprint != claim.Fingerprint {
		return Decision{Kind: DecisionMismatch, RetryAfter: t.config.Window}
	}
	if answer.Kind == AnswerEnded {
		return t.told(answer.Outcome)
	}
	return Decision{Kind: DecisionInProgress, RetryAfter: t.config.RetryAfter}
}

// Asked answers another node's question.
func (t *Table) Asked(now time.Time, question Question) Answer {
	nanos := now.UnixNano()
	t.expire(nanos)
	t.history.forget(nanos - t.retention())
	t.round = max(t.round, question.Round)
	answer := Answer{Kind: AnswerNone, From: t.self}
	held := t.entries[question.Claim.Key]
	full := held == nil && len(t.entries) >= t.config.MaxKeys
	if !t.joined || t.left || full || t.history.lostUntil > nanos {
		return answer
	}
	asker := ballot{question.Round, question.From}
	if held != nil && abandoned(held, asker) {
		t.release(nanos, held)
		held = t.entries[question.Claim.Key]
	}
	if held != nil && held.state != promised {
		return t.tell(held, asker, question, answer)
	}
	if held == nil {
		held = &entry{key: question.Claim.Key, hash: question.Claim.Key.hash()}
	}
	if asker.less(held.highest) {
		answer.Kind, answer.Round = AnswerOutbid, held.highest.round
		return answer
	}
	return t.vouch(nanos, held, asker, question, answer)
}

// abandoned tells whether a claim that is recorded here got no leave: its first
// owner would not ask on behalf of another if it had given leave.
func abandoned(held *entry, asker ballot) bool {
	lost := held.state == ended && held.outcome.Kind == OutcomeUnknown
	return (held.state == inProgress || lost) && held.ballot.node == asker.node && held.ballot.round < asker.round
}

// tell answers a question about a key that is known here.
func (t *Table) tell(held *entry, asker ballot, question Question, answer Answer) Answer {
	answer.Fingerprint = held.claim.Fingerprint
	switch {
	case held.state == ended:
		answer.Kind, answer.Outcome = AnswerEnded, held.outcome
	case held.state == inProgress && question.Record && held.ballot == asker && held.claim.Request == question.Claim.Request:
		answer.Kind = AnswerRecorded
	default:
		answer.Kind = AnswerInProgress
	}
	return answer
}

// vouch answers a question about a key that is not known here.
func (t *Table) vouch(nanos int64, held *entry, asker ballot, question Question, answer Answer) Answer {
	held.highest = asker
	all := t.history.owners(held.hash)
	for _, former := range held.promised {
		all = addOwners(all, former)
	}
	all = addOwners(all, formerOwners{nanos, t.members.owners(held.hash)})
	answer.Past = export(all, question.Known)
	if len(answer.Past) > 0 {
		answer.Heirs = t.exportHeirs()
	}
	if question.Record && len(answer.Past) == 0 {
		answer.Kind = AnswerRecorded
		held.claim, held.ballot = question.Claim, asker
		t.keep(held, inProgress, nanos+int64(t.config.Window))
		return answer
	}
	answer.Kind = AnswerAbsent
	held.promised = addOwners(held.promised, formerOwners{nanos, question.Owners})
	t.keep(held, promised, nanos+t.retention())
	return answer
}

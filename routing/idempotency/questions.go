package idempotency

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// advance grants the claim if a quorum of every set of former owners confirmed that the key is
// unknown to them and the backup recorded the claim. Otherwise it returns the next question or a
// refusal.
func (t *Table) advance(nanos int64, e *entry) Decision {
	t.history.prune(nanos - t.retention())
	if wait := t.history.incompleteUntil - nanos; wait > 0 {
		t.releaseClaim(nanos, e)
		return Decision{Kind: DecisionUnknown, RetryAfter: time.Duration(wait)}
	}
	owners := t.members.owners(e.hash)
	if owners[0] != t.self {
		t.releaseClaim(nanos, e)
		return Decision{Kind: DecisionForward, Owner: owners[0]}
	}
	if !slices.Equal(owners, e.owners) {
		// The confirmations so far promise to name the previous owners, not these.
		e.owners, e.confirmed, e.recorded = owners, nil, false
	}
	former := t.formerOwnersOf(e)
	if decision := t.missingQuorum(nanos, e, former); decision.Kind != 0 {
		if decision.Kind != DecisionAsk {
			t.releaseClaim(nanos, e)
		}
		return decision
	}
	if backup := owners.backup(); backup != "" && !e.recorded {
		return t.askDecision(e, backup, former, true)
	}
	t.setState(e, inProgress, nanos+int64(t.config.Window))
	return Decision{Kind: DecisionRun, Owner: owners.backup()}
}

// formerOwnersOf lists the owners of the claim's key in former memberships, except for owners that
// equal its present ones.
func (t *Table) formerOwnersOf(e *entry) []formerOwners {
	all := t.history.owners(e.hash)
	for _, list := range [][]formerOwners{e.promisedOwners, e.learnedOwners} {
		for _, former := range list {
			all = addOwners(all, former)
		}
	}
	return slices.DeleteFunc(all, func(f formerOwners) bool { return slices.Equal(f.owners, e.owners) })
}

// missingQuorum returns the decision to ask another former owner, the refusal if a quorum can't be
// reached, or the zero Decision if all quorums are complete. The backup counts as confirming,
// because a grant requires its record, which implies the confirmation.
func (t *Table) missingQuorum(nanos int64, e *entry, former []formerOwners) Decision {
	confirmed := func(n cluster.NodeID) bool {
		n = t.resolveSuccessor(n)
		return n == t.self || n == e.owners.backup() || slices.Contains(e.confirmed, n)
	}
	alive := func(n cluster.NodeID) bool { return confirmed(n) || t.members.contains(t.resolveSuccessor(n)) }
	askable := func(n cluster.NodeID) bool {
		n = t.resolveSuccessor(n)
		return confirmed(n) || t.members.contains(n) && !slices.Contains(e.unanswered, n)
	}
	var gone int64
	unavailable := slices.Contains(e.unanswered, e.owners.backup())
	var ask cluster.NodeID
	for _, f := range former {
		switch {
		case f.owners.hasQuorum(confirmed):
		case !f.owners.hasQuorum(alive):
			gone = max(gone, f.until)
		case !f.owners.hasQuorum(askable):
			unavailable = true
		case ask == "":
			next := slices.IndexFunc(f.owners, func(n cluster.NodeID) bool { return !confirmed(n) && askable(n) })
			ask = t.resolveSuccessor(f.owners[next])
		}
	}
	switch {
	case gone > 0:
		wait := max(time.Duration(gone+t.retention()-nanos), t.config.RetryAfter)
		return Decision{Kind: DecisionUnknown, RetryAfter: wait}
	case unavailable:
		return Decision{Kind: DecisionUnavailable, RetryAfter: t.config.RetryAfter}
	case ask != "":
		return t.askDecision(e, ask, former, false)
	}
	return Decision{}
}

// askDecision returns the decision to ask a node.
func (t *Table) askDecision(e *entry, node cluster.NodeID, former []formerOwners, record bool) Decision {
	known := []Owners{e.owners}
	for _, f := range former {
		known = append(known, f.owners)
	}
	return Decision{Kind: DecisionAsk, Ask: node, Question: Question{
		Claim: e.claim, From: t.self, Round: e.ballot.round, Owners: e.owners, Known: known, Record: record,
	}}
}

// ProcessAnswer processes an owner's answer for the claim that waits for it. It returns another
// DecisionAsk as long as other owners must answer.
func (t *Table) ProcessAnswer(now time.Time, key Key, request cluster.RequestID, answer Answer) Decision {
	nanos := now.UnixNano()
	t.expire(nanos)
	e := t.entries[key]
	if e == nil || e.state == promised {
		return Decision{Kind: DecisionUnavailable, RetryAfter: t.config.RetryAfter}
	}
	if e.state != asking || e.claim.Request != request {
		return Decision{Kind: DecisionInProgress, RetryAfter: t.config.RetryAfter}
	}
	for _, known := range answer.Heirs {
		t.RecordHeir(now, known.Left, known.Heir)
	}
	before := len(e.learnedOwners)
	for _, past := range answer.Past {
		e.learnedOwners = addOwners(e.learnedOwners, formerOwners{past.Until.UnixNano(), past.Owners})
	}
	if answer.Kind != AnswerNone && answer.To != e.ballot.round {
		// The claim was restarted with a higher ballot after this question.
		return t.advance(nanos, e)
	}
	switch answer.Kind {
	case AnswerAbsent:
		e.confirmed = append(e.confirmed, answer.From)
		if answer.From == e.owners.backup() && len(e.learnedOwners) == before {
			// A backup that does not record the claim must name owners that the claim doesn't know
			// yet.
			e.unanswered = append(e.unanswered, answer.From)
		}
	case AnswerRecorded:
		e.recorded = true
	case AnswerInProgress, AnswerEnded:
		claim := e.claim
		t.releaseClaim(nanos, e)
		return t.decideByAnswer(claim, answer)
	case AnswerOutbid:
		t.round = max(t.round, answer.Round)
		t.restart(e)
		if e.rejections++; e.rejections > maxRejections {
			e.unanswered = append(e.unanswered, e.owners.backup())
		}
	default:
		e.unanswered = append(e.unanswered, answer.From)
	}
	return t.advance(nanos, e)
}

// restart makes an asking claim repeat all its questions with a higher ballot.
func (t *Table) restart(e *entry) {
	t.round++
	e.ballot.round, e.confirmed, e.recorded = t.round, nil, false
}

// decideByAnswer decides on a claim whose key is known to another owner.
func (t *Table) decideByAnswer(claim Claim, answer Answer) Decision {
	if answer.Fingerprint != claim.Fingerprint {
		return Decision{Kind: DecisionMismatch, RetryAfter: t.config.Window}
	}
	if answer.Kind == AnswerEnded {
		return t.decideByOutcome(answer.Outcome)
	}
	return Decision{Kind: DecisionInProgress, RetryAfter: t.config.RetryAfter}
}

// Answer answers a question from another node.
func (t *Table) Answer(now time.Time, question Question) Answer {
	nanos := now.UnixNano()
	t.expire(nanos)
	t.history.prune(nanos - t.retention())
	t.round = max(t.round, question.Round)
	answer := Answer{Kind: AnswerNone, From: t.self}
	e := t.entries[question.Claim.Key]
	full := e == nil && len(t.entries) >= t.config.MaxKeys
	if !t.joined || t.handedOver || full || t.history.incompleteUntil > nanos {
		return answer
	}
	asker := ballot{question.Round, question.From}
	if e != nil && abandoned(e, asker) {
		t.releaseClaim(nanos, e)
		e = t.entries[question.Claim.Key]
	}
	if e != nil && e.state != promised {
		return t.answerKnown(e, asker, question, answer)
	}
	if e == nil {
		e = &entry{key: question.Claim.Key, hash: question.Claim.Key.hash()}
	}
	if asker.less(e.highestBallot) {
		answer.Kind, answer.Round = AnswerOutbid, e.highestBallot.round
		return answer
	}
	return t.promise(nanos, e, asker, question, answer)
}

// abandoned reports whether the claim recorded here was never granted: its first owner would not
// ask on behalf of another claim if it had granted this one.
func abandoned(e *entry, asker ballot) bool {
	lost := e.state == ended && e.outcome.Kind == OutcomeUnknown
	return (e.state == inProgress || lost) && e.ballot.node == asker.node && e.ballot.round < asker.round
}

// answerKnown answers a question about a key that this node knows.
func (t *Table) answerKnown(e *entry, asker ballot, question Question, answer Answer) Answer {
	answer.Fingerprint = e.claim.Fingerprint
	switch {
	case e.state == ended:
		answer.Kind, answer.Outcome = AnswerEnded, e.outcome
	case e.state == inProgress && question.Record && e.ballot == asker && e.claim.Request == question.Claim.Request:
		answer.Kind = AnswerRecorded
	default:
		answer.Kind = AnswerInProgress
	}
	return answer
}

// promise answers a question about a key that this node doesn't know. It records the claim if asked
// to and if the asker knows all former owners; otherwise it confirms the absence and promises to
// name the asker's owners in later answers.
func (t *Table) promise(nanos int64, e *entry, asker ballot, question Question, answer Answer) Answer {
	e.highestBallot = asker
	all := t.history.owners(e.hash)
	for _, former := range e.promisedOwners {
		all = addOwners(all, former)
	}
	all = addOwners(all, formerOwners{nanos, t.members.owners(e.hash)})
	answer.Past = exportOwners(all, question.Known)
	if len(answer.Past) > 0 {
		answer.Heirs = t.exportHeirs()
	}
	if question.Record && len(answer.Past) == 0 {
		answer.Kind = AnswerRecorded
		e.claim, e.ballot = question.Claim, asker
		t.setState(e, inProgress, nanos+int64(t.config.Window))
		return answer
	}
	answer.Kind = AnswerAbsent
	e.promisedOwners = addOwners(e.promisedOwners, formerOwners{nanos, question.Owners})
	t.setState(e, promised, nanos+t.retention())
	return answer
}

package routing

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/verdict"
)

// recordEvidence records whether the end of an attempt is evidence for or against its request
// ending machines. The end of a leaving machine is planned and no evidence.
func (r *Router) recordEvidence(ended *request, m *machine, event *AttemptEnded) {
	if ended.Content.IsZero() {
		ended.Content = event.Content
	}
	answered := event.Failure == nil || event.Answered || event.EngineFull
	if answered {
		r.poison.Answered(r.now, ended.startReached(m), time.Unix(0, ended.dispatched))
	}
	if event.Failure == nil {
		r.poison.Completed(r.now, ended.Content)
		r.suspectCallers.Answered(ended.Caller)
	}
	parts := ended.Parts
	if event.Failure == nil || r.wroteAnswer(ended) {
		for _, part := range parts {
			r.poison.Completed(r.now, part)
		}
		parts = nil
	}
	if m.leaving() {
		return
	}
	if event.MachineEnded {
		r.poison.MachineEnded(r.now, ended.startReached(m))
	}
	harmful := r.blockedParts(ended.Parts)
	switch {
	case event.Broken && len(harmful) > 0:
		// A blocked part explains the end, also that under its probe.
		r.poison.AttemptFailed(r.now, ended.Content, harmful, ended.startReached(m))
	case event.Broken:
		r.poison.AttemptFailed(r.now, ended.Content, parts, ended.startReached(m))
	}
	if event.Broken && event.MachineEnded && len(harmful) == 0 {
		r.suspectCallers.Ended(r.now, ended.Caller, time.Unix(0, ended.dispatched), parts)
	}
}

// startReached returns the start of the machine that the request's attempt reached, as far as known: evidence against
// a request counts by starts, and several may have answered at the address since the entry was read.
func (r *request) startReached(m *machine) cluster.MachineID {
	return cmp.Or(r.attemptStart, m.answeringStart())
}

// soundAnswerTime is how long a machine must have written an answer until the parts of its prompt count as
// sound: a harmful one ends the machine as soon as that begins to write.
const soundAnswerTime = 500 * time.Millisecond

// wroteAnswer reports whether the current attempt's machine has written its answer for long enough.
func (r *Router) wroteAnswer(ended *request) bool {
	return ended.firstByteSent && ended.firstByteAttempt == ended.attempt && r.nanos-ended.firstByteAt >= int64(soundAnswerTime)
}

// unstartedParts returns the parts of the request's prompt, none once its answer has begun.
func (running *request) unstartedParts() []poison.Fingerprint {
	if running.firstByteSent {
		return nil
	}
	return running.Parts
}

// blockedParts returns the parts that are blocked.
func (r *Router) blockedParts(parts []poison.Fingerprint) []poison.Fingerprint {
	var blocked []poison.Fingerprint
	for _, part := range parts {
		if r.blocked(part) {
			blocked = append(blocked, part)
		}
	}
	return blocked
}

// blockedBy returns the content or the part by which the request is blocked, and for how much longer; false
// if none is.
func (r *Router) blockedBy(checked *Request) (poison.Fingerprint, time.Duration, bool) {
	if left, blocked := r.poison.Blocked(r.now, checked.Content); blocked {
		return checked.Content, left, true
	}
	for _, part := range checked.Parts {
		if left, blocked := r.poison.Blocked(r.now, part); blocked {
			return part, left, true
		}
	}
	return poison.Fingerprint{}, 0, false
}

// requestBlocked reports whether the request must not be sent.
func (r *Router) requestBlocked(checked *request) bool {
	if r.poison.Empty() {
		return false
	}
	_, _, blocked := r.blockedBy(&checked.Request)
	return blocked
}

// machineEnded records the end of a machine, unless the machine was leaving.
func (r *Router) machineEnded(id cluster.MachineID) {
	if m := r.machines[id]; m == nil || !m.leaving() {
		r.poison.MachineEnded(r.now, id)
	}
}

// blocked reports whether the content must not be sent.
func (r *Router) blocked(content poison.Fingerprint) bool {
	_, blocked := r.poison.Blocked(r.now, content)
	return blocked
}

// poisonRefusal returns why a request is refused because of machines that ended under it, or nil. A
// blocked request may be retried when its block expires.
func (r *Router) poisonRefusal(m *model, arrived *Request) (*verdict.Error, Explanation) {
	if r.poison.Empty() || r.config.Poison.Off() {
		return nil, Explanation{}
	}
	if key, left, blocked := r.blockedBy(arrived); blocked {
		if r.takeProbe(arrived, key) {
			return nil, Explanation{}
		}
		return r.poisonFailure(key, left)
	}
	if failure, reason := r.callerRefusal(m, arrived.Caller); failure != nil {
		return failure, reason
	}
	_, arrived.throttled = r.suspectCallers.Throttled(r.now, arrived.Caller)
	return nil, Explanation{}
}

// heldBackFailure returns the refusal of a request that may not wait until another one has ended.
func (r *Router) heldBackFailure(refused *request) (*verdict.Error, Explanation) {
	if key, left, blocked := r.blockedBy(&refused.Request); blocked {
		return r.poisonFailure(key, left)
	}
	if r.awaitsRelease(refused) {
		awaited := fmt.Sprintf("release %q", refused.Release)
		if !refused.Pinned {
			awaited = "a recorded release"
		}
		failure := verdict.New(verdict.NotRun, verdict.CodeQueueTimeout, "no machine of %s is free and the model's requests may not wait", awaited)
		return failure.After(r.retryAfter(refused.model)), refused.model.explain(settingQueueTime, 0, 0)
	}
	record, _ := r.poison.Record(refused.Content)
	failure := verdict.New(verdict.NotRun, verdict.CodePoisonRequest,
		"requests under which machines ended run one at a time, and this one may not wait")
	return failure.After(r.retryAfter(refused.model)), Explanation{Setting: settingPoisonEnds, Value: float64(record.AttributedEndCount())}
}

// callerRefusal returns why a request is refused because machines ended in succession under other
// requests of its caller, or nil. After a wait the caller's requests run one at a time, which can
// clear the caller.
func (r *Router) callerRefusal(m *model, caller uint64) (*verdict.Error, Explanation) {
	wait, _ := r.suspectCallers.Throttled(r.now, caller)
	if wait == 0 {
		return nil, Explanation{}
	}
	failure := verdict.New(verdict.NotRun, verdict.CodePoisonRequest, "machines ended one after the other under requests of this caller")
	return failure.After(max(wait, r.retryAfter(m))), Explanation{Setting: settingPoisonEnds}
}

// poisonFailure returns the refusal of a blocked request, which names the machines that ended
// under it.
func (r *Router) poisonFailure(content poison.Fingerprint, left time.Duration) (*verdict.Error, Explanation) {
	record, _ := r.poison.Record(content)
	ends := record.AttributedEnds()
	names := make([]string, len(ends))
	for i, machine := range ends {
		names[i] = string(machine)
	}
	what := "this request"
	if content.IsPart() {
		what = fmt.Sprintf("requests with part %x of their prompts", content.PartID())
	}
	failure := verdict.New(verdict.NotRun, verdict.CodePoisonRequest, "machines ended while they ran %s: %s", what, strings.Join(names, ", "))
	return failure.After(left), Explanation{Setting: settingPoisonEnds, Value: float64(len(ends))}
}

// enforceBlocks ends the requests with newly blocked contents or parts, since a request that waits at
// a machine would end it when it runs. An answer that has begun shows that a part is sound.
func (r *Router) enforceBlocks() {
	for _, content := range r.poison.TakeNewlyBlocked() {
		if content.IsPart() {
			r.suspectCallers.PartBlocked(content)
			r.recheckHeldBack = true
		}
		left, _ := r.poison.Blocked(r.now, content)
		for _, blocked := range r.requestsOf(content) {
			if content.IsPart() && blocked.firstByteSent {
				continue
			}
			failure, reason := r.poisonFailure(content, left)
			r.abandon(blocked, failure, reason)
		}
	}
}

// requestsOf lists the unfinished requests with the content or part, by ID.
func (r *Router) requestsOf(content poison.Fingerprint) []*request {
	var same []*request
	for _, other := range r.requests {
		if other.Content == content || content.IsPart() && slices.Contains(other.Parts, content) {
			same = append(same, other)
		}
	}
	slices.SortFunc(same, func(a, b *request) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return same
}

// PoisonCounts returns how many contents are suspected of ending machines and how many are
// blocked.
func (r *Router) PoisonCounts() (suspected, blocked int) { return r.poison.Counts() }

// PoisonRecord returns what is known of a content.
func (r *Router) PoisonRecord(content poison.Fingerprint) (poison.Record, bool) {
	return r.poison.Record(content)
}

// BlockedContents returns the contents that are blocked, in ascending order.
func (r *Router) BlockedContents() []poison.Fingerprint { return r.poison.BlockedContents() }

// NeedsFingerprint reports whether the fingerprint of a request with this head is needed now.
func (r *Router) NeedsFingerprint(head poison.Head) bool { return r.poison.KnowsHead(head) }

package routing

import (
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
		r.poison.Answered(r.now, m.id, time.Unix(0, ended.dispatched))
	}
	if event.Failure == nil {
		r.poison.Completed(r.now, ended.Content)
		r.suspectCallers.Answered(ended.Caller)
	}
	if m.leaving() {
		return
	}
	if event.MachineEnded {
		r.poison.MachineEnded(r.now, m.id)
	}
	if event.Broken {
		r.poison.AttemptFailed(r.now, ended.Content, m.id)
	}
	if event.Broken && event.MachineEnded {
		r.suspectCallers.Ended(r.now, ended.Caller, time.Unix(0, ended.dispatched))
	}
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
	if failure, reason := r.callerRefusal(m, arrived.Caller); failure != nil {
		return failure, reason
	}
	_, arrived.throttled = r.suspectCallers.Throttled(r.now, arrived.Caller)
	if arrived.Content.IsZero() {
		return nil, Explanation{}
	}
	if left, blocked := r.poison.Blocked(r.now, arrived.Content); blocked {
		if r.takeProbe(arrived) {
			return nil, Explanation{}
		}
		return r.poisonFailure(arrived.Content, left)
	}
	return nil, Explanation{}
}

// heldBackFailure returns the refusal of a request that may not wait until another one has ended.
func (r *Router) heldBackFailure(refused *request) (*verdict.Error, Explanation) {
	if left, blocked := r.poison.Blocked(r.now, refused.Content); blocked {
		return r.poisonFailure(refused.Content, left)
	}
	if r.awaitsRelease(refused) {
		failure := verdict.New(verdict.NotRun, verdict.CodeQueueTimeout, "no machine of release %q is free and the model's requests may not wait", refused.Release)
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
	failure := verdict.New(verdict.NotRun, verdict.CodePoisonRequest, "machines ended while they ran this request: %s", strings.Join(names, ", "))
	return failure.After(left), Explanation{Setting: settingPoisonEnds, Value: float64(len(ends))}
}

// enforceBlocks ends the requests with newly blocked contents, since a request that waits at
// a machine would end it when it runs.
func (r *Router) enforceBlocks() {
	for _, content := range r.poison.TakeNewlyBlocked() {
		left, _ := r.poison.Blocked(r.now, content)
		for _, blocked := range r.requestsOf(content) {
			failure, reason := r.poisonFailure(content, left)
			r.abandon(blocked, failure, reason)
		}
	}
}

// requestsOf lists the unfinished requests with the content, by ID.
func (r *Router) requestsOf(content poison.Fingerprint) []*request {
	var same []*request
	for _, other := range r.requests {
		if other.Content == content {
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

// NeedsFingerprint reports whether the fingerprint of a request with this head is needed now.
func (r *Router) NeedsFingerprint(head poison.Head) bool { return r.poison.KnowsHead(head) }

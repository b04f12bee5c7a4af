package poison

import (
	"bytes"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Bounds of the state kept of machines and attempts.
const (
	// failedAttemptWindow is how long after a failed attempt the end of its machine is attributed
	// to it. The machine's entry in the store is deleted after three missed heartbeats, which
	// takes 3 to 5 s.
	failedAttemptWindow = 8 * time.Second
	// abandonedAttemptWindow is the same for an attempt that this node cancelled: the machine
	// may end because of it before it handles the cancellation.
	abandonedAttemptWindow = time.Second
	// completedTTL is how long a request that was answered completely counts as harmless,
	// whichever machines end meanwhile: a frequent request is running on most machines that end.
	// If a new version of the machines' software makes it harmful, that is detected so much later.
	completedTTL = time.Minute
	// maxCompleted bounds these requests, at about 80 bytes each: they cover more than a minute
	// at 10 requests a second.
	maxCompleted = 1024
	// probeDelay is how long after it was blocked a request may be sent once more as a probe: by
	// then the machines that ended are back, and other causes of their end have become visible.
	probeDelay = time.Second
	// maxPendingAttempts bounds the attempts that wait for the end of their machine, at about
	// 100 bytes each.
	maxPendingAttempts = 1024
)

// entry is a record with the local state of this node.
type entry struct {
	Record
	// changed is the time of the record's last change. blockedSince is the time at which the
	// request was blocked, zero if it is not.
	changed, blockedSince time.Time
	// probeGranted is set while this node may send the blocked request once as a probe.
	probeGranted bool
}

// pendingAttempt is an attempt that ended without an answer, while it is not known whether its
// machine ended too.
type pendingAttempt struct {
	content Fingerprint
	machine cluster.MachineID
	// request is the request that ran, if content is a part of its prompt.
	request uint64
	expires time.Time
}

// Table is one node's knowledge of suspected and blocked requests. It is a pure state machine and
// not safe for concurrent use.
type Table struct {
	config  Config
	entries map[Fingerprint]*entry
	// heads counts the entries by the Head of their fingerprint.
	heads   map[Head]int
	pending []pendingAttempt
	// ended holds the machines that are known to have ended, with the time at which this node
	// learned it.
	ended map[cluster.MachineID]time.Time
	// clearances are the ends that were cleared within the last restartDelay because the machine answered.
	clearances []clearance
	// completed holds the requests that were answered completely, with the time of the last answer.
	completed map[Fingerprint]time.Time
	// completedOrder is a ring of these requests in the order of their first answer. Once it is
	// full, completedNext is the index of the oldest.
	completedOrder []Fingerprint
	completedNext  int
	// soundParts are the parts of prompts with which requests were answered lately.
	soundParts soundGenerations
	// updated lists the requests whose records changed since the last call of TakeUpdated, and
	// newlyBlocked those that were blocked since the last call of TakeNewlyBlocked.
	updated, newlyBlocked []Fingerprint
	// nextSweep is when expired records are removed next.
	nextSweep time.Time
}

// NewTable returns an empty table.
func NewTable(config Config) *Table {
	return &Table{config: config.withDefaults(), entries: map[Fingerprint]*entry{}, heads: map[Head]int{}, ended: map[cluster.MachineID]time.Time{}, completed: map[Fingerprint]time.Time{}}
}

// KnowsHead reports whether the table may have a record of a request with this Head, so that the
// request's whole fingerprint is needed.
func (t *Table) KnowsHead(head Head) bool { return t.heads[head] > 0 }

// remove deletes an entry.
func (t *Table) remove(content Fingerprint) {
	delete(t.entries, content)
	if t.heads[content.Head()]--; t.heads[content.Head()] <= 0 {
		delete(t.heads, content.Head())
	}
}

// Empty reports whether the table has no records.
func (t *Table) Empty() bool { return len(t.entries) == 0 }

// Suspected reports whether a machine's end is attributed to the request.
func (t *Table) Suspected(content Fingerprint) bool {
	known := t.entries[content]
	return known != nil && known.AttributedEndCount() > 0
}

// Blocked reports whether the request is blocked, and for how much longer.
func (t *Table) Blocked(now time.Time, content Fingerprint) (time.Duration, bool) {
	known := t.entries[content]
	if known == nil || known.blockedSince.IsZero() {
		return 0, false
	}
	left := t.config.BlockDuration - now.Sub(known.blockedSince)
	return left, left > 0
}

// AttemptFailed records that an attempt at the request on a machine failed without an answer. The parts are
// the fingerprints of those of its prompt that other requests may share.
func (t *Table) AttemptFailed(now time.Time, content Fingerprint, parts []Fingerprint, machine cluster.MachineID) {
	t.awaitEnds(now, content, parts, machine, failedAttemptWindow)
}

// AttemptCancelled records that this node cancelled an attempt at the request on a machine.
func (t *Table) AttemptCancelled(now time.Time, content Fingerprint, parts []Fingerprint, machine cluster.MachineID) {
	t.awaitEnds(now, content, parts, machine, abandonedAttemptWindow)
}

// awaitEnds attributes the machine's end to the request and to its parts.
func (t *Table) awaitEnds(now time.Time, content Fingerprint, parts []Fingerprint, machine cluster.MachineID, window time.Duration) {
	t.awaitEnd(now, pendingAttempt{content: content, machine: machine}, window)
	if content.IsZero() {
		return
	}
	for _, part := range parts {
		t.awaitEnd(now, pendingAttempt{content: part, machine: machine, request: content.short()}, window)
	}
}

// awaitEnd attributes the machine's end if the machine is known to have ended, or if that becomes known
// within the window.
func (t *Table) awaitEnd(now time.Time, run pendingAttempt, window time.Duration) {
	if run.content.IsZero() || run.content.IsPart() && t.recentlyCompleted(now, run.content) {
		return
	}
	if _, known := t.ended[run.machine]; known {
		t.attribute(now, &run)
		return
	}
	if len(t.pending) == maxPendingAttempts {
		t.pending = slices.Delete(t.pending, 0, 1)
	}
	run.expires = now.Add(window)
	t.pending = append(t.pending, run)
}

// MachineEnded records that a machine's process has ended.
func (t *Table) MachineEnded(now time.Time, machine cluster.MachineID) {
	if _, known := t.ended[machine]; !known {
		t.ended[machine] = now
	}
	t.pending = slices.DeleteFunc(t.pending, func(run pendingAttempt) bool {
		if run.machine == machine && !now.After(run.expires) {
			t.attribute(now, &run)
		}
		return run.machine == machine || now.After(run.expires)
	})
}

// Answered records that a machine answered an attempt that was sent at the given time. If the
// machine was taken to have ended before that, only the connection to it was lost, and its end is
// cleared in all records.
func (t *Table) Answered(now time.Time, machine cluster.MachineID, sent time.Time) {
	learned, known := t.ended[machine]
	if !known || !sent.After(learned) {
		return
	}
	delete(t.ended, machine)
	for content, known := range t.entries {
		if contains(known.AttributedEnds(), machine) {
			t.noteClearance(now, clearance{machine: machine, content: content, at: now})
		}
		if contains(known.Ends, machine) {
			t.merge(now, &Record{Content: content, Cleared: []cluster.MachineID{machine}})
		}
	}
}

// Completed records that the request was answered completely, which clears all ends attributed to
// it.
func (t *Table) Completed(now time.Time, content Fingerprint) {
	if content.IsZero() {
		return
	}
	t.noteCompleted(now, content)
	if known := t.entries[content]; known != nil && known.AttributedEndCount() > 0 {
		t.merge(now, &Record{Content: content, Cleared: known.Ends})
	}
}

// noteCompleted remembers the request and evicts the oldest one beyond maxCompleted.
func (t *Table) noteCompleted(now time.Time, content Fingerprint) {
	if content.IsPart() {
		t.soundParts.note(now, content)
		return
	}
	if _, known := t.completed[content]; !known {
		if len(t.completedOrder) < maxCompleted {
			t.completedOrder = append(t.completedOrder, content)
		} else {
			delete(t.completed, t.completedOrder[t.completedNext])
			t.completedOrder[t.completedNext] = content
			t.completedNext = (t.completedNext + 1) % maxCompleted
		}
	}
	t.completed[content] = now
}

// recentlyCompleted reports whether the request was answered completely within completedTTL.
func (t *Table) recentlyCompleted(now time.Time, content Fingerprint) bool {
	if content.IsPart() {
		return t.soundParts.seen(now, content)
	}
	at, known := t.completed[content]
	return known && now.Sub(at) < completedTTL
}

// Pardon clears all ends attributed to the request and reports whether the request was known.
func (t *Table) Pardon(now time.Time, content Fingerprint) bool {
	known := t.entries[content]
	if known == nil {
		return false
	}
	t.clearances = slices.DeleteFunc(t.clearances, func(c clearance) bool { return c.content == content })
	t.merge(now, &Record{Content: content, Cleared: known.Ends})
	return true
}

// attribute counts a machine's end against a request, unless the request is known to be harmless.
func (t *Table) attribute(now time.Time, run *pendingAttempt) {
	if t.recentlyCompleted(now, run.content) {
		return
	}
	record := Record{Content: run.content, Ends: []cluster.MachineID{run.machine}}
	if run.content.IsPart() {
		record.Requests = []uint64{run.request}
	}
	t.merge(now, &record)
}

// Learn merges records of other nodes or of the store.
func (t *Table) Learn(now time.Time, records []Record) {
	for i := range records {
		valid := records[i].Valid()
		if valid.Content.IsZero() {
			continue
		}
		for _, machine := range valid.Ends {
			if !contains(valid.Cleared, machine) {
				t.MachineEnded(now, machine)
			}
		}
		t.merge(now, &valid)
	}
}

// merge adds the ends and clearances of a record.
func (t *Table) merge(now time.Time, update *Record) {
	known := t.entries[update.Content]
	if known == nil {
		if len(update.Ends) == 0 {
			return
		}
		t.evict()
		known = &entry{Record: Record{Content: update.Content}}
		t.entries[update.Content] = known
		t.heads[update.Content.Head()]++
	}
	if t.recentlyCompleted(now, update.Content) {
		update = &Record{Content: update.Content, Ends: update.Ends, Cleared: union(update.Cleared, update.Ends), Requests: update.Requests}
	}
	joined, more := known.Merged(update)
	if !more {
		return
	}
	known.Record, known.changed = joined, now
	if !slices.Contains(t.updated, update.Content) {
		t.updated = append(t.updated, update.Content)
	}
	t.updateBlocked(now, known)
}

// updateBlocked blocks or unblocks a request by the ends attributed to it.
func (t *Table) updateBlocked(now time.Time, known *entry) {
	blocked := t.config.Blocks(&known.Record)
	switch {
	case blocked && known.blockedSince.IsZero():
		known.blockedSince = now
		t.newlyBlocked = append(t.newlyBlocked, known.Content)
	case !blocked:
		known.blockedSince, known.probeGranted = time.Time{}, false
	}
}

// evict removes the record with the fewest attributed ends if the table is full; of several, the
// oldest. A flood of suspected requests thus evicts no blocked one.
func (t *Table) evict() {
	if len(t.entries) < t.config.MaxRecords {
		return
	}
	var candidate *entry
	for _, known := range t.entries {
		if candidate == nil || known.evictsBefore(candidate) {
			candidate = known
		}
	}
	t.remove(candidate.Content)
}

// evictsBefore orders entries for eviction by attributed ends, then by age, then by fingerprint.
func (e *entry) evictsBefore(other *entry) bool {
	if mine, others := e.AttributedEndCount(), other.AttributedEndCount(); mine != others {
		return mine < others
	}
	if !e.changed.Equal(other.changed) {
		return e.changed.Before(other.changed)
	}
	return slices.Compare(e.Content[:], other.Content[:]) < 0
}

// TakeUpdated returns the records that changed since its last call.
func (t *Table) TakeUpdated() []Record {
	if len(t.updated) == 0 {
		return nil
	}
	records := make([]Record, 0, len(t.updated))
	for _, content := range t.updated {
		if known := t.entries[content]; known != nil {
			records = append(records, known.Record)
		}
	}
	t.updated = t.updated[:0]
	return records
}

// TakeNewlyBlocked returns the requests that were blocked since its last call and still are.
func (t *Table) TakeNewlyBlocked() []Fingerprint {
	blocked := t.newlyBlocked
	t.newlyBlocked = nil
	return slices.DeleteFunc(blocked, func(content Fingerprint) bool {
		known := t.entries[content]
		return known == nil || known.blockedSince.IsZero()
	})
}

// sweepInterval is the time between two scans of all records for expired ones; calls of Sweep in
// between return at once.
const sweepInterval = 10 * time.Second

// Sweep removes expired records, machines and attempts, at most once in sweepInterval.
func (t *Table) Sweep(now time.Time) {
	if now.Before(t.nextSweep) {
		return
	}
	t.nextSweep = now.Add(sweepInterval)
	for content, known := range t.entries {
		since, kept := known.changed, t.config.Suspicion
		if !known.blockedSince.IsZero() {
			since, kept = known.blockedSince, t.config.BlockDuration
		}
		if now.Sub(since) >= kept {
			t.remove(content)
		}
	}
	for machine, learned := range t.ended {
		if now.Sub(learned) >= t.config.Suspicion {
			delete(t.ended, machine)
		}
	}
	t.pending = slices.DeleteFunc(t.pending, func(run pendingAttempt) bool { return now.After(run.expires) })
}

// Record returns the record of a request and whether there is one.
func (t *Table) Record(content Fingerprint) (Record, bool) {
	known := t.entries[content]
	if known == nil {
		return Record{}, false
	}
	return known.Record, true
}

// BlockedContents returns the contents that are blocked, in ascending order.
func (t *Table) BlockedContents() []Fingerprint {
	var blocked []Fingerprint
	for content, known := range t.entries {
		if !known.blockedSince.IsZero() {
			blocked = append(blocked, content)
		}
	}
	slices.SortFunc(blocked, func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	return blocked
}

// Counts returns the number of suspected requests that are not blocked, and of blocked ones.
func (t *Table) Counts() (suspected, blocked int) {
	for _, known := range t.entries {
		switch {
		case !known.blockedSince.IsZero():
			blocked++
		case known.AttributedEndCount() > 0:
			suspected++
		}
	}
	return suspected, blocked
}

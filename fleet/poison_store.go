package fleet

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/poison"
)

// sendWrites writes the due blocks to the store, one call for each.
func (s *poisonSync) sendWrites() {
	if next := s.nextWriteAt(); next.IsZero() || next.After(s.core.now) {
		return
	}
	s.sendDeletes()
	for _, content := range sortedContents(s.writes) {
		write := s.writes[content]
		record, found := s.core.router.PoisonRecord(content)
		if !found || !s.blocks(&record) {
			delete(s.writes, content)
			continue
		}
		if write.leftToOthers || write.inFlight || write.dueAt.After(s.core.now) {
			continue
		}
		write.inFlight = true
		s.core.emit(StoreWrite{Key: KeyPoison + content.String(), Value: encodePoison(&StoredPoisonRecord{Record: record}), Revision: write.revision})
	}
}

// sendDeletes deletes the due records from the store.
func (s *poisonSync) sendDeletes() {
	for _, content := range sortedContents(s.removals) {
		removal, stored := s.removals[content], s.stored[content]
		switch {
		case stored == nil:
			delete(s.removals, content)
		case !removal.inFlight && !removal.dueAt.After(s.core.now):
			removal.inFlight = true
			s.core.emit(StoreWrite{Key: KeyPoison + content.String(), Delete: true, Revision: stored.Revision})
		}
	}
}

// claimProbe claims one of the few probes of a blocked request, and reports whether it did; a write to
// the store grants it to a single node. If that node ends before it uses the probe, the request waits
// for the next probe.
func (s *poisonSync) claimProbe(content poison.Fingerprint) bool {
	stored := s.stored[content]
	if stored == nil || s.core.now.Sub(stored.claimedAt) < minPoisonWriteRetry {
		return false
	}
	allowed, spacing := maxPoisonProbes, poisonProbeSpacing
	switch {
	case s.proberEnded(stored):
		allowed, spacing = maxPoisonProbes+1, 0
	case stored.Silent && s.lastProbeInconclusive(stored):
		allowed, spacing = maxPoisonProbes+1, 0
	case s.lastProbeInconclusive(stored):
		allowed = maxPoisonProbes + 1
	}
	if stored.Probes >= allowed || stored.Probes > 0 && s.core.now.Sub(stored.readAt) < spacing {
		return false
	}
	stored.claimedAt = s.core.now
	s.core.log(eventlog.PoisonProbe{Content: content.String(), Outcome: "claimed", Number: stored.Probes + 1})
	claim := StoredPoisonRecord{
		Record: stored.Record, Probes: stored.Probes + 1, Prober: s.core.config.Self.ID, EndsBefore: s.attributedEnds(content),
	}
	s.core.emit(StoreWrite{Key: KeyPoison + content.String(), Value: encodePoison(&claim), Revision: stored.Revision})
	return true
}

// returnProbe tells all nodes, by the stored record, that the machine of this node's probe is silent.
func (s *poisonSync) returnProbe(content poison.Fingerprint) {
	stored := s.stored[content]
	if stored == nil || stored.Prober != s.core.config.Self.ID || stored.Silent {
		return
	}
	s.core.log(eventlog.PoisonProbe{Content: content.String(), Outcome: "silent", Number: stored.Probes})
	silent := stored.StoredPoisonRecord
	silent.Silent = true
	s.core.emit(StoreWrite{Key: KeyPoison + content.String(), Value: encodePoison(&silent), Revision: stored.Revision})
}

// proberEnded reports whether the node of the last probe is known to have ended: its record is
// gone or was replaced by that of another process of its machine.
func (s *poisonSync) proberEnded(stored *storedPoison) bool {
	_, lives := s.core.nodes.live[stored.Prober]
	return stored.Probes > 0 && !lives && stored.Prober != s.core.config.Self.ID
}

// lastProbeInconclusive reports whether no machine has ended under the request since its last
// probe, although the request was not unblocked either. The machine may not have answered.
func (s *poisonSync) lastProbeInconclusive(stored *storedPoison) bool {
	return stored.EndsBefore > 0 && s.attributedEnds(stored.Record.Content) <= stored.EndsBefore
}

// attributedEnds returns the number of machines whose end is attributed to a request.
func (s *poisonSync) attributedEnds(content poison.Fingerprint) int {
	record, _ := s.core.router.PoisonRecord(content)
	return len(record.AttributedEnds())
}

// writeAnswered handles the answer to a write. A record that another node has already written
// counts as success.
func (s *poisonSync) writeAnswered(answered StoreWritten) {
	content, err := poison.ParseFingerprint(strings.TrimPrefix(answered.Key, KeyPoison))
	if err != nil {
		return
	}
	if answered.Err != nil && s.writes[content] == nil && s.removals[content] == nil {
		// The claim of a probe failed. If it was written all the same, the record grants the next request.
		s.core.feedRouter(routing.PoisonProbeDenied{Content: content})
		return
	}
	for _, pending := range []map[poison.Fingerprint]*pendingWrite{s.writes, s.removals} {
		write := pending[content]
		switch {
		case write == nil:
		case answered.Err == nil:
			delete(pending, content)
		default:
			write.inFlight, write.dueAt = false, s.core.now.Add(write.retryDelay)
			write.retryDelay = min(2*write.retryDelay, maxPoisonWriteRetry)
		}
	}
}

// scheduleDelete schedules the deletion of the stored record of an unblocked request. Nodes that
// start later would otherwise refuse the request because of the record.
func (s *poisonSync) scheduleDelete(content poison.Fingerprint) {
	if s.stored[content] != nil && s.removals[content] == nil {
		s.liftedBlocks[content] = true
		s.removals[content] = &pendingWrite{dueAt: s.core.now, retryDelay: minPoisonWriteRetry}
	}
}

// deleteExpired makes the lease holder delete expired records.
func (s *poisonSync) deleteExpired() {
	if len(s.stored) == 0 || s.core.now.Before(s.nextCleanupAt) || !s.core.controller.ledger.Holding() {
		return
	}
	s.nextCleanupAt = s.core.now.Add(poisonCleanupInterval)
	for _, content := range sortedContents(s.stored) {
		if _, kept := s.core.router.PoisonRecord(content); !kept {
			s.scheduleDelete(content)
		}
	}
}

// nextWriteAt returns the time of the next write or deletion, zero for none.
func (s *poisonSync) nextWriteAt() time.Time {
	var next time.Time
	for _, pending := range []map[poison.Fingerprint]*pendingWrite{s.writes, s.removals} {
		for _, write := range pending {
			if !write.leftToOthers && !write.inFlight {
				next = earliest(next, write.dueAt)
			}
		}
	}
	return next
}

// poisonDocument is the stored form of a record.
type poisonDocument struct {
	Ends    []cluster.MachineID `json:"ends"`
	Cleared []cluster.MachineID `json:"cleared,omitempty"`
	Probes  int                 `json:"tests,omitempty"`
	Prober  cluster.NodeID      `json:"tester,omitempty"`
	Before  int                 `json:"ends_before,omitempty"`
	Silent  bool                `json:"silent,omitempty"`
	// Requests are the digests of the different requests with a part of prompts.
	Requests []uint64 `json:"requests,omitempty"`
}

func encodePoison(stored *StoredPoisonRecord) []byte {
	record := &stored.Record
	data, err := json.Marshal(poisonDocument{Ends: record.Ends, Cleared: record.Cleared, Probes: stored.Probes, Prober: stored.Prober, Before: stored.EndsBefore, Silent: stored.Silent, Requests: record.Requests})
	if err != nil {
		return nil
	}
	return data
}

// DecodePoison decodes a stored record. The caller sets its revision.
func DecodePoison(key string, value []byte) (StoredPoisonRecord, error) {
	content, err := poison.ParseFingerprint(strings.TrimPrefix(key, KeyPoison))
	if err != nil {
		return StoredPoisonRecord{}, err
	}
	stored := StoredPoisonRecord{Record: poison.Record{Content: content}}
	var document poisonDocument
	if err := json.Unmarshal(value, &document); err != nil {
		return stored, eris.Wrap(err, "decode poison record")
	}
	record := poison.Record{Content: content, Ends: document.Ends, Cleared: document.Cleared, Requests: document.Requests}
	stored.Record, stored.Probes, stored.Prober, stored.EndsBefore = record.Valid(), document.Probes, document.Prober, document.Before
	stored.Silent = document.Silent
	return stored, nil
}

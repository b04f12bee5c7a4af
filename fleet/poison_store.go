package fleet

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/poison"
)

// write puts convictions into the store, one call for each.
func (k *poisonKeeper) write() {
	if next := k.writeDue(); next.IsZero() || next.After(k.core.now) {
		return
	}
	k.deleteDue()
	for _, content := range sortedContents(k.writes) {
		due := k.writes[content]
		record, found := k.core.router.PoisonRecord(content)
		if !found || !k.convicts(&record) {
			delete(k.writes, content)
			continue
		}
		if due.idle || due.underWay || due.next.After(k.core.now) {
			continue
		}
		due.underWay = true
		k.core.emit(StoreWrite{Key: KeyPoison + content.String(), Value: encodePoison(&PoisonStored{Record: record}), Revision: due.revision})
	}
}

// deleteDue deletes the records whose time for it has come.
func (k *poisonKeeper) deleteDue() {
	for _, content := range sortedContents(k.removals) {
		due, stored := k.removals[content], k.stored[content]
		switch {
		case stored == nil:
			delete(k.removals, content)
		case !due.underWay && !due.next.After(k.core.now):
			due.underWay = true
			k.core.emit(StoreWrite{Key: KeyPoison + content.String(), Delete: true, Revision: stored.Revision})
		}
	}
}

// testWanted claims one of the few tests of a convicted request: the store lets one node
// have it. A node that ends before it uses it leaves the request to the next test.
func (k *poisonKeeper) testWanted(content poison.Fingerprint) {
	stored := k.stored[content]
	if stored == nil || k.core.now.Sub(stored.claimed) < poisonWriteRetry {
		return
	}
	most, spacing := mostTests, testSpacing
	switch {
	case k.testerEnded(stored):
		most, spacing = mostTests+1, 0
	case k.saidNothing(stored):
		most = mostTests + 1
	}
	if stored.Tests >= most || stored.Tests > 0 && k.core.now.Sub(stored.since) < spacing {
		return
	}
	stored.claimed = k.core.now
	claim := PoisonStored{
		Record: stored.Record, Tests: stored.Tests + 1, Tester: k.core.config.Self.ID, EndsBefore: k.ends(content),
	}
	k.core.emit(StoreWrite{Key: KeyPoison + content.String(), Value: encodePoison(&claim), Revision: stored.Revision})
}

// testerEnded reports whether the node that has the last test is known to have ended: its
// record is gone, or another process of its machine has one.
func (k *poisonKeeper) testerEnded(stored *storedPoison) bool {
	_, lives := k.core.nodes.live[stored.Tester]
	return stored.Tests > 0 && !lives && stored.Tester != k.core.config.Self.ID
}

// saidNothing reports whether no machine has ended under the request since its last test, which
// did not acquit it either: its machine may have answered nothing.
func (k *poisonKeeper) saidNothing(stored *storedPoison) bool {
	return stored.EndsBefore > 0 && k.ends(stored.Record.Content) <= stored.EndsBefore
}

// ends is how many machines ended under a request.
func (k *poisonKeeper) ends(content poison.Fingerprint) int {
	record, _ := k.core.router.PoisonRecord(content)
	return len(record.StandingEnds())
}

// written takes the outcome of a write. A record that another node wrote before counts.
func (k *poisonKeeper) written(answered StoreWritten) {
	content, err := poison.ParseFingerprint(strings.TrimPrefix(answered.Key, KeyPoison))
	if err != nil {
		return
	}
	// What is neither is the claim of a test: the record tells what became of it.
	for _, pending := range []map[poison.Fingerprint]*poisonWrite{k.writes, k.removals} {
		due := pending[content]
		switch {
		case due == nil:
		case answered.Err == nil:
			delete(pending, content)
		default:
			due.underWay, due.next = false, k.core.now.Add(due.wait)
			due.wait = min(2*due.wait, longestPoisonWriteRetry)
		}
	}
}

// remove sees to it that the record of a request is deleted that is not to blame any more:
// nodes that start would refuse it by the record.
func (k *poisonKeeper) remove(content poison.Fingerprint) {
	if k.stored[content] != nil && k.removals[content] == nil {
		k.lifted[content] = true
		k.removals[content] = &poisonWrite{next: k.core.now, wait: poisonWriteRetry}
	}
}

// removeOver has the holder of the lease delete the records whose time is over.
func (k *poisonKeeper) removeOver() {
	if len(k.stored) == 0 || k.core.now.Before(k.removeAt) || !k.core.cell.ledger.Holding() {
		return
	}
	k.removeAt = k.core.now.Add(removeInterval)
	for _, content := range sortedContents(k.stored) {
		if _, kept := k.core.router.PoisonRecord(content); !kept {
			k.remove(content)
		}
	}
}

// writeDue returns when a record is to be written next, zero for never.
func (k *poisonKeeper) writeDue() time.Time {
	var next time.Time
	for _, pending := range []map[poison.Fingerprint]*poisonWrite{k.writes, k.removals} {
		for _, due := range pending {
			if !due.idle && !due.underWay {
				next = earliest(next, due.next)
			}
		}
	}
	return next
}

// poisonDocument is a record's form in the store.
type poisonDocument struct {
	Ends    []cluster.MachineID `json:"ends"`
	Cleared []cluster.MachineID `json:"cleared,omitempty"`
	Tests   int                 `json:"tests,omitempty"`
	Tester  cluster.NodeID      `json:"tester,omitempty"`
	Before  int                 `json:"ends_before,omitempty"`
}

func encodePoison(stored *PoisonStored) []byte {
	record := &stored.Record
	data, err := json.Marshal(poisonDocument{Ends: record.Ends, Cleared: record.Cleared, Tests: stored.Tests, Tester: stored.Tester, Before: stored.EndsBefore})
	if err != nil {
		return nil
	}
	return data
}

// DecodePoison reads a record of the store; its revision is left to the caller.
func DecodePoison(key string, value []byte) (PoisonStored, error) {
	content, err := poison.ParseFingerprint(strings.TrimPrefix(key, KeyPoison))
	if err != nil {
		return PoisonStored{}, err
	}
	stored := PoisonStored{Record: poison.Record{Content: content}}
	var document poisonDocument
	if err := json.Unmarshal(value, &document); err != nil {
		return stored, eris.Wrap(err, "record of a poison request")
	}
	record := poison.Record{Content: content, Ends: document.Ends, Cleared: document.Cleared}
	stored.Record, stored.Tests, stored.Tester, stored.EndsBefore = record.Valid(), document.Tests, document.Tester, document.Before
	return stored, nil
}

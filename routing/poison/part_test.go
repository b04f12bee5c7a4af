package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

var (
	deadPart  = PartFingerprint(0xdead0001)
	soundPart = PartFingerprint(0x50000001)
)

// differentRequest returns the fingerprint of one of several requests with the same parts.
func differentRequest(n int) Fingerprint {
	content := Content{Body: fmt.Appendf(nil, "request %d", n)}
	return content.Fingerprint()
}

func machineID(n int) cluster.MachineID { return cluster.MachineID(fmt.Sprintf("machine-%d", n)) }

// endUnder records that a request with the parts was running on a machine when it ended.
func endUnder(t *Table, now time.Time, request, machine int, parts ...Fingerprint) {
	t.AttemptFailed(now, differentRequest(request), parts, machineID(machine))
	t.MachineEnded(now, machineID(machine))
}

// TestPartIsBlockedByEndsUnderDifferentRequests guards against a part that ends one machine after the other
// under requests of which each is new, and against the part that stands in sound requests too.
func TestPartIsBlockedByEndsUnderDifferentRequests(t *testing.T) {
	table := NewTable(Config{})
	for n := range DefaultEnds {
		now := testStart.Add(time.Duration(n) * time.Second)
		table.Completed(now, soundPart)
		endUnder(table, now, n, n, soundPart, deadPart)
	}
	now := testStart.Add(DefaultEnds * time.Second)
	if _, blocked := table.Blocked(now, deadPart); !blocked {
		t.Error("the part is not blocked")
	}
	if _, blocked := table.Blocked(now, soundPart); blocked || table.Suspected(soundPart) {
		t.Error("the sound part is blamed")
	}
	if _, blocked := table.Blocked(now, differentRequest(0)); blocked {
		t.Error("a request is blocked under which a single machine ended")
	}
}

// TestHarmfulRequestDoesNotBlockItsParts guards against a single harmful request, sent again and again, that
// takes the parts of its prompt with it.
func TestHarmfulRequestDoesNotBlockItsParts(t *testing.T) {
	table := NewTable(Config{})
	for n := range 2 * DefaultEnds {
		endUnder(table, testStart, 0, n, soundPart)
	}
	if _, blocked := table.Blocked(testStart, differentRequest(0)); !blocked {
		t.Error("the request is not blocked")
	}
	if _, blocked := table.Blocked(testStart, soundPart); blocked {
		t.Error("the part of one request is blocked")
	}
}

// TestAnswerClearsPart guards against a part that stays blocked although a request with it was answered, at this
// node or at one that sends its record.
func TestAnswerClearsPart(t *testing.T) {
	table := NewTable(Config{})
	for n := range DefaultEnds {
		endUnder(table, testStart, n, n, soundPart)
	}
	blocked, _ := table.Record(soundPart)
	table.Completed(testStart, soundPart)
	if _, still := table.Blocked(testStart, soundPart); still {
		t.Error("the part is blocked after an answer")
	}
	other := NewTable(Config{})
	other.Completed(testStart, soundPart)
	other.Learn(testStart.Add(time.Second), []Record{blocked})
	if _, still := other.Blocked(testStart.Add(time.Second), soundPart); still || len(other.TakeUpdated()) == 0 {
		t.Error("a node that has an answer with the part believes the record, or keeps to itself that it knows better")
	}
}

// TestRecordsOfPartsAreMergedByUnion guards against nodes of which each knows one end and one request.
func TestRecordsOfPartsAreMergedByUnion(t *testing.T) {
	table := NewTable(Config{})
	for n := range DefaultEnds {
		other := NewTable(Config{})
		endUnder(other, testStart, n%minPartRequests, n, deadPart)
		record, _ := other.Record(deadPart)
		for range 2 {
			table.Learn(testStart, []Record{record})
		}
	}
	if _, blocked := table.Blocked(testStart, deadPart); !blocked {
		t.Error("the part is not blocked")
	}
}

// TestFloodOfPartsKeepsBlockedOnes guards against a caller that names parts by the thousand, which must push out
// neither a blocked part nor the memory of sound ones in use.
func TestFloodOfPartsKeepsBlockedOnes(t *testing.T) {
	table := NewTable(Config{})
	for n := range DefaultEnds {
		endUnder(table, testStart, n, n, deadPart)
	}
	for n := range 3 * maxGeneration {
		now := testStart.Add(time.Duration(n) * time.Millisecond)
		table.Completed(now, PartFingerprint(uint64(n)))
		if n%100 == 0 {
			table.Completed(now, soundPart)
		}
		if n%10 == 0 {
			endUnder(table, now, n, 100+n%3, PartFingerprint(uint64(1<<32+n)), PartFingerprint(uint64(1<<33+n)), PartFingerprint(uint64(1<<34+n)))
		}
	}
	now := testStart.Add(3 * maxGeneration * time.Millisecond)
	if _, blocked := table.Blocked(now, deadPart); !blocked {
		t.Error("the blocked part was dropped")
	}
	if !table.recentlyCompleted(now, soundPart) {
		t.Error("a sound part in use was dropped")
	}
	if kept := len(table.entries); kept > DefaultMaxRecords {
		t.Errorf("%d records are kept", kept)
	}
	if kept := len(table.soundParts.young) + len(table.soundParts.old); kept > 2*maxGeneration {
		t.Errorf("%d sound parts are kept", kept)
	}
}

// TestBlockedPartFreesItsCaller guards against a caller that is throttled for the ends under a part, once that
// part is refused: sound requests share the caller. Another caller stays throttled.
func TestBlockedPartFreesItsCaller(t *testing.T) {
	callers := NewCallers()
	for n := range throttleAfterEnds {
		now := testStart.Add(time.Duration(n) * time.Second)
		callers.Ended(now.Add(time.Millisecond), 1, now, []Fingerprint{soundPart, deadPart})
		callers.Ended(now.Add(time.Millisecond), 2, now, []Fingerprint{soundPart})
	}
	callers.PartBlocked(deadPart)
	now := testStart.Add(throttleAfterEnds * time.Second)
	if _, throttled := callers.Throttled(now, 1); throttled {
		t.Error("the caller is throttled")
	}
	if _, throttled := callers.Throttled(now, 2); !throttled {
		t.Error("another caller is free")
	}
}

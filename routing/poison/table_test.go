package poison

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

var (
	testStart = time.Unix(5000, 0)
	harmful   = Fingerprint{1}
	innocent  = Fingerprint{2}
)

// recordEnds records the ends of machines under a request, one second apart, and returns the time
// of the last one.
func recordEnds(t *Table, now time.Time, content Fingerprint, machines ...cluster.MachineID) time.Time {
	for _, machine := range machines {
		now = now.Add(time.Second)
		t.AttemptFailed(now, content, nil, machine)
		t.MachineEnded(now, machine)
	}
	return now
}

func isBlocked(t *Table, now time.Time, content Fingerprint) bool {
	_, is := t.Blocked(now, content)
	return is
}

// TestThreeEndsBlockRequest checks that the ends of three different machines block a request for
// DefaultBlockDuration, whichever nodes counted them.
func TestThreeEndsBlockRequest(t *testing.T) {
	table := NewTable(Config{})
	now := recordEnds(table, testStart, harmful, "a", "b", "b", "a")
	if !table.Suspected(harmful) || isBlocked(table, now, harmful) {
		t.Error("two ended machines block the request")
	}
	table.Learn(now, []Record{{Content: harmful, Ends: []cluster.MachineID{"c", "a"}}})
	left, is := table.Blocked(now, harmful)
	if !is || left != DefaultBlockDuration || len(table.TakeNewlyBlocked()) != 1 {
		t.Errorf("blocked %v for %s", is, left)
	}
	if isBlocked(table, now.Add(DefaultBlockDuration), harmful) {
		t.Error("the request is blocked for longer than the configured duration")
	}
	table.Sweep(now.Add(DefaultBlockDuration))
	if !table.Empty() {
		t.Error("an expired record is kept")
	}
}

// TestFailedAttemptsCountOnlyIfMachineEnds checks that failed attempts count against a request only
// if their machine ends within the window; a broken connection alone must not.
func TestFailedAttemptsCountOnlyIfMachineEnds(t *testing.T) {
	table := NewTable(Config{})
	for _, machine := range []cluster.MachineID{"a", "b", "c"} {
		table.AttemptFailed(testStart, innocent, nil, machine)
		table.AttemptCancelled(testStart, harmful, nil, machine)
	}
	if table.Suspected(innocent) {
		t.Error("failed attempts without an ended machine make the request a suspect")
	}
	table.MachineEnded(testStart.Add(failedAttemptWindow), "a")
	table.MachineEnded(testStart.Add(failedAttemptWindow+time.Millisecond), "b")
	if record, _ := table.Record(innocent); record.AttributedEndCount() != 1 {
		t.Errorf("ends %v: want only the machine that ended within the window", record.Ends)
	}
	if table.Suspected(harmful) {
		t.Error("a cancelled attempt counts for a machine that ended after the window")
	}
	table.AttemptCancelled(testStart, harmful, nil, "c")
	table.MachineEnded(testStart.Add(abandonedAttemptWindow), "c")
	if !table.Suspected(harmful) {
		t.Error("a cancelled attempt does not count for a machine that ended within the window")
	}
}

// TestAnswersClearEnds checks that a complete answer clears the request, that an answer of a
// machine clears that machine's end, and that both are passed on to other nodes.
func TestAnswersClearEnds(t *testing.T) {
	completed, reconnected := NewTable(Config{}), NewTable(Config{})
	now := recordEnds(completed, testStart, innocent, "a", "b", "c")
	recordEnds(reconnected, testStart, innocent, "a", "b", "c")
	_, _ = completed.TakeUpdated(), reconnected.TakeUpdated()
	completed.Completed(now, innocent)
	reconnected.Answered(now, "b", now.Add(-time.Minute))
	if !isBlocked(reconnected, now, innocent) {
		t.Error("an answer to an attempt that was sent before the machine ended clears its end")
	}
	reconnected.Answered(now.Add(time.Second), "b", now)
	for name, table := range map[string]*Table{"a complete answer": completed, "a machine that answers": reconnected} {
		if isBlocked(table, now, innocent) || len(table.TakeUpdated()) != 1 {
			t.Errorf("%s does not unblock the request, or is not passed on", name)
		}
	}
	// Delayed records of the same ends change nothing; a new end counts.
	completed.Learn(now, []Record{{Content: innocent, Ends: []cluster.MachineID{"a", "b", "c"}}})
	recordEnds(completed, now.Add(completedTTL), innocent, "d")
	if record, _ := completed.Record(innocent); record.AttributedEndCount() != 1 {
		t.Errorf("%+v: want one attributed end", record)
	}
}

// TestRecentlyCompletedRequestIsNotSuspected checks that ends are not attributed to a request that
// was answered completely a short time ago, whether this node or another one reports them.
func TestRecentlyCompletedRequestIsNotSuspected(t *testing.T) {
	table := NewTable(Config{})
	table.Completed(testStart, innocent)
	now := recordEnds(table, testStart, innocent, "a", "b", "c")
	if table.Suspected(innocent) {
		t.Error("the request is suspected because of ends seen by this node")
	}
	table.Learn(now, []Record{{Content: innocent, Ends: []cluster.MachineID{"d", "e", "f"}}})
	if isBlocked(table, now, innocent) {
		t.Error("the request is blocked because of ends seen by another node")
	}
	if news := table.TakeUpdated(); len(news) != 1 || news[0].AttributedEndCount() != 0 {
		t.Errorf("passed on to other nodes: %+v", news)
	}
}

// TestProbeNeedsPermission checks that a node sends a blocked request once for each permission,
// because each probe of a harmful request costs a machine.
func TestProbeNeedsPermission(t *testing.T) {
	table := NewTable(Config{})
	now := recordEnds(table, testStart, harmful, "a", "b", "c")
	if table.ProbeDue(now, harmful) || table.TakeProbe(harmful) {
		t.Error("a probe is due at once, or sent without permission")
	}
	if !table.ProbeDue(now.Add(probeDelay), harmful) {
		t.Error("no probe is due after the delay")
	}
	table.GrantProbe(harmful)
	if !table.TakeProbe(harmful) || table.TakeProbe(harmful) {
		t.Error("one permission must allow exactly one probe")
	}
}

// TestFloodEvictsNoBlockedRequest checks that a flood of suspected requests doesn't evict a blocked
// one and that the table stays bounded.
func TestFloodEvictsNoBlockedRequest(t *testing.T) {
	const maxRecords = 50
	table := NewTable(Config{MaxRecords: maxRecords})
	now := recordEnds(table, testStart, harmful, "a", "b", "c")
	for i := range 20 * maxRecords {
		now = now.Add(time.Millisecond)
		table.AttemptFailed(now, Fingerprint{9, byte(i), byte(i >> 8)}, nil, "d")
		table.MachineEnded(now, "d")
	}
	if suspected, found := table.Counts(); !isBlocked(table, now, harmful) || suspected+found > maxRecords {
		t.Errorf("blocked %v, %d records", isBlocked(table, now, harmful), suspected+found)
	}
}

// TestNegativeEndsDisableBlocking checks that no request is blocked if blocking is disabled.
func TestNegativeEndsDisableBlocking(t *testing.T) {
	table := NewTable(Config{Ends: -1})
	if now := recordEnds(table, testStart, harmful, "a", "b", "c", "d"); isBlocked(table, now, harmful) {
		t.Error("the request is blocked")
	}
}

// TestPardonClearsOnlyKnownEnds checks that a pardon clears the ends known so far, and no later
// ones.
func TestPardonClearsOnlyKnownEnds(t *testing.T) {
	table := NewTable(Config{})
	now := recordEnds(table, testStart, harmful, "a", "b", "c")
	if !table.Pardon(now, harmful) || isBlocked(table, now, harmful) || table.Pardon(now, innocent) {
		t.Error("the request is still blocked, or an unknown one is reported as known")
	}
	if now = recordEnds(table, now, harmful, "d", "e", "f"); !isBlocked(table, now, harmful) {
		t.Error("ends after a pardon do not block the request")
	}
}

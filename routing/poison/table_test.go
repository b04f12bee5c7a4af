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

// ended has machines end under a request, a second apart, and returns the time after it.
func ended(t *Table, now time.Time, content Fingerprint, machines ...cluster.MachineID) time.Time {
	for _, machine := range machines {
		now = now.Add(time.Second)
		t.Broke(now, content, machine)
		t.MachineEnded(now, machine)
	}
	return now
}

func convicted(t *Table, now time.Time, content Fingerprint) bool {
	_, is := t.Convicted(now, content)
	return is
}

// TestThreeEndsConvict, for the time of a conviction, whichever node counted them.
func TestThreeEndsConvict(t *testing.T) {
	table := NewTable(Config{})
	now := ended(table, testStart, harmful, "a", "b", "b", "a")
	if !table.Suspected(harmful) || convicted(table, now, harmful) {
		t.Error("two machines that ended convict it")
	}
	table.Learn(now, []Record{{Content: harmful, Ends: []cluster.MachineID{"c", "a"}}})
	left, is := table.Convicted(now, harmful)
	if !is || left != DefaultConviction || len(table.Verdicts()) != 1 {
		t.Errorf("convicted %v for %s", is, left)
	}
	if convicted(table, now.Add(DefaultConviction), harmful) {
		t.Error("it is convicted for good")
	}
	table.Sweep(now.Add(DefaultConviction))
	if !table.Empty() {
		t.Error("what is over is kept")
	}
}

// TestBrokenRunsAreNoEvidence until their machine is known to have ended, in time.
func TestBrokenRunsAreNoEvidence(t *testing.T) {
	table := NewTable(Config{})
	for _, machine := range []cluster.MachineID{"a", "b", "c"} {
		table.Broke(testStart, innocent, machine)
		table.Left(testStart, harmful, machine)
	}
	if table.Suspected(innocent) {
		t.Error("broken connections make it a suspect")
	}
	table.MachineEnded(testStart.Add(breakWindow), "a")
	table.MachineEnded(testStart.Add(breakWindow+time.Millisecond), "b")
	if record, _ := table.Record(innocent); record.Standing() != 1 {
		t.Errorf("ends %v: that of the machine that ended in time counts", record.Ends)
	}
	if table.Suspected(harmful) {
		t.Error("a run that was given up counts long after")
	}
	table.Left(testStart, harmful, "c")
	table.MachineEnded(testStart.Add(leftWindow), "c")
	if !table.Suspected(harmful) {
		t.Error("a run that was given up as its machine ended does not count")
	}
}

// TestAnswersAcquit: a whole answer clears the request, an answer of a machine clears what
// it was held to have ended under; both are news for others.
func TestAnswersAcquit(t *testing.T) {
	whole, alive := NewTable(Config{}), NewTable(Config{})
	now := ended(whole, testStart, innocent, "a", "b", "c")
	ended(alive, testStart, innocent, "a", "b", "c")
	_, _ = whole.News(), alive.News()
	whole.Whole(now, innocent)
	alive.Answered(now, "b", now.Add(-time.Minute))
	if !convicted(alive, now, innocent) {
		t.Error("an answer to what was sent before its end clears a machine")
	}
	alive.Answered(now.Add(time.Second), "b", now)
	for name, table := range map[string]*Table{"a whole answer": whole, "a machine that answers": alive} {
		if convicted(table, now, innocent) || len(table.News()) != 1 {
			t.Errorf("%s does not clear the request, or is no news", name)
		}
	}
	// Late news of the same ends change nothing, a further end counts anew.
	whole.Learn(now, []Record{{Content: innocent, Ends: []cluster.MachineID{"a", "b", "c"}}})
	ended(whole, now.Add(wholeMemory), innocent, "d")
	if record, _ := whole.Record(innocent); record.Standing() != 1 {
		t.Errorf("%+v: one end stands", record)
	}
}

// TestWhatWasAnsweredLatelyIsNotBlamed, whoever says so.
func TestWhatWasAnsweredLatelyIsNotBlamed(t *testing.T) {
	table := NewTable(Config{})
	table.Whole(testStart, innocent)
	now := ended(table, testStart, innocent, "a", "b", "c")
	if table.Suspected(innocent) {
		t.Error("it is blamed by this node")
	}
	table.Learn(now, []Record{{Content: innocent, Ends: []cluster.MachineID{"d", "e", "f"}}})
	if convicted(table, now, innocent) {
		t.Error("it is blamed by another node")
	}
	if news := table.News(); len(news) != 1 || news[0].Standing() != 0 {
		t.Errorf("others are told %+v", news)
	}
}

// TestTestsAreFew: a node sends a convicted request once for each leave that it was given.
func TestTestsAreFew(t *testing.T) {
	table := NewTable(Config{})
	now := ended(table, testStart, harmful, "a", "b", "c")
	if table.TestDue(now, harmful) || table.TakeTest(harmful) {
		t.Error("it is tried at once, or without leave")
	}
	if !table.TestDue(now.Add(testAfter), harmful) {
		t.Error("it is never tried")
	}
	table.GrantTest(harmful)
	if !table.TakeTest(harmful) || table.TakeTest(harmful) {
		t.Error("one leave is for one test")
	}
}

// TestFloodPushesOutNoConviction: thousands of suspects leave what is convicted alone, and
// the table bounded.
func TestFloodPushesOutNoConviction(t *testing.T) {
	const most = 50
	table := NewTable(Config{MaxRecords: most})
	now := ended(table, testStart, harmful, "a", "b", "c")
	for i := range 20 * most {
		now = now.Add(time.Millisecond)
		table.Broke(now, Fingerprint{9, byte(i), byte(i >> 8)}, "d")
		table.MachineEnded(now, "d")
	}
	if suspected, found := table.Counts(); !convicted(table, now, harmful) || suspected+found > most {
		t.Errorf("convicted %v, %d records", convicted(table, now, harmful), suspected+found)
	}
}

// TestSwitchedOff: nothing is refused where no number of ends convicts.
func TestSwitchedOff(t *testing.T) {
	table := NewTable(Config{Ends: -1})
	if now := ended(table, testStart, harmful, "a", "b", "c", "d"); convicted(table, now, harmful) {
		t.Error("it is refused")
	}
}

// TestPardon takes the ends back, and only those.
func TestPardon(t *testing.T) {
	table := NewTable(Config{})
	now := ended(table, testStart, harmful, "a", "b", "c")
	if !table.Pardon(now, harmful) || convicted(table, now, harmful) || table.Pardon(now, innocent) {
		t.Error("it is not pardoned, or another one is")
	}
	if now = ended(table, now, harmful, "d", "e", "f"); !convicted(table, now, harmful) {
		t.Error("a pardon lasts for good")
	}
}

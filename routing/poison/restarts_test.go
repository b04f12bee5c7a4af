package poison

import (
	"testing"
	"time"
)

// endsAfterAnswer returns how many ends count against a request under which machine a ended and which answered a second
// later, once it is known after the given time that a has started again. Before that, meanwhile is called.
func endsAfterAnswer(after time.Duration, meanwhile func(*Table, time.Time)) int {
	table := NewTable(Config{})
	now := recordEnds(table, testStart, harmful, "a")
	now = now.Add(time.Second)
	table.Answered(now, "a", now)
	meanwhile(table, now)
	now = now.Add(after)
	table.MachineRestarted(now, "a")
	table.MachineEnded(now, "a")
	record, _ := table.Record(harmful)
	return record.AttributedEndCount()
}

// Guards against an end that is lost because the later start of a machine answered, and against an end that is brought
// back because a machine whose connection broke ends much later, or though its request is known to be sound.
func TestRestartRestoresEndThatAnswerCleared(t *testing.T) {
	nothing := func(*Table, time.Time) {}
	for name, c := range map[string]struct {
		after     time.Duration
		meanwhile func(*Table, time.Time)
		want      int
	}{
		"at once":                       {0, nothing, 1},
		"just in time":                  {restartDelay, nothing, 1},
		"later":                         {restartDelay + time.Millisecond, nothing, 0},
		"after the request was served":  {time.Second, func(table *Table, now time.Time) { table.Completed(now, harmful) }, 0},
		"after the request is pardoned": {time.Second, func(table *Table, now time.Time) { table.Pardon(now, harmful) }, 0},
		"after another answer":          {time.Second, func(table *Table, now time.Time) { table.Answered(now, "a", now) }, 1},
	} {
		if got := endsAfterAnswer(c.after, c.meanwhile); got != c.want {
			t.Errorf("%s: %d ends count, want %d", name, got, c.want)
		}
	}
}

// Guards against nodes that count one end twice, since one of them has cleared it and brought it back and the other has
// not.
func TestRestoredEndCountsOnceAtAllNodes(t *testing.T) {
	first, second := NewTable(Config{}), NewTable(Config{})
	now := recordEnds(first, testStart, harmful, "a")
	second.Learn(now, first.TakeUpdated())
	now = now.Add(time.Second)
	first.Answered(now, "a", now)
	first.MachineRestarted(now, "a")
	for range 2 {
		second.Learn(now, first.TakeUpdated())
		second.MachineRestarted(now, "a")
		first.Learn(now, second.TakeUpdated())
	}
	for name, table := range map[string]*Table{"first": first, "second": second} {
		if record, _ := table.Record(harmful); record.AttributedEndCount() != 1 {
			t.Errorf("the %s node counts %v", name, record.AttributedEnds())
		}
	}
}

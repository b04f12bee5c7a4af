package poison

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/internal/propertytest"
)

func TestMain(m *testing.M) { propertytest.Main(m) }

// drawRecord draws a record of one request with few machines.
func drawRecord(t *rapid.T, name string) Record {
	machine := rapid.SampledFrom([]cluster.MachineID{"a", "b", "c", "d", "e"})
	record := Record{
		Content: Fingerprint{1}, Ends: rapid.SliceOfN(machine, 0, 5).Draw(t, name+" ends"),
		Cleared: rapid.SliceOfN(machine, 0, 3).Draw(t, name+" cleared"),
	}
	return record.Valid()
}

// TestRecordsMergeInAnyOrder checks that records merge to the same result in any order, grouping
// and number of repetitions, as messages between nodes can be delayed, reordered and duplicated.
func TestRecordsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t, "a"), drawRecord(t, "b"), drawRecord(t, "c")
		merge := func(records ...Record) Record {
			joined := records[0]
			for i := range records[1:] {
				joined, _ = joined.Merged(&records[i+1])
			}
			return joined
		}
		want := merge(a, b, c)
		for _, order := range [][]Record{{c, b, a}, {b, a, c, a, b}, {a, merge(b, c)}, {merge(c, a), b, b}} {
			if got := merge(order...); !equalRecords(&got, &want) {
				t.Fatalf("joined %+v, want %+v", got, want)
			}
		}
		if _, more := want.Merged(&b); more {
			t.Fatal("a record that adds nothing is reported as a change")
		}
	})
}

func equalRecords(a, b *Record) bool {
	return a.Content == b.Content && len(a.Ends) == len(b.Ends) && len(a.Cleared) == len(b.Cleared) &&
		(len(a.Ends) == 0 || reflect.DeepEqual(a.Ends, b.Ends)) && (len(a.Cleared) == 0 || reflect.DeepEqual(a.Cleared, b.Cleared))
}

// TestTrimKeepsAttributedEnds checks that a record from another node that is too long is trimmed,
// and keeps the ends that are not cleared.
func TestTrimKeepsAttributedEnds(t *testing.T) {
	var long Record
	for i := range 10 * maxEnds {
		id := cluster.MachineID(rune('A' + i))
		long.Ends = append(long.Ends, id)
		if i >= 3 {
			long.Cleared = append(long.Cleared, id)
		}
	}
	valid := long.Valid()
	if len(valid.Ends) > maxEnds || len(valid.Cleared) > maxEnds || valid.AttributedEndCount() < 3 {
		t.Errorf("%d ends and %d cleared, %d attributed", len(valid.Ends), len(valid.Cleared), valid.AttributedEndCount())
	}
}

package poison

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/internal/propertytest"
)

func TestMain(m *testing.M) { propertytest.Main(m) }

// drawRecord draws a record of one request over few machines.
func drawRecord(t *rapid.T, name string) Record {
	machine := rapid.SampledFrom([]cluster.MachineID{"a", "b", "c", "d", "e"})
	record := Record{
		Content: Fingerprint{1}, Ends: rapid.SliceOfN(machine, 0, 5).Draw(t, name+" ends"),
		Cleared: rapid.SliceOfN(machine, 0, 3).Draw(t, name+" cleared"),
	}
	return record.Valid()
}

// TestRecordsJoin: news that come late, twice or in another order make no difference.
func TestRecordsJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t, "a"), drawRecord(t, "b"), drawRecord(t, "c")
		join := func(records ...Record) Record {
			joined := records[0]
			for i := range records[1:] {
				joined, _ = joined.Joined(&records[i+1])
			}
			return joined
		}
		want := join(a, b, c)
		for _, order := range [][]Record{{c, b, a}, {b, a, c, a, b}, {a, join(b, c)}, {join(c, a), b, b}} {
			if got := join(order...); !equalRecords(&got, &want) {
				t.Fatalf("joined %+v, want %+v", got, want)
			}
		}
		if _, more := want.Joined(&b); more {
			t.Fatal("what is known already is told as news")
		}
	})
}

func equalRecords(a, b *Record) bool {
	return a.Content == b.Content && len(a.Ends) == len(b.Ends) && len(a.Cleared) == len(b.Cleared) &&
		(len(a.Ends) == 0 || reflect.DeepEqual(a.Ends, b.Ends)) && (len(a.Cleared) == 0 || reflect.DeepEqual(a.Cleared, b.Cleared))
}

// TestRecordsAreBounded: of a record from elsewhere that is too long, the ends that stand
// are kept.
func TestRecordsAreBounded(t *testing.T) {
	var long Record
	for i := range 10 * maxEnds {
		id := cluster.MachineID(rune('A' + i))
		long.Ends = append(long.Ends, id)
		if i >= 3 {
			long.Cleared = append(long.Cleared, id)
		}
	}
	valid := long.Valid()
	if len(valid.Ends) > maxEnds || len(valid.Cleared) > maxEnds || valid.Standing() < 3 {
		t.Errorf("%d ends and %d cleared, %d stand", len(valid.Ends), len(valid.Cleared), valid.Standing())
	}
}

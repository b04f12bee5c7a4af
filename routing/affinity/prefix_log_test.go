package affinity

import (
	"reflect"
	"testing"

	"github.com/valveslip/valveslip/wire"
)

// TestFullPrefixLogKeepsNewestEntries checks that a full log drops the oldest entries, that a
// repeated entry becomes the newest, and that entries from several routers keep their order.
func TestFullPrefixLogKeepsNewestEntries(t *testing.T) {
	router := NewPrefixLog(3)
	for _, prefix := range []uint64{1, 2, 3, 2, 4} {
		router.Note("m1", "chat", prefix)
	}
	controller := NewPrefixLog(4)
	controller.NoteGroups([]wire.PrefixGroup{{Machine: "m2", Model: "chat", Hashes: []uint64{8, 7}}, {Machine: "m0", Model: "chat", Hashes: []uint64{9}}})
	controller.NoteGroups(router.Take())
	want := []wire.PrefixGroup{
		{Machine: "m0", Model: "chat", Hashes: []uint64{9}},
		{Machine: "m1", Model: "chat", Hashes: []uint64{4, 2, 3}},
	}
	if got := controller.Take(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if again := controller.Take(); again != nil {
		t.Errorf("returned twice: %v", again)
	}
}

// TestReportedPrefixIsFoundByLookup checks that a prefix returned by ReportedPrefix is found by
// longer prompts with the same beginning, since reporters and readers must use the same prefix
// lengths.
func TestReportedPrefixIsFoundByLookup(t *testing.T) {
	chain := []uint64{1, 2, 3, 4, 5, 6, 7}
	if _, ok := ReportedPrefix(nil); ok {
		t.Error("an empty prompt has a prefix")
	}
	x := New(Config{})
	prefix, _ := ReportedPrefix(chain)
	x.AddReported(now, "m1", "chat", prefix)
	expectBlocks(t, x, now, append(chain, 8, 9), 4)
	expectBlocks(t, x, now, chain[:3], 0)
}

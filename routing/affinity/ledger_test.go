package affinity

import (
	"reflect"
	"testing"

	"github.com/valveslip/valveslip/wire"
)

// TestLedgerKeepsTheNewest holds that a full ledger drops the oldest entries,
// that a repeated one is new again, and that what is summed up from several
// routers keeps its order.
func TestLedgerKeepsTheNewest(t *testing.T) {
	router := NewLedger(3)
	for _, prefix := range []uint64{1, 2, 3, 2, 4} {
		router.Note("m1", "chat", prefix)
	}
	controller := NewLedger(4)
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
		t.Errorf("taken twice: %v", again)
	}
}

func TestLongestIsLookedUp(t *testing.T) {
	chain := []uint64{1, 2, 3, 4, 5, 6, 7}
	if _, ok := Longest(nil); ok {
		t.Error("an empty prompt has a prefix")
	}
	x := New(Config{})
	prefix, _ := Longest(chain)
	x.Told(now, "m1", "chat", prefix)
	expectBlocks(t, x, now, append(chain, 8, 9), 4)
	expectBlocks(t, x, now, chain[:3], 0)
}

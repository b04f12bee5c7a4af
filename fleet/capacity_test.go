package fleet

import (
	"testing"
	"time"
)

// TestSuccessorKnowsStoreCapacity: what a holder learned of the weight store stands in
// the record of the last holder, and the next one begins with it.
func TestSuccessorKnowsStoreCapacity(t *testing.T) {
	core := New(Config{Self: NodeEntry{ID: "n1", Machine: "m1"}}, 1)
	if got := core.StoreCapacity(); got != initialStoreLoads {
		t.Fatalf("%d loads at once before anything is known, want %d", got, initialStoreLoads)
	}
	entry, err := DecodeNodeEntry(NodeEntry{ID: "n2", Machine: "m2", Bears: 7}.Encode())
	if err != nil {
		t.Fatal(err)
	}
	core.Step(time.Unix(1000, 0), LastHolderRead{Node: entry, Revision: 9})
	if got := core.StoreCapacity(); got != 7 {
		t.Fatalf("%d loads at once after the record of a holder that learned 7", got)
	}
	core.Step(time.Unix(1001, 0), LastHolderRead{Node: NodeEntry{ID: "n3", Machine: "m3"}, Revision: 10})
	if got := core.StoreCapacity(); got != 7 {
		t.Fatalf("%d loads at once after the record of a holder that learned nothing", got)
	}
}

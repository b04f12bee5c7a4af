package fleet

import (
	"testing"
	"time"
)

// Guards against a new lease holder that starts again from the initial limit of loads. The
// capacity learned by the previous holder is in the last holder's record.
func TestNextHolderKeepsLearnedStoreCapacity(t *testing.T) {
	core := New(Config{Self: NodeEntry{ID: "n1", Machine: "m1"}}, 1)
	if got := core.StoreCapacity(); got != initialStoreLoads {
		t.Fatalf("%d concurrent loads before any was observed, want %d", got, initialStoreLoads)
	}
	entry, err := DecodeNodeEntry(NodeEntry{ID: "n2", Machine: "m2", StoreLoads: 7}.Encode())
	if err != nil {
		t.Fatal(err)
	}
	core.Step(time.Unix(1000, 0), LastHolderRead{Node: entry, Revision: 9})
	if got := core.StoreCapacity(); got != 7 {
		t.Fatalf("%d concurrent loads after reading a last holder's record of 7", got)
	}
	core.Step(time.Unix(1001, 0), LastHolderRead{Node: NodeEntry{ID: "n3", Machine: "m3"}, Revision: 10})
	if got := core.StoreCapacity(); got != 7 {
		t.Fatalf("%d concurrent loads after a record without a learned capacity, want 7", got)
	}
}

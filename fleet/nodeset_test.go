package fleet

import "testing"

// Guards against counting a restarted node twice while its previous record has not expired,
// whichever record is read first. Nodes without a machine are distinguished by ID.
func TestRestartedNodeReplacesItsRecord(t *testing.T) {
	before := NodeEntry{ID: "a-1", Machine: "a", Revision: 5}
	after := NodeEntry{ID: "a-2", Machine: "a", Revision: 9}
	other := NodeEntry{ID: "b-1", Machine: "b", Revision: 7}
	for _, order := range [][]NodeEntry{{before, other, after}, {after, before, other}} {
		nodes := newNodeSet()
		for _, entry := range order {
			nodes.put(entry)
		}
		if _, kept := nodes.live["a-1"]; kept || len(nodes.live) != 2 {
			t.Errorf("after %v: %v", order, nodes)
		}
	}
	nameless := newNodeSet()
	nameless.put(NodeEntry{ID: "x"})
	nameless.put(NodeEntry{ID: "y"})
	if len(nameless.live) != 2 {
		t.Errorf("nodes without a machine replaced each other: %v", nameless)
	}
}

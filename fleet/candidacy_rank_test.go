package fleet

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Guards against a small machine that takes the vacant lease before a large one, since planning
// takes processor time. Nodes of equal capacity rank by ID.
func TestCandidatesRankByCapacity(t *testing.T) {
	entries := []NodeEntry{
		{ID: "a", Capacity: 0.2}, {ID: "b", Capacity: 0.8}, {ID: "c", Capacity: 0.2}, {ID: "d", Capacity: 0.8},
	}
	want := map[cluster.NodeID]int{"b": 0, "d": 1, "a": 2, "c": 3}
	for _, self := range entries {
		core := New(Config{Self: self}, 1)
		core.Step(time.Unix(1000, 0), NodesRead{Nodes: entries, Full: true})
		if rank := core.controller.rank(); rank != want[self.ID] {
			t.Errorf("node %s has rank %d, want %d", self.ID, rank, want[self.ID])
		}
	}
}

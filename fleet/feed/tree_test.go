package feed

import (
	"fmt"
	"testing"

	"github.com/valveslip/valveslip/cluster"
)

// zonesOf makes nodes of zones of the given sizes; the first of each has the greatest
// capacity.
func zonesOf(sizes ...int) []Peer {
	var peers []Peer
	for zone, size := range sizes {
		for i := range size {
			id := cluster.NodeID(fmt.Sprintf("z%d-%02d", zone, i))
			peers = append(peers, Peer{ID: id, Zone: cluster.ZoneID(fmt.Sprint(zone)), Capacity: float64(size - i)})
		}
	}
	return peers
}

// TestEveryNodeHasOneSource: of any fleet one node is the root, every other relay has it
// above, and every leaf is in the group of exactly one relay.
func TestEveryNodeHasOneSource(t *testing.T) {
	for _, sizes := range [][]int{{40, 5, 70}, {62, 61, 47, 49, 61}, {4, 4, 4}} {
		peers := zonesOf(sizes...)
		roots, sources := 0, map[cluster.NodeID]int{}
		for _, self := range peers {
			cfg := Config{Self: self, Within: minDelayWithRoot}.withDefaults()
			node := newTree(&cfg, peers)
			if node.role == root {
				roots++
			}
			if node.forwards() {
				for _, p := range node.receivers(false) {
					sources[p.ID]++
				}
			}
		}
		if roots != 1 {
			t.Errorf("%v: %d roots", sizes, roots)
		}
		for _, p := range peers {
			cfg := Config{Self: p, Within: minDelayWithRoot}.withDefaults()
			if node := newTree(&cfg, peers); node.hasSource() && sources[p.ID] != 1 {
				t.Errorf("%v: %s has %d sources", sizes, p.ID, sources[p.ID])
			}
		}
	}
}

// TestNoRootUnderAShortBound: where changes must be known sooner than through a root,
// every relay asks the store itself, and nodes of a small zone do.
func TestNoRootUnderAShortBound(t *testing.T) {
	peers := zonesOf(8, 8, 8, 3)
	for _, self := range peers {
		cfg := Config{Self: self, Within: minDelayWithRoot - 1}.withDefaults()
		node := newTree(&cfg, peers)
		if node.hasRoot || node.role == root || node.role == relay && node.hasSource() {
			t.Errorf("%s learns from a root", self.ID)
		}
		if self.Zone == "3" && node.role != standalone {
			t.Errorf("%s of a zone of three has the role %d", self.ID, node.role)
		}
	}
}

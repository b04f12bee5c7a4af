package feed

import (
	"fmt"
	"testing"

	"github.com/valveslip/valveslip/cluster"
)

// peersInZones returns nodes in zones of the given sizes; the first node of each zone has the
// greatest capacity.
func peersInZones(sizes ...int) []Peer {
	var peers []Peer
	for zone, size := range sizes {
		for i := range size {
			id := cluster.NodeID(fmt.Sprintf("z%d-%02d", zone, i))
			peers = append(peers, Peer{ID: id, Zone: cluster.ZoneID(fmt.Sprint(zone)), Capacity: float64(size - i)})
		}
	}
	return peers
}

// TestEveryNodeHasOneSource guards against nodes that get no updates or get them twice: a fleet has
// one root, every other relay learns from it, and every leaf learns from exactly one relay.
func TestEveryNodeHasOneSource(t *testing.T) {
	for _, sizes := range [][]int{{40, 5, 70}, {62, 61, 47, 49, 61}, {4, 4, 4}} {
		peers := peersInZones(sizes...)
		roots, sources := 0, map[cluster.NodeID]int{}
		for _, self := range peers {
			cfg := Config{Self: self, MaxChangeDelay: minDelayWithRoot}.withDefaults()
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
			cfg := Config{Self: p, MaxChangeDelay: minDelayWithRoot}.withDefaults()
			if node := newTree(&cfg, peers); node.hasSource() && sources[p.ID] != 1 {
				t.Errorf("%v: %s has %d sources", sizes, p.ID, sources[p.ID])
			}
		}
	}
}

// TestShortBoundPreventsRoot guards against changes that arrive too late: where they must be known
// sooner than a root can forward them, every relay polls the store itself, as do nodes of a small
// zone.
func TestShortBoundPreventsRoot(t *testing.T) {
	peers := peersInZones(8, 8, 8, 3)
	for _, self := range peers {
		cfg := Config{Self: self, MaxChangeDelay: minDelayWithRoot - 1}.withDefaults()
		node := newTree(&cfg, peers)
		if node.hasRoot || node.role == root || node.role == relay && node.hasSource() {
			t.Errorf("%s learns from a root", self.ID)
		}
		if self.Zone == "3" && node.role != standalone {
			t.Errorf("%s of a zone of three has the role %d", self.ID, node.role)
		}
	}
}

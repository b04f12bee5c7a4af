package feed

import (
	"testing"
	"time"
)

// TestLeavesOfDeadRelayAskAnotherRelay guards against leaves that all poll the store when their
// relay dies: the store's answers hold the heartbeats of all workers since. Another relay of their
// zone keeps them up to date.
func TestLeavesOfDeadRelayAskAnotherRelay(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulationInZones(seed, 24, 2)
		s.config.MaxGroupNodes, s.smallValuesOnly = 4, true
		s.setChangeBound(longestChangeBound)
		s.runFor(5 * time.Second)
		var dead *simulatedPeer
		for _, p := range s.peers {
			if p.core.tree.role == relay {
				dead = p
			}
		}
		if dead == nil {
			t.Fatalf("seed %d: no node is a relay", seed)
		}
		var leaves []*simulatedPeer
		before := 0
		for _, p := range s.peers {
			if p.core.tree.role == leaf && p.core.tree.group[0].ID == dead.ID {
				leaves = append(leaves, p)
				before += p.calls
			}
		}
		dead.dead = true
		s.runFor(8 * time.Second)
		after := 0
		for _, p := range leaves {
			after += p.calls
		}
		if len(leaves) == 0 || after > before {
			t.Errorf("seed %d: %d leaves made %d calls to the store", seed, len(leaves), after-before)
		}
		for _, violation := range s.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}

// TestNewNodesAreKeptUpToDateBySnapshotSender guards against a fleet that polls the store right
// after its start: a node that got a snapshot is kept up to date by its sender until the tree of
// the fleet is known.
func TestNewNodesAreKeptUpToDateBySnapshotSender(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	f := newStartingFleet(40)
	f.runFor(3 * time.Second)
	for _, n := range f.nodes {
		if n.core.startup.phase != phaseReadFirstPage || n.core.Revision() == 0 {
			t.Fatalf("%s has not completed its startup", n.ID)
		}
		if age := f.now.Sub(n.core.KnownAt()); age > 2*time.Second {
			t.Errorf("%s: its data is %s old", n.ID, age)
		}
	}
	if reads := f.fullReads * int(f.pairWeight*simulatedPairs/storePagePairs); f.calls-reads > 40*4+startingZones*30 {
		t.Errorf("%d calls besides %d calls of full reads, in %s", f.calls-reads, reads, f.now.Sub(now))
	}
}

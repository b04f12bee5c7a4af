package feed

import (
	"testing"
	"time"
)

// TestLeavesAskAnotherRelay: when a relay dies, its leaves stay up to date by another relay of
// their zone; the store's answers would hold the heartbeats of all workers since.
func TestLeavesAskAnotherRelay(t *testing.T) {
	for seed := range uint64(20) {
		s := newZones(seed, 24, 2)
		s.config.MaxGroupNodes, s.small = 4, true
		s.mustKnowWithin(longestBound)
		s.runFor(5 * time.Second)
		var dead *simulatedPeer
		for _, p := range s.peers {
			if p.core.tree.role == relay {
				dead = p
			}
		}
		if dead == nil {
			t.Fatalf("seed %d: nobody relays", seed)
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
			t.Errorf("seed %d: %d leaves asked the store %d times", seed, len(leaves), after-before)
		}
		for _, problem := range s.problems {
			t.Errorf("seed %d: %s", seed, problem)
		}
	}
}

// TestNewcomersAreKeptUpToDate: a node that learned everything of another one asks the store
// for nothing while the tree of the fleet is not known, and what it knows stays new.
func TestNewcomersAreKeptUpToDate(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	f := newStartingFleet(40)
	f.runFor(3 * time.Second)
	for _, n := range f.nodes {
		if n.core.startup.phase != phaseReadFirstPage || n.core.Revision() == 0 {
			t.Fatalf("%s has not started", n.ID)
		}
		if age := f.now.Sub(n.core.KnownAt()); age > 2*time.Second {
			t.Errorf("%s: what it knows is %s old", n.ID, age)
		}
	}
	if reads := f.wholes * int(f.weight*startPairs/pagePairs); f.calls-reads > 40*4+startZones*30 {
		t.Errorf("%d calls beside %d of those that read everything, in %s", f.calls-reads, reads, f.now.Sub(now))
	}
}

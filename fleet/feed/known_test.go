package feed

import (
	"fmt"
	"testing"
	"time"
)

// TestChangesAreKnownInTime runs zones of several sizes under lost and late updates,
// cuts, deaths, outages and forgotten history: a node that reaches the store knows
// every change in time and never goes back.
func TestChangesAreKnownInTime(t *testing.T) {
	for seed := range uint64(80) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s := newSimulation(seed, 1+int(seed)%12)
			s.loss = float64(seed%5) / 10
			s.after(2*time.Second, s.trouble)
			s.runFor(90 * time.Second)
			for _, problem := range s.problems {
				t.Error(problem)
			}
		})
	}
}

// TestChangesAreKnownInTimeAcrossZones is the same where the relays of several zones
// learn from one root.
func TestChangesAreKnownInTimeAcrossZones(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s := newZones(seed, 12+int(seed)%20, 3)
			s.loss = float64(seed%4) / 10
			if seed%2 == 1 {
				s.mustKnowWithin(longestBound)
			}
			s.after(2*time.Second, s.trouble)
			s.runFor(90 * time.Second)
			for _, problem := range s.problems {
				t.Error(problem)
			}
		})
	}
}

// TestRelayClosesGaps: a node that the store turns away for good, and that missed
// changes, is brought up to date by its relay.
func TestRelayClosesGaps(t *testing.T) {
	s := newSimulation(3, 5)
	s.runFor(5 * time.Second)
	node := s.peers[0]
	if node.core.tree.forwards() {
		t.Fatal("the node relays")
	}
	node.troubles++
	node.cuts++
	node.mute = true
	s.runFor(3 * time.Second)
	missed := node.core.Revision()
	node.mute = false
	s.runFor(3 * time.Second)
	if behind := int64(len(s.store.changes)) - node.core.Revision(); missed == node.core.Revision() || behind > 100 {
		t.Errorf("the node stands at %d, the store at %d, the gap began at %d", node.core.Revision(), len(s.store.changes), missed)
	}
}

// TestBrokenRelayIsNoticed: relays that hide a gap leave nodes behind, which the
// check must see.
func TestBrokenRelayIsNoticed(t *testing.T) {
	for seed := range uint64(40) {
		s := newSimulation(seed, 8)
		s.loss, s.skipGap = 0.4, true
		s.runFor(60 * time.Second)
		if len(s.problems) > 0 {
			return
		}
	}
	t.Error("updates with hidden gaps were never noticed")
}

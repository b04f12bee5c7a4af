package feed

import (
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/keyvalue"
)

// TestChangesAreKnownInTime guards against lost and late changes: in zones of several sizes, under
// lost and late updates, cuts, deaths, outages and compactions, a node that reaches the store knows
// every change in time, and its revision never decreases.
func TestChangesAreKnownInTime(t *testing.T) {
	for seed := range uint64(80) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s := newSimulation(seed, 1+int(seed)%12)
			s.lossRate = float64(seed%5) / 10
			s.after(2*time.Second, s.injectFaults)
			s.runFor(90 * time.Second)
			for _, violation := range s.violations {
				t.Error(violation)
			}
		})
	}
}

// TestChangesAreKnownInTimeAcrossZones checks the same where the relays of several zones learn from
// one root.
func TestChangesAreKnownInTimeAcrossZones(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s := newSimulationInZones(seed, 12+int(seed)%20, 3)
			s.lossRate = float64(seed%4) / 10
			if seed%2 == 1 {
				s.setChangeBound(longestChangeBound)
			}
			s.after(2*time.Second, s.injectFaults)
			s.runFor(90 * time.Second)
			for _, violation := range s.violations {
				t.Error(violation)
			}
		})
	}
}

// TestRelayClosesGapOfCutOffNode guards against a node that stays behind after it missed changes:
// the store refuses it for good, and its relay must bring it up to date.
func TestRelayClosesGapOfCutOffNode(t *testing.T) {
	s := newSimulation(3, 5)
	s.runFor(5 * time.Second)
	node := s.peers[0]
	if node.core.tree.forwards() {
		t.Fatal("the node is a relay")
	}
	node.storeFaults++
	node.storeCuts++
	node.isolated = true
	s.runFor(3 * time.Second)
	gapRevision := node.core.Revision()
	node.isolated = false
	s.runFor(3 * time.Second)
	if behind := keyvalue.Revision(len(s.store.changes)) - node.core.Revision(); gapRevision == node.core.Revision() || behind > 100 {
		t.Errorf("the node is at revision %d, the store at %d, the gap began at %d", node.core.Revision(), len(s.store.changes), gapRevision)
	}
}

// TestCheckDetectsHiddenGaps checks the simulation itself: relays that hide a gap leave nodes
// behind, and the check must detect that.
func TestCheckDetectsHiddenGaps(t *testing.T) {
	for seed := range uint64(40) {
		s := newSimulation(seed, 8)
		s.lossRate, s.hideGaps = 0.4, true
		s.runFor(60 * time.Second)
		if len(s.violations) > 0 {
			return
		}
	}
	t.Error("hidden gaps were not detected with any seed")
}

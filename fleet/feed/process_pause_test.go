package feed

import (
	"testing"
	"time"
)

// These tests guard against a node that serves from outdated data while its process pauses again
// and again. At one overloaded node of 69, requests ran at a service that a route had left, an
// added route was refused, and a worker that had announced that it leaves got a request. A step
// that came 0.7 s late counted as a pause, after which the node forgot its known revision. It took
// no updates from its relay until a full read had ended, and started that read anew at the next
// pause. It served from what it had read before for up to 12 s.

// findLeaf returns a node that learns from a relay.
func (s *simulation) findLeaf() *simulatedPeer {
	for _, p := range s.peers {
		if p.core.tree.role == leaf {
			return p
		}
	}
	return nil
}

// repeat runs a function at the interval, beginning now.
func (s *simulation) repeat(interval time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		s.after(interval, again)
	}
	s.after(0, again)
}

// TestRepeatedPausesDoNotStopUpdates: a node that pauses repeatedly, and whose full reads take
// longer than the time between two pauses, goes on applying its relay's updates.
func TestRepeatedPausesDoNotStopUpdates(t *testing.T) {
	for _, interval := range []time.Duration{400 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond} {
		s := newSimulationInZones(1, 69, 3)
		s.smallValuesOnly = true
		s.runFor(6 * time.Second)
		p := s.findLeaf()
		p.extraReadTime = 1200 * time.Millisecond
		s.repeat(interval, func() { s.step(p, Invalidated{}) })
		s.runFor(20 * time.Second)
		for _, violation := range s.violations {
			t.Errorf("a pause every %v: %s", interval, violation)
		}
	}
}

// TestFailingFullReadsDoNotStopUpdates: a node whose full reads fail after one pause goes on
// learning from its relay, or from polls.
func TestFailingFullReadsDoNotStopUpdates(t *testing.T) {
	for _, nodes := range []int{1, 3, 69} {
		s := newSimulationInZones(2, nodes, 3)
		s.smallValuesOnly = true
		s.runFor(6 * time.Second)
		p := s.peers[0]
		p.fullReadsFail = true
		s.step(p, Invalidated{})
		s.runFor(20 * time.Second)
		for _, violation := range s.violations {
			t.Errorf("%d nodes: %s", nodes, violation)
		}
	}
}

// TestCompactedHistoryDoesNotStopUpdates: a leaf whose poll finds the history compacted, and whose
// full reads fail, goes on applying updates.
func TestCompactedHistoryDoesNotStopUpdates(t *testing.T) {
	s := newSimulationInZones(3, 69, 3)
	s.smallValuesOnly = true
	s.runFor(6 * time.Second)
	p := s.findLeaf()
	p.fullReadsFail = true
	s.step(p, PollDone{Began: s.now, Compacted: true})
	s.runFor(20 * time.Second)
	for _, violation := range s.violations {
		t.Error(violation)
	}
}

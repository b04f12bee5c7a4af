package feed

import (
	"testing"
	"time"
)

// Requests ran at a service that a route had left, an added route was refused, and a worker
// that had said that it leaves got a request: all at one node of 69, whose processor had more
// to do than it carries, while its relay went on telling it what changed. A step that came
// 0.7 s late counted as a pause, after which the node forgot up to where it knew. It then took
// no update until it had read everything itself, began that anew at the next pause, and served
// by what it had meanwhile: for up to 12 s in runs of real processes. Logs of those show the
// pauses, calls of 'store read' with known=0 one after the other, and updates from the relay
// throughout.

// leafOf returns a node that learns from a relay.
func (s *simulation) leafOf() *simulatedPeer {
	for _, p := range s.peers {
		if p.core.tree.role == leaf {
			return p
		}
	}
	return nil
}

// every repeats something.
func (s *simulation) every(pause time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		s.after(pause, again)
	}
	s.after(0, again)
}

// TestStandstillsLeaveUpdates: a node that stands still for a moment again and again, and that
// needs longer than until the next time to read everything, goes on learning from its relay.
func TestStandstillsLeaveUpdates(t *testing.T) {
	for _, pause := range []time.Duration{400 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond} {
		s := newZones(1, 69, 3)
		s.small = true
		s.runFor(6 * time.Second)
		p := s.leafOf()
		p.readTakes = 1200 * time.Millisecond
		s.every(pause, func() { s.step(p, Invalidated{}) })
		s.runFor(20 * time.Second)
		for _, problem := range s.problems {
			t.Errorf("a standstill each %v: %s", pause, problem)
		}
	}
}

// TestUnreadableStoreLeavesUpdates: after one standstill, and after a forgotten history, a node
// that can't read everything goes on learning from its relay, or by calls for changes.
func TestUnreadableStoreLeavesUpdates(t *testing.T) {
	for _, nodes := range []int{1, 3, 69} {
		s := newZones(2, nodes, 3)
		s.small = true
		s.runFor(6 * time.Second)
		p := s.peers[0]
		p.unreadable = true
		s.step(p, Invalidated{})
		s.runFor(20 * time.Second)
		for _, problem := range s.problems {
			t.Errorf("%d nodes: %s", nodes, problem)
		}
	}
}

// TestForgottenHistoryLeavesUpdates: a relay whose calls for changes find the history gone, and
// that can't read everything, takes what other relays tell it.
func TestForgottenHistoryLeavesUpdates(t *testing.T) {
	s := newZones(3, 69, 3)
	s.small = true
	s.runFor(6 * time.Second)
	p := s.leafOf()
	p.unreadable = true
	s.step(p, PollDone{Began: s.now, Compacted: true})
	s.runFor(20 * time.Second)
	for _, problem := range s.problems {
		t.Error(problem)
	}
}

package feed

import (
	"testing"
	"time"
)

// totalCalls counts the calls of all nodes so far.
func (s *simulation) totalCalls() int {
	calls := 0
	for _, p := range s.peers {
		calls += p.calls
	}
	return calls
}

// fleetSize is the number of nodes of the largest deployment known.
const fleetSize = 295

// TestOneRootAsksForAllZones: the nodes of a large fleet make as many calls on a calm
// day as one relay.
func TestOneRootAsksForAllZones(t *testing.T) {
	s := newZones(1, fleetSize, 5)
	s.small = true
	s.runFor(5 * time.Second)
	before := s.totalCalls()
	s.runFor(30 * time.Second)
	calls := s.totalCalls() - before
	if most := int(30*time.Second/defaultRelayInterval) + 5; calls > most {
		t.Errorf("%d calls in 30 s, at most %d are those of a root", calls, most)
	}
}

// TestRootIsReplacedByOne: when the root dies, the calls until its record is gone are
// those of one or two nodes that step in, not of all.
func TestRootIsReplacedByOne(t *testing.T) {
	s := newZones(2, fleetSize, 5)
	s.small = true
	s.runFor(5 * time.Second)
	for _, p := range s.peers {
		p.dead = p.dead || p.core.tree.role == root
	}
	before := s.totalCalls()
	s.runFor(6 * time.Second)
	if calls := s.totalCalls() - before; calls > 60 {
		t.Errorf("%d calls in 6 s without the root", calls)
	}
	for _, problem := range s.problems {
		t.Error(problem)
	}
}

// TestOutageOfTheStoreIsCheap: while the store is away the calls of a large fleet stay
// below a bound, and all nodes are up to date soon after its return.
func TestOutageOfTheStoreIsCheap(t *testing.T) {
	s := newZones(3, fleetSize, 5)
	s.small = true
	s.runFor(5 * time.Second)
	before := s.totalCalls()
	s.outages++
	s.runFor(4 * time.Second)
	s.outages--
	s.store.backAt = s.now
	s.runFor(3 * time.Second)
	if calls := s.totalCalls() - before; calls > 3*fleetSize {
		t.Errorf("%d calls around an outage of 4 s", calls)
	}
	for _, p := range s.peers {
		if behind := int64(len(s.store.changes)) - p.core.Revision(); behind > 100 {
			t.Errorf("%s is %d changes behind 3 s after the outage", p.ID, behind)
		}
	}
}

// TestForgottenHistoryCostsOneRead: a root that finds the history gone reads everything
// and passes on what changed, so that no other node reads.
func TestForgottenHistoryCostsOneRead(t *testing.T) {
	s := newZones(4, fleetSize, 5)
	s.small = true
	s.runFor(5 * time.Second)
	before := s.totalCalls()
	s.store.forgotten = int64(len(s.store.changes)) + 5
	s.runFor(3 * time.Second)
	if calls := s.totalCalls() - before; calls > 40 {
		t.Errorf("%d calls after the history was forgotten", calls)
	}
	for _, problem := range s.problems {
		t.Error(problem)
	}
}

// TestCallsDoNotGrowWithNodes: on a calm day two zones of 4 and of 30 nodes make
// about as many calls for changes.
func TestCallsDoNotGrowWithNodes(t *testing.T) {
	calls := func(peers int) int {
		s := newSimulation(1, peers)
		s.runFor(3 * time.Second)
		before := 0
		for _, p := range s.peers {
			before -= p.calls
		}
		s.runFor(60 * time.Second)
		for _, p := range s.peers {
			before += p.calls
		}
		return before
	}
	few, many := calls(4), calls(30)
	if many > 3*few {
		t.Errorf("30 nodes made %d calls, 4 nodes %d", many, few)
	}
}

// TestStartOfAllNodesIsOneReadingEach: when 300 nodes start together, with records of their
// earlier processes in the store, each reads everything once, a few go on to ask for all, and
// none has the store confirm the key whose value it has just read. While each did, the start
// cost 600 calls.
func TestStartOfAllNodesIsOneReadingEach(t *testing.T) {
	const nodes = 300
	s := proving(6, nodes, 4)
	for _, p := range s.peers {
		p.learnsProven = true
		p.core.Step(s.clock(p), KeyProven{})
	}
	s.runFor(2 * time.Second)
	calls, verifies := s.totalCalls(), s.verifies()
	t.Logf("%d calls and %d confirmations within 2 s", calls, verifies)
	if calls > nodes+20 || verifies > 20 {
		t.Errorf("%d calls and %d confirmations of %d nodes", calls, verifies, nodes)
	}
	for _, p := range s.peers {
		if p.core.proof.provenAt.IsZero() {
			t.Errorf("%s has no proof", p.ID)
		}
	}
}

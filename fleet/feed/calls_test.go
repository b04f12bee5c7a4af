package feed

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/keyvalue"
)

// totalCalls counts the reads and polls of all nodes so far.
func (s *simulation) totalCalls() int {
	calls := 0
	for _, p := range s.peers {
		calls += p.calls
	}
	return calls
}

// largestFleet is the number of nodes of the largest known deployment.
const largestFleet = 295

// TestOnlyRootPollsInQuietFleet guards against calls that grow with the number of nodes: in a large
// fleet without faults, all nodes together poll as often as one relay.
func TestOnlyRootPollsInQuietFleet(t *testing.T) {
	s := newSimulationInZones(1, largestFleet, 5)
	s.smallValuesOnly = true
	s.runFor(5 * time.Second)
	before := s.totalCalls()
	s.runFor(30 * time.Second)
	calls := s.totalCalls() - before
	if limit := int(30*time.Second/defaultRelayPollInterval) + 5; calls > limit {
		t.Errorf("%d calls in 30 s, want at most the %d of a root", calls, limit)
	}
}

// TestDeadRootIsReplacedByFewNodes guards against a burst of calls when the root dies: until its
// record is gone, one or two nodes poll in its place, not all.
func TestDeadRootIsReplacedByFewNodes(t *testing.T) {
	s := newSimulationInZones(2, largestFleet, 5)
	s.smallValuesOnly = true
	s.runFor(5 * time.Second)
	for _, p := range s.peers {
		p.dead = p.dead || p.core.tree.role == root
	}
	before := s.totalCalls()
	s.runFor(6 * time.Second)
	if calls := s.totalCalls() - before; calls > 60 {
		t.Errorf("%d calls in 6 s without the root", calls)
	}
	for _, violation := range s.violations {
		t.Error(violation)
	}
}

// TestStoreOutageCausesFewCalls guards against a large fleet that overloads a store which fails or
// returns: calls during an outage stay below a bound, and all nodes are up to date soon after it.
func TestStoreOutageCausesFewCalls(t *testing.T) {
	s := newSimulationInZones(3, largestFleet, 5)
	s.smallValuesOnly = true
	s.runFor(5 * time.Second)
	before := s.totalCalls()
	s.outages++
	s.runFor(4 * time.Second)
	s.outages--
	s.store.outageEndedAt = s.now
	s.runFor(3 * time.Second)
	if calls := s.totalCalls() - before; calls > 3*largestFleet {
		t.Errorf("%d calls during an outage of 4 s and the 3 s after it", calls)
	}
	for _, p := range s.peers {
		if behind := keyvalue.Revision(len(s.store.changes)) - p.core.Revision(); behind > 100 {
			t.Errorf("%s is %d changes behind 3 s after the outage", p.ID, behind)
		}
	}
}

// TestCompactedHistoryCausesOneFullRead guards against a fleet that reads the whole store after a
// compaction: the root reads it and forwards what changed, so that no other node does.
func TestCompactedHistoryCausesOneFullRead(t *testing.T) {
	s := newSimulationInZones(4, largestFleet, 5)
	s.smallValuesOnly = true
	s.runFor(5 * time.Second)
	before := s.totalCalls()
	s.store.compactedRevision = keyvalue.Revision(len(s.store.changes)) + 5
	s.runFor(3 * time.Second)
	if calls := s.totalCalls() - before; calls > 40 {
		t.Errorf("%d calls after the compaction", calls)
	}
	for _, violation := range s.violations {
		t.Error(violation)
	}
}

// TestCallsDoNotGrowWithNodes guards against calls that grow with the size of a zone: without
// faults, a zone of 4 nodes and one of 30 make about as many calls.
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
	ofSmallZone, ofLargeZone := calls(4), calls(30)
	if ofLargeZone > 3*ofSmallZone {
		t.Errorf("30 nodes made %d calls, 4 nodes %d", ofLargeZone, ofSmallZone)
	}
}

// TestSimultaneousStartCausesOneReadPerNode guards against calls for a proof that the first read
// already gave. When 300 nodes start together, with records of their earlier processes in the
// store, each reads the store once, few go on polling, and none verifies the key whose value it has
// just read. With a verification by each node, the start cost 600 calls.
func TestSimultaneousStartCausesOneReadPerNode(t *testing.T) {
	const nodes = 300
	s := newProvingSimulation(6, nodes, 4)
	for _, p := range s.peers {
		p.learnsKeyFromRead = true
		p.core.Step(s.clock(p), KeyProven{})
	}
	s.runFor(2 * time.Second)
	calls, verifies := s.totalCalls(), s.totalVerifies()
	t.Logf("%d calls and %d verifications within 2 s", calls, verifies)
	if calls > nodes+20 || verifies > 20 {
		t.Errorf("%d calls and %d verifications of %d nodes", calls, verifies, nodes)
	}
	for _, p := range s.peers {
		if p.core.proof.provenAt.IsZero() {
			t.Errorf("%s has no proof", p.ID)
		}
	}
}

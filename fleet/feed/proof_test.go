package feed

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/wire"
)

// proofSeeds is the number of seeds with which the proof simulation runs.
var proofSeeds = flag.Int("plays", 60, "number of seeds of the proof simulation")

const (
	provenKey = "news-0"
	// maxUsableProofAge is the age up to which a proof may be used: nine tenths of the least bound
	// on the use of revoked API keys.
	maxUsableProofAge = 4500 * time.Millisecond
)

// verify returns the store's answer to a Verify.
func (s *simulation) verify(p *simulatedPeer, e Verify, began time.Time) Event {
	era := s.eraFor(p)
	if e.Revision.Era() != era {
		return VerifyDone{Began: began, Err: errors.New("another era")}
	}
	newest := wire.StoreChange{}
	for _, c := range s.store.changes {
		if c.Key == e.Key {
			newest = c
		}
	}
	newest.Revision = inEra(era, newest.Revision)
	done := VerifyDone{Began: began, Revision: e.Revision}
	if newest.Revision != e.Revision {
		done.Found = &newest
	}
	return done
}

// applyDefect changes a message by the defect that the simulation is to contain, if any.
func (s *simulation) applyDefect(to *simulatedPeer, event Event) Event {
	received, isUpdate := event.(UpdateReceived)
	if u := &received.Update; s.takesAnyEra && isUpdate && u.After.Era() == to.core.Revision().Era() && u.Revision.Era() != u.After.Era() {
		u.After = to.core.Revision()
		return received
	}
	if !s.trustStatedAges || !isUpdate || received.Update.Proven == 0 {
		return event
	}
	for _, from := range s.peers {
		if from.ID == received.Update.From {
			received.Update.Echo = s.clock(to).UnixNano()
			received.Update.Lead = received.Update.Age
		}
	}
	return received
}

// newProvingSimulation returns nodes that prove a key and whose clocks differ by hours.
func newProvingSimulation(seed uint64, peers, zones int) *simulation {
	s := newSimulationInZones(seed, 0, zones)
	s.keyToProve = provenKey
	s.write(provenKey)
	for i := range peers {
		s.startNode(i)
	}
	s.announcePeers()
	s.after(0, s.checkProofs)
	return s
}

// checkProofs checks that each node knows all changes of the key that were written before the time
// of its proof.
func (s *simulation) checkProofs() {
	for _, p := range s.peers {
		at := p.core.proof.provenAt
		if p.dead || at.IsZero() {
			continue
		}
		provenAt := at.Add(-p.clockSkew)
		for i := range s.store.changes {
			c := &s.store.changes[i]
			if c.Key == provenKey && !s.store.writtenAt[i].After(provenAt) && p.knownRevisions[provenKey] < c.Revision {
				s.violations = append(s.violations, fmt.Sprintf("%s claims to have known the newest value %v ago, but lacks a change written %v ago",
					p.ID, s.now.Sub(provenAt), s.now.Sub(s.store.writtenAt[i])))
			}
		}
	}
	s.after(checkInterval, s.checkProofs)
}

// oldestProofAge returns the age of the oldest proof among the nodes without a fault.
func (s *simulation) oldestProofAge() time.Duration {
	var oldest time.Duration
	for _, p := range s.peers {
		if p.dead || p.storeFaults > 0 || s.now.Sub(p.faultsEndedAt) < settleTime {
			continue
		}
		oldest = max(oldest, s.clock(p).Sub(p.core.proof.provenAt))
	}
	return oldest
}

// TestProofsAreNeverTooRecent guards against API keys that are accepted after they were revoked: under
// cuts, outages, stuck watches, lost and late messages, nodes that die and start, and clocks that
// differ, no node claims to have known the newest value at a time when it did not.
func TestProofsAreNeverTooRecent(t *testing.T) {
	for seed := range uint64(*proofSeeds) {
		s := newProvingSimulation(seed, 4+int(seed%3)*10, 1+int(seed%4))
		s.lossRate = 0.05
		s.after(time.Second, s.injectFaults)
		s.runFor(60 * time.Second)
		for _, violation := range s.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}

// TestCheckDetectsAgesStatedBySenders checks the simulation itself: an age that the sender states
// leaves out the time in transit, and the check must detect that.
func TestCheckDetectsAgesStatedBySenders(t *testing.T) {
	detected := 0
	for seed := range uint64(20) {
		s := newProvingSimulation(seed, 24, 3)
		s.lossRate, s.trustStatedAges = 0.05, true
		s.after(time.Second, s.injectFaults)
		s.runFor(60 * time.Second)
		if len(s.violations) > 0 {
			detected++
		}
	}
	if detected < 15 {
		t.Errorf("the defect was detected with %d of 20 seeds, want at least 15", detected)
	}
}

// TestCheckDetectsSuspendedClocks checks the simulation itself: a node whose clock stands still
// while its machine is suspended underestimates the age of its proof, and the check must detect
// that.
func TestCheckDetectsSuspendedClocks(t *testing.T) {
	s := newProvingSimulation(1, 12, 3)
	s.runFor(5 * time.Second)
	p := s.peers[3]
	p.storeCuts, p.isolated, p.storeFaults = 1, true, 1
	s.write(provenKey)
	s.runFor(3 * time.Second)
	if len(s.violations) > 0 {
		t.Fatal(s.violations)
	}
	p.clockSkew -= 4 * time.Second
	s.runFor(100 * time.Millisecond)
	if len(s.violations) == 0 {
		t.Error("a clock that stood still for 4 s was not detected")
	}
}

// TestProofsReachAllNodesWithFewCalls guards against verifications by every node: without faults,
// each node of a fleet has a recent proof, and all nodes together ask the store about as often as
// one would.
func TestProofsReachAllNodesWithFewCalls(t *testing.T) {
	s := newProvingSimulation(1, 87, 3)
	s.smallValuesOnly = true
	s.runFor(6 * time.Second)
	before := s.totalVerifies()
	var oldest time.Duration
	for range 30 {
		s.runFor(time.Second)
		oldest = max(oldest, s.oldestProofAge())
	}
	calls := s.totalVerifies() - before
	t.Logf("87 nodes in 30 s: %d calls, the oldest proof %v", calls, oldest)
	if oldest >= maxFedProofAge {
		t.Errorf("a proof is %v old", oldest)
	}
	if limit := int(30*time.Second/verifyInterval) + 5; calls > limit {
		t.Errorf("%d calls, want at most the %d of one node", calls, limit)
	}
}

// TestProofsStayUsableWithSilentRootOrRefusingStore guards against proofs that expire at nodes that
// could renew them: when the root lives but forwards nothing, and when the store refuses two thirds
// of the nodes, each node that reaches the store or a node that does keeps a usable proof.
func TestProofsStayUsableWithSilentRootOrRefusingStore(t *testing.T) {
	s := newProvingSimulation(2, 87, 3)
	s.smallValuesOnly = true
	s.runFor(6 * time.Second)
	for _, p := range s.peers {
		if p.core.tree.role == root {
			p.isolated = true
		}
	}
	for range 20 {
		s.runFor(500 * time.Millisecond)
		if age := s.oldestProofAge(); age >= maxUsableProofAge {
			t.Fatalf("silent root: a proof is %v old", age)
		}
	}
	s = newProvingSimulation(3, 87, 3)
	s.smallValuesOnly = true
	s.runFor(6 * time.Second)
	for i, p := range s.peers {
		if i%3 > 0 {
			p.storeCuts++
		}
	}
	for range 20 {
		s.runFor(500 * time.Millisecond)
		if age := s.oldestProofAge(); age >= maxUsableProofAge {
			t.Fatalf("store that refuses two thirds of the nodes: a proof is %v old", age)
		}
	}
}

func (s *simulation) totalVerifies() int {
	calls := 0
	for _, p := range s.peers {
		calls += p.verifies
	}
	return calls
}

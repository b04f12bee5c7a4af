package feed

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/wire"
)

// inEra returns the revision with the same count of changes in an era.
func inEra(era keyvalue.Era, revision keyvalue.Revision) keyvalue.Revision {
	moved, err := keyvalue.NewRevision(era, revision.Counter())
	if err != nil {
		panic(err)
	}
	return moved
}

// changesInEra returns changes as an answer of the store in an era states them.
func changesInEra(era keyvalue.Era, changes []wire.StoreChange) []wire.StoreChange {
	stated := slices.Clone(changes)
	for i := range stated {
		stated[i].Revision = inEra(era, stated[i].Revision)
	}
	return stated
}

// eraFor returns the era of the store as a node sees it.
func (s *simulation) eraFor(p *simulatedPeer) keyvalue.Era {
	if p.knowsNoEras || p.countsOnly {
		return 0
	}
	return s.store.era
}

// has reports whether the store's history has a change of the key at the revision, which may have been
// stated in a later era than the one in which it was written.
func (s *simulatedStore) has(key string, revision keyvalue.Revision) bool {
	at := revision.Counter() - 1
	return at >= 0 && at < int64(len(s.changes)) && s.changes[at].Key == key && s.eras[at] <= revision.Era()
}

// restoreStore takes a copy of the store, and brings the store back from it after the given time.
func (s *simulation) restoreStore(age, absence time.Duration) {
	copied := len(s.store.changes)
	s.write(fmt.Sprintf("once-%d", copied))
	s.after(age, func() {
		s.outages++
		s.after(absence, func() {
			s.outages--
			if copied > len(s.store.changes) {
				// Another return lost more than that.
				copied = len(s.store.changes)
			}
			s.store.changes = slices.Clone(s.store.changes[:copied])
			s.store.writtenAt = slices.Clone(s.store.writtenAt[:copied])
			s.store.eras = slices.Clone(s.store.eras[:copied])
			s.store.compactedRevision = min(s.store.compactedRevision, keyvalue.Revision(copied))
			s.store.stuckAt = 0
			s.store.era++
			s.store.restoredAt = s.now
		})
	})
}

// checkLostKeys checks that a node does not know keys that the store has lost.
func (s *simulation) checkLostKeys(p *simulatedPeer) {
	if s.now.Sub(s.store.restoredAt) <= s.changeBound {
		return
	}
	for key, known := range p.knownRevisions {
		if strings.HasPrefix(key, "once") && !s.store.has(key, known) {
			s.violations = append(s.violations, fmt.Sprintf("%s at %v: knows %s of revision %s, which the store has lost", p.ID, s.now.Unix(), key, known))
		}
	}
}

// restoreRepeatedly brings the store back from copies again and again, now and then twice in a row.
func (s *simulation) restoreRepeatedly() {
	for range 1 + s.rand.IntN(2) {
		s.restoreStore(s.randomDuration(200*time.Millisecond, 6*time.Second), s.randomDuration(time.Millisecond, 2*time.Second))
	}
	s.after(s.randomDuration(4*time.Second, 12*time.Second), s.restoreRepeatedly)
}

// TestChangesAreKnownAfterStoreLosesRevisions guards against nodes that learn nothing, keep what the
// store has lost, or take changes for those of another state, after the store came back from a copy:
// each node that reaches the store knows its present contents in time, counted from the return. Half of
// the seeds have other faults too, a third has nodes of a build that knows no eras.
func TestChangesAreKnownAfterStoreLosesRevisions(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s := newRestoringSimulation(seed)
			s.runFor(90 * time.Second)
			for _, violation := range s.violations {
				t.Error(violation)
			}
			if s.store.era == 0 {
				t.Error("the store never came back from a copy")
			}
		})
	}
}

// newRestoringSimulation returns a simulation of up to 30 nodes whose store comes back from copies.
func newRestoringSimulation(seed uint64) *simulation {
	s := newSimulationInZones(seed, 1+int(seed)%30, 1+int(seed)%3)
	s.lossRate = float64(seed%4) / 10
	for i, p := range s.peers {
		p.knowsNoEras = seed%3 == 0 && i%3 == 1
	}
	if seed%2 == 0 {
		s.after(2*time.Second, s.injectFaults)
	}
	s.after(3*time.Second, s.restoreRepeatedly)
	return s
}

// TestCheckDetectsLostRevisions shows that the check fails where nodes take what leads from another
// state to a new era, and where they take the store's counts for revisions.
func TestCheckDetectsLostRevisions(t *testing.T) {
	for name, plant := range map[string]func(s *simulation){
		"counts taken for revisions": func(s *simulation) {
			for _, p := range s.peers {
				p.countsOnly = true
			}
		},
		"changes from other states": func(s *simulation) { s.takesAnyEra = true },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(30) {
				s := newRestoringSimulation(seed)
				plant(s)
				if s.runFor(60 * time.Second); len(s.violations) > 0 {
					return
				}
			}
			t.Error("no seed breaks the check")
		})
	}
}

// TestFullReadsAfterReturnAreFew guards against a return after which every node reads the whole store:
// 340 nodes in 18 zones go on from what a few of them read.
func TestFullReadsAfterReturnAreFew(t *testing.T) {
	const nodes, zones = 340, 18
	s := newSimulationInZones(5, nodes, zones)
	s.runFor(10 * time.Second)
	s.restoreStore(2*time.Second, time.Second)
	s.runFor(3 * time.Second)
	reads, calls := s.fullReads, s.totalCalls()
	s.runFor(5 * time.Second)
	reads, calls = s.fullReads-reads, s.totalCalls()-calls
	t.Logf("%d full reads and %d calls in 5 s after the return", reads, calls)
	// A relay or two of each zone and the nodes that were at another revision than their relay.
	if reads > 3*zones {
		t.Errorf("%d full reads by %d nodes in %d zones", reads, nodes, zones)
	}
	for _, violation := range s.violations {
		t.Error(violation)
	}
}

// TestProofsGoOnAfterReturn guards against callers with keys who are refused after a return of the store:
// the value that proves their keys is the same in the new era, and nobody writes it again.
func TestProofsGoOnAfterReturn(t *testing.T) {
	for seed := range uint64(10) {
		s := newSimulationInZones(seed, 0, 1)
		s.keyToProve = "proven"
		s.write(s.keyToProve)
		for i := range 2 + int(seed) {
			s.startNode(i)
		}
		s.announcePeers()
		s.runFor(8 * time.Second)
		s.restoreStore(100*time.Millisecond, 50*time.Millisecond)
		s.runFor(6 * time.Second)
		for _, p := range s.peers {
			if age := s.clock(p).Sub(p.core.proof.provenAt); age > maxFedProofAge+time.Second {
				t.Errorf("seed %d: the proof of %s is %s old", seed, p.ID, age)
			}
		}
	}
}

// TestFullReadsAfterReturnAreFewAtEachSize guards against the same in fleets of other sizes and in other
// plays: nodes that know another state than the one that first reads can't take what differs.
func TestFullReadsAfterReturnAreFewAtEachSize(t *testing.T) {
	for _, size := range []struct{ nodes, zones int }{{99, 3}, {295, 5}, {295, 18}, {340, 18}} {
		t.Run(fmt.Sprintf("%d nodes in %d zones", size.nodes, size.zones), func(t *testing.T) {
			for seed := range uint64(12) {
				s := newSimulationInZones(seed, size.nodes, size.zones)
				s.runFor(10 * time.Second)
				s.restoreStore(2*time.Second, time.Second)
				s.runFor(3 * time.Second)
				before, calls := s.fullReads, s.totalCalls()
				s.runFor(5 * time.Second)
				relays := size.zones * s.peers[0].core.cfg.relayCount(size.nodes/size.zones)
				if reads := s.fullReads - before; reads > 3*relays {
					t.Errorf("seed %d: %d full reads and %d calls with %d relays", seed, reads, s.totalCalls()-calls, relays)
				}
			}
		})
	}
}

// TestNewEraIsAppliedWithoutChanges guards against a node that refuses callers with keys until something changes in the
// store: an update that leads to a new era holds nothing that differs, and what has been applied is not told that its
// revisions are those of the new era, which the proofs name from then on.
func TestNewEraIsAppliedWithoutChanges(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }
	c := New(Config{Self: Peer{ID: "a", Address: "a"}}, allNews{}, 1)
	c.Step(at(0), Tick{})
	c.Step(at(0), ReadDone{Began: at(0), Revision: 10, Pairs: []wire.StoreChange{{Key: "k", Revision: 7}}})
	c.Step(at(0), KeyProven{Key: "k"})
	update := UpdateReceived{Update: wire.StoreChanges{From: "b", After: 10, Revision: inEra(1, 12), KnowsEras: true}}
	if applied := onlyEffect[Apply](t, c.Step(at(time.Second), update)); applied.Revision != inEra(1, 12) || len(applied.Changes) > 0 {
		t.Errorf("applied %+v, want the new era without changes", applied)
	}
	if got := c.RevisionOf("k"); got != inEra(1, 7) {
		t.Errorf("the proven key has revision %s in the new era, want %s", got, inEra(1, 7))
	}
	again := UpdateReceived{Update: wire.StoreChanges{From: "b", After: inEra(1, 12), Revision: inEra(1, 13), KnowsEras: true}}
	for _, effect := range c.Step(at(2*time.Second), again) {
		if applied, found := effect.(Apply); found {
			t.Errorf("applied %+v without a change in the same era", applied)
		}
	}
}

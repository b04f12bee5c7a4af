package feed

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/wire"
)

// plays is how many seeds are played of the troubles of proofs.
var plays = flag.Int("plays", 60, "seeds to play of the troubles of proofs")

const (
	provenKey = "news-0"
	// usedWithin is how old a proof may be that is used: nine tenths of the least bound on
	// keys that were taken away.
	usedWithin = 4500 * time.Millisecond
)

// verify answers whether a key's value is still that of a revision.
func (s *simulation) verify(e Verify, began time.Time) Event {
	newest := wire.StoreChange{}
	for _, c := range s.store.changes {
		if c.Key == e.Key {
			newest = c
		}
	}
	done := VerifyDone{Began: began, Revision: e.Revision}
	if newest.Revision != e.Revision {
		done.Found = &newest
	}
	return done
}

// planted changes a message by the defect that is planted, if any.
func (s *simulation) planted(to *simulatedPeer, event Event) Event {
	received, isUpdate := event.(UpdateReceived)
	if !s.statedAges || !isUpdate || received.Update.Proven == 0 {
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

// proving returns nodes whose clocks differ by hours and that prove a key.
func proving(seed uint64, peers, zones int) *simulation {
	s := newZones(seed, 0, zones)
	s.proves = provenKey
	s.write(provenKey)
	for i := range peers {
		s.start(i)
	}
	s.membership()
	s.after(0, s.checkProofs)
	return s
}

// checkProofs checks for each node that all changes of the key which were made before the
// time at which it holds to have known the newest are known to it.
func (s *simulation) checkProofs() {
	for _, p := range s.peers {
		at := p.core.proof.provenAt
		if p.dead || at.IsZero() {
			continue
		}
		asOf := at.Add(-p.skew)
		for i := range s.store.changes {
			c := &s.store.changes[i]
			if c.Key == provenKey && !s.store.madeAt[i].After(asOf) && p.known[provenKey] < c.Revision {
				s.problems = append(s.problems, fmt.Sprintf("%s holds to have known the newest %v ago, and does not know of a change %v old",
					p.ID, s.now.Sub(asOf), s.now.Sub(s.store.madeAt[i])))
			}
		}
	}
	s.after(checkInterval, s.checkProofs)
}

// oldest is the age of the oldest proof of those nodes that nothing troubles.
func (s *simulation) oldest() time.Duration {
	var oldest time.Duration
	for _, p := range s.peers {
		if p.dead || p.troubles > 0 || s.now.Sub(p.calmSince) < undisturbed {
			continue
		}
		oldest = max(oldest, s.clock(p).Sub(p.core.proof.provenAt))
	}
	return oldest
}

// TestProofsAreNeverTooYoung: over cuts, outages, deaf watches, lost and late messages, nodes
// that die and start, and clocks that differ, no node holds to have known the newest value
// at a time at which it did not.
func TestProofsAreNeverTooYoung(t *testing.T) {
	for seed := range uint64(*plays) {
		s := proving(seed, 4+int(seed%3)*10, 1+int(seed%4))
		s.loss = 0.05
		s.after(time.Second, s.trouble)
		s.runFor(60 * time.Second)
		for _, problem := range s.problems {
			t.Errorf("seed %d: %s", seed, problem)
		}
	}
}

// TestStatedAgesAreCaught: an age that its sender states leaves out how long the message was
// on its way, and the check above notices.
func TestStatedAgesAreCaught(t *testing.T) {
	caught := 0
	for seed := range uint64(20) {
		s := proving(seed, 24, 3)
		s.loss, s.statedAges = 0.05, true
		s.after(time.Second, s.trouble)
		s.runFor(60 * time.Second)
		if len(s.problems) > 0 {
			caught++
		}
	}
	if caught < 15 {
		t.Errorf("%d of 20 plays are caught", caught)
	}
}

// TestSuspendedClocksAreCaught: a node that goes by a clock which stands while its machine is
// suspended holds its proof for younger than it is.
func TestSuspendedClocksAreCaught(t *testing.T) {
	s := proving(1, 12, 3)
	s.runFor(5 * time.Second)
	p := s.peers[3]
	p.cuts, p.mute, p.troubles = 1, true, 1
	s.write(provenKey)
	s.runFor(3 * time.Second)
	if len(s.problems) > 0 {
		t.Fatal(s.problems)
	}
	p.skew -= 4 * time.Second
	s.runFor(100 * time.Millisecond)
	if len(s.problems) == 0 {
		t.Error("a clock that stood for 4 s goes unnoticed")
	}
}

// TestProofsReachAll: on a calm day each node of a fleet has a proof that is young enough,
// and the nodes together ask the store about as often as one does.
func TestProofsReachAll(t *testing.T) {
	s := proving(1, 87, 3)
	s.small = true
	s.runFor(6 * time.Second)
	before := s.verifies()
	var oldest time.Duration
	for range 30 {
		s.runFor(time.Second)
		oldest = max(oldest, s.oldest())
	}
	calls := s.verifies() - before
	t.Logf("87 nodes in 30 s: %d calls, the oldest proof %v", calls, oldest)
	if oldest >= maxFedProofAge {
		t.Errorf("a proof is %v old", oldest)
	}
	if most := int(30*time.Second/verifyInterval) + 5; calls > most {
		t.Errorf("%d calls, those of one node are at most %d", calls, most)
	}
}

// TestDeafRelayLeavesProofs: where a root lives and passes nothing on any more, and where the
// store turns two thirds of the nodes away, those that nothing keeps from the store or a
// node that reaches it go on having proofs that may be used.
func TestDeafRelayLeavesProofs(t *testing.T) {
	s := proving(2, 87, 3)
	s.small = true
	s.runFor(6 * time.Second)
	for _, p := range s.peers {
		if p.core.tree.role == root {
			p.mute = true
		}
	}
	for range 20 {
		s.runFor(500 * time.Millisecond)
		if age := s.oldest(); age >= usedWithin {
			t.Fatalf("the root is deaf, and a proof is %v old", age)
		}
	}
	s = proving(3, 87, 3)
	s.small = true
	s.runFor(6 * time.Second)
	for i, p := range s.peers {
		if i%3 > 0 {
			p.cuts++
		}
	}
	for range 20 {
		s.runFor(500 * time.Millisecond)
		if age := s.oldest(); age >= usedWithin {
			t.Fatalf("the store turns two thirds away, and a proof is %v old", age)
		}
	}
}

func (s *simulation) verifies() int {
	calls := 0
	for _, p := range s.peers {
		calls += p.verifies
	}
	return calls
}

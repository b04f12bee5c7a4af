package idempotency

import (
	"slices"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// TestHeirAnswersInPlaceOfLeftNode checks that the heir of a node answers later askers as that node
// would have: it rejects lower ballots and names the owners that were promised. Without that, two
// first owners could both be granted the key.
func TestHeirAnswersInPlaceOfLeftNode(t *testing.T) {
	region := newRegion("a", "b", "c", "d", "e", "f")
	ask := func(at, from cluster.NodeID, round uint64) Answer {
		current := region.tables["c"].Owners(Key{"/dental", "k"})
		return region.tables[at].Answer(start, Question{
			Claim: claim("k", cluster.RequestID(from), from), From: from, Round: round,
			Owners: Owners{from, "f"}, Known: []Owners{current, {from, "f"}},
		})
	}
	if answer := ask("c", "e", 9); answer.Kind != AnswerAbsent {
		t.Fatalf("first: %+v", answer)
	}
	handover := region.tables["c"].Leave(start)
	if !region.tables["b"].Inherit(start, handover) || region.tables["c"].Inherit(start, handover) {
		t.Fatal("not inherited by a node that stays, or inherited by one that left")
	}
	region.tables["b"].RecordHeir(start, "c", "b")
	for _, node := range []cluster.NodeID{"a", "d", "e", "f"} {
		region.tables["b"].RecordHeir(start, node, "b")
	}
	if heirs := region.tables["b"].Heirs(); len(heirs) != 0 {
		t.Fatalf("%v may take over, but all nodes have left", heirs)
	}
	if answer := ask("b", "d", 8); answer.Kind != AnswerOutbid {
		t.Fatalf("lower ballot: %+v", answer)
	}
	if answer := ask("b", "d", 10); len(answer.Past) != 1 || !slices.Equal(answer.Past[0].Owners, Owners{"e", "f"}) {
		t.Fatalf("promised owners: %+v", answer)
	}
	if answer := ask("c", "d", 11); answer.Kind != AnswerNone {
		t.Fatalf("after leaving: %+v", answer)
	}
}

// TestHandoverRestartsAskingClaim checks that a claim that waits for an answer is restarted when a
// node hands over. An answer from before the handover covers only the heir's own state and must not
// count for both nodes.
func TestHandoverRestartsAskingClaim(t *testing.T) {
	nodes := []cluster.NodeID{"a", "b", "c", "d"}
	key := keyOwnedBy(Owners{"a", "b"}, nodes...)
	for _, inherits := range []bool{false, true} {
		region := newRegion(nodes...)
		table := region.tables["a"]
		asking := table.Begin(start, claim(key, "r1", "a"))
		expectKind(t, asking, DecisionAsk)
		before := region.tables["b"].Answer(start, asking.Question)
		before.To = asking.Question.Round
		if before.Kind != AnswerRecorded {
			t.Fatalf("got %+v", before)
		}
		if inherits {
			promise := Record{Claim: Claim{Key: asking.Question.Claim.Key}, Expires: start.Add(time.Hour)}
			promise.Promised = []Past{{Until: start, Owners: Owners{"d", "c"}}}
			table.Inherit(start, Handover{Left: "c", Records: []Record{promise}})
			expectKind(t, table.ProcessAnswer(start, asking.Question.Claim.Key, "r1", before), DecisionUnavailable)
			continue
		}
		table.RecordHeir(start, "c", "b")
		again := table.ProcessAnswer(start, asking.Question.Claim.Key, "r1", before)
		expectKind(t, again, DecisionAsk)
		if again.Question.Round <= asking.Question.Round {
			t.Fatalf("asked again in round %d after round %d", again.Question.Round, asking.Question.Round)
		}
	}
}

// TestConflictingInheritedRequestKeepsOutcomeUnknown checks that an heir with two different
// requests of one key in progress doesn't free the key when one of them reports its end, because
// the other one may still run.
func TestConflictingInheritedRequestKeepsOutcomeUnknown(t *testing.T) {
	nodes := []cluster.NodeID{"a", "b", "c", "d"}
	key := keyOwnedBy(Owners{"a", "b"}, nodes...)
	region := newRegion(nodes...)
	asked := claim(key, "r1", "d")
	expectKind(t, region.claim(asked), DecisionRun)
	other := Record{Claim: claim(key, "r2", "d"), First: "c", Round: 7, Expires: start.Add(time.Hour)}
	region.tables["b"].Inherit(start, Handover{Left: "c", Records: []Record{other}})
	for _, request := range []cluster.RequestID{"r1", "r2"} {
		region.tables["b"].Finish(start, asked.Key, Outcome{Kind: OutcomeNotRun, Request: request})
	}
	answer := region.tables["b"].Answer(start, Question{Claim: claim(key, "r3", "d"), From: "a", Round: 99})
	if answer.Kind != AnswerEnded || answer.Outcome.Kind != OutcomeUnknown {
		t.Fatalf("got %+v", answer)
	}
}

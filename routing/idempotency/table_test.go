package idempotency

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
)

var start = time.Date(2026, 3, 1, 18, 0, 0, 0, time.UTC)

// claim returns a claim with a fixed token path and fingerprint.
func claim(key string, request cluster.RequestID, from cluster.NodeID) Claim {
	return Claim{Key: Key{"/dental", key}, Fingerprint: 1, Request: request, From: from}
}

// expectKind checks the kind of a decision, and that a refusal has an error with a retry delay.
func expectKind(t *testing.T, decision Decision, want DecisionKind) {
	t.Helper()
	if decision.Kind != want {
		t.Fatalf("got %+v, want kind %d", decision, want)
	}
	failure := decision.Failure()
	refusal := want >= DecisionInProgress
	if refusal != (failure != nil) || (refusal && failure.RetryAfter <= 0) {
		t.Fatalf("kind %d: failure %v", want, failure)
	}
}

// TestSingleNodeDecisions checks the decisions of a single node over the life of a key: in
// progress, mismatch, not run, answered, table full, expired and lost.
func TestSingleNodeDecisions(t *testing.T) {
	key := Key{"/dental", "k"}
	table := New("a", Config{MaxKeys: 2})
	expectKind(t, table.Begin(start, claim("k", "r1", "a")), DecisionUnknown)
	table.SetMembers(start, named("a"))
	expectKind(t, table.Begin(start, claim("k", "r1", "a")), DecisionRun)
	expectKind(t, table.Begin(start, claim("k", "r2", "a")), DecisionInProgress)
	other := claim("k", "r2", "a")
	other.Fingerprint = 2
	expectKind(t, table.Begin(start, other), DecisionMismatch)
	table.Finish(start, key, Outcome{Kind: OutcomeNotRun, Request: "r2"})
	expectKind(t, table.Begin(start, claim("k", "r2", "a")), DecisionInProgress)
	table.Finish(start, key, Outcome{Kind: OutcomeNotRun, Request: "r1"})
	expectKind(t, table.Begin(start, claim("k", "r3", "a")), DecisionRun)
	table.Finish(start, key, Outcome{Kind: OutcomeAnswered, Request: "r3", Holder: "a"})
	if replay := table.Begin(start, claim("k", "r4", "a")); replay.Kind != DecisionReplay || replay.Outcome.Request != "r3" {
		t.Fatalf("got %+v", replay)
	}
	expectKind(t, table.Begin(start, claim("l", "r5", "a")), DecisionRun)
	expectKind(t, table.Begin(start, claim("m", "r6", "a")), DecisionFull)
	later := start.Add(30 * time.Minute)
	expectKind(t, table.Begin(later, claim("k", "r7", "a")), DecisionRun)
	expectKind(t, table.Begin(later, claim("l", "r8", "a")), DecisionUnknown)
	table.Finish(later, Key{"/dental", "l"}, Outcome{Kind: OutcomeRan, Request: "r5"})
	expectKind(t, table.Begin(later, claim("l", "r8", "a")), DecisionRan)
}

// named returns members of one zone.
func named(nodes ...cluster.NodeID) (all []Member) {
	for _, node := range nodes {
		all = append(all, Member{ID: node})
	}
	return all
}

// keyOwnedBy returns a key whose owners among the nodes begin with the given ones.
func keyOwnedBy(owners Owners, nodes ...cluster.NodeID) string {
	for i := 0; ; i++ {
		key := fmt.Sprint("key-", i)
		if slices.Equal(newMembers(named(nodes...)).owners(Key{"/dental", key}.hash())[:len(owners)], owners) {
			return key
		}
	}
}

// TestSurvivorOfTwoNodesRefusesUntilRetentionEnds checks that the survivor of two nodes refuses a
// key of the other one until the retention is over, because a request may have run there.
func TestSurvivorOfTwoNodesRefusesUntilRetentionEnds(t *testing.T) {
	key := keyOwnedBy(Owners{"b"}, "a", "b")
	table := New("a", Config{})
	table.SetMembers(start.Add(-time.Hour), named("a", "b"))
	if forwarded := table.Begin(start, claim(key, "r1", "a")); forwarded.Kind != DecisionForward || forwarded.Owner != "b" {
		t.Fatalf("got %+v", forwarded)
	}
	table.SetMembers(start, named("a"))
	unknown := table.Begin(start.Add(10*time.Minute), claim(key, "r1", "a"))
	expectKind(t, unknown, DecisionUnknown)
	if unknown.RetryAfter != 30*time.Minute || unknown.Failure().Code != verdict.CodeOutcomeUnknown {
		t.Fatalf("got %+v", unknown)
	}
	expectKind(t, table.Begin(start.Add(41*time.Minute), claim(key, "r1", "a")), DecisionRun)
}

// TestClaimsSurviveLossOfOneOwner checks that after the loss of any one of three nodes the others
// grant new keys and still know the old ones.
func TestClaimsSurviveLossOfOneOwner(t *testing.T) {
	nodes := []cluster.NodeID{"a", "b", "c"}
	for _, dead := range nodes {
		for i := range 50 {
			region := newRegion(nodes...)
			oldClaim, newClaim := claim(fmt.Sprint("old-", i), "r1", "a"), claim(fmt.Sprint("fresh-", i), "r2", "a")
			oldClaim.From = region.nodeOtherThan(dead)
			expectKind(t, region.claim(oldClaim), DecisionRun)
			region.kill(dead)
			newClaim.From = region.nodeOtherThan(dead)
			expectKind(t, region.claim(newClaim), DecisionRun)
			oldClaim.Request = "r3"
			expectKind(t, region.claim(oldClaim), DecisionInProgress)
		}
	}
}

// TestLossOfQuorumMakesOutcomeUnknown checks that a key is refused if a quorum of its former owners
// is gone.
func TestLossOfQuorumMakesOutcomeUnknown(t *testing.T) {
	region := newRegion("a", "b", "c")
	region.kill("b")
	region.kill("c")
	expectKind(t, region.claim(claim("k", "r1", "a")), DecisionUnknown)
}

// TestUngrantedClaimIsSuperseded checks that a claim that the backup recorded but whose answer was
// lost does not block the key, and that its question has no effect if it arrives once more.
func TestUngrantedClaimIsSuperseded(t *testing.T) {
	region := newRegion("a", "b", "c")
	key := keyOwnedBy(Owners{"a", "b"}, "a", "b", "c")
	first := region.tables["a"].Begin(start, claim(key, "r1", "c"))
	expectKind(t, first, DecisionAsk)
	if answer := region.tables["b"].Answer(start, first.Question); answer.Kind != AnswerRecorded {
		t.Fatalf("got %+v", answer)
	}
	none := Answer{Kind: AnswerNone, From: "b"}
	expectKind(t, region.tables["a"].ProcessAnswer(start, first.Question.Claim.Key, "r1", none), DecisionUnavailable)
	expectKind(t, region.claim(claim(key, "r2", "c")), DecisionRun)
	if late := region.tables["b"].Answer(start, first.Question); late.Kind != AnswerInProgress {
		t.Fatalf("got %+v", late)
	}
}

// TestNewNodeLearnsFormerOwners checks that a new node with an incomplete view, which considers
// itself the first owner, learns the former owners from the answer and refuses the key.
func TestNewNodeLearnsFormerOwners(t *testing.T) {
	former, joiner := New("a", Config{}), New("y", Config{})
	former.SetMembers(start.Add(-time.Hour), named("a", "b", "c"))
	joiner.SetMembers(start, named("a", "y"))
	asked := claim(keyOwnedBy(Owners{"y"}, "a", "y"), "r1", "y")
	asking := joiner.Begin(start, asked)
	expectKind(t, asking, DecisionAsk)
	answer := former.Answer(start, asking.Question)
	expectKind(t, joiner.ProcessAnswer(start, asked.Key, "r1", answer), DecisionUnknown)
}

// TestLossOfRunningNodeMakesOutcomeUnknown checks that the outcome is unknown after the node that
// ran the request was lost.
func TestLossOfRunningNodeMakesOutcomeUnknown(t *testing.T) {
	region := newRegion("a", "b", "c")
	expectKind(t, region.claim(claim("k", "r1", "b")), DecisionRun)
	region.kill("b")
	expectKind(t, region.claim(claim("k", "r2", "a")), DecisionUnknown)
}

// TestOwnersAreInDifferentZones checks that the loss of a zone takes at most one owner of each key.
func TestOwnersAreInDifferentZones(t *testing.T) {
	var nodes []Member
	for i := range 9 {
		nodes = append(nodes, Member{cluster.NodeID(fmt.Sprint(i)), cluster.ZoneID(fmt.Sprint("zone-", i%3))})
	}
	zoneOf := func(node cluster.NodeID) string { return fmt.Sprint(node[0] % 3) }
	for i := range 100 {
		owners := newMembers(nodes).owners(Key{"/dental", fmt.Sprint(i)}.hash())
		zones := []string{zoneOf(owners[0]), zoneOf(owners[1]), zoneOf(owners[2])}
		slices.Sort(zones)
		if len(slices.Compact(zones)) != 3 {
			t.Fatalf("key %d is owned by %v", i, owners)
		}
	}
}

// TestLossOfNodeMovesOnlyItsKeys checks that the loss of a node moves only its own keys, and that
// keys are evenly distributed.
func TestLossOfNodeMovesOnlyItsKeys(t *testing.T) {
	nodes := named("a", "b", "c", "d", "e", "f", "g", "h", "i", "j")
	all, fewer := newMembers(nodes), newMembers(nodes[1:])
	counts := make(map[cluster.NodeID]int)
	for i := range 10000 {
		hash := Key{"/dental", fmt.Sprint(i)}.hash()
		before, after := all.owners(hash), fewer.owners(hash)
		counts[before[0]]++
		if !slices.Contains(before, "a") && !slices.Equal(before, after) {
			t.Fatalf("key %d moved from %s to %s, although only node a left", i, before, after)
		}
	}
	for _, node := range nodes {
		if counts[node.ID] < 850 || counts[node.ID] > 1150 {
			t.Fatalf("%s owns %d of 10,000 keys", node.ID, counts[node.ID])
		}
	}
}

// TestPromiseBindsLaterAnswers checks the answers of a node that confirmed the absence of a key to
// one first owner when another one asks: it rejects lower ballots, names the first one's owners,
// and records a claim only if the asker knows them.
func TestPromiseBindsLaterAnswers(t *testing.T) {
	region := newRegion("a", "b", "c", "d", "e", "f")
	current := region.tables["c"].Owners(Key{"/dental", "k"})
	ask := func(from cluster.NodeID, round uint64, record bool, known ...Owners) Answer {
		return region.tables["c"].Answer(start, Question{
			Claim: claim("k", cluster.RequestID(from), from), From: from, Round: round,
			Owners: Owners{from, "f"}, Known: append(known, current, Owners{from, "f"}), Record: record,
		})
	}
	if answer := ask("e", 9, false); answer.Kind != AnswerAbsent || len(answer.Past) != 0 {
		t.Fatalf("first: %+v", answer)
	}
	if answer := ask("d", 8, true, Owners{"e", "f"}); answer.Kind != AnswerOutbid || answer.Round != 9 {
		t.Fatalf("lower ballot: %+v", answer)
	}
	unnamed := ask("d", 10, true)
	if unnamed.Kind != AnswerAbsent || len(unnamed.Past) != 1 || !slices.Equal(unnamed.Past[0].Owners, Owners{"e", "f"}) {
		t.Fatalf("without the first one's owners: %+v", unnamed)
	}
	if answer := ask("d", 10, true, Owners{"e", "f"}); answer.Kind != AnswerRecorded {
		t.Fatalf("with them: %+v", answer)
	}
	if answer := ask("e", 11, true, Owners{"d", "f"}); answer.Kind != AnswerInProgress {
		t.Fatalf("after the record: %+v", answer)
	}
}

// TestAskingFirstOwnerAnswersInProgress checks that a first owner with an asking claim answers that
// the key is in progress, so that two first owners can't both be granted it.
func TestAskingFirstOwnerAnswersInProgress(t *testing.T) {
	region := newRegion("a", "b", "c")
	asked := claim(keyOwnedBy(Owners{"a"}, "a", "b", "c"), "r1", "a")
	expectKind(t, region.tables["a"].Begin(start, asked), DecisionAsk)
	if answer := region.tables["a"].Answer(start, Question{Claim: asked, From: "b", Round: 5}); answer.Kind != AnswerInProgress {
		t.Fatalf("got %+v", answer)
	}
}

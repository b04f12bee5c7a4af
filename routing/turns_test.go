package routing

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
)

// reportLimit reports an answer of machine m1 that states a rate limit.
func (f *fixture) reportLimit(perSecond float64) []Effect {
	return f.step(MachineNoticeReceived{Machine: "m1", Notice: Notice{Limited: true, PerSecond: perSecond}})
}

func (f *fixture) decideTurn(granted bool, wait time.Duration) []Effect {
	return f.step(TurnDecided{Machine: "m1", Granted: granted, Wait: wait})
}

// countTurnRequests counts the turn requests among the effects.
func countTurnRequests(effects []Effect) int {
	count := 0
	for _, effect := range effects {
		if _, asks := effect.(TurnWanted); asks {
			count++
		}
	}
	return count
}

// TestRequestsTakeTurnsAtLimitedMachine guards against requests that are sent to a machine with a
// rate limit without a turn, or several by one turn.
func TestRequestsTakeTurnsAtLimitedMachine(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4))
	f.reportLimit(1)
	if asked := countTurnRequests(f.arrive("a")); asked != 1 {
		t.Fatalf("%d turn requests for the first request, want 1", asked)
	}
	if asked := countTurnRequests(f.arrive("b")); asked != 0 {
		t.Fatalf("%d more turn requests while one is pending, want 0", asked)
	}
	f.expect(f.decideTurn(true, 500*time.Millisecond), "")
	f.expect(f.advance(499*time.Millisecond), "")
	effects := f.advance(time.Millisecond)
	f.expect(effects, "dispatch a/1 to m1; ")
	if countTurnRequests(effects) != 1 {
		t.Fatal("no turn is requested although another request waits")
	}
	f.expect(f.decideTurn(false, time.Second), "")
	if asked := countTurnRequests(f.advance(999 * time.Millisecond)); asked != 0 {
		t.Fatal("a turn is requested before the stated time")
	}
	if asked := countTurnRequests(f.advance(time.Millisecond)); asked != 1 {
		t.Fatal("no turn is requested at the stated time")
	}
}

// TestMachineWithoutLimitIsPreferred guards against requests that wait for a turn while another
// machine has room.
func TestMachineWithoutLimitIsPreferred(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4), loaded("m2", 4))
	f.reportLimit(1)
	f.expect(f.arrive("a"), "dispatch a/1 to m2; ")
}

// TestRequestBeyondLimitIsRefusedAtOnce guards against requests that are kept until their caller
// leaves although no machine takes them in time.
func TestRequestBeyondLimitIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4))
	f.reportLimit(1)
	f.arrive("a", withDeadline(2*time.Second))
	f.arrive("b", withDeadline(9*time.Second))
	failure := finishOf(t, f.decideTurn(false, 3*time.Second)).Failure
	if failure.Verdict != verdict.NotRun || failure.RetryAfter < 3*time.Second {
		t.Errorf("finished with %v, retry time %s", failure, failure.RetryAfter)
	}
	if f.router.Waiting() != 1 {
		t.Errorf("%d requests wait, want the one with time left", f.router.Waiting())
	}
	failure = finishOf(t, f.arrive("c", withDeadline(time.Second))).Failure
	if failure.Verdict != verdict.NotRun || failure.RetryAfter < 3*time.Second {
		t.Errorf("a later request finished with %v, retry time %s", failure, failure.RetryAfter)
	}
}

// TestLimitEndsByAnswerSentUnderIt guards against a limit that is ended by an answer to an earlier
// request, and against one that never ends.
func TestLimitEndsByAnswerSentUnderIt(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4))
	f.reportLimit(1)
	f.step(MachineNoticeReceived{Machine: "m1"})
	f.expect(f.arrive("a"), "")
	effects := f.step(MachineNoticeReceived{Machine: "m1", SentUnderLimit: true})
	f.expect(effects, "dispatch a/1 to m1; ")
	for _, effect := range effects {
		if found, tells := effect.(MachineLimitChanged); tells && !found.Notice.Limited {
			return
		}
	}
	t.Error("the end of the limit is not published")
}

// TestLeavingNoticeOverridesLaterStatus guards against requests to a machine whose answer stated
// that it is leaving, when its cell's status, which is based on older information, lists it as
// staying.
func TestLeavingNoticeOverridesLaterStatus(t *testing.T) {
	f := newPlacedFixture(t)
	f.status(true, loaded("m1", 4))
	f.arrive("a", repeatable)
	effects := f.step(MachineNoticeReceived{Machine: "m1", Request: "z", Notice: Notice{Leaving: true}})
	if len(effects) != 1 || effects[0] != (MachineLeavingFound{Machine: "m1", Request: "z"}) {
		t.Errorf("effects: %v, want one MachineLeavingFound", effects)
	}
	f.status(true, loaded("m1", 4))
	f.expect(f.place("m1", 1, 0), "")
	f.expect(f.step(MachineNoticeReceived{Machine: "m1", SentUnderLimit: true}), "")
	f.status(true, loaded("m1", 8))
	if f.router.Waiting() != 1 {
		t.Error("the request of the held attempt does not wait for another machine")
	}
	f.expect(f.status(false, loaded("m2", 4)), "dispatch a/2 to m2; ")
}

// reportRest reports an answer of machine m1 that asks for rest.
func (f *fixture) reportRest(length time.Duration) []Effect {
	return f.step(MachineNoticeReceived{Machine: "m1", Request: "z", Notice: Notice{Rest: length}})
}

// TestRestingMachineGetsNoRequests guards against new requests, retries and held attempts that are
// sent to a machine during its rest period. The latest end of a rest period counts.
func TestRestingMachineGetsNoRequests(t *testing.T) {
	f := newPlacedFixture(t)
	f.status(true, loaded("m1", 4))
	f.arrive("a", repeatable)
	f.reportRest(3 * time.Second)
	f.reportRest(time.Second)
	f.expect(f.place("m1", 1, 0), "")
	f.expect(f.arrive("b"), "")
	f.expect(f.advance(2999*time.Millisecond), "")
	f.expect(f.advance(time.Millisecond), "dispatch a/2 to m1; dispatch b/1 to m1; ")
}

// TestRetryTimeCoversRestPeriod guards against callers that are kept until they leave while all
// machines rest, or told to retry before the rest period is over.
func TestRetryTimeCoversRestPeriod(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4))
	f.step(MachineNoticeReceived{Machine: "m1", Notice: Notice{Limited: true, PerSecond: 1}})
	f.arrive("a", withDeadline(2*time.Second))
	failure := finishOf(t, f.reportRest(3*time.Second)).Failure
	if failure.Verdict != verdict.NotRun || failure.RetryAfter < 3*time.Second {
		t.Errorf("finished with %v, retry time %s", failure, failure.RetryAfter)
	}
	f.status(false, loaded("m2", 4))
	f.expect(f.arrive("b", withDeadline(time.Second)), "dispatch b/1 to m2; ")
}

// TestLimitIsPublishedOnce guards against a limit that only one router knows, and against one that
// is published again with each answer.
func TestLimitIsPublishedOnce(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4))
	publications := 0
	for _, rate := range []float64{2, 2, 2.1, 3, 3} {
		for _, effect := range f.reportLimit(rate) {
			if _, tells := effect.(MachineLimitChanged); tells {
				publications++
			}
		}
	}
	if publications != 2 {
		t.Errorf("published %d times, want 2: when it is new and when it has changed", publications)
	}
	f.step(MachineLimitReceived{Machine: "m1", Notice: Notice{Limited: true, PerSecond: 8}})
	for _, effect := range f.reportLimit(8) {
		if _, tells := effect.(MachineLimitChanged); tells {
			t.Error("published a limit that was received from another router")
		}
	}
}

// TestHeldAttemptLosesItsTurn guards against held attempts that are sent long after their turn, or
// to a machine that stated a limit meanwhile.
func TestHeldAttemptLosesItsTurn(t *testing.T) {
	f := newPlacedFixture(t)
	f.status(true, loaded("m1", 4))
	f.arrive("a", repeatable)
	f.reportLimit(1)
	f.expect(f.place("m1", 1, 0), "")
	f.decideTurn(true, 0)
	f.expect(f.place("m1", 2, 0), "dispatch a/2 to m1; ")

	f = newPlacedFixture(t)
	f.status(true, loaded("m1", 4))
	f.reportLimit(1)
	f.arrive("a", repeatable)
	f.expect(f.decideTurn(true, 0), "dispatch a/1 to m1; ")
	f.now = f.now.Add(turnSendWindow + time.Millisecond)
	f.expect(f.place("m1", 1, 0), "")
}

// TestTurnIsRestoredWhenAttemptMoves guards against turns that are lost when an attempt is placed
// on another machine.
func TestTurnIsRestoredWhenAttemptMoves(t *testing.T) {
	f := newPlacedFixture(t)
	f.status(true, loaded("m1", 4))
	f.reportLimit(1)
	f.arrive("a", repeatable)
	f.expect(f.decideTurn(true, 0), "dispatch a/1 to m1; ")
	f.status(false, loaded("m2", 4))
	f.expect(f.place("m2", 1, 0), "dispatch a/1 to m2; ")
	f.step(MachineLeaving{Machine: cluster.MachineID("m2")})
	f.expect(f.arrive("b", repeatable), "dispatch b/1 to m1; ")
}

// releasedTurns lists the turns that are returned among the effects.
func releasedTurns(effects []Effect) []int64 {
	var released []int64
	for _, effect := range effects {
		if release, ok := effect.(TurnReleased); ok {
			released = append(released, release.Turn.Number)
		}
	}
	return released
}

// TestLateTurnIsUsedOrReturned guards against a slot of a brittle machine that stays empty because the turn
// came after its request had been given up: requests that wait use it, and nobody keeps it otherwise.
func TestLateTurnIsUsedOrReturned(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4))
	f.step(MachineNoticeReceived{Machine: "m1", Notice: Notice{Brittle: 3}})
	if countTurnRequests(f.arrive("a")) != 1 {
		t.Fatal("no turn is requested for the first request")
	}
	f.expect(f.decideTurn(false, 100*time.Millisecond), "")
	late := func(number int64) []Effect {
		return f.step(TurnDecided{Machine: "m1", Granted: true, Turn: SlotTurn{Number: number, By: "pacer"}})
	}
	f.expect(late(1), "dispatch a/1 to m1; ")
	if released := releasedTurns(late(2)); len(released) != 1 || released[0] != 2 {
		t.Errorf("turns %v are returned though no request waits, want 2", released)
	}
	if released := releasedTurns(f.step(AttemptEnded{Request: "a", Attempt: 1})); len(released) != 1 || released[0] != 1 {
		t.Errorf("turns %v are returned when their request has ended, want 1", released)
	}
}

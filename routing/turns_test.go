package routing

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
)

// limited has machine m1 say that it takes so many requests a second.
func (f *fixture) limited(perSecond float64) []Effect {
	return f.step(MachineHeard{Machine: "m1", Notice: Notice{Limited: true, PerSecond: perSecond}})
}

func (f *fixture) turn(granted bool, wait time.Duration) []Effect {
	return f.step(TurnDecided{Machine: "m1", Granted: granted, Wait: wait})
}

// wanted counts the questions for turns.
func wanted(effects []Effect) int {
	count := 0
	for _, effect := range effects {
		if _, asks := effect.(TurnWanted); asks {
			count++
		}
	}
	return count
}

// TestRequestsTakeTurnsAtLimitedMachine guards against requests that are sent to a machine with
// a limit without a turn, or more than one by one turn.
func TestRequestsTakeTurnsAtLimitedMachine(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4))
	f.limited(1)
	if asked := wanted(f.arrive("a")); asked != 1 {
		t.Fatalf("%d questions for the first request", asked)
	}
	if asked := wanted(f.arrive("b")); asked != 0 {
		t.Fatalf("%d more questions while one is under way", asked)
	}
	f.expect(f.turn(true, 500*time.Millisecond), "")
	f.expect(f.pass(499*time.Millisecond), "")
	effects := f.pass(time.Millisecond)
	f.expect(effects, "dispatch a/1 to m1; ")
	if wanted(effects) != 1 {
		t.Fatal("no turn is asked for though another request waits")
	}
	f.expect(f.turn(false, time.Second), "")
	if asked := wanted(f.pass(999 * time.Millisecond)); asked != 0 {
		t.Fatal("a turn is asked for before the time told")
	}
	if asked := wanted(f.pass(time.Millisecond)); asked != 1 {
		t.Fatal("no turn is asked for at the time told")
	}
}

// TestMachineWithoutLimitIsPreferred guards against requests that wait for a turn while another
// machine has room.
func TestMachineWithoutLimitIsPreferred(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4), loaded("m2", 4))
	f.limited(1)
	f.expect(f.arrive("a"), "dispatch a/1 to m2; ")
}

// TestRequestBeyondLimitIsRefusedAtOnce guards against requests that are kept until their caller
// leaves though no machine takes them in time.
func TestRequestBeyondLimitIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4))
	f.limited(1)
	f.arrive("a", within(2*time.Second))
	f.arrive("b", within(9*time.Second))
	failure := finished(t, f.turn(false, 3*time.Second)).Failure
	if failure.Verdict != verdict.NotRun || failure.RetryAfter < 3*time.Second {
		t.Errorf("ended by %v, to come back after %s", failure, failure.RetryAfter)
	}
	if f.router.Waiting() != 1 {
		t.Errorf("%d wait, the one with time does", f.router.Waiting())
	}
	failure = finished(t, f.arrive("c", within(time.Second))).Failure
	if failure.Verdict != verdict.NotRun || failure.RetryAfter < 3*time.Second {
		t.Errorf("a later one ended by %v, to come back after %s", failure, failure.RetryAfter)
	}
}

// TestLimitEndsByAnswerSentUnderIt guards against a limit that ends by an answer from before it,
// and against one that never ends.
func TestLimitEndsByAnswerSentUnderIt(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4))
	f.limited(1)
	f.step(MachineHeard{Machine: "m1"})
	f.expect(f.arrive("a"), "")
	effects := f.step(MachineHeard{Machine: "m1", SentUnderLimit: true})
	f.expect(effects, "dispatch a/1 to m1; ")
	for _, effect := range effects {
		if found, tells := effect.(MachineLimitFound); tells && !found.Notice.Limited {
			return
		}
	}
	t.Error("the other routers are not told of the end")
}

// TestLeavingThatAnAnswerToldStays guards against requests to a machine whose answer said that it
// leaves, once its cell's status, which is older, says that it stays.
func TestLeavingThatAnAnswerToldStays(t *testing.T) {
	f := newPlacedFixture(t)
	f.status(true, loaded("m1", 4))
	f.arrive("a", repeatable)
	effects := f.step(MachineHeard{Machine: "m1", Request: "z", Notice: Notice{Leaving: true}})
	if len(effects) != 1 || effects[0] != (MachineLeavingFound{Machine: "m1", Request: "z"}) {
		t.Errorf("found: %v", effects)
	}
	f.status(true, loaded("m1", 4))
	f.expect(f.placed("m1", 1, 0), "")
	f.expect(f.step(MachineHeard{Machine: "m1", SentUnderLimit: true}), "")
	f.status(true, loaded("m1", 8))
	if f.router.Waiting() != 1 {
		t.Error("the kept attempt does not wait for another machine")
	}
	f.expect(f.status(false, loaded("m2", 4)), "dispatch a/2 to m2; ")
}

// rests has machine m1 say that it wants nothing for a time.
func (f *fixture) rests(length time.Duration) []Effect {
	return f.step(MachineHeard{Machine: "m1", Request: "z", Notice: Notice{Rest: length}})
}

// TestMachineGetsTheRestThatItWants guards against requests, new ones, retries and those that are
// kept for their time, that are sent to a machine which wants rest; the latest end counts.
func TestMachineGetsTheRestThatItWants(t *testing.T) {
	f := newPlacedFixture(t)
	f.status(true, loaded("m1", 4))
	f.arrive("a", repeatable)
	f.rests(3 * time.Second)
	f.rests(time.Second)
	f.expect(f.placed("m1", 1, 0), "")
	f.expect(f.arrive("b"), "")
	f.expect(f.pass(2999*time.Millisecond), "")
	f.expect(f.pass(time.Millisecond), "dispatch a/2 to m1; dispatch b/1 to m1; ")
}

// TestCallersAreToldOfTheRest guards against callers that are kept until they leave while all
// machines want rest, or told to come back before it is over.
func TestCallersAreToldOfTheRest(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4))
	f.step(MachineHeard{Machine: "m1", Notice: Notice{Limited: true, PerSecond: 1}})
	f.arrive("a", within(2*time.Second))
	failure := finished(t, f.rests(3*time.Second)).Failure
	if failure.Verdict != verdict.NotRun || failure.RetryAfter < 3*time.Second {
		t.Errorf("ended by %v, to come back after %s", failure, failure.RetryAfter)
	}
	f.status(false, loaded("m2", 4))
	f.expect(f.arrive("b", within(time.Second)), "dispatch b/1 to m2; ")
}

// TestOtherRoutersAreToldOnce guards against a limit of which only one router knows, and against
// one that each answer spreads anew.
func TestOtherRoutersAreToldOnce(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4))
	told := 0
	for _, rate := range []float64{2, 2, 2.1, 3, 3} {
		for _, effect := range f.limited(rate) {
			if _, tells := effect.(MachineLimitFound); tells {
				told++
			}
		}
	}
	if told != 2 {
		t.Errorf("told %d times, want when it is new and when it has changed", told)
	}
	f.step(MachineLimitTold{Machine: "m1", Notice: Notice{Limited: true, PerSecond: 8}})
	for _, effect := range f.limited(8) {
		if _, tells := effect.(MachineLimitFound); tells {
			t.Error("told on what another router told")
		}
	}
}

// TestKeptAttemptLosesItsTurn guards against attempts that are kept for their time at an engine
// and sent long after their turn, or at a machine that named a limit meanwhile.
func TestKeptAttemptLosesItsTurn(t *testing.T) {
	f := newPlacedFixture(t)
	f.status(true, loaded("m1", 4))
	f.arrive("a", repeatable)
	f.limited(1)
	f.expect(f.placed("m1", 1, 0), "")
	f.turn(true, 0)
	f.expect(f.placed("m1", 2, 0), "dispatch a/2 to m1; ")

	f = newPlacedFixture(t)
	f.status(true, loaded("m1", 4))
	f.limited(1)
	f.arrive("a", repeatable)
	f.expect(f.turn(true, 0), "dispatch a/1 to m1; ")
	f.now = f.now.Add(sendWithin + time.Millisecond)
	f.expect(f.placed("m1", 1, 0), "")
}

// TestTurnGoesBackWithItsAttempt guards against turns that are lost when an attempt goes to
// another machine than its node had chosen.
func TestTurnGoesBackWithItsAttempt(t *testing.T) {
	f := newPlacedFixture(t)
	f.status(true, loaded("m1", 4))
	f.limited(1)
	f.arrive("a", repeatable)
	f.expect(f.turn(true, 0), "dispatch a/1 to m1; ")
	f.status(false, loaded("m2", 4))
	f.expect(f.placed("m2", 1, 0), "dispatch a/1 to m2; ")
	f.step(MachineLeaving{Machine: cluster.MachineID("m2")})
	f.expect(f.arrive("b", repeatable), "dispatch b/1 to m1; ")
}

package routing

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

// newPlacedFixture returns a router whose dispatches wait for AttemptPlaced.
func newPlacedFixture(t *testing.T) *fixture {
	f := newFixture(t, testPolicy())
	f.router.config.ListAlternatives = func(cluster.ModelID) bool { return true }
	return f
}

// place places an attempt of request a on a machine, with the given prefill time of the prompt.
func (f *fixture) place(machine cluster.MachineID, attempt cluster.Attempt, read time.Duration) []Effect {
	return f.step(AttemptPlaced{Request: "a", Attempt: attempt, Machine: machine, Forecast: Forecast{Read: read}})
}

// finishOf returns the first Finish among the effects.
func finishOf(t *testing.T, effects []Effect) Finish {
	t.Helper()
	for _, effect := range effects {
		if finish, ok := effect.(Finish); ok {
			return finish
		}
	}
	t.Fatalf("no Finish among %s", describe(effects))
	return Finish{}
}

// TestUnsentAttemptIsFinishedAsNotRun guards against a request that is reported as possibly run
// though its attempt was never sent. Its caller may retry it, no attempt is to be cancelled, and
// its content is not suspected when the machine ends.
func TestUnsentAttemptIsFinishedAsNotRun(t *testing.T) {
	content := poison.Fingerprint{1}
	for _, test := range []struct {
		name string
		sent bool
		want verdict.Verdict
	}{{"unsent", false, verdict.NotRun}, {"sent", true, verdict.MayHaveRun}} {
		f := newPlacedFixture(t)
		f.status(true, loaded("m1", 4))
		f.arrive("a", withDeadline(time.Second), func(r *Request) { r.Content = content })
		if test.sent {
			f.place("m1", 1, 0)
		}
		effects := f.advance(time.Second)
		if got := finishOf(t, effects).Failure.Verdict; got != test.want {
			t.Errorf("%s: %s, want %s", test.name, got, test.want)
		}
		_, cancelled := effects[0].(CancelAttempt)
		if cancelled != test.sent {
			t.Errorf("%s: %s", test.name, describe(effects))
		}
	}
}

// TestHeldRouterDoesNotSendPlacedAttempt guards against sending by outdated knowledge of machines:
// an attempt that is placed during a hold waits like all others.
func TestHeldRouterDoesNotSendPlacedAttempt(t *testing.T) {
	f := newPlacedFixture(t)
	f.status(true, loaded("m1", 4))
	f.arrive("a", repeatable)
	f.step(DispatchesPaused{Until: f.now.Add(time.Second)})
	f.expect(f.place("m1", 1, 0), "")
	f.expect(f.step(DispatchesResumed{}), "dispatch a/2 to m1; ")
	f.expect(f.place("m1", 2, 0), "dispatch a/2 to m1; ")
}

// TestMachineWithoutModelIsNotBackedOff guards against a back-off of a machine that unloaded the
// model before the attempt was sent: it never got the attempt, and still serves its other models.
func TestMachineWithoutModelIsNotBackedOff(t *testing.T) {
	f := newPlacedFixture(t)
	f.status(true, loaded("m1", 4))
	f.arrive("a", repeatable)
	given := loaded("m1", 4)
	given.State = cluster.ReplicaAbsent
	f.status(false, given, loaded("m2", 4))
	f.expect(f.place("m1", 1, 0), "dispatch a/2 to m2; ")
	m1 := f.router.machines["m1"]
	if m1.failures.rate > 0 || m1.maxInFlightUntil > 0 || m1.inFlight != 0 {
		t.Errorf("failure rate %.2f, backed off until %d, %d in flight", m1.failures.rate, m1.maxInFlightUntil, m1.inFlight)
	}
	if tries := f.router.requests["a"].countedAttempts; tries != 1 {
		t.Errorf("%d attempts counted, want 1", tries)
	}
}

// TestSecondPlacementIsIgnored guards against a second AttemptPlaced that sends a running attempt
// again.
func TestSecondPlacementIsIgnored(t *testing.T) {
	f := newPlacedFixture(t)
	f.status(true, loaded("m1", 4), loaded("m2", 4))
	f.arrive("a", repeatable)
	f.expect(f.place("m1", 1, 0), "dispatch a/1 to m1; ")
	f.expect(f.place("m2", 1, 0), "")
}

// TestPrefillIsCountedOnceAcrossRetries guards against counting a prompt twice in the demand when
// it is sent again because the first machine could not be reached.
func TestPrefillIsCountedOnceAcrossRetries(t *testing.T) {
	f := newPlacedFixture(t)
	f.status(true, loaded("m1", 4), loaded("m2", 4))
	f.arrive("a", repeatable, func(r *Request) { r.PromptTokens = 9000 })
	const read = 100 * time.Millisecond
	f.place("m1", 1, read)
	once := f.router.models["chat"].arrivedTokens
	f.step(AttemptEnded{Request: "a", Attempt: 1, Failure: verdict.New(verdict.NotRun, verdict.CodeUnavailable, "refused"), Unreached: true})
	f.place("m2", 2, read)
	if again := f.router.models["chat"].arrivedTokens; again != once {
		t.Errorf("%d prompt tokens after the second attempt, %d after the first", again, once)
	}
}

// TestMovedAttemptRemovesOnlyItsOwnDispatch guards against an attempt that is placed on another
// machine and removes dispatch times of other attempts from the first machine, so that its next
// load report is misread.
func TestMovedAttemptRemovesOnlyItsOwnDispatch(t *testing.T) {
	f := newPlacedFixture(t)
	f.status(true, loaded("m1", 4))
	f.arrive("a", repeatable)
	f.advance(100 * time.Millisecond)
	f.arrive("b", repeatable)
	later := f.now.UnixNano()
	f.status(false, loaded("m2", 4))
	f.place("m2", 1, 0)
	if recent := f.router.machines["m1"].recentDispatches; len(recent) != 1 || recent[0] != later {
		t.Errorf("dispatch times of m1 are %v, want only the later one, %d", recent, later)
	}
}

// TestDrainRefusesUnsentAttempts guards against unsent attempts that a draining node keeps: it ends
// soon, and another node can serve them.
func TestDrainRefusesUnsentAttempts(t *testing.T) {
	f := newPlacedFixture(t)
	f.status(true, []wire.ReplicaRecord{loaded("m1", 4)}...)
	f.arrive("a", repeatable)
	failure := finishOf(t, f.step(DrainStarted{})).Failure
	if failure.Verdict != verdict.NotRun || failure.Code != verdict.CodeNodeDraining {
		t.Errorf("finished with %v", failure)
	}
}

// TestWithdrawnAttemptFreesItsSlot guards against a withdrawn attempt whose slot stays unused while
// another request waits for the machine.
func TestWithdrawnAttemptFreesItsSlot(t *testing.T) {
	f := newPlacedFixture(t)
	f.status(true, loaded("m1", 1))
	f.arrive("a", repeatable)
	f.expect(f.arrive("b", repeatable), "")
	withdrawn := RequestWithdrawn{Request: "a", Failure: verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the API key was revoked")}
	f.expect(f.step(withdrawn), "finish a unauthorized not-run; dispatch b/1 to m1; ")
}

package routing

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/verdict"
)

// reportSilent reports the first attempt of request a as silent.
func (f *fixture) reportSilent() []Effect { return f.step(AttemptSilent{Request: "a", Attempt: 1}) }

// endCancelled ends the first attempt of request a after its cancellation.
func (f *fixture) endCancelled(code verdict.Code) []Effect {
	return f.step(AttemptEnded{Request: "a", Attempt: 1, Failure: verdict.New(verdict.Ran, code, "cut")})
}

// TestSilentAttemptMovesOnce guards against a silent attempt that is not moved to a machine with
// room, or is moved or paid for twice.
func TestSilentAttemptMovesOnce(t *testing.T) {
	f := newWindowFixture(t, 1)
	f.status(true, loaded("m1", 4))
	f.expect(f.arrive("a", repeatable), "dispatch a/1 to m1; ")
	f.status(false, loaded("m2", 4))
	f.expect(f.reportSilent(), "cancel a/1 at m1; ")
	f.expect(f.reportSilent(), "")
	f.expect(f.endCancelled(verdict.CodeStreamCut), "dispatch a/2 to m2; ")
	f.expect(f.step(AttemptEnded{Request: "a", Attempt: 2}), "finish a; ")
}

// TestSilentAttemptGoesOnIfItMayNotMove guards against the cancellation of a silent attempt whose
// end would end the request or run it twice.
func TestSilentAttemptGoesOnIfItMayNotMove(t *testing.T) {
	for _, test := range []struct {
		name    string
		budget  float64
		machine string
		change  func(*Request)
		begun   bool
	}{
		{"no budget", 0, "m2", repeatable, false},
		{"no other machine", 1, "", repeatable, false},
		{"not repeatable", 1, "m2", func(*Request) {}, false},
		{"one attempt", 1, "m2", func(r *Request) { r.Repeatable, r.Attempts = true, 1 }, false},
		{"answer that can't be continued", 1, "m2", repeatable, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newWindowFixture(t, test.budget)
			f.status(true, loaded("m1", 4))
			f.arrive("a", test.change)
			if test.machine != "" {
				f.status(false, loaded("m2", 4))
			}
			if test.begun {
				f.step(FirstByteSent{Request: "a"})
			}
			f.expect(f.reportSilent(), "")
			f.expect(f.step(AttemptEnded{Request: "a", Attempt: 1}), "finish a; ")
		})
	}
}

// TestFullMachineIsNoMoveTarget guards against a move to a machine without a free slot.
func TestFullMachineIsNoMoveTarget(t *testing.T) {
	f := newWindowFixture(t, 9)
	f.status(true, loaded("m1", 1))
	f.expect(f.arrive("a", repeatable), "dispatch a/1 to m1; ")
	f.status(false, loaded("m2", 1))
	f.expect(f.arrive("b", repeatable), "dispatch b/1 to m2; ")
	f.expect(f.reportSilent(), "")
	f.step(AttemptEnded{Request: "b", Attempt: 1})
	f.expect(f.reportSilent(), "cancel a/1 at m1; ")
}

// TestMoveIsDroppedWhenNoLongerNeeded guards against sending a request to another machine after its
// caller left or its answer began, although the retry was paid for.
func TestMoveIsDroppedWhenNoLongerNeeded(t *testing.T) {
	begin := func(f *fixture) { f.step(FirstByteSent{Request: "a"}) }
	for _, test := range []struct {
		code   verdict.Code
		before func(*fixture)
		want   string
	}{
		{verdict.CodeDeadlineExceeded, func(*fixture) {}, "finish a deadline_exceeded ran; "},
		{verdict.CodeStreamCut, begin, "finish a stream_cut ran; "},
	} {
		f := newWindowFixture(t, 1)
		f.status(true, loaded("m1", 4))
		f.arrive("a", repeatable, withDeadline(10*time.Second))
		f.status(false, loaded("m2", 4))
		f.expect(f.reportSilent(), "cancel a/1 at m1; ")
		test.before(f)
		f.expect(f.endCancelled(test.code), test.want)
	}
}

// TestSlotIsReservedForMove guards against giving the reserved slot to another request during the
// cancellation, and against a slot that stays reserved when the move is dropped.
func TestSlotIsReservedForMove(t *testing.T) {
	f := newWindowFixture(t, 9)
	f.status(true, loaded("m1", 1))
	f.expect(f.arrive("a", repeatable), "dispatch a/1 to m1; ")
	f.status(false, loaded("m2", 1))
	f.expect(f.reportSilent(), "cancel a/1 at m1; ")
	f.expect(f.arrive("b", repeatable), "")
	f.expect(f.endCancelled(verdict.CodeStreamCut), "dispatch a/2 to m2; ")

	f = newWindowFixture(t, 9)
	f.status(true, loaded("m1", 1))
	f.arrive("a", repeatable)
	f.status(false, loaded("m2", 1))
	f.expect(f.reportSilent(), "cancel a/1 at m1; ")
	f.expect(f.arrive("b", repeatable), "")
	f.expect(f.step(CallerGone{Request: "a"}), "cancel a/1 at m1; finish a caller_gone may-have-run; dispatch b/1 to m2; ")
}

// TestUnusedMoveIsRefunded guards against a retry budget that loses a retry when the silent attempt
// succeeds after all.
func TestUnusedMoveIsRefunded(t *testing.T) {
	f := newWindowFixture(t, 1)
	f.status(true, loaded("m1", 4))
	f.arrive("a", repeatable)
	f.status(false, loaded("m2", 4))
	f.expect(f.reportSilent(), "cancel a/1 at m1; ")
	f.expect(f.step(AttemptEnded{Request: "a", Attempt: 1}), "finish a; ")
	f.arrive("b", repeatable)
	got := f.failAttempt("b", 1, verdict.MayHaveRun)
	if len(got) != 1 {
		t.Fatalf("effects %q, want another attempt", describe(got))
	}
	if _, again := got[0].(Dispatch); !again {
		t.Fatalf("effects %q, want another attempt", describe(got))
	}
}

// TestNoMoveWithoutTimeLeftOrWhileDraining guards against the move of a request with too little
// time for another attempt, or on a draining node.
func TestNoMoveWithoutTimeLeftOrWhileDraining(t *testing.T) {
	objective := func(r *Request) { r.Repeatable, r.Objective, r.Deadline = true, time.Second, start.Add(10*time.Second) }
	f := newWindowFixture(t, 9)
	f.status(true, loaded("m1", 4))
	f.expect(f.arrive("a", objective), "dispatch a/1 to m1; ")
	f.status(false, loaded("m2", 4))
	f.advance(9500 * time.Millisecond)
	f.expect(f.reportSilent(), "")

	f = newWindowFixture(t, 9)
	f.status(true, loaded("m1", 4))
	f.arrive("a", objective)
	f.status(false, loaded("m2", 4))
	f.step(DrainStarted{})
	f.expect(f.reportSilent(), "")
}

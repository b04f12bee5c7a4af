package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/verdict"
)

// TestEndOfLeavingMachineBlocksNoRequest guards against blocking a request whose machine
// ended as planned after it announced that it was leaving.
func TestEndOfLeavingMachineBlocksNoRequest(t *testing.T) {
	content := poison.Fingerprint{7}
	for name, leaves := range map[string]bool{"leaving": true, "ended": false} {
		router := New(Config{}, 1)
		for n := range 4 {
			m := &machine{id: cluster.MachineID(rune('a' + n)), leavingListed: leaves}
			router.now = time.Unix(int64(100+n), 0)
			router.recordEvidence(&request{Request: Request{Content: content}}, m, &AttemptEnded{
				Broken: true, MachineEnded: true, Failure: verdict.New(verdict.MayHaveRun, verdict.CodeEngineFailed, "broke"),
			})
		}
		if router.blocked(content) == leaves {
			t.Errorf("%s machines: request convicted %v", name, !leaves)
		}
	}
}

// block ends machines under a content until it is blocked.
func (f *fixture) block(content poison.Fingerprint) {
	for n := 0; !f.router.blocked(content); n++ {
		m := &machine{id: cluster.MachineID(fmt.Sprintf("ended-%v-%d", content[0], n))}
		f.router.recordEvidence(&request{Request: Request{Content: content}}, m, &AttemptEnded{
			Broken: true, MachineEnded: true, Failure: verdict.New(verdict.MayHaveRun, verdict.CodeEngineFailed, "broke"),
		})
	}
}

// TestPoisonProbesRunOneAtATime guards against blocking an innocent request because the
// machine on which it is probed ends under a harmful one probed at the same time.
func TestPoisonProbesRunOneAtATime(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4))
	harmful, innocent := poison.Fingerprint{1}, poison.Fingerprint{2}
	of := func(content poison.Fingerprint) func(*Request) {
		return func(r *Request) { r.Content = content }
	}
	for _, content := range []poison.Fingerprint{harmful, innocent} {
		f.block(content)
		f.step(PoisonProbeGranted{Content: content})
	}
	f.expect(f.arrive("a", of(harmful)), "dispatch a/1 to m1; ")
	if failure := finishOf(t, f.arrive("b", of(innocent))).Failure; failure == nil || failure.Code != verdict.CodePoisonRequest {
		t.Fatalf("the second test during the first finished with %v", failure)
	}
	f.step(AttemptEnded{Request: "a", Attempt: 1})
	f.expect(f.arrive("c", of(innocent)), "dispatch c/1 to m1; ")
}

// suspect lets one machine end under a content.
func (f *fixture) suspect(content poison.Fingerprint) {
	m := &machine{id: cluster.MachineID(fmt.Sprintf("ended-%v", content[0]))}
	f.router.recordEvidence(&request{Request: Request{Content: content}}, m, &AttemptEnded{
		Broken: true, MachineEnded: true, Failure: verdict.New(verdict.MayHaveRun, verdict.CodeEngineFailed, "broke"),
	})
}

func withContent(content poison.Fingerprint) func(*Request) {
	return func(r *Request) { r.Content = content }
}

// failUnderEnd ends an attempt because its machine has ended.
func (f *fixture) failUnderEnd(id cluster.RequestID, attempt cluster.Attempt, content poison.Fingerprint) []Effect {
	return f.step(AttemptEnded{
		Request: id, Attempt: attempt, Broken: true, MachineEnded: true, Content: content,
		Failure: verdict.New(verdict.MayHaveRun, verdict.CodeEngineFailed, "broke"),
	})
}

// TestCopiesOfSuspectWaitInsteadOfBeingRefused guards against refusing a popular request as harmful
// while a copy of it waits for a machine: a machine had ended under it, and the copy waited for
// seconds for its turn at machines with rate limits.
func TestCopiesOfSuspectWaitInsteadOfBeingRefused(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4))
	f.reportLimit(1)
	popular := poison.Fingerprint{2}
	f.suspect(popular)
	f.expect(f.arrive("a", withContent(popular)), "")
	f.advance(2 * time.Second)
	f.expect(f.arrive("b", withContent(popular)), "")
	f.expect(f.arrive("c", withContent(popular)), "")
	f.step(MachineNoticeReceived{Machine: "m1", SentUnderLimit: true})
	if f.router.InFlight() != 3 || f.router.Waiting() != 2 {
		t.Fatalf("%d in flight, %d waiting; want one that runs and two that wait", f.router.InFlight(), f.router.Waiting())
	}
	f.expect(f.arrive("other"), "dispatch other/1 to m1; ")
	f.expect(f.step(AttemptEnded{Request: "a", Attempt: 1}), "finish a; dispatch b/1 to m1; dispatch c/1 to m1; ")
}

// TestCopiesOfSuspectRunOneAtATime guards against ending one machine for each copy of a harmful
// request that waits: after each end the next copy runs, and at the block the rest is refused.
func TestCopiesOfSuspectRunOneAtATime(t *testing.T) {
	f := newFixture(t, testPolicy())
	harmful := poison.Fingerprint{1}
	for _, id := range []cluster.RequestID{"a", "b", "c", "d"} {
		f.arrive(id, withContent(harmful))
	}
	f.suspect(harmful)
	f.expect(f.status(true, loaded("m1", 4), loaded("m2", 4), loaded("m3", 4)), "dispatch a/1 to m3; ")
	f.expect(f.failUnderEnd("a", 1, harmful), "finish a engine_failed may-have-run; dispatch b/1 to m2; ")
	f.expect(f.failUnderEnd("b", 1, harmful), "finish b engine_failed may-have-run; finish c poison_request not-run; finish d poison_request not-run; ")
}

// TestHeldCopyIsReleasedWhenRunningOneLeaves guards against copies that wait behind one whose
// machine is silent or whose caller left, and against held requests that outlive their deadline.
func TestHeldCopyIsReleasedWhenRunningOneLeaves(t *testing.T) {
	popular := poison.Fingerprint{2}
	for name, leave := range map[string]func(f *fixture) []Effect{
		"machine silent":   func(f *fixture) []Effect { return f.step(AttemptSilent{Request: "a", Attempt: 1}) },
		"request pardoned": func(f *fixture) []Effect { return f.step(PoisonPardoned{Content: popular}) },
		"caller gone":      func(f *fixture) []Effect { return f.step(CallerGone{Request: "a"})[2:] },
	} {
		f := newFixture(t, testPolicy())
		f.status(true, loaded("m1", 4))
		f.suspect(popular)
		f.expect(f.arrive("a", withContent(popular)), "dispatch a/1 to m1; ")
		f.expect(f.arrive("b", withContent(popular), withDeadline(3*time.Second)), "")
		f.expect(f.arrive("c", withContent(popular), withDeadline(time.Second)), "")
		f.expect(f.advance(time.Second), "finish c deadline_exceeded not-run; ")
		if got := describe(leave(f)); got != "dispatch b/1 to m1; " {
			t.Errorf("%s: effects %q", name, got)
		}
	}
}

// TestHeldCopiesAreRefusedAtDrain guards against held requests that a stopping node forgets.
func TestHeldCopiesAreRefusedAtDrain(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4))
	f.suspect(poison.Fingerprint{2})
	f.arrive("a", withContent(poison.Fingerprint{2}))
	f.arrive("b", withContent(poison.Fingerprint{2}))
	f.expect(f.step(DrainStarted{}), "finish b node_draining not-run; ")
	f.expect(f.step(AttemptEnded{Request: "a", Attempt: 1}), "finish a; ")
}

// TestRequestsOfThrottledCallerWait guards against refusing all requests of a caller while one of
// them waits for a machine. Callers that can't be identified count as one. An end under the one
// that runs refuses the others until the longer wait is over.
func TestRequestsOfThrottledCallerWait(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4))
	for n := range 3 {
		f.now = f.now.Add(time.Second)
		id := cluster.RequestID(fmt.Sprintf("harmful-%d", n))
		content := poison.Fingerprint{10 + byte(n)}
		f.arrive(id, withContent(content))
		f.failUnderEnd(id, 1, content)
		f.status(false, loaded("m1", 4))
	}
	if failure := finishOf(t, f.arrive("early")).Failure; failure == nil || failure.Code != verdict.CodePoisonRequest {
		t.Fatalf("a request within the wait finished with %v", failure)
	}
	f.advance(2 * time.Second)
	f.reportLimit(1)
	f.expect(f.arrive("a", withContent(poison.Fingerprint{20})), "")
	f.expect(f.arrive("b", withContent(poison.Fingerprint{21})), "")
	f.expect(f.decideTurn(true, 0), "dispatch a/1 to m1; ")
	f.step(MachineNoticeReceived{Machine: "m1", SentUnderLimit: true})
	if f.router.Waiting() != 1 {
		t.Fatalf("%d requests wait, want the second one", f.router.Waiting())
	}
	failed := f.failUnderEnd("a", 1, poison.Fingerprint{20})
	f.expect(failed, "finish a engine_failed may-have-run; finish b poison_request not-run; ")
	if after := failed[1].(Finish).Failure.RetryAfter; after != 2*time.Second {
		t.Errorf("the second request is told to return after %s, want 2s", after)
	}
}

// TestWaitingProbeKeepsNoOtherFromRunning guards against an innocent request that stays blocked
// because the probe of another one waits for a machine.
func TestWaitingProbeKeepsNoOtherFromRunning(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4))
	f.reportLimit(1)
	harmful, innocent := poison.Fingerprint{1}, poison.Fingerprint{2}
	for _, content := range []poison.Fingerprint{harmful, innocent} {
		f.block(content)
		f.step(PoisonProbeGranted{Content: content})
	}
	f.expect(f.arrive("a", withContent(harmful)), "")
	f.expect(f.arrive("b", withContent(innocent)), "")
	f.expect(f.step(MachineNoticeReceived{Machine: "m1", SentUnderLimit: true}), "dispatch a/1 to m1; ")
	f.expect(f.step(AttemptEnded{Request: "a", Attempt: 1}), "finish a; dispatch b/1 to m1; ")
}

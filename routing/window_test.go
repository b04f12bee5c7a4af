package routing

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
)

// newWindowFixture returns a core whose budget is counted over a window.
func newWindowFixture(t *testing.T, extra float64) *fixture {
	f := &fixture{t: t, now: start, router: New(Config{
		Zone: "z1", Region: "r1", ExpectedRouters: 1, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: extra,
		FailurePenalty: time.Second,
	}, 1)}
	f.step(SettingsChanged{Snapshot: testSnapshot(testPolicy())})
	return f
}

// TestWindowBudgetCountsRefusedSends: sending again what an engine refused is paid
// for as well, and the window gives back what it took.
func TestWindowBudgetCountsRefusedSends(t *testing.T) {
	f := newWindowFixture(t, 2)
	f.status(true, loaded("m1", 4), loaded("m2", 4))
	refuse := func(attempt cluster.Attempt) string {
		return describe(f.step(AttemptEnded{
			Request: "a", Attempt: attempt, EngineFull: true,
			Failure: verdict.New(verdict.NotRun, verdict.CodeEngineRefused, "full"),
		}))
	}
	f.arrive("a")
	if got := refuse(1); got == "" || got[:8] != "dispatch" {
		t.Fatalf("first refusal: %q, want another dispatch", got)
	}
	f.pass(50 * time.Millisecond)
	refuse(2)
	f.pass(time.Second)
	if got := refuse(3); got != "finish a engine_refused not-run; " {
		t.Fatalf("third refusal: %q, want the end for lack of budget", got)
	}
	f.pass(11 * time.Second)
	f.arrive("b")
	got := describe(f.step(AttemptEnded{
		Request: "b", Attempt: 1, EngineFull: true, Failure: verdict.New(verdict.NotRun, verdict.CodeEngineRefused, "full"),
	}))
	if got == "" || got[:8] != "dispatch" {
		t.Fatalf("after the window: %q, want another dispatch", got)
	}
}

// TestWindowBudgetHolds draws requests and attempts past the first and checks the
// bound over every window.
func TestWindowBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 6}
		routers := rapid.IntRange(1, 4).Draw(t, "routers")
		budget := &windowBudget{}
		now := start.UnixNano()
		var requests, extras []int64
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += int64(rapid.IntRange(0, 900).Draw(t, "pause")) * int64(time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				budget.earn(now, &config)
				requests = append(requests, now)
			} else if budget.spend(now, &config, routers) {
				extras = append(extras, now)
			}
		}
		count := func(times []int64, from, to int64) (n int) {
			for _, at := range times {
				if at > from && at <= to {
					n++
				}
			}
			return n
		}
		window := int64(config.RetryWindow)
		for _, end := range extras {
			// Slices of the window leave as a whole, so a request counts for at most
			// one slice less than the window.
			allowed := config.RetryRatio*float64(count(requests, end-window, end)) + config.RetryExtra/float64(routers)
			if got := count(extras, end-window+window/windowSlices, end); float64(got) > allowed {
				t.Fatalf("%d attempts past the first in a window that allows %.1f", got, allowed)
			}
		}
	})
}

// TestUnreachedAttemptCostsNothing: where no connection was had nothing was sent, so
// neither the attempts nor the budget are touched.
func TestUnreachedAttemptCostsNothing(t *testing.T) {
	f := newWindowFixture(t, 0)
	f.status(true, loaded("m1", 4), loaded("m2", 4), loaded("m3", 4))
	f.arrive("a", func(r *Request) { r.Attempts = 1 })
	for attempt := cluster.Attempt(1); attempt <= 2; attempt++ {
		effects := f.step(AttemptEnded{
			Request: "a", Attempt: attempt, Unreached: true,
			Failure: verdict.New(verdict.NotRun, verdict.CodeEngineFailed, "no connection"),
		})
		if got := describe(effects); got == "" || got[:8] != "dispatch" {
			t.Fatalf("attempt %d: %q, want another dispatch", attempt, got)
		}
	}
}

// TestAttemptsOfTheRequest bound its dispatches in place of the policy's.
func TestAttemptsOfTheRequest(t *testing.T) {
	f := newWindowFixture(t, 10)
	f.status(true, loaded("m1", 4), loaded("m2", 4), loaded("m3", 4))
	effects := f.arrive("a", repeatable, func(r *Request) { r.Attempts = 2 })
	if dispatch, ok := effects[0].(Dispatch); !ok || dispatch.Final {
		t.Fatalf("first dispatch %+v, want one that another may follow", effects[0])
	}
	effects = f.fails("a", 1, verdict.MayHaveRun)
	if dispatch, ok := effects[0].(Dispatch); !ok || !dispatch.Final {
		t.Fatalf("second dispatch %+v, want the final one", effects)
	}
	f.expect(f.fails("a", 2, verdict.MayHaveRun), "finish a engine_failed may-have-run; ")
}

// TestResumableGoesOnAfterItsFirstByte, other answers don't.
func TestResumableGoesOnAfterItsFirstByte(t *testing.T) {
	f := newWindowFixture(t, 10)
	f.status(true, loaded("m1", 4), loaded("m2", 4))
	f.arrive("a", repeatable, func(r *Request) { r.Attempts, r.Resumable = 2, true })
	f.step(FirstByteSent{Request: "a"})
	if got := describe(f.fails("a", 1, verdict.Ran)); got == "" || got[:8] != "dispatch" {
		t.Fatalf("after a cut: %q, want another dispatch", got)
	}
	f.arrive("b", repeatable, func(r *Request) { r.Attempts = 2 })
	f.step(FirstByteSent{Request: "b"})
	f.expect(f.fails("b", 1, verdict.Ran), "finish b engine_failed ran; ")
}

// TestFailingMachineIsAvoided: a machine that answers with failures is passed by
// while another one is sound, without being left out.
func TestFailingMachineIsAvoided(t *testing.T) {
	f := newWindowFixture(t, 100)
	f.status(true, loaded("m1", 8), loaded("m2", 8))
	for n := range 12 {
		id := cluster.RequestID(fmt.Sprintf("r%d", n))
		effects := f.arrive(id)
		dispatch, ok := effects[0].(Dispatch)
		if !ok {
			t.Fatalf("effects %v", effects)
		}
		if n >= 6 && dispatch.Machine == "m1" {
			t.Fatalf("request %d went to the failing machine", n)
		}
		event := AttemptEnded{Request: id, Attempt: 1}
		if dispatch.Machine == "m1" {
			event.Answered = true
			event.Failure = verdict.New(verdict.Ran, verdict.CodeEngineFailed, "failed")
		}
		f.step(event)
	}
}

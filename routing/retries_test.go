package routing

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/verdict"
)

// newWindowFixture returns a router with a retry budget over a sliding window.
func newWindowFixture(t *testing.T, extra float64) *fixture {
	f := &fixture{t: t, now: start, router: New(Config{
		Zone: "z1", Region: "r1", ExpectedRouters: 1, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: extra,
		FirstStart: true, FailurePenalty: time.Second,
	}, 1)}
	f.step(SettingsChanged{Snapshot: testSnapshot(testPolicy())})
	return f
}

// TestWindowBudgetCountsResends guards against resends after an engine's refusal that the budget
// doesn't count, and against retries that are not available again after the window.
func TestWindowBudgetCountsResends(t *testing.T) {
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
	f.advance(50 * time.Millisecond)
	refuse(2)
	f.advance(time.Second)
	if got := refuse(3); got != "finish a engine_refused not-run; " {
		t.Fatalf("third refusal: %q, want the end because of the retry budget", got)
	}
	f.advance(11 * time.Second)
	f.arrive("b")
	got := describe(f.step(AttemptEnded{
		Request: "b", Attempt: 1, EngineFull: true, Failure: verdict.New(verdict.NotRun, verdict.CodeEngineRefused, "full"),
	}))
	if got == "" || got[:8] != "dispatch" {
		t.Fatalf("after the window: %q, want another dispatch", got)
	}
}

// TestWindowBudgetBoundsEveryWindow guards against a sequence of requests and retries with a window
// that exceeds the budget.
func TestWindowBudgetBoundsEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 6}
		routers := rapid.IntRange(1, 4).Draw(t, "routers")
		budget := &windowBudget{}
		now := start.UnixNano()
		var requests, extras []int64
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += int64(rapid.IntRange(0, 900).Draw(t, "pause")) * int64(time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				budget.credit(now, &config)
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
			// A slice of the window expires as a whole, so a request counts for up to one slice
			// less than the window.
			allowed := config.RetryRatio*float64(count(requests, end-window, end)) + config.RetryExtra/float64(routers)
			if got := count(extras, end-window+window/windowSlices, end); float64(got) > allowed {
				t.Fatalf("%d retries in a window that allows %.1f", got, allowed)
			}
		}
	})
}

// TestUnreachedAttemptIsNotCounted guards against attempts without a connection, of which nothing
// was sent, that use up the request's attempts or the budget.
func TestUnreachedAttemptIsNotCounted(t *testing.T) {
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

// TestRequestAttemptsOverridePolicy guards against a request's own bound on attempts that is
// ignored in favour of the policy's.
func TestRequestAttemptsOverridePolicy(t *testing.T) {
	f := newWindowFixture(t, 10)
	f.status(true, loaded("m1", 4), loaded("m2", 4), loaded("m3", 4))
	effects := f.arrive("a", repeatable, func(r *Request) { r.Attempts = 2 })
	if dispatch, ok := effects[0].(Dispatch); !ok || dispatch.Final {
		t.Fatalf("first dispatch %+v, want one that is not final", effects[0])
	}
	effects = f.failAttempt("a", 1, verdict.MayHaveRun)
	if dispatch, ok := effects[0].(Dispatch); !ok || !dispatch.Final {
		t.Fatalf("second dispatch %+v, want the final one", effects)
	}
	f.expect(f.failAttempt("a", 2, verdict.MayHaveRun), "finish a engine_failed may-have-run; ")
}

// TestOnlyResumableAnswerContinuesAfterFirstByte guards against a cut answer that is not continued
// although it could be, or that is restarted although it couldn't.
func TestOnlyResumableAnswerContinuesAfterFirstByte(t *testing.T) {
	f := newWindowFixture(t, 10)
	f.status(true, loaded("m1", 4), loaded("m2", 4))
	f.arrive("a", repeatable, func(r *Request) { r.Attempts, r.Resumable = 2, true })
	f.step(FirstByteSent{Request: "a"})
	if got := describe(f.failAttempt("a", 1, verdict.Ran)); got == "" || got[:8] != "dispatch" {
		t.Fatalf("after a cut: %q, want another dispatch", got)
	}
	f.arrive("b", repeatable, func(r *Request) { r.Attempts = 2 })
	f.step(FirstByteSent{Request: "b"})
	f.expect(f.failAttempt("b", 1, verdict.Ran), "finish b engine_failed ran; ")
}

// TestFailingMachineIsAvoided guards against requests to a machine that answers with failures while
// another one works. The machine is not excluded.
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
			t.Fatalf("request %d dispatched to the failing machine", n)
		}
		event := AttemptEnded{Request: id, Attempt: 1}
		if dispatch.Machine == "m1" {
			event.Answered = true
			event.Failure = verdict.New(verdict.Ran, verdict.CodeEngineFailed, "failed")
		}
		f.step(event)
	}
}

// TestStartedStreamWaitsForRetryBudget guards against a stream that is cut in the middle although
// another machine would continue it: its machine had cut it, the next one rejected it, and the retry
// budget was used up. Of a request that has not started the caller is told so at once.
func TestStartedStreamWaitsForRetryBudget(t *testing.T) {
	f := newWindowFixture(t, 1)
	f.status(true, loaded("m1", 4), loaded("m2", 4))
	resumable := func(r *Request) { r.Repeatable, r.Resumable, r.Attempts = true, true, 3 }
	cut := func(id cluster.RequestID, attempt cluster.Attempt) []Effect {
		return f.step(AttemptEnded{Request: id, Attempt: attempt, Failure: verdict.New(verdict.MayHaveRun, verdict.CodeEngineFailed, "cut")})
	}
	f.arrive("a", resumable)
	f.step(FirstByteSent{Request: "a"})
	if got := describe(cut("a", 1)); got == "" || got[:8] != "dispatch" {
		t.Fatalf("effects of the first cut: %q, want another dispatch", got)
	}
	f.advance(time.Second)
	f.expect(f.step(AttemptEnded{
		Request: "a", Attempt: 2, EngineFull: true, Failure: verdict.New(verdict.NotRun, verdict.CodeEngineRefused, "full"),
	}), "")
	f.arrive("b", resumable)
	f.expect(cut("b", 1), "finish b engine_failed may-have-run; ")
	f.expect(f.advance(8*time.Second), "")
	for range 3 {
		if got := describe(f.advance(500 * time.Millisecond)); got != "" {
			if got[:12] != "dispatch a/3" {
				t.Fatalf("effects once the window has passed: %q", got)
			}
			return
		}
	}
	t.Error("the stream is not continued once the budget allows it")
}

// TestStreamWithoutRetryBudgetEndsInTime guards against a stream that waits for the retry budget
// beyond its deadline or after its node began to stop.
func TestStreamWithoutRetryBudgetEndsInTime(t *testing.T) {
	for name, end := range map[string]func(f *fixture) []Effect{
		"deadline": func(f *fixture) []Effect { return f.advance(3 * time.Second) },
		"drain":    func(f *fixture) []Effect { return f.step(DrainStarted{}) },
	} {
		f := newWindowFixture(t, 0)
		f.status(true, loaded("m1", 4), loaded("m2", 4))
		f.arrive("a", func(r *Request) { r.Repeatable, r.Resumable, r.Attempts = true, true, 3 }, withDeadline(3*time.Second))
		f.step(FirstByteSent{Request: "a"})
		f.expect(f.failAttempt("a", 1, verdict.MayHaveRun), "")
		if ended := finishOf(t, end(f)); ended.Failure == nil || ended.Failure.Verdict != verdict.Ran {
			t.Errorf("%s: the stream ended with %v", name, ended.Failure)
		}
		if f.router.InFlight() != 0 {
			t.Errorf("%s: %d requests are left", name, f.router.InFlight())
		}
	}
}

// TestCopyIsNotHeldBehindUnpaidStream guards against a copy of a suspected request that waits for a
// stream with the same content, which itself only waits for the retry budget.
func TestCopyIsNotHeldBehindUnpaidStream(t *testing.T) {
	f := newWindowFixture(t, 0)
	f.status(true, loaded("m1", 4), loaded("m2", 4))
	popular := poison.Fingerprint{2}
	resumable := func(r *Request) { r.Repeatable, r.Resumable, r.Attempts, r.Content = true, true, 3, popular }
	f.arrive("a", resumable)
	f.step(FirstByteSent{Request: "a"})
	f.expect(f.failAttempt("a", 1, verdict.MayHaveRun), "")
	f.suspect(popular)
	if got := describe(f.arrive("b", resumable)); got == "" {
		t.Fatal("the first copy is not dispatched")
	}
	f.expect(f.arrive("c", resumable), "")
	if got := describe(f.step(CallerGone{Request: "b"})); !strings.Contains(got, "dispatch c/1") {
		t.Errorf("effects of the end of the first copy: %q, want the dispatch of the second", got)
	}
}

// TestFailureOfDoubtedPathIsNotHeldAgainstMachine guards against requests that wait ever longer for a machine
// because a node which is cut off from all machines, and has no other way to them for a moment, takes each failure
// for the machine's.
func TestFailureOfDoubtedPathIsNotHeldAgainstMachine(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4))
	f.expect(f.arrive("a", repeatable, withDeadline(time.Minute)), "dispatch a/1 to m1; ")
	for attempt := cluster.Attempt(1); attempt <= 8; attempt++ {
		f.expect(f.step(AttemptEnded{
			Request: "a", Attempt: attempt, Unreached: true, PathDoubted: true,
			Failure: verdict.New(verdict.NotRun, verdict.CodeEngineFailed, "unreachable"),
		}), "")
		f.expect(f.advance(doubtedPathDelay-time.Millisecond), "")
		f.expect(f.advance(time.Millisecond), fmt.Sprintf("dispatch a/%d to m1; ", attempt+1))
	}
	if rate := f.router.machines["m1"].failures.rate; rate != 0 {
		t.Errorf("the machine's failure rate is %g, want 0", rate)
	}
}

// TestRetryBudgetHoldsOverRestartOfAllRouters guards against routers that, after all of them were killed, spend the common
// retry budget of a window a second time, since their counts start empty.
func TestRetryBudgetHoldsOverRestartOfAllRouters(t *testing.T) {
	const routers, share = 4, 0.75
	const ratio, extra = 0.2, 52.0
	config := Config{RetryWindow: 10 * time.Second, RetryRatio: ratio * share, RetryExtra: extra * share}
	for _, starts := range [][]time.Duration{{0, 4 * time.Second}, {0, time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second}} {
		requests, retries := 0, 0
		for i, after := range starts {
			config.FirstStart = i == 0
			for range routers {
				f := newRestartFixture(t, config, start.Add(after))
				budget := f.router.windowBudgetOf(&model{})
				for range 40 {
					f.advance(50 * time.Millisecond)
					budget.credit(f.router.nanos, &f.router.config)
					requests++
					if budget.spend(f.router.nanos, &f.router.config, routers) {
						retries++
					}
				}
			}
		}
		if allowed := ratio*float64(requests) + extra; float64(retries) > allowed {
			t.Errorf("%d starts: %d retries of %d requests within 6 s, %.0f are allowed in 10 s", len(starts), retries, requests, allowed)
		}
	}
}

// TestRestartedRouterSpendsExtraRetriesAfterOneWindow guards against a router that never gets its part of the retries beyond
// the ratio back after a restart, or one that has them while an earlier start's may still count.
func TestRestartedRouterSpendsExtraRetriesAfterOneWindow(t *testing.T) {
	const extra = 3
	f := newRestartFixture(t, Config{RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetryExtra: extra}, start)
	budget := f.router.windowBudgetOf(&model{})
	f.advance(9900 * time.Millisecond)
	if budget.spend(f.router.nanos, &f.router.config, 1) {
		t.Error("a retry without requests 9.9 s after the start")
	}
	f.advance(100 * time.Millisecond)
	for i := range extra + 1 {
		if got := budget.spend(f.router.nanos, &f.router.config, 1); got != (i < extra) {
			t.Errorf("retry %d, 10 s after the start: %t", i, got)
		}
	}
}

// newRestartFixture returns a router that starts at the given time.
func newRestartFixture(t *testing.T, config Config, at time.Time) *fixture {
	f := &fixture{t: t, now: at, router: New(config, 1)}
	f.step(SettingsChanged{Snapshot: testSnapshot(testPolicy())})
	return f
}

// TestRetryBudgetHoldsWhenRoutersGo guards against a router that takes the parts of routers which are gone, or cut off from
// it, although they have spent them in the same window.
func TestRetryBudgetHoldsWhenRoutersGo(t *testing.T) {
	const extra = 45.0
	f := newRestartFixture(t, Config{RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetryExtra: extra, FirstStart: true, ExpectedRouters: 9}, start)
	spendAll := func() (spent int) {
		for paid := true; paid; {
			if paid, _ = f.router.spendRetry(&request{model: &model{}}); paid {
				spent++
			}
		}
		return spent
	}
	f.step(RoutersChanged{Routers: 9})
	f.advance(time.Second)
	if got := spendAll(); got != extra/9 {
		t.Fatalf("%d retries of nine routers' %g", got, extra)
	}
	f.advance(time.Second)
	f.step(RoutersChanged{Routers: 5})
	f.step(RoutersChanged{Routers: 1})
	f.advance(7 * time.Second)
	if got := spendAll(); got != 0 {
		t.Errorf("%d more retries 7 s after eight of nine routers went", got)
	}
	f.advance(3 * time.Second)
	if got := spendAll(); got != extra {
		t.Errorf("%d retries a window after the others went, want %g", got, extra)
	}
}

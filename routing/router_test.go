package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

var start = time.Date(2026, 3, 1, 18, 0, 0, 0, time.UTC)

// testPolicy returns the default policy of the test models.
func testPolicy() settings.Policy {
	return settings.Policy{
		QueueLength: 4, QueueBytes: 1000, QueueTime: 10 * time.Second,
		Deadline: time.Minute, RetryAttempts: 3, Version: "v1",
	}
}

// testSnapshot returns settings with one model "chat" at "/dental/chat".
func testSnapshot(policy settings.Policy, scopes ...settings.Scope) *settings.Snapshot {
	model := settings.Model{
		ID: "chat", Kind: settings.KindModel, Path: "/dental/chat", Team: "/dental", Policy: policy,
		Sources: map[string]string{"queue_length": "/dental", "queue_time": "/", "deadline": "default"},
	}
	byPath := make(map[string]settings.Scope)
	for _, scope := range scopes {
		byPath[scope.Path] = scope
	}
	return settings.NewSnapshot(settings.Stamp{History: "h", Revision: 7}, []settings.Model{model}, nil, byPath)
}

// fixture drives one router step by step.
type fixture struct {
	t        *testing.T
	router   *Router
	now      time.Time
	sequence uint64
}

func newFixture(t *testing.T, policy settings.Policy, scopes ...settings.Scope) *fixture {
	f := &fixture{t: t, now: start, router: New(Config{Zone: "z1", Region: "r1", ExpectedRouters: 2}, 1)}
	f.step(SettingsChanged{Snapshot: testSnapshot(policy, scopes...)})
	return f
}

func (f *fixture) step(event Event) []Effect { return f.router.Step(f.now, event) }

func (f *fixture) advance(d time.Duration) []Effect {
	f.now = f.now.Add(d)
	return f.step(Tick{})
}

func (f *fixture) status(full bool, records ...wire.ReplicaRecord) []Effect {
	f.sequence++
	return f.step(CellStatusChanged{Status: wire.CellStatus{
		Zone: "z1", Token: 5, Sequence: f.sequence, Full: full, Replicas: records,
	}})
}

func (f *fixture) arrive(id cluster.RequestID, change ...func(*Request)) []Effect {
	request := Request{ID: id, Model: "chat", TokenPath: "/dental", Team: "/dental", BodyBytes: 10}
	for _, apply := range change {
		apply(&request)
	}
	return f.step(RequestArrived{Request: request})
}

func (f *fixture) failAttempt(id cluster.RequestID, attempt cluster.Attempt, v verdict.Verdict) []Effect {
	return f.step(AttemptEnded{Request: id, Attempt: attempt, Failure: verdict.New(v, verdict.CodeEngineFailed, "failed")})
}

func loaded(machine cluster.MachineID, slots int) wire.ReplicaRecord {
	return wire.ReplicaRecord{Machine: machine, Address: string(machine) + ":1", Model: "chat", Version: "v1",
		State: cluster.ReplicaLoaded, Slots: slots}
}

func loading(machine cluster.MachineID, ready time.Duration) wire.ReplicaRecord {
	record := loaded(machine, 4)
	record.State, record.ReadyIn = cluster.ReplicaLoading, ready
	return record
}

// describe formats effects in a short form.
func describe(effects []Effect) string {
	text := ""
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Dispatch:
			text += fmt.Sprintf("dispatch %s/%d to %s; ", effect.Request, effect.Attempt, effect.Machine)
		case Finish:
			if effect.Failure == nil {
				text += fmt.Sprintf("finish %s; ", effect.Request)
			} else {
				text += fmt.Sprintf("finish %s %s %s; ", effect.Request, effect.Failure.Code, effect.Failure.Verdict)
			}
		case CancelAttempt:
			text += fmt.Sprintf("cancel %s/%d at %s; ", effect.Request, effect.Attempt, effect.Machine)
		case StatusNeeded:
			text += fmt.Sprintf("status of %s; ", effect.Zone)
		}
	}
	return text
}

func (f *fixture) expect(effects []Effect, want string) {
	f.t.Helper()
	if got := describe(effects); got != want {
		f.t.Fatalf("effects: got %q, want %q", got, want)
	}
}

func repeatable(r *Request) { r.Repeatable = true }

func withDeadline(d time.Duration) func(*Request) {
	return func(r *Request) { r.Deadline = start.Add(d) }
}

// TestRequestWaitsForColdStart guards against a request that is not dispatched when its model's
// load ends, and against a repeated outcome that has an effect.
func TestRequestWaitsForColdStart(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.expect(f.arrive("a"), "")
	f.expect(f.status(true, loading("m1", 3*time.Second)), "")
	f.advance(3 * time.Second)
	f.expect(f.status(false, loaded("m1", 4)), "dispatch a/1 to m1; ")
	f.expect(f.step(AttemptEnded{Request: "a", Attempt: 1}), "finish a; ")
	f.expect(f.step(AttemptEnded{Request: "a", Attempt: 1}), "")
	if f.router.InFlight() != 0 {
		t.Fatalf("in flight: %d", f.router.InFlight())
	}
}

// TestRetryDependsOnVerdict guards against retries of requests that may have run and are not
// repeatable, or whose answer has begun, and against requests that are not retried although they
// may be.
func TestRetryDependsOnVerdict(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4), loaded("m2", 4))
	for _, test := range []struct {
		name     string
		change   func(*Request)
		first    bool
		verdict  verdict.Verdict
		finished string
	}{
		{"not repeatable, not run", func(*Request) {}, false, verdict.NotRun, ""},
		{"not repeatable, may have run", func(*Request) {}, false, verdict.MayHaveRun, "engine_failed may-have-run"},
		{"repeatable, may have run", repeatable, false, verdict.MayHaveRun, ""},
		{"repeatable, after the first byte", repeatable, true, verdict.MayHaveRun, "engine_failed may-have-run"},
		{"verdict not run after the first byte", repeatable, true, verdict.NotRun, "engine_failed ran"},
	} {
		t.Run(test.name, func(t *testing.T) {
			f.t = t
			f.advance(time.Minute)
			id := cluster.RequestID(test.name)
			dispatched := f.arrive(id, test.change)[0].(Dispatch)
			if test.first {
				f.step(FirstByteSent{Request: id})
			}
			effects := f.failAttempt(id, 1, test.verdict)
			if test.finished != "" {
				f.expect(effects, fmt.Sprintf("finish %s %s; ", id, test.finished))
				return
			}
			again := effects[0].(Dispatch)
			if again.Attempt != 2 || again.Machine == dispatched.Machine {
				t.Fatalf("second attempt %d on %s after the first on %s", again.Attempt, again.Machine, dispatched.Machine)
			}
			f.expect(f.failAttempt(id, 1, verdict.NotRun), "")
			f.expect(f.step(AttemptEnded{Request: id, Attempt: 2}), fmt.Sprintf("finish %s; ", id))
		})
	}
}

// TestFailureAfterLastRetryCoversAllAttempts guards against a final verdict that ignores an earlier
// attempt which may have run.
func TestFailureAfterLastRetryCoversAllAttempts(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4), loaded("m2", 4), loaded("m3", 4))
	f.arrive("a", repeatable)
	f.failAttempt("a", 1, verdict.MayHaveRun)
	f.failAttempt("a", 2, verdict.NotRun)
	finish := f.failAttempt("a", 3, verdict.NotRun)[0].(Finish)
	if finish.Failure.Verdict != verdict.MayHaveRun || finish.Reason.Setting != "retry_attempts" || finish.Reason.Attempts != 3 {
		t.Fatalf("got %+v, %+v", finish.Failure, finish.Reason)
	}
}

// TestRetryBudgetBoundsRetries guards against retries that multiply the load when every request
// fails.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.router.config.RetryReserve = 2
	f.status(true, loaded("m1", 100), loaded("m2", 100))
	retried, refused := 0, 0
	for i := range 20 {
		id := cluster.RequestID(fmt.Sprint(i))
		f.advance(time.Millisecond)
		if len(f.arrive(id)) == 0 {
			continue
		}
		f.router.machines["m1"].maxInFlightUntil, f.router.machines["m2"].maxInFlightUntil = 0, 0
		for _, effect := range f.failAttempt(id, 1, verdict.NotRun) {
			switch effect := effect.(type) {
			case Dispatch:
				retried++
			case Finish:
				if effect.Reason.Setting != "retry budget" || effect.Failure.RetryAfter == 0 {
					t.Fatalf("finish: %+v", effect)
				}
				refused++
			}
		}
	}
	if retried == 0 || retried > 6 || refused == 0 {
		t.Fatalf("20 failures: %d retried, %d refused, want at most 2 + 20 * 0.2 retries", retried, refused)
	}
}

// TestQueueBoundsAndTimeouts guards against queues that exceed their length or bytes, and against
// requests that wait past their queue time or deadline.
func TestQueueBoundsAndTimeouts(t *testing.T) {
	f := newFixture(t, testPolicy())
	for _, id := range []cluster.RequestID{"a", "b", "c", "d"} {
		f.expect(f.arrive(id), "")
	}
	finish := f.arrive("e")[0].(Finish)
	if finish.Failure.Code != verdict.CodeQueueFull || finish.Failure.RetryAfter == 0 ||
		finish.Reason.Setting != "queue_length" || finish.Reason.Source != "/dental" || finish.Reason.Limit != 4 {
		t.Fatalf("got %+v, %+v", finish.Failure, finish.Reason)
	}
	f.expect(f.step(CallerGone{Request: "a"}), "finish a caller_gone not-run; ")
	f.expect(f.arrive("f", func(r *Request) { r.BodyBytes = 5000 }), "finish f queue_full not-run; ")
	f.expect(f.advance(10*time.Second), "finish b queue_timeout not-run; finish c queue_timeout not-run; finish d queue_timeout not-run; ")
	f.expect(f.arrive("g", func(r *Request) { r.Deadline = f.now.Add(time.Second) }), "")
	if next, due := f.router.NextDeadline(); !due || !next.Equal(f.now.Add(time.Second)) {
		t.Fatalf("next deadline %v %v", next, due)
	}
	f.expect(f.advance(time.Second), "finish g deadline_exceeded not-run; ")
}

// TestDeadlineCancelsRunningAttempt guards against an attempt that holds its slot past its
// request's deadline while others wait.
func TestDeadlineCancelsRunningAttempt(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 1))
	f.arrive("a", withDeadline(time.Second))
	f.arrive("b")
	f.expect(f.advance(time.Second), "cancel a/1 at m1; finish a deadline_exceeded may-have-run; dispatch b/1 to m1; ")
	f.expect(f.step(CallerGone{Request: "b"}), "cancel b/1 at m1; finish b caller_gone may-have-run; ")
	f.expect(f.step(AttemptEnded{Request: "a", Attempt: 1}), "")
}

// TestUnmeetableDeadlineIsRefusedAtOnce guards against requests that wait for a load which ends
// after their deadline.
func TestUnmeetableDeadlineIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.expect(f.arrive("waiting", withDeadline(2*time.Second)), "")
	f.expect(f.status(true, loading("m1", 5*time.Second)), "finish waiting deadline_unmeetable not-run; ")
	finish := f.arrive("a", withDeadline(3*time.Second))[0].(Finish)
	if finish.Failure.Code != verdict.CodeDeadlineUnmeetable || finish.Failure.RetryAfter != 5*time.Second {
		t.Fatalf("got %+v", finish.Failure)
	}
	f.expect(f.arrive("b", withDeadline(6*time.Second)), "")
}

// TestRefusedCallersCountAsDemand guards against a model that refuses all its callers because they
// cannot wait for its load, and is therefore never loaded.
func TestRefusedCallersCountAsDemand(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loading("m1", 30*time.Second))
	f.advance(30 * time.Second)
	f.status(false, loaded("m1", 4))
	f.status(true)
	f.advance(time.Hour)
	finish := f.arrive("a", func(r *Request) { r.Deadline = f.now.Add(5 * time.Second) })[0].(Finish)
	if finish.Failure.Code != verdict.CodeDeadlineUnmeetable || finish.Failure.RetryAfter != 30*time.Second {
		t.Fatalf("got %+v", finish.Failure)
	}
	if !f.router.HasUnreportedDemand() {
		t.Fatal("the refused caller does not count as newly waiting")
	}
	for second := range 41 {
		demand := f.router.Demand(f.now, second%2 == 0)
		if expected := second < 40; expected != (len(demand.Models) == 1 && demand.Models[0].Waiting == 1) {
			t.Fatalf("after %d s: %+v", second, demand.Models)
		}
		f.advance(time.Second)
	}
	f.status(true, loading("m1", 0))
	f.advance(29 * time.Second)
	f.expect(f.arrive("b", func(r *Request) { r.Deadline = f.now.Add(5 * time.Second) }), "")
}

// TestDrainRefusesWaitingAndNewRequests guards against a draining node that keeps requests which
// another node could serve, or cuts running ones.
func TestDrainRefusesWaitingAndNewRequests(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 1))
	f.arrive("a")
	f.arrive("b")
	f.expect(f.step(DrainStarted{}), "finish b node_draining not-run; ")
	finish := f.arrive("c")[0].(Finish)
	if finish.Failure.Code != verdict.CodeNodeDraining || finish.Failure.Verdict != verdict.NotRun || finish.Failure.RetryAfter == 0 {
		t.Fatalf("got %+v", finish.Failure)
	}
	f.expect(f.step(AttemptEnded{Request: "a", Attempt: 1}), "finish a; ")
}

// TestLeavingMachineGetsNoRequests guards against requests to a machine that announced that it is
// leaving, or whose status says so.
func TestLeavingMachineGetsNoRequests(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.step(MachineLeaving{Machine: "m1"})
	f.expect(f.status(true, loaded("m1", 4)), "")
	f.expect(f.arrive("a"), "")
	f.expect(f.status(false, loaded("m2", 4)), "dispatch a/1 to m2; ")
	leaving := loaded("m2", 4)
	leaving.Leaving = true
	f.status(false, leaving)
	f.expect(f.arrive("b"), "")
}

// TestOldStatusesAreIgnored guards against late and duplicate statuses or those of a former lease
// holder that revert newer ones, and against missed statuses that are not requested.
func TestOldStatusesAreIgnored(t *testing.T) {
	f := newFixture(t, testPolicy())
	gone := loaded("m1", 4)
	gone.State = cluster.ReplicaAbsent
	for i, test := range []struct {
		token    cluster.FencingToken
		sequence uint64
		full     bool
		records  []wire.ReplicaRecord
		want     string
		loaded   int
	}{
		{5, 1, true, []wire.ReplicaRecord{loaded("m1", 4)}, "", 1},
		{5, 2, false, []wire.ReplicaRecord{gone}, "", 0},
		{5, 1, true, []wire.ReplicaRecord{loaded("m1", 4)}, "", 0},
		{4, 9, true, []wire.ReplicaRecord{loaded("m1", 4)}, "", 0},
		{5, 4, false, []wire.ReplicaRecord{loaded("m1", 4)}, "status of z1; ", 1},
		{5, 4, true, nil, "", 0},
		{9, 1, false, []wire.ReplicaRecord{loaded("m1", 4)}, "status of z1; ", 1},
		{5, 5, true, nil, "", 1},
	} {
		status := wire.CellStatus{Zone: "z1", Token: test.token, Sequence: test.sequence, Full: test.full, Replicas: test.records}
		f.expect(f.step(CellStatusChanged{Status: status}), test.want)
		if got := f.router.models["chat"].loaded; got != test.loaded {
			t.Fatalf("after status %d: %d loaded, want %d", i, got, test.loaded)
		}
	}
}

// TestRefusedRequestWaitsForMachine guards against requests that are resent at once to a machine
// that is full or does not hold the model, or that are never resent.
func TestRefusedRequestWaitsForMachine(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4))
	f.arrive("a")
	full := verdict.New(verdict.NotRun, verdict.CodeEngineRefused, "full")
	f.expect(f.step(AttemptEnded{Request: "a", Attempt: 1, Failure: full, EngineFull: true}), "")
	f.expect(f.advance(time.Second), "dispatch a/2 to m1; ")
	f.expect(f.step(AttemptEnded{Request: "a", Attempt: 2, Failure: full, ModelMissing: true}), "")
	f.expect(f.status(false, loaded("m1", 4)), "dispatch a/3 to m1; ")
}

// TestDemandReportsChangedModels guards against demand reports that miss changes or repeat
// unchanged models.
func TestDemandReportsChangedModels(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.arrive("a")
	f.now = f.now.Add(time.Second)
	demand := f.router.Demand(f.now, false)
	want := wire.ModelDemand{Model: "chat", Waiting: 1, Arrivals: 1, OldestWait: time.Second, EarliestDeadline: 59 * time.Second}
	if len(demand.Models) != 1 || demand.Models[0] != want {
		t.Fatalf("got %+v, want %+v", demand.Models, want)
	}
	f.status(true, loaded("m1", 4))
	f.step(RequestArrived{Request: Request{ID: "b", Model: "chat", PromptTokens: 1200}})
	f.step(CallerGone{Request: "b"})
	if demand = f.router.Demand(f.now, false); len(demand.Models) != 1 || demand.Models[0].Running != 1 || demand.Models[0].PromptTokens != 1200 {
		t.Fatalf("got %+v", demand.Models)
	}
	if demand = f.router.Demand(f.now, false); len(demand.Models) != 0 {
		t.Fatalf("models are unchanged, but got %+v", demand.Models)
	}
	if demand = f.router.Demand(f.now, true); len(demand.Models) != 1 {
		t.Fatalf("full report: got %+v", demand.Models)
	}
}

// TestZeroQueueTimeRefusesAtOnce guards against requests that wait although the policy allows no
// queue time.
func TestZeroQueueTimeRefusesAtOnce(t *testing.T) {
	policy := testPolicy()
	policy.QueueTime = 0
	f := newFixture(t, policy)
	finish := f.arrive("a")[0].(Finish)
	if finish.Failure.Code != verdict.CodeQueueTimeout || finish.Failure.RetryAfter == 0 || finish.Reason.Setting != "queue_time" {
		t.Fatalf("got %+v, %+v", finish.Failure, finish.Reason)
	}
}

// TestLimitRefusalNamesItsSource guards against refusals that don't name the setting and the scope
// that caused them.
func TestLimitRefusalNamesItsSource(t *testing.T) {
	f := newFixture(t, testPolicy(), settings.Scope{Path: "/dental", RequestsPerSecond: 1})
	f.arrive("a")
	finish := f.arrive("b")[0].(Finish)
	want := Explanation{Code: verdict.CodeRequestRateLimit, Setting: "requests_per_second", Source: "/dental",
		Limit: 0.5, SettingsRevision: 7}
	if finish.Reason != want || finish.Failure.RetryAfter != 2*time.Second || finish.Failure.Verdict != verdict.NotRun {
		t.Fatalf("got %+v, %+v", finish.Failure, finish.Reason)
	}
	f.expect(f.advance(2*time.Second), "")
	f.expect(f.arrive("c"), "")
}

// TestLostRoutersKeepTheirShareOfLimits guards against exceeding a limit by taking over the share
// of routers that are only partitioned from this one.
func TestLostRoutersKeepTheirShareOfLimits(t *testing.T) {
	f := newFixture(t, testPolicy(), settings.Scope{Path: "/dental", MaxConcurrency: 4})
	f.step(RoutersChanged{Routers: 4})
	f.step(RoutersChanged{Routers: 1})
	f.expect(f.arrive("a"), "")
	f.expect(f.arrive("b"), "finish b concurrency_limit not-run; ")
	f.advance(11 * time.Minute)
	f.router.Demand(f.now, true)
	f.expect(f.arrive("c"), "")
	f.expect(f.arrive("d"), "")
}

package routing

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

// withObjective sets an objective of 2 s, a patience of 8 s and a deadline of 20 s.
func withObjective(change ...func(*Request)) func(*Request) {
	return func(r *Request) {
		r.Objective, r.Patience = 2*time.Second, 8*time.Second
		withDeadline(20 * time.Second)(r)
		for _, c := range change {
			c(r)
		}
	}
}

func withPatience(patience time.Duration) func(*Request) {
	return func(r *Request) { r.Patience = patience }
}

// TestRequestWaitsForLoadWithinPatience guards against refusing a request whose load ends after its
// objective but while its caller still waits, and against keeping one whose caller will have left.
func TestRequestWaitsForLoadWithinPatience(t *testing.T) {
	for name, test := range map[string]struct {
		ready   time.Duration
		change  func(*Request)
		want    string
		setting string
	}{
		"in time":                  {time.Second, withObjective(), "", ""},
		"after the objective":      {5 * time.Second, withObjective(), "", ""},
		"at the last moment":       {7600 * time.Millisecond, withObjective(), "", ""},
		"after the patience":       {7700 * time.Millisecond, withObjective(), "finish a deadline_unmeetable not-run; ", "patience"},
		"after the deadline":       {5 * time.Second, withObjective(withDeadline(4 * time.Second)), "finish a deadline_unmeetable not-run; ", "deadline"},
		"after the queue time":     {11 * time.Second, withObjective(withPatience(0)), "finish a deadline_unmeetable not-run; ", "queue_time"},
		"just before the deadline": {3 * time.Second, withObjective(withDeadline(4 * time.Second)), "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, testPolicy())
			f.arrive("a", test.change)
			effects := f.status(true, loading("m1", test.ready))
			f.expect(effects, test.want)
			if test.setting != "" && effects[0].(Finish).Reason.Setting != test.setting {
				t.Fatalf("refused because of %q, want %q", effects[0].(Finish).Reason.Setting, test.setting)
			}
		})
	}
}

// TestRefusalStatesEndOfLoad guards against refused callers that are not told when the model is
// expected, or that don't count as waiting until then.
func TestRefusalStatesEndOfLoad(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loading("m1", 9*time.Second))
	finish := f.arrive("a", withObjective())[0].(Finish)
	if finish.Failure.Verdict != verdict.NotRun || finish.Failure.RetryAfter != 9*time.Second {
		t.Fatalf("got %+v, want a retry time of 9 s", finish.Failure)
	}
	demand := f.router.Demand(f.now, true)
	if len(demand.Models) != 1 || demand.Models[0].Waiting != 1 || demand.Models[0].Objective != 2*time.Second {
		t.Fatalf("demand %+v, want the caller counted with its objective", demand.Models)
	}
}

// TestWaitingRequestIsRefusedWhenLoadEndsAfterPatience guards against a waiting request that is
// kept although the load is now known to end after its caller's patience, whatever the objective.
func TestWaitingRequestIsRefusedWhenLoadEndsAfterPatience(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.arrive("a", withObjective())
	f.advance(5 * time.Second)
	f.expect(f.status(true, loading("m1", 2500*time.Millisecond)), "")
	f.expect(f.status(true, loading("m1", 2700*time.Millisecond)), "finish a deadline_unmeetable not-run; ")
}

// TestReturnedCallerGoesFirst guards against a refused caller that returns at the stated time and
// is served after those that arrived while it was away.
func TestReturnedCallerGoesFirst(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loading("m1", 9*time.Second))
	f.expect(f.arrive("a", withObjective()), "finish a deadline_unmeetable not-run; ")
	f.advance(5 * time.Second)
	f.expect(f.arrive("b", withObjective(withDeadline(25*time.Second))), "")
	f.advance(3 * time.Second)
	f.expect(f.arrive("a again", withObjective()), "")
	f.advance(time.Second)
	f.expect(f.status(true, loaded("m1", 1)), "dispatch a again/1 to m1; ")
}

// TestRetryTimesFollowFreeSlots guards against retry times out of the order of arrival, and against
// more callers told to return at a time than the loading replica then has free slots.
func TestRetryTimesFollowFreeSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		routers := rapid.IntRange(1, 4).Draw(t, "routers")
		rank := rapid.IntRange(0, routers-1).Draw(t, "rank")
		router := New(Config{Zone: "z1", MaxRetryAfter: time.Hour}, 1)
		policy := testPolicy()
		router.Step(start, SettingsChanged{Snapshot: testSnapshot(policy)})
		router.Step(start, RoutersChanged{Routers: routers, Rank: rank})
		record := loading("m1", 20*time.Second)
		record.Slots = slots
		router.Step(start, CellStatusChanged{Status: wire.CellStatus{Zone: "z1", Token: 1, Sequence: 1, Full: true, Replicas: []wire.ReplicaRecord{record}}})
		now, ready := start, start.Add(20*time.Second)
		last := ready
		for i := range rapid.IntRange(1, 40).Draw(t, "callers") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "milliseconds")) * time.Millisecond)
			request := Request{ID: cluster.RequestID(fmt.Sprint(i)), Model: "chat", TokenPath: "/", Deadline: now.Add(time.Second)}
			finish, ended := router.Step(now, RequestArrived{Request: request})[0].(Finish)
			if !ended || finish.Failure.Verdict != verdict.NotRun {
				t.Fatalf("got %+v, want a refusal with verdict NotRun", finish)
			}
			retryAt := now.Add(finish.Failure.RetryAfter)
			place := i*routers + rank + 1
			room := slots + int(math.Ceil(retryAt.Sub(ready).Seconds()*float64(slots)/router.config.DefaultService.Seconds()-1e-6))
			if retryAt.Before(last) || place > room || place < room-1 && retryAt.After(ready) {
				t.Fatalf("caller %d, position %d of %d slots, is told to retry %v after the load, the one before %v", i, place, room, retryAt.Sub(ready), last.Sub(ready))
			}
			last = retryAt
		}
	})
}

// TestReturnedCallersAreServedInOrderOfArrival guards against refused callers that return earlier
// or later than stated and are not served in the order in which they first arrived.
func TestReturnedCallersAreServedInOrderOfArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := testPolicy()
		policy.QueueLength, policy.QueueBytes, policy.QueueTime = 100, 1<<20, time.Hour
		router := New(Config{Zone: "z1"}, 1)
		router.Step(start, SettingsChanged{Snapshot: testSnapshot(policy)})
		count := rapid.IntRange(2, 20).Draw(t, "callers")
		first := make(map[cluster.RequestID]int)
		now := start
		for _, caller := range rapid.Permutation(indices(count)).Draw(t, "order of return") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "milliseconds")) * time.Millisecond)
			id := cluster.RequestID(fmt.Sprint("r", caller))
			first[id] = caller
			deadline := start.Add(time.Minute + time.Duration(caller)*time.Second)
			if effects := router.Step(now, RequestArrived{Request: Request{ID: id, Model: "chat", TokenPath: "/", Team: "t", Deadline: deadline}}); len(effects) > 0 {
				t.Fatalf("got %s, want it to wait", describe(effects))
			}
		}
		served := 0
		effects := router.Step(now, CellStatusChanged{Status: wire.CellStatus{Zone: "z1", Token: 1, Sequence: 1, Full: true, Replicas: []wire.ReplicaRecord{loaded("m1", 1)}}})
		for len(effects) > 0 {
			dispatch, ok := effects[len(effects)-1].(Dispatch)
			if !ok {
				break
			}
			if first[dispatch.Request] != served {
				t.Fatalf("%s served at position %d", dispatch.Request, served)
			}
			served++
			now = now.Add(time.Millisecond)
			effects = router.Step(now, AttemptEnded{Request: dispatch.Request, Attempt: dispatch.Attempt})
		}
		if served != count {
			t.Fatalf("%d of %d served", served, count)
		}
	})
}

func indices(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// TestRefusedRequestsDoNotDelayOthers guards against refusing a request because of others before it
// that are themselves refused when a load is late.
func TestRefusedRequestsDoNotDelayOthers(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 1))
	f.arrive("served")
	f.advance(time.Second)
	f.expect(f.step(AttemptEnded{Request: "served", Attempt: 1}), "finish served; ")
	f.status(true)
	f.arrive("short", withDeadline(4*time.Second))
	f.arrive("first", withDeadline(9*time.Second))
	f.arrive("second", withDeadline(9100*time.Millisecond))
	record := loading("m1", 7500*time.Millisecond)
	record.Slots = 1
	f.expect(f.status(true, record), "finish short deadline_unmeetable not-run; finish second deadline_unmeetable not-run; ")
}

// newFullFixture returns a router whose only slot, with a service time of 1 s, is taken, and with
// the given number of waiting requests.
func newFullFixture(t *testing.T, waiting int) *fixture {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 1))
	f.arrive("r0")
	f.arrive("r1")
	f.arrive("r2")
	for i := range 2 {
		f.advance(time.Second)
		f.step(AttemptEnded{Request: cluster.RequestID(fmt.Sprint("r", i)), Attempt: 1})
	}
	for i := range waiting {
		f.expect(f.arrive(cluster.RequestID(fmt.Sprint("w", i))), "")
	}
	return f
}

// TestRefusalUsesIntervalBetweenStarts guards against a request that waits although its turn, at
// the mean interval between starts, comes too late. Only requests that go before it count as ahead.
func TestRefusalUsesIntervalBetweenStarts(t *testing.T) {
	soon := func(f *fixture, d time.Duration) func(*Request) {
		return func(r *Request) { r.Deadline = f.now.Add(d) }
	}
	f := newFullFixture(t, 3)
	finish := f.arrive("last", withPatience(2*time.Second))[0].(Finish)
	if finish.Failure.Code != verdict.CodeDeadlineUnmeetable || finish.Failure.Verdict != verdict.NotRun || finish.Failure.RetryAfter != 3*time.Second {
		t.Fatalf("got %+v, want a retry time of 3 s", finish.Failure)
	}
	if next := f.arrive("next", withPatience(2*time.Second))[0].(Finish); next.Failure.RetryAfter != 4*time.Second {
		t.Fatalf("got %+v, want a retry time one second later", next.Failure)
	}
	f.expect(f.arrive("urgent", soon(f, 1500*time.Millisecond), withPatience(2*time.Second)), "")
}

// TestLateRequestIsShedWhenOthersWait guards against a request that would not end by its deadline
// and takes the slot of one that would. It runs if no other waits.
func TestLateRequestIsShedWhenOthersWait(t *testing.T) {
	for others, want := range []string{"finish r2; dispatch short/1 to m1; ", "finish r2; finish short deadline_unmeetable not-run; dispatch w0/1 to m1; "} {
		f := newFullFixture(t, others)
		f.expect(f.arrive("short", func(r *Request) { r.Deadline = f.now.Add(1400 * time.Millisecond) }), "")
		f.advance(time.Second)
		f.expect(f.step(AttemptEnded{Request: "r2", Attempt: 1}), want)
	}
}

// TestLateRequestIsKeptWhenSlotsSuffice guards against shedding a late request when there are slots
// for all that wait, or when the model isn't loaded.
func TestLateRequestIsKeptWhenSlotsSuffice(t *testing.T) {
	f := newFullFixture(t, 0)
	f.step(AttemptEnded{Request: "r2", Attempt: 1})
	f.status(true)
	short := func(r *Request) { r.Deadline = f.now.Add(500 * time.Millisecond) }
	f.expect(f.arrive("a", short), "")
	f.expect(f.arrive("b", short), "")
	f.expect(f.arrive("c"), "")
	f.expect(f.status(true, loaded("m1", 4)), "dispatch a/1 to m1; dispatch b/1 to m1; dispatch c/1 to m1; ")
}

// TestFailedReplicaIsNotFull guards against refusing requests by their time to end while the only
// replica is in back-off after a failure: when it is tried again there may be slots for all.
func TestFailedReplicaIsNotFull(t *testing.T) {
	f := newFullFixture(t, 0)
	f.step(AttemptEnded{Request: "r2", Attempt: 1})
	f.status(false, loaded("m1", 4))
	f.expect(f.arrive("a", repeatable), "dispatch a/1 to m1; ")
	f.failAttempt("a", 1, verdict.NotRun)
	f.expect(f.arrive("b", func(r *Request) { r.Deadline = f.now.Add(500 * time.Millisecond) }), "")
	f.expect(f.advance(200*time.Millisecond), "dispatch b/1 to m1; dispatch a/2 to m1; ")
}

// TestBegunAnswerIsNotShed guards against shedding a stream that is to be continued after its first
// events, however little time is left.
func TestBegunAnswerIsNotShed(t *testing.T) {
	f := newFullFixture(t, 0)
	f.step(AttemptEnded{Request: "r2", Attempt: 1})
	resumable := func(r *Request) { r.Resumable, r.Repeatable, r.Deadline = true, true, f.now.Add(1400*time.Millisecond) }
	f.expect(f.arrive("stream", resumable), "dispatch stream/1 to m1; ")
	f.step(FirstByteSent{Request: "stream"})
	f.expect(f.arrive("w0"), "")
	f.expect(f.arrive("w1"), "")
	f.failAttempt("stream", 1, verdict.Ran)
	f.expect(f.advance(time.Second), "dispatch stream/2 to m1; ")
}

// TestStallRefusesNoRequest guards against refusing requests while none of the waiting ones starts:
// they are served when the stall ends. One that gives up is told to retry after the time that the
// stall has lasted.
func TestStallRefusesNoRequest(t *testing.T) {
	f := newFullFixture(t, 1)
	f.advance(5 * time.Second)
	f.expect(f.arrive("a", withPatience(4*time.Second)), "")
	finish := f.advance(4 * time.Second)[0].(Finish)
	if finish.Failure.Code != verdict.CodeQueueTimeout || finish.Failure.RetryAfter != 11*time.Second {
		t.Fatalf("got %+v, want a retry time of 11 s", finish.Failure)
	}
}

// TestRetryTimeIncludesMeanLoadTimeOfKind guards against a retry time that ignores how long no load
// has begun and how long loads of other models of the kind took, and against refusals because of
// them.
func TestRetryTimeIncludesMeanLoadTimeOfKind(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.step(SettingsChanged{Snapshot: snapshotOf(testModels)})
	f.status(true, loading("m1", 3*time.Second))
	f.advance(3 * time.Second)
	f.status(false, loaded("m1", 4))
	rare := func(r *Request) { r.Model = "recall" }
	f.expect(f.arrive("a", rare, withPatience(2*time.Second)), "")
	finish := f.advance(2 * time.Second)[0].(Finish)
	if finish.Failure.Code != verdict.CodeQueueTimeout || finish.Failure.RetryAfter != 5*time.Second {
		t.Fatalf("got %+v, want a retry time of 5 s", finish.Failure)
	}
	f.expect(f.arrive("b", rare, withPatience(2*time.Second)), "")
	if finish := f.advance(2 * time.Second)[0].(Finish); finish.Failure.RetryAfter != 7*time.Second {
		t.Fatalf("got %+v, want a retry time of 7 s for the next one", finish.Failure)
	}
	f.advance(time.Hour)
	f.expect(f.arrive("c", rare, withPatience(2*time.Second)), "")
	if finish := f.advance(2 * time.Second)[0].(Finish); finish.Failure.RetryAfter != 5*time.Second {
		t.Fatalf("got %+v, want a retry time of 5 s after an hour without requests", finish.Failure)
	}
}

// TestRetryTimeIncludesExpectedLoadTime guards against ignoring a load time of 4 s that another
// model's controller expects before that load has ended. All callers of a model that is not loading
// get the same retry time, since the slots of its replica are not known.
func TestRetryTimeIncludesExpectedLoadTime(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.step(SettingsChanged{Snapshot: snapshotOf(testModels)})
	f.status(true, loading("m1", 4*time.Second))
	rare := func(r *Request) { r.Model = "recall" }
	for i := range 4 {
		f.expect(f.arrive(cluster.RequestID(fmt.Sprint(i)), rare, withPatience(2*time.Second)), "")
	}
	for _, effect := range f.advance(2 * time.Second) {
		if finish := effect.(Finish); finish.Failure.RetryAfter != 6*time.Second {
			t.Fatalf("got %+v, want a retry time of 6 s", finish.Failure)
		}
	}
}

// TestOnlyShortestLoadTimeRefuses guards against refusing a request for a model that is not
// loading, unless even the shortest load observed would end too late. The retry time is based on
// the mean.
func TestOnlyShortestLoadTimeRefuses(t *testing.T) {
	f := newFixture(t, testPolicy())
	for _, took := range []time.Duration{8 * time.Second, 2 * time.Second} {
		f.status(true, loading("m1", took))
		f.advance(took)
		f.status(false, loaded("m1", 4))
		f.status(true)
	}
	f.expect(f.arrive("a", withPatience(3*time.Second)), "")
	finish := f.arrive("b", withPatience(time.Second))[0].(Finish)
	if finish.Failure.Code != verdict.CodeDeadlineUnmeetable || finish.Failure.RetryAfter != 7400*time.Millisecond {
		t.Fatalf("got %+v, want a retry time of 7.4 s", finish.Failure)
	}
}

// TestUrgentCallersAreToldToReturnFirst guards against an urgent caller whose retry time comes
// after those of less urgent callers that were refused before it.
func TestUrgentCallersAreToldToReturnFirst(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.step(RoutersChanged{Routers: 1})
	record := loading("m1", 20*time.Second)
	record.Slots = 1
	f.status(true, record)
	retryTime := func(id cluster.RequestID, priority int) time.Duration {
		return f.arrive(id, withDeadline(time.Second), func(r *Request) { r.Priority = priority })[0].(Finish).Failure.RetryAfter
	}
	for i, test := range []struct {
		priority int
		want     time.Duration
	}{{3, 20 * time.Second}, {3, 21 * time.Second}, {3, 22 * time.Second}, {7, 20 * time.Second}, {7, 21 * time.Second}, {3, 25 * time.Second}} {
		if got := retryTime(cluster.RequestID(fmt.Sprint(i)), test.priority); got != test.want {
			t.Fatalf("caller %d is told to retry after %v, want %v", i, got, test.want)
		}
	}
}

// TestEarlyRetriesDelayNoOtherCaller guards against a caller that ignores its retry time and
// retries at once, and counts several times among those expected back.
func TestEarlyRetriesDelayNoOtherCaller(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.step(RoutersChanged{Routers: 1})
	record := loading("m1", 20*time.Second)
	record.Slots = 1
	f.status(true, record)
	retryTime := func(id cluster.RequestID, back bool) time.Duration {
		return f.arrive(id, withDeadline(time.Second), func(r *Request) { r.Returned = back })[0].(Finish).Failure.RetryAfter
	}
	first := retryTime("a", false)
	for i := range 50 {
		if again := retryTime(cluster.RequestID(fmt.Sprint("a", i)), true); again != first {
			t.Fatalf("attempt %d is told to retry after %v, the first after %v", i, again, first)
		}
	}
	if second := retryTime("b", false); second != first+time.Second {
		t.Fatalf("the second caller is told to retry after %v, want one second more than %v", second, first)
	}
}

// TestWaitEndsBeforePatience guards against a caller that leaves without having been told when to
// retry.
func TestWaitEndsBeforePatience(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.arrive("a", withObjective(withPatience(4*time.Second)))
	f.expect(f.advance(3700*time.Millisecond), "")
	f.expect(f.advance(100*time.Millisecond), "finish a queue_timeout not-run; ")
}

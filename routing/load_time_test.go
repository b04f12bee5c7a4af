package routing

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
)

// newUnloadedFixture returns a router with a model that no machine holds and whose load takes at
// least the given time.
func newUnloadedFixture(t *testing.T, least time.Duration) *fixture {
	t.Helper()
	f := newFixture(t, testPolicy())
	f.router.config.MinLoadTime = func(cluster.ModelID) time.Duration { return least }
	return f
}

// TestRequestThatNoLoadCanServeIsRefusedOnArrival guards against requests that wait in vain for
// models stored only in the weight store: with loads of 13 to 20 s and callers that stay 7.6 of 8
// s, all waited until they left. The refusal states when a load that begins now would end, and the
// caller counts as demand until then.
func TestRequestThatNoLoadCanServeIsRefusedOnArrival(t *testing.T) {
	f := newUnloadedFixture(t, 13*time.Second)
	finish, ended := f.arrive("a", withObjective())[0].(Finish)
	if !ended || finish.Failure.Verdict != verdict.NotRun || finish.Failure.Code != verdict.CodeDeadlineUnmeetable {
		t.Fatalf("got %+v, want a refusal", finish)
	}
	if finish.Failure.RetryAfter != 13*time.Second {
		t.Errorf("retry time %v, want the minimum load time", finish.Failure.RetryAfter)
	}
	if demand := f.router.Demand(f.now, true); len(demand.Models) != 1 || demand.Models[0].Waiting != 1 {
		t.Errorf("demand %+v, want the caller counted", demand.Models)
	}
}

// TestWaitingRequestIsRefusedOnceNoLoadCanServeIt guards against a request that waits longer than
// any load could still serve it, and against the refusal of one whose load has begun in time.
func TestWaitingRequestIsRefusedOnceNoLoadCanServeIt(t *testing.T) {
	f := newUnloadedFixture(t, 2*time.Second)
	f.expect(f.arrive("a", withObjective()), "")
	f.expect(f.advance(5500*time.Millisecond), "")
	f.expect(f.advance(200*time.Millisecond), "finish a deadline_unmeetable not-run; ")
	f = newUnloadedFixture(t, 2*time.Second)
	f.expect(f.arrive("b", withObjective()), "")
	f.advance(5 * time.Second)
	f.expect(f.status(true, loading("m1", 2*time.Second)), "")
	f.expect(f.advance(1500*time.Millisecond), "")
	f.advance(500 * time.Millisecond)
	f.expect(f.status(true, loaded("m1", 1)), "dispatch b/1 to m1; ")
}

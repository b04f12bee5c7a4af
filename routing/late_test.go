package routing

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/verdict"
)

// aimed states an objective of 2 s, a patience of 8 s and 20 s in all.
func aimed(change ...func(*Request)) func(*Request) {
	return func(r *Request) {
		r.Objective, r.Patience = 2*time.Second, 8*time.Second
		within(20 * time.Second)(r)
		for _, c := range change {
			c(r)
		}
	}
}

func returned(r *Request) { r.Returned = true }

// TestLateRequestIsRefusedAtOnce: a load that ends after the objective has its callers
// told at once when to come back, if they heed so long a wait and haven't come back
// already.
func TestLateRequestIsRefusedAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		ready  time.Duration
		change func(*Request)
		want   string
	}{
		"late":               {5 * time.Second, aimed(), "finish a deadline_unmeetable not-run; "},
		"in time":            {time.Second, aimed(), ""},
		"longer than heeded": {7 * time.Second, aimed(), ""},
		"come back already":  {5 * time.Second, aimed(returned), ""},
		"without objective":  {5 * time.Second, within(20 * time.Second), ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, testPolicy())
			f.arrive("a", test.change)
			f.expect(f.status(true, loading("m1", test.ready)), test.want)
		})
	}
}

// TestLateRefusalSaysWhen: the refused caller is told when the model is expected, and it
// counts as waiting until then.
func TestLateRefusalSaysWhen(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loading("m1", 5*time.Second))
	finish := f.arrive("a", aimed())[0].(Finish)
	if finish.Failure.Verdict != verdict.NotRun || finish.Failure.RetryAfter != 5*time.Second {
		t.Fatalf("got %+v, want to come back in 5 s", finish.Failure)
	}
	demand := f.router.Demand(f.now, true)
	if len(demand.Models) != 1 || demand.Models[0].Waiting != 1 || demand.Models[0].Objective != 2*time.Second {
		t.Fatalf("demand %+v, want the caller counted with its objective", demand.Models)
	}
}

// TestRequestThatHasWaitedIsNotLate: after a quarter of its objective a request waits on,
// since its caller would gain nothing by coming back.
func TestRequestThatHasWaitedIsNotLate(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.arrive("a", aimed())
	f.pass(600 * time.Millisecond)
	f.expect(f.status(true, loading("m1", 5*time.Second)), "")
}

// TestWaitEndsWithPatience: a caller that would leave soon is told when to come back.
func TestWaitEndsWithPatience(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.arrive("a", aimed(), func(r *Request) { r.Patience = 4 * time.Second })
	f.expect(f.pass(3700*time.Millisecond), "")
	f.expect(f.pass(100*time.Millisecond), "finish a queue_timeout not-run; ")
}

package routing

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
)

// copiesAt is a fixture whose model nobody holds, with a load that takes at least so long.
func copiesAt(t *testing.T, least time.Duration) *fixture {
	t.Helper()
	f := newFixture(t, testPolicy())
	f.router.config.LeastLoad = func(cluster.ModelID) time.Duration { return least }
	return f
}

// TestHopelessRequestsAreRefusedAtOnce answers a load in which rare models are asked for that
// lie in the weight store only, 13 to 20 s away, while callers stay for 7.6 s of their 8: all
// of them waited until they left. One that no load can serve is refused on arrival, with the
// time at which a load that begins now is over; it counts as demand until then.
func TestHopelessRequestsAreRefusedAtOnce(t *testing.T) {
	f := copiesAt(t, 13*time.Second)
	finish, ended := f.arrive("a", aimed())[0].(Finish)
	if !ended || finish.Failure.Verdict != verdict.NotRun || finish.Failure.Code != verdict.CodeDeadlineUnmeetable {
		t.Fatalf("got %+v, want a refusal", finish)
	}
	if finish.Failure.RetryAfter != 13*time.Second {
		t.Errorf("told to come back in %v, want the time of a load", finish.Failure.RetryAfter)
	}
	if demand := f.router.Demand(f.now, true); len(demand.Models) != 1 || demand.Models[0].Waiting != 1 {
		t.Errorf("demand %+v, want the caller counted", demand.Models)
	}
}

// TestRequestIsRefusedOnceItIsHopeless: a request that a load could serve waits for one to
// begin, and is refused at the moment from which on none could be over in time. One whose
// load has begun by then waits on.
func TestRequestIsRefusedOnceItIsHopeless(t *testing.T) {
	f := copiesAt(t, 2*time.Second)
	f.expect(f.arrive("a", aimed()), "")
	f.expect(f.pass(5500*time.Millisecond), "")
	f.expect(f.pass(200*time.Millisecond), "finish a deadline_unmeetable not-run; ")
	f = copiesAt(t, 2*time.Second)
	f.expect(f.arrive("b", aimed()), "")
	f.pass(5 * time.Second)
	f.expect(f.status(true, loading("m1", 2*time.Second)), "")
	f.expect(f.pass(1500*time.Millisecond), "")
	f.pass(500 * time.Millisecond)
	f.expect(f.status(true, loaded("m1", 1)), "dispatch b/1 to m1; ")
}

package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
)

// TestMachineServesAgainAfterFailedAttempt guards against a machine that failed one attempt and then gets no request for
// as long as another one is free, although only an attempt could show that it works. It must be avoided at first.
func TestMachineServesAgainAfterFailedAttempt(t *testing.T) {
	const (
		interval    = 10 * time.Millisecond
		avoidedFor  = 3 * time.Second
		servesAfter = 20 * time.Second
	)
	f := newWindowFixture(t, 100)
	f.status(true, loaded("m1", 8), loaded("m2", 8))
	failed := time.Duration(-1)
	for elapsed := time.Duration(0); elapsed < servesAfter; elapsed += interval {
		id := cluster.RequestID(fmt.Sprintf("r%d", elapsed/interval))
		dispatch, dispatched := f.arrive(id)[0].(Dispatch)
		if !dispatched {
			t.Fatalf("request %s was not dispatched", id)
		}
		event := AttemptEnded{Request: id, Attempt: 1}
		if dispatch.Machine == "m1" && failed < 0 {
			failed, event.Answered = elapsed, true
			event.Failure = verdict.New(verdict.Ran, verdict.CodeEngineFailed, "failed")
		} else if dispatch.Machine == "m1" {
			if elapsed-failed < avoidedFor {
				t.Fatalf("a request was sent to the machine %s after it failed one", elapsed-failed)
			}
			return
		}
		f.step(event)
		f.advance(interval)
	}
	t.Fatalf("no request was sent to the machine within %s after it failed one", servesAfter)
}

package relay

import (
	"testing"

	"github.com/valveslip/valveslip/routing"
)

// TestTakeReturnsWithoutWaiting guards against a Take that blocks on an empty queue, and
// against effects that are lost, repeated or out of order.
func TestTakeReturnsWithoutWaiting(t *testing.T) {
	ticket := NewTicket(nil)
	if effect, found := ticket.Take(); found {
		t.Fatalf("Take of an empty ticket returned %v", effect)
	}
	ticket.Deliver(routing.Dispatch{Attempt: 1})
	ticket.Deliver(routing.Finish{})
	first, _ := ticket.Take()
	if dispatch, isDispatch := first.(routing.Dispatch); !isDispatch || dispatch.Attempt != 1 {
		t.Errorf("the first effect is %v, want the dispatch of attempt 1", first)
	}
	if last, _ := ticket.Take(); last == nil {
		t.Error("the second effect was not returned")
	}
	if effect, found := ticket.Take(); found {
		t.Errorf("Take returned %v after the last effect", effect)
	}
}

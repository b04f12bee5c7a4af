package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

// TestHeldAttemptIsSent: a request that waits for its time at an engine is sent when it has
// come, and its wait is told.
func TestHeldAttemptIsSent(t *testing.T) {
	n := newEngineNode(t, "e1")
	held := n.askUntilHeld()
	n.pass(4 * time.Second)
	if n.sent[held] != "e1" {
		t.Errorf("sent to %q within its objective, want e1", n.sent[held])
	}
}

// TestCallerLeavesWhileHeld: nothing is sent for it, and nobody waits behind it.
func TestCallerLeavesWhileHeld(t *testing.T) {
	n := newEngineNode(t, "e1")
	held := n.askUntilHeld()
	known := n.core.dispatchClient.dispatcher.Known()
	n.step(RoutingInput{Event: routing.CallerGone{Request: held}})
	n.pass(4 * time.Second)
	if machine, sent := n.sent[held]; sent {
		t.Errorf("sent to %s though the caller has left", machine)
	}
	if after := n.core.dispatchClient.dispatcher.Known(); after != known-1 {
		t.Errorf("%d attempts are booked, %d before the caller left", after, known)
	}
}

// TestMachineLeavesWhileHeld: a request that was to go to a machine which says meanwhile that
// it leaves goes to another one, or is refused; it never reaches that one.
func TestMachineLeavesWhileHeld(t *testing.T) {
	for _, other := range []bool{true, false} {
		n := newEngineNode(t, "e1")
		held := n.askUntilHeld()
		n.engines(true, "e1")
		if other {
			n.engines(false, "e2")
		}
		n.pass(5 * time.Second)
		if n.sent[held] == "e1" {
			t.Errorf("other=%t: sent to a machine that leaves", other)
		}
		if other && n.sent[held] != "e2" {
			t.Errorf("sent to %q, want e2", n.sent[held])
		}
	}
}

// TestEngineEndsWhileHeld: the same where the machine is gone without a word.
func TestEngineEndsWhileHeld(t *testing.T) {
	n := newEngineNode(t, "e1")
	held := n.askUntilHeld()
	n.engines(false, "e2")
	n.step(WorkersRead{Gone: []cluster.MachineID{"e1"}})
	n.pass(5 * time.Second)
	if n.sent[held] != "e2" {
		t.Errorf("sent to %q, want e2", n.sent[held])
	}
}

// TestDispatcherDoesNotAnswer: a request waits for it for 40 ms at most.
func TestDispatcherDoesNotAnswer(t *testing.T) {
	n := newEngineNode(t, "e1")
	n.joins("n2")
	id := n.ask()
	if _, sent := n.sent[id]; sent {
		t.Error("sent without asking the node with more capacity")
	}
	n.pass(45 * time.Millisecond)
	if n.sent[id] != "e1" {
		t.Errorf("sent to %q after 45 ms, want e1", n.sent[id])
	}
	n.ask()
	questions := 0
	for _, message := range n.out {
		if _, asked := message.(wire.EngineRequest); asked {
			questions++
		}
	}
	if questions != 1 {
		t.Errorf("the silent node is asked %d times in 45 ms, want once", questions)
	}
}

// TestLateAnswerIsNoSecondSend: an answer that comes after the request was sent changes
// nothing.
func TestLateAnswerIsNoSecondSend(t *testing.T) {
	n := newEngineNode(t, "e1", "e2")
	n.joins("n2")
	id := n.ask()
	n.pass(45 * time.Millisecond)
	first := n.sent[id]
	delete(n.sent, id)
	n.answer(wire.EngineAnswer{Machine: "e2"})
	n.pass(10 * time.Millisecond)
	if again, sent := n.sent[id]; sent {
		t.Errorf("sent to %s and then to %s", first, again)
	}
}

// TestContinuationDoesNotGiveWay: an answer that was cut after its objective goes on at another
// engine as soon as its caller bears, and gives way to nobody there.
func TestContinuationDoesNotGiveWay(t *testing.T) {
	n := newEngineNode(t, "e1", "e2")
	n.joins("n2")
	id := n.ask()
	n.answer(wire.EngineAnswer{Machine: "e1"})
	n.pass(10 * time.Millisecond)
	n.step(RoutingInput{Event: routing.FirstByteSent{Request: id}})
	n.pass(5 * time.Second)
	n.step(RoutingInput{Event: routing.AttemptEnded{
		Request: id, Attempt: n.attempt(id), Broken: true, Failure: verdict.New(verdict.Ran, verdict.CodeStreamCut, "the stream was cut"),
	}})
	work := n.answer(wire.EngineAnswer{Machine: "e2", Background: true})
	n.pass(10 * time.Millisecond)
	if work.Objective != 500*time.Millisecond {
		t.Errorf("the next event is wanted within %v, want 500ms", work.Objective)
	}
	if n.last.Machine != "e2" || n.last.Reason.Forecast.Background {
		t.Errorf("sent to %s, background %t, want e2 and not", n.last.Machine, n.last.Reason.Forecast.Background)
	}
}

// TestOrdersHoldWithDispatcher: nodes that place attempts by one of them, under kills, cuts and
// outages, serve as before and give engines no order that they must not get.
func TestOrdersHoldWithDispatcher(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(seed, 4, 3, true)
			w.playTrouble(t)
		})
	}
}

// TestCalmDayWithDispatcher: on a calm day every request is served within its deadline.
func TestCalmDayWithDispatcher(t *testing.T) {
	w := newWorld(7, 3, 3, true)
	w.playCalm(t)
}

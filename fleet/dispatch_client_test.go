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

// Guards against attempts that are held for an engine and never sent.
func TestHeldAttemptIsSentWithinObjective(t *testing.T) {
	n := newEngineNode(t, "e1")
	held := n.sendUntilHeld()
	n.advance(4 * time.Second)
	if n.sent[held] != "e1" {
		t.Errorf("sent to %q within its objective, want e1", n.sent[held])
	}
}

// Guards against sending a held attempt whose caller has gone, and against other requests waiting
// behind it.
func TestCallerGoneWhileHeldCancelsAttempt(t *testing.T) {
	n := newEngineNode(t, "e1")
	held := n.sendUntilHeld()
	known := n.core.dispatchClient.dispatcher.TrackedAttempts()
	n.step(RoutingInput{Event: routing.CallerGone{Request: held}})
	n.advance(4 * time.Second)
	if machine, sent := n.sent[held]; sent {
		t.Errorf("sent to %s although the caller is gone", machine)
	}
	if after := n.core.dispatchClient.dispatcher.TrackedAttempts(); after != known-1 {
		t.Errorf("%d attempts are booked, %d before the caller left", after, known)
	}
}

// Guards against sending a held attempt to a machine that has announced meanwhile that it leaves.
// The attempt goes to another machine if there is one, else it is refused.
func TestMachineLeavingWhileHeldGetsNoAttempt(t *testing.T) {
	for _, other := range []bool{true, false} {
		n := newEngineNode(t, "e1")
		held := n.sendUntilHeld()
		n.putEngines(true, "e1")
		if other {
			n.putEngines(false, "e2")
		}
		n.advance(5 * time.Second)
		if n.sent[held] == "e1" {
			t.Errorf("other=%t: sent to a machine that leaves", other)
		}
		if other && n.sent[held] != "e2" {
			t.Errorf("sent to %q, want e2", n.sent[held])
		}
	}
}

// Guards against sending a held attempt to a machine that is gone without an announcement.
func TestMachineGoneWhileHeldMovesAttempt(t *testing.T) {
	n := newEngineNode(t, "e1")
	held := n.sendUntilHeld()
	n.putEngines(false, "e2")
	n.step(WorkersRead{Gone: []cluster.MachineID{"e1"}})
	n.advance(5 * time.Second)
	if n.sent[held] != "e2" {
		t.Errorf("sent to %q, want e2", n.sent[held])
	}
}

// Guards against requests that wait for an unresponsive dispatcher for longer than 40 ms, and
// against asking it again for each request.
func TestUnansweredPlacementIsSentAfterTimeout(t *testing.T) {
	n := newEngineNode(t, "e1")
	n.addDispatcher("n2")
	id := n.sendRequest()
	if _, sent := n.sent[id]; sent {
		t.Error("sent without asking the dispatcher")
	}
	n.advance(45 * time.Millisecond)
	if n.sent[id] != "e1" {
		t.Errorf("sent to %q after 45 ms, want e1", n.sent[id])
	}
	n.sendRequest()
	questions := 0
	for _, message := range n.messages {
		if _, asked := message.(wire.EngineRequest); asked {
			questions++
		}
	}
	if questions != 1 {
		t.Errorf("the unresponsive dispatcher was asked %d times in 45 ms, want once", questions)
	}
}

// Guards against sending an attempt twice because the dispatcher's answer comes after the
// timeout.
func TestLatePlacementAnswerCausesNoSecondSend(t *testing.T) {
	n := newEngineNode(t, "e1", "e2")
	n.addDispatcher("n2")
	id := n.sendRequest()
	n.advance(45 * time.Millisecond)
	first := n.sent[id]
	delete(n.sent, id)
	n.answerLastQuestion(wire.EngineAnswer{Machine: "e2"})
	n.advance(10 * time.Millisecond)
	if again, sent := n.sent[id]; sent {
		t.Errorf("sent to %s and then to %s", first, again)
	}
}

// Guards against a continuation of a cut stream that is sent as background work after its
// objective has passed. Machines reject background work first, and the caller bears only its
// longest pause.
func TestContinuationIsNotBackgroundWork(t *testing.T) {
	n := newEngineNode(t, "e1", "e2")
	n.addDispatcher("n2")
	id := n.sendRequest()
	n.answerLastQuestion(wire.EngineAnswer{Machine: "e1"})
	n.advance(10 * time.Millisecond)
	n.step(RoutingInput{Event: routing.FirstByteSent{Request: id}})
	n.advance(5 * time.Second)
	n.step(RoutingInput{Event: routing.AttemptEnded{
		Request: id, Attempt: n.attempt(id), Broken: true, Failure: verdict.New(verdict.Ran, verdict.CodeStreamCut, "the stream was cut"),
	}})
	work := n.answerLastQuestion(wire.EngineAnswer{Machine: "e2", Background: true})
	n.advance(10 * time.Millisecond)
	if work.Objective != 500*time.Millisecond {
		t.Errorf("the next event is wanted within %v, want 500ms", work.Objective)
	}
	if n.last.Machine != "e2" || n.last.Reason.Forecast.Background {
		t.Errorf("sent to %s, background %t, want e2 and not", n.last.Machine, n.last.Reason.Forecast.Background)
	}
}

// Guards against unsafe orders under kills, cuts and outages when one node places the attempts of
// all.
func TestOrdersAreSafeWithDispatcher(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			s := newDispatchSimulation(seed, 4, 3, true)
			s.requireSafeOrdersUnderFaults(t)
		})
	}
}

// Guards against requests that miss their deadline without any fault when one node places all
// attempts.
func TestRequestsAreServedWithDispatcher(t *testing.T) {
	s := newDispatchSimulation(7, 3, 3, true)
	s.requireServedWithoutFaults(t)
}

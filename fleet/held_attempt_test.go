package fleet

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
)

// Guards against holding an attempt until its send time although its machine leaves or is gone.
// It goes to another machine at once, and the dispatcher drops its booking at the first.
func TestLeavingMachineReleasesHeldAttemptAtOnce(t *testing.T) {
	for _, gone := range []bool{true, false} {
		n := newEngineNode(t, "e1")
		held := n.sendUntilHeld()
		n.putEngines(false, "e2")
		known := n.core.dispatchClient.dispatcher.TrackedAttempts()
		if gone {
			known = 0
			n.step(WorkersRead{Gone: []cluster.MachineID{"e1"}})
		} else {
			n.putEngines(true, "e1")
		}
		if n.sent[held] != "e2" {
			t.Errorf("gone=%t: sent to %q at once, want e2", gone, n.sent[held])
		}
		if after := n.core.dispatchClient.dispatcher.TrackedAttempts(); after != max(known, 1) {
			t.Errorf("gone=%t: %d attempts are booked, want %d", gone, after, max(known, 1))
		}
	}
}

// Guards against a node that sends held attempts by stale state after its process was suspended.
func TestPauseWhileHeldSendsNothingUntilStoreIsRead(t *testing.T) {
	n := newEngineNode(t, "e1")
	held := n.sendUntilHeld()
	n.now = n.now.Add(4 * time.Second)
	n.step(Paused{For: 4 * time.Second})
	if machine, sent := n.sent[held]; sent {
		t.Errorf("sent to %s by the state from before the pause", machine)
	}
	n.step(StoreSynced{})
	n.advance(3 * time.Second)
	if n.sent[held] != "e1" {
		t.Errorf("sent to %q after the pause, want e1", n.sent[held])
	}
}

// Guards against a stopping node that sends its held attempts, or drops them without a refusal.
func TestDrainRefusesHeldAttemptAsNotRun(t *testing.T) {
	n := newEngineNode(t, "e1")
	held := n.sendUntilHeld()
	n.step(DrainStarted{})
	if failure := n.failures[held]; failure == nil || failure.Verdict != verdict.NotRun {
		t.Errorf("ended by %v, want a refusal as not run", failure)
	}
	n.advance(5 * time.Second)
	if machine, sent := n.sent[held]; sent {
		t.Errorf("sent to %s although it was refused", machine)
	}
}

// Guards against sending a held attempt after its key was revoked or the key proof has expired.
func TestHeldAttemptIsRefusedWithoutCurrentKey(t *testing.T) {
	for name, change := range map[string]func(n *engineNode){
		"proof too old":  func(n *engineNode) { n.now = n.now.Add(testKeyProof); n.step(Tick{}) },
		"key taken away": func(n *engineNode) { n.configure(2, "m", "h2") },
	} {
		n := newKeyedEngineNode(t, "e1")
		held := n.sendUntilHeld()
		change(n)
		n.advance(time.Millisecond)
		if machine, sent := n.sent[held]; sent {
			t.Errorf("%s: sent to %s", name, machine)
		}
		if failure := n.failures[held]; failure == nil || failure.Verdict != verdict.NotRun {
			t.Errorf("%s: ended by %v, want a refusal as not run at once", name, failure)
		}
	}
}

// Guards against holding an attempt for longer than its tenant's tokens are valid.
func TestHeldAttemptIsSentWithValidTokens(t *testing.T) {
	n := newKeyedEngineNode(t, "e1")
	held := n.sendUntilHeld()
	for range 1000 {
		n.advance(time.Millisecond)
		if _, sent := n.sent[held]; sent {
			if failure := n.core.MaySend(n.now, held); failure != nil {
				t.Error(failure)
			}
			return
		}
	}
	t.Error("not sent within a second")
}

// Guards against sending a held attempt for a model that a new configuration has removed.
func TestModelRemovedWhileHeldRefusesRequest(t *testing.T) {
	n := newEngineNode(t, "e1")
	held := n.sendUntilHeld()
	n.configure(2, "other")
	n.advance(4 * time.Second)
	if machine, sent := n.sent[held]; sent {
		t.Errorf("sent to %s", machine)
	}
	if failure := n.failures[held]; failure == nil || failure.Verdict != verdict.NotRun || failure.Code != verdict.CodeModelNotFound {
		t.Errorf("ended by %v, want a refusal as not run", failure)
	}
}

// Guards against leaks at the node and at the dispatcher, whichever way requests end.
func TestEndedRequestsLeaveNoState(t *testing.T) {
	n := newEngineNode(t, "e1", "e2")
	for i := range 40 {
		id := n.sendRequest()
		n.advance(100 * time.Millisecond)
		switch _, sent := n.sent[id]; {
		case sent && i%2 == 0:
			n.step(RoutingInput{Event: routing.AttemptEnded{Request: id, Attempt: n.attempt(id)}})
		case i%3 == 0:
			n.step(RoutingInput{Event: routing.CallerGone{Request: id}})
		}
		if i == 20 {
			n.putEngines(true, "e2")
		}
	}
	n.advance(20 * time.Second)
	d := n.core.dispatchClient
	if left := len(d.requests) + len(d.pending) + len(d.held) + d.dispatcher.TrackedAttempts() + d.dispatcher.OwnAttempts(); left != 0 {
		t.Errorf("%d requests, %d asked, %d held, %d booked, %d under way",
			len(d.requests), len(d.pending), len(d.held), d.dispatcher.TrackedAttempts(), d.dispatcher.OwnAttempts())
	}
}

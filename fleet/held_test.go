package fleet

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
)

// TestMachineThatLeftHoldsNothingUp: a request that waits for a machine goes to another one as
// soon as the first is known to leave or to be gone, not when its time there would have come,
// and the dispatcher no longer counts it at the first.
func TestMachineThatLeftHoldsNothingUp(t *testing.T) {
	for _, gone := range []bool{true, false} {
		n := newEngineNode(t, "e1")
		held := n.askUntilHeld()
		n.engines(false, "e2")
		known := n.core.dispatchClient.dispatcher.Known()
		if gone {
			known = 0
			n.step(WorkersRead{Gone: []cluster.MachineID{"e1"}})
		} else {
			n.engines(true, "e1")
		}
		if n.sent[held] != "e2" {
			t.Errorf("gone=%t: sent to %q at once, want e2", gone, n.sent[held])
		}
		if after := n.core.dispatchClient.dispatcher.Known(); after != max(known, 1) {
			t.Errorf("gone=%t: %d attempts are booked, want %d", gone, after, max(known, 1))
		}
	}
}

// TestPauseWhileHeld: a node that stood still sends nothing by what it knew before.
func TestPauseWhileHeld(t *testing.T) {
	n := newEngineNode(t, "e1")
	held := n.askUntilHeld()
	n.now = n.now.Add(4 * time.Second)
	n.step(Paused{For: 4 * time.Second})
	if machine, sent := n.sent[held]; sent {
		t.Errorf("sent to %s by what was known before the pause", machine)
	}
	n.step(StoreSynced{})
	n.pass(3 * time.Second)
	if n.sent[held] != "e1" {
		t.Errorf("sent to %q after the pause, want e1", n.sent[held])
	}
}

// TestDrainWhileHeld: a node that stops refuses what it holds as not run.
func TestDrainWhileHeld(t *testing.T) {
	n := newEngineNode(t, "e1")
	held := n.askUntilHeld()
	n.step(DrainStarted{})
	if failure := n.ends[held]; failure == nil || failure.Verdict != verdict.NotRun {
		t.Errorf("ended by %v, want a refusal as not run", failure)
	}
	n.pass(5 * time.Second)
	if machine, sent := n.sent[held]; sent {
		t.Errorf("sent to %s though it was refused", machine)
	}
}

// TestHeldAttemptNeedsTheKeyAtItsTime: what is decided about a request while it waits for an
// engine is looked at again when it is sent, and a key that was taken away ends it at once.
func TestHeldAttemptNeedsTheKeyAtItsTime(t *testing.T) {
	for name, change := range map[string]func(n *engineNode){
		"proof too old":  func(n *engineNode) { n.now = n.now.Add(gateProof); n.step(Tick{}) },
		"key taken away": func(n *engineNode) { n.configure(2, "m", "h2") },
	} {
		n := newKeyedEngineNode(t, "e1")
		held := n.askUntilHeld()
		change(n)
		n.pass(time.Millisecond)
		if machine, sent := n.sent[held]; sent {
			t.Errorf("%s: sent to %s", name, machine)
		}
		if failure := n.ends[held]; failure == nil || failure.Verdict != verdict.NotRun {
			t.Errorf("%s: ended by %v, want a refusal as not run at once", name, failure)
		}
	}
}

// TestHeldAttemptGoesByFreshTokens: whoever limits a tenant grants its tokens for a moment only.
func TestHeldAttemptGoesByFreshTokens(t *testing.T) {
	n := newKeyedEngineNode(t, "e1")
	held := n.askUntilHeld()
	for range 1000 {
		n.pass(time.Millisecond)
		if _, sent := n.sent[held]; sent {
			if failure := n.core.MaySend(n.now, held); failure != nil {
				t.Error(failure)
			}
			return
		}
	}
	t.Error("not sent within a second")
}

// TestModelRemovedWhileHeld: nothing is sent to a model that the configuration no longer names.
func TestModelRemovedWhileHeld(t *testing.T) {
	n := newEngineNode(t, "e1")
	held := n.askUntilHeld()
	n.configure(2, "other")
	n.pass(4 * time.Second)
	if machine, sent := n.sent[held]; sent {
		t.Errorf("sent to %s", machine)
	}
	if failure := n.ends[held]; failure == nil || failure.Verdict != verdict.NotRun || failure.Code != verdict.CodeModelNotFound {
		t.Errorf("ended by %v, want a refusal as not run", failure)
	}
}

// TestNothingStaysOfEndedRequests: neither at the node nor at the dispatcher, however they end.
func TestNothingStaysOfEndedRequests(t *testing.T) {
	n := newEngineNode(t, "e1", "e2")
	for i := range 40 {
		id := n.ask()
		n.pass(100 * time.Millisecond)
		switch _, sent := n.sent[id]; {
		case sent && i%2 == 0:
			n.step(RoutingInput{Event: routing.AttemptEnded{Request: id, Attempt: n.attempt(id)}})
		case i%3 == 0:
			n.step(RoutingInput{Event: routing.CallerGone{Request: id}})
		}
		if i == 20 {
			n.engines(true, "e2")
		}
	}
	n.pass(20 * time.Second)
	d := n.core.dispatchClient
	if left := len(d.requests) + len(d.pending) + len(d.held) + d.dispatcher.Known() + d.dispatcher.UnderWay(); left != 0 {
		t.Errorf("%d requests, %d asked, %d held, %d booked, %d under way",
			len(d.requests), len(d.pending), len(d.held), d.dispatcher.Known(), d.dispatcher.UnderWay())
	}
}

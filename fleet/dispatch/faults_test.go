package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/work"
	"github.com/valveslip/valveslip/wire"
)

// TestLateAnswerDoesNotEndBackoff: an answer after the timeout must not end the back-off.
// Otherwise each request would start 40 ms late for as long as the dispatcher is overloaded.
func TestLateAnswerDoesNotEndBackoff(t *testing.T) {
	g := newTestCluster(t, "a", "b")
	g.dead["a"] = true
	g.placeAndSend("b", 1, chat(), "x", "x")
	g.step("b", MessageReceived{Message: wire.EngineAnswer{From: "a", Number: 1, Machine: "x"}})
	if next := g.placeAndSend("b", 2, chat(), "x", "x"); next.Dispatcher != "b" {
		t.Errorf("dispatcher %q placed the next request, want b without a timeout", next.Dispatcher)
	}
}

// TestPrefillOfRemovedNodeEnds: an engine whose prefills all belonged to a node that is gone must
// count as idle, however long ago the prefill began.
func TestPrefillOfRemovedNodeEnds(t *testing.T) {
	g := newTestCluster(t, "a", "b", "c")
	g.placeAndSend("b", 1, chat(), "", "x")
	g.step("b", FirstEventReceived{Number: 1})
	g.advance(4 * progressDelay)
	g.placeAndSend("c", 1, longPrompt(), "", "x")
	g.step("a", PeersChanged{Peers: g.peers[:2]})
	g.advance(10 * time.Second)
	book := g.cores["a"].tracker
	if burst := book.engines["x"].prefillBurst(g.now.UnixNano(), prefillSpan{start: g.now.UnixNano(), end: g.now.UnixNano()}, nil); burst > time.Second {
		t.Errorf("engine counts as busy with prefills for %s", burst)
	}
}

// TestDelayIsBoundedByDeadline: a request whose deadline comes before its objective must not be
// delayed until its deadline.
func TestDelayIsBoundedByDeadline(t *testing.T) {
	f := newLocalDispatcher(t)
	f.startChats("x", 8)
	for range 4 {
		f.placeAndSend(longPrompt(), "x")
	}
	w := longPrompt()
	w.Objective, w.Left = 20*time.Second, 700*time.Millisecond
	if delay := f.placeAndSend(w, "x").Delay; delay > w.Left*9/10 {
		t.Errorf("delayed by %s of the %s until its deadline", delay, w.Left)
	}
}

// TestIdleEnginesAreRemoved: a node may reference an engine after its removal, and no second
// removal event follows. The entries must not accumulate.
func TestIdleEnginesAreRemoved(t *testing.T) {
	f := newLocalDispatcher(t)
	for i := range 100 {
		engine := cluster.MachineID(fmt.Sprint("e", i))
		f.placeAndSend(chat(), engine)
		f.core.Step(f.now, AttemptEnded{Number: f.lastNumber, Read: true})
	}
	f.advance(2 * engineIdleTimeout)
	f.placeAndSend(chat(), "x")
	if known := len(f.core.tracker.engines); known != 1 {
		t.Errorf("%d engines kept, want only the referenced one", known)
	}
}

// TestFormerDispatcherDropsExpiredAttempts: a node that is no longer asked must drop the attempts
// that it tracked once they have expired, so that its metric returns to zero.
func TestFormerDispatcherDropsExpiredAttempts(t *testing.T) {
	g := newTestCluster(t, "a", "b")
	g.placeAndSend("b", 1, longPrompt(), "", "x")
	g.step("b", PeersChanged{Peers: g.peers[1:]})
	g.advance(longPrompt().Left + 2*sweepInterval)
	if known := g.cores["a"].TrackedAttempts(); known != 0 {
		t.Errorf("%d expired attempts still tracked", known)
	}
}

// TestUnknownBacklogIsNotObserved: the time to the first event of an attempt that waited for
// prompts unknown to the dispatcher must not change the speed estimate of its engine.
func TestUnknownBacklogIsNotObserved(t *testing.T) {
	f := newLocalDispatcher(t)
	f.placeAndSend(chat(), "x")
	f.core.Step(f.now, AttemptEnded{Number: f.lastNumber, Read: true})
	learned := f.core.tracker.estimator("pool/plan")
	prompt := work.Prompt{Tokens: 9200}
	before := learned.PrefillTime("x", "pool/plan", prompt)
	for range 30 {
		f.lastNumber++
		f.core.Step(f.now, AttemptSent{Number: f.lastNumber, Machine: "x", Work: longPrompt()})
		f.advance(3 * time.Second)
		f.core.Step(f.now, FirstEventReceived{Number: f.lastNumber})
		f.core.Step(f.now, AttemptEnded{Number: f.lastNumber, Read: true})
	}
	if after := learned.PrefillTime("x", "pool/plan", prompt); after != before {
		t.Errorf("estimated prefill time is %s, was %s before", after, before)
	}
}

package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/wire"
)

// simulation holds several cores, the accepted histories and the messages in flight. It
// checks the invariants after each step.
type simulation struct {
	now       time.Time
	histories []*testHistory
	// acceptedRevisions is the number of accepted revisions of the last history.
	acceptedRevisions int
	cores             []*Core
	inForce           [][]settings.Stamp
	inFlight          []Send
	// injectDefect may corrupt a core before it processes an event, or replace the event.
	injectDefect func(core *Core, event Event) Event
	violations   []string
}

const (
	simulatedCores     = 4
	simulatedRevisions = 12
)

func newSimulation(t testing.TB, backlogEntries int) *simulation {
	w := &simulation{now: epoch, acceptedRevisions: 1, injectDefect: func(_ *Core, event Event) Event { return event }}
	for _, name := range []string{"20260101-a", "20260202-b"} {
		w.histories = append(w.histories, newHistory(t, name, simulatedRevisions))
	}
	w.histories, w.acceptedRevisions = w.histories[:1:2], 1
	for i := range simulatedCores {
		w.cores = append(w.cores, nil)
		w.inForce = append(w.inForce, nil)
		w.restart(i, backlogEntries)
	}
	return w
}

func address(i int) string { return fmt.Sprintf("node-%d:7000", i) }

// restart replaces a core by a new one without a configuration.
func (w *simulation) restart(i, backlogEntries int) {
	w.cores[i] = New(cluster.NodeID(fmt.Sprintf("node-%d", i)), Config{Address: address(i), BacklogEntries: backlogEntries})
	w.inForce[i] = nil
}

func (w *simulation) current() *testHistory { return w.histories[len(w.histories)-1] }

// beginHistory replaces the content of the key-value service by a new history, once.
func (w *simulation) beginHistory() {
	if len(w.histories) == 1 {
		w.histories, w.acceptedRevisions = w.histories[:2], 1
	}
}

func (w *simulation) step(i int, event Event) {
	core := w.cores[i]
	event = w.injectDefect(core, event)
	for _, effect := range core.Step(w.now, event) {
		switch e := effect.(type) {
		case Send:
			w.inFlight = append(w.inFlight, e)
		case InForce:
			w.checkInForce(i, e)
		}
	}
}

// checkInForce checks that a configuration is newer than all previous ones of the same core,
// and that it is the accepted one of its revision, which contains each edit once and in order.
func (w *simulation) checkInForce(i int, effect InForce) {
	stamp := effect.Snapshot.Stamp
	if past := w.inForce[i]; len(past) > 0 && Compare(stamp, past[len(past)-1]) <= 0 {
		w.violations = append(w.violations, fmt.Sprintf("node %d went from %v to %v", i, past[len(past)-1], stamp))
	}
	w.inForce[i] = append(w.inForce[i], stamp)
	at := slices.IndexFunc(w.histories, func(h *testHistory) bool { return h.name == stamp.History })
	if at < 0 || stamp.Revision > simulatedRevisions {
		w.violations = append(w.violations, fmt.Sprintf("node %d: %v was never accepted", i, stamp))
		return
	}
	if effect.Tree.Digest() != w.histories[at].trees[stamp.Revision].Digest() {
		w.violations = append(w.violations, fmt.Sprintf("node %d: %v is not the accepted tree", i, stamp))
	}
}

func (w *simulation) heartbeat(from, to int) {
	w.step(to, HeartbeatStamp{
		From: w.cores[from].self, Address: address(from), Stamp: w.cores[from].Stamp(), SameZone: from%2 == to%2,
	})
}

// deliver delivers message number k. It keeps the message in flight if it is to be delivered
// again.
func (w *simulation) deliver(k int, again bool) {
	message := w.inFlight[k]
	if !again {
		w.inFlight = slices.Delete(w.inFlight, k, k+1)
	}
	for i := range w.cores {
		if address(i) == message.Address {
			w.step(i, MessageReceived{Message: message.Message})
		}
	}
}

// converge exchanges heartbeats and delivers all messages for several rounds, then checks that
// every core has the newest configuration.
func (w *simulation) converge() {
	w.step(0, w.current().loaded(w.acceptedRevisions))
	for range 4 * simulatedCores {
		w.now = w.now.Add(2 * time.Second)
		for from := range w.cores {
			for to := range w.cores {
				if from != to {
					w.heartbeat(from, to)
				}
			}
			w.step(from, Tick{})
		}
		for len(w.inFlight) > 0 {
			w.deliver(0, false)
		}
	}
	for i, core := range w.cores {
		if core.Stamp() != w.current().stamp(w.acceptedRevisions) {
			w.violations = append(w.violations, fmt.Sprintf("node %d ends with %v", i, core.Stamp()))
		}
	}
}

// randomStep makes one random event occur.
func (w *simulation) randomStep(t *rapid.T, backlogEntries int) {
	i := rapid.IntRange(0, simulatedCores-1).Draw(t, "node")
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0, 1:
		w.acceptedRevisions = min(w.acceptedRevisions+rapid.IntRange(1, 3).Draw(t, "edits"), simulatedRevisions)
	case 2:
		// A read may be stale.
		w.step(i, w.current().loaded(rapid.IntRange(1, w.acceptedRevisions).Draw(t, "revision")))
	case 3:
		last := rapid.IntRange(1, w.acceptedRevisions).Draw(t, "last")
		w.step(i, w.current().accepted(rapid.IntRange(0, last-1).Draw(t, "after"), last))
	case 4:
		w.heartbeat(rapid.IntRange(0, simulatedCores-1).Draw(t, "from"), i)
	case 5, 6, 7:
		if len(w.inFlight) > 0 {
			k := rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "message")
			if rapid.Bool().Draw(t, "lost") {
				w.inFlight = slices.Delete(w.inFlight, k, k+1)
			} else {
				w.deliver(k, rapid.Bool().Draw(t, "again"))
			}
		}
	case 8:
		w.now = w.now.Add(time.Second)
		w.step(i, Tick{})
	case 9:
		if rapid.IntRange(0, 3).Draw(t, "event") == 0 {
			w.beginHistory()
		} else {
			w.restart(i, backlogEntries)
		}
	}
}

// TestInvariantsHoldForRandomEvents guards against configurations that go back, miss an edit or
// do not spread to all nodes when messages are lost, repeated and reordered, nodes restart and a
// new history begins.
func TestInvariantsHoldForRandomEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		backlogEntries := rapid.SampledFrom([]int{-1, 2, 100}).Draw(rt, "backlog")
		w := newSimulation(t, backlogEntries)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			w.randomStep(rt, backlogEntries)
		}
		w.converge()
		if len(w.violations) > 0 {
			rt.Fatal(w.violations)
		}
	})
}

// fixedScenario replicates the configuration by loads, pushes, requests and snapshots.
func (w *simulation) fixedScenario() {
	w.step(0, w.current().loaded(1))
	for _, i := range []int{1, 2, 3} {
		w.heartbeat(0, i)
		w.heartbeat(i, 0)
	}
	for len(w.inFlight) > 0 {
		w.deliver(0, false)
	}
	w.acceptedRevisions = 6
	w.step(0, w.current().accepted(1, 4))
	w.step(0, w.current().loaded(3))
	w.step(0, w.current().accepted(2, 6))
	w.converge()
}

// TestInjectedDefectsAreDetected guards against checks of the simulation that detect nothing:
// each defect that it injects breaks an invariant and must be reported.
func TestInjectedDefectsAreDetected(t *testing.T) {
	w := newSimulation(t, 100)
	w.fixedScenario()
	if len(w.violations) > 0 {
		t.Fatalf("without a defect: %v", w.violations)
	}
	defects := map[string]func(core *Core, event Event) Event{
		"puts older configurations in force": func(core *Core, event Event) Event {
			if _, isLoad := event.(Loaded); isLoad {
				core.stamp = settings.Stamp{}
			}
			return event
		},
		"skips an edit": func(core *Core, event Event) Event {
			if accepted, ok := event.(Accepted); ok && len(accepted.Entries) > 1 {
				accepted.Entries = dropFirstNewEdit(core, accepted.Entries)
				return accepted
			}
			return event
		},
		"does not answer requests": func(core *Core, event Event) Event {
			if received, ok := event.(MessageReceived); ok {
				if _, isRequest := received.Message.(wire.ConfigurationRequest); isRequest {
					return Tick{}
				}
			}
			return event
		},
		"ignores heartbeats": func(core *Core, event Event) Event {
			if _, isStamp := event.(HeartbeatStamp); isStamp {
				return Tick{}
			}
			return event
		},
	}
	for name, mutate := range defects {
		w := newSimulation(t, 100)
		w.injectDefect = mutate
		w.fixedScenario()
		if len(w.violations) == 0 {
			t.Errorf("defect not detected: %s", name)
		}
	}
}

// dropFirstNewEdit removes the changes of the first new entry and adapts the digests, as a node
// that lost an edit would compute them.
func dropFirstNewEdit(core *Core, entries []settings.Entry) []settings.Entry {
	entries = slices.Clone(entries)
	tree := core.tree
	for i := range entries {
		if tree == nil || entries[i].Revision <= core.stamp.Revision {
			continue
		}
		if entries[i].Revision == core.stamp.Revision+1 {
			entries[i].Edit.Changes = nil
		}
		next, err := tree.Apply(entries[i].Edit)
		if err != nil {
			return entries
		}
		tree, entries[i].Digest = next, next.Digest()
	}
	return entries
}

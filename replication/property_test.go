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

// world is a few cores, the accepted histories, and messages on their way. It
// checks the promises at each step.
type world struct {
	now       time.Time
	histories []*history
	// accepted is how many revisions of the last history are accepted.
	accepted int
	cores    []*Core
	inForce  [][]settings.Stamp
	flying   []Send
	// mutate may spoil a core before it takes an event, or the event itself.
	mutate     func(core *Core, event Event) Event
	violations []string
}

const (
	worldCores     = 4
	worldRevisions = 12
)

func newWorld(t testing.TB, backlogEntries int) *world {
	w := &world{now: epoch, accepted: 1, mutate: func(_ *Core, event Event) Event { return event }}
	for _, name := range []string{"20260101-a", "20260202-b"} {
		w.histories = append(w.histories, newHistory(t, name, worldRevisions))
	}
	w.histories, w.accepted = w.histories[:1:2], 1
	for i := range worldCores {
		w.cores = append(w.cores, nil)
		w.inForce = append(w.inForce, nil)
		w.restart(i, backlogEntries)
	}
	return w
}

func address(i int) string { return fmt.Sprintf("node-%d:7000", i) }

// restart replaces a process; it begins without a configuration.
func (w *world) restart(i, backlogEntries int) {
	w.cores[i] = New(cluster.NodeID(fmt.Sprintf("node-%d", i)), Config{Address: address(i), BacklogEntries: backlogEntries})
	w.inForce[i] = nil
}

func (w *world) current() *history { return w.histories[len(w.histories)-1] }

// beginHistory replaces the key-value service's content by a new history.
func (w *world) beginHistory() {
	if len(w.histories) == 1 {
		w.histories, w.accepted = w.histories[:2], 1
	}
}

func (w *world) step(i int, event Event) {
	core := w.cores[i]
	event = w.mutate(core, event)
	for _, effect := range core.Step(w.now, event) {
		switch e := effect.(type) {
		case Send:
			w.flying = append(w.flying, e)
		case InForce:
			w.check(i, e)
		}
	}
}

// check holds that a configuration is newer than all before it at this process,
// and is the accepted one of its revision: each edit is in it exactly once and
// in order.
func (w *world) check(i int, effect InForce) {
	stamp := effect.Snapshot.Stamp
	if past := w.inForce[i]; len(past) > 0 && Compare(stamp, past[len(past)-1]) <= 0 {
		w.violations = append(w.violations, fmt.Sprintf("node %d went from %v to %v", i, past[len(past)-1], stamp))
	}
	w.inForce[i] = append(w.inForce[i], stamp)
	at := slices.IndexFunc(w.histories, func(h *history) bool { return h.name == stamp.History })
	if at < 0 || stamp.Revision > worldRevisions {
		w.violations = append(w.violations, fmt.Sprintf("node %d: %v was never accepted", i, stamp))
		return
	}
	if effect.Tree.Digest() != w.histories[at].trees[stamp.Revision].Digest() {
		w.violations = append(w.violations, fmt.Sprintf("node %d: %v is not the accepted tree", i, stamp))
	}
}

func (w *world) heartbeat(from, to int) {
	w.step(to, StampSeen{
		From: w.cores[from].self, Address: address(from), Stamp: w.cores[from].Stamp(), SameZone: from%2 == to%2,
	})
}

// deliver hands over message number k and keeps it if it is to come again.
func (w *world) deliver(k int, again bool) {
	message := w.flying[k]
	if !again {
		w.flying = slices.Delete(w.flying, k, k+1)
	}
	for i := range w.cores {
		if address(i) == message.Address {
			w.step(i, MessageReceived{Message: message.Message})
		}
	}
}

// settle exchanges heartbeats and delivers everything for some rounds.
func (w *world) settle() {
	w.step(0, w.current().loaded(w.accepted))
	for range 4 * worldCores {
		w.now = w.now.Add(2 * time.Second)
		for from := range w.cores {
			for to := range w.cores {
				if from != to {
					w.heartbeat(from, to)
				}
			}
			w.step(from, Tick{})
		}
		for len(w.flying) > 0 {
			w.deliver(0, false)
		}
	}
	for i, core := range w.cores {
		if core.Stamp() != w.current().stamp(w.accepted) {
			w.violations = append(w.violations, fmt.Sprintf("node %d ends with %v", i, core.Stamp()))
		}
	}
}

// act takes one random step.
func (w *world) act(t *rapid.T, backlogEntries int) {
	i := rapid.IntRange(0, worldCores-1).Draw(t, "node")
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0, 1:
		w.accepted = min(w.accepted+rapid.IntRange(1, 3).Draw(t, "edits"), worldRevisions)
	case 2:
		// A read may be stale.
		w.step(i, w.current().loaded(rapid.IntRange(1, w.accepted).Draw(t, "revision")))
	case 3:
		last := rapid.IntRange(1, w.accepted).Draw(t, "last")
		w.step(i, w.current().accepted(rapid.IntRange(0, last-1).Draw(t, "after"), last))
	case 4:
		w.heartbeat(rapid.IntRange(0, worldCores-1).Draw(t, "from"), i)
	case 5, 6, 7:
		if len(w.flying) > 0 {
			k := rapid.IntRange(0, len(w.flying)-1).Draw(t, "message")
			if rapid.Bool().Draw(t, "lost") {
				w.flying = slices.Delete(w.flying, k, k+1)
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

// TestPromisesOnRandomEvents loses, repeats and reorders messages, restarts
// nodes and begins a new history.
func TestPromisesOnRandomEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		backlogEntries := rapid.SampledFrom([]int{-1, 2, 100}).Draw(rt, "backlog")
		w := newWorld(t, backlogEntries)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			w.act(rt, backlogEntries)
		}
		w.settle()
		if len(w.violations) > 0 {
			rt.Fatal(w.violations)
		}
	})
}

// script is a fixed run that moves configuration in every way.
func (w *world) script() {
	w.step(0, w.current().loaded(1))
	for _, i := range []int{1, 2, 3} {
		w.heartbeat(0, i)
		w.heartbeat(i, 0)
	}
	for len(w.flying) > 0 {
		w.deliver(0, false)
	}
	w.accepted = 6
	w.step(0, w.current().accepted(1, 4))
	w.step(0, w.current().loaded(3))
	w.step(0, w.current().accepted(2, 6))
	w.settle()
}

// TestPlantedDefectsAreCaught spoils the cores in ways that break each promise
// and holds that the checks notice.
func TestPlantedDefectsAreCaught(t *testing.T) {
	w := newWorld(t, 100)
	w.script()
	if len(w.violations) > 0 {
		t.Fatalf("without a defect: %v", w.violations)
	}
	defects := map[string]func(core *Core, event Event) Event{
		"takes whatever it reads": func(core *Core, event Event) Event {
			if _, isLoad := event.(Loaded); isLoad {
				core.stamp = settings.Stamp{}
			}
			return event
		},
		"skips an edit": func(core *Core, event Event) Event {
			if accepted, ok := event.(Accepted); ok && len(accepted.Entries) > 1 {
				accepted.Entries = spoilEntries(core, accepted.Entries)
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
		"does not hear heartbeats": func(core *Core, event Event) Event {
			if _, isStamp := event.(StampSeen); isStamp {
				return Tick{}
			}
			return event
		},
	}
	for name, mutate := range defects {
		w := newWorld(t, 100)
		w.mutate = mutate
		w.script()
		if len(w.violations) == 0 {
			t.Errorf("not noticed: %s", name)
		}
	}
}

// spoilEntries leaves out the content of the first new entry and makes the
// digests fit, as a node that lost an edit would.
func spoilEntries(core *Core, entries []settings.Entry) []settings.Entry {
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

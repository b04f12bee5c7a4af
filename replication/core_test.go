package replication

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/wire"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testHistory is a history of accepted edits with the tree after each of them.
type testHistory struct {
	name    string
	trees   []*settings.Tree
	entries []settings.Entry
}

// newHistory returns a history of count edits. Each edit adds a team, so that a tree shows
// which edits it contains.
func newHistory(t testing.TB, name string, count int) *testHistory {
	t.Helper()
	h := &testHistory{name: name, trees: []*settings.Tree{settings.EmptyTree()}}
	for revision := 1; revision <= count; revision++ {
		edit := settings.Edit{ID: fmt.Sprintf("%s-%d", name, revision), Author: "test", Changes: []settings.Change{{
			Path: fmt.Sprintf("/team-%02d", revision), Create: settings.KindTeam,
			Set: map[string]settings.Value{"queue_length": settings.Value(fmt.Sprint(10 + revision))},
		}}}
		edit, tree, err := h.trees[revision-1].Validate(edit)
		if err != nil {
			t.Fatal(err)
		}
		h.trees = append(h.trees, tree)
		h.entries = append(h.entries, settings.Entry{Revision: int64(revision), Digest: tree.Digest(), Edit: edit})
	}
	return h
}

func (h *testHistory) stamp(revision int) settings.Stamp {
	return settings.Stamp{History: h.name, Revision: int64(revision), Digest: h.trees[revision].Digest()}
}

func (h *testHistory) loaded(revision int) Loaded {
	return Loaded{Tree: h.trees[revision], Stamp: h.stamp(revision)}
}

// accepted returns the edits after one revision up to another.
func (h *testHistory) accepted(after, last int) Accepted {
	return Accepted{History: h.name, Entries: h.entries[after:last]}
}

func newCore(id string) *Core {
	return New(cluster.NodeID(id), Config{Address: id + ":7000"})
}

// effectsOf returns the effects of type E.
func effectsOf[E Effect](effects []Effect) []E {
	var found []E
	for _, effect := range effects {
		if e, ok := effect.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

// deliverAll delivers the messages of effects, and the messages sent in response, until no
// more are sent.
func deliverAll(now time.Time, cores map[string]*Core, effects []Effect) {
	for len(effects) > 0 {
		sends := effectsOf[Send](effects)
		effects = nil
		for _, send := range sends {
			if to := cores[send.Address]; to != nil {
				effects = append(effects, to.Step(now, MessageReceived{Message: send.Message})...)
			}
		}
	}
}

// TestAcceptedEditsArePushedAsDelta guards against pushes that repeat edits the peer has, or
// that the peer cannot put in force.
func TestAcceptedEditsArePushedAsDelta(t *testing.T) {
	h := newHistory(t, "h1", 5)
	a, b := newCore("a"), newCore("b")
	a.Step(epoch, h.loaded(2))
	b.Step(epoch, h.loaded(2))
	a.Step(epoch, HeartbeatStamp{From: "b", Address: "b:7000", Stamp: b.Stamp(), SameZone: true})
	sends := effectsOf[Send](a.Step(epoch, h.accepted(0, 5)))
	if len(sends) != 1 || sends[0].Address != "b:7000" {
		t.Fatalf("pushed %+v", sends)
	}
	entries := sends[0].Message.(wire.ConfigurationEntries)
	if entries.After != 2 || len(entries.Entries) != 3 {
		t.Fatalf("pushed %d entries after %d", len(entries.Entries), entries.After)
	}
	inForce := effectsOf[InForce](b.Step(epoch, MessageReceived{Message: entries}))
	if len(inForce) != 1 || b.Stamp() != h.stamp(5) || inForce[0].Snapshot.Stamp != h.stamp(5) {
		t.Fatalf("%d configurations in force, stamp %+v", len(inForce), b.Stamp())
	}
}

// TestNewNodeTakesNewestConfigurationOfPeers guards against a new node that stays with the
// configuration of the first peer it hears of, although another has a newer one.
func TestNewNodeTakesNewestConfigurationOfPeers(t *testing.T) {
	h := newHistory(t, "h1", 5)
	cores := map[string]*Core{"a:7000": newCore("a"), "b:7000": newCore("b"), "c:7000": newCore("c")}
	cores["a:7000"].Step(epoch, h.loaded(3))
	cores["b:7000"].Step(epoch, h.loaded(5))
	fresh := cores["c:7000"]
	for _, id := range []string{"a", "b"} {
		address := id + ":7000"
		deliverAll(epoch, cores, fresh.Step(epoch, HeartbeatStamp{
			From: cluster.NodeID(id), Address: address, Stamp: cores[address].Stamp(),
		}))
	}
	if fresh.Stamp() != h.stamp(5) {
		t.Errorf("stamp %+v", fresh.Stamp())
	}
}

// TestOlderConfigurationIsNeverPutInForce guards against a node that goes back to an older
// revision or history because a message or a read arrives late.
func TestOlderConfigurationIsNeverPutInForce(t *testing.T) {
	old, current := newHistory(t, "h1", 5), newHistory(t, "h2", 5)
	core := newCore("a")
	core.Step(epoch, current.loaded(3))
	events := []Event{
		current.loaded(2), old.loaded(5), current.accepted(0, 3), old.accepted(0, 5),
		MessageReceived{Message: wire.ConfigurationSnapshot{From: "b", Stamp: old.stamp(5), Data: old.trees[5].Encode()}},
		MessageReceived{Message: wire.ConfigurationSnapshot{From: "b", Stamp: current.stamp(2), Data: current.trees[2].Encode()}},
	}
	for i, event := range events {
		if got := effectsOf[InForce](core.Step(epoch, event)); len(got) > 0 || core.Stamp() != current.stamp(3) {
			t.Errorf("event %d changed the configuration to %+v", i, core.Stamp())
		}
	}
}

// TestDigestMismatchIsRepairedBySnapshot guards against a node that cannot apply any further
// edits because its tree differs from the accepted one of the same revision.
func TestDigestMismatchIsRepairedBySnapshot(t *testing.T) {
	h, other := newHistory(t, "h1", 5), newHistory(t, "h1", 5)
	other.trees[2], _ = settings.EmptyTree().Apply(settings.Edit{Changes: []settings.Change{{
		Path: settings.RootPath, Set: map[string]settings.Value{"priority": "3"},
	}}})
	cores := map[string]*Core{"a:7000": newCore("a"), "b:7000": newCore("b")}
	a, b := cores["a:7000"], cores["b:7000"]
	a.Step(epoch, h.loaded(2))
	a.Step(epoch, h.accepted(2, 5))
	b.Step(epoch, Loaded{Tree: other.trees[2], Stamp: settings.Stamp{History: "h1", Revision: 2, Digest: other.trees[2].Digest()}})
	effects := b.Step(epoch, HeartbeatStamp{From: "a", Address: "a:7000", Stamp: a.Stamp()})
	deliverAll(epoch, cores, effects)
	if b.Stamp() != h.stamp(5) || b.Tree().Digest() != h.trees[5].Digest() {
		t.Errorf("stamp %+v", b.Stamp())
	}
}

// TestGapsWrongDigestsAndOlderHistoriesAreReported guards against faulty input that is dropped
// without an effect by which the node or an operator could react.
func TestGapsWrongDigestsAndOlderHistoriesAreReported(t *testing.T) {
	h := newHistory(t, "h1", 5)
	core := newCore("a")
	core.Step(epoch, h.loaded(1))
	if got := effectsOf[LoadNeeded](core.Step(epoch, h.accepted(3, 5))); len(got) != 1 {
		t.Error("a gap in the accepted edits did not cause a LoadNeeded")
	}
	wrong := h.loaded(4)
	wrong.Stamp.Digest++
	if got := effectsOf[Rejected](core.Step(epoch, wrong)); len(got) != 1 || !errors.Is(got[0].Err, ErrDigestMismatch) {
		t.Errorf("a wrong digest gave %+v", got)
	}
	if got := effectsOf[Rejected](core.Step(epoch, newHistory(t, "h0", 1).loaded(1))); len(got) != 1 || !errors.Is(got[0].Err, ErrOlderHistory) {
		t.Errorf("an older history gave %+v", got)
	}
}

// TestStoreRestoredFromBackupIsReported guards against a restore of the key-value service that
// goes unnoticed: the service then accepts other edits at revisions that are in force. A read
// that is merely stale must not be reported.
func TestStoreRestoredFromBackupIsReported(t *testing.T) {
	h := newHistory(t, "h1", 6)
	core := newCore("a")
	core.Step(epoch, h.loaded(2))
	core.Step(epoch, h.accepted(2, 6))
	// The service was restored at revision 3 and accepted another edit.
	other, err := h.trees[3].Apply(settings.Edit{Changes: []settings.Change{{Path: "/other", Create: settings.KindTeam}}})
	if err != nil {
		t.Fatal(err)
	}
	entry := settings.Entry{Revision: 4, Digest: other.Digest()}
	if got := effectsOf[LoadNeeded](core.Step(epoch, Accepted{History: "h1", Entries: []settings.Entry{entry}})); len(got) != 1 {
		t.Error("a conflicting edit did not cause a LoadNeeded")
	}
	restored := Loaded{Tree: other, Stamp: settings.Stamp{History: "h1", Revision: 4, Digest: other.Digest()}}
	if got := effectsOf[Rejected](core.Step(epoch, restored)); len(got) != 1 || !errors.Is(got[0].Err, ErrRevisionConflict) {
		t.Errorf("the restored tree gave %+v", got)
	}
	if stale := core.Step(epoch, h.loaded(4)); len(stale) != 0 {
		t.Errorf("a stale read gave %+v", stale)
	}
	if core.Stamp() != h.stamp(6) {
		t.Errorf("the configuration in force changed to %+v", core.Stamp())
	}
}

// TestUnansweredRequestIsSentToAnotherPeer guards against a node that waits forever for a peer
// that does not answer, and against several requests at a time.
func TestUnansweredRequestIsSentToAnotherPeer(t *testing.T) {
	h := newHistory(t, "h1", 2)
	core := newCore("a")
	asked := effectsOf[Send](core.Step(epoch, HeartbeatStamp{From: "b", Address: "b:7000", Stamp: h.stamp(2)}))
	if again := effectsOf[Send](core.Step(epoch, HeartbeatStamp{From: "c", Address: "c:7000", Stamp: h.stamp(2)})); len(asked) != 1 || len(again) != 0 {
		t.Fatalf("sent %d and %d requests, want 1 and 0", len(asked), len(again))
	}
	later := epoch.Add(core.config.RequestTimeout)
	asked = effectsOf[Send](core.Step(later, Tick{}))
	if len(asked) != 1 || asked[0].Address != "c:7000" {
		t.Fatalf("after the timeout asked %+v", asked)
	}
}

// TestBacklogLimitDecidesBetweenEntriesAndSnapshot guards against a backlog that grows beyond
// its limit, and against entries sent to a peer that lacks earlier ones.
func TestBacklogLimitDecidesBetweenEntriesAndSnapshot(t *testing.T) {
	h := newHistory(t, "h1", 10)
	core := New("a", Config{Address: "a:7000", BacklogEntries: 3})
	core.Step(epoch, h.loaded(0))
	core.Step(epoch, h.loaded(1))
	core.Step(epoch, h.accepted(1, 10))
	for revision, wantDelta := range map[int]bool{7: true, 9: true, 6: false, 1: false} {
		sends := effectsOf[Send](core.Step(epoch, MessageReceived{Message: wire.ConfigurationRequest{
			From: "b", FromAddress: "b:7000", Stamp: h.stamp(revision),
		}}))
		if len(sends) != 1 {
			t.Fatalf("%d answers", len(sends))
		}
		if _, isDelta := sends[0].Message.(wire.ConfigurationEntries); isDelta != wantDelta {
			t.Errorf("asked after %d: answered with %T", revision, sends[0].Message)
		}
	}
}

package feed

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/wire"
)

// workerEntries returns the entries of that many workers, one per revision.
func workerEntries(workers, size int, after keyvalue.Revision) []wire.StoreChange {
	var changes []wire.StoreChange
	for i := range workers {
		changes = append(changes, wire.StoreChange{Key: fmt.Sprintf("worker-%05d", i), Value: make([]byte, size), Revision: after + keyvalue.Revision(i) + 1})
	}
	return changes
}

// deliverUpdates delivers the updates that a relay sends to the leaf, and returns the number of
// changes that the leaf applied.
func deliverUpdates(now time.Time, to *Core, effects []Effect) (applied int) {
	for _, effect := range effects {
		send, ok := effect.(SendUpdate)
		if !ok || send.Address != "leaf" {
			continue
		}
		for _, done := range to.Step(now, UpdateReceived{Update: send.Update}) {
			if apply, ok := done.(Apply); ok {
				applied += len(apply.Changes)
			}
		}
	}
	return applied
}

// TestRelayKeepsEntriesOfAllWorkers guards against nodes that read the store because their relay
// dropped, within one update, the entries that all workers of a fleet wrote when they registered.
func TestRelayKeepsEntriesOfAllWorkers(t *testing.T) {
	const workers, size = 10_000, 350
	now := time.Unix(1000, 0)
	relay, _ := newLoadedCore(now, 30, 100, Config{Self: Peer{ID: "relay", Address: "relay"}})
	leaf, _ := newLoadedCore(now, 30, 100, Config{Self: Peer{ID: "leaf", Address: "leaf"}})
	changes := workerEntries(workers, size, 30)
	const page = 1000
	for len(changes) > 0 {
		now = now.Add(100 * time.Millisecond)
		relay.Step(now, PollDone{Began: now, Revision: changes[page-1].Revision, Changes: changes[:page]})
		changes = changes[page:]
	}
	request := ChangesRequested{Request: wire.StoreChangesRequest{From: "leaf", FromAddress: "leaf", After: 30}}
	if applied := deliverUpdates(now, leaf, relay.Step(now, request)); applied != workers || leaf.Revision() != workers+30 {
		t.Errorf("received %d of %d entries from the relay, up to revision %d", applied, workers, leaf.Revision())
	}
}

// TestLongAnswerIsSplitIntoUpdates guards against updates that are too large for a message, and
// against a node that counts as up to date after the first of several updates.
func TestLongAnswerIsSplitIntoUpdates(t *testing.T) {
	now := time.Unix(1000, 0)
	relay, _ := newLoadedCore(now, 30, 100, Config{Self: Peer{ID: "relay", Address: "relay"}})
	leaf, _ := newLoadedCore(now, 30, 100, Config{Self: Peer{ID: "leaf", Address: "leaf"}})
	now = now.Add(time.Second)
	changes := workerEntries(3000, 1000, 30)
	// One revision changes many keys.
	for i := 1000; i < 1500; i++ {
		changes[i].Revision = changes[1000].Revision
	}
	relay.Step(now, PollDone{Began: now, Revision: 3030, Changes: changes})
	sent := relay.Step(now, ChangesRequested{Request: wire.StoreChangesRequest{From: "leaf", FromAddress: "leaf", After: 30}})
	for i, effect := range sent {
		update := effect.(SendUpdate).Update
		bytes := 0
		for j := range update.Changes {
			bytes += len(update.Changes[j].Value)
		}
		if bytes > 2*targetUpdateBytes+500*1000 {
			t.Errorf("%d bytes in one update", bytes)
		}
		leaf.Step(now, UpdateReceived{Update: update})
		if last := i == len(sent)-1; leaf.KnownAt().Equal(now) != last {
			t.Errorf("after update %d of %d the data is of %s", i+1, len(sent), leaf.KnownAt())
		}
	}
	if len(sent) < 4 || leaf.Revision() != 3030 {
		t.Errorf("%d updates up to revision %d", len(sent), leaf.Revision())
	}
}

// newCoreInZone returns a node that knows all changes up to revision 30, in a zone with four
// others.
func newCoreInZone(now time.Time, self Peer) *Core {
	self.Address, self.Zone = string(self.ID), "z"
	peers := []Peer{self}
	for i := range 4 {
		id := cluster.NodeID(fmt.Sprintf("relay-%d", i))
		peers = append(peers, Peer{ID: id, Address: string(id), Zone: "z", Capacity: 1})
	}
	core, _ := newLoadedCore(now, 30, 100, Config{Self: self})
	core.Step(now, PeersChanged{Peers: peers})
	return core
}

// aheadRevision is the revision of a change that a relay applies and forwards before the changes of
// lower revisions.
const aheadRevision = 50

// newRelayWithChangeAhead returns a relay that knows all changes up to revision 30, and the one of
// aheadRevision.
func newRelayWithChangeAhead(t *testing.T, now time.Time) *Core {
	t.Helper()
	relay := newCoreInZone(now, Peer{ID: "relay", Capacity: 2})
	if !relay.tree.forwards() {
		t.Fatal("the node is no relay")
	}
	relay.Step(now, UpdateReceived{Update: wire.StoreChanges{
		From: "relay-0", After: 30, Revision: 30, Changes: []wire.StoreChange{{Key: "key-00003", Value: make([]byte, targetUpdateBytes), Revision: aheadRevision}},
	}})
	return relay
}

// TestChangeAppliedAheadIsForwarded guards against nodes that never learn of a change because their
// relay had applied it before its full read, and left it out of the update after that.
func TestChangeAppliedAheadIsForwarded(t *testing.T) {
	now := time.Unix(1000, 0)
	relay := newRelayWithChangeAhead(t, now)
	pairs := relay.contents.pairs()
	relay.Step(now, Invalidated{})
	effects := relay.Step(now, ReadDone{Began: now, Revision: 60, Pairs: pairs})
	forwarded := slices.ContainsFunc(effects, func(e Effect) bool {
		sent, ok := e.(SendUpdate)
		return ok && sent.Update.Revision == 60 && slices.ContainsFunc(sent.Update.Changes, func(c wire.StoreChange) bool { return c.Revision == aheadRevision })
	})
	if !forwarded {
		t.Errorf("the update to revision 60 lacks the change of revision %d: %+v", aheadRevision, effects)
	}
}

// TestChangeAppliedAheadHidesNoOther guards against lost changes: a change of a later revision that
// was applied ahead of them must not end one of several updates.
func TestChangeAppliedAheadHidesNoOther(t *testing.T) {
	now := time.Unix(1000, 0)
	relay := newRelayWithChangeAhead(t, now)
	leaf, _ := newLoadedCore(now, 30, 100, Config{Self: Peer{ID: "leaf", Address: "leaf"}})
	changes := workerEntries(30, targetUpdateBytes/8, 30)
	for i := range changes {
		if changes[i].Revision == aheadRevision {
			changes[i] = wire.StoreChange{Key: "key-00003", Revision: aheadRevision}
		}
	}
	relay.Step(now, PollDone{Began: now, Revision: 60, Changes: changes})
	request := ChangesRequested{Request: wire.StoreChangesRequest{From: "leaf", FromAddress: "leaf", After: 30}}
	applied := deliverUpdates(now, leaf, relay.Step(now, request))
	if leaf.Revision() != 60 || applied < len(changes) {
		t.Errorf("received %d of %d changes, up to revision %d", applied, len(changes), leaf.Revision())
	}
}

// TestTooLongHistoryIsRequestedFromRelay guards against full reads by nodes whose relay has the
// changes: the store's answer, with the heartbeats of all workers, is too long, while the relay's
// is not.
func TestTooLongHistoryIsRequestedFromRelay(t *testing.T) {
	for name, answers := range map[string]bool{"the relay answers": true, "the relay is silent": false} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			leaf := newCoreInZone(now, Peer{ID: "leaf"})
			leaf.Step(now, UpdateReceived{Update: wire.StoreChanges{From: "relay-0", After: 30, Revision: 30}})
			now = now.Add(2 * time.Second)
			effects := leaf.Step(now, PollDone{Began: now, TooLong: true})
			if !asksPeer(effects, "relay-0") || readsStore(effects) {
				t.Fatalf("effects after a too long history: %+v", effects)
			}
			if answers {
				leaf.Step(now, UpdateReceived{Update: wire.StoreChanges{From: "relay-0", After: 30, Revision: 40}})
			}
			if read := readsStore(leaf.Step(now.Add(peerAnswerTimeout), Tick{})); read == answers {
				t.Errorf("full read: %t", read)
			}
		})
	}
}

// asksPeer reports whether a node requests changes from the address.
func asksPeer(effects []Effect, address string) bool {
	return slices.ContainsFunc(effects, func(e Effect) bool {
		ask, ok := e.(RequestChanges)
		return ok && ask.Address == address
	})
}

// readsStore reports whether the effects include a full read.
func readsStore(effects []Effect) bool {
	return slices.ContainsFunc(effects, func(e Effect) bool { _, ok := e.(Read); return ok })
}

// TestDroppedChangesAreSentAsSnapshot guards against full reads by nodes that miss more changes
// than their relay keeps, though the relay can send a snapshot.
func TestDroppedChangesAreSentAsSnapshot(t *testing.T) {
	const revision = 30 + 4*minKeptChanges
	request := ChangesRequested{Request: wire.StoreChangesRequest{From: "leaf", FromAddress: "leaf", After: 30}}
	for name, makeGap := range map[string]func(now time.Time, leaf *Core) time.Time{
		"the relay announced changes": func(now time.Time, leaf *Core) time.Time {
			leaf.Step(now, UpdateReceived{Update: wire.StoreChanges{From: "relay-0", After: revision, Revision: revision}})
			return now
		},
		"the relay is silent": func(now time.Time, _ *Core) time.Time { return now.Add(2 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			relay, leaf := newCoreInZone(now, Peer{ID: "relay", Capacity: 2}), newCoreInZone(now, Peer{ID: "leaf"})
			for after := keyvalue.Revision(30); after < revision; after += minKeptChanges {
				relay.Step(now, PollDone{Began: now, Revision: after + minKeptChanges, Changes: workerEntries(minKeptChanges, 1, after)})
			}
			if deliverSnapshot(now, leaf, relay.Step(now, request)); leaf.Revision() != 30 {
				t.Error("a node without a gap took the snapshot")
			}
			now = makeGap(now, leaf)
			relay.Step(now, PollDone{Began: now, Revision: revision})
			if !deliverSnapshot(now, leaf, relay.Step(now, request)) || leaf.Revision() != revision || callsStore(leaf.Step(now.Add(peerAnswerTimeout), Tick{})) {
				t.Errorf("the leaf is at revision %d of %d", leaf.Revision(), revision)
			}
			for range 2 * minSnapshotsPerSecond * snapshotsPerSecondPerCore {
				relay.Step(now, request)
			}
			if sent := partsSentTo(relay.Step(now, request), "leaf"); len(sent) > 0 {
				t.Error("the relay sends snapshots without a limit")
			}
		})
	}
}

// deliverSnapshot delivers the snapshot that a relay sends to the leaf, and reports whether the
// leaf took it.
func deliverSnapshot(now time.Time, to *Core, effects []Effect) bool {
	taken := false
	for _, part := range partsSentTo(effects, "leaf") {
		for _, effect := range to.Step(now, SnapshotReceived{Part: part}) {
			_, ok := effect.(ReplaceContents)
			taken = taken || ok
		}
	}
	return taken
}

// callsStore reports whether the effects include a full read or a poll.
func callsStore(effects []Effect) bool {
	return readsStore(effects) || slices.ContainsFunc(effects, func(e Effect) bool { _, ok := e.(Poll); return ok })
}

package feed

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// entering are the entries of so many workers, one a revision.
func entering(workers, size int, after int64) []wire.StoreChange {
	var changes []wire.StoreChange
	for i := range workers {
		changes = append(changes, wire.StoreChange{Key: fmt.Sprintf("worker-%05d", i), Value: make([]byte, size), Revision: after + int64(i) + 1})
	}
	return changes
}

// relayed brings a relay's updates to a node, and returns what that one applied.
func relayed(now time.Time, to *Core, effects []Effect) (applied int) {
	for _, effect := range effects {
		sent, is := effect.(Send)
		if !is || sent.Address != "leaf" {
			continue
		}
		for _, done := range to.Step(now, UpdateReceived{Update: sent.Update}) {
			if apply, is := done.(Apply); is {
				applied += len(apply.Changes)
			}
		}
	}
	return applied
}

// TestRelayKeepsWhatAFleetEnters guards against nodes that read the store because their relay
// forgot, within one update, what all workers of a fleet wrote as they entered.
func TestRelayKeepsWhatAFleetEnters(t *testing.T) {
	const workers, size = 10_000, 350
	now := time.Unix(1000, 0)
	relay, _ := knowing(now, 30, 100, Config{Self: Peer{ID: "relay", Address: "relay"}})
	leaf, _ := knowing(now, 30, 100, Config{Self: Peer{ID: "leaf", Address: "leaf"}})
	changes := entering(workers, size, 30)
	const page = 1000
	for len(changes) > 0 {
		now = now.Add(100 * time.Millisecond)
		relay.Step(now, PollDone{Began: now, Revision: changes[page-1].Revision, Changes: changes[:page]})
		changes = changes[page:]
	}
	asked := ChangesRequested{Request: wire.StoreChangesRequest{From: "leaf", FromAddress: "leaf", After: 30}}
	if applied := relayed(now, leaf, relay.Step(now, asked)); applied != workers || leaf.Revision() != workers+30 {
		t.Errorf("%d of %d entries came from the relay, up to revision %d", applied, workers, leaf.Revision())
	}
}

// TestLongAnswerComesInUpdates guards against updates that no message carries, and against a
// node that takes itself for up to date once the first of several has come.
func TestLongAnswerComesInUpdates(t *testing.T) {
	now := time.Unix(1000, 0)
	relay, _ := knowing(now, 30, 100, Config{Self: Peer{ID: "relay", Address: "relay"}})
	leaf, _ := knowing(now, 30, 100, Config{Self: Peer{ID: "leaf", Address: "leaf"}})
	now = now.Add(time.Second)
	changes := entering(3000, 1000, 30)
	// One revision changes many keys.
	for i := 1000; i < 1500; i++ {
		changes[i].Revision = changes[1000].Revision
	}
	relay.Step(now, PollDone{Began: now, Revision: 3030, Changes: changes})
	sent := relay.Step(now, ChangesRequested{Request: wire.StoreChangesRequest{From: "leaf", FromAddress: "leaf", After: 30}})
	for i, effect := range sent {
		update := effect.(Send).Update
		bytes := 0
		for j := range update.Changes {
			bytes += len(update.Changes[j].Value)
		}
		if bytes > 2*targetUpdateBytes+500*1000 {
			t.Errorf("%d bytes in one update", bytes)
		}
		leaf.Step(now, UpdateReceived{Update: update})
		if last := i == len(sent)-1; leaf.KnownAt().Equal(now) != last {
			t.Errorf("after update %d of %d everything is known since %s", i+1, len(sent), leaf.KnownAt())
		}
	}
	if len(sent) < 4 || leaf.Revision() != 3030 {
		t.Errorf("%d updates up to revision %d", len(sent), leaf.Revision())
	}
}

// beside returns a node that knows all up to revision 30, beside four others of its zone.
func beside(now time.Time, self Peer) *Core {
	self.Address, self.Zone = string(self.ID), "z"
	peers := []Peer{self}
	for i := range 4 {
		id := cluster.NodeID(fmt.Sprintf("relay-%d", i))
		peers = append(peers, Peer{ID: id, Address: string(id), Zone: "z", Capacity: 1})
	}
	core, _ := knowing(now, 30, 100, Config{Self: self})
	core.Step(now, PeersChanged{Peers: peers})
	return core
}

// ahead is a change that a relay passes on before the changes that come before it.
const ahead = 50

// relaying returns a relay that knows all up to revision 30, and the change that was passed on
// ahead.
func relaying(t *testing.T, now time.Time) *Core {
	t.Helper()
	relay := beside(now, Peer{ID: "relay", Capacity: 2})
	if !relay.tree.forwards() {
		t.Fatal("the node does not relay")
	}
	relay.Step(now, UpdateReceived{Update: wire.StoreChanges{
		From: "relay-0", After: 30, Revision: 30, Changes: []wire.StoreChange{{Key: "key-00003", Value: make([]byte, targetUpdateBytes), Revision: ahead}},
	}})
	return relay
}

// TestChangeKnownAheadIsPassedOn guards against nodes that never learn of a change, since their
// relay knew it before it read everything and then left it out of what it passed on.
func TestChangeKnownAheadIsPassedOn(t *testing.T) {
	now := time.Unix(1000, 0)
	relay := relaying(t, now)
	pairs := relay.contents.pairs()
	relay.Step(now, Invalidated{})
	effects := relay.Step(now, ReadDone{Began: now, Revision: 60, Pairs: pairs})
	told := slices.ContainsFunc(effects, func(e Effect) bool {
		sent, is := e.(Send)
		return is && sent.Update.Revision == 60 && slices.ContainsFunc(sent.Update.Changes, func(c wire.StoreChange) bool { return c.Revision == ahead })
	})
	if !told {
		t.Errorf("an update to revision 60 leaves the change of revision %d out: %+v", ahead, effects)
	}
}

// TestChangeKnownAheadHidesNone guards against changes that are lost because one of a later
// revision was known before them and ends an update of several.
func TestChangeKnownAheadHidesNone(t *testing.T) {
	now := time.Unix(1000, 0)
	relay := relaying(t, now)
	leaf, _ := knowing(now, 30, 100, Config{Self: Peer{ID: "leaf", Address: "leaf"}})
	changes := entering(30, targetUpdateBytes/8, 30)
	for i := range changes {
		if changes[i].Revision == ahead {
			changes[i] = wire.StoreChange{Key: "key-00003", Revision: ahead}
		}
	}
	relay.Step(now, PollDone{Began: now, Revision: 60, Changes: changes})
	asked := ChangesRequested{Request: wire.StoreChangesRequest{From: "leaf", FromAddress: "leaf", After: 30}}
	applied := relayed(now, leaf, relay.Step(now, asked))
	if leaf.Revision() != 60 || applied < len(changes) {
		t.Errorf("%d of %d changes came, up to revision %d", applied, len(changes), leaf.Revision())
	}
}

// TestLongHistoryIsAskedOfAPeer guards against nodes that read everything at the store since its
// answer, with the heartbeats of all workers, would be too long, though their relay has what is new.
func TestLongHistoryIsAskedOfAPeer(t *testing.T) {
	for name, answers := range map[string]bool{"the relay answers": true, "it does not": false} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			leaf := beside(now, Peer{ID: "leaf"})
			leaf.Step(now, UpdateReceived{Update: wire.StoreChanges{From: "relay-0", After: 30, Revision: 30}})
			now = now.Add(2 * time.Second)
			effects := leaf.Step(now, PollDone{Began: now, TooLong: true})
			if !asks(effects, "relay-0") || reads(effects) {
				t.Fatalf("after an answer that is too long: %+v", effects)
			}
			if answers {
				leaf.Step(now, UpdateReceived{Update: wire.StoreChanges{From: "relay-0", After: 30, Revision: 40}})
			}
			if read := reads(leaf.Step(now.Add(peerAnswerTimeout), Tick{})); read == answers {
				t.Errorf("everything is read: %t", read)
			}
		})
	}
}

// asks reports whether a node is asked for changes.
func asks(effects []Effect, address string) bool {
	return slices.ContainsFunc(effects, func(e Effect) bool {
		ask, is := e.(Ask)
		return is && ask.Address == address
	})
}

// reads reports whether the store is asked for everything.
func reads(effects []Effect) bool {
	return slices.ContainsFunc(effects, func(e Effect) bool { _, is := e.(Read); return is })
}

// TestForgottenChangesComeWithEverything guards against nodes that read everything at the store
// since they miss more than their relay keeps, though the relay has it.
func TestForgottenChangesComeWithEverything(t *testing.T) {
	const revision = 30 + 4*minKeptChanges
	asked := ChangesRequested{Request: wire.StoreChangesRequest{From: "leaf", FromAddress: "leaf", After: 30}}
	for name, misses := range map[string]func(now time.Time, leaf *Core) time.Time{
		"changes were named": func(now time.Time, leaf *Core) time.Time {
			leaf.Step(now, UpdateReceived{Update: wire.StoreChanges{From: "relay-0", After: revision, Revision: revision}})
			return now
		},
		"its relay is silent": func(now time.Time, _ *Core) time.Time { return now.Add(2 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			relay, leaf := beside(now, Peer{ID: "relay", Capacity: 2}), beside(now, Peer{ID: "leaf"})
			for after := int64(30); after < revision; after += minKeptChanges {
				relay.Step(now, PollDone{Began: now, Revision: after + minKeptChanges, Changes: entering(minKeptChanges, 1, after)})
			}
			if resynced(now, leaf, relay.Step(now, asked)); leaf.Revision() != 30 {
				t.Error("a node that misses nothing takes everything")
			}
			now = misses(now, leaf)
			relay.Step(now, PollDone{Began: now, Revision: revision})
			if !resynced(now, leaf, relay.Step(now, asked)) || leaf.Revision() != revision || polls(leaf.Step(now.Add(peerAnswerTimeout), Tick{})) {
				t.Errorf("the leaf stands at revision %d of %d", leaf.Revision(), revision)
			}
			for range 2 * minSnapshotsPerSecond * snapshotsPerSecondPerCore {
				relay.Step(now, asked)
			}
			if sent := received(relay.Step(now, asked), "leaf"); len(sent) > 0 {
				t.Error("the relay sends everything without bound")
			}
		})
	}
}

// resynced brings the snapshot that a relay sends to a node, and reports whether that took it.
func resynced(now time.Time, to *Core, effects []Effect) bool {
	taken := false
	for _, part := range received(effects, "leaf") {
		for _, effect := range to.Step(now, SnapshotReceived{Part: part}) {
			_, is := effect.(Replace)
			taken = taken || is
		}
	}
	return taken
}

// polls reports whether the store is asked for anything.
func polls(effects []Effect) bool {
	return reads(effects) || slices.ContainsFunc(effects, func(e Effect) bool { _, is := e.(Poll); return is })
}

package feed

import (
	"fmt"
	"testing"
	"time"

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
		if bytes > 2*updateBytes+500*1000 {
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

package feed

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// knowing returns a node that read a store with pairs of a size.
func knowing(now time.Time, pairs, size int, cfg Config) (*Core, []wire.StoreChange) {
	var content []wire.StoreChange
	for i := range pairs {
		content = append(content, wire.StoreChange{Key: fmt.Sprintf("key-%05d", i), Value: make([]byte, size), Revision: int64(i + 1)})
	}
	core := New(cfg, passAll{}, 1)
	core.Step(now, ReadDone{Began: now, Revision: int64(pairs), Pairs: content})
	return core, content
}

// asking is what a node that starts sends.
func asking(number int, capacity float64) SnapshotRequested {
	id := fmt.Sprintf("asker-%d", number)
	return SnapshotRequested{Request: wire.StoreSnapshotRequest{From: cluster.NodeID(id), FromAddress: id, Capacity: capacity}}
}

// received collects the parts that effects send to an address.
func received(effects []Effect, address string) []wire.StoreSnapshot {
	var parts []wire.StoreSnapshot
	for _, effect := range effects {
		if sent, is := effect.(SendSnapshot); is && sent.Address == address {
			parts = append(parts, sent.Part)
		}
	}
	return parts
}

// TestSnapshotComesInParts: everything arrives, in whatever order its parts come and also twice,
// and no part is much larger than a message should be.
func TestSnapshotComesInParts(t *testing.T) {
	now := time.Unix(1000, 0)
	core, content := knowing(now, 900, 5000, Config{Self: Peer{ID: "knowing", Capacity: 1}})
	parts := received(core.Step(now.Add(time.Second), asking(1, 0.2)), "asker-1")
	if len(parts) < 4 {
		t.Fatalf("%d parts for 4.5 MB", len(parts))
	}
	starting := New(Config{Self: Peer{ID: "starting", Address: "asker-1"}}, passAll{}, 1)
	starting.Step(now, Tick{})
	starting.Step(now, ReadDone{Began: now, Large: true})
	starting.Step(now, StarterRead{Starter: Starter{ID: "knowing", Address: "k"}, Revision: 5})
	slices.Reverse(parts)
	var replaced *Replace
	for _, part := range append(parts[:1:1], parts...) {
		for _, effect := range starting.Step(now.Add(2*time.Second), SnapshotReceived{Part: part}) {
			if e, is := effect.(Replace); is {
				replaced = &e
			}
		}
	}
	if replaced == nil || !reflect.DeepEqual(replaced.Pairs, content) || starting.Revision() != 900 {
		t.Fatalf("not everything was taken over, up to revision %d", starting.Revision())
	}
	if age := now.Add(2 * time.Second).Sub(starting.KnownAt()); age < time.Second {
		t.Errorf("what came is said to be %s old", age)
	}
}

// TestPartsThatCannotBeReadAreLost: a part with numbers that can't be, or with other content,
// is passed over.
func TestPartsThatCannotBeReadAreLost(t *testing.T) {
	good, err := wire.PackChanges([]wire.StoreChange{{Key: "k", Revision: 1}})
	if err != nil {
		t.Fatal(err)
	}
	for name, part := range map[string]wire.StoreSnapshot{
		"no parts": {Part: 0, Parts: 0, Content: good}, "beyond": {Part: 2, Parts: 2, Content: good}, "negative": {Part: -1, Parts: 1, Content: good},
		"too many": {Part: 0, Parts: maxSnapshotParts + 1, Content: good}, "no content": {Part: 0, Parts: 1}, "other content": {Part: 0, Parts: 1, Content: []byte("x")},
	} {
		var s startup
		part.From, part.Revision = "n", 7
		if _, whole := s.addPart(&part); whole {
			t.Errorf("%s: taken for everything", name)
		}
	}
}

// TestOldKnowledgeIsNotHandedOn: a node that is cut off from the store and from its relays has
// those that ask wait until it knows what is new; and what comes too old from elsewhere is not taken. Whoever starts reads the store
// then, and does not serve by what may be out of force.
func TestOldKnowledgeIsNotHandedOn(t *testing.T) {
	now := time.Unix(1000, 0)
	core, _ := knowing(now, 10, 10, Config{Self: Peer{ID: "knowing", Capacity: 1}})
	parts := received(core.Step(now.Add(time.Second), asking(1, 0.2)), "asker-1")
	if len(parts) == 0 {
		t.Fatal("new knowledge was not sent")
	}
	later := now.Add(20 * time.Second)
	if old := received(core.Step(later, asking(2, 0.2)), "asker-2"); len(old) != 1 || old[0].Revision != 0 {
		t.Errorf("old knowledge was sent: %d parts", len(old))
	}
	if parts := received(core.Step(later, PollDone{Began: later, Revision: 10}), "asker-2"); len(parts) == 0 {
		t.Error("the asker was forgotten once the store had been read")
	}
	starting := New(Config{Self: Peer{ID: "starting", Address: "asker-1"}}, passAll{}, 1)
	starting.Step(now, Tick{})
	starting.Step(now, ReadDone{Began: now, Large: true})
	starting.Step(now, StarterRead{Starter: Starter{ID: "knowing", Address: "k"}, Revision: 5})
	var effects []Effect
	for _, part := range parts {
		part.Age += 20 * time.Second
		effects = append(effects, starting.Step(now, SnapshotReceived{Part: part})...)
	}
	if starting.Revision() != 0 || !slices.Contains(effects, Effect(ClaimStart{Revision: 5})) {
		t.Errorf("at revision %d with %+v, want a claim", starting.Revision(), effects)
	}
}

// TestNodeServesWhatItCan: a node serves as many a second as its processor allows; further ones
// are told to ask those that were served, the stronger the more, and none is sent to itself.
func TestNodeServesWhatItCan(t *testing.T) {
	now := time.Unix(1000, 0)
	core, _ := knowing(now, 10, 10, Config{Self: Peer{ID: "knowing", Capacity: weakShare}})
	served, referred := 0, map[string]int{}
	for i := range 12 {
		capacity := weakShare
		if i == 0 {
			capacity = strongShare
		}
		address := fmt.Sprintf("asker-%d", i)
		for _, part := range received(core.Step(now, asking(i, capacity)), address) {
			if part.Refer == address {
				t.Errorf("%s is told to ask itself", address)
			}
			if part.Refer == "" {
				served++
			} else {
				referred[part.Refer]++
			}
		}
	}
	if served != minSnapshotsPerSecond || referred["asker-0"] <= referred["asker-1"] || referred["asker-0"]+referred["asker-1"] != 10 {
		t.Errorf("%d served, others sent to %v", served, referred)
	}
	if parts := received(core.Step(now.Add(1100*time.Millisecond), asking(20, weakShare)), "asker-20"); len(parts) != 1 || parts[0].Refer != "" {
		t.Errorf("a second later: %+v", parts)
	}
}

// TestStarterThatDiedIsReplaced: who reads everything does not answer, so the node that asked
// claims its place; if another one has, that one is asked.
func TestStarterThatDiedIsReplaced(t *testing.T) {
	now := time.Unix(1000, 0)
	begin := func() *Core {
		core := New(Config{Self: Peer{ID: "n", Address: "n:1"}}, passAll{}, 1)
		core.Step(now, Tick{})
		core.Step(now, ReadDone{Began: now, Large: true})
		core.Step(now, StarterRead{Starter: Starter{ID: "dead", Address: "d:1"}, Revision: 5})
		return core
	}
	core := begin()
	now = now.Add(snapshotTimeout)
	effects := core.Step(now, Tick{})
	if !slices.Contains(effects, Effect(ClaimStart{Revision: 5})) {
		t.Fatalf("effects %+v, want a claim of the record of revision 5", effects)
	}
	effects = core.Step(now, StarterClaimed{Won: true, Starter: Starter{ID: "n", Address: "n:1"}, Revision: 9})
	if !slices.Contains(effects, Effect(Read{})) {
		t.Errorf("effects %+v, want everything to be read", effects)
	}
	other := begin()
	now = now.Add(snapshotTimeout)
	other.Step(now, Tick{})
	effects = other.Step(now, StarterClaimed{Starter: Starter{ID: "quick", Address: "q:1"}, Revision: 9})
	asked := false
	for _, effect := range effects {
		ask, is := effect.(AskSnapshot)
		asked = asked || is && ask.Address == "q:1"
	}
	if !asked {
		t.Errorf("effects %+v, want the new starter to be asked", effects)
	}
}

// TestOwnRecordIsTakenUp: a machine that was the starter before its process ended reads
// everything: all that start ask there. Seen in a run of the soak whose records show other
// addresses than nodes know themselves by: it asked itself, and all of the zone waited 4 s.
func TestOwnRecordIsTakenUp(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, starter := range map[string]Starter{
		"by its address": {ID: "n-1", Address: "n:1"}, "by its machine": {ID: "n-1", Machine: "m", Address: "shown:1"},
	} {
		core := New(Config{Self: Peer{ID: "n-2", Address: "n:1"}, Machine: "m"}, passAll{}, 1)
		core.Step(now, Tick{})
		core.Step(now, ReadDone{Began: now, Large: true})
		if effects := core.Step(now, StarterRead{Starter: starter, Revision: 5}); !slices.Contains(effects, Effect(Read{})) {
			t.Errorf("%s: effects %+v, want everything to be read", name, effects)
		}
	}
	core := New(Config{Self: Peer{ID: "n-2", Address: "n:1"}}, passAll{}, 1)
	core.Step(now, Tick{})
	core.Step(now, ReadDone{Began: now, Large: true})
	core.Step(now, StarterRead{Starter: Starter{ID: "n-1", Address: "shown:1"}, Revision: 5})
	own := SnapshotRequested{Request: wire.StoreSnapshotRequest{From: "n-2", FromAddress: "n:1"}}
	if effects := core.Step(now, own); !slices.Contains(effects, Effect(Read{})) {
		t.Errorf("its own question: effects %+v, want everything to be read", effects)
	}
}

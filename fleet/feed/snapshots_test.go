package feed

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/wire"
)

// newLoadedCore returns a node that has read a store with that many pairs of the given size, and
// the pairs.
func newLoadedCore(now time.Time, pairs, size int, cfg Config) (*Core, []wire.StoreChange) {
	var content []wire.StoreChange
	for i := range pairs {
		content = append(content, wire.StoreChange{Key: fmt.Sprintf("key-%05d", i), Value: make([]byte, size), Revision: keyvalue.Revision(i + 1)})
	}
	core := New(cfg, acceptAll{}, 1)
	core.Step(now, ReadDone{Began: now, Revision: keyvalue.Revision(pairs), Pairs: content})
	return core, content
}

// snapshotRequest is the request of a starting node.
func snapshotRequest(number int, capacity float64) SnapshotRequested {
	id := fmt.Sprintf("asker-%d", number)
	return SnapshotRequested{Request: wire.StoreSnapshotRequest{From: cluster.NodeID(id), FromAddress: id, Capacity: capacity}}
}

// partsSentTo returns the snapshot parts that the effects send to the address.
func partsSentTo(effects []Effect, address string) []wire.StoreSnapshot {
	var parts []wire.StoreSnapshot
	for _, effect := range effects {
		if sent, ok := effect.(SendSnapshot); ok && sent.Address == address {
			parts = append(parts, sent.Part)
		}
	}
	return parts
}

// TestSnapshotArrivesFromUnorderedParts guards against snapshots that are lost or wrong when parts
// arrive out of order or twice, and against parts that are much larger than a message should be.
func TestSnapshotArrivesFromUnorderedParts(t *testing.T) {
	now := time.Unix(1000, 0)
	core, content := newLoadedCore(now, 900, 5000, Config{Self: Peer{ID: "knowing", Capacity: 1}})
	parts := partsSentTo(core.Step(now.Add(time.Second), snapshotRequest(1, 0.2)), "asker-1")
	if len(parts) < 4 {
		t.Fatalf("%d parts for 4.5 MB, want at least 4", len(parts))
	}
	starting := New(Config{Self: Peer{ID: "starting", Address: "asker-1"}}, acceptAll{}, 1)
	starting.Step(now, Tick{})
	starting.Step(now, ReadDone{Began: now, MorePages: true})
	starting.Step(now, StarterRead{Starter: Starter{ID: "knowing", Address: "k"}, Revision: 5})
	slices.Reverse(parts)
	var replaced *ReplaceContents
	for _, part := range append(parts[:1:1], parts...) {
		for _, effect := range starting.Step(now.Add(2*time.Second), SnapshotReceived{Part: part}) {
			if e, ok := effect.(ReplaceContents); ok {
				replaced = &e
			}
		}
	}
	if replaced == nil || !reflect.DeepEqual(replaced.Pairs, content) || starting.Revision() != 900 {
		t.Fatalf("the snapshot was not taken whole, the node is at revision %d", starting.Revision())
	}
	if age := now.Add(2 * time.Second).Sub(starting.KnownAt()); age < time.Second {
		t.Errorf("the stated age is %s, want at least 1s", age)
	}
}

// TestInvalidSnapshotPartsAreIgnored guards against a startup from a damaged snapshot: a part with
// impossible numbers or undecodable content is ignored.
func TestInvalidSnapshotPartsAreIgnored(t *testing.T) {
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
			t.Errorf("%s: taken for a complete snapshot", name)
		}
	}
}

// TestStaleStateIsNotSentAsSnapshot guards against nodes that start from a configuration that is no
// longer in force. A node that is cut off from the store and from its relays makes requesters wait
// until its state is fresh, and a snapshot that arrives too old is not taken. The starting node
// reads the store then.
func TestStaleStateIsNotSentAsSnapshot(t *testing.T) {
	now := time.Unix(1000, 0)
	core, _ := newLoadedCore(now, 10, 10, Config{Self: Peer{ID: "knowing", Capacity: 1}})
	parts := partsSentTo(core.Step(now.Add(time.Second), snapshotRequest(1, 0.2)), "asker-1")
	if len(parts) == 0 {
		t.Fatal("a fresh snapshot was not sent")
	}
	later := now.Add(20 * time.Second)
	if old := partsSentTo(core.Step(later, snapshotRequest(2, 0.2)), "asker-2"); len(old) != 1 || old[0].Revision != 0 {
		t.Errorf("a stale snapshot was sent: %d parts", len(old))
	}
	if parts := partsSentTo(core.Step(later, PollDone{Began: later, Revision: 10}), "asker-2"); len(parts) == 0 {
		t.Error("the waiting node got no snapshot after the poll")
	}
	starting := New(Config{Self: Peer{ID: "starting", Address: "asker-1"}}, acceptAll{}, 1)
	starting.Step(now, Tick{})
	starting.Step(now, ReadDone{Began: now, MorePages: true})
	starting.Step(now, StarterRead{Starter: Starter{ID: "knowing", Address: "k"}, Revision: 5})
	var effects []Effect
	for _, part := range parts {
		part.Age += 20 * time.Second
		effects = append(effects, starting.Step(now, SnapshotReceived{Part: part})...)
	}
	if starting.Revision() != 0 || !slices.Contains(effects, Effect(ClaimStarter{Revision: 5})) {
		t.Errorf("at revision %d with effects %+v, want a claim of the starter's record", starting.Revision(), effects)
	}
}

// TestSnapshotsAreLimitedByCapacity guards against a node that is overloaded by starting nodes: it
// sends as many snapshots per second as its capacity allows and refers further requests to the
// nodes that it served, more of them to stronger nodes, and none to the requester itself.
func TestSnapshotsAreLimitedByCapacity(t *testing.T) {
	now := time.Unix(1000, 0)
	core, _ := newLoadedCore(now, 10, 10, Config{Self: Peer{ID: "knowing", Capacity: weakNodeCores}})
	served, referred := 0, map[string]int{}
	for i := range 12 {
		capacity := weakNodeCores
		if i == 0 {
			capacity = strongNodeCores
		}
		address := fmt.Sprintf("asker-%d", i)
		for _, part := range partsSentTo(core.Step(now, snapshotRequest(i, capacity)), address) {
			if part.Refer == address {
				t.Errorf("%s is referred to itself", address)
			}
			if part.Refer == "" {
				served++
			} else {
				referred[part.Refer]++
			}
		}
	}
	if served != minSnapshotsPerSecond || referred["asker-0"] <= referred["asker-1"] || referred["asker-0"]+referred["asker-1"] != 10 {
		t.Errorf("%d served, others referred to %v", served, referred)
	}
	if parts := partsSentTo(core.Step(now.Add(1100*time.Millisecond), snapshotRequest(20, weakNodeCores)), "asker-20"); len(parts) != 1 || parts[0].Refer != "" {
		t.Errorf("1.1 s later: %+v, want a snapshot", parts)
	}
}

// TestSilentStarterIsReplaced guards against nodes that wait for a dead starter: the node that gets
// no answer claims the starter's record, or, if another node has claimed it, asks that one.
func TestSilentStarterIsReplaced(t *testing.T) {
	now := time.Unix(1000, 0)
	newAskingCore := func() *Core {
		core := New(Config{Self: Peer{ID: "n", Address: "n:1"}}, acceptAll{}, 1)
		core.Step(now, Tick{})
		core.Step(now, ReadDone{Began: now, MorePages: true})
		core.Step(now, StarterRead{Starter: Starter{ID: "dead", Address: "d:1"}, Revision: 5})
		return core
	}
	core := newAskingCore()
	now = now.Add(defaultSnapshotTimeout)
	effects := core.Step(now, Tick{})
	if !slices.Contains(effects, Effect(ClaimStarter{Revision: 5})) {
		t.Fatalf("effects %+v, want a claim of the starter's record at revision 5", effects)
	}
	effects = core.Step(now, StarterClaimed{Won: true, Starter: Starter{ID: "n", Address: "n:1"}, Revision: 9})
	if !slices.Contains(effects, Effect(Read{})) {
		t.Errorf("effects %+v, want a full read", effects)
	}
	other := newAskingCore()
	now = now.Add(defaultSnapshotTimeout)
	other.Step(now, Tick{})
	effects = other.Step(now, StarterClaimed{Starter: Starter{ID: "quick", Address: "q:1"}, Revision: 9})
	asked := false
	for _, effect := range effects {
		ask, ok := effect.(RequestSnapshot)
		asked = asked || ok && ask.Address == "q:1"
	}
	if !asked {
		t.Errorf("effects %+v, want a request to the new starter", effects)
	}
}

// TestStarterThatAnswersInTimeIsKept guards against nodes that replace a starter which is slow and answers within the
// timeout, so that each of them reads the store: at first, and after each part or notice.
func TestStarterThatAnswersInTimeIsKept(t *testing.T) {
	now := time.Unix(1000, 0)
	knowing, _ := newLoadedCore(now, 900, 5000, Config{Self: Peer{ID: "starter", Capacity: 1}})
	parts := partsSentTo(knowing.Step(now, snapshotRequest(1, 0.2)), "asker-1")
	core := New(Config{Self: Peer{ID: "asker-1", Address: "asker-1"}}, acceptAll{}, 1)
	core.Step(now, Tick{})
	core.Step(now, ReadDone{Began: now, MorePages: true})
	core.Step(now, StarterRead{Starter: Starter{ID: "starter", Address: "s:1"}, Revision: 5})
	replaced := false
	step := func(event Event) {
		for _, effect := range core.Step(now, event) {
			switch effect.(type) {
			case ClaimStarter, Read:
				replaced = true
			}
		}
	}
	for i := range parts {
		now = now.Add(defaultSnapshotTimeout - time.Millisecond)
		step(Tick{})
		step(SnapshotReceived{Part: parts[i]})
	}
	if replaced || core.Revision() == 0 {
		t.Errorf("replaced=%v, revision %d after %d parts", replaced, core.Revision(), len(parts))
	}
}

// TestStarterRecordOfOwnMachineLeadsToFullRead guards against a node that requests a snapshot from
// itself. If an earlier process of its machine was the starter, all starting nodes ask there, so
// that the node must read the store. Where records show other addresses than nodes know themselves
// by, a node asked itself, and its whole zone waited 4 s.
func TestStarterRecordOfOwnMachineLeadsToFullRead(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, starter := range map[string]Starter{
		"by its address": {ID: "n-1", Address: "n:1"}, "by its machine": {ID: "n-1", Machine: "m", Address: "shown:1"},
	} {
		core := New(Config{Self: Peer{ID: "n-2", Address: "n:1"}, Machine: "m"}, acceptAll{}, 1)
		core.Step(now, Tick{})
		core.Step(now, ReadDone{Began: now, MorePages: true})
		if effects := core.Step(now, StarterRead{Starter: starter, Revision: 5}); !slices.Contains(effects, Effect(Read{})) {
			t.Errorf("%s: effects %+v, want a full read", name, effects)
		}
	}
	core := New(Config{Self: Peer{ID: "n-2", Address: "n:1"}}, acceptAll{}, 1)
	core.Step(now, Tick{})
	core.Step(now, ReadDone{Began: now, MorePages: true})
	core.Step(now, StarterRead{Starter: Starter{ID: "n-1", Address: "shown:1"}, Revision: 5})
	own := SnapshotRequested{Request: wire.StoreSnapshotRequest{From: "n-2", FromAddress: "n:1"}}
	if effects := core.Step(now, own); !slices.Contains(effects, Effect(Read{})) {
		t.Errorf("own request: effects %+v, want a full read", effects)
	}
}

package fleet

import (
	"strings"
	"testing"
	"time"

	"github.com/valveslip/valveslip/authority/sequence"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing"
)

// beginStream has a stream begin at the core's node and returns the effects.
func beginStream(core *Core, now time.Time, id cluster.RequestID) []Effect {
	core.resumptions.began(routing.StreamBegan{Request: id, Model: "s", Release: "v1", Deadline: now.Add(10 * time.Second)})
	return core.Step(now, Tick{})
}

// storesOrigin reports whether effects write the origin of a stream.
func storesOrigin(t *testing.T, effects []Effect, id cluster.RequestID) bool {
	t.Helper()
	for _, effect := range effects {
		write, is := effect.(StoreWrite)
		if !is || !strings.HasPrefix(write.Key, KeyOrigins) {
			continue
		}
		record, err := DecodeOrigins(write.Value)
		if err != nil {
			t.Fatal(err)
		}
		for _, request := range record.Streams["v1"] {
			if request == id {
				return true
			}
		}
	}
	return false
}

// TestOriginsAreStoredWhileNobodyGivesOrders guards against streams that are lost with all nodes, since nobody stores
// origins from the moment at which the holder of the order lease stops until another node holds it.
func TestOriginsAreStoredWhileNobodyGivesOrders(t *testing.T) {
	for name, change := range map[string]func(core *Core){
		"the holder stops":             func(core *Core) { core.controller.resign() },
		"the term has not begun":       func(core *Core) { core.controller.feedLedger(sequence.TermEnded{}) },
		"nobody holds the lease":       func(core *Core) { core.controller.holder = NodeEntry{} },
		"the holder's process is gone": func(core *Core) { core.controller.holder = NodeEntry{ID: "a-gone", Address: "gone"} },
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			core := newRecordingCore(t, now, "v1", "v2")
			core.nodes.put(NodeEntry{ID: "z-other", Machine: "z", Address: "other"})
			if !storesOrigin(t, beginStream(core, now, "before"), "before") {
				t.Fatal("the holder does not store origins")
			}
			now = now.Add(2 * archiveInterval)
			change(core)
			if !storesOrigin(t, beginStream(core, now, "after"), "after") {
				t.Error("the origin is not stored")
			}
		})
	}
}

// TestSingleNodeStoresOriginsWithoutHolder guards against hundreds of nodes that all store origins while nobody holds
// the order lease, and against origins that nobody stores once the node that was to store them has ended.
func TestSingleNodeStoresOriginsWithoutHolder(t *testing.T) {
	now := time.Unix(1000, 0)
	core := newRecordingCore(t, now, "v1", "v2")
	core.nodes.put(NodeEntry{ID: "a-first", Machine: "a", Address: "first"})
	core.controller.holder = NodeEntry{}
	core.Step(now, Tick{})
	effects := beginStream(core, now.Add(2*archiveInterval), "stream")
	if storesOrigin(t, effects, "stream") {
		t.Error("a node stores origins that does not have the first ID")
	}
	core.nodes.remove("a-first")
	if !storesOrigin(t, core.Step(now.Add(4*archiveInterval), Tick{}), "stream") {
		t.Error("the origin is not stored once the node with the first ID has ended")
	}
}

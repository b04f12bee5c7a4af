package replication

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/wire"
)

// largeTree returns a tree of the size expected in two years: 62 models, 1,600 adapters.
func largeTree(b *testing.B) *settings.Tree {
	edit := settings.Edit{ID: "tree"}
	add := func(path string, kind settings.Kind, values map[string]settings.Value) {
		edit.Changes = append(edit.Changes, settings.Change{Path: path, Create: kind, Set: values})
	}
	for team := range 40 {
		add(fmt.Sprintf("/team-%02d", team), settings.KindTeam, map[string]settings.Value{"keep_alive": `"10m"`})
	}
	for model := range 62 {
		add(fmt.Sprintf("/model-%02d", model), settings.KindModel, map[string]settings.Value{"memory": `"16GiB"`})
	}
	for adapter := range 1600 {
		add(fmt.Sprintf("/team-%02d/adapter-%04d", adapter%40, adapter), settings.KindAdapter, map[string]settings.Value{
			settings.KeyBase: settings.Value(fmt.Sprintf(`"model-%02d"`, adapter%62)), "memory": `"512MiB"`,
		})
	}
	_, tree, err := settings.EmptyTree().Validate(edit)
	if err != nil {
		b.Fatal(err)
	}
	return tree
}

// BenchmarkApplyEntries puts batches of accepted edits in force and pushes them to four of
// 340 known peers.
func BenchmarkApplyEntries(b *testing.B) {
	tree := largeTree(b)
	for _, batch := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("edits=%d", batch), func(b *testing.B) {
			entries := entriesAfterFirst(b, tree, batch)
			stamp := settings.Stamp{History: "h1", Revision: 1, Digest: tree.Digest()}
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				core := newCore("a")
				core.Step(epoch, Loaded{Tree: tree, Stamp: stamp})
				for peer := range 340 {
					id := fmt.Sprintf("peer-%03d", peer)
					core.Step(epoch, HeartbeatStamp{From: cluster.NodeID(id), Address: id + ":7000", Stamp: stamp, SameZone: peer < 19})
				}
				b.StartTimer()
				effects := core.Step(epoch, MessageReceived{Message: wire.ConfigurationEntries{From: "peer-000", History: "h1", After: 1, Entries: entries}})
				if len(effectsOf[InForce](effects)) != 1 {
					b.Fatal("not in force")
				}
			}
		})
	}
}

// entriesAfterFirst returns count entries after revision 1, each of which sets one key.
func entriesAfterFirst(b *testing.B, tree *settings.Tree, count int) []wire.ConfigurationEntry {
	var entries []wire.ConfigurationEntry
	for i := range count {
		edit := settings.Edit{ID: fmt.Sprintf("edit-%d", i), Changes: []settings.Change{{
			Path: fmt.Sprintf("/team-%02d/adapter-%04d", i%40, i), Set: map[string]settings.Value{"priority": "3"},
		}}}
		next, err := tree.Apply(edit)
		if err != nil {
			b.Fatal(err)
		}
		tree = next
		entries = append(entries, wire.ConfigurationEntry{Revision: int64(i) + 2, Digest: tree.Digest(), Data: edit.Encode()})
	}
	return entries
}

// BenchmarkReceiveStamp processes the stamp of a peer that has no newer configuration.
func BenchmarkReceiveStamp(b *testing.B) {
	core := newCore("a")
	h := newHistory(b, "h1", 1)
	core.Step(epoch, h.loaded(1))
	seen := HeartbeatStamp{From: "peer", Address: "peer:7000", Stamp: h.stamp(1)}
	b.ReportAllocs()
	for b.Loop() {
		core.Step(epoch, seen)
	}
}

// BenchmarkConfigurationHeap reports the heap that the tree and the compiled snapshot of a
// configuration in force occupy, per model.
func BenchmarkConfigurationHeap(b *testing.B) {
	data := largeTree(b).Encode()
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		tree, err := settings.DecodeTree(data)
		if err != nil {
			b.Fatal(err)
		}
		core := newCore("a")
		core.Step(epoch, Loaded{Tree: tree, Stamp: settings.Stamp{History: "h1", Revision: 1, Digest: tree.Digest()}})
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(core)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1662, "B/model")
}

// BenchmarkApplySnapshot puts a whole tree in force that arrives in a message.
func BenchmarkApplySnapshot(b *testing.B) {
	tree := largeTree(b)
	message := wire.ConfigurationSnapshot{
		From: "peer-000", Stamp: settings.Stamp{History: "h1", Revision: 1, Digest: tree.Digest()}, Data: tree.Encode(),
	}
	b.ReportAllocs()
	for b.Loop() {
		if len(effectsOf[InForce](newCore("a").Step(epoch, MessageReceived{Message: message}))) != 1 {
			b.Fatal("not in force")
		}
	}
	b.ReportMetric(float64(len(message.Data)), "B/snapshot")
}

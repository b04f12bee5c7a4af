package settings

import (
	"context"
	"fmt"
	"testing"
)

// Sizes of the benchmark tree: the models, adapters and teams expected two years from now.
const (
	expectedModels   = 62
	expectedAdapters = 1600
	expectedTeams    = 40
)

// largeTree builds a tree of the expected size, in which each level below the root sets three
// keys.
func largeTree() *Tree {
	levels := []*Level{{Path: RootPath, Kind: KindOrganization, Values: map[string]Value{"keep_alive": `"15m"`}}}
	for i := range expectedTeams {
		levels = append(levels, &Level{Path: fmt.Sprintf("/team-%02d", i), Kind: KindTeam, Values: map[string]Value{
			"keep_alive": `"10m"`, "max_concurrency": "40", "cold_start_weight": "0.7"}})
	}
	for i := range expectedModels {
		levels = append(levels, &Level{Path: fmt.Sprintf("/model-%02d", i), Kind: KindModel, Values: map[string]Value{
			"memory": `"16GiB"`, "max_replicas": "8", "engine_pool": `"assistant"`}})
	}
	for i := range expectedAdapters {
		levels = append(levels, &Level{
			Path: fmt.Sprintf("/team-%02d/adapter-%04d", i%expectedTeams, i), Kind: KindAdapter,
			Values: map[string]Value{KeyBase: encodeValue(fmt.Sprintf("model-%02d", i%expectedModels)), "memory": `"512MiB"`, "version": `"2"`},
		})
	}
	return treeFromLevels(levels)
}

func BenchmarkCompile(b *testing.B) {
	tree := largeTree()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := tree.Compile(Stamp{}); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkApplyOneKey(b *testing.B) {
	tree := largeTree()
	edit := Edit{Changes: []Change{{Path: "/team-07/adapter-0007", Set: map[string]Value{"priority": "3"}}}}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := tree.Apply(edit); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecodeTree(b *testing.B) {
	data := largeTree().Encode()
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeTree(data); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCommitOneKey(b *testing.B) {
	service := newMemoryKV()
	store := newStore(service)
	if _, err := store.Initialize(context.Background(), largeTree(), "bench"); err != nil {
		b.Fatal(err)
	}
	revision := int64(1)
	b.ReportAllocs()
	for b.Loop() {
		edit := Edit{ID: fmt.Sprint(revision), BaseRevision: revision, Changes: setKey("/team-07/adapter-0007", "priority", encodeValue(revision%9))}
		if _, err := store.Commit(context.Background(), edit); err != nil {
			b.Fatal(err)
		}
		revision++
	}
	b.ReportMetric(float64(service.writtenBytes), "written-B/op")
	b.ReportMetric(float64(service.writtenKeys), "keys/op")
}

// TestLargeTreeStaysWithinStoreLimits guards against a layout that outgrows the key-value service:
// a tree of the expected size must fit the limits of one value (maxValueBytes) and of one
// transaction (128 operations), and an edit of one key must write three keys of at most 10 KiB
// together.
func TestLargeTreeStaysWithinStoreLimits(t *testing.T) {
	service := newMemoryKV()
	store := newStore(service)
	tree := largeTree()
	if _, err := store.Initialize(context.Background(), tree, "test"); err != nil {
		t.Fatal(err)
	}
	if service.largestValue > maxValueBytes || service.writtenKeys > 128 {
		t.Errorf("Initialize wrote %d keys, the largest value has %d bytes", service.writtenKeys, service.largestValue)
	}
	mustCommit(t, store, "e", 1, setKey("/team-07/adapter-0007", "priority", "3"))
	if service.writtenKeys != 3 || service.writtenBytes > 10<<10 {
		t.Errorf("edit of one key wrote %d keys and %d bytes, want 3 keys and at most 10 KiB", service.writtenKeys, service.writtenBytes)
	}
	loaded, stamp, err := newStore(service).Load(context.Background())
	if err != nil || loaded.Digest() != stamp.Digest || loaded.Len() != tree.Len() {
		t.Errorf("loaded %d levels: %v", loaded.Len(), err)
	}
	t.Logf("tree of %d levels: %d bytes; edit of one key: %d bytes", tree.Len(), len(tree.Encode()), service.writtenBytes)
}

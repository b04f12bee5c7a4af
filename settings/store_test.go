package settings

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/verdict"
)

// newStore returns a store over service that names its history "h".
func newStore(service keyvalue.Store, options ...StoreOption) *Store {
	options = append(options, WithHistoryNames(func() string { return "h" }), WithClock(func() time.Time { return time.Unix(0, 0) }))
	return NewStore(service, options...)
}

func set(path, key string, value Value) []Change {
	return []Change{{Path: path, Set: map[string]Value{key: value}}}
}

// mustCommit commits changes made from the given revision.
func mustCommit(t *testing.T, store *Store, id string, base int64, changes []Change) Entry {
	t.Helper()
	entry, err := store.Commit(context.Background(), Edit{ID: id, Author: id, BaseRevision: base, Changes: changes})
	if err != nil {
		t.Fatalf("commit %s: %v", id, err)
	}
	return entry
}

func TestStoreReadsBackWhatItCommitted(t *testing.T) {
	service := newMemoryKV()
	ctx := context.Background()
	tree := readTree(t, "dental.yaml")
	stamp, err := newStore(service).Initialize(ctx, tree, "test")
	if err != nil || stamp != (Stamp{History: "h", Revision: 1, Digest: tree.Digest()}) {
		t.Fatalf("initialized %+v: %v", stamp, err)
	}
	store := newStore(service)
	if _, err := store.Initialize(ctx, Empty(), "other"); !errors.Is(err, ErrExists) {
		t.Fatalf("a second tree was initialized: %v", err)
	}
	entry := mustCommit(t, store, "e1", 1, set("/dental", "keep_alive", `"20m"`))
	loaded, stamp, err := newStore(service).Load(ctx)
	if err != nil || stamp.Revision != 2 || stamp.Digest != entry.Digest || loaded.Digest() != entry.Digest {
		t.Fatalf("loaded %+v: %v", stamp, err)
	}
	events, err := EntriesFromEvents(service.batches[1])
	if err != nil || len(events) != 1 || events[0].Edit.ID != "e1" {
		t.Fatalf("watched %+v: %v", events, err)
	}
	if stamp, ok := StampFromEvents(service.batches[1]); !ok || stamp.Revision != 2 || stamp.Digest != entry.Digest {
		t.Fatalf("watched stamp %+v", stamp)
	}
	if _, ok := StampFromEvents(nil); ok {
		t.Error("a stamp from no events")
	}
	for revision, want := range map[int64]uint64{0: Empty().Digest(), 1: tree.Digest(), 2: entry.Digest} {
		if old, err := store.TreeAt(ctx, revision); err != nil || old.Digest() != want {
			t.Errorf("tree at %d: %v", revision, err)
		}
	}
	if _, err := store.TreeAt(ctx, 3); !errors.Is(err, ErrRevisionGone) {
		t.Errorf("tree at a revision to come: %v", err)
	}
	replayed, err := tree.Apply(events[0].Edit)
	if err != nil || replayed.Digest() != entry.Digest {
		t.Fatalf("replay gives another tree: %v", err)
	}
}

func TestOverlappingStaleEditsAreRefused(t *testing.T) {
	ctx := context.Background()
	store := newStore(newMemoryKV())
	if _, err := store.Initialize(ctx, readTree(t, "dental.yaml"), "test"); err != nil {
		t.Fatal(err)
	}
	mustCommit(t, store, "first", 1, append(set("/dental/clinics", "priority", "3"), Change{Path: "/dental/after-hours", Delete: true}))
	refused := map[string][]Change{
		"/dental/clinics: priority": set("/dental/clinics", "priority", "4"),
		"/dental/after-hours":       set("/dental/after-hours/parents-13b", "priority", "4"),
	}
	for place, changes := range refused {
		_, err := store.Commit(ctx, Edit{ID: place, BaseRevision: 1, Changes: changes})
		var conflict *ConflictError
		if !errors.As(err, &conflict) || len(conflict.Conflicts) != 1 || !strings.HasSuffix(err.Error(), place) {
			t.Errorf("stale edit of %s: %v", place, err)
		}
	}
	if entry := mustCommit(t, store, "beside", 1, set("/dental/clinics", "queue_length", "4")); entry.Revision != 3 {
		t.Errorf("an edit that touches nothing changed was not rebased: %+v", entry)
	}
	if _, err := store.Commit(ctx, Edit{ID: "future", BaseRevision: 9, Changes: set("/", "priority", "1")}); err == nil {
		t.Error("an edit from a revision that does not exist was accepted")
	}
}

func TestLostAnswersAreSettledByTheEditID(t *testing.T) {
	ctx := context.Background()
	for name, fault := range map[string]kvFault{"before": lostBefore, "after": lostAfter} {
		service := newMemoryKV()
		store := newStore(service)
		mustCommit(t, store, "first", 0, set("/", "priority", "1"))
		service.fault = func(n int) kvFault {
			if n == 2 {
				return fault
			}
			return noFault
		}
		entry := mustCommit(t, store, "second", 1, set("/", "priority", "2"))
		again := mustCommit(t, store, "second", 1, set("/", "priority", "2"))
		if entry.Revision != 2 || again.Revision != 2 {
			t.Errorf("lost %s: revision %d, then %d", name, entry.Revision, again.Revision)
		}
		if _, err := store.Commit(ctx, Edit{ID: "second", BaseRevision: 2, Changes: set("/", "priority", "3")}); err == nil {
			t.Errorf("lost %s: an id was used twice", name)
		}
	}
}

func TestUnsettledAnswersAreSaidToBeUnknown(t *testing.T) {
	service := newMemoryKV()
	store := newStore(service)
	service.fault = func(n int) kvFault { return []kvFault{lostBefore, refused}[min(n-1, 1)] }
	_, err := store.Commit(context.Background(), Edit{ID: "e", Changes: set("/", "priority", "1")})
	if verdict.Of(err) != verdict.MayHaveRun || verdict.CodeOf(err) != verdict.CodeOutcomeUnknown {
		t.Fatalf("lost, then refused: %v", err)
	}
	service.fault = func(int) kvFault { return refused }
	_, err = store.Commit(context.Background(), Edit{ID: "f", Changes: set("/", "priority", "1")})
	if verdict.Of(err) != verdict.NotRun {
		t.Fatalf("refused: %v", err)
	}
}

func TestHistoryIsBounded(t *testing.T) {
	service := newMemoryKV()
	store := newStore(service, WithHistoryLength(5))
	for i := range 20 {
		mustCommit(t, store, fmt.Sprint("e", i), int64(i), set("/", "priority", encodeValue(i)))
	}
	entries, err := newStore(service).EntriesAfter(context.Background(), 0)
	if err != nil || len(entries) != 5 || entries[0].Revision != 16 {
		t.Fatalf("kept %d entries: %v", len(entries), err)
	}
	if len(service.pairs) != 5+1+1 {
		t.Fatalf("%d keys stored", len(service.pairs))
	}
	var conflict *ConflictError
	if _, err := store.Commit(context.Background(), Edit{ID: "old", BaseRevision: 3, Changes: set("/", "queue_length", "1")}); !errors.As(err, &conflict) {
		t.Fatalf("an edit from before the kept history: %v", err)
	}
}

// TestOperatorsRace lets 8 writers commit 500 edits while every seventh answer
// is lost, before or after it took effect.
func TestOperatorsRace(t *testing.T) {
	const writers, edits = 8, 500
	service := newMemoryKV()
	random := rand.New(rand.NewPCG(1, 2))
	service.fault = func(int) kvFault {
		switch random.IntN(14) {
		case 0:
			return lostBefore
		case 1:
			return lostAfter
		default:
			return noFault
		}
	}
	mustCommit(t, newStore(service), "first", 0, []Change{{Path: "/m", Create: KindModel}})
	results := make([]writerResult, writers)
	var group sync.WaitGroup
	for i := range writers {
		group.Go(func() { results[i] = writeEdits(newStore(service), i, edits/writers) })
	}
	group.Wait()
	checkRace(t, service, results)
}

// writerResult is what one writer believes about its edits.
type writerResult struct {
	accepted map[string]Entry
	refused  map[string]bool
	failed   error
}

// writeEdits commits edits, each from the revision it reads, and gives one
// again for as long as its outcome is unknown.
func writeEdits(store *Store, writer, count int) writerResult {
	result := writerResult{accepted: map[string]Entry{}, refused: map[string]bool{}}
	for i := range count {
		_, stamp, err := store.Load(context.Background())
		if err != nil {
			return writerResult{failed: err}
		}
		id := fmt.Sprintf("w%d-%d", writer, i)
		key := []string{"priority", "queue_length", "retry_attempts"}[i%3]
		edit := Edit{ID: id, BaseRevision: stamp.Revision, Changes: set([]string{"/", "/m"}[i%2], key, encodeValue(1+i%9))}
		entry, err := store.Commit(context.Background(), edit)
		for verdict.CodeOf(err) == verdict.CodeOutcomeUnknown {
			entry, err = store.Commit(context.Background(), edit)
		}
		var conflict *ConflictError
		switch {
		case err == nil:
			result.accepted[id] = entry
		case errors.As(err, &conflict):
			result.refused[id] = true
		default:
			return writerResult{failed: err}
		}
	}
	return result
}

// checkRace checks that the history holds every accepted edit exactly once, no
// refused one, in order, and leads to the stored tree.
func checkRace(t *testing.T, service *memoryKV, results []writerResult) {
	t.Helper()
	tree, stamp, err := newStore(service).Load(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	entries, err := newStore(service).EntriesAfter(context.Background(), 0)
	if err != nil {
		t.Fatal(err)
	}
	replayed, position := Empty(), map[string]int64{}
	for i, entry := range entries {
		if entry.Revision != int64(i)+1 || position[entry.Edit.ID] != 0 {
			t.Fatalf("entry %d has revision %d, id %s", i, entry.Revision, entry.Edit.ID)
		}
		position[entry.Edit.ID] = entry.Revision
		if replayed, err = replayed.Apply(entry.Edit); err != nil || replayed.Digest() != entry.Digest {
			t.Fatalf("entry %d does not replay: %v", entry.Revision, err)
		}
	}
	accepted := 1
	for _, result := range results {
		if result.failed != nil {
			t.Fatal(result.failed)
		}
		for id, entry := range result.accepted {
			accepted++
			if position[id] != entry.Revision {
				t.Errorf("edit %s was accepted as %d and stands at %d", id, entry.Revision, position[id])
			}
		}
		for id := range result.refused {
			if position[id] != 0 {
				t.Errorf("edit %s was refused and stands at %d", id, position[id])
			}
		}
	}
	if accepted != len(entries) || stamp.Revision != int64(len(entries)) || replayed.Digest() != tree.Digest() {
		t.Errorf("%d accepted, %d in the history, revision %d", accepted, len(entries), stamp.Revision)
	}
}

// TestEditsLostByTheServiceAreStoredAgain takes the service back to an earlier
// state, as a restore from a backup does, or to nothing.
func TestEditsLostByTheServiceAreStoredAgain(t *testing.T) {
	ctx := context.Background()
	for name, backup := range map[string]int64{"from a backup": 3, "from nothing": 0} {
		service := newMemoryKV()
		store := newStore(service)
		saved := map[string]keyvalue.KeyValue{}
		var inForce Entry
		for i := range int64(6) {
			if i == backup {
				saved = maps.Clone(service.pairs)
			}
			inForce = mustCommit(t, store, fmt.Sprint("e", i), i, set("/", "priority", encodeValue(i+1)))
		}
		tree, stamp, _ := store.Load(ctx)
		service.pairs = saved
		for _, restoring := range []*Store{store, newStore(service)} {
			if err := restoring.Restore(ctx, tree, stamp); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
		}
		restored, after, err := newStore(service).Load(ctx)
		if err != nil || after != (Stamp{History: stamp.History, Revision: 7, Digest: inForce.Digest}) || restored.Digest() != tree.Digest() {
			t.Fatalf("%s: restored %+v: %v", name, after, err)
		}
		entry := mustCommit(t, newStore(service), "next", 6, set("/", "queue_length", "9"))
		entries, err := newStore(service).EntriesAfter(ctx, 0)
		if err != nil || entry.Revision != 8 || len(entries) != 2 || len(service.pairs) != 2+1+1 {
			t.Errorf("%s: revision %d, %d entries, %d keys: %v", name, entry.Revision, len(entries), len(service.pairs), err)
		}
	}
}

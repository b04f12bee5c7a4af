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

// newStore returns a store over service that names its history "h" and whose clock stands at zero.
func newStore(service keyvalue.Store, options ...StoreOption) *Store {
	options = append(options, WithHistoryNames(func() string { return "h" }), WithClock(func() time.Time { return time.Unix(0, 0) }))
	return NewStore(service, options...)
}

// setKey returns the changes that set one key of one level.
func setKey(path, key string, value Value) []Change {
	return []Change{{Path: path, Set: map[string]Value{key: value}}}
}

// mustCommit commits changes made from the given revision and fails the test on an error.
func mustCommit(t *testing.T, store *Store, id string, base int64, changes []Change) Entry {
	t.Helper()
	entry, err := store.Commit(context.Background(), Edit{ID: id, Author: id, BaseRevision: base, Changes: changes})
	if err != nil {
		t.Fatalf("commit %s: %v", id, err)
	}
	return entry
}

// TestStoreLoadsCommittedTreeAndHistory guards against a stored form that loses content: the tree,
// its earlier revisions and the watch events must all lead back to the committed trees.
func TestStoreLoadsCommittedTreeAndHistory(t *testing.T) {
	service := newMemoryKV()
	ctx := context.Background()
	tree := readTree(t, "dental.yaml")
	stamp, err := newStore(service).Initialize(ctx, tree, "test")
	if err != nil || stamp != (Stamp{History: "h", Revision: 1, Digest: tree.Digest()}) {
		t.Fatalf("Initialize returned stamp %+v, error %v", stamp, err)
	}
	store := newStore(service)
	if _, err := store.Initialize(ctx, EmptyTree(), "other"); !errors.Is(err, ErrExists) {
		t.Fatalf("Initialize with a tree stored already: error %v, want ErrExists", err)
	}
	entry := mustCommit(t, store, "e1", 1, setKey("/dental", "keep_alive", `"20m"`))
	loaded, stamp, err := newStore(service).Load(ctx)
	if err != nil || stamp.Revision != 2 || stamp.Digest != entry.Digest || loaded.Digest() != entry.Digest {
		t.Fatalf("Load returned stamp %+v, error %v", stamp, err)
	}
	events, err := EntriesFromEvents(service.batches[1])
	if err != nil || len(events) != 1 || events[0].Edit.ID != "e1" {
		t.Fatalf("entries from watch events: %+v, error %v", events, err)
	}
	if stamp, ok := StampFromEvents(service.batches[1]); !ok || stamp.Revision != 2 || stamp.Digest != entry.Digest {
		t.Fatalf("stamp from watch events: %+v", stamp)
	}
	if _, ok := StampFromEvents(nil); ok {
		t.Error("StampFromEvents returned a stamp without events")
	}
	for revision, want := range map[int64]uint64{0: EmptyTree().Digest(), 1: tree.Digest(), 2: entry.Digest} {
		if old, err := store.TreeAt(ctx, revision); err != nil || old.Digest() != want {
			t.Errorf("tree at revision %d: wrong content or error %v", revision, err)
		}
	}
	if _, err := store.TreeAt(ctx, 3); !errors.Is(err, ErrRevisionGone) {
		t.Errorf("tree at a future revision: error %v, want ErrRevisionGone", err)
	}
	replayed, err := tree.Apply(events[0].Edit)
	if err != nil || replayed.Digest() != entry.Digest {
		t.Fatalf("replay of the edit yields another tree or error %v", err)
	}
}

// TestOverlappingEditFromOlderRevisionIsRefused guards against lost updates: an edit made from an
// older revision must be refused if it touches a changed part, and rebased if it does not.
func TestOverlappingEditFromOlderRevisionIsRefused(t *testing.T) {
	ctx := context.Background()
	store := newStore(newMemoryKV())
	if _, err := store.Initialize(ctx, readTree(t, "dental.yaml"), "test"); err != nil {
		t.Fatal(err)
	}
	mustCommit(t, store, "first", 1, append(setKey("/dental/clinics", "priority", "3"), Change{Path: "/dental/after-hours", Delete: true}))
	refused := map[string][]Change{
		"/dental/clinics: priority": setKey("/dental/clinics", "priority", "4"),
		"/dental/after-hours":       setKey("/dental/after-hours/parents-13b", "priority", "4"),
	}
	for place, changes := range refused {
		_, err := store.Commit(ctx, Edit{ID: place, BaseRevision: 1, Changes: changes})
		var conflict *ConflictError
		if !errors.As(err, &conflict) || len(conflict.Conflicts) != 1 || !strings.HasSuffix(err.Error(), place) {
			t.Errorf("edit of %s made from an older revision: error %v, want one conflict", place, err)
		}
	}
	if entry := mustCommit(t, store, "beside", 1, setKey("/dental/clinics", "queue_length", "4")); entry.Revision != 3 {
		t.Errorf("an edit without overlap was not rebased: %+v", entry)
	}
	if _, err := store.Commit(ctx, Edit{ID: "future", BaseRevision: 9, Changes: setKey("/", "priority", "1")}); err == nil {
		t.Error("an edit from a revision that does not exist was accepted")
	}
}

// TestCommitAfterLostResponseAppliesEditOnce guards against an edit that is lost or applied twice
// when the response to its transaction is lost, before or after the transaction took effect.
func TestCommitAfterLostResponseAppliesEditOnce(t *testing.T) {
	ctx := context.Background()
	for name, fault := range map[string]kvFault{"before": faultLostBeforeApply, "after": faultLostAfterApply} {
		service := newMemoryKV()
		store := newStore(service)
		mustCommit(t, store, "first", 0, setKey("/", "priority", "1"))
		service.faultFor = func(n int) kvFault {
			if n == 2 {
				return fault
			}
			return noFault
		}
		entry := mustCommit(t, store, "second", 1, setKey("/", "priority", "2"))
		again := mustCommit(t, store, "second", 1, setKey("/", "priority", "2"))
		if entry.Revision != 2 || again.Revision != 2 {
			t.Errorf("response lost %s the transaction: revision %d, then %d, want 2 both times", name, entry.Revision, again.Revision)
		}
		if _, err := store.Commit(ctx, Edit{ID: "second", BaseRevision: 2, Changes: setKey("/", "priority", "3")}); err == nil {
			t.Errorf("response lost %s the transaction: an edit ID was accepted for two edits", name)
		}
	}
}

// TestRefusalAfterLostResponseReportsOutcomeUnknown guards against reporting an edit as not run
// when an earlier attempt lost its response and may have taken effect.
func TestRefusalAfterLostResponseReportsOutcomeUnknown(t *testing.T) {
	service := newMemoryKV()
	store := newStore(service)
	service.faultFor = func(n int) kvFault { return []kvFault{faultLostBeforeApply, faultRefused}[min(n-1, 1)] }
	_, err := store.Commit(context.Background(), Edit{ID: "e", Changes: setKey("/", "priority", "1")})
	if verdict.Of(err) != verdict.MayHaveRun || verdict.CodeOf(err) != verdict.CodeOutcomeUnknown {
		t.Fatalf("response lost, then request refused: error %v, want an unknown outcome", err)
	}
	service.faultFor = func(int) kvFault { return faultRefused }
	_, err = store.Commit(context.Background(), Edit{ID: "f", Changes: setKey("/", "priority", "1")})
	if verdict.Of(err) != verdict.NotRun {
		t.Fatalf("request refused: error %v, want verdict NotRun", err)
	}
}

// TestHistoryIsPrunedToItsLength guards against a history that grows without limit, and against
// accepting an edit whose base revision is no longer in the kept history.
func TestHistoryIsPrunedToItsLength(t *testing.T) {
	service := newMemoryKV()
	store := newStore(service, WithHistoryLength(5))
	for i := range 20 {
		mustCommit(t, store, fmt.Sprint("e", i), int64(i), setKey("/", "priority", encodeValue(i)))
	}
	entries, err := newStore(service).EntriesAfter(context.Background(), 0)
	if err != nil || len(entries) != 5 || entries[0].Revision != 16 {
		t.Fatalf("kept %d entries, error %v", len(entries), err)
	}
	if len(service.pairs) != 5+1+1 {
		t.Fatalf("%d keys stored", len(service.pairs))
	}
	var conflict *ConflictError
	if _, err := store.Commit(context.Background(), Edit{ID: "old", BaseRevision: 3, Changes: setKey("/", "queue_length", "1")}); !errors.As(err, &conflict) {
		t.Fatalf("edit made from a revision before the kept history: error %v, want a conflict", err)
	}
}

// TestConcurrentCommitsWithLostResponsesKeepHistoryConsistent guards against edits that are lost
// or applied twice. 8 writers commit 500 edits in total, while about one response in seven is
// lost, before or after the transaction took effect.
func TestConcurrentCommitsWithLostResponsesKeepHistoryConsistent(t *testing.T) {
	const writers, edits = 8, 500
	service := newMemoryKV()
	random := rand.New(rand.NewPCG(1, 2))
	service.faultFor = func(int) kvFault {
		switch random.IntN(14) {
		case 0:
			return faultLostBeforeApply
		case 1:
			return faultLostAfterApply
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
	checkHistory(t, service, results)
}

// writerResult holds the outcome of each edit as reported to one writer.
type writerResult struct {
	accepted map[string]Entry
	refused  map[string]bool
	failure  error
}

// writeEdits commits count edits, each made from the revision that the writer loads. It repeats an
// edit while its outcome is unknown.
func writeEdits(store *Store, writer, count int) writerResult {
	result := writerResult{accepted: map[string]Entry{}, refused: map[string]bool{}}
	for i := range count {
		_, stamp, err := store.Load(context.Background())
		if err != nil {
			return writerResult{failure: err}
		}
		id := fmt.Sprintf("w%d-%d", writer, i)
		key := []string{"priority", "queue_length", "retry_attempts"}[i%3]
		edit := Edit{ID: id, BaseRevision: stamp.Revision, Changes: setKey([]string{"/", "/m"}[i%2], key, encodeValue(1+i%9))}
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
			return writerResult{failure: err}
		}
	}
	return result
}

// checkHistory checks that the history contains every accepted edit exactly once and no refused
// edit, is in revision order, and replays to the stored tree.
func checkHistory(t *testing.T, service *memoryKV, results []writerResult) {
	t.Helper()
	tree, stamp, err := newStore(service).Load(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	entries, err := newStore(service).EntriesAfter(context.Background(), 0)
	if err != nil {
		t.Fatal(err)
	}
	replayed, position := EmptyTree(), map[string]int64{}
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
		if result.failure != nil {
			t.Fatal(result.failure)
		}
		for id, entry := range result.accepted {
			accepted++
			if position[id] != entry.Revision {
				t.Errorf("edit %s was accepted as revision %d, but the history has it at %d", id, entry.Revision, position[id])
			}
		}
		for id := range result.refused {
			if position[id] != 0 {
				t.Errorf("edit %s was refused, but the history has it at revision %d", id, position[id])
			}
		}
	}
	if accepted != len(entries) || stamp.Revision != int64(len(entries)) || replayed.Digest() != tree.Digest() {
		t.Errorf("%d edits accepted, %d in the history, revision %d", accepted, len(entries), stamp.Revision)
	}
}

// TestRestoreStoresTreeLostByKeyValueService guards against accepted edits that vanish when the
// key-value service is reset to a backup or to an empty state. Restore must store the tree in
// force again, once only, and later edits must build on it.
func TestRestoreStoresTreeLostByKeyValueService(t *testing.T) {
	ctx := context.Background()
	for name, backup := range map[string]int64{"from a backup": 3, "from nothing": 0} {
		service := newMemoryKV()
		store := newStore(service)
		saved := map[string]keyvalue.KeyValue{}
		var last Entry
		for i := range int64(6) {
			if i == backup {
				saved = maps.Clone(service.pairs)
			}
			last = mustCommit(t, store, fmt.Sprint("e", i), i, setKey("/", "priority", encodeValue(i+1)))
		}
		tree, stamp, _ := store.Load(ctx)
		service.pairs = saved
		for _, restoring := range []*Store{store, newStore(service)} {
			if err := restoring.Restore(ctx, tree, stamp); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
		}
		restored, after, err := newStore(service).Load(ctx)
		if err != nil || after != (Stamp{History: stamp.History, Revision: 7, Digest: last.Digest}) || restored.Digest() != tree.Digest() {
			t.Fatalf("%s: stamp after Restore is %+v, error %v", name, after, err)
		}
		entry := mustCommit(t, newStore(service), "next", 6, setKey("/", "queue_length", "9"))
		entries, err := newStore(service).EntriesAfter(ctx, 0)
		if err != nil || entry.Revision != 8 || len(entries) != 2 || len(service.pairs) != 2+1+1 {
			t.Errorf("%s: revision %d, %d entries, %d keys: %v", name, entry.Revision, len(entries), len(service.pairs), err)
		}
	}
}

package settings

import (
	"context"
	"errors"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// touchedKeyRefs returns the keys and tokens that the edit sets, unsets, puts or removes.
func (e *Edit) touchedKeyRefs() map[keyRef]bool {
	touched := map[keyRef]bool{}
	for i := range e.Changes {
		for _, key := range e.Changes[i].touchedKeys() {
			touched[keyRef{e.Changes[i].Path, key}] = true
		}
	}
	return touched
}

// TestRebasedEditKeepsInterveningEdit guards against lost updates: an edit made from an older
// revision must not overwrite an edit that was accepted since. It commits two edits made from the
// same revision. The second may be accepted only if the result of the first is kept, and refused
// only with the conflicting parts named and the tree unchanged.
func TestRebasedEditKeepsInterveningEdit(t *testing.T) {
	ctx := context.Background()
	accepted, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		store := newStore(newMemoryKV())
		base := drawTree(t)
		if _, err := store.Initialize(ctx, base, "test"); err != nil {
			t.Fatal(err)
		}
		first := Edit{ID: "first", BaseRevision: 1, Changes: []Change{drawChange(t, base)}}
		second := Edit{ID: "second", BaseRevision: 1, Changes: []Change{drawChange(t, base)}}
		if _, _, err := base.Validate(second); err != nil {
			return
		}
		if _, err := store.Commit(ctx, first); err != nil {
			return
		}
		afterFirst, _, _ := store.Load(ctx)
		_, err := store.Commit(ctx, second)
		afterSecond, _, _ := store.Load(ctx)
		var conflict *ConflictError
		switch {
		case err == nil:
			accepted++
			checkFirstEditKept(t, &first, &second, afterFirst, afterSecond)
		case errors.As(err, &conflict):
			refused++
			if len(conflict.Conflicts) == 0 || afterSecond.Digest() != afterFirst.Digest() {
				t.Fatalf("refused without conflicts or with a changed tree: %v", conflict)
			}
		}
	})
	if accepted == 0 || refused == 0 {
		t.Fatalf("%d edits accepted and %d refused, want both above 0", accepted, refused)
	}
}

// checkFirstEditKept checks that the second edit left every part that the first one touched
// unchanged.
func checkFirstEditKept(t *rapid.T, first, second *Edit, between, after *Tree) {
	for _, change := range first.Changes {
		beforeSecond, afterSecond := between.Level(change.Path), after.Level(change.Path)
		if (beforeSecond == nil) != (afterSecond == nil) {
			t.Fatalf("level %s was created or deleted by an edit made from an older revision", change.Path)
		}
		if beforeSecond == nil {
			continue
		}
		for key := range maps.Keys(first.touchedKeyRefs()) {
			if key.path == change.Path && beforeSecond.Values[key.key] != afterSecond.Values[key.key] {
				t.Fatalf("%v was overwritten by an edit made from an older revision", key)
			}
			if second.touchedKeyRefs()[key] {
				t.Fatalf("%v was touched by both edits", key)
			}
		}
	}
}

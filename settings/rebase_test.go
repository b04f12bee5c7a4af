package settings

import (
	"context"
	"errors"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// touches returns what an edit sets, unsets or gives tokens, by path and key.
func (e *Edit) touches() map[place]bool {
	touched := map[place]bool{}
	for i := range e.Changes {
		for _, key := range e.Changes[i].touchedKeys() {
			touched[place{e.Changes[i].Path, key}] = true
		}
	}
	return touched
}

// TestNoEditIsLostToOneThatDidNotSeeIt commits one edit and then another that
// was made from the revision before. The second is accepted only if the first
// stands as it was, and refused only if both touch the same part.
func TestNoEditIsLostToOneThatDidNotSeeIt(t *testing.T) {
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
		between, _, _ := store.Load(ctx)
		_, err := store.Commit(ctx, second)
		after, _, _ := store.Load(ctx)
		var conflict *ConflictError
		switch {
		case err == nil:
			accepted++
			checkKept(t, &first, &second, between, after)
		case errors.As(err, &conflict):
			refused++
			if len(conflict.Conflicts) == 0 || after.Digest() != between.Digest() {
				t.Fatalf("refused with %v", conflict)
			}
		}
	})
	if accepted == 0 || refused == 0 {
		t.Fatalf("the draws led to %d accepted and %d refused edits", accepted, refused)
	}
}

// checkKept checks that everything the first edit touched is as it left it.
func checkKept(t *rapid.T, first, second *Edit, between, after *Tree) {
	for _, change := range first.Changes {
		then, now := between.Level(change.Path), after.Level(change.Path)
		if (then == nil) != (now == nil) {
			t.Fatalf("%s came or went by an edit that did not see it", change.Path)
		}
		if then == nil {
			continue
		}
		for key := range maps.Keys(first.touches()) {
			if key.path == change.Path && then.Values[key.key] != now.Values[key.key] {
				t.Fatalf("%v was overwritten by an edit that did not see it", key)
			}
			if second.touches()[key] {
				t.Fatalf("%v was touched by both edits", key)
			}
		}
	}
}

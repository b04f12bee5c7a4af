package keyvalue

import "testing"

// TestRevisionsOrderByEraFirst guards against states before a return of the store that count as newer
// than states after it, and against revisions that change while the store never comes back.
func TestRevisionsOrderByEraFirst(t *testing.T) {
	revision := func(era Era, counter int64) Revision {
		made, err := NewRevision(era, counter)
		if err != nil {
			t.Fatal(err)
		}
		return made
	}
	if revision(0, MaxCounter) >= revision(1, 1) || revision(1, 8) >= revision(1, 9) {
		t.Error("revisions are in the wrong order")
	}
	if revision(0, 107) != 107 || revision(3, 0) != 0 {
		t.Error("the first era has other revisions than its counts, or there is one without a change")
	}
	if made := revision(MaxEra, MaxCounter); made.Era() != MaxEra || made.Counter() != MaxCounter || made < 0 {
		t.Errorf("the last revision is %s", made)
	}
	if text := revision(2, 107).String(); text != "2:107" {
		t.Errorf("the revision prints as %q", text)
	}
	for _, wrong := range []struct {
		era     Era
		counter int64
	}{{-1, 1}, {MaxEra + 1, 1}, {0, -1}, {0, MaxCounter + 1}} {
		if made, err := NewRevision(wrong.era, wrong.counter); err == nil {
			t.Errorf("count %d of era %d is taken as %s", wrong.counter, wrong.era, made)
		}
	}
}

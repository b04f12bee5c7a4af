package feed

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/wire"
)

// TestTooLongHistoryIsReplacedByFullRead guards against a node that reads more bytes of changes
// than of values: it reads the whole store instead, and polls again after that.
func TestTooLongHistoryIsReplacedByFullRead(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }
	c := New(Config{Self: Peer{ID: "a", Address: "a"}}, allNews{}, 1)
	c.Step(at(0), Tick{})
	large := wire.StoreChange{Key: "k", Revision: 10, Value: make([]byte, 1<<20)}
	c.Step(at(0), ReadDone{Began: at(0), Revision: 10, Pairs: []wire.StoreChange{large}})
	poll := onlyEffect[Poll](t, c.Step(at(time.Second), Tick{}))
	if want := int64(historyBytesFactor * (1<<20 + 1)); poll.After != 10 || poll.MaxBytes != want {
		t.Fatalf("polled with %+v, want at most %d bytes after revision 10", poll, want)
	}
	onlyEffect[Read](t, c.Step(at(time.Second), PollDone{Began: at(time.Second), TooLong: true}))
	c.Step(at(2*time.Second), ReadDone{Began: at(time.Second), Revision: 20})
	if poll = onlyEffect[Poll](t, c.Step(at(3*time.Second), Tick{})); poll.After != 20 || poll.MaxBytes != minHistoryBytes {
		t.Fatalf("polled with %+v, want the least limit after revision 20", poll)
	}
}

// TestUpdatesAreAppliedDuringFullRead guards against a node that ignores updates while a full read
// is due or under way: an update that closes the gap is applied, ends the need for the read, and is
// not undone by its older result.
func TestUpdatesAreAppliedDuringFullRead(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }
	c := New(Config{Self: Peer{ID: "a", Address: "a"}}, allNews{}, 1)
	c.Step(at(0), Tick{})
	c.Step(at(0), ReadDone{Began: at(0), Revision: 10})
	c.Step(at(time.Second), Tick{})
	onlyEffect[Read](t, c.Step(at(time.Second), PollDone{Began: at(time.Second), TooLong: true}))
	update := UpdateReceived{Update: wire.StoreChanges{
		From: "b", After: 10, Revision: 30, Changes: []wire.StoreChange{{Key: "k", Revision: 30}},
	}}
	if applied := onlyEffect[Apply](t, c.Step(at(2*time.Second), update)); applied.Revision != 30 {
		t.Fatalf("applied up to revision %d, want 30", applied.Revision)
	}
	c.Step(at(3*time.Second), ReadDone{Began: at(time.Second), Revision: 20})
	if c.Revision() != 30 {
		t.Fatalf("an older read reset the node to revision %d", c.Revision())
	}
	if poll := onlyEffect[Poll](t, c.Step(at(4*time.Second), Tick{})); poll.After != 30 {
		t.Fatalf("polled after revision %d, want 30", poll.After)
	}
}

// TestFailedFullReadKeepsKnownRevision guards against a node that forgets what it knows when a full
// read fails.
func TestFailedFullReadKeepsKnownRevision(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }
	c := New(Config{Self: Peer{ID: "a", Address: "a"}}, allNews{}, 1)
	c.Step(at(0), Tick{})
	c.Step(at(0), ReadDone{Began: at(0), Revision: 10})
	c.Step(at(time.Second), Tick{})
	c.Step(at(time.Second), PollDone{Began: at(time.Second), TooLong: true})
	c.Step(at(2*time.Second), ReadDone{Began: at(time.Second), Err: errors.New("connection lost")})
	if read := onlyEffect[Read](t, c.Step(at(4*time.Second), Tick{})); read.Known != 10 || c.Revision() != 10 {
		t.Fatalf("read %+v at revision %d, want the node to stay at revision 10", read, c.Revision())
	}
}

// onlyEffect returns the effect of type E, and fails the test unless there is exactly one.
func onlyEffect[E Effect](t *testing.T, effects []Effect) E {
	t.Helper()
	var found []E
	for _, effect := range effects {
		if e, ok := effect.(E); ok {
			found = append(found, e)
		}
	}
	if len(found) != 1 {
		t.Fatalf("effects %+v, want one %T", effects, *new(E))
	}
	return found[0]
}

// TestContentsBytesMatchStoredValues guards against a byte count that drifts from the stored keys
// and values over changes, deletions and full reads.
func TestContentsBytesMatchStoredValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := contents{}
		c.replace(nil, 1)
		for revision := int64(2); revision < 20; revision++ {
			change := wire.StoreChange{
				Key: rapid.SampledFrom([]string{"a", "bb", "ccc"}).Draw(t, "key"), Revision: keyvalue.Revision(revision),
				Value: make([]byte, rapid.IntRange(0, 9).Draw(t, "size")), Deleted: rapid.Bool().Draw(t, "deleted"),
			}
			c.applyChanges([]wire.StoreChange{change}, keyvalue.Revision(revision))
			if rapid.IntRange(0, 5).Draw(t, "read") == 0 {
				c.replace([]wire.StoreChange{change}, keyvalue.Revision(revision))
			}
			want := int64(0)
			for key, entry := range c.keys {
				want += int64(len(key) + len(entry.value))
			}
			if c.bytes != want {
				t.Fatalf("counted %d bytes, want %d", c.bytes, want)
			}
		}
	})
}

package feed

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/valveslip/valveslip/wire"
)

// TestLongHistoryIsNotRead: a node that missed more changes than are worth reading reads
// what is there, and asks for changes again from then on.
func TestLongHistoryIsNotRead(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }
	c := New(Config{Self: Peer{ID: "a", Address: "a"}}, allNews{}, 1)
	c.Step(at(0), Tick{})
	large := wire.StoreChange{Key: "k", Revision: 10, Value: make([]byte, 1<<20)}
	c.Step(at(0), ReadDone{Began: at(0), Revision: 10, Pairs: []wire.StoreChange{large}})
	poll := onlyEffect[Poll](t, c.Step(at(time.Second), Tick{}))
	if want := int64(historyBytesFactor * (1<<20 + 1)); poll.After != 10 || poll.Most != want {
		t.Fatalf("asked for %+v, want at most %d bytes after 10", poll, want)
	}
	onlyEffect[Read](t, c.Step(at(time.Second), PollDone{Began: at(time.Second), TooLong: true}))
	c.Step(at(2*time.Second), ReadDone{Began: at(time.Second), Revision: 20})
	if poll = onlyEffect[Poll](t, c.Step(at(3*time.Second), Tick{})); poll.After != 20 || poll.Most != minHistoryBytes {
		t.Fatalf("asked for %+v, want the least after 20", poll)
	}
}

// TestRelaysAreHeardWhileEverythingIsRead: a node that is to read everything still takes
// what a relay passes on, and asks for changes again once that closed the gap.
func TestRelaysAreHeardWhileEverythingIsRead(t *testing.T) {
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
		t.Fatalf("applied up to %d, want 30", applied.Revision)
	}
	c.Step(at(3*time.Second), ReadDone{Began: at(time.Second), Revision: 20})
	if c.Revision() != 30 {
		t.Fatalf("an older read took the node back to %d", c.Revision())
	}
	if poll := onlyEffect[Poll](t, c.Step(at(4*time.Second), Tick{})); poll.After != 30 {
		t.Fatalf("asked for changes after %d, want 30", poll.After)
	}
}

// TestFailedReadIsMadeAgain: while reads fail, what is known stays.
func TestFailedReadIsMadeAgain(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }
	c := New(Config{Self: Peer{ID: "a", Address: "a"}}, allNews{}, 1)
	c.Step(at(0), Tick{})
	c.Step(at(0), ReadDone{Began: at(0), Revision: 10})
	c.Step(at(time.Second), Tick{})
	c.Step(at(time.Second), PollDone{Began: at(time.Second), TooLong: true})
	c.Step(at(2*time.Second), ReadDone{Began: at(time.Second), Err: errors.New("cut")})
	if read := onlyEffect[Read](t, c.Step(at(4*time.Second), Tick{})); read.Known != 10 || c.Revision() != 10 {
		t.Fatalf("read %+v at %d, want what is known to stay at 10", read, c.Revision())
	}
}

// onlyEffect returns the only effect of a kind.
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

// TestContentsCountBytes: the bytes of the contents are those of the newest values, by
// whatever changes and reads they were learned.
func TestContentsCountBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := contents{}
		c.replace(nil, 1)
		for revision := int64(2); revision < 20; revision++ {
			change := wire.StoreChange{
				Key: rapid.SampledFrom([]string{"a", "bb", "ccc"}).Draw(t, "key"), Revision: revision,
				Value: make([]byte, rapid.IntRange(0, 9).Draw(t, "size")), Deleted: rapid.Bool().Draw(t, "deleted"),
			}
			c.applyChanges([]wire.StoreChange{change}, revision)
			if rapid.IntRange(0, 5).Draw(t, "read") == 0 {
				c.replace([]wire.StoreChange{change}, revision)
			}
			want := int64(0)
			for key, entry := range c.keys {
				want += int64(len(key) + len(entry.value))
			}
			if c.bytes != want {
				t.Fatalf("%d bytes counted, %d held", c.bytes, want)
			}
		}
	})
}

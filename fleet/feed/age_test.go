package feed

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/wire"
)

// allNews says that every change is new.
type allNews struct{}

// News implements Filter.
func (allNews) News(*wire.StoreChange) bool { return true }

// TestGapIsNotTakenForKnowledge: an update that a node could not take, since changes
// before it are missing, makes nothing that the node passes on younger.
func TestGapIsNotTakenForKnowledge(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }
	c := New(Config{Self: Peer{ID: "a", Address: "a"}}, allNews{}, 1)
	c.Step(at(0), Tick{})
	c.Step(at(0), ReadDone{Began: at(0), Revision: 10})
	change := wire.StoreChange{Key: "k", Revision: 12}
	c.Step(at(100*time.Millisecond), UpdateReceived{Update: wire.StoreChanges{
		From: "b", After: 10, Revision: 12, Changes: []wire.StoreChange{change},
	}})
	c.Step(at(500*time.Millisecond), UpdateReceived{Update: wire.StoreChanges{From: "b", After: 15, Revision: 20}})
	for _, effect := range c.Step(at(500*time.Millisecond), ChangesRequested{Request: wire.StoreChangesRequest{FromAddress: "c", After: 10}}) {
		if sent, ok := effect.(Send); ok {
			if sent.Update.Age != 400*time.Millisecond {
				t.Errorf("what was known up to 0.1 s is said to be %v old at 0.5 s", sent.Update.Age)
			}
			return
		}
	}
	t.Error("the request was not answered")
}

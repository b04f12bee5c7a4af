package feed

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/wire"
)

// allNews counts every change as news.
type allNews struct{}

// IsNews implements Filter.
func (allNews) IsNews(*wire.StoreChange) bool { return true }

// TestUpdateWithGapDoesNotRefreshAge guards against data that is stated to be younger than it is:
// an update that could not be applied, since changes before it are missing, must not change the age
// of what the node forwards.
func TestUpdateWithGapDoesNotRefreshAge(t *testing.T) {
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
		if sent, ok := effect.(SendUpdate); ok {
			if sent.Update.Age != 400*time.Millisecond {
				t.Errorf("data of 0.1 s is stated to be %v old at 0.5 s, want 400ms", sent.Update.Age)
			}
			return
		}
	}
	t.Error("the request got no answer")
}

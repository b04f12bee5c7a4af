package shell

import (
	"testing"

	"github.com/valveslip/valveslip/wire"
)

// TestMessagesBeforeFollowerAreDropped guards against a crash on start. The listener accepts
// messages of other nodes before the node has a follower; such a message met a nil follower, or
// raced with the one being created.
func TestMessagesBeforeFollowerAreDropped(t *testing.T) {
	n := &Node{}
	for _, message := range []wire.Message{wire.StoreChanges{}, wire.ClockTold{}, wire.StoreChangesRequest{}} {
		n.receive(message)
	}
	if age := n.storeViewAge(); age >= 0 {
		t.Errorf("the view of the store is %v old before the first read, want a negative age", age)
	}
}

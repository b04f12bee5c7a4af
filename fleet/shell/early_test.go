package shell

import (
	"testing"

	"github.com/valveslip/valveslip/wire"
)

// TestEarlyMessagesAreDropped: a node takes messages of others before it follows the store.
// The race detector saw one meet a follower that was being made; a moment sooner there is
// none, and the start ended with a crash.
func TestEarlyMessagesAreDropped(t *testing.T) {
	n := &Node{}
	for _, message := range []wire.Message{wire.StoreChanges{}, wire.ClockTold{}, wire.StoreChangesRequest{}} {
		n.receive(message)
	}
	if age := n.storeViewAge(); age >= 0 {
		t.Errorf("what is known is %v old before anything is", age)
	}
}

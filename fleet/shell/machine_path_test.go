package shell

import (
	"context"
	"testing"
	"time"
)

// TestDataBeforePauseVouchesForNothing guards against requests of other nodes that are lost at a node which
// was suspended and has lost its path meanwhile.
func TestDataBeforePauseVouchesForNothing(t *testing.T) {
	node := &Node{options: Options{Now: time.Now}, context: t.Context()}
	path := newMachinePath(node)
	path.dataArrived(time.Now())
	if !path.Vouch(context.Background()) {
		t.Fatal("fresh data does not vouch for the path")
	}
	path.paused()
	if path.Vouch(context.Background()) {
		t.Fatal("data from before a pause vouches for the path")
	}
}

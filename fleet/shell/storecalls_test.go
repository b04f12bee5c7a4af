package shell

import (
	"errors"
	"testing"

	"github.com/valveslip/valveslip/keyvalue/lease"
)

// TestStoreCallsAreCountedByKind guards against store calls that are counted under another kind,
// or counted again in the next interval.
func TestStoreCallsAreCountedByKind(t *testing.T) {
	var c storeCallCounts
	if _, called := c.takeCounts(); called {
		t.Fatal("an interval without calls is reported")
	}
	c.add(storePoll, nil)
	c.add(storePoll, errors.New("away"))
	for _, o := range []lease.Operation{lease.Grant, lease.Txn, lease.KeepAlive, lease.Revoke} {
		c.add(operationOf(o), nil)
	}
	line, called := c.takeCounts()
	if !called || line.Polls != 2 || line.Grants != 1 || line.Writes != 1 || line.Renewals != 1 || line.Ends != 1 || line.Failed != 1 {
		t.Errorf("counted %+v", line)
	}
	if _, called := c.takeCounts(); called {
		t.Error("counts were kept for the next interval")
	}
}

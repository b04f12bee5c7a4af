package poison

import (
	"testing"
	"time"
)

const suspectCaller = 7

// TestCallersAreHeldBack: ends in a row hold a caller back, longer each time, until one of
// its requests is answered whole.
func TestCallersAreHeldBack(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewCallers()
	for end := 1; end <= callerEnds+2; end++ {
		now = now.Add(time.Second)
		c.Ended(now.Add(10*time.Millisecond), suspectCaller, now)
		wait, doubtful := c.Doubtful(now.Add(10*time.Millisecond), suspectCaller)
		want := time.Duration(0)
		if end >= callerEnds {
			want = callerHold << (end - callerEnds)
		}
		if doubtful != (end >= callerEnds) || wait != want {
			t.Errorf("after %d ends: doubtful %v, %s, want %s", end, doubtful, wait, want)
		}
		now = now.Add(wait)
	}
	if _, doubtful := c.Doubtful(now, suspectCaller+1); doubtful {
		t.Error("another caller is held back")
	}
	c.Answered(suspectCaller)
	if _, doubtful := c.Doubtful(now, suspectCaller); doubtful {
		t.Error("a whole answer does not lift it")
	}
}

// TestMachinesThatFailTogetherCountOnce: as do those that fail long after each other.
func TestMachinesThatFailTogetherCountOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	together, apart := NewCallers(), NewCallers()
	for range 5 * callerEnds {
		now = now.Add(callerMemory)
		together.Ended(now, suspectCaller, time.Unix(999, 0))
		apart.Ended(now, suspectCaller, now.Add(-time.Millisecond))
	}
	for name, c := range map[string]*Callers{"together": together, "apart": apart} {
		if _, doubtful := c.Doubtful(now, suspectCaller); doubtful {
			t.Errorf("machines that fail %s hold their callers back", name)
		}
	}
}

// TestCallersAreBounded: those of the most ends are kept.
func TestCallersAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewCallers()
	for end := range callerEnds {
		at := now.Add(time.Duration(end) * time.Second)
		c.Ended(at.Add(time.Millisecond), suspectCaller, at)
	}
	for other := range uint64(2 * maxCallers) {
		c.Ended(now.Add(callerEnds*time.Second), suspectCaller+1+other, now)
	}
	if _, doubtful := c.Doubtful(now.Add(callerEnds*time.Second), suspectCaller); !doubtful || len(c.states) > maxCallers {
		t.Errorf("doubtful %v, %d callers are remembered", doubtful, len(c.states))
	}
}

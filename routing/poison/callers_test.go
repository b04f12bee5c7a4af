package poison

import (
	"testing"
	"time"
)

const suspectCaller = 7

// TestConsecutiveEndsThrottleCaller checks that consecutive machine ends throttle a caller, longer
// each time, until one of its requests is answered completely.
func TestConsecutiveEndsThrottleCaller(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewCallers()
	for end := 1; end <= throttleAfterEnds+2; end++ {
		now = now.Add(time.Second)
		c.Ended(now.Add(10*time.Millisecond), suspectCaller, now, nil)
		wait, doubtful := c.Throttled(now.Add(10*time.Millisecond), suspectCaller)
		want := time.Duration(0)
		if end >= throttleAfterEnds {
			want = initialCallerHold << (end - throttleAfterEnds)
		}
		if doubtful != (end >= throttleAfterEnds) || wait != want {
			t.Errorf("after %d ends: doubtful %v, %s, want %s", end, doubtful, wait, want)
		}
		now = now.Add(wait)
	}
	if _, doubtful := c.Throttled(now, suspectCaller+1); doubtful {
		t.Error("another caller is throttled")
	}
	c.Answered(suspectCaller)
	if _, doubtful := c.Throttled(now, suspectCaller); doubtful {
		t.Error("the caller is still throttled after a complete answer")
	}
}

// TestUnrelatedFailuresDoNotThrottleCaller checks that neither machines that fail together, as in
// an outage, nor machines that fail long after each other throttle the caller whose requests they
// ran.
func TestUnrelatedFailuresDoNotThrottleCaller(t *testing.T) {
	now := time.Unix(1000, 0)
	together, apart := NewCallers(), NewCallers()
	for range 5 * throttleAfterEnds {
		now = now.Add(callerStateTTL)
		together.Ended(now, suspectCaller, time.Unix(999, 0), nil)
		apart.Ended(now, suspectCaller, now.Add(-time.Millisecond), nil)
	}
	for name, c := range map[string]*Callers{"together": together, "apart": apart} {
		if _, doubtful := c.Throttled(now, suspectCaller); doubtful {
			t.Errorf("machines that fail %s throttle their caller", name)
		}
	}
}

// TestEvictionKeepsThrottledCallers checks that the table is bounded and evicts the callers with
// the fewest ends, so that a flood of callers doesn't release a throttled one.
func TestEvictionKeepsThrottledCallers(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewCallers()
	for end := range throttleAfterEnds {
		at := now.Add(time.Duration(end) * time.Second)
		c.Ended(at.Add(time.Millisecond), suspectCaller, at, nil)
	}
	for other := range uint64(2 * maxCallers) {
		c.Ended(now.Add(throttleAfterEnds*time.Second), suspectCaller+1+other, now, nil)
	}
	if _, doubtful := c.Throttled(now.Add(throttleAfterEnds*time.Second), suspectCaller); !doubtful || len(c.states) > maxCallers {
		t.Errorf("doubtful %v, %d callers are remembered", doubtful, len(c.states))
	}
}

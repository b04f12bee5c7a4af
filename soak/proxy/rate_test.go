package proxy

import (
	"testing"
	"time"
)

// TestRateIsSharedByConnectionsPerDirection guards against a limit that applies to
// each connection alone: data of one direction queues behind earlier data of any
// connection, and the two directions don't delay each other.
func TestRateIsSharedByConnectionsPerDirection(t *testing.T) {
	rate, now := NewRate(8), time.Unix(100, 0)
	waits := []time.Duration{
		rate.reserve(toServer, 100_000, now), rate.reserve(toServer, 100_000, now), rate.reserve(toClient, 100_000, now),
		rate.reserve(toServer, 100_000, now.Add(time.Second)),
	}
	want := []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond}
	for i := range want {
		if waits[i] != want[i] {
			t.Errorf("wait %d is %v, want %v", i, waits[i], want[i])
		}
	}
	if wait := NewRate(0).reserve(toServer, 1<<20, now); wait != 0 {
		t.Errorf("wait without a limit is %v, want 0", wait)
	}
}

package clock

import (
	"testing"
	"time"
)

// TestClockCountsWhatTheKernelCounts: the clock starts at the time of day and follows the
// kernel's clock, whose jumps are suspensions; the time of day doesn't matter any more.
func TestClockCountsWhatTheKernelCounts(t *testing.T) {
	reading := 70 * time.Hour
	epoch := time.Now()
	c := newClock(epoch, func() time.Duration { return reading })
	if got := c.Now(); !got.Equal(epoch) {
		t.Errorf("it starts at %s, the time of day is %s", got, epoch)
	}
	reading += 5 * time.Second
	if got := c.Now().Sub(epoch.Round(0)); got != 5*time.Second {
		t.Errorf("%s passed of 5 s", got)
	}
}

// TestClockGoesOn: the kernel's own clock never goes back.
func TestClockGoesOn(t *testing.T) {
	c := New()
	last := c.Now()
	for range 1000 {
		now := c.Now()
		if now.Before(last) {
			t.Fatalf("%s follows %s", now, last)
		}
		last = now
	}
	if _, ok := boottime(); !ok {
		t.Error("the kernel has no clock that counts suspension")
	}
}

// BenchmarkNow compares the clock with the steady one.
func BenchmarkNow(b *testing.B) {
	b.Run("suspension counted", func(b *testing.B) {
		c := New()
		for b.Loop() {
			_ = c.Now()
		}
	})
	b.Run("steady", func(b *testing.B) {
		for b.Loop() {
			_ = time.Now()
		}
	})
}

package clock

import (
	"testing"
	"time"
)

// The clock must start at the time of day and then follow only the kernel's
// clock, in which a suspension appears as a jump. If it followed the time of day,
// setting that would shift leases and deadlines.
func TestClockFollowsKernelClock(t *testing.T) {
	reading := 70 * time.Hour
	startTime := time.Now()
	c := newClock(startTime, func() time.Duration { return reading })
	if got := c.Now(); !got.Equal(startTime) {
		t.Errorf("the clock starts at %s, want the time of day %s", got, startTime)
	}
	reading += 5 * time.Second
	if got := c.Now().Sub(startTime.Round(0)); got != 5*time.Second {
		t.Errorf("the clock advanced by %s, want 5 s", got)
	}
}

// Consecutive readings of the kernel's clock must never decrease.
func TestClockNeverGoesBack(t *testing.T) {
	c := New()
	last := c.Now()
	for range 1000 {
		now := c.Now()
		if now.Before(last) {
			t.Fatalf("the clock went back: %s follows %s", now, last)
		}
		last = now
	}
	if _, ok := readBoottime(); !ok {
		t.Error("the kernel has no clock that includes suspension")
	}
}

// BenchmarkNow compares this clock with Go's monotonic clock.
func BenchmarkNow(b *testing.B) {
	b.Run("suspension included", func(b *testing.B) {
		c := New()
		for b.Loop() {
			_ = c.Now()
		}
	})
	b.Run("monotonic", func(b *testing.B) {
		for b.Loop() {
			_ = time.Now()
		}
	})
}

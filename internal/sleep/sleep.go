package sleep

import (
	"context"
	"time"
)

// For sleeps for a duration and reports whether it elapsed before ctx ended. If the duration
// is not positive, For returns at once and reports whether ctx is still active.
func For(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

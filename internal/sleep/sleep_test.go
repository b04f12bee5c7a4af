package sleep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestForReturnsAtDurationOrContextEnd guards against a sleep that outlasts its context or its
// duration, or reports the wrong one of them as the reason for its return.
func TestForReturnsAtDurationOrContextEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			wait, contextTimeout, want time.Duration
			elapsed                    bool
		}{
			{wait: time.Second, contextTimeout: time.Minute, want: time.Second, elapsed: true},
			{wait: time.Minute, contextTimeout: time.Second, want: time.Second},
			{wait: 0, contextTimeout: time.Second, elapsed: true},
			{wait: -time.Second, contextTimeout: 0},
		} {
			ctx, cancel := context.WithTimeout(t.Context(), c.contextTimeout)
			began := time.Now()
			elapsed := For(ctx, c.wait)
			if took := time.Since(began); elapsed != c.elapsed || took != c.want {
				t.Errorf("For(%s) with a context of %s returned %t after %s", c.wait, c.contextTimeout, elapsed, took)
			}
			cancel()
		}
	})
}

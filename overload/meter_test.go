package overload

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestMeterTellsWhileItWaits: lateness shows while the turn has not come yet, holds until the
// next measurement, and is over with that.
func TestMeterTellsWhileItWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var takes atomic.Int64
		takes.Store(int64(900 * time.Millisecond))
		m := New(time.Now, func() { time.Sleep(time.Duration(takes.Load())) })
		ctx, cancel := context.WithCancel(t.Context())
		go m.Run(ctx)
		if late := m.Late(); late != 0 {
			t.Errorf("%v before the first measurement", late)
		}
		time.Sleep(Every + 500*time.Millisecond)
		if late := m.Late(); late != 500*time.Millisecond {
			t.Errorf("%v after 500 ms of waiting", late)
		}
		takes.Store(0)
		time.Sleep(400*time.Millisecond - time.Nanosecond)
		if late := m.Late(); late != 900*time.Millisecond-time.Nanosecond {
			t.Errorf("%v just before the turn comes", late)
		}
		time.Sleep(2 * Every)
		if late := m.Late(); late != 0 {
			t.Errorf("%v after one of nothing", late)
		}
		cancel()
		time.Sleep(Every)
	})
}

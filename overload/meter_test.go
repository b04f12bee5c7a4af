package overload

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestLatenessShowsWhileProbeWaits checks that lateness shows while the probe is still waiting,
// lasts until the next measurement, and ends with it.
func TestLatenessShowsWhileProbeWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var probeTime atomic.Int64
		probeTime.Store(int64(900 * time.Millisecond))
		m := New(func() { time.Sleep(time.Duration(probeTime.Load())) })
		ctx, cancel := context.WithCancel(t.Context())
		go m.Run(ctx)
		if late := m.Lateness(); late != 0 {
			t.Errorf("%v before the first measurement", late)
		}
		time.Sleep(MeasureInterval + 500*time.Millisecond)
		if late := m.Lateness(); late != 500*time.Millisecond {
			t.Errorf("%v after 500 ms of waiting", late)
		}
		probeTime.Store(0)
		time.Sleep(400*time.Millisecond - time.Nanosecond)
		if late := m.Lateness(); late != 900*time.Millisecond-time.Nanosecond {
			t.Errorf("%v just before the probe returns", late)
		}
		time.Sleep(2 * MeasureInterval)
		if late := m.Lateness(); late != 0 {
			t.Errorf("%v after a measurement without lateness", late)
		}
		cancel()
		time.Sleep(MeasureInterval)
	})
}

// TestAdmissionIsBoundedWhileProbeWaits checks the bounds on work admitted while a probe is
// waiting: MaxBurst pieces above BurstMaxLateness, none above MaxLateness, and again without bound
// once the probe has returned. Without the first bound, hundreds were admitted before the first of
// them showed.
func TestAdmissionIsBoundedWhileProbeWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		returns := make(chan struct{})
		m := New(func() { <-returns })
		ctx, cancel := context.WithCancel(t.Context())
		go m.Run(ctx)
		admit := func(count int) (admitted int) {
			for range count {
				if _, may := m.Admit(); may {
					admitted++
				}
				synctest.Wait()
			}
			return admitted
		}
		if admitted := admit(2 * MaxBurst); admitted != 2*MaxBurst {
			t.Errorf("%d are admitted before the process is late", admitted)
		}
		time.Sleep(BurstMaxLateness + time.Millisecond)
		if admitted := admit(10); admitted != 0 {
			t.Errorf("%d are admitted after %d in %v", admitted, 2*MaxBurst, BurstMaxLateness)
		}
		returns <- struct{}{}
		synctest.Wait()
		if admitted := admit(10); admitted != 10 {
			t.Errorf("%d of 10 are admitted after the probe has returned", admitted)
		}
		time.Sleep(MaxLateness)
		if admitted := admit(10); admitted != 10 {
			t.Errorf("%d of 10 below the burst limit are admitted at a lateness of at most %v", admitted, MaxLateness)
		}
		time.Sleep(time.Millisecond)
		if late, may := m.Admit(); may || late != MaxLateness+time.Millisecond {
			t.Errorf("%v late: admitted %t", late, may)
		}
		close(returns)
		synctest.Wait()
		if time.Sleep(time.Second); !m.LateWithin(time.Second) || m.LateWithin(time.Second-1) {
			t.Error("LateWithin does not report the past lateness for exactly one second")
		}
		cancel()
		synctest.Wait()
	})
}

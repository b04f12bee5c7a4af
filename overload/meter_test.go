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
		m := New(func() { time.Sleep(time.Duration(takes.Load())) })
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

// TestFewAreTakenInATurn: while the turn of a measurement does not come, work is taken until
// it is late by LateSoon and much was taken, or late by MostLate; once it has come, again.
func TestFewAreTakenInATurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		comes := make(chan struct{})
		m := New(func() { <-comes })
		ctx, cancel := context.WithCancel(t.Context())
		go m.Run(ctx)
		takes := func(count int) (taken int) {
			for range count {
				if _, may := m.Take(); may {
					taken++
				}
				synctest.Wait()
			}
			return taken
		}
		if taken := takes(2 * MostInTurn); taken != 2*MostInTurn {
			t.Errorf("%d are taken before anything is late", taken)
		}
		time.Sleep(LateSoon + time.Millisecond)
		if taken := takes(10); taken != 0 {
			t.Errorf("%d are taken after %d in %v", taken, 2*MostInTurn, LateSoon)
		}
		comes <- struct{}{}
		synctest.Wait()
		if taken := takes(10); taken != 10 {
			t.Errorf("%d of 10 are taken once the turn has come", taken)
		}
		time.Sleep(MostLate)
		if taken := takes(10); taken != 10 {
			t.Errorf("%d of 10 more, a few, are taken while it is late by no more than %v", taken, MostLate)
		}
		time.Sleep(time.Millisecond)
		if late, may := m.Take(); may || late != MostLate+time.Millisecond {
			t.Errorf("%v late: taken %t", late, may)
		}
		close(comes)
		synctest.Wait()
		if time.Sleep(time.Second); !m.LateWithin(time.Second) || m.LateWithin(time.Second-1) {
			t.Error("it is not told for a second that the process was late")
		}
		cancel()
		synctest.Wait()
	})
}

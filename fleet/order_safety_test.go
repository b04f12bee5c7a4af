package fleet

import (
	"fmt"
	"testing"
	"time"
)

// Guards against overfilled engines and against orders of two machines in turn under kills, cuts,
// outages, crashed engines, lost answers and late orders.
func TestOrdersAreSafeUnderFaults(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		for seed := range uint64(60) {
			t.Run(fmt.Sprintf("fenced=%t/seed=%d", fenced, seed), func(t *testing.T) {
				t.Parallel()
				s := newSimulation(seed, 4, 3)
				s.fenced = fenced
				for _, n := range s.nodes {
					n.core.config.FencingEnforced = fenced
				}
				s.requireSafeOrdersUnderFaults(t)
			})
		}
	}
}

// Guards against the same failures if nodes follow the store by feeds, through which a node that
// is cut off from the store still learns the lease holder.
func TestOrdersAreSafeWithFeeds(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		for seed := range uint64(60) {
			t.Run(fmt.Sprintf("fenced=%t/seed=%d", fenced, seed), func(t *testing.T) {
				t.Parallel()
				s := newSimulation(seed, 6, 3)
				s.fenced = fenced
				for _, n := range s.nodes {
					n.core.config.FencingEnforced = fenced
				}
				s.followStoreByFeeds(3)
				s.requireSafeOrdersUnderFaults(t)
			})
		}
	}
}

// requireSafeOrdersUnderFaults sends requests for a minute under kills, cuts and outages, and
// reports all violations.
func (s *simulation) requireSafeOrdersUnderFaults(t *testing.T) {
	t.Helper()
	s.after(time.Second, func() { s.askPeriodically(120 * time.Millisecond) })
	s.after(2*time.Second, s.injectFaults)
	s.runFor(60 * time.Second)
	for _, problem := range s.violations {
		t.Error(problem)
	}
}

// requireServedWithoutFaults sends requests for two minutes, of which 95% must be served.
func (s *simulation) requireServedWithoutFaults(t *testing.T) {
	t.Helper()
	s.after(time.Second, func() { s.askPeriodically(400 * time.Millisecond) })
	s.runFor(120 * time.Second)
	if len(s.violations) > 0 {
		t.Fatal(s.violations)
	}
	if s.requestCount < 200 || s.servedCount < s.requestCount*95/100 {
		t.Errorf("%d of %d requests served", s.servedCount, s.requestCount)
	}
}

// Guards against requests that miss their deadline without faults other than lost and late
// orders.
func TestRequestsAreServedWithoutFaults(t *testing.T) {
	s := newSimulation(7, 3, 3)
	s.requireServedWithoutFaults(t)
}

// Guards against a capacity check that detects nothing. Engines that ignore the expected order
// count are overfilled by late orders.
func TestCapacityCheckDetectsEnginesThatIgnoreOrderCount(t *testing.T) {
	for seed := range uint64(40) {
		s := newSimulation(seed, 3, 3)
		s.enginesIgnoreCount = true
		s.after(time.Second, func() { s.askPeriodically(120 * time.Millisecond) })
		s.runFor(60 * time.Second)
		if len(s.violations) > 0 {
			return
		}
	}
	t.Error("engines that ignore the order count were never overfilled")
}

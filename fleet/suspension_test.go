package fleet

import (
	"fmt"
	"testing"
	"time"
)

// Bounds of the time for which a machine is suspended, and of the time between two suspensions.
const (
	minSuspension         = 500 * time.Millisecond
	maxSuspension         = 7 * time.Second
	maxSuspensionInterval = 3 * time.Second
)

// suspendMachines suspends one machine after the other, most often that of the lease holder.
func (s *simulation) suspendMachines() {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	for _, holder := range s.nodes {
		if holder.core.HoldsOrderLease() && !holder.dead && s.random.IntN(3) > 0 {
			n = holder
			break
		}
	}
	if !n.dead && !n.suspended {
		slept := s.randomDuration(minSuspension, maxSuspension)
		n.suspended = true
		s.after(slept, func() { s.resumeMachine(n, slept) })
	}
	s.after(s.randomDuration(time.Second, maxSuspensionInterval), s.suspendMachines)
}

// resumeMachine resumes a suspended machine. Its node detects the suspension by its clock before
// it handles the events that it missed.
func (s *simulation) resumeMachine(n *simulatedNode, slept time.Duration) {
	n.suspended, n.reachableSince = false, s.now
	missed := n.missedEvents
	n.missedEvents = nil
	if s.clocksStopInSuspension {
		n.clockLag += slept
	} else if slept > time.Second {
		s.step(n, Paused{For: slept})
	}
	for _, event := range missed {
		s.step(n, event)
	}
	s.step(n, Tick{})
}

// runWithSuspensions runs nodes whose machines are suspended in turn, and returns the violations.
func runWithSuspensions(seed uint64, fenced, steady bool) []string {
	s := newSimulation(seed, 4, 3)
	s.fenced, s.clocksStopInSuspension = fenced, steady
	for _, n := range s.nodes {
		n.core.config.FencingEnforced = fenced
	}
	s.after(time.Second, func() { s.askPeriodically(120 * time.Millisecond) })
	s.after(3*time.Second, s.suspendMachines)
	s.runFor(60 * time.Second)
	return s.violations
}

// Guards against overfilled engines and against orders of two machines in turn while machines are
// suspended one after the other.
func TestOrdersAreSafeWhileMachinesAreSuspended(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		for seed := range uint64(60) {
			t.Run(fmt.Sprintf("fenced=%t/seed=%d", fenced, seed), func(t *testing.T) {
				t.Parallel()
				for _, problem := range runWithSuspensions(seed, fenced, false) {
					t.Error(problem)
				}
			})
		}
	}
}

// Guards against a holder check that detects nothing. Nodes whose clocks stop during suspension
// continue with expired leases.
func TestHolderCheckDetectsClocksThatStopInSuspension(t *testing.T) {
	detected := 0
	for seed := range uint64(60) {
		if len(runWithSuspensions(seed, false, true)) > 0 {
			detected++
		}
	}
	if detected == 0 {
		t.Error("60 runs with clocks that stop in suspension caused no violation")
	}
	t.Logf("violations in %d of 60 runs with clocks that stop in suspension", detected)
}

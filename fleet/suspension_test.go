package fleet

import (
	"fmt"
	"testing"
	"time"
)

// How long machines are suspended, and how long they run between.
const (
	shortestSleep = 500 * time.Millisecond
	longestSleep  = 7 * time.Second
	longestAwake  = 3 * time.Second
)

// sleeps suspends one machine after the other, most often that of the holder.
func (w *world) sleeps() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	for _, holder := range w.nodes {
		if holder.core.Holding() && !holder.dead && w.random.IntN(3) > 0 {
			n = holder
			break
		}
	}
	if !n.dead && !n.asleep {
		slept := w.between(shortestSleep, longestSleep)
		n.asleep = true
		w.after(slept, func() { w.wakes(n, slept) })
	}
	w.after(w.between(time.Second, longestAwake), w.sleeps)
}

// wakes lets a suspended machine go on: its node notices by its clock that it stood still,
// before it takes what came meanwhile.
func (w *world) wakes(n *simulatedNode, slept time.Duration) {
	n.asleep, n.touched = false, w.now
	missed := n.missed
	n.missed = nil
	if w.steadyClocks {
		n.lag += slept
	} else if slept > time.Second {
		w.step(n, Paused{For: slept})
	}
	for _, event := range missed {
		w.step(n, event)
	}
	w.step(n, Tick{})
}

// playSleeps runs nodes whose machines are suspended in turn, and returns what was found
// broken.
func playSleeps(seed uint64, fenced, steady bool) []string {
	w := newSimulation(seed, 4, 3)
	w.fenced, w.steadyClocks = fenced, steady
	for _, n := range w.nodes {
		n.core.config.FencingEnforced = fenced
	}
	w.after(time.Second, func() { w.ask(120 * time.Millisecond) })
	w.after(3*time.Second, w.sleeps)
	w.runFor(60 * time.Second)
	return w.problems
}

// TestOrdersHoldWhileMachinesAreSuspended: no engine takes orders of two machines in turn, or
// is ordered to hold more than it can, while machines are suspended one after the other.
func TestOrdersHoldWhileMachinesAreSuspended(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		for seed := range uint64(60) {
			t.Run(fmt.Sprintf("fenced=%t/seed=%d", fenced, seed), func(t *testing.T) {
				t.Parallel()
				for _, problem := range playSleeps(seed, fenced, false) {
					t.Error(problem)
				}
			})
		}
	}
}

// TestSteadyClocksAreCaught: nodes whose clocks stand while their machines are suspended go
// on with leases that are over, which the check must see.
func TestSteadyClocksAreCaught(t *testing.T) {
	caught := 0
	for seed := range uint64(60) {
		if len(playSleeps(seed, false, true)) > 0 {
			caught++
		}
	}
	if caught == 0 {
		t.Error("60 plays by steady clocks broke nothing")
	}
	t.Logf("%d of 60 plays by steady clocks are caught", caught)
}

package lending

import (
	"testing"
	"time"
)

// simulateFloodWithPlannedStops simulates a deployment's allowance (a tenth of a window, and 72,000
// tokens) with all tenants at eight times their limits, while lenders stop every second or so
// and each successor requests its shard's ticket.
func simulateFloodWithPlannedStops(seed uint64, allTickets bool) *simulation {
	const overrun, slack = 0.1, 72_000
	return newSimulationWithAllowance(seed, 6+int(seed%4)*8, 6, overrun, slack).runWithFaults(func(p *simulation) {
		p.faultsHitLenders, p.plannedStopsOnly, p.grantsAllTickets = true, true, allTickets
		p.duration = 30 * time.Second
		for _, tenant := range p.tenants {
			p.demand[tenant] = 8
		}
	})
}

// TestOneTicketPerWindowKeepsLimits: the credits of successors must stay within the bound of a
// window, however often lenders change. The check must notice if every successor gets a ticket.
func TestOneTicketPerWindowKeepsLimits(t *testing.T) {
	t.Parallel()
	caught, fullest := 0, 0.0
	seeds := max(*seedCount/4, 1)
	for seed := range uint64(seeds) {
		p := simulateFloodWithPlannedStops(seed, false)
		for _, problem := range p.problems {
			t.Errorf("seed %d: %s", seed, problem)
		}
		fullest = max(fullest, p.fullestWindow)
		if len(simulateFloodWithPlannedStops(seed, true).problems) > 0 {
			caught++
		}
	}
	t.Logf("the fullest window holds %.3f of its bound; violations were detected in %d of %d simulations with a ticket for each successor", fullest, caught, seeds)
	if caught == 0 {
		t.Error("no violation was detected where each successor gets a ticket")
	}
}

// TestTicketAppliesOnlyToTheLeaseThatRequestedIt: a ticket that arrives after the end of the
// lease that requested it must add nothing; one that arrives in time must add a credit.
func TestTicketAppliesOnlyToTheLeaseThatRequestedIt(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		delay    time.Duration
		credited bool
	}{"in time": {0, true}, "after its lease": {defaultLease, false}} {
		core := New(Config{Self: Peer{ID: "a", Machine: "a"}, Overrun: 0.1})
		core.Step(now, LimitsChanged{Limits: map[string]Limit{"tenant": {Rate: 100, Burst: 100}}})
		var wanted *TicketRequested
		for _, effect := range core.Step(now, PeersChanged{HasPredecessor: true}) {
			if e, is := effect.(TicketRequested); is {
				wanted = &e
			}
		}
		if wanted == nil {
			t.Fatalf("%s: no ticket was requested", name)
		}
		core.Step(now.Add(c.delay), TicketGranted{Shard: wanted.Shard, Number: wanted.Number})
		b := core.shards[wanted.Shard].buckets["tenant"]
		if got := b != nil && b.level > 0; got != c.credited {
			t.Errorf("%s: the ticket added a credit: %v", name, got)
		}
	}
}

// TestLimitsHoldWhenLendersChangeUnderFlood: with all tenants at eight times their limits, either
// all nodes restart at once or the lenders stop as planned. No window around that may exceed its
// bound, although it contains the buckets of both lenders and the ticket's credit.
func TestLimitsHoldWhenLendersChangeUnderFlood(t *testing.T) {
	t.Parallel()
	fullest := 0.0
	for seed := range uint64(max(*seedCount/4, 1)) {
		p := newSimulationWithAllowance(seed, 12, 6, 0.1, 72_000)
		for _, tenant := range p.tenants {
			p.demand[tenant] = 8
		}
		p.runFor(12 * time.Second)
		for _, n := range p.liveNodes() {
			if seed%2 == 0 {
				p.kill(n, n.peer.Machine, p.between(time.Millisecond, 20*time.Millisecond))
			} else if n.core.ShardsLent() > 0 {
				p.step(n, Stopping{})
			}
		}
		p.runFor(12 * time.Second)
		p.checkLimits()
		fullest = max(fullest, p.fullestWindow)
		for _, problem := range p.problems {
			t.Errorf("seed %d: %s", seed, problem)
		}
	}
	t.Logf("the fullest window holds %.3f of its bound", fullest)
}

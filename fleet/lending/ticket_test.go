package lending

import (
	"testing"
	"time"
)

// floodedStops plays a deployment's allowance (a tenth of a window, and 72,000 tokens) with all
// tenants at eight times their limit, while lenders are stopped every second or so and each
// successor wants its shard's ticket.
func floodedStops(seed uint64, generous bool) *simulation {
	const overrun, slack = 0.1, 72_000
	return newPlayBeyond(seed, 6+int(seed%4)*8, 6, overrun, slack).troubled(func(p *simulation) {
		p.faultsHitLenders, p.stopped, p.generous = true, true, generous
		p.duration = 30 * time.Second
		for _, tenant := range p.tenants {
			p.demand[tenant] = 8
		}
	})
}

// TestOneTicketInAWindow: what successors are given to begin with keeps within what a window
// allows, however often lenders follow each other; if each were given a ticket it would not.
func TestOneTicketInAWindow(t *testing.T) {
	t.Parallel()
	caught, fullest := 0, 0.0
	seeds := max(*plays/4, 1)
	for seed := range uint64(seeds) {
		p := floodedStops(seed, false)
		for _, problem := range p.problems {
			t.Errorf("seed %d: %s", seed, problem)
		}
		fullest = max(fullest, p.fullest)
		if len(floodedStops(seed, true).problems) > 0 {
			caught++
		}
	}
	t.Logf("the fullest window holds %.3f of what one may; %d of %d plays with a ticket for each are caught", fullest, caught, seeds)
	if caught == 0 {
		t.Error("no play is caught where each successor is given a ticket")
	}
}

// TestTicketIsOfOneTenure: a ticket that is granted when this node lends no more, or again, is
// worth nothing; one granted in time is worth something.
func TestTicketIsOfOneTenure(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		late  time.Duration
		worth bool
	}{"in time": {0, true}, "after its lease": {defaultLease, false}} {
		core := New(Config{Self: Peer{ID: "a", Machine: "a"}, Overrun: 0.1})
		core.Step(now, LimitsChanged{Limits: map[string]Limit{"tenant": {Rate: 100, Burst: 100}}})
		var wanted *TicketWanted
		for _, effect := range core.Step(now, PeersChanged{Succeeds: true}) {
			if e, is := effect.(TicketWanted); is {
				wanted = &e
			}
		}
		if wanted == nil {
			t.Fatalf("%s: no ticket is wanted", name)
		}
		core.Step(now.Add(c.late), TicketGranted{Shard: wanted.Shard, Number: wanted.Number})
		b := core.shards[wanted.Shard].buckets["tenant"]
		if got := b != nil && b.level > 0; got != c.worth {
			t.Errorf("%s: it is worth something: %v", name, got)
		}
	}
}

// TestStartOfAllUnderAFlood: with all tenants at eight times their limit, all nodes die and
// are back at once, or a lender is stopped: the windows around it hold the ticket's worth on
// top of what both lenders' buckets give, and no more than one may hold.
func TestStartOfAllUnderAFlood(t *testing.T) {
	t.Parallel()
	fullest := 0.0
	for seed := range uint64(max(*plays/4, 1)) {
		p := newPlayBeyond(seed, 12, 6, 0.1, 72_000)
		for _, tenant := range p.tenants {
			p.demand[tenant] = 8
		}
		p.runFor(12 * time.Second)
		for _, n := range p.live() {
			if seed%2 == 0 {
				p.kill(n, n.peer.Machine, p.between(time.Millisecond, 20*time.Millisecond))
			} else if n.core.ShardsLent() > 0 {
				p.step(n, Stopping{})
			}
		}
		p.runFor(12 * time.Second)
		p.check()
		fullest = max(fullest, p.fullest)
		for _, problem := range p.problems {
			t.Errorf("seed %d: %s", seed, problem)
		}
	}
	t.Logf("the fullest window holds %.3f of what one may", fullest)
}

package lending

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

// plays is how many seeds are played of each kind of trouble.
var plays = flag.Int("plays", 16, "seeds to play of each kind of trouble")

// troubled plays tenants that send up to eight times their limit among others, over kills,
// freezes, cuts, lost, late and doubled messages, joiners and planned stops.
func troubled(seed uint64, change func(*simulation)) *simulation {
	return newPlay(seed, 6+int(seed%4)*8, 6).troubled(change)
}

func (p *simulation) troubled(change func(*simulation)) *simulation {
	p.lossRate = 0.02
	if change != nil {
		change(p)
	}
	p.strike()
	return p
}

// strike floods the limits of two tenants, and lets trouble loose to the play's end.
func (p *simulation) strike() {
	for i := range 2 {
		tenant := p.tenants[i]
		p.after(p.between(4*time.Second, 12*time.Second), func() { p.demand[tenant] = 4 + 4*p.rand.Float64() })
	}
	if p.faultsHitLenders {
		p.after(4*time.Second, p.chase)
	} else {
		p.after(4*time.Second, p.trouble)
	}
	p.runFor(p.duration)
	p.check()
}

// TestLimitsHoldUnderTrouble: in no window is more used than is allowed.
func TestLimitsHoldUnderTrouble(t *testing.T) {
	t.Parallel()
	asked, refused, undecided := 0, 0, 0
	for seed := range uint64(*plays) {
		p := troubled(seed, func(p *simulation) { p.faultsHitLenders = seed%4 == 0 })
		for _, problem := range p.problems {
			t.Errorf("seed %d: %s", seed, problem)
		}
		asked, refused, undecided = asked+p.asked, refused+p.refused, undecided+p.undecided
	}
	t.Logf("below their limits: %d asked, %d refused, %d undecided", asked, refused, undecided)
	if undecided*2 > asked {
		t.Errorf("%d of %d undecided: nobody lends most of the time", undecided, asked)
	}
}

// TestDefectsOfLendingAreCaught: the check above notices a successor that forgets what was
// lent, clocks that stand, and tokens that are used late.
func TestDefectsOfLendingAreCaught(t *testing.T) {
	t.Parallel()
	for name, plant := range map[string]func(*simulation){
		"forgetful": func(p *simulation) { p.forgetful = true },
		"stands":    func(p *simulation) { p.stands = true },
		"hoards":    func(p *simulation) { p.hoards = true },
	} {
		caught := 0
		for seed := range uint64(8) {
			p := troubled(seed, func(p *simulation) {
				plant(p)
				p.faultsHitLenders = !p.hoards
				p.duration = 30 * time.Second
				p.demand[p.tenants[2]], p.demand[p.tenants[3]] = 8, 8
			})
			if len(p.problems) > 0 {
				caught++
			}
		}
		t.Logf("%s: %d of 8 plays are caught", name, caught)
		if caught == 0 {
			t.Errorf("%s: no play is caught", name)
		}
	}
}

// TestNobodyBelowItsLimitIsRefused: on a calm day of 87 nodes and 16 tenants, 8 of which send
// more than they may, at most 5 in 1,000 requests of the others are refused.
func TestNobodyBelowItsLimitIsRefused(t *testing.T) {
	p := newPlay(1, 87, 16)
	for i := range 8 {
		p.demand[p.tenants[i]] = 8
	}
	p.runFor(6 * time.Second)
	p.asked, p.refused, p.undecided, p.messages = 0, 0, 0, 0
	p.runFor(30 * time.Second)
	p.check()
	for _, problem := range p.problems {
		t.Error(problem)
	}
	t.Logf("%d asked, %d refused, %d undecided, %d messages of all nodes in 30 s", p.asked, p.refused, p.undecided, p.messages)
	if (p.refused+p.undecided)*200 > p.asked {
		t.Errorf("%d refused and %d undecided of %d", p.refused, p.undecided, p.asked)
	}
}

// TestFewAreRefusedBesideACut: while a tenth of 87 nodes hears of no other, at most 2 in 100
// requests below the limits that come to the others are refused. A cut node refuses at once,
// but for the first ones.
func TestFewAreRefusedBesideACut(t *testing.T) {
	t.Parallel()
	asked, refused := 0, 0
	for seed := range uint64(20) {
		p := newPlay(seed, 87, 16)
		p.runFor(6 * time.Second)
		for i := range 9 {
			p.nodes[i*9].partition = 1 + i
		}
		p.asked, p.refused, p.undecided = 0, 0, 0
		p.countOnlyConnected = true
		p.runFor(10 * time.Second)
		asked, refused = asked+p.asked, refused+p.refused+p.undecided
		deaf := 0
		for i := range 9 {
			if p.nodes[i*9].core.Deaf() {
				deaf++
			}
		}
		if deaf < 7 {
			t.Errorf("seed %d: %d of 9 cut nodes know that they are", seed, deaf)
		}
	}
	t.Logf("%d asked, %d refused or undecided", asked, refused)
	if refused*50 > asked {
		t.Errorf("%d of %d are refused", refused, asked)
	}
}

// TestFloodGetsItsLimit: a tenant that sends eight times what it may gets what it may.
func TestFloodGetsItsLimit(t *testing.T) {
	p := newPlay(2, 87, 4)
	tenant := p.tenants[0]
	p.demand[tenant] = 8
	p.runFor(10 * time.Second)
	before := len(p.uses[tenant])
	p.runFor(20 * time.Second)
	used := float64((len(p.uses[tenant]) - before) * simTokens)
	if allowed := p.limits[tenant].Rate * 20; used < 0.9*allowed {
		t.Errorf("it used %.0f of %.0f", used, allowed)
	}
}

// TestLenderIsReplaced: after the lender's end somebody lends again within two leases, and
// after a planned stop within half of one.
func TestLenderIsReplaced(t *testing.T) {
	for name, within := range map[string]time.Duration{"killed": 2 * defaultLease, "stopped": defaultLease / 2} {
		p := newPlay(3, 9, 2)
		p.runFor(3 * time.Second)
		for _, n := range p.live() {
			if !n.core.shards[0].lends() {
				continue
			}
			if name == "stopped" {
				p.step(n, Stopping{})
			}
			n.dead = true
		}
		p.runFor(within)
		lenders := 0
		for _, n := range p.live() {
			n.core.Step(p.now.Add(n.skew), Tick{})
			if n.core.shards[0].lends() {
				lenders++
			}
		}
		if lenders != 1 {
			t.Errorf("%s: %d lend after %v", name, lenders, within)
		}
	}
}

// TestVotersSpreadOverZones: a lost zone leaves a majority, weak machines are left out, and
// the order of the view does not matter.
func TestVotersSpreadOverZones(t *testing.T) {
	p := newPlay(4, 30, 1)
	var peers []Peer
	for i, n := range p.live() {
		peer := n.peer
		if i%5 == 0 {
			peer.Capacity = 0.1
		}
		peers = append(peers, peer)
	}
	zone := map[string]string{}
	weakOnes := map[string]bool{}
	for _, peer := range peers {
		zone[peer.Machine] = string(peer.Zone)
		weakOnes[peer.Machine] = peer.Capacity < 0.4
	}
	for number := range Shards {
		voters := selectVoters(number, candidates(peers))
		counts := map[string]int{}
		for _, machine := range voters {
			counts[zone[machine]]++
			if weakOnes[machine] {
				t.Errorf("shard %d: %s is weak and votes", number, machine)
			}
		}
		if len(voters) != maxVoters || len(counts) != 3 {
			t.Errorf("shard %d: voters %v", number, voters)
		}
		for name, count := range counts {
			if 2*(maxVoters-count) <= maxVoters {
				t.Errorf("shard %d: without zone %s no majority is left", number, name)
			}
		}
		if fmt.Sprint(selectVoters(number, candidates(append(peers[7:], peers[:7]...)))) != fmt.Sprint(voters) {
			t.Errorf("shard %d: another order of the view gives other voters", number)
		}
	}
}

// TestAllShardsAreLentAfterAllNodesRestart: when all nodes are killed at a moment and start
// again, with records of the earlier processes in the store, somebody lends of each shard
// within 3 s. Sets of voters that nodes learned from each other without an end kept shards
// without a lender for 7 s.
func TestAllShardsAreLentAfterAllNodesRestart(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		p := newPlay(seed, 30, 4)
		p.runFor(6 * time.Second)
		for round := range 2 {
			for _, n := range p.live() {
				p.kill(n, n.peer.Machine, p.between(300*time.Millisecond, 900*time.Millisecond))
			}
			p.runFor(3 * time.Second)
			for number := range Shards {
				lent := false
				for _, n := range p.live() {
					lent = lent || n.core.shards[number].isLender
				}
				if !lent {
					t.Errorf("seed %d, round %d: nobody lends of shard %d", seed, round, number)
				}
			}
		}
	}
}

// TestDeafNodeHearsAgainWithoutCallers: a node that was cut off, and that gets no callers since
// it is not ready, finds out by itself that it hears others again.
func TestDeafNodeHearsAgainWithoutCallers(t *testing.T) {
	p := newPlay(5, 12, 2)
	p.runFor(4 * time.Second)
	var n *simNode
	for _, candidate := range p.live() {
		if candidate.core.ShardsLent() == 0 && candidate.core.shards[0].voterRank() < 0 {
			n = candidate
		}
	}
	n.partition = 7
	for number := range int64(isolationThreshold + 1) {
		p.step(n, Asked{Number: -1 - number, Tenant: p.tenants[0], Amount: 1})
		p.runFor(RequestTimeout)
	}
	if !n.core.Deaf() {
		t.Fatal("a node that hears of nobody does not know it")
	}
	n.partition = 0
	n.noRequests = true
	p.runFor(3 * isolationProbeInterval)
	if n.core.Deaf() {
		t.Error("a node that hears others again does not know it")
	}
}

package lending

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

// seedCount is the number of seeds for each kind of simulation.
var seedCount = flag.Int("plays", 16, "number of seeds for each kind of simulation")

// runWithFaults simulates tenants, some of which send up to eight times their limits, with kills,
// freezes, partitions, joining nodes, planned stops, and lost, delayed and duplicated messages.
func runWithFaults(seed uint64, change func(*simulation)) *simulation {
	return newSimulation(seed, 6+int(seed%4)*8, 6).runWithFaults(change)
}

func (p *simulation) runWithFaults(change func(*simulation)) *simulation {
	p.lossRate = 0.02
	if change != nil {
		change(p)
	}
	p.floodAndInjectFaults()
	return p
}

// floodAndInjectFaults floods the limits of two tenants and injects faults until the simulation's
// end.
func (p *simulation) floodAndInjectFaults() {
	for i := range 2 {
		tenant := p.tenants[i]
		p.after(p.between(4*time.Second, 12*time.Second), func() { p.demand[tenant] = 4 + 4*p.rand.Float64() })
	}
	if p.faultsHitLenders {
		p.after(4*time.Second, p.disruptLenders)
	} else {
		p.after(4*time.Second, p.injectFaults)
	}
	p.runFor(p.duration)
	p.checkLimits()
}

// TestLimitsHoldUnderFaults: no window may exceed its bound and no shard may have two lenders,
// whatever faults occur.
func TestLimitsHoldUnderFaults(t *testing.T) {
	t.Parallel()
	asked, refused, undecided := 0, 0, 0
	for seed := range uint64(*seedCount) {
		p := runWithFaults(seed, func(p *simulation) { p.faultsHitLenders = seed%4 == 0 })
		for _, problem := range p.problems {
			t.Errorf("seed %d: %s", seed, problem)
		}
		asked, refused, undecided = asked+p.asked, refused+p.refused, undecided+p.undecided
	}
	t.Logf("below their limits: %d asked, %d refused, %d undecided", asked, refused, undecided)
	if undecided*2 > asked {
		t.Errorf("%d of %d requests undecided: there is no lender most of the time", undecided, asked)
	}
}

// TestSimulationDetectsPlantedDefects: the checks above must notice successors that start with a
// full bucket, clocks that stop while a node is frozen, and tokens that are used after their
// lifetime.
func TestSimulationDetectsPlantedDefects(t *testing.T) {
	t.Parallel()
	for name, plant := range map[string]func(*simulation){
		"starts full":             func(p *simulation) { p.startsFull = true },
		"clock stops when frozen": func(p *simulation) { p.clockStopsWhenFrozen = true },
		"uses expired tokens":     func(p *simulation) { p.usesExpiredTokens = true },
	} {
		caught := 0
		for seed := range uint64(8) {
			p := runWithFaults(seed, func(p *simulation) {
				plant(p)
				p.faultsHitLenders = !p.usesExpiredTokens
				p.duration = 30 * time.Second
				p.demand[p.tenants[2]], p.demand[p.tenants[3]] = 8, 8
			})
			if len(p.problems) > 0 {
				caught++
			}
		}
		t.Logf("%s: violations were detected in %d of 8 simulations", name, caught)
		if caught == 0 {
			t.Errorf("%s: no violation was detected", name)
		}
	}
}

// TestTenantsBelowTheirLimitsAreRarelyRefused: without faults, with 87 nodes and 16 tenants of
// which 8 send more than their limits, at most 5 in 1,000 requests of the others may be refused.
func TestTenantsBelowTheirLimitsAreRarelyRefused(t *testing.T) {
	p := newSimulation(1, 87, 16)
	for i := range 8 {
		p.demand[p.tenants[i]] = 8
	}
	p.runFor(6 * time.Second)
	p.asked, p.refused, p.undecided, p.messages = 0, 0, 0, 0
	p.runFor(30 * time.Second)
	p.checkLimits()
	for _, problem := range p.problems {
		t.Error(problem)
	}
	t.Logf("%d asked, %d refused, %d undecided, %d messages between all nodes in 30 s", p.asked, p.refused, p.undecided, p.messages)
	if (p.refused+p.undecided)*200 > p.asked {
		t.Errorf("%d requests refused and %d undecided of %d", p.refused, p.undecided, p.asked)
	}
}

// TestFewRequestsAreRefusedDuringPartition: while 9 of 87 nodes are isolated, at most 2 in 100
// requests below the limits that reach the other nodes may be refused. At least 7 isolated nodes
// must notice it, so that they refuse requests without a delay.
func TestFewRequestsAreRefusedDuringPartition(t *testing.T) {
	t.Parallel()
	asked, refused := 0, 0
	for seed := range uint64(20) {
		p := newSimulation(seed, 87, 16)
		p.runFor(6 * time.Second)
		for i := range 9 {
			p.nodes[i*9].partition = 1 + i
		}
		p.asked, p.refused, p.undecided = 0, 0, 0
		p.countOnlyConnected = true
		p.runFor(10 * time.Second)
		asked, refused = asked+p.asked, refused+p.refused+p.undecided
		isolated := 0
		for i := range 9 {
			if p.nodes[i*9].core.Isolated() {
				isolated++
			}
		}
		if isolated < 7 {
			t.Errorf("seed %d: %d of 9 partitioned nodes noticed their isolation", seed, isolated)
		}
	}
	t.Logf("%d asked, %d refused or undecided", asked, refused)
	if refused*50 > asked {
		t.Errorf("%d of %d requests were refused or undecided", refused, asked)
	}
}

// TestFloodingTenantGetsItsLimit: a tenant that sends eight times its limit must get nine tenths of
// the limit.
func TestFloodingTenantGetsItsLimit(t *testing.T) {
	p := newSimulation(2, 87, 4)
	tenant := p.tenants[0]
	p.demand[tenant] = 8
	p.runFor(10 * time.Second)
	before := len(p.uses[tenant])
	p.runFor(20 * time.Second)
	used := float64((len(p.uses[tenant]) - before) * simTokens)
	if allowed := p.limits[tenant].Rate * 20; used < 0.9*allowed {
		t.Errorf("the tenant used %.0f of %.0f", used, allowed)
	}
}

// TestFailedOrStoppedLenderIsReplacedInTime: a failed lender must be replaced within two leases, and
// one that stops as planned within half a lease.
func TestFailedOrStoppedLenderIsReplacedInTime(t *testing.T) {
	for name, within := range map[string]time.Duration{"killed": 2 * defaultLease, "stopped": defaultLease / 2} {
		p := newSimulation(3, 9, 2)
		p.runFor(3 * time.Second)
		for _, n := range p.liveNodes() {
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
		for _, n := range p.liveNodes() {
			n.core.Step(p.now.Add(n.skew), Tick{})
			if n.core.shards[0].lends() {
				lenders++
			}
		}
		if lenders != 1 {
			t.Errorf("%s: %d lenders after %v", name, lenders, within)
		}
	}
}

// TestVotersAreSpreadOverZones: a lost zone must leave a majority, weak machines must not vote, and
// the order of the view must not matter.
func TestVotersAreSpreadOverZones(t *testing.T) {
	p := newSimulation(4, 30, 1)
	var peers []Peer
	for i, n := range p.liveNodes() {
		peer := n.peer
		if i%5 == 0 {
			peer.Capacity = 0.1
		}
		peers = append(peers, peer)
	}
	zone := map[string]string{}
	weakMachines := map[string]bool{}
	for _, peer := range peers {
		zone[peer.Machine] = string(peer.Zone)
		weakMachines[peer.Machine] = peer.Capacity < 0.4
	}
	for number := range Shards {
		voters := selectVoters(number, candidates(peers))
		counts := map[string]int{}
		for _, machine := range voters {
			counts[zone[machine]]++
			if weakMachines[machine] {
				t.Errorf("shard %d: weak machine %s is a voter", number, machine)
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
			t.Errorf("shard %d: the voters depend on the order of the view", number)
		}
	}
}

// TestAllShardsHaveLendersAfterAllNodesRestart: when all nodes are killed at once and restart while
// the store holds the records of the earlier processes, every shard must have a lender within 3 s.
// When nodes learned voter sets from each other without an expiry, shards had no lender for 7 s.
func TestAllShardsHaveLendersAfterAllNodesRestart(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		p := newSimulation(seed, 30, 4)
		p.runFor(6 * time.Second)
		for round := range 2 {
			for _, n := range p.liveNodes() {
				p.kill(n, n.peer.Machine, p.between(300*time.Millisecond, 900*time.Millisecond))
			}
			p.runFor(3 * time.Second)
			for number := range Shards {
				lent := false
				for _, n := range p.liveNodes() {
					lent = lent || n.core.shards[number].isLender
				}
				if !lent {
					t.Errorf("seed %d, round %d: shard %d has no lender", seed, round, number)
				}
			}
		}
	}
}

// TestIsolatedNodeRecoversWithoutCallers: an isolated node gets no callers because it is not ready,
// so it must find out by its own probes that it is connected again.
func TestIsolatedNodeRecoversWithoutCallers(t *testing.T) {
	p := newSimulation(5, 12, 2)
	p.runFor(4 * time.Second)
	var n *simNode
	for _, candidate := range p.liveNodes() {
		if candidate.core.ShardsLent() == 0 && candidate.core.shards[0].voterRank() < 0 {
			n = candidate
		}
	}
	n.partition = 7
	for number := range int64(isolationThreshold + 1) {
		p.step(n, TokensRequested{Number: -1 - number, Tenant: p.tenants[0], Amount: 1})
		p.runFor(RequestTimeout)
	}
	if !n.core.Isolated() {
		t.Fatal("an isolated node did not notice its isolation")
	}
	n.partition = 0
	n.noRequests = true
	p.runFor(3 * isolationProbeInterval)
	if n.core.Isolated() {
		t.Error("a reconnected node still reports isolation")
	}
}

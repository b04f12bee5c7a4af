package lending

import (
	"fmt"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// injectFaults injects a random fault into a random node, or a lender, and schedules the next one.
func (p *simulation) injectFaults() {
	live := p.liveNodes()
	if len(live) == 0 {
		p.after(100*time.Millisecond, p.injectFaults)
		return
	}
	n := live[p.rand.IntN(len(live))]
	if lenders := slices.DeleteFunc(slices.Clone(live), func(n *simNode) bool { return !slices.ContainsFunc(n.core.shards[:], (*shard).lends) }); len(lenders) > 0 && p.rand.IntN(2) == 0 {
		n = lenders[p.rand.IntN(len(lenders))]
	}
	faultDuration := p.between(300*time.Millisecond, 6*time.Second)
	switch p.rand.IntN(7) {
	case 0:
		p.kill(n, n.peer.Machine, faultDuration/3)
	case 1:
		p.starts++
		p.kill(n, fmt.Sprintf("machine-%d", 100+p.starts), faultDuration/3)
	case 2:
		p.freeze(n, faultDuration)
	case 3:
		n.partition, n.noNewsSince = 1000+p.starts, p.now
		p.after(faultDuration, func() { n.partition, n.noNewsSince = 0, time.Time{}; p.announcePeers() })
	case 4:
		p.splitNetwork(live, faultDuration)
	case 5:
		p.step(n, Stopping{})
		p.kill(n, n.peer.Machine, faultDuration/3)
	case 6:
		n.noNewsSince = p.now
		p.after(faultDuration, func() { n.noNewsSince = time.Time{}; p.announcePeers() })
	}
	p.after(p.between(200*time.Millisecond, 3*time.Second), p.injectFaults)
}

// disruptLenders stops lenders or freezes them for longer than a lease, and schedules the next
// disruption.
func (p *simulation) disruptLenders() {
	for _, n := range p.liveNodes() {
		if n.frozen || !slices.ContainsFunc(n.core.shards[:], (*shard).lends) {
			continue
		}
		if !p.startsFull && !p.plannedStopsOnly && p.rand.IntN(2) == 0 {
			p.freeze(n, p.between(800*time.Millisecond, 1500*time.Millisecond))
			continue
		}
		p.step(n, Stopping{})
		p.kill(n, n.peer.Machine, 200*time.Millisecond)
		if p.startsFull {
			break
		}
	}
	p.after(p.between(300*time.Millisecond, 1200*time.Millisecond), p.disruptLenders)
}

// checkLenders checks that no shard has two lenders at the same time.
func (p *simulation) checkLenders() {
	for number := range Shards {
		var lenders []cluster.NodeID
		for _, n := range p.nodes {
			s := n.core.shards[number]
			now := p.now.Add(n.skew)
			if !n.dead && !n.frozen && s.isLender && now.Before(s.leaseUntil) && now.Sub(n.core.provenAt) < simProofWithin {
				lenders = append(lenders, n.peer.ID)
			}
		}
		if len(lenders) > 1 {
			p.problems = append(p.problems, fmt.Sprintf("%v are lenders of shard %d at %s", lenders, number, p.now.Format("05.000")))
		}
	}
	if len(p.problems) == 0 {
		p.after(20*time.Millisecond, p.checkLenders)
	}
}

// splitNetwork moves about half of the connected nodes to a separate partition for a while.
func (p *simulation) splitNetwork(live []*simNode, lasts time.Duration) {
	p.starts++
	partition := 1000 + p.starts
	for _, n := range live {
		if n.partition == 0 && p.rand.IntN(2) == 0 {
			n.partition = partition
			p.after(lasts, func() {
				if n.partition == partition {
					n.partition = 0
				}
			})
		}
	}
}

func (p *simulation) freeze(n *simNode, lasts time.Duration) {
	if n.frozen {
		return
	}
	n.frozen = true
	p.after(lasts, func() {
		n.frozen = false
		if p.clockStopsWhenFrozen {
			n.skew -= lasts
		}
		p.after(0, func() {
			if len(p.problems) == 0 {
				p.checkLenders()
			}
		})
		missed := n.missed
		n.missed = nil
		n.tickAt = time.Time{}
		for _, e := range missed {
			p.step(n, e)
		}
		p.step(n, Tick{})
	})
}

func (p *simulation) kill(n *simNode, successor string, after time.Duration) {
	n.dead, n.diedAt = true, p.now
	p.after(simRecordLifetime+time.Millisecond, p.announcePeers)
	p.after(after, func() {
		before := p.records()
		started := p.startNode(successor)
		p.after(p.between(simStoreReadDelay, 2*simStoreReadDelay), func() {
			if started.noNewsSince.IsZero() {
				p.step(started, PeersChanged{Peers: before, HasPredecessor: p.hasPredecessor(started)})
			}
		})
		p.announcePeers()
	})
}

// checkLimits compares the use of each window with its bound.
func (p *simulation) checkLimits() {
	for _, tenant := range p.tenants {
		l, uses := p.limits[tenant], p.uses[tenant]
		slices.SortFunc(uses, func(a, b tokenUse) int { return a.at.Compare(b.at) })
		bound := (l.Rate*simWindow.Seconds()+l.Burst)*(1+p.overrun) + p.slack
		var sum float64
		from := 0
		for i := range uses {
			sum += uses[i].amount
			for uses[i].at.Sub(uses[from].at) > simWindow {
				sum -= uses[from].amount
				from++
			}
			p.fullestWindow = max(p.fullestWindow, sum/bound)
			if sum > bound {
				p.problems = append(p.problems, fmt.Sprintf("%s used %.0f in the window that ends at %s, at most %.0f are allowed", tenant, sum, uses[i].at.Format("05.000"), bound))
				break
			}
		}
	}
}

package lending

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// The terms of the plays: those of a deployment of 87 nodes and 16 tenants whose smallest
// uses 13 requests in a window.
const (
	playWindow = 8 * time.Second
	playTokens = 1540
	// playOverrun and playSlack are half of a deployment's, and one request in place of its
	// 11,000 tokens, so that a play which goes beyond them is noticed.
	playOverrun = 0.05
	playSlack   = playTokens
	// playProof is for how long a node without news of the others goes on sending.
	playProof = 4500 * time.Millisecond
	// playRecord is for how long the record of a node lasts that has died.
	playRecord = 30 * time.Second
)

type playEvent struct {
	at    time.Time
	order int
	run   func()
}

type playEvents []playEvent

func (a playEvents) Len() int { return len(a) }
func (a playEvents) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].order < a[j].order
	}
	return a[i].at.Before(a[j].at)
}
func (a playEvents) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *playEvents) Push(x any)   { *a = append(*a, x.(playEvent)) }
func (a *playEvents) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// playNode is a node and its faults.
type playNode struct {
	peer Peer
	core *Core
	// skew is by how much its clock is ahead.
	skew   time.Duration
	dead   bool
	diedAt time.Time
	// frozen nodes miss events until they thaw; island is the part of the network that the
	// node is in.
	frozen bool
	missed []Event
	island int
	// blind nodes have no news of others since a time.
	blindSince time.Time
	tickAt     time.Time
}

// spent is a use of tokens.
type spent struct {
	at     time.Time
	amount float64
}

// play runs nodes on virtual time.
type play struct {
	rand    *rand.Rand
	now     time.Time
	agenda  playEvents
	order   int
	nodes   []*playNode
	limits  map[string]Limit
	tenants []string
	// demand of each tenant, as a multiple of its limit.
	demand map[string]float64
	spent  map[string][]spent
	number int64
	// pending are the questions under way: whose they are.
	pending map[int64]string
	// asked, refused, undecided count the questions of tenants below their limits.
	asked, refused, undecided int
	messages                  int
	lossy                     float64
	problems                  []string
	starts                    int
	// lasts is how long the play is.
	lasts time.Duration
	// chased plays strike lenders, in place of any nodes.
	chased bool
	// outside leaves nodes that are cut off out of these counts.
	outside bool
	// forgetful plants a defect: a successor begins with a full bucket.
	forgetful bool
	// stands plants a defect: clocks stand while nodes are frozen.
	stands bool
	// hoards plants a defect: tokens are used whenever they come.
	hoards bool
}

func newPlay(seed uint64, nodes, tenants int) *play {
	p := &play{
		rand: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1_000_000, 0), limits: map[string]Limit{},
		demand: map[string]float64{}, spent: map[string][]spent{}, pending: map[int64]string{}, lasts: 45 * time.Second,
	}
	for i := range tenants {
		name := fmt.Sprintf("tenant-%d", i)
		rate := 2700 * (1 + 60*p.rand.Float64()*p.rand.Float64()*p.rand.Float64())
		p.tenants = append(p.tenants, name)
		p.limits[name] = Limit{Rate: rate, Burst: rate}
		p.demand[name] = 1 / 1.8
	}
	for i := range nodes {
		p.start(fmt.Sprintf("machine-%d", i))
	}
	p.tellPeers()
	p.after(0, p.checkLenders)
	p.after(3*time.Second, func() {
		for _, tenant := range p.tenants {
			p.request(tenant)
		}
	})
	return p
}

func (p *play) after(d time.Duration, run func()) {
	p.order++
	heap.Push(&p.agenda, playEvent{at: p.now.Add(d), order: p.order, run: run})
}

func (p *play) between(low, high time.Duration) time.Duration {
	return low + time.Duration(p.rand.Int64N(int64(high-low)))
}

func (p *play) runFor(d time.Duration) {
	end := p.now.Add(d)
	for len(p.agenda) > 0 && !p.agenda[0].at.After(end) {
		next := heap.Pop(&p.agenda).(playEvent)
		p.now = next.at
		next.run()
	}
	p.now = end
}

func (p *play) start(machine string) *playNode {
	p.starts++
	var zone int
	_, _ = fmt.Sscanf(machine, "machine-%d", &zone)
	id := cluster.NodeID(fmt.Sprintf("%s-%d", machine, p.starts))
	n := &playNode{skew: p.between(-time.Hour, time.Hour), peer: Peer{
		ID: id, Machine: machine, Address: string(id), Zone: cluster.ZoneID(fmt.Sprint(zone % 3)), Capacity: 0.8,
	}}
	n.core = New(Config{Self: n.peer, Window: playWindow, Overrun: playOverrun, Slack: playSlack, ProofWithin: playProof})
	p.nodes = append(p.nodes, n)
	p.step(n, LimitsChanged{Limits: p.limits})
	p.prove(n)
	return n
}

// prove has a node that has news of the others know what is in force.
func (p *play) prove(n *playNode) {
	if n.dead {
		return
	}
	if n.blindSince.IsZero() {
		p.step(n, Proven{At: p.now.Add(n.skew)})
	}
	p.after(time.Second, func() { p.prove(n) })
}

func (p *play) live() []*playNode {
	return slices.DeleteFunc(slices.Clone(p.nodes), func(n *playNode) bool { return n.dead })
}

// tellPeers brings the live nodes to all that have news of others, each at its time.
func (p *play) tellPeers() {
	records := map[string]Peer{}
	for _, n := range p.nodes {
		if !n.dead || p.now.Sub(n.diedAt) < playRecord {
			records[n.peer.Machine] = n.peer
		}
	}
	peers := slices.SortedFunc(maps.Values(records), func(a, b Peer) int { return strings.Compare(a.Machine, b.Machine) })
	for _, n := range p.live() {
		if !n.blindSince.IsZero() {
			continue
		}
		p.after(p.between(0, time.Second), func() {
			if n.blindSince.IsZero() {
				p.step(n, PeersChanged{Peers: peers})
			}
		})
	}
}

func (p *play) step(n *playNode, e Event) {
	if n.dead {
		return
	}
	if n.frozen {
		n.missed = append(n.missed, e)
		return
	}
	now := p.now.Add(n.skew)
	for _, effect := range slices.Clone(n.core.Step(now, e)) {
		switch e := effect.(type) {
		case Send:
			p.deliver(n, e.Address, e.Message)
		case Answered:
			p.answered(n, e)
		case LeaseChanged:
			if e.Held && p.forgetful {
				for tenant, b := range n.core.shards[e.Shard].buckets {
					b.level = n.core.cfg.flow(p.limits[tenant]).capacity
				}
			}
		}
	}
	due := n.core.NextDue()
	if due.IsZero() || due.Equal(n.tickAt) {
		return
	}
	n.tickAt = due
	p.after(max(due.Sub(now), time.Millisecond), func() {
		if n.tickAt.Equal(due) {
			n.tickAt = time.Time{}
			p.step(n, Tick{})
		}
	})
}

// deliver brings a message, late or twice now and then, or loses it.
func (p *play) deliver(from *playNode, address string, m wire.Message) {
	p.messages++
	times := 1
	if p.lossy > 0 && p.rand.IntN(50) == 0 {
		times = 2
	}
	for range times {
		delay := p.between(time.Millisecond, 4*time.Millisecond)
		if p.lossy > 0 && p.rand.IntN(20) == 0 {
			delay = p.between(50*time.Millisecond, 3*time.Second)
		}
		lost := p.rand.Float64() < p.lossy
		p.after(delay, func() {
			for _, to := range p.nodes {
				if to.peer.Address == address && !lost && to.island == from.island {
					p.step(to, Received{Message: m})
				}
			}
		})
	}
}

// request sends a tenant's next request through some node.
func (p *play) request(tenant string) {
	live := p.live()
	if len(live) > 0 {
		n := live[p.rand.IntN(len(live))]
		if !n.frozen && (n.blindSince.IsZero() || p.now.Sub(n.blindSince) < playProof) {
			p.number++
			p.pending[p.number] = tenant
			p.step(n, Asked{Number: p.number, Tenant: tenant, Amount: playTokens})
		}
	}
	mean := playTokens / (p.limits[tenant].Rate * p.demand[tenant])
	p.after(time.Duration(mean*p.rand.ExpFloat64()*float64(time.Second)), func() { p.request(tenant) })
}

// answered uses the tokens at some moment before they lapse, or gives some back.
func (p *play) answered(n *playNode, e Answered) {
	delete(p.pending, e.Number)
	below := p.demand[e.Tenant] < 1 && !(p.outside && n.island != 0)
	if below {
		p.asked++
	}
	switch {
	case !e.Decided && below:
		p.undecided++
	case !e.Granted && below:
		p.refused++
	}
	if !e.Granted {
		return
	}
	if p.rand.IntN(20) == 0 {
		p.step(n, Returned{Number: e.Number, Tenant: e.Tenant})
		return
	}
	wait := time.Duration(0)
	if p.rand.IntN(3) == 0 || p.hoards {
		wait = p.between(0, n.core.cfg.Lifetime)
		if p.hoards {
			wait = playWindow - time.Duration(p.now.UnixNano())%playWindow
		}
	}
	p.after(wait, func() {
		lapsed := p.now.Add(n.skew).Sub(e.AskedAt) > n.core.cfg.Lifetime
		if n.dead || n.frozen || lapsed && !p.hoards {
			return
		}
		p.spent[e.Tenant] = append(p.spent[e.Tenant], spent{at: p.now, amount: e.Amount})
	})
}

// trouble strikes nodes for a while.
func (p *play) trouble() {
	live := p.live()
	n := live[p.rand.IntN(len(live))]
	if lenders := slices.DeleteFunc(slices.Clone(live), func(n *playNode) bool { return !slices.ContainsFunc(n.core.shards[:], (*shard).lends) }); len(lenders) > 0 && p.rand.IntN(2) == 0 {
		n = lenders[p.rand.IntN(len(lenders))]
	}
	lasts := p.between(300*time.Millisecond, 6*time.Second)
	switch p.rand.IntN(7) {
	case 0:
		p.kill(n, n.peer.Machine, lasts/3)
	case 1:
		p.starts++
		p.kill(n, fmt.Sprintf("machine-%d", 100+p.starts), lasts/3)
	case 2:
		p.freeze(n, lasts)
	case 3:
		n.island, n.blindSince = 1000+p.starts, p.now
		p.after(lasts, func() { n.island, n.blindSince = 0, time.Time{}; p.tellPeers() })
	case 4:
		p.split(live, lasts)
	case 5:
		p.step(n, Stopping{})
		p.kill(n, n.peer.Machine, lasts/3)
	case 6:
		n.blindSince = p.now
		p.after(lasts, func() { n.blindSince = time.Time{}; p.tellPeers() })
	}
	p.after(p.between(200*time.Millisecond, 3*time.Second), p.trouble)
}

// chase strikes whoever lends, again and again: it is stopped, or frozen for longer than a
// lease.
func (p *play) chase() {
	for _, n := range p.live() {
		if n.frozen || !slices.ContainsFunc(n.core.shards[:], (*shard).lends) {
			continue
		}
		if !p.forgetful && p.rand.IntN(2) == 0 {
			p.freeze(n, p.between(800*time.Millisecond, 1500*time.Millisecond))
			continue
		}
		p.step(n, Stopping{})
		p.kill(n, n.peer.Machine, 200*time.Millisecond)
		if p.forgetful {
			break
		}
	}
	p.after(p.between(300*time.Millisecond, 1200*time.Millisecond), p.chase)
}

// checkLenders checks that no two nodes lend at a time.
func (p *play) checkLenders() {
	for number := range Shards {
		var lenders []cluster.NodeID
		for _, n := range p.nodes {
			s := n.core.shards[number]
			now := p.now.Add(n.skew)
			if !n.dead && !n.frozen && s.held && now.Before(s.until) && now.Sub(n.core.provenAt) < playProof {
				lenders = append(lenders, n.peer.ID)
			}
		}
		if len(lenders) > 1 {
			p.problems = append(p.problems, fmt.Sprintf("%v lend for shard %d at %s", lenders, number, p.now.Format("05.000")))
		}
	}
	if len(p.problems) == 0 {
		p.after(20*time.Millisecond, p.checkLenders)
	}
}

// split cuts the nodes into two parts that don't hear of each other.
func (p *play) split(live []*playNode, lasts time.Duration) {
	p.starts++
	island := 1000 + p.starts
	for _, n := range live {
		if n.island == 0 && p.rand.IntN(2) == 0 {
			n.island = island
			p.after(lasts, func() {
				if n.island == island {
					n.island = 0
				}
			})
		}
	}
}

func (p *play) freeze(n *playNode, lasts time.Duration) {
	if n.frozen {
		return
	}
	n.frozen = true
	p.after(lasts, func() {
		n.frozen = false
		if p.stands {
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

func (p *play) kill(n *playNode, successor string, after time.Duration) {
	n.dead, n.diedAt = true, p.now
	p.after(playRecord+time.Millisecond, p.tellPeers)
	p.after(after, func() {
		p.start(successor)
		p.tellPeers()
	})
}

// check compares what was used in each window with the limits.
func (p *play) check() {
	for _, tenant := range p.tenants {
		l, uses := p.limits[tenant], p.spent[tenant]
		slices.SortFunc(uses, func(a, b spent) int { return a.at.Compare(b.at) })
		most := (l.Rate*playWindow.Seconds()+l.Burst)*(1+playOverrun) + playSlack
		var sum float64
		from := 0
		for i := range uses {
			sum += uses[i].amount
			for uses[i].at.Sub(uses[from].at) > playWindow {
				sum -= uses[from].amount
				from++
			}
			if sum > most {
				p.problems = append(p.problems, fmt.Sprintf("%s used %.0f in a window at %s, at most %.0f", tenant, sum, uses[i].at.Format("05.000"), most))
				break
			}
		}
	}
}

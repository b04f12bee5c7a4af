package lending

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/internal/agenda"
	"github.com/valveslip/valveslip/wire"
)

// The terms of the plays: those of a deployment of 87 nodes and 16 tenants whose smallest
// uses 13 requests in a window.
const (
	simWindow = 8 * time.Second
	simTokens = 1540
	// simOverrun and playSlack are half of a deployment's, and one request in place of its
	// 11,000 tokens, so that a play which goes beyond them is noticed.
	simOverrun = 0.05
	simSlack   = simTokens
	// simProofWithin is for how long a node without news of the others goes on sending.
	simProofWithin = 4500 * time.Millisecond
	// simPatience is half of the time that most requests have.
	simPatience = 2500 * time.Millisecond
	// simStoreReadDelay is how long after its start a node has read the store, at least: what was there
	// before its own record.
	simStoreReadDelay = 60 * time.Millisecond
	// simRecordLifetime is for how long the record of a node lasts that has died.
	simRecordLifetime = 30 * time.Second
)

// simNode is a node and its faults.
type simNode struct {
	peer Peer
	core *Core
	// skew is by how much its clock is ahead.
	skew   time.Duration
	dead   bool
	diedAt time.Time
	// frozen nodes miss events until they thaw; island is the part of the network that the
	// node is in.
	frozen    bool
	missed    []Event
	partition int
	// noRequests nodes get no requests.
	noRequests bool
	// blind nodes have no news of others since a time.
	noNewsSince time.Time
	tickAt      time.Time
}

// tokenUse is a use of tokens.
type tokenUse struct {
	at     time.Time
	amount float64
}

// simulation runs nodes on virtual time.
type simulation struct {
	rand    *rand.Rand
	now     time.Time
	agenda  agenda.Agenda
	nodes   []*simNode
	limits  map[string]Limit
	tenants []string
	// demand of each tenant, as a multiple of its limit.
	demand map[string]float64
	uses   map[string][]tokenUse
	number int64
	// pending are the questions under way: whose they are.
	pending map[int64]playAsk
	// asked, refused, undecided count the questions of tenants below their limits.
	asked, refused, undecided int
	messages                  int
	lossRate                  float64
	problems                  []string
	starts                    int
	// duration is how long the play is.
	duration time.Duration
	// faultsHitLenders plays strike lenders, in place of any nodes.
	faultsHitLenders bool
	// countOnlyConnected leaves nodes that are cut off out of these counts.
	countOnlyConnected bool
	// forgetful plants a defect: a successor begins with a full bucket.
	forgetful bool
	// stands plants a defect: clocks stand while nodes are frozen.
	stands bool
	// hoards plants a defect: tokens are used whenever they come.
	hoards bool
	// mix are the kinds of requests, none for those of playTokens alone; counts are what became
	// of the mixed ones, and returns of those that came back.
	mix     []playKind
	counts  map[string]*playCount
	returns playReturns
	// tickets are until when each shard's is taken; generous plants a defect: all that are
	// wanted are granted.
	tickets  [Shards]time.Time
	generous bool
	// overrun and slack are what may be used beyond a limit.
	overrun, slack float64
	// fullest is the fullest window of all, in parts of what one may hold.
	fullest float64
	// stopped plays have lenders stop by plan only.
	stopped bool
	// hasty plants a defect: a node that has just started wins by the votes of other such
	// nodes, whoever else may lend.
	hasty bool
}

func newPlay(seed uint64, nodes, tenants int) *simulation {
	return newPlayBeyond(seed, nodes, tenants, simOverrun, simSlack)
}

// newPlayBeyond is a play in which so much may be used beyond a limit.
func newPlayBeyond(seed uint64, nodes, tenants int, overrun, slack float64) *simulation {
	p := &simulation{
		rand: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1_000_000, 0), limits: map[string]Limit{},
		demand: map[string]float64{}, uses: map[string][]tokenUse{}, pending: map[int64]playAsk{}, duration: 45 * time.Second,
		overrun: overrun, slack: slack,
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

func (p *simulation) after(d time.Duration, run func()) {
	p.agenda.Add(p.now.Add(d), run)
}

func (p *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(p.rand.Int64N(int64(high-low)))
}

func (p *simulation) runFor(d time.Duration) {
	end := p.now.Add(d)
	for at, run, due := p.agenda.Next(end); due; at, run, due = p.agenda.Next(end) {
		p.now = at
		run()
	}
	p.now = end
}

func (p *simulation) start(machine string) *simNode {
	p.starts++
	var zone int
	_, _ = fmt.Sscanf(machine, "machine-%d", &zone)
	id := cluster.NodeID(fmt.Sprintf("%s-%d", machine, p.starts))
	n := &simNode{skew: p.between(-time.Hour, time.Hour), peer: Peer{
		ID: id, Machine: machine, Address: machine, Zone: cluster.ZoneID(fmt.Sprint(zone % 3)), Capacity: 0.8,
	}}
	n.core = New(Config{Self: n.peer, Window: simWindow, Overrun: p.overrun, Slack: p.slack, ProofWithin: simProofWithin})
	p.nodes = append(p.nodes, n)
	p.step(n, LimitsChanged{Limits: p.limits})
	p.prove(n)
	return n
}

// prove has a node that has news of the others know what is in force.
func (p *simulation) prove(n *simNode) {
	if n.dead {
		return
	}
	if n.noNewsSince.IsZero() {
		p.step(n, Proven{At: p.now.Add(n.skew)})
	}
	p.after(time.Second, func() { p.prove(n) })
}

func (p *simulation) live() []*simNode {
	return slices.DeleteFunc(slices.Clone(p.nodes), func(n *simNode) bool { return n.dead })
}

// records are those of the live nodes, and of the dead ones for a while.
func (p *simulation) records() []Peer {
	records := map[string]Peer{}
	for _, n := range p.nodes {
		if !n.dead || p.now.Sub(n.diedAt) < simRecordLifetime {
			records[n.peer.Machine] = n.peer
		}
	}
	return slices.SortedFunc(maps.Values(records), func(a, b Peer) int { return strings.Compare(a.Machine, b.Machine) })
}

// succeeds reports whether there is a record of an earlier process of a node's machine.
func (p *simulation) succeeds(n *simNode) bool {
	return slices.ContainsFunc(p.nodes, func(earlier *simNode) bool {
		return earlier.dead && earlier.peer.Machine == n.peer.Machine && p.now.Sub(earlier.diedAt) < simRecordLifetime
	})
}

// tellPeers brings the live nodes to all that have news of others, each at its time.
func (p *simulation) tellPeers() {
	peers := p.records()
	for _, n := range p.live() {
		if !n.noNewsSince.IsZero() {
			continue
		}
		p.after(p.between(0, time.Second), func() {
			if n.noNewsSince.IsZero() {
				p.step(n, PeersChanged{Peers: peers, Succeeds: p.succeeds(n)})
			}
		})
	}
}

func (p *simulation) step(n *simNode, e Event) {
	if n.dead {
		return
	}
	if n.frozen {
		n.missed = append(n.missed, e)
		return
	}
	now := p.now.Add(n.skew)
	if p.hasty {
		p.makeHasty(n, e)
	}
	for _, effect := range slices.Clone(n.core.Step(now, e)) {
		switch e := effect.(type) {
		case Send:
			p.deliver(n, e.Address, e.Message)
		case TicketWanted:
			p.ticket(n, e)
		case Answered:
			p.answered(n, e)
		case LeaseChanged:
			if e.Held && p.forgetful {
				for tenant, b := range n.core.shards[e.Shard].buckets {
					b.level = n.core.cfg.bucketParams(p.limits[tenant]).capacity
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

// ticket is the store's part: one in its time for a shard, and now and then no answer.
func (p *simulation) ticket(n *simNode, e TicketWanted) {
	slowest := 20 * time.Millisecond
	if p.rand.IntN(8) == 0 {
		slowest = 450 * time.Millisecond
	}
	p.after(p.between(time.Millisecond, slowest), func() {
		if p.now.Before(p.tickets[e.Shard]) && !p.generous || p.rand.IntN(10) == 0 {
			return
		}
		p.tickets[e.Shard] = p.now.Add(e.Lasts)
		p.after(p.between(time.Millisecond, slowest), func() {
			p.step(n, TicketGranted{Shard: e.Shard, Number: e.Number})
		})
	})
}

// deliver brings a message, late or twice now and then, or loses it.
func (p *simulation) deliver(from *simNode, address string, m wire.Message) {
	p.messages++
	times := 1
	if p.lossRate > 0 && p.rand.IntN(50) == 0 {
		times = 2
	}
	for range times {
		delay := p.between(time.Millisecond, 4*time.Millisecond)
		if p.lossRate > 0 && p.rand.IntN(20) == 0 {
			delay = p.between(50*time.Millisecond, 3*time.Second)
		}
		lost := p.rand.Float64() < p.lossRate
		p.after(delay, func() {
			for _, to := range p.nodes {
				if to.peer.Address == address && !lost && to.partition == from.partition {
					p.step(to, Received{Message: m})
				}
			}
		})
	}
}

// request sends a tenant's next request through some node.
func (p *simulation) request(tenant string) {
	live := p.live()
	if len(live) > 0 {
		n := live[p.rand.IntN(len(live))]
		if !n.frozen && !n.noRequests && (n.noNewsSince.IsZero() || p.now.Sub(n.noNewsSince) < simProofWithin) {
			p.number++
			a := p.draw(tenant)
			p.pending[p.number] = a
			p.step(n, Asked{Number: p.number, Tenant: tenant, Amount: a.kind.amount, Rank: a.kind.rank, Mark: a.mark, Heeds: a.kind.heeds, Patience: simPatience})
		}
	}
	mean := simTokens / (p.limits[tenant].Rate * p.demand[tenant])
	p.after(time.Duration(mean*p.rand.ExpFloat64()*float64(time.Second)), func() { p.request(tenant) })
}

// answered uses the tokens at some moment before they lapse, or gives some back.
func (p *simulation) answered(n *simNode, e Answered) {
	a := p.pending[e.Number]
	delete(p.pending, e.Number)
	p.note(a, e)
	below := p.demand[e.Tenant] < 1 && !(p.countOnlyConnected && n.partition != 0)
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
			wait = simWindow - time.Duration(p.now.UnixNano())%simWindow
		}
	}
	p.after(wait, func() {
		lapsed := p.now.Add(n.skew).Sub(e.AskedAt) > n.core.cfg.Lifetime
		if n.dead || n.frozen || lapsed && !p.hoards {
			return
		}
		p.uses[e.Tenant] = append(p.uses[e.Tenant], tokenUse{at: p.now, amount: e.Amount})
	})
}

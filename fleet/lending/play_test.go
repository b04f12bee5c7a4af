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
	playWindow = 8 * time.Second
	playTokens = 1540
	// playOverrun and playSlack are half of a deployment's, and one request in place of its
	// 11,000 tokens, so that a play which goes beyond them is noticed.
	playOverrun = 0.05
	playSlack   = playTokens
	// playProof is for how long a node without news of the others goes on sending.
	playProof = 4500 * time.Millisecond
	// playPatience is half of the time that most requests have.
	playPatience = 2500 * time.Millisecond
	// playRead is how long after its start a node has read the store, at least: what was there
	// before its own record.
	playRead = 60 * time.Millisecond
	// playRecord is for how long the record of a node lasts that has died.
	playRecord = 30 * time.Second
)

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
	// quiet nodes get no requests.
	quiet bool
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
	agenda  agenda.Agenda
	nodes   []*playNode
	limits  map[string]Limit
	tenants []string
	// demand of each tenant, as a multiple of its limit.
	demand map[string]float64
	spent  map[string][]spent
	number int64
	// pending are the questions under way: whose they are.
	pending map[int64]playAsk
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

func newPlay(seed uint64, nodes, tenants int) *play {
	return newPlayBeyond(seed, nodes, tenants, playOverrun, playSlack)
}

// newPlayBeyond is a play in which so much may be used beyond a limit.
func newPlayBeyond(seed uint64, nodes, tenants int, overrun, slack float64) *play {
	p := &play{
		rand: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1_000_000, 0), limits: map[string]Limit{},
		demand: map[string]float64{}, spent: map[string][]spent{}, pending: map[int64]playAsk{}, lasts: 45 * time.Second,
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

func (p *play) after(d time.Duration, run func()) {
	p.agenda.Add(p.now.Add(d), run)
}

func (p *play) between(low, high time.Duration) time.Duration {
	return low + time.Duration(p.rand.Int64N(int64(high-low)))
}

func (p *play) runFor(d time.Duration) {
	end := p.now.Add(d)
	for at, run, due := p.agenda.Next(end); due; at, run, due = p.agenda.Next(end) {
		p.now = at
		run()
	}
	p.now = end
}

func (p *play) start(machine string) *playNode {
	p.starts++
	var zone int
	_, _ = fmt.Sscanf(machine, "machine-%d", &zone)
	id := cluster.NodeID(fmt.Sprintf("%s-%d", machine, p.starts))
	n := &playNode{skew: p.between(-time.Hour, time.Hour), peer: Peer{
		ID: id, Machine: machine, Address: machine, Zone: cluster.ZoneID(fmt.Sprint(zone % 3)), Capacity: 0.8,
	}}
	n.core = New(Config{Self: n.peer, Window: playWindow, Overrun: p.overrun, Slack: p.slack, ProofWithin: playProof})
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

// records are those of the live nodes, and of the dead ones for a while.
func (p *play) records() []Peer {
	records := map[string]Peer{}
	for _, n := range p.nodes {
		if !n.dead || p.now.Sub(n.diedAt) < playRecord {
			records[n.peer.Machine] = n.peer
		}
	}
	return slices.SortedFunc(maps.Values(records), func(a, b Peer) int { return strings.Compare(a.Machine, b.Machine) })
}

// succeeds reports whether there is a record of an earlier process of a node's machine.
func (p *play) succeeds(n *playNode) bool {
	return slices.ContainsFunc(p.nodes, func(earlier *playNode) bool {
		return earlier.dead && earlier.peer.Machine == n.peer.Machine && p.now.Sub(earlier.diedAt) < playRecord
	})
}

// tellPeers brings the live nodes to all that have news of others, each at its time.
func (p *play) tellPeers() {
	peers := p.records()
	for _, n := range p.live() {
		if !n.blindSince.IsZero() {
			continue
		}
		p.after(p.between(0, time.Second), func() {
			if n.blindSince.IsZero() {
				p.step(n, PeersChanged{Peers: peers, Succeeds: p.succeeds(n)})
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

// ticket is the store's part: one in its time for a shard, and now and then no answer.
func (p *play) ticket(n *playNode, e TicketWanted) {
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
		if !n.frozen && !n.quiet && (n.blindSince.IsZero() || p.now.Sub(n.blindSince) < playProof) {
			p.number++
			a := p.draw(tenant)
			p.pending[p.number] = a
			p.step(n, Asked{Number: p.number, Tenant: tenant, Amount: a.kind.amount, Rank: a.kind.rank, Mark: a.mark, Heeds: a.kind.heeds, Patience: playPatience})
		}
	}
	mean := playTokens / (p.limits[tenant].Rate * p.demand[tenant])
	p.after(time.Duration(mean*p.rand.ExpFloat64()*float64(time.Second)), func() { p.request(tenant) })
}

// answered uses the tokens at some moment before they lapse, or gives some back.
func (p *play) answered(n *playNode, e Answered) {
	a := p.pending[e.Number]
	delete(p.pending, e.Number)
	p.note(a, e)
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

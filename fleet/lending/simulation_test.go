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

// Parameters of the simulations: those of a deployment with 87 nodes and 16 tenants, the smallest of
// which uses 13 requests in a window.
const (
	simWindow = 8 * time.Second
	simTokens = 1540
	// simOverrun and simSlack are half of a deployment's overrun, and one request instead of its
	// slack of 11,000 tokens, so that a simulation notices violations.
	simOverrun = 0.05
	simSlack   = simTokens
	// simProofWithin is how long a node without news of the others goes on sending.
	simProofWithin = 4500 * time.Millisecond
	// simPatience is half of the time that most requests have.
	simPatience = 2500 * time.Millisecond
	// simStoreReadDelay is the least time after its start at which a node has read the store as it
	// was before the node's own record.
	simStoreReadDelay = 60 * time.Millisecond
	// simRecordLifetime is how long the record of a dead node stays in the store.
	simRecordLifetime = 30 * time.Second
)

// simNode is a simulated node and its faults.
type simNode struct {
	peer Peer
	core *Core
	// skew is how far the node's clock is ahead.
	skew   time.Duration
	dead   bool
	diedAt time.Time
	// frozen nodes get their missed events when they resume; partition is the part of the
	// network that the node is in.
	frozen    bool
	missed    []Event
	partition int
	// noRequests keeps requests away from the node.
	noRequests bool
	// noNewsSince is since when the node has no news of the others; zero if it has.
	noNewsSince time.Time
	tickAt      time.Time
}

// tokenUse is the use of granted tokens.
type tokenUse struct {
	at     time.Time
	amount float64
}

// simulation runs nodes on virtual time.
type simulation struct {
	rand    *rand.Rand
	now     time.Time
	agenda  agenda.EventQueue
	nodes   []*simNode
	limits  map[string]Limit
	tenants []string
	// demand of each tenant, as a multiple of its limit.
	demand map[string]float64
	uses   map[string][]tokenUse
	number int64
	// pending are the pending requests by number.
	pending map[int64]simRequest
	// asked, refused and undecided count the requests of tenants below their limits.
	asked, refused, undecided int
	messages                  int
	lossRate                  float64
	problems                  []string
	starts                    int
	// duration is the virtual time that the simulation runs for.
	duration time.Duration
	// faultsHitLenders injects faults only into lenders.
	faultsHitLenders bool
	// countOnlyConnected excludes partitioned nodes from asked, refused and undecided.
	countOnlyConnected bool
	// startsFull plants a defect: a successor starts with a full bucket.
	startsFull bool
	// clockStopsWhenFrozen plants a defect: the clocks of frozen nodes stop.
	clockStopsWhenFrozen bool
	// usesExpiredTokens plants a defect: tokens are used after their lifetime.
	usesExpiredTokens bool
	// classes are the classes of requests, empty for requests of simTokens only; counts are the
	// results of each class, and returns of the callers that returned.
	classes []simClass
	counts  map[string]*simCount
	returns returnCounts
	// tickets are the times until which each shard's ticket is taken; grantsAllTickets plants a
	// defect: every requested ticket is granted.
	tickets          [Shards]time.Time
	grantsAllTickets bool
	// overrun and slack are the allowance beyond a limit.
	overrun, slack float64
	// fullestWindow is the greatest use of any window, as a share of its bound.
	fullestWindow float64
	// plannedStopsOnly has lenders stop only as planned.
	plannedStopsOnly bool
	// prematureFirstClaims plants a defect: a node that has just started wins a first claim without
	// the votes of all nodes.
	prematureFirstClaims bool
}

func newSimulation(seed uint64, nodes, tenants int) *simulation {
	return newSimulationWithAllowance(seed, nodes, tenants, simOverrun, simSlack)
}

// newSimulationWithAllowance returns a simulation with the given allowance beyond the limits.
func newSimulationWithAllowance(seed uint64, nodes, tenants int, overrun, slack float64) *simulation {
	p := &simulation{
		rand: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1_000_000, 0), limits: map[string]Limit{},
		demand: map[string]float64{}, uses: map[string][]tokenUse{}, pending: map[int64]simRequest{}, duration: 45 * time.Second,
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
		p.startNode(fmt.Sprintf("machine-%d", i))
	}
	p.announcePeers()
	p.after(0, p.checkLenders)
	p.after(3*time.Second, func() {
		for _, tenant := range p.tenants {
			p.sendRequests(tenant)
		}
	})
	return p
}

func (p *simulation) after(d time.Duration, run func()) {
	p.agenda.Schedule(p.now.Add(d), run)
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

func (p *simulation) startNode(machine string) *simNode {
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
	p.renewProof(n)
	return n
}

// renewProof proves every second that the node's settings are in force, while it has news of the
// others.
func (p *simulation) renewProof(n *simNode) {
	if n.dead {
		return
	}
	if n.noNewsSince.IsZero() {
		p.step(n, SettingsProven{At: p.now.Add(n.skew)})
	}
	p.after(time.Second, func() { p.renewProof(n) })
}

func (p *simulation) liveNodes() []*simNode {
	return slices.DeleteFunc(slices.Clone(p.nodes), func(n *simNode) bool { return n.dead })
}

// records returns the store's records: those of live nodes, and of dead nodes for simRecordLifetime.
func (p *simulation) records() []Peer {
	records := map[string]Peer{}
	for _, n := range p.nodes {
		if !n.dead || p.now.Sub(n.diedAt) < simRecordLifetime {
			records[n.peer.Machine] = n.peer
		}
	}
	return slices.SortedFunc(maps.Values(records), func(a, b Peer) int { return strings.Compare(a.Machine, b.Machine) })
}

// hasPredecessor reports whether the store holds a record of an earlier process of the node's
// machine.
func (p *simulation) hasPredecessor(n *simNode) bool {
	return slices.ContainsFunc(p.nodes, func(earlier *simNode) bool {
		return earlier.dead && earlier.peer.Machine == n.peer.Machine && p.now.Sub(earlier.diedAt) < simRecordLifetime
	})
}

// announcePeers tells the live nodes to all nodes that have news of others, after random delays.
func (p *simulation) announcePeers() {
	peers := p.records()
	for _, n := range p.liveNodes() {
		if !n.noNewsSince.IsZero() {
			continue
		}
		p.after(p.between(0, time.Second), func() {
			if n.noNewsSince.IsZero() {
				p.step(n, PeersChanged{Peers: peers, HasPredecessor: p.hasPredecessor(n)})
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
	if p.prematureFirstClaims {
		p.forceFirstClaim(n, e)
	}
	for _, effect := range slices.Clone(n.core.Step(now, e)) {
		switch e := effect.(type) {
		case Send:
			p.deliver(n, e.Address, e.Message)
		case TicketRequested:
			p.grantTicket(n, e)
		case TokensDecided:
			p.handleAnswer(n, e)
		case LeaseChanged:
			if e.Held && p.startsFull {
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

// grantTicket simulates the store: one ticket of a shard at a time, and occasionally no answer.
func (p *simulation) grantTicket(n *simNode, e TicketRequested) {
	slowest := 20 * time.Millisecond
	if p.rand.IntN(8) == 0 {
		slowest = 450 * time.Millisecond
	}
	p.after(p.between(time.Millisecond, slowest), func() {
		if p.now.Before(p.tickets[e.Shard]) && !p.grantsAllTickets || p.rand.IntN(10) == 0 {
			return
		}
		p.tickets[e.Shard] = p.now.Add(e.Lasts)
		p.after(p.between(time.Millisecond, slowest), func() {
			p.step(n, TicketGranted{Shard: e.Shard, Number: e.Number})
		})
	})
}

// deliver delivers a message, occasionally late or twice, or loses it.
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
					p.step(to, MessageReceived{Message: m})
				}
			}
		})
	}
}

// sendRequests sends a tenant's next request through a random node, and schedules the one after it.
func (p *simulation) sendRequests(tenant string) {
	live := p.liveNodes()
	if len(live) > 0 {
		n := live[p.rand.IntN(len(live))]
		if !n.frozen && !n.noRequests && (n.noNewsSince.IsZero() || p.now.Sub(n.noNewsSince) < simProofWithin) {
			p.number++
			a := p.drawRequest(tenant)
			p.pending[p.number] = a
			p.step(n, TokensRequested{Number: p.number, Tenant: tenant, Amount: a.class.amount, Rank: a.class.rank, Fingerprint: a.fingerprint, MaxRetryWait: a.class.maxWait, Patience: simPatience})
		}
	}
	mean := simTokens / (p.limits[tenant].Rate * p.demand[tenant])
	p.after(time.Duration(mean*p.rand.ExpFloat64()*float64(time.Second)), func() { p.sendRequests(tenant) })
}

// handleAnswer uses granted tokens at a random time within their lifetime, or returns some.
func (p *simulation) handleAnswer(n *simNode, e TokensDecided) {
	a := p.pending[e.Number]
	delete(p.pending, e.Number)
	p.recordAnswer(a, e)
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
		p.step(n, TokensReturned{Number: e.Number, Tenant: e.Tenant})
		return
	}
	wait := time.Duration(0)
	if p.rand.IntN(3) == 0 || p.usesExpiredTokens {
		wait = p.between(0, n.core.cfg.Lifetime)
		if p.usesExpiredTokens {
			wait = simWindow - time.Duration(p.now.UnixNano())%simWindow
		}
	}
	p.after(wait, func() {
		expired := p.now.Add(n.skew).Sub(e.AskedAt) > n.core.cfg.Lifetime
		if n.dead || n.frozen || expired && !p.usesExpiredTokens {
			return
		}
		p.uses[e.Tenant] = append(p.uses[e.Tenant], tokenUse{at: p.now, amount: e.Amount})
	})
}

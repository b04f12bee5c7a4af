package lending

import (
	"maps"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// Core is the state machine of one node as lender, voter and borrower. It is not safe for
// concurrent use.
type Core struct {
	cfg       Config
	now       time.Time
	startedAt time.Time
	limits    map[string]Limit
	// peers by machine, and machines by node ID.
	peers           map[string]candidate
	machines        map[cluster.NodeID]string
	shards          [Shards]*shard
	pendingRequests map[int64]*pendingRequest
	lastNumber      int64
	// unanswered counts the requests without an answer since the last message from any node.
	unanswered int
	// probeAt is when an isolated node next checks its connectivity.
	probeAt  time.Time
	stopping bool
	// hasPredecessor is set if the store held a record of an earlier process of this machine;
	// olderNodeSeen if some node has run for longer than a lease.
	hasPredecessor, olderNodeSeen bool
	// provenAt is when this node's settings were last proven to be in force.
	provenAt time.Time
	// tallies count the decisions of this node as a lender.
	tallies map[tallyID]*[outcomeCount]int64
	effects []Effect
}

// New returns a core that knows no other nodes.
func New(cfg Config) *Core {
	c := &Core{cfg: cfg.WithDefaults(), pendingRequests: map[int64]*pendingRequest{}, tallies: map[tallyID]*[outcomeCount]int64{}}
	for i := range c.shards {
		c.shards[i] = &shard{core: c, number: i}
	}
	return c
}

// Step handles one event and returns the effects, which are valid until the next Step.
func (c *Core) Step(now time.Time, e Event) []Effect {
	if c.startedAt.IsZero() {
		// Starting from the clock keeps votes for an earlier process of the machine from counting
		// for this process.
		c.startedAt, c.lastNumber = now, now.UnixNano()
	}
	c.now = now
	c.effects = c.effects[:0]
	for _, s := range c.shards {
		s.expire()
	}
	switch e := e.(type) {
	case PeersChanged:
		c.setPeers(e)
	case LimitsChanged:
		c.limits = e.Limits
		c.forgetTallies()
		for _, s := range c.shards {
			s.limitsChanged()
		}
	case TokensRequested:
		c.handleTokensRequested(e)
	case TokensReturned:
		c.handleTokensReturned(e)
	case MessageReceived:
		c.handleMessage(e.Message)
	case SettingsProven:
		c.provenAt = e.At
	case TicketGranted:
		c.applyTicket(e)
	case Stopping:
		c.stopping = true
		for _, s := range c.shards {
			s.releaseLease()
		}
	}
	for _, s := range c.shards {
		s.tick()
	}
	c.retryPending()
	c.probeIsolation()
	return c.effects
}

// NextDue returns when the next Tick is due, zero for never.
func (c *Core) NextDue() time.Time {
	var next time.Time
	consider := func(at time.Time) {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	for _, s := range c.shards {
		consider(s.due())
	}
	for _, a := range c.pendingRequests {
		consider(a.retryAt)
	}
	if c.Isolated() {
		consider(c.probeAt)
	}
	return next
}

// ShardsLent returns the number of shards that this node lent for at the last step.
func (c *Core) ShardsLent() int {
	count := 0
	for _, s := range c.shards {
		if s.lends() {
			count++
		}
	}
	return count
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) send(address string, m wire.Message) {
	if address != "" {
		c.emit(Send{Address: address, Message: m})
	}
}

// proofIsFresh reports whether the proof that this node's settings are in force is recent enough.
func (c *Core) proofIsFresh() bool {
	return c.cfg.ProofWithin == 0 || c.now.Sub(c.provenAt) < c.cfg.ProofWithin
}

// active reports whether there are limits to lend for and the node is not stopping.
func (c *Core) active() bool { return len(c.limits) > 0 && !c.stopping }

// setPeers replaces the live nodes; this node is always among them.
func (c *Core) setPeers(e PeersChanged) {
	previous := c.peers
	c.peers = make(map[string]candidate, len(e.Peers)+1)
	c.machines = make(map[cluster.NodeID]string, len(e.Peers)+1)
	for _, p := range append(slices.Clone(e.Peers), c.cfg.Self) {
		peer, wasKnown := previous[p.Machine]
		if !wasKnown {
			peer = newCandidate(p)
		}
		peer.Peer = p
		if other, listed := c.peers[p.Machine]; listed {
			delete(c.machines, other.ID)
		}
		c.peers[p.Machine] = peer
		c.machines[p.ID] = p.Machine
	}
	all := slices.Collect(maps.Values(c.peers))
	predecessorFound := e.HasPredecessor && !c.hasPredecessor
	c.hasPredecessor = c.hasPredecessor || e.HasPredecessor
	for _, s := range c.shards {
		s.votersChanged(selectVoters(s.number, all))
		if predecessorFound && !s.lendsOrClaims() {
			s.scheduleClaim()
		}
	}
}

// Isolated reports whether this node is isolated: its requests get no answers. A node that has just
// started is not considered isolated, since the others may not have started.
func (c *Core) Isolated() bool {
	return c.active() && c.unanswered >= isolationThreshold && !c.startedRecently()
}

// probeIsolation has an isolated node send voters requests for no tokens until one answers.
func (c *Core) probeIsolation() {
	if !c.Isolated() || c.now.Before(c.probeAt) {
		return
	}
	c.probeAt = c.now.Add(isolationProbeInterval)
	tenant := slices.Min(slices.Collect(maps.Keys(c.limits)))
	to := c.shards[shardOf(tenant)].nextVoter()
	c.send(to.address, wire.TokensRequest{From: c.cfg.Self.ID, FromAddress: c.cfg.Self.Address, Tenant: tenant})
}

// handleMessage handles a message from another node.
func (c *Core) handleMessage(message wire.Message) {
	c.unanswered = 0
	switch m := message.(type) {
	case wire.LenderClaim:
		if m.Shard >= 0 && m.Shard < Shards {
			c.shards[m.Shard].handleClaim(&m)
		}
	case wire.LenderVote:
		if m.Shard >= 0 && m.Shard < Shards {
			c.shards[m.Shard].handleVote(&m)
		}
	case wire.TokensRequest:
		c.handleTokensRequest(&m)
	case wire.TokensAnswer:
		c.handleTokensAnswer(&m)
	}
}

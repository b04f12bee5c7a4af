package lending

import (
	"maps"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// Core lends, votes and borrows for one node; it is not safe for concurrent use.
type Core struct {
	cfg       Config
	now       time.Time
	startedAt time.Time
	limits    map[string]Limit
	// peers by machine, and machines by node.
	peers    map[string]candidate
	machines map[cluster.NodeID]string
	shards   [Shards]*shard
	asks     map[int64]*ask
	numbers  int64
	// unheard counts the questions that got no answer since the last message of any node.
	unheard int
	// probeAt is when a deaf node asks next whether it still is.
	probeAt  time.Time
	stopping bool
	// succeeds is set when there is a record of an earlier process of this machine, and older
	// when some node is known to have run for longer than a promise lasts.
	succeeds, older bool
	// provenAt is when this node knew last what was in force.
	provenAt time.Time
	// tallies count what this node decided as a lender.
	tallies map[tallyID]*[outcomes]int64
	effects []Effect
}

// New returns a core that knows no other node.
func New(cfg Config) *Core {
	c := &Core{cfg: cfg.WithDefaults(), asks: map[int64]*ask{}, tallies: map[tallyID]*[outcomes]int64{}}
	for i := range c.shards {
		c.shards[i] = &shard{core: c, number: i}
	}
	return c
}

// Step takes one event and returns the effects, valid until the next Step.
func (c *Core) Step(now time.Time, e Event) []Effect {
	if c.startedAt.IsZero() {
		// Votes for an earlier process of the machine are no votes for this one.
		c.startedAt, c.numbers = now, now.UnixNano()
	}
	c.now = now
	c.effects = c.effects[:0]
	for _, s := range c.shards {
		s.expire()
	}
	switch e := e.(type) {
	case PeersChanged:
		c.peersChanged(e)
	case LimitsChanged:
		c.limits = e.Limits
		c.forgetTallies()
		for _, s := range c.shards {
			s.limitsChanged()
		}
	case Asked:
		c.asked(e)
	case Returned:
		c.giveBack(e)
	case Received:
		c.received(e.Message)
	case Proven:
		c.provenAt = e.At
	case TicketGranted:
		c.ticketGranted(e)
	case Stopping:
		c.stopping = true
		for _, s := range c.shards {
			s.release()
		}
	}
	for _, s := range c.shards {
		s.tick()
	}
	c.tickAsks()
	c.probe()
	return c.effects
}

// NextDue returns when the next Tick has something to do, zero for never.
func (c *Core) NextDue() time.Time {
	var next time.Time
	note := func(at time.Time) {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	for _, s := range c.shards {
		note(s.due())
	}
	for _, a := range c.asks {
		note(a.nextAt)
	}
	if c.Deaf() {
		note(c.probeAt)
	}
	return next
}

// ShardsLent counts the shards that this node lends for, as of the last step.
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

// proven reports whether this node knows well enough what is in force.
func (c *Core) proven() bool {
	return c.cfg.ProofWithin == 0 || c.now.Sub(c.provenAt) < c.cfg.ProofWithin
}

// active reports whether there is anything to lend.
func (c *Core) active() bool { return len(c.limits) > 0 && !c.stopping }

// peersChanged takes the live nodes, this one among them.
func (c *Core) peersChanged(e PeersChanged) {
	before := c.peers
	c.peers = make(map[string]candidate, len(e.Peers)+1)
	c.machines = make(map[cluster.NodeID]string, len(e.Peers)+1)
	for _, p := range append(slices.Clone(e.Peers), c.cfg.Self) {
		known, weighed := before[p.Machine]
		if !weighed {
			known = newCandidate(p)
		}
		known.Peer = p
		if other, listed := c.peers[p.Machine]; listed {
			delete(c.machines, other.ID)
		}
		c.peers[p.Machine] = known
		c.machines[p.ID] = p.Machine
	}
	all := slices.Collect(maps.Values(c.peers))
	newly := e.Succeeds && !c.succeeds
	c.succeeds = c.succeeds || e.Succeeds
	for _, s := range c.shards {
		s.votersChanged(votersOf(s.number, all))
		if newly && !s.lendsOrClaims() {
			s.planClaim()
		}
	}
}

// Deaf reports whether this node is cut off from those that lend. One that has just started
// does not know: others may not have.
func (c *Core) Deaf() bool { return c.active() && c.unheard >= deafAfter && !c.young() }

// probe has a deaf node ask voters for nothing, until one answers.
func (c *Core) probe() {
	if !c.Deaf() || c.now.Before(c.probeAt) {
		return
	}
	c.probeAt = c.now.Add(probeEvery)
	tenant := slices.Min(slices.Collect(maps.Keys(c.limits)))
	to := c.shards[shardOf(tenant)].nextVoter()
	c.send(to.address, wire.TokensRequest{From: c.cfg.Self.ID, FromAddress: c.cfg.Self.Address, Tenant: tenant})
}

// received takes a message of another node.
func (c *Core) received(message wire.Message) {
	c.unheard = 0
	switch m := message.(type) {
	case wire.LenderClaim:
		if m.Shard >= 0 && m.Shard < Shards {
			c.shards[m.Shard].claimed(&m)
		}
	case wire.LenderVote:
		if m.Shard >= 0 && m.Shard < Shards {
			c.shards[m.Shard].voted(&m)
		}
	case wire.TokensRequest:
		c.tokensRequested(&m)
	case wire.TokensAnswer:
		c.tokensAnswered(&m)
	}
}

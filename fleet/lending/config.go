package lending

import (
	"cmp"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Shards is the number of shards of tenants. All nodes must use the same number, or two nodes would
// lend to one tenant. With 4, the voters of a shard cost 20 messages a second each, and at 2,100
// requests a second each lender is asked 525 times a second.
const Shards = 4

// maxVoters is the number of voters of a shard; with 5, two may be unavailable.
const maxVoters = 5

// Defaults of Config.
const (
	// defaultLease bounds the time without a lender after a lender fails; three renewals may be
	// late or lost.
	defaultLease = 700 * time.Millisecond
	// defaultLifetime leaves time for a queue, a new connection and a slow machine between the
	// question and the request; a limit of R a second may be exceeded by R times the lifetime.
	defaultLifetime = 400 * time.Millisecond
	// defaultWindow is the length of the window over which limits are enforced; tokens that are used
	// at the end of defaultLifetime exceed the grant of a window by at most 4%.
	defaultWindow = 10 * time.Second
)

const (
	// renewalsPerLease is how often a lender renews within a lease, so that three renewals may
	// be late or lost.
	renewalsPerLease = 3.5
	// clockDriftMargin is subtracted from the lender's own lease, because the clocks of the
	// lender and its voters may run at different speeds.
	clockDriftMargin = 50 * time.Millisecond
	// claimRankDelay is the additional delay of each further voter before it claims a shard without
	// a lender: two round trips within a region, so that usually one voter claims.
	claimRankDelay = 80 * time.Millisecond
	// claimTimeout bounds the wait for votes. A claim without a majority then releases the promises
	// that it received; otherwise concurrent claims could repeatedly deny each other a majority.
	claimTimeout = 150 * time.Millisecond
	// viewOverlap is how long an earlier voter set still counts: longer than a node may send
	// requests without a proof that its settings are in force.
	viewOverlap = 5 * time.Second
	// outdatedViewGrace is how long voters accept renewals by a lender that does not know their newer
	// view. It is shorter than viewOverlap, so that it ends before a majority of the newer view
	// alone can elect another lender.
	outdatedViewGrace = 3 * time.Second
	// maxEarlierVoterSets bounds the earlier voter sets that count.
	maxEarlierVoterSets = 32
	// lenderAnswerTimeout is how long a lender may take to answer; then a voter is asked who the
	// lender is.
	lenderAnswerTimeout = 60 * time.Millisecond
	// noLenderRetryDelay is the delay after the answer that there is no lender, short enough for
	// several attempts within RequestTimeout.
	noLenderRetryDelay = 40 * time.Millisecond
	// startupRetryDelay replaces noLenderRetryDelay on a node that has just started, where many
	// callers wait for the first lender: 250 callers ask 3,000 times a second.
	startupRetryDelay = 80 * time.Millisecond
	// firstLenderMargin is added to one lease after a node's start to give the time by which a
	// lender is expected if all nodes have just started: it covers the spread of the starts after a
	// common power loss and a claim of each of three voters.
	firstLenderMargin = 300 * time.Millisecond
	// RequestTimeout is how long a request waits for its tokens, except on a node that has just
	// started. Replacing a failed lender takes longer: waiting for its successor would cost each
	// request 0.7 s, and save a twentieth of them a second attempt.
	RequestTimeout = 350 * time.Millisecond
	// isolationThreshold is the number of unanswered questions, without a message from any other
	// node in between, after which a node considers itself isolated. It then reports immediately
	// that it found no lender, and keeps asking.
	isolationThreshold = 3
	// isolationProbeInterval is how often an isolated node checks its connectivity itself: a node
	// that is not ready gets no callers whose questions would show it.
	isolationProbeInterval = 500 * time.Millisecond
	// maxRetryDelay bounds the delay that callers without a reservation are told, so that it does
	// not grow for as long as a flood lasts.
	maxRetryDelay = 30 * time.Second
	// burstDuration is how much of the limit, in time, a bucket holds in addition to its share of
	// the slack. Beside a network partition, 2.1% of the requests of tenants below their limits are
	// refused with 250 ms, and 0.8% with 500 ms.
	burstDuration = 500 * time.Millisecond
	// bucketSlackShare is the share of the slack by which bucket capacities grow; the rest is for
	// successors. With requests of 1,540 tokens and a limit of 24,000 a second, 12 may come at once.
	bucketSlackShare = 0.6
	// slackRefillShare of the slack in a bucket's capacity, and at most maxExtraRefillShare of the
	// window's grant, refills in addition to the grant. It makes up for tokens that are lent and
	// not used, and for room that is saved for a large request. Without it a tenant that
	// floods gets 0.97 of its window.
	slackRefillShare    = 0.35
	maxExtraRefillShare = 0.02
	// minCapacityShare of the intended capacity is kept if the allowance does not suffice; the
	// refill rate is reduced instead.
	minCapacityShare = 0.9
	// minSuccessorShare is the least share of the allowance beyond a limit that is left for
	// successors, so that they can lend at once although their buckets start empty.
	minSuccessorShare = 0.12
	// maxSavedShare bounds the share of a bucket that a request and the room saved for other classes
	// may take together, so that small requests continue while room is saved.
	maxSavedShare = 0.7
	// initialCreditShare is the share of the successors' allowance that a successor gets at the
	// start if the shard's lender has not changed for minSettledShare of a window, so that at most
	// two such credits fall into one window.
	initialCreditShare = 0.125
	minSettledShare    = 0.5
	// ticketCreditShare is the share of the successors' allowance that a successor gets with the
	// ticket of its shard, of which there is one in a window: together with two of
	// initialCreditShare it uses three quarters of that allowance, and a third credit still fits.
	ticketCreditShare = 0.5
	// ticketExpiryMargin is added to the lifetime of a ticket: its answer may arrive 0.9 s after the
	// store accepted it, and tokens that were lent because of it are used after that.
	ticketExpiryMargin = 2 * time.Second
)

// Peer is a live node.
type Peer struct {
	ID cluster.NodeID
	// Machine is the machine that the node runs on; it stays the same when the node restarts.
	Machine string
	// Address, host:port, receives the messages of other nodes.
	Address  string
	Zone     cluster.ZoneID
	Capacity float64
}

// Limit is a tenant's limit: Rate in units a second, and Burst in units that may be used in addition
// within a window.
type Limit struct{ Rate, Burst float64 }

// bucketParams are the parameters of a tenant's token bucket: the refill rate in units a second,
// the capacity in units, and the window of the limit.
type bucketParams struct {
	rate, capacity float64
	window         time.Duration
}

// Config configures a Core; a zero field takes its default.
type Config struct {
	Self Peer
	// Window is the time over which limits are enforced. Within one window, Overrun as a share of
	// the grant and Slack units may be used in addition. Default 10 s, and nothing in addition.
	Window         time.Duration
	Overrun, Slack float64
	// Lease is how long a voter's promise lasts. Default 700 ms.
	Lease time.Duration
	// ProofWithin is how old the proof that this node's settings are in force may be while the
	// node lends; zero requires no proof.
	ProofWithin time.Duration
	// Lifetime is how long after the question granted tokens may be used. Default 400 ms.
	Lifetime time.Duration
}

// WithDefaults returns the configuration with zero fields replaced by their defaults.
func (c Config) WithDefaults() Config {
	c.Window = cmp.Or(c.Window, defaultWindow)
	c.Lease = cmp.Or(c.Lease, defaultLease)
	c.Lifetime = cmp.Or(c.Lifetime, defaultLifetime)
	return c
}

// windowGrant returns the units that a tenant may use in a window.
func (c *Config) windowGrant(l Limit) float64 { return l.Rate*c.Window.Seconds() + l.Burst }

// allowance returns the units that a window may contain beyond its grant.
func (c *Config) allowance(l Limit) float64 { return c.Overrun*c.windowGrant(l) + c.Slack }

// bucketParams divides the units that a window may contain into refill and capacity. The whole grant
// refills evenly; the capacity comes from the allowance as far as that suffices. Tokens are used
// up to their lifetime after they were lent, so a window may contain the refill of that time too.
func (c *Config) bucketParams(l Limit) bucketParams {
	granted, slack := c.windowGrant(l), c.Slack*bucketSlackShare
	window, windowAndLifetime := c.Window.Seconds(), (c.Window + c.Lifetime).Seconds()
	rate := (granted + min(slackRefillShare*slack, maxExtraRefillShare*granted)) / window
	maxUnits := granted + (1-minSuccessorShare)*c.allowance(l)
	capacity := min(l.Burst, l.Rate*burstDuration.Seconds()) + slack
	capacity = min(capacity, max(maxUnits-rate*windowAndLifetime, minCapacityShare*capacity))
	return bucketParams{rate: max(min(rate, (maxUnits-capacity)/windowAndLifetime), 0), capacity: capacity, window: c.Window}
}

// successorCredit returns the units that a successor may lend at once: the given share of the
// allowance that refill and capacity leave.
func (c *Config) successorCredit(l Limit, share float64) float64 {
	f := c.bucketParams(l)
	remaining := c.windowGrant(l) + c.allowance(l) - f.capacity - f.rate*(c.Window+c.Lifetime).Seconds()
	return min(max(remaining*share, 0), f.capacity)
}

// TicketDuration returns how long a shard's ticket stays taken.
func (c *Config) TicketDuration() time.Duration { return c.Window + c.Lifetime + ticketExpiryMargin }

package lending

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// shard is what a node knows and does of one shard: as a voter, as its lender, and as one of
// those that ask for tokens.
type shard struct {
	core   *Core
	number int
	// voters are the present ones, earlier those that still count.
	voters  voterSet
	earlier []voterSet

	promised promise
	// claimAt is when this node, as a voter, claims the shard unless somebody lends.
	claimAt time.Time
	claim   claim
	// held is set while this node lends, until a time.
	held    bool
	until   time.Time
	buckets map[string]*bucket
	// loans are what was lent lately.
	loans loans

	// lender is who lent last, as far as is known, and next the voter to ask for it.
	lender lender
	next   int
}

// promise is a voter's: nobody else is let lend.
type promise struct {
	to      cluster.NodeID
	address string
	until   time.Time
	// since is when the shard was first promised to that node, or to nobody.
	since time.Time
	// number of the newest claim.
	number int64
}

// lender is a node and where it takes messages.
type lender struct {
	id      cluster.NodeID
	address string
}

// claim is a round of questions to the voters.
type claim struct {
	number int64
	sentAt time.Time
	// votes by machine, each with for how long the shard had been settled.
	votes map[string]time.Duration
	// won is set once there are enough of them.
	won bool
}

// lends reports whether this node lends now.
func (s *shard) lends() bool {
	return s.held && s.core.now.Before(s.until) && s.core.proven()
}

// rank is this node's place among the voters, negative for none.
func (s *shard) rank() int { return slices.Index(s.voters.machines, s.core.cfg.Self.Machine) }

// votersChanged takes the voters by the present view.
func (s *shard) votersChanged(machines []string) {
	if slices.Equal(machines, s.voters.machines) {
		return
	}
	if len(s.voters.machines) > 0 {
		s.keepEarlier(s.voters, viewOverlap)
	}
	s.voters = newVoterSet(machines, s.core.now)
	s.next = 0
	s.planClaim()
}

// keepEarlier has a set of voters count for a while that is not the present one.
func (s *shard) keepEarlier(set voterSet, lasts time.Duration) {
	set.until = s.core.now.Add(lasts)
	s.earlier = append(s.earlier, set)
	if len(s.earlier) > maxEarlier {
		s.earlier = s.earlier[1:]
	}
}

// sets lists the digests of all sets that count.
func (s *shard) sets() []int64 {
	digests := []int64{s.voters.digest}
	for i := range s.earlier {
		digests = append(digests, s.earlier[i].digest)
	}
	return digests
}

// expire ends what is over.
func (s *shard) expire() {
	now := s.core.now
	s.earlier = slices.DeleteFunc(s.earlier, func(v voterSet) bool { return !now.Before(v.until) })
	if s.held && !now.Before(s.until) {
		s.lost()
	}
}

// lost ends to lend.
func (s *shard) lost() {
	s.held, s.buckets, s.loans, s.claim = false, nil, loans{}, claim{}
	s.core.emit(LeaseChanged{Shard: s.number})
	s.planClaim()
}

// planClaim plans to claim the shard once nobody can be lending any more.
func (s *shard) planClaim() {
	s.claimAt = time.Time{}
	rank := s.rank()
	if rank < 0 || s.held {
		return
	}
	from := s.core.startedAt.Add(s.core.cfg.Lease)
	for _, at := range []time.Time{s.promised.until, s.core.now} {
		if at.After(from) {
			from = at
		}
	}
	s.claimAt = from.Add(time.Duration(rank) * candidateStep)
}

// due is when the shard has something to do, zero for never.
func (s *shard) due() time.Time {
	if !s.core.active() {
		return time.Time{}
	}
	if s.held {
		return earliest(s.renewAt(), s.until)
	}
	if s.claiming() {
		return s.claim.sentAt.Add(claimPatience)
	}
	return s.claimAt
}

// claiming reports whether a claim is under way that has not won.
func (s *shard) claiming() bool { return !s.held && s.claim.number != 0 && !s.claim.won }

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// renewAt is when a lender asks its voters again.
func (s *shard) renewAt() time.Time {
	return s.claim.sentAt.Add(time.Duration(float64(s.core.cfg.Lease) / renewalsPerLease))
}

// tick renews the lease, or claims the shard.
func (s *shard) tick() {
	now := s.core.now
	switch {
	case !s.core.active():
	case s.claiming() && !now.Before(s.claim.sentAt.Add(claimPatience)):
		s.giveUpClaim()
	case s.held && !now.Before(s.renewAt()):
		s.ask()
	case !s.held && !s.claiming() && !s.claimAt.IsZero() && !now.Before(s.claimAt):
		s.claimAt = time.Time{}
		s.ask()
	}
}

// giveUpClaim ends a claim that found no majority, and gives what was promised back. The
// next one comes after a pause that differs by node and claim.
func (s *shard) giveUpClaim() {
	number := s.claim.number
	s.claim = claim{}
	s.tellRelease(number)
	s.planClaim()
	if !s.claimAt.IsZero() {
		s.claimAt = s.claimAt.Add(candidateStep + time.Duration(jitter(s.core.cfg.Self.ID, number)*float64(maxVoters*candidateStep)))
	}
}

// jitter is a number from 0 to 1 that differs by node and claim.
func jitter(id cluster.NodeID, number int64) float64 {
	const steps = 1 << 16
	return float64(xxhash.Sum64String(string(id)+strconv.FormatInt(number, 10))%steps) / steps
}

// ask begins a round: all voters of all sets that count are asked.
func (s *shard) ask() {
	c := s.core
	c.numbers++
	s.claim = claim{number: c.numbers, sentAt: c.now, votes: map[string]time.Duration{}}
	message := wire.LenderClaim{From: c.cfg.Self.ID, FromAddress: c.cfg.Self.Address, Shard: s.number, Number: c.numbers, Sets: s.sets()}
	for _, machine := range s.electorate() {
		if machine == c.cfg.Self.Machine {
			continue
		}
		c.send(c.peers[machine].Address, message)
	}
	if granted, settled := s.promise(c.cfg.Self.ID, c.cfg.Self.Address, c.numbers); granted {
		s.count(c.cfg.Self.Machine, settled)
	}
}

// electorate lists the machines of all sets that count.
func (s *shard) electorate() []string {
	machines := slices.Clone(s.voters.machines)
	for i := range s.earlier {
		machines = append(machines, s.earlier[i].machines...)
	}
	slices.Sort(machines)
	return slices.Compact(machines)
}

// claimed answers another node's claim.
func (s *shard) claimed(m *wire.LenderClaim) {
	if m.Release {
		if s.promised.to == m.From && s.promised.number <= m.Number {
			s.promised = promise{since: s.promised.since}
			s.planClaim()
		}
		return
	}
	vote := wire.LenderVote{From: s.core.cfg.Self.ID, Machine: s.core.cfg.Self.Machine, Shard: s.number, Number: m.Number}
	vote.Missing, vote.MissingFor = s.missing(m)
	if len(vote.Missing) == 0 {
		vote.Granted, vote.Settled = s.promise(m.From, m.FromAddress, m.Number)
	}
	if vote.Granted {
		s.lender = lender{id: m.From, address: m.FromAddress}
		s.planClaim()
	}
	s.core.send(m.FromAddress, vote)
}

// missing returns a set of voters that counts here and that a claim leaves out, so that
// whoever an earlier view let lend would not be noticed; a node that has just started knows
// no earlier ones. The lender by an earlier view goes on for a while. How long the set counts
// is told with it: nodes that learn it from each other would keep it for ever otherwise.
func (s *shard) missing(m *wire.LenderClaim) ([]string, time.Duration) {
	renewal := s.promised.to == m.From && s.core.now.Before(s.promised.until)
	present := s.voters
	present.until = s.core.now.Add(viewOverlap)
	for _, set := range append(slices.Clone(s.earlier), present) {
		if slices.Contains(m.Sets, set.digest) || renewal && s.core.now.Sub(set.since) < viewLag {
			continue
		}
		return set.machines, set.until.Sub(s.core.now)
	}
	return nil, 0
}

// promise promises the shard to a node unless another one has it, and says for how long that
// did not change before.
func (s *shard) promise(to cluster.NodeID, address string, number int64) (granted bool, settled time.Duration) {
	c := s.core
	if c.now.Before(c.startedAt.Add(c.cfg.Lease)) {
		return false, 0
	}
	if s.promised.to != to && c.now.Before(s.promised.until) {
		return false, 0
	}
	since := s.promised.since
	if since.Before(c.startedAt) {
		since = c.startedAt
	}
	settled = c.now.Sub(since)
	if s.promised.to != to {
		s.promised = promise{to: to, since: c.now}
	}
	s.promised.address, s.promised.until, s.promised.number = address, c.now.Add(c.cfg.Lease), number
	return true, settled
}

// voted takes a voter's answer.
func (s *shard) voted(m *wire.LenderVote) {
	if m.Number != s.claim.number {
		return
	}
	if len(m.Missing) > 0 {
		s.learn(m.Missing, m.MissingFor)
		return
	}
	if m.Granted {
		s.count(m.Machine, m.Settled)
	}
}

// learn has a set of voters count that another node goes by, and claims again with it soon.
func (s *shard) learn(machines []string, lasts time.Duration) {
	set := newVoterSet(machines, s.core.now)
	if slices.Contains(s.sets(), set.digest) {
		return
	}
	s.keepEarlier(set, min(lasts, viewOverlap))
	if !s.held {
		s.claim, s.claimAt = claim{}, s.core.now
	}
}

// count counts a vote. With a majority of each set the lease lasts from when the voters were
// asked.
func (s *shard) count(machine string, settled time.Duration) {
	s.claim.votes[machine] = settled
	if s.claim.won || !s.voters.isMajority(s.claim.votes) {
		return
	}
	for i := range s.earlier {
		if !s.earlier[i].isMajority(s.claim.votes) {
			return
		}
	}
	until := s.claim.sentAt.Add(s.core.cfg.Lease - leaseMargin)
	if !s.core.now.Before(until) || s.core.stopping {
		return
	}
	s.claim.won, s.until = true, until
	if !s.held {
		s.begin()
	}
}

// begin begins to lend, with empty buckets but for a credit where lenders have not changed
// for a while.
func (s *shard) begin() {
	c := s.core
	s.held, s.claimAt = true, time.Time{}
	s.lender = lender{id: c.cfg.Self.ID, address: c.cfg.Self.Address}
	settled := c.cfg.Window
	for _, voted := range s.claim.votes {
		settled = min(settled, voted)
	}
	s.buckets = map[string]*bucket{}
	for tenant, l := range c.limits {
		if shardOf(tenant) != s.number {
			continue
		}
		b := &bucket{filledAt: c.now}
		if settled >= c.cfg.Window/creditParts {
			b.level = c.cfg.credit(l)
		}
		s.buckets[tenant] = b
	}
	c.emit(LeaseChanged{Shard: s.number, Held: true, Settled: settled})
}

// limitsChanged adds buckets of new tenants, empty, and drops those of removed ones.
func (s *shard) limitsChanged() {
	if !s.held {
		s.planClaim()
		return
	}
	for tenant := range s.buckets {
		if _, limited := s.core.limits[tenant]; !limited {
			delete(s.buckets, tenant)
		}
	}
	for tenant, l := range s.core.limits {
		if s.buckets[tenant] == nil && shardOf(tenant) == s.number {
			s.buckets[tenant] = &bucket{filledAt: s.core.now, level: s.core.cfg.credit(l)}
		}
	}
}

// release gives the shard up.
func (s *shard) release() {
	if !s.held {
		return
	}
	s.tellRelease(s.claim.number)
	s.lost()
}

// tellRelease gives back what was promised to this node by the claims up to a number.
func (s *shard) tellRelease(number int64) {
	c := s.core
	message := wire.LenderClaim{From: c.cfg.Self.ID, FromAddress: c.cfg.Self.Address, Shard: s.number, Number: number, Release: true}
	for _, machine := range s.electorate() {
		if machine != c.cfg.Self.Machine {
			c.send(c.peers[machine].Address, message)
		}
	}
	if s.promised.to == c.cfg.Self.ID {
		s.promised = promise{since: s.promised.since}
	}
}

package lending

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// shard is the state of one shard at a node, in its roles as voter, lender and borrower.
type shard struct {
	core   *Core
	number int
	// voters are the current voters; earlier are former voter sets that still count.
	voters  voterSet
	earlier []voterSet

	promised promise
	// claimAt is when this node, as a voter, claims the shard if it has no lender; zero for never.
	claimAt time.Time
	claim   claim
	// isLender is set while this node holds the lease, which lasts until leaseUntil.
	isLender   bool
	leaseUntil time.Time
	// ticketNumber is the number of the outstanding ticket request, zero for none.
	ticketNumber int64
	buckets      map[string]*bucket
	// loans are the recent loans.
	loans loans

	// knownLender is the last known lender; voterCursor selects the voter to ask who lends.
	knownLender lender
	voterCursor int
}

// promise is a voter's commitment to grant the shard to no other node.
type promise struct {
	node    cluster.NodeID
	address string
	until   time.Time
	// since is when the shard was first promised to the current node, or released.
	since time.Time
	// number of the newest claim that was granted.
	number int64
}

// lender is a node and the address that receives its messages.
type lender struct {
	id      cluster.NodeID
	address string
}

// claim is a round of vote requests.
type claim struct {
	number int64
	sentAt time.Time
	// votes by machine; each value is how long the shard had been settled at that voter.
	votes map[string]time.Duration
	// isFirst is set if all nodes seem to have just started and all are asked; those without an
	// answer are asked again at resendAt.
	isFirst  bool
	resendAt time.Time
	// won is set once the claim has enough votes.
	won bool
}

// lends reports whether this node may lend now: it holds the lease and its proof is fresh.
func (s *shard) lends() bool {
	return s.isLender && s.core.now.Before(s.leaseUntil) && s.core.proofIsFresh()
}

// voterRank returns this node's index among the voters, -1 if it is none.
func (s *shard) voterRank() int { return slices.Index(s.voters.machines, s.core.cfg.Self.Machine) }

// votersChanged replaces the current voters; the former ones still count for viewOverlap.
func (s *shard) votersChanged(machines []string) {
	if slices.Equal(machines, s.voters.machines) {
		return
	}
	if len(s.voters.machines) > 0 {
		s.addEarlierVoters(s.voters, viewOverlap)
	}
	s.voters = newVoterSet(machines, s.core.now)
	s.voterCursor = 0
	s.scheduleClaim()
}

// addEarlierVoters makes a voter set count for a while in addition to the current one.
func (s *shard) addEarlierVoters(set voterSet, validFor time.Duration) {
	set.validUntil = s.core.now.Add(validFor)
	s.earlier = append(s.earlier, set)
	if len(s.earlier) > maxEarlierVoterSets {
		s.earlier = s.earlier[1:]
	}
}

// voterSetDigests returns the digests of all voter sets that count.
func (s *shard) voterSetDigests() []int64 {
	digests := []int64{s.voters.digest}
	for i := range s.earlier {
		digests = append(digests, s.earlier[i].digest)
	}
	return digests
}

// expire drops expired earlier voter sets, and ends an expired lease.
func (s *shard) expire() {
	now := s.core.now
	s.earlier = slices.DeleteFunc(s.earlier, func(v voterSet) bool { return !now.Before(v.validUntil) })
	if s.isLender && !now.Before(s.leaseUntil) {
		s.endLease()
	}
}

// endLease ends this node's lease and schedules a new claim.
func (s *shard) endLease() {
	s.isLender, s.buckets, s.loans, s.claim, s.ticketNumber = false, nil, loans{}, claim{}, 0
	s.core.emit(LeaseChanged{Shard: s.number})
	s.scheduleClaim()
}

// scheduleClaim sets claimAt to a time at which no other node can hold the lease.
func (s *shard) scheduleClaim() {
	s.claimAt = time.Time{}
	rank := s.voterRank()
	if rank < 0 || s.isLender {
		return
	}
	earliestClaim := s.core.startedAt.Add(s.core.cfg.Lease)
	if s.firstClaimAllowed() {
		earliestClaim = s.core.now
	}
	for _, at := range []time.Time{s.promised.until, s.core.now} {
		if at.After(earliestClaim) {
			earliestClaim = at
		}
	}
	s.claimAt = earliestClaim.Add(time.Duration(rank) * claimRankDelay)
}

// due returns when the shard next needs an action, zero for never.
func (s *shard) due() time.Time {
	if !s.core.active() {
		return time.Time{}
	}
	if s.isLender {
		return earliest(s.renewAt(), s.leaseUntil)
	}
	if s.claiming() {
		return s.claimDue()
	}
	return s.claimAt
}

// claiming reports whether a claim is under way that has not won.
func (s *shard) claiming() bool { return !s.isLender && s.claim.number != 0 && !s.claim.won }

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// renewAt returns when the lender sends its next renewal.
func (s *shard) renewAt() time.Time {
	return s.claim.sentAt.Add(time.Duration(float64(s.core.cfg.Lease) / renewalsPerLease))
}

// tick renews the lease, or starts, repeats or abandons a claim, as due.
func (s *shard) tick() {
	now := s.core.now
	switch {
	case !s.core.active():
	case s.claiming() && !now.Before(s.claimDeadline()):
		s.abandonClaim()
	case s.claiming() && s.claim.isFirst && !now.Before(s.claim.resendAt):
		s.resendClaim()
	case s.isLender && !now.Before(s.renewAt()):
		s.startClaim()
	case !s.isLender && !s.claiming() && !s.claimAt.IsZero() && !now.Before(s.claimAt):
		s.claimAt = time.Time{}
		s.startClaim()
	}
}

// startLending begins a lease. The buckets start empty, or with a credit if the lender has not
// changed for minSettledShare of a window.
func (s *shard) startLending() {
	c := s.core
	s.isLender, s.claimAt = true, time.Time{}
	s.knownLender = lender{id: c.cfg.Self.ID, address: c.cfg.Self.Address}
	settled := c.cfg.Window
	for _, settledAtVoter := range s.claim.votes {
		settled = min(settled, settledAtVoter)
	}
	s.buckets = map[string]*bucket{}
	for tenant, l := range c.limits {
		if shardOf(tenant) != s.number {
			continue
		}
		b := &bucket{filledAt: c.now}
		if settled >= time.Duration(minSettledShare*float64(c.cfg.Window)) {
			b.level = c.cfg.successorCredit(l, initialCreditShare)
		}
		s.buckets[tenant] = b
	}
	s.requestTicket()
	c.emit(LeaseChanged{Shard: s.number, Held: true, Settled: settled})
}

// limitsChanged adds buckets of new tenants, with only a credit, and drops those of removed tenants.
func (s *shard) limitsChanged() {
	if !s.isLender {
		s.scheduleClaim()
		return
	}
	for tenant := range s.buckets {
		if _, limited := s.core.limits[tenant]; !limited {
			delete(s.buckets, tenant)
		}
	}
	for tenant, l := range s.core.limits {
		if s.buckets[tenant] == nil && shardOf(tenant) == s.number {
			s.buckets[tenant] = &bucket{filledAt: s.core.now, level: s.core.cfg.successorCredit(l, initialCreditShare)}
		}
	}
}

// releaseLease releases the lease so that another node can lend at once.
func (s *shard) releaseLease() {
	if !s.isLender {
		return
	}
	s.sendRelease(s.claim.number)
	s.endLease()
}

package lending

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// abandonClaim ends a claim without a majority and releases the promises that it got. The next
// claim follows after a delay that differs by node and claim.
func (s *shard) abandonClaim() {
	number, wasFirst := s.claim.number, s.claim.isFirst
	s.sendRelease(number)
	s.claim = claim{}
	s.scheduleClaim()
	if !s.claimAt.IsZero() {
		s.claimAt = s.claimAt.Add(s.claimRetryDelay(number, wasFirst))
	}
}

// jitter returns a number in [0, 1) that depends on node and claim.
func jitter(id cluster.NodeID, number int64) float64 {
	const steps = 1 << 16
	return float64(xxhash.Sum64String(string(id)+strconv.FormatInt(number, 10))%steps) / steps
}

// startClaim starts a claim or renewal: it asks the voters of all voter sets that count.
func (s *shard) startClaim() {
	c := s.core
	c.lastNumber++
	s.claim = claim{
		number: c.lastNumber, sentAt: c.now, votes: map[string]time.Duration{},
		isFirst: !s.isLender && s.firstClaimAllowed(), resendAt: c.now.Add(firstClaimResendDelay),
	}
	message := s.claimMessage()
	s.sendClaim(&message)
	if granted, settled := s.grantPromise(&message); granted {
		s.countVote(c.cfg.Self.Machine, settled)
	}
}

// claimMessage returns the message of the current claim.
func (s *shard) claimMessage() wire.LenderClaim {
	self := &s.core.cfg.Self
	return wire.LenderClaim{
		From: self.ID, FromAddress: self.Address, Shard: s.number, Number: s.claim.number, Sets: s.voterSetDigests(),
		First: s.claim.isFirst, Lends: s.isLender,
	}
}

// sendClaim sends the current claim to all its recipients that have not voted on it.
func (s *shard) sendClaim(message *wire.LenderClaim) {
	c := s.core
	for _, machine := range s.claimRecipients() {
		if _, voted := s.claim.votes[machine]; !voted && machine != c.cfg.Self.Machine {
			c.send(c.peers[machine].Address, *message)
		}
	}
}

// electorate returns the machines of all voter sets that count.
func (s *shard) electorate() []string {
	machines := slices.Clone(s.voters.machines)
	for i := range s.earlier {
		machines = append(machines, s.earlier[i].machines...)
	}
	slices.Sort(machines)
	return slices.Compact(machines)
}

// handleClaim answers another node's claim, or handles its release.
func (s *shard) handleClaim(m *wire.LenderClaim) {
	if m.Release {
		if s.promised.node == m.From && s.promised.number <= m.Number {
			s.promised = promise{since: s.promised.since}
			s.scheduleClaim()
		}
		return
	}
	vote := wire.LenderVote{
		From: s.core.cfg.Self.ID, Machine: s.core.cfg.Self.Machine, Shard: s.number, Number: m.Number, Young: s.core.startedRecently(),
	}
	vote.Missing, vote.MissingFor = s.missingVoterSet(m)
	if len(vote.Missing) == 0 {
		vote.Granted, vote.Settled = s.grantPromise(m)
	}
	if vote.Granted {
		s.knownLender = lender{id: m.From, address: m.FromAddress}
		s.scheduleClaim()
	}
	s.core.send(m.FromAddress, vote)
}

// missingVoterSet returns a voter set that counts here and that a claim omits, and how long the set
// still counts. Without this check a lender that was elected by an omitted set would go unnoticed;
// a node that has just started knows no earlier sets. Renewals may omit a set for
// outdatedViewGrace after it became known. The remaining time is passed on because nodes that learn
// a set from each other would otherwise keep it forever.
func (s *shard) missingVoterSet(m *wire.LenderClaim) ([]string, time.Duration) {
	renewal := s.promised.node == m.From && s.core.now.Before(s.promised.until)
	current := s.voters
	current.validUntil = s.core.now.Add(viewOverlap)
	for _, set := range append(slices.Clone(s.earlier), current) {
		if slices.Contains(m.Sets, set.digest) || renewal && s.core.now.Sub(set.knownSince) < outdatedViewGrace {
			continue
		}
		return set.machines, set.validUntil.Sub(s.core.now)
	}
	return nil, 0
}

// grantPromise promises the shard to a claimant unless another node has it. settled is how long the
// promise had not changed before.
func (s *shard) grantPromise(m *wire.LenderClaim) (granted bool, settled time.Duration) {
	c := s.core
	// A node that has just started may have forgotten a promise and grants only first claims; a
	// node that has run for longer grants only ordinary claims. Both extend a promise that they know.
	if c.startedRecently() != m.First && !s.isRenewal(m) {
		return false, 0
	}
	if s.promised.node != m.From && c.now.Before(s.promised.until) {
		return false, 0
	}
	if m.First && m.From != c.cfg.Self.ID && s.lendsOrClaims() {
		return false, 0
	}
	since := s.promised.since
	if since.Before(c.startedAt) {
		since = c.startedAt
	}
	settled = c.now.Sub(since)
	if s.promised.node != m.From {
		s.promised = promise{node: m.From, since: c.now}
	}
	s.promised.address, s.promised.until, s.promised.number = m.FromAddress, c.now.Add(c.cfg.Lease), m.Number
	return true, settled
}

// handleVote handles a voter's answer.
func (s *shard) handleVote(m *wire.LenderVote) {
	if m.Number != s.claim.number {
		return
	}
	if len(m.Missing) > 0 {
		s.learnVoterSet(m.Missing, m.MissingFor)
		return
	}
	if s.claim.isFirst && !s.claim.won && !s.acceptFirstClaimVote(m) {
		return
	}
	switch {
	case !m.Granted:
	case s.claim.isFirst && !s.claim.won:
		s.countFirstClaimVote(m.Machine, m.Settled)
	default:
		s.countVote(m.Machine, m.Settled)
	}
}

// learnVoterSet makes a voter set count that another node uses, and schedules a new claim with it.
func (s *shard) learnVoterSet(machines []string, validFor time.Duration) {
	set := newVoterSet(machines, s.core.now)
	if slices.Contains(s.voterSetDigests(), set.digest) {
		return
	}
	s.addEarlierVoters(set, min(validFor, viewOverlap))
	if !s.isLender {
		s.claim, s.claimAt = claim{}, s.core.now
	}
}

// countVote counts a vote. With a majority of each voter set the lease is won; it is counted from
// when the claim was sent.
func (s *shard) countVote(machine string, settled time.Duration) {
	s.claim.votes[machine] = settled
	if s.claim.won || !s.voters.isMajority(s.claim.votes) || s.claim.isFirst && !s.allVoted() {
		return
	}
	for i := range s.earlier {
		if !s.earlier[i].isMajority(s.claim.votes) {
			return
		}
	}
	until := s.claim.sentAt.Add(s.core.cfg.Lease - clockDriftMargin)
	if !s.core.now.Before(until) || s.core.stopping {
		return
	}
	s.claim.won, s.leaseUntil = true, until
	if !s.isLender {
		s.startLending()
	}
}

// sendRelease releases what was promised to this node by claims up to the given number.
func (s *shard) sendRelease(number int64) {
	c := s.core
	message := wire.LenderClaim{From: c.cfg.Self.ID, FromAddress: c.cfg.Self.Address, Shard: s.number, Number: number, Release: true}
	for _, machine := range s.claimRecipients() {
		if machine != c.cfg.Self.Machine {
			c.send(c.peers[machine].Address, message)
		}
	}
	if s.promised.node == c.cfg.Self.ID {
		s.promised = promise{since: s.promised.since}
	}
}

package lending

import (
	"maps"
	"slices"
	"time"

	"github.com/valveslip/valveslip/wire"
)

const (
	// firstClaimResendDelay is the delay after which a first claim is sent again to nodes that
	// have not answered: machines with an eighth of a core that lost power together start within
	// 250 ms of each other.
	firstClaimResendDelay = 40 * time.Millisecond
	// firstClaimMaxJitter bounds the random delay of a node whose first claim collided with another
	// node's. firstClaimRankDelay is the additional delay of each further voter, so that
	// the second claim of the first voter does not collide.
	firstClaimMaxJitter = 30 * time.Millisecond
	firstClaimRankDelay = 200 * time.Millisecond
	// maxFirstClaimNodes is the largest view in which first claims are made. The claimant asks all
	// nodes, which takes a machine with an eighth of a core a quarter of a second at this size.
	maxFirstClaimNodes = 128
)

// If all nodes have just started, nobody lends, since all lenders have ended, and there is no need
// to wait for leases to expire. A first claim asks every node of the view, voter or not. It wins if
// each node answers that it has just started, that it neither lends nor claims, and that it
// promises the shard to no other node; every node is bound by this for one lease, as voters are by a
// promise. A node that has run for longer or does not answer leaves the shard to ordinary claims,
// which begin one lease after the start. Of two nodes that claim concurrently, at least one is in
// the other's view. Claimants with an incomplete view are excluded by requiring a record of an
// earlier process of the claimant's own machine, which its first read of the store shows.

// startedRecently reports whether this process may have forgotten a promise of its predecessor.
func (c *Core) startedRecently() bool { return c.now.Before(c.startedAt.Add(c.cfg.Lease)) }

// allMachines returns the machines of the view.
func (c *Core) allMachines() []string { return slices.Sorted(maps.Keys(c.peers)) }

// firstClaimAllowed reports whether, as far as this node knows, all nodes may have just started.
func (s *shard) firstClaimAllowed() bool {
	c := s.core
	return c.startedRecently() && c.hasPredecessor && !c.olderNodeSeen && len(c.peers) <= maxFirstClaimNodes
}

// claimRecipients lists the machines that the current claim is sent to. A first claim goes to all
// machines once all voters have granted it: if only some nodes have restarted, a voter refuses before
// the others are asked.
func (s *shard) claimRecipients() []string {
	if s.claim.isFirst && len(s.withoutVote(s.electorate())) == 0 {
		return s.core.allMachines()
	}
	return s.electorate()
}

// withoutVote returns those of the machines that have not voted for the current claim.
func (s *shard) withoutVote(machines []string) []string {
	return slices.DeleteFunc(slices.Clone(machines), func(machine string) bool {
		_, voted := s.claim.votes[machine]
		return voted
	})
}

// lendsOrClaims reports whether this node holds the lease or has a claim under way.
func (s *shard) lendsOrClaims() bool { return s.isLender || s.claiming() }

// isRenewal reports whether a claim extends a promise that has not expired.
func (s *shard) isRenewal(m *wire.LenderClaim) bool {
	return m.Lends && s.promised.node == m.From && s.core.now.Before(s.promised.until)
}

// countFirstClaimVote counts a vote for a first claim. After the vote of the last voter, all other
// machines are asked.
func (s *shard) countFirstClaimVote(machine string, settled time.Duration) {
	before := len(s.claimRecipients())
	s.countVote(machine, settled)
	if s.claiming() && len(s.claimRecipients()) > before {
		s.resendClaim()
	}
}

// acceptFirstClaimVote reports whether an answer is a vote for a first claim; otherwise the claim
// is abandoned. A node that has run for longer rules out first claims altogether; a node that
// another claimant asked earlier only ends this claim.
func (s *shard) acceptFirstClaimVote(m *wire.LenderVote) bool {
	if m.Granted && m.Young {
		return true
	}
	s.core.olderNodeSeen = s.core.olderNodeSeen || !m.Young
	s.abandonClaim()
	return false
}

// allVoted reports whether all nodes of the view have voted for the current claim.
func (s *shard) allVoted() bool { return len(s.withoutVote(s.core.allMachines())) == 0 }

// resendClaim sends a first claim again to the machines that have not answered.
func (s *shard) resendClaim() {
	s.claim.resendAt = s.core.now.Add(firstClaimResendDelay)
	message := s.claimMessage()
	s.sendClaim(&message)
}

// claimRetryDelay returns the delay after an abandoned claim.
func (s *shard) claimRetryDelay(number int64, wasFirst bool) time.Duration {
	jitterFactor := jitter(s.core.cfg.Self.ID, number)
	if wasFirst {
		return time.Duration(max(s.voterRank(), 0))*firstClaimRankDelay + time.Duration(jitterFactor*float64(firstClaimMaxJitter))
	}
	return claimRankDelay + time.Duration(jitterFactor*float64(maxVoters*claimRankDelay))
}

// claimDeadline returns when a claim without enough votes is abandoned: a first claim when ordinary
// claims become possible.
func (s *shard) claimDeadline() time.Time {
	if s.claim.isFirst {
		return s.core.startedAt.Add(s.core.cfg.Lease)
	}
	return s.claim.sentAt.Add(claimTimeout)
}

// claimDue returns when the claim under way next needs an action.
func (s *shard) claimDue() time.Time {
	if s.claim.isFirst {
		return earliest(s.claim.resendAt, s.claimDeadline())
	}
	return s.claimDeadline()
}

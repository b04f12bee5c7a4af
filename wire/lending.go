package wire

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// LenderClaim asks a voter for the sole right of the sender to lend tokens of a shard's limits for
// a period. With Release it gives that right back.
type LenderClaim struct {
	From        cluster.NodeID
	FromAddress string
	Shard       int
	// Number identifies the claim in the vote.
	Number  int64
	Release bool
	// Sets are the digests of the sets of voters. The sender needs a majority of each set.
	Sets []int64
	// First is set if all nodes seem to have just started. The sender then lends only if
	// each of them confirms that it has, and grants the claim.
	First bool
	// Lends is set if the sender is the lender already and asks to continue.
	Lends bool
}

// LenderVote answers a LenderClaim.
type LenderVote struct {
	From cluster.NodeID
	// Machine is the machine that the voter runs on.
	Machine string
	Shard   int
	Number  int64
	Granted bool
	// Settled is the time for which the voter's promise of the shard had not changed before
	// this vote.
	Settled time.Duration
	// Missing lists the machines of a set of voters that the voter regards as valid and that
	// the claim lacks, empty for none. The set stays valid for MissingFor.
	Missing    []string
	MissingFor time.Duration
	// Young is set if the voter has run for less time than a promise lasts.
	Young bool
}

// TokensRequest asks a lender for a part of a tenant's limit, in the units of that limit. With
// Returned it gives back what was granted to the request of the same Number.
type TokensRequest struct {
	From        cluster.NodeID
	FromAddress string
	// Number identifies the request in the answer.
	Number int64
	Tenant string
	Amount float64
	// Rank is the priority of the request, 0 being the most urgent.
	Rank     int
	Returned bool
	// Mark identifies the caller's request and is the same when the caller repeats it; zero
	// if unknown.
	Mark int64
	// Heeds is the longest Retry-After time that the caller complies with.
	Heeds time.Duration
	// Again is set if an earlier grant to the request expired while the request waited.
	Again bool
}

// TokensAnswer answers a TokensRequest.
type TokensAnswer struct {
	From   cluster.NodeID
	Number int64
	// Lends is false if the sender is not the lender for the tenant. Lender and LenderAddress
	// then name the lender, as far as the sender knows it.
	Lends         bool
	Granted       bool
	Wait          time.Duration
	Lender        cluster.NodeID
	LenderAddress string
	// Reserved is set if the amount is reserved for the caller when it returns after Wait.
	Reserved bool
	// Used is the amount lent within the sliding window of the limit. FirstRank and
	// FirstAmount describe the first waiting request; FirstAmount is zero if none waits.
	Used        float64
	FirstRank   int
	FirstAmount float64
}

type (
	clockToldRecord     ClockTold
	lenderClaimRecord   LenderClaim
	lenderVoteRecord    LenderVote
	tokensRequestRecord TokensRequest
	tokensAnswerRecord  TokensAnswer
)

func (r *clockToldRecord) toMessage() Message { return ClockTold(*r) }
func (r *lenderClaimRecord) toMessage() Message {
	m := LenderClaim(*r)
	m.Sets = mapSlice(m.Sets, func(digest int64) int64 { return digest })
	return m
}

func (r *lenderVoteRecord) toMessage() Message {
	m := LenderVote(*r)
	m.Missing = mapSlice(m.Missing, func(machine string) string { return machine })
	return m
}

func (r *tokensRequestRecord) toMessage() Message { return TokensRequest(*r) }
func (r *tokensAnswerRecord) toMessage() Message  { return TokensAnswer(*r) }

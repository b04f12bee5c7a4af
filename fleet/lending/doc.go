// Package lending enforces the token limits of tenants over all nodes.
//
// # Problem
//
// A tenant may use Limit.Rate units a second, and Limit.Burst units in addition within a window,
// whichever nodes its requests reach. Counters on each node would let the tenant use a multiple of
// its limit, so one node at a time, the lender, decides for all nodes.
//
// # Lenders
//
// Tenants are hashed to shards. The lender of a shard holds a lease on it and keeps a token bucket
// for each of the shard's tenants. A node that is about to send a request asks the lender for the
// tokens of the request. Granted tokens are used within Config.Lifetime of the question or are
// returned.
//
// # Leases
//
// Each shard has voters: a few machines of several zones, which every node selects from its view of
// the live nodes by rendezvous hashing. A node becomes the lender by a claim:
//
//  1. It sends the claim to all voters of the shard.
//  2. A voter that has promised the shard to no other node promises it to the claimant for
//     Config.Lease.
//  3. With the votes of a majority the claimant holds the lease. The lease lasts for Config.Lease
//     less a margin, counted from the time at which the claim was sent, and is renewed by further
//     claims.
//
// After a change of the view the claim also needs a majority of each earlier voter set, for as long
// as other nodes may still use the earlier view.
//
// Two nodes never hold the lease of a shard at the same time, however messages are lost or delayed
// and nodes freeze: two majorities share a voter, each node measures time by its own clock, and
// the lender's count begins before those of its voters. A node that has just started may have
// forgotten the promises of its previous process, so it promises nothing until they have expired.
//
// If all nodes have just started, nobody can hold a lease: a node that learns this from every other
// node becomes the lender at once (see first_claims.go).
//
// # Successors
//
// A new lender does not know what its predecessor lent, so it starts with empty buckets: both
// together lend no more within a window than one lender could. Part of the allowance beyond the
// limit is given to successors: a small credit at the start unless the lender changed recently, and
// a larger one for a single successor within a window, which a key in the store selects (see
// ticket.go).
package lending

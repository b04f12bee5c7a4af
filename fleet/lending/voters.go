package lending

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/internal/topk"
)

// voterSet is a set of machines that vote on a shard's lender, in the order in which they claim it.
// The current set has no validUntil.
type voterSet struct {
	machines []string
	// digest is a hash of the machines.
	digest     int64
	knownSince time.Time
	validUntil time.Time
}

// newVoterSet returns a voter set that is known since the given time.
func newVoterSet(machines []string, since time.Time) voterSet {
	return voterSet{machines: machines, digest: int64(xxhash.Sum64String(strings.Join(machines, "\n"))), knownSince: since}
}

// shardOf returns the shard of a tenant.
func shardOf(tenant string) int { return int(xxhash.Sum64String(tenant) % Shards) }

// candidate is a machine that may be selected as a voter, with its weight for each shard.
type candidate struct {
	Peer
	weights [Shards]uint64
}

// newCandidate computes a machine's weights, once for its lifetime in the view.
func newCandidate(p Peer) candidate {
	c := candidate{Peer: p}
	for shard := range c.weights {
		c.weights[shard] = rendezvousWeight(shard, p.Machine)
	}
	return c
}

// rendezvousWeight returns the rendezvous hash of a machine or zone for a shard; lower values come
// first.
func rendezvousWeight(shard int, name string) uint64 {
	return xxhash.Sum64String(strconv.Itoa(shard) + "/" + name)
}

// selectVoters returns the voters of a shard: machines by weight, taken from the zones in turn, so
// that the loss of a zone leaves a majority. Within its zone, a machine with less than half of the
// greatest capacity comes last. Each machine is examined once.
func selectVoters(shard int, peers []candidate) []string {
	strongest := 0.0
	for i := range peers {
		strongest = max(strongest, peers[i].Capacity)
	}
	zones := map[cluster.ZoneID][]*candidate{}
	for i := range peers {
		ranked := zones[peers[i].Zone]
		zones[peers[i].Zone] = topk.Insert(ranked, &peers[i], maxVoters, func(a, b *candidate) int {
			return cmp.Or(cmp.Compare(weakRank(a.Peer, strongest), weakRank(b.Peer, strongest)),
				cmp.Compare(a.weights[shard], b.weights[shard]), cmp.Compare(a.Machine, b.Machine))
		})
	}
	zoneOrder := slices.SortedFunc(maps.Keys(zones), func(a, b cluster.ZoneID) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(shard, string(a)), rendezvousWeight(shard, string(b))), cmp.Compare(a, b))
	})
	var voters []string
	for round := 0; len(voters) < min(maxVoters, len(peers)); round++ {
		for _, zone := range zoneOrder {
			if round < len(zones[zone]) && len(voters) < maxVoters {
				voters = append(voters, zones[zone][round].Machine)
			}
		}
	}
	return voters
}

// weakRank returns 1 for a machine with less than half of the greatest capacity, otherwise 0.
func weakRank(p Peer, strongest float64) int {
	if p.Capacity < strongest/2 {
		return 1
	}
	return 0
}

// isMajority reports whether more than half of the voter set is among the votes.
func (s *voterSet) isMajority(votes map[string]time.Duration) bool {
	count := 0
	for _, machine := range s.machines {
		if _, voted := votes[machine]; voted {
			count++
		}
	}
	return 2*count > len(s.machines)
}

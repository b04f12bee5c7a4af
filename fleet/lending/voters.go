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

// voterSet are the machines that promise a shard, in the order in which they claim it. An
// earlier set counts until a time, the present one has none.
type voterSet struct {
	machines []string
	// digest of the machines.
	digest int64
	since  time.Time
	until  time.Time
}

// newVoterSet returns a set that is known since a time.
func newVoterSet(machines []string, since time.Time) voterSet {
	return voterSet{machines: machines, digest: int64(xxhash.Sum64String(strings.Join(machines, "\n"))), since: since}
}

// shardOf is the shard of a tenant.
func shardOf(tenant string) int { return int(xxhash.Sum64String(tenant) % Shards) }

// candidate is a machine that may be among the voters of shards, with its weight for each.
type candidate struct {
	Peer
	weights [Shards]uint64
}

// newCandidate weighs a machine, once for as long as it lives.
func newCandidate(p Peer) candidate {
	c := candidate{Peer: p}
	for shard := range c.weights {
		c.weights[shard] = weightOf(shard, p.Machine)
	}
	return c
}

// weightOf is the place of a machine or zone among those of a shard: rendezvous hashing.
func weightOf(shard int, name string) uint64 {
	return xxhash.Sum64String(strconv.Itoa(shard) + "/" + name)
}

// votersOf ranks the machines of a shard: by their weights, of each zone in turn, so that a
// lost zone leaves a majority. Machines of less than half of the greatest capacity are left
// out as long as others are there. Each machine is looked at once.
func votersOf(shard int, peers []candidate) []string {
	strongest := 0.0
	for i := range peers {
		strongest = max(strongest, peers[i].Capacity)
	}
	zones := map[cluster.ZoneID][]*candidate{}
	for i := range peers {
		first := zones[peers[i].Zone]
		zones[peers[i].Zone] = topk.Insert(first, &peers[i], maxVoters, func(a, b *candidate) int {
			return cmp.Or(cmp.Compare(weak(a.Peer, strongest), weak(b.Peer, strongest)),
				cmp.Compare(a.weights[shard], b.weights[shard]), cmp.Compare(a.Machine, b.Machine))
		})
	}
	names := slices.SortedFunc(maps.Keys(zones), func(a, b cluster.ZoneID) int {
		return cmp.Or(cmp.Compare(weightOf(shard, string(a)), weightOf(shard, string(b))), cmp.Compare(a, b))
	})
	var voters []string
	for round := 0; len(voters) < min(maxVoters, len(peers)); round++ {
		for _, zone := range names {
			if round < len(zones[zone]) && len(voters) < maxVoters {
				voters = append(voters, zones[zone][round].Machine)
			}
		}
	}
	return voters
}

// weak is 1 for a machine of less than half of the greatest capacity.
func weak(p Peer, strongest float64) int {
	if p.Capacity < strongest/2 {
		return 1
	}
	return 0
}

// isMajority reports whether more than half of the set is among the votes.
func (s *voterSet) isMajority(votes map[string]time.Duration) bool {
	count := 0
	for _, machine := range s.machines {
		if _, voted := votes[machine]; voted {
			count++
		}
	}
	return 2*count > len(s.machines)
}

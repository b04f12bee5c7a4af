package lending

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
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

// votersOf ranks the machines of a shard: by rendezvous hashing, of each zone in turn, so that
// a lost zone leaves a majority. Machines of less than half of the greatest capacity are left
// out as long as others are there.
func votersOf(shard int, peers []Peer) []string {
	strongest := 0.0
	for i := range peers {
		strongest = max(strongest, peers[i].Capacity)
	}
	zones := map[cluster.ZoneID][]Peer{}
	for _, p := range peers {
		zones[p.Zone] = append(zones[p.Zone], p)
	}
	weight := func(name string) uint64 { return xxhash.Sum64String(strconv.Itoa(shard) + "/" + name) }
	names := make([]cluster.ZoneID, 0, len(zones))
	for zone, members := range zones {
		names = append(names, zone)
		slices.SortFunc(members, func(a, b Peer) int {
			return cmp.Or(cmp.Compare(weak(a, strongest), weak(b, strongest)),
				cmp.Compare(weight(a.Machine), weight(b.Machine)), cmp.Compare(a.Machine, b.Machine))
		})
	}
	slices.SortFunc(names, func(a, b cluster.ZoneID) int {
		return cmp.Or(cmp.Compare(weight(string(a)), weight(string(b))), cmp.Compare(a, b))
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

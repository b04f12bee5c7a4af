package lending

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/valveslip/valveslip/cluster"
)

// candidates returns the candidates of peers.
func candidates(peers []Peer) []candidate {
	weighed := make([]candidate, len(peers))
	for i := range peers {
		weighed[i] = newCandidate(peers[i])
	}
	return weighed
}

// votersByFullSort selects voters by sorting all machines of all zones, as earlier builds do, which
// run beside this one during a rolling replacement: builds that selected differently could elect two
// lenders.
func votersByFullSort(shard int, peers []Peer) []string {
	strongest := 0.0
	for i := range peers {
		strongest = max(strongest, peers[i].Capacity)
	}
	zones := map[cluster.ZoneID][]Peer{}
	for _, p := range peers {
		zones[p.Zone] = append(zones[p.Zone], p)
	}
	var names []cluster.ZoneID
	for zone, members := range zones {
		names = append(names, zone)
		slices.SortFunc(members, func(a, b Peer) int {
			return cmp.Or(cmp.Compare(weakRank(a, strongest), weakRank(b, strongest)),
				cmp.Compare(rendezvousWeight(shard, a.Machine), rendezvousWeight(shard, b.Machine)), cmp.Compare(a.Machine, b.Machine))
		})
	}
	slices.SortFunc(names, func(a, b cluster.ZoneID) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(shard, string(a)), rendezvousWeight(shard, string(b))), cmp.Compare(a, b))
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

// TestSelectVotersMatchesFullSort: for any machines, selectVoters must return the voters that a full
// sort gives.
func TestSelectVotersMatchesFullSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var peers []Peer
		for i := range rapid.IntRange(1, 60).Draw(t, "machines") {
			peers = append(peers, Peer{
				Machine:  fmt.Sprintf("machine-%d", i),
				Zone:     cluster.ZoneID(fmt.Sprintf("zone-%d", rapid.IntRange(0, 6).Draw(t, "zone"))),
				Capacity: rapid.SampledFrom([]float64{0.2, 0.4, 0.8}).Draw(t, "capacity"),
			})
		}
		for shard := range Shards {
			if got, want := selectVoters(shard, candidates(peers)), votersByFullSort(shard, peers); !slices.Equal(got, want) {
				t.Fatalf("shard %d: %q, want %q", shard, got, want)
			}
		}
	})
}

package node

import (
	"testing"

	"github.com/valveslip/valveslip/cluster"
)

// TestMinimumReplicasAreSharedOutOnceOverZones checks that the shares of all zones sum
// to the minimum, or to the allotted replicas if those are fewer, for any allotments.
func TestMinimumReplicasAreSharedOutOnceOverZones(t *testing.T) {
	for _, test := range []struct {
		name     string
		allotted map[cluster.ZoneID]int
		minimum  int
		sum      int
	}{
		{"one replica, three zones", map[cluster.ZoneID]int{"a": 1, "b": 1, "c": 1}, 1, 1},
		{"more than one zone may hold", map[cluster.ZoneID]int{"a": 2, "b": 1, "c": 1}, 3, 3},
		{"less allotted than asked for", map[cluster.ZoneID]int{"a": 1, "b": 0, "c": 1}, 3, 2},
		{"one zone only", map[cluster.ZoneID]int{"a": 0, "b": 4, "c": 0}, 2, 2},
	} {
		sum := 0
		for zone := range test.allotted {
			core := NewCore(CoreConfig{Self: cluster.Node{ID: cluster.NodeID(zone), Zone: zone}, Seed: 1})
			for other, count := range test.allotted {
				core.keyValue.allotments[other] = cluster.Allotment{
					Zone: other, Models: []cluster.ModelAllotment{{Model: "m", MaxReplicas: count}},
				}
			}
			share := core.minimumShare("m", test.minimum)
			if share > test.allotted[zone] {
				t.Errorf("%s: zone %s keeps %d replicas of %d allotted", test.name, zone, share, test.allotted[zone])
			}
			sum += share
		}
		if sum != test.sum {
			t.Errorf("%s: %d replicas are kept, want %d", test.name, sum, test.sum)
		}
	}
}

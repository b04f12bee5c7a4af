package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// TestChoicePrefersNearAndCachedReplicas guards against choices that ignore distance, cached
// prefixes or reported load. Requests go one after another to three idle replicas in the same zone,
// the same region and another region.
func TestChoicePrefersNearAndCachedReplicas(t *testing.T) {
	zones := []cluster.ZoneID{"z1", "z2", "z3"}
	prefixes := []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}
	for _, test := range []struct {
		name   string
		before func(*fixture)
		want   string
	}{
		{"same zone", func(*fixture) {}, "z1"},
		{"same region next", func(f *fixture) { f.step(MachineLeaving{Machine: "m-z1"}) }, "z2"},
		{"other regions last", func(f *fixture) {
			f.step(MachineLeaving{Machine: "m-z1"})
			f.step(MachineLeaving{Machine: "m-z2"})
		}, "z3"},
		{"replicas of a lost cell stay in use", func(f *fixture) {
			f.step(CellLost{Zone: "z1"})
		}, "z1"},
		{"cached prefix outweighs distance", func(f *fixture) {
			for i, prefix := range prefixes {
				f.step(CacheEventsArrived{Events: []cluster.CacheEvent{{Machine: "m-z3", Sequence: uint64(i + 1), Model: "chat", PrefixHash: prefix}}})
			}
		}, "z3"},
		{"reported work outweighs distance", func(f *fixture) {
			f.step(CellStatusChanged{Status: wire.CellStatus{Zone: "z1", Token: 5, Sequence: 9, Loads: []wire.MachineLoad{{Machine: "m-z1", Running: 3, Queued: 9}}}})
		}, "z2"},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, testPolicy())
			change := RoutersChanged{Routers: 2}
			for i, zone := range zones {
				change.Zones = append(change.Zones, ZoneRegion{Zone: zone, Region: cluster.RegionID(fmt.Sprint("r", 1+i/2))})
				status := wire.CellStatus{Zone: zone, Token: 5, Sequence: 1, Full: true, Replicas: []wire.ReplicaRecord{loaded("m-"+cluster.MachineID(zone), 4)}}
				f.step(CellStatusChanged{Status: status})
			}
			f.step(change)
			f.now = f.now.Add(time.Millisecond)
			test.before(f)
			for i := range 20 {
				id := cluster.RequestID(fmt.Sprint(i))
				dispatch := f.arrive(id, func(r *Request) { r.Prefixes = prefixes })[0].(Dispatch)
				if chosen := dispatch.Reason.Candidates[0]; string(chosen.Zone) != test.want || dispatch.Machine != chosen.Machine || dispatch.Reason.Token != 5 {
					t.Fatalf("request %d dispatched to %s: %+v", i, dispatch.Machine, dispatch.Reason)
				}
				f.step(CallerGone{Request: id})
			}
		})
	}
}

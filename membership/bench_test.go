package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// benchSizes are numbers of members with their zones.
var benchSizes = []struct{ members, zones int }{{20, 3}, {80, 6}, {340, 18}, {1360, 72}}

// filledCore knows a number of members and has no news left.
func filledCore(members, zones int) *Core {
	core := New(benchNode(0, zones), nil, Config{}, 1)
	core.Step(epoch, Tick{})
	for i := 1; i < members; i++ {
		core.merge(epoch, wire.MemberRecord{Node: benchNode(i, zones), Incarnation: 1 << 40, State: string(StateAlive)}, 0)
	}
	core.fresh = nil
	return core
}

func benchNode(i, zones int) cluster.Node {
	host := fmt.Sprintf("10.0.%d.%d", i/250, i%250+1)
	return cluster.Node{
		ID: cluster.NodeID(fmt.Sprintf("node-%06d", i)), Zone: cluster.ZoneID(fmt.Sprintf("zone-%02d", i%zones)), Region: "region-0",
		PeerAddress: host + ":7000", AdminAddress: host + ":7001", CallerAddress: host + ":7002",
	}
}

// BenchmarkHeartbeat answers a heartbeat of a known member.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("members=%d", size.members), func(b *testing.B) {
			core := filledCore(size.members, size.zones)
			heartbeat := wire.Heartbeat{From: benchNode(1, size.zones), Incarnation: 1 << 40, MembersDigest: core.membersDigest()}
			now := epoch.Add(time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				core.Step(now, HeartbeatReceived{Heartbeat: heartbeat})
			}
		})
	}
}

// BenchmarkTick lets a second pass, in which one member of the zone is probed
// and every other time one elsewhere, all of which answer.
func BenchmarkTick(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("members=%d", size.members), func(b *testing.B) {
			core := filledCore(size.members, size.zones)
			now := epoch
			b.ReportAllocs()
			for b.Loop() {
				for range 4 {
					now = now.Add(250 * time.Millisecond)
					core.Step(now, Tick{})
					core.probes = core.probes[:0]
				}
			}
		})
	}
}

// BenchmarkMemory reports the heap that one known member takes.
func BenchmarkMemory(b *testing.B) {
	const members = 1360
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		core := filledCore(members, 72)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(core)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/members, "B/member")
}

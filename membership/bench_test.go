package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// benchSizes lists cluster sizes as numbers of members and zones.
var benchSizes = []struct{ members, zones int }{{20, 3}, {80, 6}, {340, 18}, {1360, 72}}

// newFilledCore returns a core that knows members-1 other members and has no
// gossip queued.
func newFilledCore(members, zones int) *Core {
	core := New(benchNode(0, zones), nil, Config{}, 1)
	core.Step(epoch, Tick{})
	for i := 1; i < members; i++ {
		core.merge(epoch, wire.MemberRecord{Node: benchNode(i, zones), Incarnation: 1 << 40, State: string(StateAlive)}, 0)
	}
	core.gossipQueue = nil
	return core
}

func benchNode(i, zones int) cluster.Node {
	host := fmt.Sprintf("10.0.%d.%d", i/250, i%250+1)
	return cluster.Node{
		ID: cluster.NodeID(fmt.Sprintf("node-%06d", i)), Zone: cluster.ZoneID(fmt.Sprintf("zone-%02d", i%zones)), Region: "region-0",
		PeerAddress: host + ":7000", AdminAddress: host + ":7001", CallerAddress: host + ":7002",
	}
}

// BenchmarkHeartbeat measures answering a heartbeat of a known member.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("members=%d", size.members), func(b *testing.B) {
			core := newFilledCore(size.members, size.zones)
			heartbeat := wire.Heartbeat{From: benchNode(1, size.zones), Incarnation: 1 << 40, MembersDigest: core.membersDigest()}
			now := epoch.Add(time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				core.Step(now, HeartbeatReceived{Heartbeat: heartbeat})
			}
		})
	}
}

// BenchmarkTick measures one second of ticks. In each second the core probes one
// member of its zone, and in every other second one remote member; all probes
// count as answered.
func BenchmarkTick(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("members=%d", size.members), func(b *testing.B) {
			core := newFilledCore(size.members, size.zones)
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

// BenchmarkMemory reports the heap bytes per known member.
func BenchmarkMemory(b *testing.B) {
	const members = 1360
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		core := newFilledCore(members, 72)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(core)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/members, "B/member")
}

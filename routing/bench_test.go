package routing

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/wire"
)

// The deployment expected in two years: 62 base models and 1,600 adapters on 1,600 workers in 18
// zones of 5 regions, behind 340 routers.
const (
	largeBases    = 62
	largeModels   = 1662
	largeMachines = 1600
	largeZones    = 18
	largeRouters  = 340
)

func largeModel(i int) cluster.ModelID { return cluster.ModelID(fmt.Sprintf("model-%04d", i)) }

func largeZone(i int) cluster.ZoneID { return cluster.ZoneID(fmt.Sprintf("zone-%02d", i%largeZones)) }

func largeSnapshot() *settings.Snapshot {
	var models []settings.Model
	scopes := map[string]settings.Scope{"/": {RequestsPerSecond: 1e9, TokensPerSecond: 1e12, MaxConcurrency: 1 << 40}}
	for i := range largeModels {
		team := fmt.Sprintf("/team-%02d", i%20)
		scopes[team] = settings.Scope{RequestsPerSecond: 1e9, MaxConcurrency: 1 << 40}
		policy := testPolicy()
		policy.QueueLength, policy.QueueBytes = 1000, 1<<30
		models = append(models, settings.Model{ID: largeModel(i), Path: team + "/" + string(largeModel(i)), Team: team, Policy: policy})
	}
	return settings.NewSnapshot(settings.Stamp{Revision: 1}, models, nil, scopes)
}

// largeStatuses puts every base model on 26 machines and every adapter on two.
func largeStatuses(sequence uint64, slots int) []wire.CellStatus {
	statuses := make([]wire.CellStatus, largeZones)
	for i := range statuses {
		statuses[i] = wire.CellStatus{Zone: largeZone(i), Token: 1, Sequence: sequence, Full: true}
	}
	for i := range largeModels {
		copies := 2
		if i < largeBases {
			copies = 26
		}
		for j := range copies {
			at := (i*61 + j*97) % largeMachines
			status := &statuses[at%largeZones]
			status.Replicas = append(status.Replicas, wire.ReplicaRecord{
				Machine: cluster.MachineID(fmt.Sprintf("machine-%04d", at)), Address: "10.0.0.1:80", Model: largeModel(i),
				Version: "v1", State: cluster.ReplicaLoaded, Slots: slots,
			})
		}
	}
	return statuses
}

func largeRouter(slots int) *Router {
	router := New(Config{Zone: largeZone(0), Region: "r0"}, 1)
	router.Step(start, SettingsChanged{Snapshot: largeSnapshot()})
	change := RoutersChanged{Routers: largeRouters}
	for i := range largeZones {
		change.Zones = append(change.Zones, ZoneRegion{Zone: largeZone(i), Region: cluster.RegionID(fmt.Sprint("r", i%5))})
	}
	router.Step(start, change)
	for _, status := range largeStatuses(1, slots) {
		router.Step(start, CellStatusChanged{Status: status})
	}
	return router
}

// BenchmarkAdmitDispatchFinish measures one request through the router: admitted under five limits,
// dispatched at once and finished.
func BenchmarkAdmitDispatchFinish(b *testing.B) {
	for _, prefixes := range []int{0, 32} {
		b.Run(fmt.Sprintf("prefixes=%d", prefixes), func(b *testing.B) {
			router := largeRouter(64)
			chains := make([][]uint64, 256)
			for i := range chains {
				for j := range prefixes {
					chains[i] = append(chains[i], uint64(i*1000+j)*0x9e3779b97f4a7c15)
				}
			}
			ids := make([]cluster.RequestID, 4096)
			names := make([]cluster.ModelID, largeModels)
			for i := range ids {
				ids[i] = cluster.RequestID(fmt.Sprintf("node-1234-%08d", i))
			}
			for i := range names {
				names[i] = largeModel(i)
			}
			now := start
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Microsecond)
				id := ids[i%len(ids)]
				effects := router.Step(now, RequestArrived{Request: Request{
					ID: id, Model: names[(i*31)%largeModels], TokenPath: "/team-03", Team: "/team-03",
					Deadline: now.Add(time.Minute), PromptTokens: 100, Prefixes: chains[i%len(chains)],
				}})
				if len(effects) != 1 {
					b.Fatalf("request not dispatched: %v", describe(effects))
				}
				router.Step(now, AttemptEnded{Request: id, Attempt: 1, Tokens: 50})
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
		})
	}
}

// BenchmarkQueuedRequest measures a request that waits among 500 others of its model until another
// one ends.
func BenchmarkQueuedRequest(b *testing.B) {
	router := New(Config{Zone: "z1", ExpectedRouters: 1}, 1)
	policy := testPolicy()
	policy.QueueLength, policy.QueueBytes = 1000, 1<<30
	router.Step(start, SettingsChanged{Snapshot: testSnapshot(policy)})
	router.Step(start, CellStatusChanged{Status: wire.CellStatus{Zone: "z1", Token: 1, Sequence: 1, Full: true,
		Replicas: []wire.ReplicaRecord{loaded("m1", 1)}}})
	now := start
	arrive := func(i int) {
		now = now.Add(time.Microsecond)
		router.Step(now, RequestArrived{Request: Request{ID: cluster.RequestID(fmt.Sprint(i)), Model: "chat",
			Team: "/team-" + string(rune('a'+i%8)), Deadline: now.Add(time.Hour)}})
	}
	for i := range 500 {
		arrive(i)
	}
	running := cluster.RequestID("0")
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		arrive(i + 500)
		for _, effect := range router.Step(now, AttemptEnded{Request: running, Attempt: 1}) {
			if dispatch, ok := effect.(Dispatch); ok {
				running = dispatch.Request
			}
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// BenchmarkFullStatus measures a full status of one zone of the large deployment, about 270
// replicas.
func BenchmarkFullStatus(b *testing.B) {
	router := largeRouter(64)
	status := largeStatuses(1, 64)[0]
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		status.Sequence = uint64(i) + 2
		router.Step(start, CellStatusChanged{Status: status})
	}
	b.ReportMetric(float64(len(status.Replicas)), "replicas")
}

// BenchmarkDemand measures a demand report with 100 active of 1,662 models.
func BenchmarkDemand(b *testing.B) {
	router := largeRouter(64)
	now := start
	b.ReportAllocs()
	for i := range b.N {
		b.StopTimer()
		now = now.Add(time.Second)
		for j := range 100 {
			id := cluster.RequestID(fmt.Sprint(i, "-", j))
			router.Step(now, RequestArrived{Request: Request{ID: id, Model: largeModel(j * 16), TokenPath: "/team-03", Deadline: now.Add(time.Hour)}})
			router.Step(now, AttemptEnded{Request: id, Attempt: 1})
		}
		b.StartTimer()
		if report := router.Demand(now, false); len(report.Models) != 100 {
			b.Fatalf("%d models reported, want 100", len(report.Models))
		}
	}
}

// BenchmarkLargeState measures the memory of a router with the large deployment after 100,000
// requests of 32 prefix blocks each.
func BenchmarkLargeState(b *testing.B) {
	var before, after runtime.MemStats
	for range b.N {
		runtime.GC()
		runtime.ReadMemStats(&before)
		router := largeRouter(64)
		now := start
		for i := range 100_000 {
			now = now.Add(time.Millisecond)
			id := cluster.RequestID(fmt.Sprint(i))
			var prefixes []uint64
			for j := range uint64(32) {
				prefixes = append(prefixes, uint64(i/4)*1000+j)
			}
			router.Step(now, RequestArrived{Request: Request{ID: id, Model: largeModel(i % largeModels), TokenPath: "/team-03",
				Deadline: now.Add(time.Minute), Prefixes: prefixes}})
			router.Step(now, AttemptEnded{Request: id, Attempt: 1})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
		runtime.KeepAlive(router)
	}
}

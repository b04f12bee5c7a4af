package load_test

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/experiment/load"
	standin "github.com/valveslip/valveslip/standin/engine"
)

// BenchmarkRun sends one second of load to a stand-in engine without token pacing and reports the
// served requests per second and the 99th percentile of the latency. The engine runs in the same
// process.
func BenchmarkRun(b *testing.B) {
	server := standin.NewServer(standin.ServerConfig{Engine: standin.Config{Machine: "m1", Slots: 1000, QueueLength: 10_000}})
	server.Do(func(now time.Time, state *standin.State) {
		inventory, _ := state.Seal(now, 1)
		state.Order(now, cluster.Order{Epoch: inventory.Epoch, ID: "1", Token: 1, Machine: "m1", Kind: cluster.OrderLoad, Model: "m"})
	})
	address, err := server.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(server.Kill)
	var served int
	var p99 float64
	b.ReportAllocs()
	for b.Loop() {
		report, err := load.Run(b.Context(), load.Config{
			Targets: []string{"http://" + address}, Rate: 4000, Duration: time.Second,
			Models: []string{"m"}, WarmModels: []string{"m"}, MaxTokens: 8, StreamShare: 0.2, Seed: 1,
		})
		if err != nil {
			b.Fatal(err)
		}
		served += report.Served
		p99 = report.Latency.P99
	}
	b.ReportMetric(float64(served)/b.Elapsed().Seconds(), "served/s")
	b.ReportMetric(p99, "p99-ms")
}

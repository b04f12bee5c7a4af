package engine_test

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/valveslip/valveslip/engine"
	standin "github.com/valveslip/valveslip/standin/engine"
)

// BenchmarkDirect calls the engine stand-in without a node in between, as a
// baseline for the routed path. The engine is configured to take no time.
func BenchmarkDirect(b *testing.B) {
	for _, variant := range []struct {
		name   string
		tokens int
		stream bool
	}{{"small", 8, false}, {"stream", 256, true}} {
		b.Run(variant.name, func(b *testing.B) {
			_, address := startServer(b, standin.ServerConfig{Engine: standin.Config{Slots: 256, QueueLength: 4096}})
			caller := newClient(b)
			loadReplica(b, caller, address, "m", 10)
			benchmarkCalls(b, caller, address, variant.tokens, variant.stream)
		})
	}
}

// benchmarkCalls runs calls in parallel and reports requests and tokens per
// second.
func benchmarkCalls(b *testing.B, caller *engine.Client, address string, tokens int, stream bool) {
	var count atomic.Int64
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(parallel *testing.PB) {
		for parallel.Next() {
			id := strconv.FormatInt(count.Add(1), 10)
			answer, err := caller.Run(context.Background(), chatCall(address, fmt.Sprintf("%s-%d", id, b.N), tokens, stream))
			if err != nil {
				b.Error(err)
				return
			}
			if _, err := io.Copy(io.Discard, answer.Body); err != nil {
				b.Error(err)
			}
			_ = answer.Body.Close()
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64(b.N*tokens)/b.Elapsed().Seconds(), "tokens/s")
}

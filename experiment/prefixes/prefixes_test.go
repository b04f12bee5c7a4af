package prefixes

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// shortOptions returns options for a run of a few thousand requests.
func shortOptions(strategy Strategy) Options {
	return Options{Strategy: strategy, Seed: 1, WarmUp: time.Minute, Duration: 2 * time.Minute}
}

// TestRunIsDeterministicForASeed guards against dependence on map order or real time.
func TestRunIsDeterministicForASeed(t *testing.T) {
	if first, second := Run(shortOptions(StrategyShared)), Run(shortOptions(StrategyShared)); !reflect.DeepEqual(first, second) {
		t.Errorf("%+v and %+v", first, second)
	}
}

// TestSharedPrefixesImproveCachingAtLowerCostThanEvents guards the benefit of routers sharing the
// prefixes that they sent: a higher cached share and earlier first tokens than with their own
// memory alone, less traffic than the engines' cache events, and no failed requests.
func TestSharedPrefixesImproveCachingAtLowerCostThanEvents(t *testing.T) {
	for _, replaced := range []int{0, 4} {
		results := map[Strategy]Result{}
		for _, strategy := range []Strategy{StrategyMemory, StrategyEvents, StrategyShared} {
			options := shortOptions(strategy)
			options.ReplacedMachines = replaced
			results[strategy] = Run(options)
		}
		memory, events, shared := results[StrategyMemory], results[StrategyEvents], results[StrategyShared]
		if shared.CachedShare < memory.CachedShare+0.2 || shared.P50 > memory.P50/2 || shared.P95 > memory.P95 {
			t.Errorf("%d machines replaced: shared %+v, own memory %+v", replaced, shared, memory)
		}
		if shared.CachedShare < events.CachedShare-0.05 || shared.BytesPerNode > events.BytesPerNode/2 {
			t.Errorf("%d machines replaced: shared %+v, events %+v", replaced, shared, events)
		}
		if shared.Failed > 0 || shared.Imbalance > 1.5 || shared.Requests == 0 {
			t.Errorf("%d machines replaced: %+v", replaced, shared)
		}
	}
}

// BenchmarkStrategies reports the results of all strategies in five situations.
func BenchmarkStrategies(b *testing.B) {
	for _, situation := range []struct {
		name    string
		options Options
	}{
		{"base", Options{}},
		{"agents", Options{MeanThinkTime: 2 * time.Second}},
		{"one_system_prompt", Options{SystemPrompts: 1, MeanSystemBlocks: 24}},
		{"three_machines_replaced", Options{ReplacedMachines: 3}},
		{"sticky_sessions", Options{StickySessions: true}},
	} {
		for _, strategy := range Strategies {
			b.Run(fmt.Sprintf("%s/%s", situation.name, strategy), func(b *testing.B) {
				var sum Result
				for i := range b.N {
					options := situation.options
					options.Strategy, options.Seed = strategy, uint64(i%5)+1
					result := Run(options)
					sum.CachedShare += result.CachedShare
					sum.P50, sum.P95, sum.P99 = sum.P50+result.P50, sum.P95+result.P95, sum.P99+result.P99
					sum.Imbalance += result.Imbalance
					sum.BytesPerNode += result.BytesPerNode
				}
				runs := float64(b.N)
				b.ReportMetric(sum.CachedShare/runs*100, "%cached")
				b.ReportMetric(float64(sum.P50.Milliseconds())/runs, "ms-p50")
				b.ReportMetric(float64(sum.P95.Milliseconds())/runs, "ms-p95")
				b.ReportMetric(float64(sum.P99.Milliseconds())/runs, "ms-p99")
				b.ReportMetric(sum.Imbalance/runs, "max/mean")
				b.ReportMetric(sum.BytesPerNode/runs, "B/s/node")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkCacheMove reports the first-token times in the minute after a replacement of three of
// twelve machines or of the only one, with lost caches and with moved caches.
func BenchmarkCacheMove(b *testing.B) {
	for _, situation := range []Options{{ReplacedMachines: 3}, {Machines: 1, SessionRate: 0.5, ReplacedMachines: 1}} {
		for _, moved := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d_leave/moved=%t", situation.ReplacedMachines, moved), func(b *testing.B) {
				var p50, p95 time.Duration
				for i := range b.N {
					options := situation
					options.Seed, options.MoveCaches, options.Duration = uint64(i%5)+1, moved, 2*time.Minute
					result := Run(options)
					p50, p95 = p50+result.AfterP50, p95+result.AfterP95
				}
				b.ReportMetric(float64(p50.Milliseconds())/float64(b.N), "ms-p50")
				b.ReportMetric(float64(p95.Milliseconds())/float64(b.N), "ms-p95")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

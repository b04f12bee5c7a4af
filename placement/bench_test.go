package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
	"unsafe"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
)

// zoneSize is the size of a zone in benchmarks.
type zoneSize struct {
	name                      string
	machines, bases, adapters int
}

// zoneSizes lists the size of the dental service, its multiples, one zone of its size expected
// in two years, and all zones of that size planned as one.
var zoneSizes = []zoneSize{
	{"today", 12, 50, 60},
	{"today4x", 48, 200, 240},
	{"today16x", 192, 800, 960},
	{"zone", 89, 62, 1600},
	{"whole", 1600, 62, 1600},
}

// newBenchmarkZone returns a zone in which about an eighth of the models have requests and many
// more are loaded, and a planner that has planned it for ten minutes.
func newBenchmarkZone(s zoneSize) (*State, *AdaptivePlanner, *rand.Rand) {
	random := rand.New(rand.NewPCG(1, 2))
	var models []settings.Model
	for i := range s.bases {
		models = append(models, testModel(fmt.Sprintf("base-%04d", i), func(m *settings.Model) {
			m.Policy.MaxReplicas = 1 + s.machines/s.bases
		}))
	}
	for i := range s.adapters {
		models = append(models, testModel(fmt.Sprintf("adapter-%04d", i), func(m *settings.Model) {
			m.Kind, m.Base, m.Policy.Memory = settings.KindAdapter, cluster.ModelID(fmt.Sprintf("base-%04d", i%s.bases)), gigabyte/5
		}))
	}
	state := testState(testSnapshot(1, models...), s.machines)
	planner := NewPlanner(Config{})
	engine := fakeEngines{loadTimeFactor: 1, completesAt: map[loadKey]time.Time{}}
	for range 600 {
		changeDemand(&state, random, len(state.Settings.Models)/100)
		engine.apply(&state, planner.Plan(state))
		engine.advance(&state, time.Second)
	}
	return &state, planner, random
}

// changeDemand gives some models requests and removes those of most others.
func changeDemand(state *State, random *rand.Rand, changes int) {
	for range max(changes, 1) {
		id := state.Settings.Models[random.IntN(len(state.Settings.Models))].ID
		if random.IntN(8) == 0 {
			state.Demand[id] = Demand{Waiting: random.IntN(4), Running: 1 + random.IntN(6), Arrivals: 3, EarliestDeadline: 20 * time.Second}
		} else {
			delete(state.Demand, id)
		}
	}
}

// BenchmarkPlan measures a planning round while one in a hundred models changes its demand each
// second.
func BenchmarkPlan(b *testing.B) {
	for _, s := range zoneSizes {
		b.Run(s.name, func(b *testing.B) {
			state, planner, random := newBenchmarkZone(s)
			engine := fakeEngines{loadTimeFactor: 1, completesAt: map[loadKey]time.Time{}}
			b.ReportAllocs()
			actions := 0
			for b.Loop() {
				plan := planner.Plan(*state)
				actions += len(plan.Actions)
				b.StopTimer()
				changeDemand(state, random, len(state.Settings.Models)/100)
				engine.apply(state, plan)
				engine.advance(state, time.Second)
				b.StartTimer()
			}
			b.ReportMetric(float64(actions)/float64(b.N), "actions/op")
			b.ReportMetric(float64(len(state.Settings.Models))*float64(unsafe.Sizeof(modelHistory{})), "learned-bytes")
		})
	}
}

// BenchmarkPlanBurst measures a round in which a tenth of all models wakes up at once.
func BenchmarkPlanBurst(b *testing.B) {
	for _, s := range zoneSizes {
		b.Run(s.name, func(b *testing.B) {
			state, planner, _ := newBenchmarkZone(s)
			for i := range state.Settings.Models {
				if i%10 == 0 {
					state.Demand[state.Settings.Models[i].ID] = Demand{Waiting: 3, Arrivals: 3, EarliestDeadline: 20 * time.Second}
				}
			}
			planEachSecond(b, planner, state)
		})
	}
}

// planEachSecond measures rounds that are one second apart.
func planEachSecond(b *testing.B, planner Planner, state *State) {
	b.Helper()
	b.ReportAllocs()
	for b.Loop() {
		planner.Plan(*state)
		b.StopTimer()
		state.Now = state.Now.Add(time.Second)
		b.StartTimer()
	}
}

// BenchmarkPlanReading measures a round in which a fifth of all models receives long prompts,
// on engines that carry out one order at a time and are full of idle models.
func BenchmarkPlanReading(b *testing.B) {
	for _, s := range zoneSizes[:3] {
		b.Run(s.name, func(b *testing.B) {
			state, _, _ := newBenchmarkZone(s)
			config := serialOrderConfig()
			planner := NewPlanner(config)
			for i := range state.Settings.Models {
				if i%5 == 0 {
					state.Demand[state.Settings.Models[i].ID] = Demand{
						Running: 2, Arrivals: 2, PromptTokens: 2 * longPrompt, PromptSquareSum: 2 * longPrompt * longPrompt,
					}
				}
			}
			planEachSecond(b, planner, state)
		})
	}
}

// BenchmarkPlanStarved measures a round in which many rarely used models wait for a weight
// store that allows no start, on engines that are full of idle models.
func BenchmarkPlanStarved(b *testing.B) {
	const machines, models, waiting = 140, 481, 120
	var catalogue []settings.Model
	for i := range models {
		catalogue = append(catalogue, testModel(fmt.Sprintf("base-%04d", i), func(m *settings.Model) { m.Policy.Memory = 30 * gigabyte }))
	}
	state := testState(testSnapshot(1, catalogue...), machines)
	state.Store = StoreState{StartsPerSecond: 42, Concurrency: 150, Speed: 1, Burst: 15}
	for i := range machines {
		for k := range 2 {
			addLoadedReplica(&state, i, cluster.ModelID(fmt.Sprintf("base-%04d", (2*i+k)%300)))
		}
	}
	for i := range waiting {
		state.Demand[cluster.ModelID(fmt.Sprintf("base-%04d", 300+i))] = Demand{Waiting: 1, Arrivals: 1, EarliestDeadline: 20 * time.Second}
	}
	planner := NewPlanner(Config{RetainIdle: true, EvictForRunning: true, EmptyStartBucket: true})
	b.ReportAllocs()
	for b.Loop() {
		planner.Plan(state)
	}
}

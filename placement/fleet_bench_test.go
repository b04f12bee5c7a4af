package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
)

// BenchmarkPlanFleet measures a round for a fleet of engines that hold two models each. A tenth
// of the models has waiting requests and another tenth running ones.
func BenchmarkPlanFleet(b *testing.B) {
	for _, s := range []struct{ machines, models int }{{1000, 574}, {9755, 574}, {19510, 1148}} {
		b.Run(fmt.Sprintf("engines=%d", s.machines), func(b *testing.B) {
			var catalogue []settings.Model
			for i := range s.models {
				catalogue = append(catalogue, testModel(fmt.Sprintf("base-%04d", i), func(m *settings.Model) { m.Policy.Memory = 30 * gigabyte }))
			}
			state := testState(testSnapshot(1, catalogue...), s.machines)
			state.Store = StoreState{StartsPerSecond: 2800, Concurrency: 14000, Speed: 1, Burst: 100, InitialConcurrency: 400}
			held := s.models * 9 / 10
			for i := range s.machines {
				for k := range 2 {
					addLoadedReplica(&state, i, cluster.ModelID(fmt.Sprintf("base-%04d", (2*i+k)%held)))
				}
			}
			for i := range s.models / 10 {
				state.Demand[cluster.ModelID(fmt.Sprintf("base-%04d", held+i))] = Demand{Waiting: 1, Arrivals: 1, EarliestDeadline: 20 * time.Second}
				state.Demand[cluster.ModelID(fmt.Sprintf("base-%04d", i))] = Demand{Running: 3, Arrivals: 1}
			}
			planEachSecond(b, NewPlanner(Config{RetainIdle: true, EvictForRunning: true, SerialOrders: true, UnloadDropsAdapters: true, AdaptersUnlimited: true}), &state)
		})
	}
}

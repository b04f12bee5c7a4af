package node

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/wire"
)

// TestRouterSharesSumToTheLimit divides random limits over random zones and routers
// and checks that each unit is granted exactly once for any demand.
func TestRouterSharesSumToTheLimit(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for round := range 200 {
		zones := make([]int, 1+random.IntN(6))
		all := 0
		for i := range zones {
			zones[i] = 1 + random.IntN(5)
			all += zones[i]
		}
		scope := settings.Scope{Path: "/", MaxConcurrency: 1 + random.IntN(40), RequestsPerSecond: 10}
		shares := make(map[cluster.NodeID][]wire.ScopeShare)
		before := 0
		for zone, routers := range zones {
			zoneShare := zoneLimitShare{offset: float64(before) / float64(all), fraction: float64(routers) / float64(all), routers: routers}
			var weights []routerWeight
			for router := range routers {
				id := cluster.NodeID(fmt.Sprint(zone, "-", router))
				weights = append(weights, routerWeight{id, idleWeight + float64(random.IntN(3))*random.Float64()*20})
			}
			divideScope(shares, weights, scope, zoneShare)
			before += routers
		}
		concurrency, requests := 0, 0.0
		for _, granted := range shares {
			concurrency += granted[0].Concurrency
			requests += granted[0].Requests
		}
		if concurrency != scope.MaxConcurrency || requests > 10.0001 || requests < 9.999 {
			t.Fatalf("round %d: granted concurrency %d of %d and request rate %f of 10 over zones %v", round, concurrency, scope.MaxConcurrency, requests, zones)
		}
	}
}

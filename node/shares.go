package node

import (
	"sort"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/demand"
	"github.com/valveslip/valveslip/membership"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/wire"
)

const (
	// shareLifetime is the time after which a router's share of a limit expires.
	shareLifetime = 5 * time.Second
	// equalShareFraction is the fraction of a zone's share of a limit that its routers
	// get in equal parts; the rest follows their demand.
	equalShareFraction = 0.25
)

// divideLimits divides this zone's share of every limited scope with demand over the
// zone's routers.
func divideLimits(core *Core, aggregator *demand.Aggregator) map[cluster.NodeID][]wire.ScopeShare {
	snapshot := core.Snapshot()
	if snapshot == nil || len(snapshot.Scopes) == 0 {
		return nil
	}
	zoneShare := ownLimitShare(core)
	shares := make(map[cluster.NodeID][]wire.ScopeShare)
	for _, path := range scopesWithDemand(aggregator) {
		scope, limited := snapshot.Scopes[path]
		if limited {
			divideScope(shares, routerWeights(core, aggregator, scope.Path), scope, zoneShare)
		}
	}
	return shares
}

// zoneLimitShare is a zone's share of every limit: its fraction of the whole, and its
// offset when the fractions of all zones are laid out in order.
type zoneLimitShare struct {
	offset, fraction float64
	routers          int
}

// ownLimitShare returns this zone's share of every limit, proportional to its number
// of nodes. Suspected and dead nodes count in the total, so that a partition does not
// enlarge the share.
func ownLimitShare(core *Core) zoneLimitShare {
	all, before, routers := 1, 0, 1
	for _, member := range core.members.Members() {
		if member.State == membership.StateLeaving {
			continue
		}
		all++
		switch {
		case member.Node.Zone < core.self.Zone:
			before++
		case member.Node.Zone == core.self.Zone && member.State != membership.StateDead:
			routers++
		}
	}
	return zoneLimitShare{
		offset: float64(before) / float64(all), fraction: float64(routers) / float64(all), routers: routers,
	}
}

func scopesWithDemand(aggregator *demand.Aggregator) []string {
	seen := map[string]bool{}
	var paths []string
	for _, id := range aggregator.Routers() {
		for _, scope := range aggregator.Scopes(id) {
			if !seen[scope.Path] {
				seen[scope.Path] = true
				paths = append(paths, scope.Path)
			}
		}
	}
	sort.Strings(paths)
	return paths
}

// divideScope grants every router of the zone its share, also routers without demand:
// a router without a grant would keep using an even share in addition to the others.
func divideScope(shares map[cluster.NodeID][]wire.ScopeShare, weights []routerWeight, scope settings.Scope, zoneShare zoneLimitShare) {
	total := 0.0
	for _, router := range weights {
		total += router.weight
	}
	routers := max(zoneShare.routers, len(weights))
	position := zoneShare.offset
	for _, router := range weights {
		size := zoneShare.fraction * (equalShareFraction/float64(routers) + (1-equalShareFraction)*router.weight/total)
		shares[router.router] = append(shares[router.router], wire.ScopeShare{
			Path: scope.Path, ExpiresIn: shareLifetime,
			Requests:    scope.RequestsPerSecond * size,
			Tokens:      scope.TokensPerSecond * size,
			Concurrency: wholeUnits(scope.MaxConcurrency, position+size) - wholeUnits(scope.MaxConcurrency, position),
		})
		position += size
	}
}

// wholeUnits returns the number of whole requests of a limit that lie before a
// position. The differences between consecutive positions sum to the limit over all
// routers, so a small limit loses nothing to rounding and nothing is granted twice.
func wholeUnits(limit int, position float64) int {
	const roundingTolerance = 1e-9
	return int(float64(limit)*position + roundingTolerance)
}

type routerWeight struct {
	router cluster.NodeID
	weight float64
}

// idleWeight is the weight of a router without demand, in requests.
const idleWeight = 0.01

// routerWeights weighs the zone's routers by their requests in flight and arriving.
func routerWeights(core *Core, aggregator *demand.Aggregator, path string) []routerWeight {
	var weights []routerWeight
	for _, id := range aggregator.Routers() {
		if aggregator.Zone(id) != core.self.Zone {
			continue
		}
		router := routerWeight{id, idleWeight}
		for _, scope := range aggregator.Scopes(id) {
			if scope.Path == path {
				router.weight += scope.Requests + float64(scope.Concurrency)
			}
		}
		weights = append(weights, router)
	}
	return weights
}

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
	// shareLifetime is how long a router may use a share of a limit.
	shareLifetime = 5 * time.Second
	// equalPart of a zone's part of a limit goes to its routers alike; the rest
	// follows their demand.
	equalPart = 0.25
)

// divideLimits divides this zone's part of every limited scope that has demand
// over the zone's routers.
func divideLimits(core *Core, ledger *demand.Ledger) map[cluster.NodeID][]wire.ScopeShare {
	snapshot := core.Snapshot()
	if snapshot == nil || len(snapshot.Scopes) == 0 {
		return nil
	}
	part := zonePart(core)
	shares := make(map[cluster.NodeID][]wire.ScopeShare)
	for _, path := range demandedScopes(ledger) {
		scope, limited := snapshot.Scopes[path]
		if limited {
			divideScope(shares, scopeWants(core, ledger, scope.Path), scope, part)
		}
	}
	return shares
}

// limitPart is a zone's part of every limit: its size, and where it begins when
// the zones' parts are laid out in order.
type limitPart struct {
	begin, size float64
	routers     int
}

// zonePart is this zone's part of every limit, by its number of nodes. Suspected
// and dead nodes count in the whole: a partition must not enlarge the part.
func zonePart(core *Core) limitPart {
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
	return limitPart{
		begin: float64(before) / float64(all), size: float64(routers) / float64(all), routers: routers,
	}
}

func demandedScopes(ledger *demand.Ledger) []string {
	seen := map[string]bool{}
	var paths []string
	for _, id := range ledger.Routers() {
		for _, scope := range ledger.Scopes(id) {
			if !seen[scope.Path] {
				seen[scope.Path] = true
				paths = append(paths, scope.Path)
			}
		}
	}
	sort.Strings(paths)
	return paths
}

// divideScope grants every router of the zone its share, those without demand
// too: a router without a grant would keep an even part beside the others'.
func divideScope(shares map[cluster.NodeID][]wire.ScopeShare, wants []scopeWant, scope settings.Scope, part limitPart) {
	total := 0.0
	for _, want := range wants {
		total += want.weight
	}
	routers := max(part.routers, len(wants))
	position := part.begin
	for _, want := range wants {
		size := part.size * (equalPart/float64(routers) + (1-equalPart)*want.weight/total)
		shares[want.router] = append(shares[want.router], wire.ScopeShare{
			Path: scope.Path, ExpiresIn: shareLifetime,
			Requests:    scope.RequestsPerSecond * size,
			Tokens:      scope.TokensPerSecond * size,
			Concurrency: wholePart(scope.MaxConcurrency, position+size) - wholePart(scope.MaxConcurrency, position),
		})
		position += size
	}
}

// wholePart is how many whole requests of a limit lie before a position. The
// differences between positions sum to the limit over all routers, so none of
// a small limit is lost to rounding and none is granted twice.
func wholePart(limit int, position float64) int {
	const rounding = 1e-9
	return int(float64(limit)*position + rounding)
}

type scopeWant struct {
	router cluster.NodeID
	weight float64
}

// idleWeight is the weight of a router without demand, in requests.
const idleWeight = 0.01

// scopeWants weighs the zone's routers by requests in flight and arriving.
func scopeWants(core *Core, ledger *demand.Ledger, path string) []scopeWant {
	var wants []scopeWant
	for _, id := range ledger.Routers() {
		if ledger.Zone(id) != core.self.Zone {
			continue
		}
		want := scopeWant{id, idleWeight}
		for _, scope := range ledger.Scopes(id) {
			if scope.Path == path {
				want.weight += scope.Requests + float64(scope.Concurrency)
			}
		}
		wants = append(wants, want)
	}
	return wants
}

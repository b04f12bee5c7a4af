package node

import (
	"sort"
	"time"

	"github.com/valveslip/valveslip/cluster"
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
func divideLimits(core *Core, ledger *demandLedger) map[cluster.NodeID][]wire.ScopeShare {
	snapshot := core.Snapshot()
	if snapshot == nil || len(snapshot.Scopes) == 0 {
		return nil
	}
	part, routers := zonePart(core)
	shares := make(map[cluster.NodeID][]wire.ScopeShare)
	for _, path := range demandedScopes(ledger) {
		scope, limited := snapshot.Scopes[path]
		if limited {
			divideScope(shares, ledger, scope, part, routers)
		}
	}
	return shares
}

// zonePart is this zone's part of every limit, by its number of nodes, and that
// number. Suspected nodes count: a partition must not enlarge the part.
func zonePart(core *Core) (part float64, routers int) {
	all := 1
	routers = 1
	for _, member := range core.members.Members() {
		if member.State == membership.StateLeaving {
			continue
		}
		all++
		if member.Node.Zone == core.self.Zone && member.State != membership.StateDead {
			routers++
		}
	}
	return float64(routers) / float64(all), routers
}

func demandedScopes(ledger *demandLedger) []string {
	seen := map[string]bool{}
	var paths []string
	for _, id := range ledger.order {
		for _, scope := range ledger.routers[id].scopes {
			if !seen[scope.Path] {
				seen[scope.Path] = true
				paths = append(paths, scope.Path)
			}
		}
	}
	sort.Strings(paths)
	return paths
}

func divideScope(shares map[cluster.NodeID][]wire.ScopeShare, ledger *demandLedger, scope settings.Scope, part float64, routers int) {
	wants, total := scopeWants(ledger, scope.Path)
	concurrency := float64(scope.MaxConcurrency) * part
	for _, want := range wants {
		weight := equalPart / float64(routers)
		if total > 0 {
			weight += (1 - equalPart) * want.weight / total
		}
		shares[want.router] = append(shares[want.router], wire.ScopeShare{
			Path: scope.Path, ExpiresIn: shareLifetime,
			Requests: scope.RequestsPerSecond * part * weight,
			Tokens:   scope.TokensPerSecond * part * weight,
			// Rounding down keeps the sum below the limit; below one request a
			// router keeps the conservative share it has without a grant.
			Concurrency: int(concurrency * weight),
		})
	}
}

type scopeWant struct {
	router cluster.NodeID
	weight float64
}

// scopeWants lists the routers with demand on the scope, weighted by requests
// in flight and arriving.
func scopeWants(ledger *demandLedger, path string) (wants []scopeWant, total float64) {
	for _, id := range ledger.order {
		for _, scope := range ledger.routers[id].scopes {
			if scope.Path != path {
				continue
			}
			weight := scope.Requests + float64(scope.Concurrency) + 0.01
			wants = append(wants, scopeWant{id, weight})
			total += weight
		}
	}
	return wants, total
}

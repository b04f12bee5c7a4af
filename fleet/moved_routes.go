package fleet

import (
	"slices"
	"strings"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/routing"
)

// routesChanged handles a change of the routes. Streams that began at the service that a route had before are resumed
// at its new one: the releases of the earlier service count there, as if their last machine had just gone.
func (t *releaseTracker) routesChanged(before, now []catalog.Route) {
	for i := range now {
		for j := range before {
			if sameStreams(&before[j], &now[i]) {
				t.routeMoved(&before[j], &now[i])
			}
		}
	}
	t.recorder.markStale()
	t.reportAll()
}

// sameStreams reports whether streams of a route may be resumed on a later one: one prefix contains the other.
func sameStreams(before, now *catalog.Route) bool {
	return before.Resumable && now.Resumable && before.Host == now.Host &&
		(strings.HasPrefix(before.PathPrefix, now.PathPrefix) || strings.HasPrefix(now.PathPrefix, before.PathPrefix))
}

// routeMoved counts the releases of a route's earlier services at those that it did not have.
func (t *releaseTracker) routeMoved(before, now *catalog.Route) {
	for _, target := range now.Targets {
		if slices.ContainsFunc(before.Targets, func(earlier catalog.Target) bool { return earlier.Service == target.Service }) {
			continue
		}
		for _, earlier := range before.Targets {
			releases := slices.DeleteFunc(t.releases(earlier.Service), routing.IsUnlistedRelease)
			t.keep(map[string][]string{target.Service: releases}, nil)
		}
	}
}

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
	if longest := longestStream(before); longest > longestStream(now) {
		t.earlierLongest, t.earlierUntil = max(longest, t.retention()-releaseMargin), t.core.now.Add(longest+releaseMargin)
	}
	byHost := map[string][]*catalog.Route{}
	for i := range before {
		byHost[before[i].Host] = append(byHost[before[i].Host], &before[i])
	}
	for i := range now {
		for _, earlier := range byHost[now[i].Host] {
			if sameStreams(earlier, &now[i]) {
				t.routeMoved(earlier, &now[i])
			}
		}
	}
	t.recorder.markStale()
	t.reportAll()
}

// sameStreams reports whether streams of a route may be resumed on a later one of its host: one prefix contains the
// other.
func sameStreams(before, now *catalog.Route) bool {
	return before.Resumable && now.Resumable &&
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

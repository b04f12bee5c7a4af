package check

import (
	"testing"
	"time"
)

// rapidVersions returns a history of versions one second apart, so that the bound of 3 s never
// passes before the next version is written, and of probes of node 0 once a second. The node has
// each version in force 2 s after the store accepted it.
func rapidVersions() *History {
	h := &History{Bounds: Bounds{Configuration: 3 * time.Second, Drain: 3 * time.Second}, Services: map[string]string{"a-1": "a", "b-1": "b"}}
	for n := range int64(20) {
		service := "a"
		if n >= 10 {
			service = "b"
		}
		at := time.Duration(n) * time.Second
		h.Versions = append(h.Versions, Version{Number: n + 1, WriteStarted: at - 20*time.Millisecond, AcceptedAt: at, PlainService: service})
	}
	for second := time.Duration(8); second < 19; second++ {
		sent := second*time.Second + 500*time.Millisecond
		inForce := Version{Number: int64(second) - 1}
		for _, back := range []int64{0, 1, 2, 3, 4, 5, 6, 7} {
			marker := int64(second) + 1 - back
			h.Probes = append(h.Probes, Probe{Life: 1, Version: marker, Sent: sent, Ended: sent, InForce: inForce.holds(marker)})
		}
	}
	return h
}

// TestRapidVersionsAreJudged guards against a check that evaluates nothing while versions follow
// each other faster than the bound.
func TestRapidVersionsAreJudged(t *testing.T) {
	for _, promise := range []Promise{PromiseConfiguration, PromiseForward} {
		finding := findingFor(Judge(rapidVersions()), promise)
		if finding.Judged < 20 || len(finding.Breaches) > 0 {
			t.Errorf("%s: judged %d times, %v", promise, finding.Judged, finding.Breaches)
		}
	}
}

// freezeNode makes the node stay at the version that it had at the time from.
func freezeNode(h *History, from time.Duration) {
	inForce := Version{Number: int64(from/time.Second) - 1}
	for i := range h.Probes {
		if probe := &h.Probes[i]; probe.Sent > from {
			probe.InForce = inForce.holds(probe.Version)
		}
	}
}

// TestLaggingNodeIsFoundUnlessItsOwnLinkWasDisturbed checks that a node which stays
// at one version for 5 s is a breach, even if links of other nodes are disturbed. A disturbance
// of its own links excuses it, but only until recoveryGrace has passed.
func TestLaggingNodeIsFoundUnlessItsOwnLinkWasDisturbed(t *testing.T) {
	for name, c := range map[string]struct {
		disturbance Disturbance
		found       bool
	}{
		"nothing":            {found: true},
		"another node's":     {Disturbance{Node: 1, Scope: ScopePeer, From: 9 * time.Second, To: 19 * time.Second}, true},
		"its own link":       {Disturbance{Node: 0, Scope: ScopePeer, From: 9 * time.Second, To: 19 * time.Second}, false},
		"its own, long over": {Disturbance{Node: 0, Scope: ScopeStore, From: 8 * time.Second, To: 9 * time.Second}, true},
	} {
		h := rapidVersions()
		freezeNode(h, 9*time.Second)
		if name != "nothing" {
			h.Disturbances = append(h.Disturbances, c.disturbance)
		}
		if finding := findingFor(Judge(h), PromiseConfiguration); (len(finding.Breaches) > 0) != c.found {
			t.Errorf("%s is out of order: %v", name, finding.Breaches)
		}
	}
}

// TestServingADroppedRouteIsFound guards against a check that misses a route which is served
// although no version contains it any more.
func TestServingADroppedRouteIsFound(t *testing.T) {
	h := rapidVersions()
	h.Probes = append(h.Probes, Probe{Life: 1, Version: 2, Sent: 18 * time.Second, Ended: 18 * time.Second, InForce: true})
	for _, promise := range []Promise{PromiseConfiguration, PromiseForward} {
		if finding := findingFor(Judge(h), promise); len(finding.Breaches) == 0 {
			t.Errorf("not found: %s", promise)
		}
	}
}

// TestRunAtAnOutdatedServiceIsFound checks that a run at a service which only outdated
// versions name is a breach.
func TestRunAtAnOutdatedServiceIsFound(t *testing.T) {
	for worker, breaches := range map[string]int{"a-1": 1, "b-1": 0} {
		h := rapidVersions()
		h.Requests = append(h.Requests, Request{ID: "r", Route: RouteRead, Sent: 15 * time.Second, Ended: 16 * time.Second})
		h.Runs = append(h.Runs, runOf("r", worker, 15*time.Second))
		if finding := findingFor(Judge(h), PromiseConfiguration); len(finding.Breaches) != breaches {
			t.Errorf("run by %s: %v", worker, finding.Breaches)
		}
	}
}

package check

import (
	"slices"
	"time"
)

// Distribution is the distribution of a set of measured durations.
type Distribution struct {
	Count int           `json:"count"`
	P50   time.Duration `json:"p50"`
	P99   time.Duration `json:"p99"`
	Max   time.Duration `json:"max"`
}

// newSpread returns the distribution of durations.
func newSpread(times []time.Duration) Distribution {
	if len(times) == 0 {
		return Distribution{}
	}
	sorted := slices.Sorted(slices.Values(times))
	at := func(share float64) time.Duration { return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)] }
	return Distribution{Count: len(sorted), P50: at(0.5), P99: at(0.99), Max: sorted[len(sorted)-1]}
}

// Distributions are the distributions over all nodes together and for each node.
type Distributions struct {
	All   Distribution         `json:"all"`
	Nodes map[int]Distribution `json:"nodes,omitempty"`
}

// newSpreads returns the distributions of durations that are given by node.
func newSpreads(byNode map[int][]time.Duration) Distributions {
	spreads := Distributions{Nodes: map[int]Distribution{}}
	var all []time.Duration
	for node, times := range byNode {
		spreads.Nodes[node] = newSpread(times)
		all = append(all, times...)
	}
	spreads.All = newSpread(all)
	return spreads
}

// ConfigurationTook returns how long after the store accepted a version connected nodes first
// served a route that this or a later version adds. The resolution is about 50 ms, the interval
// at which nodes are probed for the newest version.
func ConfigurationTook(h *History) Distributions {
	seen := map[int][]*Probe{}
	for i := range h.Probes {
		if probe := &h.Probes[i]; probe.InForce {
			seen[probe.Node] = append(seen[probe.Node], probe)
		}
	}
	byNode := map[int][]time.Duration{}
	for i := range h.Versions {
		v := &h.Versions[i]
		for node, probes := range seen {
			if ended, known := firstServedAt(probes, v.Number); known && h.isConnected(node, v.AcceptedAt, ended) && !h.disturbed(node, v.AcceptedAt, ended, ScopeCaller) {
				byNode[node] = append(byNode[node], max(ended-v.AcceptedAt, 0))
			}
		}
	}
	return newSpreads(byNode)
}

// firstServedAt returns when the first answer based on a version or a later one arrived.
func firstServedAt(probes []*Probe, version int64) (ended time.Duration, known bool) {
	for _, probe := range probes {
		if probe.Version >= version && (!known || probe.Ended < ended) {
			ended, known = probe.Ended, true
		}
	}
	return ended, known
}

// LeavingTook returns how long after a worker announced that it leaves connected nodes sent it
// their last request.
func LeavingTook(h *History) Distributions {
	type sender struct {
		worker string
		node   int
	}
	left := map[string]time.Duration{}
	for _, leaving := range h.Leavings {
		left[leaving.Worker] = leaving.At
	}
	last := map[sender]time.Duration{}
	requests := h.requestsByID()
	for i := range h.Runs {
		run := &h.Runs[i]
		at, leaves := left[run.Worker]
		request := requests[run.Request]
		if !leaves || request == nil || run.At < at || !h.isConnected(request.Node, at, run.At) || h.workerDisturbed(run.Worker, request.Sent, run.At) {
			continue
		}
		key := sender{run.Worker, request.Node}
		last[key] = max(last[key], run.At-at)
	}
	byNode := map[int][]time.Duration{}
	for key, took := range last {
		byNode[key.node] = append(byNode[key.node], took)
	}
	return newSpreads(byNode)
}

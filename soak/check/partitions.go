package check

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Tolerances for nodes that are cut off from all workers. From partitionGrace after the cut on, they must
// serve at least partitionServedShare of the share that the other nodes serve then, unless no more requests
// fail there than partitionExtra and partitionFailedShare of all.
const (
	partitionGrace       = 3 * time.Second
	partitionServedShare = 2.0 / 3
	partitionExtra       = 10
	partitionFailedShare = 1.0 / 50
)

// partitionPeriod is a time in which the same nodes are cut off from all workers.
type partitionPeriod struct {
	from, to time.Duration
	// since is when each of these nodes was cut off, until when its own cut ends.
	since, until map[int]time.Duration
}

// countsUntil returns when an answer must have ended to count as served through other nodes: at a node that is cut
// off before that ends, whatever happens to other nodes meanwhile, and at the others before the last such end.
func (p *partitionPeriod) countsUntil(node int) time.Duration {
	if until, isCut := p.until[node]; isCut {
		return until
	}
	return slices.Max(slices.Collect(maps.Values(p.until)))
}

// judgedFrom returns when requests at a node begin to count: those at nodes that are not cut off are compared
// over the same time.
func (p *partitionPeriod) judgedFrom(node int) time.Duration {
	if since, isCut := p.since[node]; isCut {
		return since + partitionGrace
	}
	return slices.Min(slices.Collect(maps.Values(p.since))) + partitionGrace
}

// tally counts the first tries at a group of nodes.
type tally struct{ served, sent int }

func (t tally) share() float64 { return float64(t.served) / float64(max(t.sent, 1)) }

// partitionTally counts the first tries by route: workers of one service may be at fault for all nodes, and the
// routes that callers of a few nodes ask for differ by chance.
type partitionTally struct{ cut, others map[Route]tally }

// count counts a first try.
func (p *partitionTally) count(request *Request, isCut, served bool) {
	group := p.others
	if isCut {
		group = p.cut
	}
	t := group[request.Route]
	t.sent++
	if served {
		t.served++
	}
	group[request.Route] = t
}

// totals returns the first tries at nodes that are cut off on routes that were asked for at others too, and how
// many would be served if they were served as often as there.
func (p *partitionTally) totals() (cut tally, expected float64) {
	for _, route := range slices.Sorted(maps.Keys(p.others)) {
		atCut := p.cut[route]
		cut.sent += atCut.sent
		cut.served += atCut.served
		expected += float64(atCut.sent) * p.others[route].share()
	}
	return cut, expected
}

// describe describes how much worse the nodes that are cut off were served; empty if the promise holds.
func (p *partitionTally) describe() string {
	cut, expected := p.totals()
	sent := cut.sent
	for _, others := range p.others {
		sent += others.sent
	}
	failed := float64(cut.sent - cut.served)
	if float64(cut.served) >= partitionServedShare*expected || failed <= partitionExtra+partitionFailedShare*float64(sent) {
		return ""
	}
	return fmt.Sprintf("served %d of %d requests, %.1f by what the other nodes served", cut.served, cut.sent, expected)
}

// checkPartitions checks that nodes which are cut off from all workers serve their callers through the
// others, before their own cut ends. Only requests at nodes whose process, links and store are undisturbed are
// counted, if other nodes that are not cut off are too at the same time. Every such request at a node that is
// cut off is one observation.
func checkPartitions(h *History, f *Finding) {
	for _, period := range h.partitionPeriods() {
		counts := partitionTally{cut: map[Route]tally{}, others: map[Route]tally{}}
		for i := range h.Requests {
			request := &h.Requests[i]
			_, isCut := period.since[request.Node]
			if !h.countsInPartition(request, &period) || request.Sent < period.judgedFrom(request.Node) {
				continue
			}
			if isCut && !h.othersWork(request, &period) {
				continue
			}
			whole := request.Failure == "" || request.Left
			counts.count(request, isCut, request.Status == http.StatusOK && whole && request.Ended <= period.countsUntil(request.Node))
		}
		if cut, _ := counts.totals(); cut.sent > 0 {
			f.Judged += cut.sent - 1
			f.record("nodes without a path to workers", period.from, counts.describe())
		}
	}
}

// countsInPartition reports whether a request is a first try of the usual load, sent in the period, at a node
// whose other links work. When it ended does not matter: of two nodes that serve nobody, the one that refuses at
// once would otherwise count as worse than the one that lets callers wait beyond the period.
func (h *History) countsInPartition(request *Request, period *partitionPeriod) bool {
	usual := strings.HasPrefix(request.ID, "n") && !strings.HasSuffix(request.ID, "+")
	within := request.Sent >= period.from && request.Sent <= period.to
	return usual && within && !h.disturbed(request.Node, request.Sent, request.Ended, ScopeProcess, ScopeCaller, ScopeStore, ScopePeer)
}

// othersWork reports whether a node that is not cut off could serve callers, and so pass requests on, for as
// long as a request was open: neither its process nor a link of it was disturbed.
func (h *History) othersWork(request *Request, period *partitionPeriod) bool {
	for node := range h.nodeCount() {
		_, isCut := period.since[node]
		if !isCut && !h.disturbed(node, request.Sent, request.Ended, ScopeProcess, ScopeCaller, ScopeStore, ScopePeer) {
			return true
		}
	}
	return false
}

// nodeCount returns the number of nodes that requests were sent to.
func (h *History) nodeCount() int {
	count := 0
	for i := range h.Requests {
		count = max(count, h.Requests[i].Node+1)
	}
	return count
}

// partitionPeriods returns the periods between any two changes of the nodes that are cut off.
func (h *History) partitionPeriods() []partitionPeriod {
	var changes []time.Duration
	for i := range h.Disturbances {
		if d := &h.Disturbances[i]; d.Scope == ScopePath {
			changes = append(changes, d.From, d.To)
		}
	}
	var periods []partitionPeriod
	for _, from := range changes {
		period := partitionPeriod{from: from, to: slices.Max(changes), since: map[int]time.Duration{}, until: map[int]time.Duration{}}
		for _, at := range changes {
			if at > from {
				period.to = min(period.to, at)
			}
		}
		for i := range h.Disturbances {
			d := &h.Disturbances[i]
			if since, known := period.since[d.Node]; d.Scope == ScopePath && d.From <= from && d.To > from && (!known || d.From < since) {
				period.since[d.Node] = d.From
			}
		}
		for node := range period.since {
			period.until[node] = h.cutUntil(node, from)
		}
		if len(period.since) > 0 && period.to > period.from {
			periods = append(periods, period)
		}
	}
	return uniquePeriods(periods)
}

// cutUntil returns when a node that is cut off at the given time no longer is, by overlapping cuts.
func (h *History) cutUntil(node int, at time.Duration) time.Duration {
	for extended := true; extended; {
		extended = false
		for i := range h.Disturbances {
			d := &h.Disturbances[i]
			if d.Scope == ScopePath && d.Node == node && d.From <= at && d.To > at {
				at, extended = d.To, true
			}
		}
	}
	return at
}

// uniquePeriods removes periods that begin at the same time as an earlier one.
func uniquePeriods(periods []partitionPeriod) []partitionPeriod {
	begun := map[time.Duration]bool{}
	unique := periods[:0]
	for _, period := range periods {
		if !begun[period.from] {
			begun[period.from] = true
			unique = append(unique, period)
		}
	}
	return unique
}

// hasJudgeablePartition reports whether a request at a node that is cut off can be evaluated.
func (h *History) hasJudgeablePartition() bool {
	var f Finding
	checkPartitions(h, &f)
	return f.Judged > 0
}

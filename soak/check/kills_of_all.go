package check

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// originStoredAfter is the age from which a stream's origin is stored: the interval of the writes, 0.5 s, and the
	// time that a change takes to reach the store.
	originStoredAfter = time.Second
	// knowsStore is how long after a node became ready it has read the store.
	knowsStore = 500 * time.Millisecond
)

// StreamsAfterKills counts the streams that a kill of all nodes broke off.
type StreamsAfterKills struct {
	// Kills is the number of kills, Cut that of the streams which broke off in one. Of those, callers took TakenUp up
	// again. WentOn brought more events, Whole all, Refused none. Joined hold events of several software versions.
	Kills, Cut, TakenUp, WentOn, Whole, Refused, Joined int
	// Promised is the number of those that had to go on, PromisedWentOn that of them that did.
	Promised, PromisedWentOn int
}

// cutStream is a stream that a kill of all nodes broke off, with the requests that took it up.
type cutStream struct {
	kill  KillOfAll
	chain *streamChain
	// cut is the request that broke off, after lists those that were sent later.
	cut   *Request
	after []*Request
	wrote []*Run
}

// cutByKills returns the streams that kills of all nodes broke off after their first event.
func (h *History) cutByKills() []cutStream {
	runs := h.runsByRequest()
	var cut []cutStream
	for _, chain := range h.streamChains() {
		wrote := chain.contributions(runs)
		for i, request := range chain.requests {
			kill, killed := h.killDuring(request)
			if !killed || request.Answered() || request.Left || len(wrote) == 0 || request.After+strings.Count(request.Body, "\n\n") == 0 {
				continue
			}
			cut = append(cut, cutStream{kill: kill, chain: chain, cut: request, after: chain.requests[i+1:], wrote: wrote})
			// What is taken up after one kill counts there, also if another one follows.
			break
		}
	}
	return cut
}

// killDuring returns the kill of all nodes in which a request broke off.
func (h *History) killDuring(request *Request) (KillOfAll, bool) {
	at := slices.IndexFunc(h.KillsOfAll, func(k KillOfAll) bool {
		return request.Sent < k.From && request.Ended >= k.From && request.Ended <= k.To+knowsStore
	})
	if at < 0 {
		return KillOfAll{}, false
	}
	return h.KillsOfAll[at], true
}

// cutBesideKill reports whether a stream that had begun broke off between the first and the last signal of a kill of
// all nodes: a node that reaches no workers itself has another one relay its streams, which may be killed first.
func (h *History) cutBesideKill(request *Request) bool {
	return request.Route.Streams() && request.Status == http.StatusOK && slices.ContainsFunc(h.KillsOfAll, func(k KillOfAll) bool {
		return request.Sent < k.From && request.Ended >= k.From && request.Ended <= k.To
	})
}

// wentOn reports whether a later request brought an event.
func (c *cutStream) wentOn() bool { return slices.ContainsFunc(c.after, (*Request).broughtEvents) }

// whole reports whether the caller has all events.
func (c *cutStream) whole(events int) bool { return c.chain.received() >= events }

// broughtEvents reports whether a stream's request brought an event.
func (r *Request) broughtEvents() bool {
	return r.Status == http.StatusOK && strings.Contains(r.Body, "\n\n")
}

// mustGoOn reports whether a stream had to go on: its origin was stored, in a store that nothing disturbed, and before
// its deadline a caller asked a node for it that had read the store or knew it already, while workers of its software version served.
func (h *History) mustGoOn(c *cutStream) bool {
	began := c.wrote[0]
	first := c.chain.requests[0]
	if began.At+originStoredAfter > c.kill.From {
		return false
	}
	return slices.ContainsFunc(c.after, func(try *Request) bool {
		undisturbed := !h.disturbed(try.Node, began.At, try.Ended, ScopeStore) && !h.peersDisturbed(began.At, try.Ended) &&
			!h.disturbed(try.Node, try.Sent, try.Ended, ScopeCaller, ScopePath) && (try.broughtEvents() || h.ready(try.Node, try.Sent-knowsStore, try.Ended))
		return undisturbed && try.Ended < first.Sent+first.Deadline && h.servingAt(began.Release, began.At, try.Ended) >= releaseWorkers
	})
}

// ready reports whether a node ran and was ready from one time to another.
func (h *History) ready(node int, from, to time.Duration) bool {
	return !slices.ContainsFunc(h.Disturbances, func(d Disturbance) bool {
		return d.Scope == ScopeProcess && (d.Node == node || d.Node == AllNodes) && d.From <= to && d.To >= from
	})
}

// CountStreamsAfterKills counts the streams that kills of all nodes broke off.
func CountStreamsAfterKills(h *History) StreamsAfterKills {
	counts := StreamsAfterKills{Kills: len(h.KillsOfAll)}
	for _, stream := range h.cutByKills() {
		counts.Cut++
		if len(stream.after) == 0 {
			continue
		}
		counts.TakenUp++
		switch {
		case stream.whole(h.Bounds.StreamEvents):
			counts.Whole++
			counts.WentOn++
		case stream.wentOn():
			counts.WentOn++
		case slices.ContainsFunc(stream.after, func(try *Request) bool { return try.Answered() && try.Status != http.StatusOK }):
			counts.Refused++
		}
		if joinedAt(stream.wrote) != nil {
			counts.Joined++
		}
		if h.mustGoOn(&stream) {
			counts.Promised++
			if stream.wentOn() {
				counts.PromisedWentOn++
			}
		}
	}
	return counts
}

// checkStreamsAfterKill checks that streams whose origins were stored go on after a kill of all nodes, at least
// resumedShare of them.
func checkStreamsAfterKill(h *History, f *Finding) {
	counts := CountStreamsAfterKills(h)
	if counts.Promised < minResumed {
		return
	}
	detail := ""
	if float64(counts.PromisedWentOn) < resumedShare*float64(counts.Promised) {
		detail = fmt.Sprintf("%d of %d streams went on that all nodes had to know", counts.PromisedWentOn, counts.Promised)
	}
	f.Judged += counts.Promised - 1
	f.record("streams after kills", 0, detail)
}

package soak

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/soak/check"
)

// unskewedShare is the share of calls, one in so many, that go to their own nodes while most go to one.
const unskewedShare = 5

// skewCallers sends most calls of all callers to a node for the given time, unless they already go to another.
func (r *run) skewCallers(to *process, length time.Duration) {
	if len(r.nodes) == 1 || !r.skewedTo.CompareAndSwap(nil, to) {
		return
	}
	from := r.recorder.elapsed()
	r.undoAfter(length, func() {
		r.skewedTo.CompareAndSwap(to, nil)
		r.recorder.record(func(h *check.History) {
			h.Skews = append(h.Skews, check.Skew{Node: to.index, From: from, To: r.recorder.elapsed()})
		})
	})
}

// skew moves a request to the node that most callers come to, and reports whether it did.
func (r *run) skew(request *check.Request) bool {
	to := r.skewedTo.Load()
	if to == nil || request.Resumes != "" || xxhash.Sum64String(request.ID)%unskewedShare == 0 {
		return false
	}
	request.Node = to.index
	return true
}

// exchangeOnNewConnection sends one request on a connection of its own.
func (p *process) exchangeOnNewConnection(ctx context.Context, request *check.Request) {
	transport := &http.Transport{DialContext: p.dial, DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	p.exchange(ctx, &http.Client{Transport: transport}, request)
}

package check

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// FloodPrefix begins the identifiers of the requests of the tenant that exceeds its limit.
const FloodPrefix = "flood-"

// keyRecordLag is how long after the store accepted a configuration the run may record it.
const keyRecordLag = 100 * time.Millisecond

// Limit is the request limit, over all nodes, of the tenant that exceeds it on purpose.
type Limit struct {
	// Rate requests per second and Burst more are granted in each Window. The check
	// tolerates the share Overrun of these, and Slack requests, on top.
	Rate, Burst, Slack int
	Overrun            float64
	Window             time.Duration
}

// maxRequests returns the number of requests that may run in a window, tolerances included.
func (l Limit) maxRequests() int {
	granted := float64(l.Rate)*l.Window.Seconds() + float64(l.Burst)
	return int(granted*(1+l.Overrun)) + l.Slack
}

// RevokedKey is a revoked key, with the time when the store accepted a configuration without it.
type RevokedKey struct {
	Key string
	At  time.Duration
}

// checkRevokedKeys checks that no worker runs a request sent with a key that had been revoked for
// longer than Bounds.Keys. No disturbance excuses a breach.
func checkRevokedKeys(h *History, f *Finding) {
	revokedAt := map[string]time.Duration{}
	for _, key := range h.RevokedKeys {
		revokedAt[key.Key] = key.At
	}
	runs := h.runsByRequest()
	for i := range h.Requests {
		r := &h.Requests[i]
		at, revoked := revokedAt[r.Key]
		if r.Key == "" || !revoked || r.Sent <= at+h.Bounds.Keys+keyRecordLag {
			continue
		}
		detail := ""
		if len(runs[r.ID]) > 0 {
			detail = fmt.Sprintf("node %d sent it to %s, the key was taken away %s before", r.Node, runs[r.ID][0].Worker, r.Sent-at)
		}
		f.record(r.ID, r.Sent, detail)
	}
}

// checkTenantLimit checks that no window has more runs of the flooding tenant than its limit
// allows. Runs at workers whose links were disturbed are skipped, since a link may hold
// requests back and then deliver them all at once.
func checkTenantLimit(h *History, f *Finding) {
	var times []time.Duration
	for i := range h.Runs {
		run := &h.Runs[i]
		if strings.HasPrefix(run.Request, FloodPrefix) && !h.workerDisturbed(run.Worker, run.At, run.At) {
			times = append(times, run.At)
		}
	}
	slices.Sort(times)
	from := 0
	for i, at := range times {
		for at-times[from] > h.Bounds.Limit.Window {
			from++
		}
		detail := ""
		if count := i - from + 1; count > h.Bounds.Limit.maxRequests() {
			detail = fmt.Sprintf("%d ran in %s, at most %d may", count, h.Bounds.Limit.Window, h.Bounds.Limit.maxRequests())
		}
		f.record(fmt.Sprintf("run %d", i+1), at, detail)
	}
}

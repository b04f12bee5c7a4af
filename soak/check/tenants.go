package check

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// FloodPrefix begins the identifiers of the requests of the tenant that sends more than it
// may.
const FloodPrefix = "flood-"

// keyLag is how long after the store took a configuration the run may have noted that.
const keyLag = 100 * time.Millisecond

// Limit bounds the requests of the tenant that floods, over all nodes.
type Limit struct {
	// Rate requests a second and Burst more may run in each Window, and Overrun of these and
	// Slack requests beyond.
	Rate, Burst, Slack int
	Overrun            float64
	Window             time.Duration
}

// most is how many requests may run in a window.
func (l Limit) most() int {
	granted := float64(l.Rate)*l.Window.Seconds() + float64(l.Burst)
	return int(granted*(1+l.Overrun)) + l.Slack
}

// TakenKey is a key and when the store took a configuration without it.
type TakenKey struct {
	Key string
	At  time.Duration
}

// keysTaken: no worker runs a request that was sent under a key which had been taken away for
// longer than the bound, whatever was out of order.
func keysTaken(h *History, f *Finding) {
	taken := map[string]time.Duration{}
	for _, key := range h.Taken {
		taken[key.Key] = key.At
	}
	runs := h.runsByRequest()
	for i := range h.Requests {
		r := &h.Requests[i]
		at, gone := taken[r.Key]
		if r.Key == "" || !gone || r.Sent <= at+h.Bounds.Keys+keyLag {
			continue
		}
		detail := ""
		if len(runs[r.ID]) > 0 {
			detail = fmt.Sprintf("node %d sent it to %s, the key was taken away %s before", r.Node, runs[r.ID][0].Worker, r.Sent-at)
		}
		f.judge(r.ID, r.Sent, detail)
	}
}

// limitKept: no window holds more of the flooding tenant's runs than its limit allows. What
// counts must have been sent and have arrived within it: runs at workers whose links were out
// of order are left out, since a link may hold requests back and let them through at once.
func limitKept(h *History, f *Finding) {
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
		if count := i - from + 1; count > h.Bounds.Limit.most() {
			detail = fmt.Sprintf("%d ran in %s, at most %d may", count, h.Bounds.Limit.Window, h.Bounds.Limit.most())
		}
		f.judge(fmt.Sprintf("run %d", i+1), at, detail)
	}
}

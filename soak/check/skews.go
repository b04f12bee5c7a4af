package check

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// From skewGrace after most callers came to one node it must serve at least skewServedShare of the share that
// all nodes served in the time skewBefore before that, and the others serve at the same time. minSkewed is the
// number of requests on either side from which that is judged.
const (
	skewGrace       = 3 * time.Second
	skewBefore      = 6 * time.Second
	skewServedShare = 0.75
	minSkewed       = 20
)

// checkSkews checks that a node to which most callers come serves them nearly as often as before. A
// connection that broke before anything was answered may not have been read and does not count.
func checkSkews(h *History, f *Finding) {
	for i := range h.Skews {
		skew := &h.Skews[i]
		var there, others tally
		for j := range h.Requests {
			request := &h.Requests[j]
			usual := strings.HasPrefix(request.ID, "n") && request.Resumes == "" && request.LeavesAfter == 0
			during := request.Sent >= skew.From+skewGrace && request.Sent <= skew.To
			before := request.Sent >= skew.From-skewBefore && request.Sent < skew.From
			if !usual || !during && !before || request.Status == 0 || h.disturbed(request.Node, request.Sent, request.Ended, ScopeProcess, ScopeCaller, ScopePath) {
				continue
			}
			served := request.Status == http.StatusOK && request.Failure == ""
			if during && request.Node == skew.Node {
				there.add(served)
			} else {
				others.add(served)
			}
		}
		if there.sent < minSkewed || others.sent < minSkewed {
			continue
		}
		detail := ""
		if there.share() < skewServedShare*others.share() {
			detail = fmt.Sprintf("served %d of %d; before, and at other nodes, %d of %d were", there.served, there.sent, others.served, others.sent)
		}
		f.Judged += there.sent - 1
		f.record(fmt.Sprintf("node %d", skew.Node), skew.From, detail)
	}
}

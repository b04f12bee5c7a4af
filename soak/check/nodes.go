package check

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

func nodeName(node int) string { return "node " + strconv.Itoa(node) }

// checkStopCompletesRequests checks that a request which a stopping process has read, and whose
// deadline ends within the grace period, gets a complete answer. A request counts as read if
// it ran or was sent at least maxReadTime before the end of the process.
func checkStopCompletesRequests(h *History, f *Finding) {
	runs := h.runsByRequest()
	for _, stop := range h.Stops {
		if stop.Ended == 0 || h.killedOrPaused(&stop) {
			continue
		}
		for i := range h.Requests {
			request := &h.Requests[i]
			if h.mustCompleteInStop(request, &stop, runs[request.ID]) {
				f.record(request.ID, request.Sent, request.describeCut(&stop, len(runs[request.ID]) > 0))
			}
		}
	}
}

// describeCut describes how a stop cut a request; empty if it did not.
func (r *Request) describeCut(stop *Stop, ran bool) string {
	read := ran || r.Sent < stop.Ended-maxReadTime
	if !read || r.Answered() || r.Left || r.cutAtDeadline() {
		return ""
	}
	return fmt.Sprintf("sent %s after the stop's begin, ran %t: %s", r.Sent-stop.At, ran, r.Failure)
}

// mustCompleteInStop reports whether a request was open at a process during its stop and had to
// complete before the end of the grace period, with no other disturbance of it. An answer that is too long was not cut
// by the stop if a disturbed worker wrote it.
func (h *History) mustCompleteInStop(request *Request, stop *Stop, runs []*Run) bool {
	underWay := request.Node == stop.Node && request.Sent < stop.Ended && request.Ended > stop.At
	inTime := request.Sent+request.Deadline < stop.At+h.Bounds.Grace-maxReadTime
	if !underWay || !inTime || h.disturbed(request.Node, request.Sent, max(request.Ended, stop.Ended), ScopeCaller) {
		return false
	}
	mayBeCut := request.Route.Streams() || request.TooLong
	return !mayBeCut || !h.workerDisturbedDuring(request, runs)
}

// killedOrPaused reports whether a process was disturbed during its stop by anything but
// the stop itself.
func (h *History) killedOrPaused(stop *Stop) bool {
	for _, d := range h.Disturbances {
		other := d.Node == stop.Node && d.Scope == ScopeProcess && !d.isPartOfStop(stop)
		if other && d.From < stop.Ended && d.To+recoveryGrace > stop.At {
			return true
		}
	}
	return false
}

// isPartOfStop reports whether a disturbance is the stop itself or the start that follows it.
func (d *Disturbance) isPartOfStop(stop *Stop) bool { return d.From == stop.At || d.From >= stop.Ended }

// checkStopDuration checks that a process told to stop exits with status zero within its grace
// period plus stopSlack.
func checkStopDuration(h *History, f *Finding) {
	for _, stop := range h.Stops {
		if stop.Ended == 0 || h.killedOrPaused(&stop) {
			continue
		}
		detail := ""
		if took := stop.Ended - stop.At; took > h.Bounds.Grace+stopSlack {
			detail = fmt.Sprintf("took %s of %s", took, h.Bounds.Grace)
		} else if stop.Status != 0 {
			detail = fmt.Sprintf("ended with %d", stop.Status)
		}
		f.record(nodeName(stop.Node), stop.At, detail)
	}
}

// checkUnexpectedExits checks that no process ends without being told to.
func checkUnexpectedExits(h *History, f *Finding) {
	for _, exit := range h.Exits {
		f.record(nodeName(exit.Node), exit.At, "ended by itself: "+exit.Status)
	}
}

// checkRecovery checks that each node is ready and serves every route again after the faults.
func checkRecovery(h *History, f *Finding) {
	for _, recovery := range h.Recoveries {
		detail := ""
		if !recovery.Reached {
			detail = fmt.Sprintf("%s not reached in %s", recovery.What, recovery.Took.Round(time.Millisecond))
		}
		f.record(strings.Join([]string{nodeName(recovery.Node), recovery.What}, ", "), recovery.Took, detail)
	}
}

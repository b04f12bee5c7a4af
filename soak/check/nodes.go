package check

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

func nodeName(node int) string { return "node " + strconv.Itoa(node) }

// nothingCut: a request that a stopping process read, and that must end within the
// grace time, gets its whole answer. What ran was read, and so was what came well
// before the process's end.
func nothingCut(h *History, f *Finding) {
	runs := h.runsByRequest()
	for _, stop := range h.Stops {
		if stop.Ended == 0 || h.killedOrPaused(&stop) {
			continue
		}
		for i := range h.Requests {
			request := &h.Requests[i]
			if h.mustEnd(request, &stop, runs[request.ID]) {
				f.judge(request.ID, request.Sent, request.cut(&stop, len(runs[request.ID]) > 0))
			}
		}
	}
}

// cut says that a stop cut a request.
func (r *Request) cut(stop *Stop, ran bool) string {
	read := ran || r.Sent < stop.Ended-readTime
	if !read || r.answered() || r.ranOut() {
		return ""
	}
	return fmt.Sprintf("sent %s after the stop's begin, ran %t: %s", r.Sent-stop.At, ran, r.Failure)
}

// mustEnd reports whether a request was under way at a process during its stop, and
// must have ended before its grace time did, with nothing else in its way.
func (h *History) mustEnd(request *Request, stop *Stop, runs []*Run) bool {
	underWay := request.Node == stop.Node && request.Sent < stop.Ended && request.Ended > stop.At
	inTime := request.Sent+request.Deadline < stop.At+h.Bounds.Grace-readTime
	if !underWay || !inTime || h.disturbed(request.Node, request.Sent, max(request.Ended, stop.Ended), ScopeCaller) {
		return false
	}
	return !request.Route.Streams() || !h.cutByWorker(request, runs)
}

// killedOrPaused reports whether a process was disturbed during its stop, besides by
// it.
func (h *History) killedOrPaused(stop *Stop) bool {
	for _, d := range h.Disturbances {
		other := d.Node == stop.Node && d.Scope == ScopeProcess && !d.planned(stop)
		if other && d.From < stop.Ended && d.To+settling > stop.At {
			return true
		}
	}
	return false
}

// planned reports whether a disturbance is the stop itself or the start that follows.
func (d *Disturbance) planned(stop *Stop) bool { return d.From == stop.At || d.From >= stop.Ended }

// stopsEnd: a process told to stop ends by itself within its grace time.
func stopsEnd(h *History, f *Finding) {
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
		f.judge(nodeName(stop.Node), stop.At, detail)
	}
}

// nobodyEnds: a process ends only when it is told to.
func nobodyEnds(h *History, f *Finding) {
	for _, exit := range h.Exits {
		f.judge(nodeName(exit.Node), exit.At, "ended by itself: "+exit.Status)
	}
}

// recovered: each node is ready and serves every route again.
func recovered(h *History, f *Finding) {
	for _, recovery := range h.Recoveries {
		detail := ""
		if !recovery.Reached {
			detail = fmt.Sprintf("%s not reached in %s", recovery.What, recovery.Took.Round(time.Millisecond))
		}
		f.judge(strings.Join([]string{nodeName(recovery.Node), recovery.What}, ", "), recovery.Took, detail)
	}
}

package check

import "fmt"

// connectionCloseSlack is how long answers may still let callers keep their connections
// after Bounds.Drain from the begin of a planned stop, by when callers must have noticed it.
const connectionCloseSlack = maxReadTime

// checkStopEndsConnections checks that a stopping process ends keep-alive connections by answers
// that tell the caller to close them, once callers have had time to notice the stop. The
// process must not close such connections itself before it ends, since a request could
// already be on its way.
func checkStopEndsConnections(h *History, f *Finding) {
	for _, stop := range h.Stops {
		if stop.Ended == 0 || h.killedOrPaused(&stop) {
			continue
		}
		for i := range h.Requests {
			if request := &h.Requests[i]; h.mustCloseConnection(request, &stop) {
				f.record(request.ID, request.Ended, request.describeKeptConnection(&stop))
			}
		}
		for _, closing := range h.Closings {
			if h.closedEarlyInStop(&closing, &stop) {
				f.record(nodeName(closing.Node), closing.At, fmt.Sprintf("closed a kept connection %s before its end", stop.Ended-closing.At))
			}
		}
	}
}

// mustCloseConnection reports whether the answer to a request must tell its caller to close the
// connection: the request was sent after the stop had to be known and was answered by the
// stopping process.
func (h *History) mustCloseConnection(request *Request, stop *Stop) bool {
	late := request.Sent > stop.At+h.Bounds.Drain+connectionCloseSlack && request.Ended < stop.Ended
	return request.Node == stop.Node && late && request.Answered()
}

// describeKeptConnection describes an answer that let its caller keep the connection; empty
// if the answer did not.
func (r *Request) describeKeptConnection(stop *Stop) string {
	if r.ClosesConnection {
		return ""
	}
	return fmt.Sprintf("sent %s after the stop's begin, its answer does not end the connection", r.Sent-stop.At)
}

// closedEarlyInStop reports whether a process closed a keep-alive connection during its stop, more
// than maxReadTime before its end and without a disturbance of its link to callers.
func (h *History) closedEarlyInStop(closing *IdleClosing, stop *Stop) bool {
	within := closing.At > stop.At && closing.At < stop.Ended-maxReadTime
	return closing.Node == stop.Node && within && !h.disturbed(closing.Node, stop.At, closing.At, ScopeCaller)
}

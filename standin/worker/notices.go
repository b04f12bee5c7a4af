package worker

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/valveslip/valveslip/platform"
)

// ShedRequest is one request that the worker shed. RetryAfter is the time for which it
// asked the sending node for no further requests.
type ShedRequest struct {
	RequestID  string
	At         time.Time
	RetryAfter time.Duration
}

// SetAnnouncedLimit sets the limit that the worker announces in all its responses, in requests
// per second from all nodes together; zero announces none. The worker doesn't enforce it.
func (w *Worker) SetAnnouncedLimit(perSecond float64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.advertisedLimit = perSecond
}

// SetShedRetryAfter sets for how long a node whose request was shed is asked to send no further
// requests.
func (w *Worker) SetShedRetryAfter(rest time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.shedPause = rest
}

// ShedRequests returns the requests that were shed.
func (w *Worker) ShedRequests() []ShedRequest {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.shedRequests)
}

// shedRequest refuses a request without running it and asks the node to pause.
func (w *Worker) shedRequest(out http.ResponseWriter, id string) {
	w.mutex.Lock()
	rest := w.shedPause
	w.shedRequests = append(w.shedRequests, ShedRequest{RequestID: id, At: time.Now(), RetryAfter: rest})
	w.mutex.Unlock()
	out.Header().Set(platform.HeaderNotExecuted, "1")
	out.Header().Set(platform.HeaderRest, strconv.FormatFloat(rest.Seconds(), 'f', -1, 64))
	out.WriteHeader(http.StatusServiceUnavailable)
}

// setStatusHeaders sets the headers that every response of the worker has: whether it leaves, and
// its advertised limit.
func (w *Worker) setStatusHeaders(header http.Header) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.leaving {
		header.Set(platform.HeaderLeaving, "1")
	}
	w.setBrittleHeader(header)
	if w.advertisedLimit > 0 {
		header.Set(platform.HeaderLimit, strconv.FormatFloat(w.advertisedLimit, 'f', -1, 64))
	}
}

package worker

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/valveslip/valveslip/platform"
)

// Turned is one request that the worker shed. Rest is the time for which it
// asked the sending node for no further requests.
type Turned struct {
	RequestID string
	At        time.Time
	Rest      time.Duration
}

// SetLimit sets the limit that the worker advertises in all its responses, in requests per second
// from all nodes together; zero advertises none. The worker doesn't enforce it.
func (w *Worker) SetLimit(perSecond float64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.advertisedLimit = perSecond
}

// SetRest sets for how long a node whose request was shed is asked to send no further requests.
func (w *Worker) SetRest(rest time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.shedPause = rest
}

// Turned returns the requests that were shed.
func (w *Worker) Turned() []Turned {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.shedRequests)
}

// shedRequest refuses a request without running it and asks the node to pause.
func (w *Worker) shedRequest(out http.ResponseWriter, id string) {
	w.mutex.Lock()
	rest := w.shedPause
	w.shedRequests = append(w.shedRequests, Turned{RequestID: id, At: time.Now(), Rest: rest})
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
	if w.advertisedLimit > 0 {
		header.Set(platform.HeaderLimit, strconv.FormatFloat(w.advertisedLimit, 'f', -1, 64))
	}
}

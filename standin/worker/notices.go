package worker

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/valveslip/valveslip/platform"
)

// Turned is one request that the worker turned away, asking for rest.
type Turned struct {
	RequestID string
	At        time.Time
	Rest      time.Duration
}

// SetLimit has the worker name in all its answers how many requests a second it takes from all
// nodes together; zero has it name none. It takes more all the same.
func (w *Worker) SetLimit(perSecond float64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.limit = perSecond
}

// SetRest sets for how long the worker wants nothing from a node whose request it sheds.
func (w *Worker) SetRest(rest time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.rest = rest
}

// Turned lists the requests that were shed.
func (w *Worker) Turned() []Turned {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.turned)
}

// shed turns a request away.
func (w *Worker) shed(out http.ResponseWriter, id string) {
	w.mutex.Lock()
	rest := w.rest
	w.turned = append(w.turned, Turned{RequestID: id, At: time.Now(), Rest: rest})
	w.mutex.Unlock()
	out.Header().Set(platform.HeaderNotExecuted, "1")
	out.Header().Set(platform.HeaderRest, strconv.FormatFloat(rest.Seconds(), 'f', -1, 64))
	out.WriteHeader(http.StatusServiceUnavailable)
}

// describe says in an answer's head what all answers of the worker say of it.
func (w *Worker) describe(header http.Header) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.leaving {
		header.Set(platform.HeaderLeaving, "1")
	}
	if w.limit > 0 {
		header.Set(platform.HeaderLimit, strconv.FormatFloat(w.limit, 'f', -1, 64))
	}
}

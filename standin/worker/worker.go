package worker

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/platform"
)

// Config describes a worker.
type Config struct {
	ID, Service, Address, Zone string
	// Release is the software version in the worker's entry; "v1" if empty.
	Release string
	Slots   int
	// Queue is the number of requests that may wait for a slot; zero lets any number run at once,
	// except while the worker falls by what it turns away.
	Queue int
	// Unframed workers answer with neither a length nor chunks: the answer ends with its connection.
	Unframed bool
	// Models has the models that the worker can load, by name; nil for a service
	// without models.
	Models map[string]catalog.ModelSpec
	// Held has the names of the models that are loaded at the start.
	Held []string
	// Events is the number of events of each stream, and Pause the time between
	// two of them. With zero Events, answers are not streamed.
	Events int
	Pause  time.Duration
	// LoadTime is the duration of every load and unload.
	LoadTime time.Duration
	// RunTime is the execution time of a request that isn't streamed.
	RunTime time.Duration
	// Unfenced workers accept orders with an older fencing token than one they
	// have seen.
	Unfenced bool
	// MemoryBytes is the memory for loaded models; zero means unlimited. Orders
	// beyond it are recorded as AcceptedOrder.ExceedsMemory.
	MemoryBytes int64
	// StartMillis is the start time that the worker reports, in Unix milliseconds; zero
	// reports none.
	StartMillis int64
	// Reporting is how the worker answers requests for its report.
	Reporting Reporting
}

// Behaviour selects how a worker handles one request.
type Behaviour uint8

// The behaviours of a worker.
const (
	// Serve runs the request and returns its answer.
	Serve Behaviour = iota
	// Reject answers 503 with the header that the request was not executed.
	Reject
	// FailWith500 runs the request and answers 500.
	FailWith500
	// CutAfterRun runs the request and closes the connection without a response.
	CutAfterRun
	// CutStream closes the connection in the middle of an event, after half of the
	// events.
	CutStream
	// Hang runs the request and sends no response until the caller disconnects.
	Hang
	// AnswerForOtherRequest runs the request and returns the answer of another request.
	AnswerForOtherRequest
	// Shed does as Reject and asks the node for a pause in addition.
	Shed
	// EndInsideEvent ends the connection in order, in the middle of an event after half of them.
	EndInsideEvent
	// CutBody runs the request and closes the connection after half of the body.
	CutBody
	// RejectTwice does as Reject and sends the rejection a second time a moment later on the same connection.
	RejectTwice
	// AnswerTwice does as Serve and sends an answer a second time in the same way; RejectNobody does as Serve and
	// then sends a rejection that names no request.
	AnswerTwice
	RejectNobody
	// AnswerWithoutEnd runs the request and writes without end, in a head or a body, until the caller closes.
	AnswerWithoutEnd
)

// HealthPath is where a worker tells whether it is well. Nothing runs and no slot is taken.
const HealthPath = "/healthz"

// misroutedAnswerID is the request ID in the answers of AnswerForOtherRequest.
const misroutedAnswerID = "another-request"

// Run is one request that the worker started to run.
type Run struct {
	RequestID, Model, LastEvent, Body string
	// Release is the software version that ran it.
	Release string
	At      time.Time
	// Events is the number of events of a stream that were written.
	Events int
}

// StreamText returns the stream that answers a request, from the event after
// number after up to number events.
func StreamText(id string, after, events int) string {
	var text strings.Builder
	for number := after + 1; number <= events; number++ {
		text.WriteString(eventText(id, number))
	}
	return text.String()
}

func eventText(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", number, number, id)
}

// AnswerText returns the complete answer of a worker to a request that isn't
// streamed.
func AnswerText(id, worker string) string { return fmt.Sprintf("answer to %s from %s", id, worker) }

// Stamp returns the value that a worker sets in the stamp header of its answers.
func Stamp(worker string) string { return "stamp-" + worker }

// Worker is an HTTP handler for requests, orders and reports. It is safe for
// concurrent use.
type Worker struct {
	// config is constant but for Release and StartMillis, which mutex guards.
	config Config
	// Behave selects the behaviour for a request; nil means Serve for all.
	Behave func(r *http.Request) Behaviour
	// Publish is called with the worker's key and entry when the entry has changed;
	// nil publishes nothing.
	Publish func(key string, entry platform.WorkerDocument)
	// OnFall is called once when the worker, while brittle, turned too many requests away; nil does
	// nothing.
	OnFall func()

	mutex sync.Mutex
	// draining is shown in the worker's entry, leaving in its response headers.
	draining, leaving bool
	runs              []Run
	loadedModels      []platform.HeldModelDocument
	sequence          int64
	highestFence      uint64
	busy              bool
	orders            []AcceptedOrder
	// shedPause is the time for which a node whose request was shed is asked to send nothing.
	shedPause    time.Duration
	shedRequests []ShedRequest
	// advertisedLimit is sent in response headers, in requests per second; zero sends none.
	advertisedLimit float64
	queue           slotQueue
	// orderDelay is the time that an order waits before it is processed.
	orderDelay time.Duration
	// abandonedRequests counts the requests under Hang whose caller disconnected.
	abandonedRequests int
	// reports counts the requests for the report.
	reports int
}

// New returns a worker that has loaded the models config.Held.
func New(config Config) *Worker {
	w := &Worker{config: config, queue: slotQueue{room: config.Queue, freed: make(chan struct{}, 1)}}
	w.loadedModels = w.heldAtStart()
	return w
}

// Key returns the key of the worker's entry in the metadata store.
func (w *Worker) Key() string { return platform.PrefixWorkers + w.config.ID }

// Entry returns the worker's entry for the metadata store.
func (w *Worker) Entry() platform.WorkerDocument {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	state := "ready"
	if w.draining {
		state = "draining"
	}
	return platform.WorkerDocument{
		Service: w.config.Service, Address: w.config.Address, Zone: w.config.Zone, Version: w.release(),
		Slots: w.config.Slots, State: state, Models: slices.Clone(w.loadedModels), Born: w.startTimeMillis(),
	}
}

// startTimeMillis returns the start time that the worker reports, in Unix
// milliseconds, or nil if it reports none.
func (w *Worker) startTimeMillis() *int64 {
	if w.config.StartMillis == 0 {
		return nil
	}
	return &w.config.StartMillis
}

// Draining reports whether the worker's entry says that it is draining.
func (w *Worker) Draining() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.draining
}

// SetAddress sets the address in the worker's entry. It must be called before
// the worker serves requests.
func (w *Worker) SetAddress(address string) { w.config.Address = address }

// Leave announces in all responses, but not in the entry, that the worker leaves, as happens while
// the metadata store is unavailable.
func (w *Worker) Leave() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.leaving = true
}

// Drain announces in the worker's entry and in all responses that it leaves.
func (w *Worker) Drain() {
	w.mutex.Lock()
	w.draining, w.leaving = true, true
	w.mutex.Unlock()
	w.publish()
}

func (w *Worker) publish() {
	if w.Publish != nil {
		w.Publish(w.Key(), w.Entry())
	}
}

// Runs returns the requests that the worker started to run.
func (w *Worker) Runs() []Run {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.runs)
}

// Abandoned returns the number of requests under Hang whose caller disconnected.
func (w *Worker) Abandoned() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.abandonedRequests
}

// Release returns the software version in the worker's entry.
func (w *Worker) Release() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.release()
}

// release returns the software version. The caller holds the mutex.
func (w *Worker) release() string { return cmp.Or(w.config.Release, "v1") }

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w.setStatusHeaders(out.Header())
	if expected := r.Header.Get(platform.HeaderExpectInstance); expected != "" && expected != w.config.ID {
		out.Header().Set(platform.HeaderInstance, w.config.ID)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case platform.PathOrder:
		w.acceptOrder(out, r)
	case platform.PathReport:
		w.serveReport(out, r)
	case HealthPath:
		out.Header().Set(platform.HeaderInstance, w.config.ID)
	default:
		w.serveRequest(out, r)
	}
}

// serveRequest runs a request with the behaviour that Behave selects.
func (w *Worker) serveRequest(out http.ResponseWriter, r *http.Request) {
	behaviour := Serve
	if w.Behave != nil {
		behaviour = w.Behave(r)
	}
	id := r.Header.Get(platform.HeaderRequestID)
	out.Header().Set(platform.HeaderRequestID, id)
	model := r.Header.Get(platform.HeaderModel)
	switch {
	case behaviour == Reject, behaviour == RejectTwice:
		if behaviour == RejectTwice {
			sendSurplus(r, w.surplusRejection(id))
		}
		out.Header().Set(platform.HeaderNotExecuted, "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	case behaviour == Shed:
		w.shedRequest(out, id)
		return
	case w.config.Models != nil && !w.hasLoaded(model):
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !w.acquireSlot(out, r) {
		return
	}
	defer w.releaseSlot()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	run := w.addRun(Run{
		RequestID: id, Model: model, LastEvent: r.Header.Get(platform.HeaderLastEvent), Body: string(body), At: time.Now(),
	})
	switch behaviour {
	case CutAfterRun:
		panic(http.ErrAbortHandler)
	case AnswerWithoutEnd:
		w.writeWithoutEnd(out, id, run)
		return
	case AnswerTwice:
		sendSurplus(r, w.surplusAnswer(id))
	case RejectNobody:
		sendSurplus(r, w.surplusRejection(""))
	case Hang:
		<-r.Context().Done()
		w.mutex.Lock()
		w.abandonedRequests++
		w.mutex.Unlock()
		return
	}
	out.Header().Set(platform.HeaderStamp, Stamp(w.config.ID))
	if w.config.Unframed {
		// The server then closes the connection after the answer.
		out.Header().Set("Transfer-Encoding", "identity")
	}
	if behaviour == AnswerForOtherRequest {
		id = misroutedAnswerID
		out.Header().Set(platform.HeaderRequestID, id)
	}
	if w.config.Events > 0 {
		w.serveStream(out, r, id, behaviour, run)
		return
	}
	if behaviour == FailWith500 {
		out.WriteHeader(http.StatusInternalServerError)
	}
	time.Sleep(w.config.RunTime)
	text := AnswerText(id, w.config.ID)
	if behaviour == CutBody {
		out.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(out, text[:len(text)/2])
		_ = http.NewResponseController(out).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(out, text)
}

// addRun records a run and returns its index.
func (w *Worker) addRun(run Run) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	run.Release = w.release()
	w.runs = append(w.runs, run)
	return len(w.runs) - 1
}

// countEvent counts an event that a run has written.
func (w *Worker) countEvent(run int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.runs[run].Events++
}

// serveStream sends the events after the last one that the caller received.
func (w *Worker) serveStream(out http.ResponseWriter, r *http.Request, id string, behaviour Behaviour, run int) {
	out.Header().Set("Content-Type", "text/event-stream")
	lastReceived, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEvent))
	flusher := http.NewResponseController(out)
	for number := lastReceived + 1; number <= w.config.Events; number++ {
		if (behaviour == CutStream || behaviour == CutBody) && number > w.config.Events/2 {
			_, _ = fmt.Fprintf(out, "id: %d\nda", number)
			_ = flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		if behaviour == EndInsideEvent && number > w.config.Events/2 {
			_, _ = fmt.Fprintf(out, "id: %d\nda", number)
			return
		}
		_, _ = io.WriteString(out, eventText(id, number))
		if flusher.Flush() != nil {
			return
		}
		w.countEvent(run)
		select {
		case <-time.After(w.config.Pause):
		case <-r.Context().Done():
			return
		}
	}
}

// hasLoaded reports whether a model is loaded, and its adapter if it names one.
func (w *Worker) hasLoaded(model string) bool {
	name, adapter := splitModel(model)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, loaded := range w.loadedModels {
		if loaded.Name == name {
			return adapter == "" || slices.Contains(loaded.Adapters, adapter)
		}
	}
	return false
}

func splitModel(model string) (name, adapter string) {
	_, name, adapter = catalog.Split(catalog.ModelID("s", model))
	return name, adapter
}

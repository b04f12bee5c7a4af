package worker

import (
	"encoding/json"
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
	Slots                      int
	// Models of the engine by name; nil for a service without models.
	Models map[string]catalog.ModelSpec
	// Held models at the start.
	Held []string
	// Events of each stream, and the pause between two of them.
	Events int
	Pause  time.Duration
	// LoadTime of every load.
	LoadTime time.Duration
	// RunTime is how long a request that is no stream runs.
	RunTime time.Duration
	// Unfenced workers take orders under older fences than one they have seen.
	Unfenced bool
	// MemoryBytes bounds the models held at once; zero sets no bound.
	MemoryBytes int64
	// Born is when the worker starts, in Unix milliseconds; it says nothing of that if zero.
	Born int64
}

// Behaviour is what a worker does with one request besides running it.
type Behaviour uint8

// The behaviours.
const (
	// Serve runs the request and answers.
	Serve Behaviour = iota
	// Reject answers that it did not run the request.
	Reject
	// FailWith500 runs the request and answers 500.
	FailWith500
	// CutAfterRun runs the request and closes the connection.
	CutAfterRun
	// CutStream breaks a stream off in the middle of an event, halfway.
	CutStream
	// Hang runs the request and never answers.
	Hang
	// Cross runs the request and gives the answer to another one.
	Cross
	// Shed answers that it did not run the request, and for how long it wants nothing more.
	Shed
	// CutBody runs the request and breaks the answer off halfway.
	CutBody
)

// crossedID is the request that a crossed answer belongs to.
const crossedID = "another-request"

// Run is one request that the worker began.
type Run struct {
	RequestID, Model, LastEvent, Body string
	At                                time.Time
}

// StreamText is the whole stream that answers a request after an event.
func StreamText(id string, after, events int) string {
	var text strings.Builder
	for number := after + 1; number <= events; number++ {
		text.WriteString(event(id, number))
	}
	return text.String()
}

func event(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", number, number, id)
}

// AnswerText is the whole answer of a worker to a request that is no stream.
func AnswerText(id, worker string) string { return fmt.Sprintf("answer to %s from %s", id, worker) }

// Stamp signs the answers of a worker.
func Stamp(worker string) string { return "stamp-" + worker }

// Worker serves requests. It is safe for concurrent use.
type Worker struct {
	config Config
	// Behave chooses the behaviour for a request; nil serves all.
	Behave func(r *http.Request) Behaviour
	// Publish is called with the worker's entry when it has changed.
	Publish func(key string, entry platform.WorkerDocument)

	mutex sync.Mutex
	// draining is what the worker's entry says, leaving what its answers do.
	draining, leaving bool
	runs              []Run
	held              []platform.HeldModelDocument
	sequence          int64
	fence             uint64
	busy              bool
	orders            []TakenOrder
	// rest is for how long the worker wants nothing from a node whose request it sheds, turned are
	// those that it shed.
	rest   time.Duration
	turned []Turned
	// limit that the worker names in its answers, in requests a second; zero names none.
	limit float64
	// orderDelay is how late orders are looked at.
	orderDelay time.Duration
	// abandoned counts the hanging requests whose connection closed.
	abandoned int
}

// New returns a worker.
func New(config Config) *Worker {
	w := &Worker{config: config}
	for _, name := range config.Held {
		w.held = append(w.held, platform.HeldModelDocument{Name: name, Version: 1, Adapters: []string{}})
	}
	return w
}

// Key is the worker's key in the store.
func (w *Worker) Key() string { return platform.PrefixWorkers + w.config.ID }

// Entry is the worker's entry in the store.
func (w *Worker) Entry() platform.WorkerDocument {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	state := "ready"
	if w.draining {
		state = "draining"
	}
	return platform.WorkerDocument{
		Service: w.config.Service, Address: w.config.Address, Zone: w.config.Zone, Version: "v1",
		Slots: w.config.Slots, State: state, Models: slices.Clone(w.held), Born: w.born(),
	}
}

// born is what the worker says of its start.
func (w *Worker) born() *int64 {
	if w.config.Born == 0 {
		return nil
	}
	return &w.config.Born
}

// Draining reports whether the worker says that it leaves.
func (w *Worker) Draining() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.draining
}

// SetAddress sets where the worker is served.
func (w *Worker) SetAddress(address string) { w.config.Address = address }

// Leave has the worker say in all its answers that it leaves, and nothing in its entry, as while
// the store is away.
func (w *Worker) Leave() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.leaving = true
}

// Drain has the worker say that it leaves, in its entry and in its answers.
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

// Runs lists the requests that were begun.
func (w *Worker) Runs() []Run {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.runs)
}

// Abandoned counts the hanging requests whose connection closed.
func (w *Worker) Abandoned() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.abandoned
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w.describe(out.Header())
	if expected := r.Header.Get(platform.HeaderExpectInstance); expected != "" && expected != w.config.ID {
		out.Header().Set(platform.HeaderInstance, w.config.ID)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case platform.PathOrder:
		w.takeOrder(out, r)
	case platform.PathReport:
		w.report(out)
	default:
		w.serve(out, r)
	}
}

// serve runs a request.
func (w *Worker) serve(out http.ResponseWriter, r *http.Request) {
	behaviour := Serve
	if w.Behave != nil {
		behaviour = w.Behave(r)
	}
	id := r.Header.Get(platform.HeaderRequestID)
	out.Header().Set(platform.HeaderRequestID, id)
	model := r.Header.Get(platform.HeaderModel)
	switch {
	case behaviour == Reject:
		out.Header().Set(platform.HeaderNotExecuted, "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	case behaviour == Shed:
		w.shed(out, id)
		return
	case w.config.Models != nil && !w.holds(model):
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.mutex.Lock()
	w.runs = append(w.runs, Run{
		RequestID: id, Model: model, LastEvent: r.Header.Get(platform.HeaderLastEvent), Body: string(body), At: time.Now(),
	})
	w.mutex.Unlock()
	switch behaviour {
	case CutAfterRun:
		panic(http.ErrAbortHandler)
	case Hang:
		<-r.Context().Done()
		w.mutex.Lock()
		w.abandoned++
		w.mutex.Unlock()
		return
	}
	out.Header().Set(platform.HeaderStamp, Stamp(w.config.ID))
	if behaviour == Cross {
		id = crossedID
		out.Header().Set(platform.HeaderRequestID, id)
	}
	if w.config.Events > 0 {
		w.stream(out, r, id, behaviour)
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

// stream sends events after the last one that the caller has.
func (w *Worker) stream(out http.ResponseWriter, r *http.Request, id string, behaviour Behaviour) {
	out.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEvent))
	flusher := http.NewResponseController(out)
	for number := first + 1; number <= w.config.Events; number++ {
		if (behaviour == CutStream || behaviour == CutBody) && number > w.config.Events/2 {
			_, _ = fmt.Fprintf(out, "id: %d\nda", number)
			_ = flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(out, event(id, number))
		if flusher.Flush() != nil {
			return
		}
		select {
		case <-time.After(w.config.Pause):
		case <-r.Context().Done():
			return
		}
	}
}

// holds reports whether a model, with its adapter, is loaded.
func (w *Worker) holds(model string) bool {
	name, adapter := split(model)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, held := range w.held {
		if held.Name == name {
			return adapter == "" || slices.Contains(held.Adapters, adapter)
		}
	}
	return false
}

func split(model string) (name, adapter string) {
	_, name, adapter = catalog.Split(catalog.ModelID("s", model))
	return name, adapter
}

// report answers the worker's report.
func (w *Worker) report(out http.ResponseWriter) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_ = json.NewEncoder(out).Encode(platform.ReportDocument{Models: w.held, Busy: w.busy, Sequence: w.sequence, Born: w.born()})
}

package check

import (
	"cmp"
	"slices"
	"time"
)

// BurstPrefix begins the identifiers of requests that come beyond the usual.
const BurstPrefix = "burst-"

// Request is one request as its caller saw it. Times count from the run's begin.
type Request struct {
	ID    string
	Node  int
	Route Route
	Model string
	// Key that the caller gave, empty for none.
	Key string
	// After is the event after which a stream was asked for.
	After int
	// Deadline that the caller stated.
	Deadline    time.Duration
	Sent, Ended time.Duration
	// Status is zero without a head of an answer.
	Status                int
	EchoedID, Stamp, Body string
	// Failure says why the answer did not come whole; empty when it did.
	Failure string
	// Leave is set when the answer ended its connection.
	Leave bool
}

// answered reports whether a whole answer came.
func (r *Request) answered() bool { return r.Status != 0 && r.Failure == "" }

// Run is one request that a worker began.
type Run struct {
	Request, Worker, Body string
	At                    time.Duration
}

// Turned is one request that a worker turned away, asking its node for rest.
type Turned struct {
	Request, Worker string
	Rest, At        time.Duration
}

// Order is one order that a worker took.
type Order struct {
	Worker, Holder string
	Fence          uint64
	At             time.Duration
	// Load is set for loads of whole models, Overfills for one that needs more
	// memory than the worker has.
	Load, Overfills bool
}

// Leaving is a worker's word that it leaves.
type Leaving struct {
	Worker string
	At     time.Duration
}

// WorkerLimit is a time in which a worker named a limit in all its answers.
type WorkerLimit struct {
	Worker string
	// PerSecond requests are what it takes of all nodes together.
	PerSecond float64
	From, To  time.Duration
}

// Stop is a planned stop of a process. Ended is zero while the process lives.
type Stop struct {
	Node      int
	At, Ended time.Duration
	// Status of the process at its end.
	Status int
}

// Closing is a connection that a node closed while a caller kept it for its next request.
type Closing struct {
	Node int
	At   time.Duration
}

// Exit is the end of a process that nobody asked for.
type Exit struct {
	Node   int
	At     time.Duration
	Status string
}

// Recovery says when a node served again after the faults: ready, and each route.
type Recovery struct {
	Node    int
	What    string
	Took    time.Duration
	Reached bool
}

// Scope is what a disturbance concerns.
type Scope uint8

// The scopes.
const (
	// ScopeProcess: the process was started, stopped, killed or paused.
	ScopeProcess Scope = iota
	// ScopeCaller, ScopeStore, ScopePeer: the node's link.
	ScopeCaller
	ScopeStore
	ScopePeer
	// ScopeWorker: a worker or the link to it.
	ScopeWorker
)

// AllNodes is the Node of a disturbance that concerns every node.
const AllNodes = -1

// Disturbance is a time in which something was out of order.
type Disturbance struct {
	Node  int
	Scope Scope
	// Worker that ScopeWorker concerns.
	Worker   string
	From, To time.Duration
}

// Bounds are the figures that the run promises to keep.
type Bounds struct {
	// Drain and Configuration are the users' bounds, Grace that of a planned stop.
	Drain, Configuration, Grace time.Duration
	// LoadsPerWindow may begin in any LoadWindow.
	LoadsPerWindow int
	LoadWindow     time.Duration
	// Recovery is within what nodes serve again after the faults.
	Recovery time.Duration
	// StreamEvents is the length of a stream.
	StreamEvents int
	// Keys is for how long a key may be used after it was taken away, Limit that of the
	// tenant that floods.
	Keys  time.Duration
	Limit Limit
}

// History is all that a run showed.
type History struct {
	Bounds   Bounds
	Requests []Request
	Runs     []Run
	Turned   []Turned
	Orders   []Order
	Leavings []Leaving
	// LeavingAnswers are the workers whose answers say from a time on that they leave.
	LeavingAnswers []Leaving
	WorkerLimits   []WorkerLimit
	Versions       []Version
	Taken          []TakenKey
	Probes         []Probe
	Stops          []Stop
	Closings       []Closing
	Exits          []Exit
	Recoveries     []Recovery
	Disturbances   []Disturbance
	// Engines counts the workers that take orders.
	Engines int
	// Services names the service of each worker.
	Services map[string]string
}

// requestsByID finds requests by their identifiers.
func (h *History) requestsByID() map[string]*Request {
	requests := make(map[string]*Request, len(h.Requests))
	for i := range h.Requests {
		requests[h.Requests[i].ID] = &h.Requests[i]
	}
	return requests
}

// runsByRequest groups the runs.
func (h *History) runsByRequest() map[string][]*Run {
	runs := make(map[string][]*Run, len(h.Runs))
	for i := range h.Runs {
		run := &h.Runs[i]
		runs[run.Request] = append(runs[run.Request], run)
	}
	return runs
}

// disturbed reports whether one of the scopes was out of order for a node within a
// time; recovering from a disturbance counts as one.
func (h *History) disturbed(node int, from, to time.Duration, scopes ...Scope) bool {
	return slices.ContainsFunc(h.Disturbances, func(d Disturbance) bool {
		concerns := d.Node == node || d.Node == AllNodes
		return concerns && slices.Contains(scopes, d.Scope) && d.From <= to && d.To+settling >= from
	})
}

// peersDisturbed reports whether the links between any nodes were out of order within a
// time: what nodes must tell each other may be late at all of them then.
func (h *History) peersDisturbed(from, to time.Duration) bool {
	return slices.ContainsFunc(h.Disturbances, func(d Disturbance) bool {
		return d.Scope == ScopePeer && d.From <= to && d.To+settling >= from
	})
}

// workerDisturbed reports whether a worker or the link to it was out of order.
func (h *History) workerDisturbed(worker string, from, to time.Duration) bool {
	return slices.ContainsFunc(h.Disturbances, func(d Disturbance) bool {
		return d.Scope == ScopeWorker && d.Worker == worker && d.From <= to && d.To+settling >= from
	})
}

// cutByWorker reports whether a worker that ran a request was out of order meanwhile.
func (h *History) cutByWorker(request *Request, runs []*Run) bool {
	return slices.ContainsFunc(runs, func(run *Run) bool {
		return h.workerDisturbed(run.Worker, request.Sent, request.Ended)
	})
}

// ordersByWorker groups the orders, oldest first.
func (h *History) ordersByWorker() map[string][]Order {
	orders := map[string][]Order{}
	for _, order := range h.Orders {
		orders[order.Worker] = append(orders[order.Worker], order)
	}
	for _, list := range orders {
		slices.SortStableFunc(list, func(a, b Order) int { return cmp.Compare(a.At, b.At) })
	}
	return orders
}

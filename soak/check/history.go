package check

import (
	"cmp"
	"slices"
	"time"
)

// BurstPrefix begins the identifiers of the requests of a caller burst.
const BurstPrefix = "burst-"

// Request is one request as its caller observed it. Times count from the start of the run.
type Request struct {
	ID    string
	Node  int
	Route Route
	Model string
	// Key is the caller's API key; empty for none.
	Key string
	// After is the number of the event after which the stream was to begin, Resumes the request that
	// brought its first event, empty for this one.
	After   int
	Resumes string
	// FailedTries is the number of requests in a row before this one that resumed the stream and brought no event.
	FailedTries int
	// LeavesAfter is the number of events after which the caller leaves, to continue the stream with
	// another request; zero for none.
	LeavesAfter int
	// Left is set if the caller left by itself, having got those events.
	Left bool
	// Deadline is the time limit that the caller stated.
	Deadline    time.Duration
	Sent, Ended time.Duration
	// Status is the HTTP status, zero if no response header arrived.
	Status                int
	EchoedID, Stamp, Body string
	// Failure is why the answer is incomplete; empty for a complete one.
	Failure string
	// TooLong is set if the answer is longer than any that a worker has, and the caller stopped reading it.
	TooLong bool
	// ClosesConnection is set if the answer told the caller to close the connection.
	ClosesConnection bool
}

// Answered reports whether a complete answer arrived.
func (r *Request) Answered() bool { return r.Status != 0 && r.Failure == "" }

// Run is one request that a worker began to run.
type Run struct {
	Request, Worker, Body string
	At                    time.Duration
	// Release is the software version of the worker. After is the event after which a stream was to
	// begin, Events the number of events that the worker wrote.
	Release       string
	After, Events int
}

// Skew is a time in which most callers came to one node, on new connections.
type Skew struct {
	Node     int
	From, To time.Duration
}

// Life is the time in which a worker served, and its software version.
type Life struct {
	Worker, Service, Release string
	From, To                 time.Duration
}

// Rejection is a request that a worker rejected, asking the node for a back-off.
type Rejection struct {
	Request, Worker string
	Backoff, At     time.Duration
}

// Order is one order that a worker accepted.
type Order struct {
	Worker, Holder string
	Fence          uint64
	At             time.Duration
	// Load is set for an order to load a whole model, Overfills if the load needs more
	// memory than the worker has.
	Load, Overfills bool
}

// Leaving is a worker's announcement that it leaves.
type Leaving struct {
	Worker string
	At     time.Duration
}

// WorkerLimit is a period in which a worker announced a rate limit in all its answers.
type WorkerLimit struct {
	Worker string
	// PerSecond is the limit in requests per second over all nodes together.
	PerSecond float64
	From, To  time.Duration
}

// BrittleTime is a time in which a worker of a service announced that it is brittle.
type BrittleTime struct {
	Service  string
	From, To time.Duration
}

// Fall is the end of a brittle worker that had to turn too many requests away.
type Fall struct {
	Worker, Service string
	At              time.Duration
}

// Stop is a planned stop of a process. Ended is zero while the process lives.
type Stop struct {
	Node      int
	At, Ended time.Duration
	// Status is the exit status of the process.
	Status int
}

// IdleClosing records that a node closed an idle keep-alive connection of a caller.
type IdleClosing struct {
	Node int
	At   time.Duration
}

// Exit is an unexpected end of a process.
type Exit struct {
	Node   int
	At     time.Duration
	Status string
}

// Recovery records how long after the last fault a node was ready again, or served one
// route again.
type Recovery struct {
	Node    int
	What    string
	Took    time.Duration
	Reached bool
}

// Scope is the part of the system that a disturbance affects.
type Scope uint8

// The scopes.
const (
	// ScopeProcess: the process was started, stopped, killed or paused.
	ScopeProcess Scope = iota
	// ScopeCaller, ScopeStore and ScopePeer: the node's link to callers, to the store and
	// to other nodes.
	ScopeCaller
	ScopeStore
	ScopePeer
	// ScopeWorker: a worker or the link to it.
	ScopeWorker
	// ScopePath: the links of a node to all workers.
	ScopePath
)

// AllNodes is the Node of a disturbance that affects every node.
const AllNodes = -1

// KillOfAll is a kill of all nodes, from the first signal to the last.
type KillOfAll struct {
	From, To time.Duration
}

// Disturbance is a period in which a part of the system was not working normally.
type Disturbance struct {
	Node  int
	Scope Scope
	// Worker is the worker that a disturbance of ScopeWorker affects.
	Worker   string
	From, To time.Duration
}

// Bounds are the limits that the run must keep.
type Bounds struct {
	// Drain bounds how long a leaving worker may still get work, Configuration how long a
	// new version takes to be in force; both are promised to users. Grace is the grace
	// period of a planned stop.
	Drain, Configuration, Grace time.Duration
	// LoadsPerWindow is the number of model loads that may begin in any LoadWindow.
	LoadsPerWindow int
	LoadWindow     time.Duration
	// Recovery is the time within which nodes must serve again after the last fault.
	Recovery time.Duration
	// StreamEvents is the number of events of a stream.
	StreamEvents int
	// Keys is how long a key may still be used after it was revoked. Limit is the request
	// limit of the tenant that exceeds it on purpose.
	Keys  time.Duration
	Limit Limit
}

// History is everything that was observed in a run.
type History struct {
	Bounds     Bounds
	Requests   []Request
	Runs       []Run
	Rejections []Rejection
	Orders     []Order
	Leavings   []Leaving
	// LeavingAnswers are the workers whose answers announce, from a time on, that they leave.
	LeavingAnswers []Leaving
	WorkerLimits   []WorkerLimit
	BrittleTimes   []BrittleTime
	Falls          []Fall
	Versions       []Version
	RevokedKeys    []RevokedKey
	Probes         []Probe
	Stops          []Stop
	Closings       []IdleClosing
	Exits          []Exit
	KillsOfAll     []KillOfAll
	Recoveries     []Recovery
	Disturbances   []Disturbance
	// Skews are the times in which most callers came to one node.
	Skews []Skew
	// Lives are the lives of the workers.
	Lives []Life
	// Engines is the number of workers that accept orders.
	Engines int
	// StreamService is the service whose workers answer with streams.
	StreamService string
	// Services maps each worker to its service.
	Services map[string]string
}

// requestsByID returns the requests by identifier.
func (h *History) requestsByID() map[string]*Request {
	requests := make(map[string]*Request, len(h.Requests))
	for i := range h.Requests {
		requests[h.Requests[i].ID] = &h.Requests[i]
	}
	return requests
}

// runsByRequest returns the runs by request identifier.
func (h *History) runsByRequest() map[string][]*Run {
	runs := make(map[string][]*Run, len(h.Runs))
	for i := range h.Runs {
		run := &h.Runs[i]
		runs[run.Request] = append(runs[run.Request], run)
	}
	return runs
}

// disturbed reports whether a disturbance in one of the scopes affected a node at any time
// between from and to. The recovery period after a disturbance counts as part of it.
func (h *History) disturbed(node int, from, to time.Duration, scopes ...Scope) bool {
	return slices.ContainsFunc(h.Disturbances, func(d Disturbance) bool {
		concerns := d.Node == node || d.Node == AllNodes
		return concerns && slices.Contains(scopes, d.Scope) && d.From <= to && d.To+recoveryGrace >= from
	})
}

// peersDisturbed reports whether any links between nodes were disturbed at any time between
// from and to. Information that nodes exchange may then arrive late at all of them.
func (h *History) peersDisturbed(from, to time.Duration) bool {
	return slices.ContainsFunc(h.Disturbances, func(d Disturbance) bool {
		return d.Scope == ScopePeer && d.From <= to && d.To+recoveryGrace >= from
	})
}

// workerDisturbed reports whether a worker or the link to it was disturbed at any time
// between from and to.
func (h *History) workerDisturbed(worker string, from, to time.Duration) bool {
	return slices.ContainsFunc(h.Disturbances, func(d Disturbance) bool {
		return d.Scope == ScopeWorker && d.Worker == worker && d.From <= to && d.To+recoveryGrace >= from
	})
}

// workerDisturbedDuring reports whether a worker that ran a request, or the node's path to workers, was
// disturbed while the request was open.
func (h *History) workerDisturbedDuring(request *Request, runs []*Run) bool {
	return h.disturbed(request.Node, request.Sent, request.Ended, ScopePath) || slices.ContainsFunc(runs, func(run *Run) bool {
		return h.workerDisturbed(run.Worker, request.Sent, request.Ended)
	})
}

// ordersByWorker returns the orders by worker, oldest first.
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

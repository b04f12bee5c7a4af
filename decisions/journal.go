package decisions

import (
	"sync"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
)

// Defaults of Config and bounds of one entry.
const (
	DefaultRequests  = 4096
	DefaultDecisions = 4096
	// maxCandidates and maxFiltered bound the reasons kept with an entry.
	maxCandidates = 4
	maxFiltered   = 6
	// maxDispatches bounds the attempts kept with a request; the last stay.
	maxDispatches = 4
)

// Config bounds a Journal; zero fields take the defaults.
type Config struct {
	// Requests is how many requests are kept, Decisions how many placement
	// decisions and actions.
	Requests, Decisions int
}

// Dispatch is one attempt of a request with the reason of its choice.
type Dispatch struct {
	At      time.Time
	Attempt cluster.Attempt
	Machine cluster.MachineID
	Version string
	Reason  routing.Choice
}

// Request is what became of one request.
type Request struct {
	ID    cluster.RequestID
	Model cluster.ModelID
	// TokenPath is the subtree of the caller's token.
	TokenPath string
	// Arrived and Ended bound the request's life; Ended is zero while it runs.
	Arrived, Ended time.Time
	Dispatches     []Dispatch
	// Failure is nil for a request that was served or has not ended.
	Failure *verdict.Error
	// Reason of the end.
	Reason routing.Explanation
}

// Decision is one change of what was decided for a model in a zone.
type Decision struct {
	At       time.Time
	Zone     cluster.ZoneID
	Decision placement.Decision
	// Actions ordered for the model in the same round.
	Actions []placement.Action
}

// Journal keeps decisions. It is safe for concurrent use.
type Journal struct {
	mutex     sync.Mutex
	requests  ring[*Request]
	decisions ring[*Decision]
	// byRequest, requestsOf and decisionsOf index the rings. They hold no more
	// keys than the rings hold entries.
	byRequest   map[cluster.RequestID]uint64
	requestsOf  map[cluster.ModelID]uint64
	decisionsOf map[cluster.ModelID]uint64
}

// New returns an empty journal.
func New(config Config) *Journal {
	if config.Requests <= 0 {
		config.Requests = DefaultRequests
	}
	if config.Decisions <= 0 {
		config.Decisions = DefaultDecisions
	}
	return &Journal{
		requests:    newRing[*Request](config.Requests),
		decisions:   newRing[*Decision](config.Decisions),
		byRequest:   make(map[cluster.RequestID]uint64),
		requestsOf:  make(map[cluster.ModelID]uint64),
		decisionsOf: make(map[cluster.ModelID]uint64),
	}
}

// Arrived opens the record of a request.
func (j *Journal) Arrived(at time.Time, request *routing.Request) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	entry := &Request{ID: request.ID, Model: request.Model, TokenPath: request.TokenPath, Arrived: at}
	sequence, lost, overwritten := j.requests.put(entry, j.requestsOf[request.Model])
	if overwritten {
		delete(j.byRequest, lost.ID)
		if held, ok := j.requestsOf[lost.Model]; ok && sequence-held >= uint64(len(j.requests.slots)) {
			delete(j.requestsOf, lost.Model)
		}
	}
	j.byRequest[request.ID] = sequence
	j.requestsOf[request.Model] = sequence
}

// Dispatched adds an attempt to the record of its request.
func (j *Journal) Dispatched(at time.Time, dispatch *routing.Dispatch) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	entry := j.find(dispatch.Request)
	if entry == nil {
		return
	}
	if len(entry.Dispatches) == maxDispatches {
		entry.Dispatches = append(entry.Dispatches[:0], entry.Dispatches[1:]...)
	}
	entry.Dispatches = append(entry.Dispatches, Dispatch{
		At: at, Attempt: dispatch.Attempt, Machine: dispatch.Machine, Version: dispatch.Version, Reason: boundChoice(dispatch.Reason),
	})
}

// Finished closes the record of a request.
func (j *Journal) Finished(at time.Time, finish *routing.Finish) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	entry := j.find(finish.Request)
	if entry == nil {
		return
	}
	entry.Ended = at
	entry.Failure = finish.Failure
	entry.Reason = finish.Reason
}

// find returns the record of a request, or nil.
func (j *Journal) find(id cluster.RequestID) *Request {
	sequence, known := j.byRequest[id]
	if !known {
		return nil
	}
	entry, held := j.requests.get(sequence)
	if !held {
		return nil
	}
	return entry.value
}

// boundChoice cuts the reasons of a choice to what is kept.
func boundChoice(choice routing.Choice) routing.Choice {
	choice.Candidates = bounded(choice.Candidates, maxCandidates)
	choice.Filtered = bounded(choice.Filtered, maxFiltered)
	return choice
}

// bounded returns a copy of at most limit items, so that a long backing array
// is not kept alive.
func bounded[T any](items []T, limit int) []T {
	if len(items) <= limit {
		return items
	}
	return append([]T(nil), items[:limit]...)
}

// Request returns what became of a request.
func (j *Journal) Request(id cluster.RequestID) (Request, bool) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	entry := j.find(id)
	if entry == nil {
		return Request{}, false
	}
	return entry.copied(), true
}

// copied returns the record apart from later changes.
func (r *Request) copied() Request {
	apart := *r
	apart.Dispatches = append([]Dispatch(nil), r.Dispatches...)
	return apart
}

// RequestsOf returns the latest requests for a model, newest first.
func (j *Journal) RequestsOf(model cluster.ModelID, limit int) []Request {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	entries := j.requests.chain(j.requestsOf[model], limit)
	found := make([]Request, len(entries))
	for i, entry := range entries {
		found[i] = entry.copied()
	}
	return found
}

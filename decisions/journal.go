package decisions

import (
	"sync"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
)

// Defaults of Config and limits on one entry.
const (
	DefaultRequests  = 4096
	DefaultDecisions = 4096
	// maxCandidates and maxFiltered limit the reasons kept with an entry.
	maxCandidates = 4
	maxFiltered   = 6
	// maxDispatches limits the attempts kept with a request; the oldest are
	// dropped.
	maxDispatches = 4
)

// Config sets the capacity of a Journal. The zero value of a field selects its
// default.
type Config struct {
	// Requests is the number of requests kept, Decisions the number of placement
	// decisions with their actions.
	Requests, Decisions int
}

// Dispatch is one attempt of a request, with the reason for the choice of its
// machine.
type Dispatch struct {
	At      time.Time
	Attempt cluster.Attempt
	Machine cluster.MachineID
	Version string
	Reason  routing.Choice
}

// Request is the record of one request: its attempts and its outcome.
type Request struct {
	ID    cluster.RequestID
	Model cluster.ModelID
	// TokenPath is the subtree to which the caller's token gives access.
	TokenPath string
	// Arrived and Ended are the start and end of the request; Ended is zero
	// while the request runs.
	Arrived, Ended time.Time
	Dispatches     []Dispatch
	// Failure is nil for a request that succeeded or has not ended.
	Failure *verdict.Error
	// Reason explains how the request ended.
	Reason routing.Explanation
}

// Decision is a placement decision for a model in a zone that differs from the
// one recorded before, or that came with actions.
type Decision struct {
	At       time.Time
	Zone     cluster.ZoneID
	Decision placement.Decision
	// Actions are the actions ordered for the model in the same planning round.
	Actions []placement.Action
}

// Journal keeps the latest requests and placement decisions. It is safe for
// concurrent use.
type Journal struct {
	mutex     sync.Mutex
	requests  ring[*Request]
	decisions ring[*Decision]
	// byRequest, newestRequest and newestDecision map to sequence numbers in the
	// rings: newestRequest and newestDecision to the newest entry of each model.
	// None of them has more keys than its ring has entries.
	byRequest      map[cluster.RequestID]uint64
	newestRequest  map[cluster.ModelID]uint64
	newestDecision map[cluster.ModelID]uint64
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
		requests:       newRing[*Request](config.Requests),
		decisions:      newRing[*Decision](config.Decisions),
		byRequest:      make(map[cluster.RequestID]uint64),
		newestRequest:  make(map[cluster.ModelID]uint64),
		newestDecision: make(map[cluster.ModelID]uint64),
	}
}

// RecordArrival adds a record for a new request.
func (j *Journal) RecordArrival(at time.Time, request *routing.Request) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	entry := &Request{ID: request.ID, Model: request.Model, TokenPath: request.TokenPath, Arrived: at}
	sequence, evicted, overwritten := j.requests.put(entry, j.newestRequest[request.Model])
	if overwritten {
		delete(j.byRequest, evicted.ID)
		if newest, ok := j.newestRequest[evicted.Model]; ok && sequence-newest >= uint64(len(j.requests.slots)) {
			delete(j.newestRequest, evicted.Model)
		}
	}
	j.byRequest[request.ID] = sequence
	j.newestRequest[request.Model] = sequence
}

// RecordDispatch adds an attempt to the record of its request.
func (j *Journal) RecordDispatch(at time.Time, dispatch *routing.Dispatch) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	entry := j.findRequest(dispatch.Request)
	if entry == nil {
		return
	}
	if len(entry.Dispatches) == maxDispatches {
		entry.Dispatches = append(entry.Dispatches[:0], entry.Dispatches[1:]...)
	}
	entry.Dispatches = append(entry.Dispatches, Dispatch{
		At: at, Attempt: dispatch.Attempt, Machine: dispatch.Machine, Version: dispatch.Version, Reason: truncateChoice(dispatch.Reason),
	})
}

// RecordFinish sets the outcome in the record of a request.
func (j *Journal) RecordFinish(at time.Time, finish *routing.Finish) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	entry := j.findRequest(finish.Request)
	if entry == nil {
		return
	}
	entry.Ended = at
	entry.Failure = finish.Failure
	entry.Reason = finish.Reason
}

// findRequest returns the record of a request, or nil if it is unknown or was
// overwritten.
func (j *Journal) findRequest(id cluster.RequestID) *Request {
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

// truncateChoice limits the reasons of a choice to maxCandidates and maxFiltered.
func truncateChoice(choice routing.Choice) routing.Choice {
	choice.Candidates = truncate(choice.Candidates, maxCandidates)
	choice.Filtered = truncate(choice.Filtered, maxFiltered)
	return choice
}

// truncate returns at most limit items. A longer slice is copied, so that its
// backing array can be freed.
func truncate[T any](items []T, limit int) []T {
	if len(items) <= limit {
		return items
	}
	return append([]T(nil), items[:limit]...)
}

// Request returns a copy of the record of a request and whether it is held.
func (j *Journal) Request(id cluster.RequestID) (Request, bool) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	entry := j.findRequest(id)
	if entry == nil {
		return Request{}, false
	}
	return entry.clone(), true
}

// clone returns a copy of the record that later changes do not affect.
func (r *Request) clone() Request {
	clone := *r
	clone.Dispatches = append([]Dispatch(nil), r.Dispatches...)
	return clone
}

// RequestsOf returns the latest requests for a model, newest first, at most
// limit.
func (j *Journal) RequestsOf(model cluster.ModelID, limit int) []Request {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	entries := j.requests.newestFirst(j.newestRequest[model], limit)
	found := make([]Request, len(entries))
	for i, entry := range entries {
		found[i] = entry.clone()
	}
	return found
}

package soak

import (
	"slices"
	"strconv"
	"time"

	"github.com/valveslip/valveslip/soak/check"
	"github.com/valveslip/valveslip/standin"
	"github.com/valveslip/valveslip/standin/worker"
)

// workerLife is one run of a simulated worker, from its start to its end.
type workerLife struct {
	id      string
	service string
	worker  *worker.Worker
	server  *standin.Server
	// from and to are when the worker started and ended; to is openEnd while it lives.
	from, to time.Duration
}

// recordLife records a run of a worker.
func (r *run) recordLife(id, service string, started *worker.Worker, server *standin.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workerLives = append(r.workerLives, workerLife{id: id, service: service, worker: started, server: server, from: r.recorder.elapsed(), to: openEnd})
}

// recordLifeEnd records that a worker takes no more requests.
func (r *run) recordLifeEnd(ended *worker.Worker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.workerLives {
		if life := &r.workerLives[i]; life.worker == ended && life.to == openEnd {
			life.to = r.recorder.elapsed()
		}
	}
}

// gather returns a copy of the history, with the workers' records. Nodes and callers' connections may still be
// active, and what they do after the copy is not checked.
func (r *run) gather() *check.History {
	var seen check.History
	r.mu.Lock()
	lives := slices.Clone(r.workerLives)
	r.mu.Unlock()
	r.recorder.record(func(h *check.History) {
		seen = *h
		// All other slices are only appended to, but entries of these two are also changed.
		seen.Disturbances, seen.WorkerLimits = slices.Clone(h.Disturbances), slices.Clone(h.WorkerLimits)
	})
	seen.Bounds = check.Bounds{
		Drain: drainBound, Configuration: configurationBound, Grace: gracePeriod, Recovery: recoveryBound,
		LoadsPerWindow: int(loadsPerSecond * loadOverrun * loadWindow.Seconds()), LoadWindow: loadWindow, StreamEvents: r.streamEventCount(),
		Keys: keyBound, Limit: floodLimit,
	}
	seen.Engines, seen.StreamService, seen.Services = r.engineCount(), serviceEngine, map[string]string{}
	for i := range lives {
		r.gatherLife(&seen, &lives[i])
	}
	return &seen
}

// engineCount returns the number of workers that hold models.
func (r *run) engineCount() int {
	count := 0
	for _, slot := range r.workers {
		if slot.service() == serviceEngine {
			count++
		}
	}
	return count
}

// gatherLife adds the requests and orders recorded by one worker.
func (r *run) gatherLife(h *check.History, life *workerLife) {
	h.Services[life.id] = life.service
	h.Lives = append(h.Lives, check.Life{Worker: life.id, Service: life.service, Release: life.worker.Release(), From: life.from, To: life.to})
	for _, ran := range life.worker.Runs() {
		after, _ := strconv.Atoi(ran.LastEvent)
		h.Runs = append(h.Runs, check.Run{
			Request: ran.RequestID, Worker: life.id, Body: ran.Body, At: r.recorder.sinceStart(ran.At),
			Release: ran.Release, After: after, Events: ran.Events,
		})
	}
	for _, rejection := range life.worker.ShedRequests() {
		h.Rejections = append(h.Rejections, check.Rejection{Request: rejection.RequestID, Worker: life.id, Backoff: rejection.RetryAfter, At: r.recorder.sinceStart(rejection.At)})
	}
	for _, taken := range life.worker.AcceptedOrders() {
		h.Orders = append(h.Orders, check.Order{
			Worker: life.id, Holder: taken.Holder, Fence: taken.Fence, At: r.recorder.sinceStart(taken.At),
			Load: taken.Load, Overfills: taken.ExceedsMemory,
		})
	}
}

package soak

import (
	"slices"

	"github.com/valveslip/valveslip/soak/check"
	"github.com/valveslip/valveslip/standin"
	"github.com/valveslip/valveslip/standin/worker"
)

// life is one life of a worker.
type life struct {
	id      string
	service string
	worker  *worker.Worker
	server  *standin.Server
}

// lived notes a life of a worker.
func (r *run) lived(id, service string, started *worker.Worker, server *standin.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lives = append(r.lives, life{id: id, service: service, worker: started, server: server})
}

// gather completes the history by what the workers saw. It returns a copy, since nodes
// and callers' connections go on: what they do from then on is not judged.
func (r *run) gather() *check.History {
	var seen check.History
	r.mu.Lock()
	lives := r.lives
	r.mu.Unlock()
	r.recorder.record(func(h *check.History) {
		h.Bounds = check.Bounds{
			Drain: drainBound, Configuration: configurationBound, Grace: graceTime, Recovery: recoveryBound,
			LoadsPerWindow: int(loadsSecond * loadOverrun * loadWindow.Seconds()), LoadWindow: loadWindow, StreamEvents: streamEvents,
			Keys: keyBound, Limit: floodLimit,
		}
		h.Engines, h.Services = r.engines(), map[string]string{}
		for _, over := range lives {
			r.gatherLife(h, &over)
		}
		seen = *h
		// All else is only added to, disturbances and limits also end.
		seen.Disturbances, seen.WorkerLimits = slices.Clone(h.Disturbances), slices.Clone(h.WorkerLimits)
	})
	return &seen
}

// engines counts the workers that hold models.
func (r *run) engines() int {
	count := 0
	for _, slot := range r.workers {
		if slot.service() == serviceEngine {
			count++
		}
	}
	return count
}

// gatherLife adds what one worker ran and took.
func (r *run) gatherLife(h *check.History, over *life) {
	h.Services[over.id] = over.service
	for _, ran := range over.worker.Runs() {
		h.Runs = append(h.Runs, check.Run{Request: ran.RequestID, Worker: over.id, Body: ran.Body, At: r.recorder.at(ran.At)})
	}
	for _, turned := range over.worker.Turned() {
		h.Turned = append(h.Turned, check.Turned{Request: turned.RequestID, Worker: over.id, Rest: turned.Rest, At: r.recorder.at(turned.At)})
	}
	for _, taken := range over.worker.TakenOrders() {
		h.Orders = append(h.Orders, check.Order{
			Worker: over.id, Holder: taken.Holder, Fence: taken.Fence, At: r.recorder.at(taken.At),
			Load: taken.Load, Overfills: taken.Overfills,
		})
	}
}

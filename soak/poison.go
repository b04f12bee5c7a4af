package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/valveslip/valveslip/soak/check"
	"github.com/valveslip/valveslip/standin/worker"
)

const (
	// poisonDelay is the time from the start until the harmful request is first sent,
	// poisonInterval the time between two attempts, each to a randomly drawn node. The
	// interval is long enough that nodes which count crashes each on their own would crash
	// workers for far longer than is allowed.
	poisonDelay    = 2 * time.Second
	poisonInterval = 1200 * time.Millisecond
	// popularInterval is the time between two of the popular requests, which all have the same
	// body.
	popularInterval = 150 * time.Millisecond
	// poisonRestartDelay is the time from the crash of a worker by the harmful request to the
	// start of its replacement.
	poisonRestartDelay = time.Second
	// poisonCredential identifies the caller of the harmful request.
	poisonCredential = "Bearer harmful"
)

// sendRepeatedly sends requests to randomly drawn nodes until the context ends. next returns the request of a
// number, to which the node is added.
func (r *run) sendRepeatedly(ctx context.Context, every time.Duration, next func(number int) check.Request) {
	random := rand.New(rand.NewPCG(r.options.Schedule.Seed, uint64(every)))
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	if !r.sleepUntil(time.Now().Add(poisonDelay)) {
		return
	}
	for number := 0; ctx.Err() == nil; number++ {
		node := r.nodes[random.IntN(len(r.nodes))]
		request := next(number)
		request.Node = node.index
		r.restarts.Go(func() { node.sendOnce(ctx, request) })
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// readsWith returns reads whose identifiers begin with a prefix, which determines their body.
func readsWith(prefix string) func(number int) check.Request {
	return func(number int) check.Request {
		return check.Request{ID: fmt.Sprintf("%s%d", prefix, number), Route: check.RouteRead, Deadline: maxDeadline}
	}
}

// sendOnce sends a request and records it, unless the end of the run interrupts it.
func (p *process) sendOnce(ctx context.Context, request check.Request) {
	p.exchange(ctx, p.client, &request)
	if ctx.Err() == nil {
		p.recorder.record(func(h *check.History) { h.Requests = append(h.Requests, request) })
	}
}

// crashIfPoisoned reports whether a request is the harmful one. If it is, crashIfPoisoned
// kills the worker and starts a replacement later.
func (s *workerSlot) crashIfPoisoned(r *http.Request, self *worker.Worker) bool {
	body, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	if err != nil || string(body) != check.PoisonBody || s.poisonOver.Load() {
		return false
	}
	s.crashNow(self)
	return true
}

// crashNow kills a worker that still fills the slot, as if its process had crashed, and starts a
// replacement later.
func (s *workerSlot) crashNow(self *worker.Worker) {
	s.mu.Lock()
	present, server, at := s.worker == self, s.server, s.proxy
	s.mu.Unlock()
	if !present {
		return
	}
	restored := s.recordDisturbance()
	at.Refuse()
	server.Kill()
	s.recordLifeEnd(self)
	s.restarts.Go(func() {
		defer restored()
		s.sleepUntil(time.Now().Add(poisonRestartDelay))
		s.replace(self, at)
		if err := at.Open(); err != nil {
			s.fail(err)
		}
	})
}

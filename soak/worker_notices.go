package soak

import (
	"time"

	"github.com/valveslip/valveslip/soak/check"
	"github.com/valveslip/valveslip/soak/proxy"
	"github.com/valveslip/valveslip/standin/worker"
)

// announceLimit makes the worker announce a rate limit for the given time, replacing a limit
// that it already announces. This is no disturbance.
func (s *workerSlot) announceLimit(perSecond float64, length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLimit()
	name, limited := s.name, s.worker
	limited.SetAnnouncedLimit(perSecond)
	index, from := 0, s.recorder.elapsed()
	s.recorder.record(func(h *check.History) {
		index = len(h.WorkerLimits)
		h.WorkerLimits = append(h.WorkerLimits, check.WorkerLimit{Worker: name, PerSecond: perSecond, From: from, To: openEnd})
	})
	ended := false
	s.endLimit = func() {
		if ended {
			return
		}
		ended = true
		s.recorder.record(func(h *check.History) { h.WorkerLimits[index].To = s.recorder.elapsed() })
		limited.SetAnnouncedLimit(0)
	}
	end := s.endLimit
	s.undoAfter(length, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		end()
	})
}

// shedRequests makes the worker reject all requests for the given time and ask for a back-off.
// Nodes learn of it from the answers, so this is no disturbance.
func (s *workerSlot) shedRequests(rest, length time.Duration) {
	_, shedding, _, conduct := s.current()
	shedding.SetShedRetryAfter(rest)
	conduct.shed(time.Now().Add(length))
}

// announceLeave makes the worker announce in its answers that it leaves, and only after the
// given time in its store entry.
func (s *workerSlot) announceLeave(length time.Duration) {
	name, leaving, _, _ := s.current()
	leaving.Leave()
	s.recordLifeEnd(leaving)
	at := s.recorder.elapsed()
	s.recorder.record(func(h *check.History) {
		h.LeavingAnswers = append(h.LeavingAnswers, check.Leaving{Worker: name, At: at})
	})
	s.undoAfter(length, func() {
		if _, present, _, _ := s.current(); present == leaving {
			s.drain(drainReplacementDelay)
		}
	})
}

// drain makes the worker announce that it leaves. It continues to serve its open requests, and
// after the given time a replacement starts at another address.
func (s *workerSlot) drain(length time.Duration) {
	id, leaving, _, _ := s.current()
	leaving.Drain()
	s.recordLifeEnd(leaving)
	at := s.recorder.elapsed()
	s.recorder.record(func(h *check.History) {
		h.Leavings = append(h.Leavings, check.Leaving{Worker: id, At: at})
		h.LeavingAnswers = append(h.LeavingAnswers, check.Leaving{Worker: id, At: at})
	})
	s.undoAfter(length, func() { s.replace(leaving, nil) })
}

// replace starts a new worker in place of one that has ended, unless that has already
// happened.
func (s *workerSlot) replace(ended *worker.Worker, at *proxy.Proxy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.worker != ended {
		return
	}
	s.metadata.Remove(ended.Key())
	if err := s.startNew(at); err != nil {
		s.fail(err)
	}
}

package soak

import (
	"time"

	"github.com/valveslip/valveslip/soak/proxy"
	"github.com/valveslip/valveslip/standin/worker"
)

// crash kills the worker without notice. After the given time another worker starts at its
// address.
func (s *workerSlot) crash(length time.Duration) {
	restored := s.recordDisturbance()
	s.mu.Lock()
	ended, server, at := s.worker, s.server, s.proxy
	s.mu.Unlock()
	at.Refuse()
	server.Kill()
	s.recordLifeEnd(ended)
	s.undoAfter(length, func() {
		defer restored()
		s.replace(ended, at)
		if err := at.Open(); err != nil {
			s.fail(err)
		}
	})
}

// restart kills the worker without notice. After the given time it starts again at its address
// with the same id. A worker that is draining is crashed instead and gets a replacement.
func (s *workerSlot) restart(length time.Duration) {
	s.endAndStart(length, func(ended *worker.Worker, at *proxy.Proxy, restored func()) {
		defer restored()
		s.restartIfCurrent(ended, at)
		s.open(at)
	})
}

// restartUnlisted does as restart, with the models that the worker held and, if there are several, with another
// software version. The worker's entry says so only after entryDelay more.
func (s *workerSlot) restartUnlisted(length, entryDelay time.Duration) {
	s.endAndStart(length, func(ended *worker.Worker, at *proxy.Proxy, restored func()) {
		started := s.startUnlistedIfCurrent(ended, at)
		s.open(at)
		s.undoAfter(entryDelay, func() {
			defer restored()
			if started != nil {
				s.publish(started, started.Key(), started.Entry())
			}
		})
	})
}

// endAndStart kills the worker without notice and calls start after the given time, with what ends the
// disturbance. A worker that is draining is crashed instead.
func (s *workerSlot) endAndStart(length time.Duration, start func(ended *worker.Worker, at *proxy.Proxy, restored func())) {
	s.mu.Lock()
	ended, server, at := s.worker, s.server, s.proxy
	s.mu.Unlock()
	if ended.Draining() {
		s.crash(length)
		return
	}
	restored := s.recordDisturbance()
	at.Refuse()
	server.Kill()
	s.recordLifeEnd(ended)
	s.undoAfter(length, func() { start(ended, at, restored) })
}

// open lets connections to the worker's address through again.
func (s *workerSlot) open(at *proxy.Proxy) {
	if err := at.Open(); err != nil {
		s.fail(err)
	}
}

// startUnlistedIfCurrent starts a worker again with its id but no new entry, unless another one has taken its place.
func (s *workerSlot) startUnlistedIfCurrent(ended *worker.Worker, at *proxy.Proxy) *worker.Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.worker != ended {
		return nil
	}
	s.startCount += startsPerRelease - 1
	if err := s.startUnlisted(at, heldModels(ended)); err != nil {
		s.fail(err)
	}
	return s.worker
}

// heldModels returns the names of the models that a worker holds.
func heldModels(by *worker.Worker) []string {
	var names []string
	for _, model := range by.Entry().Models {
		names = append(names, model.Name)
	}
	return names
}

// restartIfCurrent starts a worker again with its id, unless another one has taken its place.
func (s *workerSlot) restartIfCurrent(ended *worker.Worker, at *proxy.Proxy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.worker != ended {
		return
	}
	if err := s.startCurrent(at); err != nil {
		s.fail(err)
	}
}

package soak

import (
	"time"

	"github.com/valveslip/valveslip/soak/check"
	"github.com/valveslip/valveslip/soak/proxy"
)

const (
	// brittleDelay is the time from a worker's announcement that it is brittle until it falls as
	// announced.
	brittleDelay = 3 * time.Second
	// brittleRoom is how many requests may wait at a worker that falls.
	brittleRoom = 1
	// fallDuration is how long a worker that fell is gone.
	fallDuration = 2 * time.Second
)

// becomeBrittle makes the workers of the slot announce for the given time that they are brittle. It is no
// disturbance, but a fall is one.
func (s *workerSlot) becomeBrittle(bearable int, length time.Duration) {
	s.mu.Lock()
	s.bearable, s.brittleFrom, s.brittleUntil = bearable, time.Now(), time.Now().Add(length)
	s.announceBrittle()
	s.mu.Unlock()
	from := s.recorder.elapsed()
	s.recorder.record(func(h *check.History) {
		h.BrittleTimes = append(h.BrittleTimes, check.BrittleTime{Service: s.service(), From: from, To: from + length})
	})
	s.undoAfter(min(brittleDelay, length), func() { s.withCurrent(s.announceBrittle) })
	s.undoAfter(length, func() { s.withCurrent(s.announceBrittle) })
}

// withCurrent calls a function while no other worker can take the place of the current one.
func (s *workerSlot) withCurrent(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// announceBrittle puts the current worker into the state that the slot is in. The caller holds the mutex.
func (s *workerSlot) announceBrittle() {
	now, present := time.Now(), s.worker
	if !now.Before(s.brittleUntil) {
		present.AnnounceBrittle(0)
		return
	}
	present.AnnounceBrittle(s.bearable)
	present.OnFall = s.fall
	if now.Sub(s.brittleFrom) >= brittleDelay {
		present.BecomeBrittle(brittleRoom)
	}
}

// fall ends the current worker, which starts again under its id.
func (s *workerSlot) fall() {
	at := s.recorder.elapsed()
	s.recorder.record(func(h *check.History) {
		h.Falls = append(h.Falls, check.Fall{Worker: s.name, Service: s.service(), At: at})
	})
	s.restart(fallDuration)
}

// fallSilent holds back everything that a worker and nodes send each other for the given time.
func (s *workerSlot) fallSilent(length time.Duration) {
	_, _, link, _ := s.current()
	hold := func(on bool) {
		link.Change(func(mode *proxy.Mode) { mode.HoldRequests, mode.HoldAnswers = on, on })
	}
	hold(true)
	s.undoAfter(length, func() { hold(false) })
}

package feed

import (
	"time"
)

// disturb notes that peers can't reach the store for a while.
func (s *simulation) disturb(lasts time.Duration, peers ...*simulatedPeer) {
	for _, p := range peers {
		p.troubles++
		s.after(lasts, func() {
			p.troubles--
			p.calmSince = s.now
		})
	}
}

// trouble strikes one node, or the store, for a while.
func (s *simulation) trouble() {
	p := s.peers[s.rand.IntN(len(s.peers))]
	lasts := s.between(300*time.Millisecond, 6*time.Second)
	switch s.rand.IntN(6) {
	case 0:
		s.disturb(lasts, p)
		p.cuts++
		s.after(lasts, func() { p.cuts-- })
	case 1:
		// Only the way between nodes is cut: the bound holds on.
		p.mute = true
		s.after(lasts, func() { p.mute = false })
	case 2:
		if !p.dead {
			p.dead = true
			number := len(s.peers)
			s.after(lasts, func() {
				s.start(number)
				s.after(s.between(0, 500*time.Millisecond), s.membership)
			})
		}
	case 3:
		s.outages++
		s.after(lasts, func() {
			s.outages--
			s.store.backAt = s.now
		})
	case 4:
		// A store that is deaf already stays so until its history goes.
		if s.store.deaf != 0 {
			break
		}
		s.store.deaf = int64(len(s.store.changes))
		s.after(time.Second, func() { s.store.deaf, s.store.forgotten = 0, int64(len(s.store.changes)) })
	case 5:
		s.step(p, Invalidated{})
	}
	s.after(s.between(500*time.Millisecond, 4*time.Second), s.trouble)
}

package feed

import (
	"time"

	"github.com/valveslip/valveslip/keyvalue"
)

// markFault records that the peers can't reach the store for a while.
func (s *simulation) markFault(duration time.Duration, peers ...*simulatedPeer) {
	for _, p := range peers {
		p.storeFaults++
		s.after(duration, func() {
			p.storeFaults--
			p.faultsEndedAt = s.now
		})
	}
}

// injectFaults applies a random fault to one node or the store for a while, and schedules the next
// one.
func (s *simulation) injectFaults() {
	p := s.peers[s.rand.IntN(len(s.peers))]
	duration := s.randomDuration(300*time.Millisecond, 6*time.Second)
	switch s.rand.IntN(6) {
	case 0:
		s.markFault(duration, p)
		p.storeCuts++
		s.after(duration, func() { p.storeCuts-- })
	case 1:
		// Only messages between nodes are cut, so that the bound still applies.
		p.isolated = true
		s.after(duration, func() { p.isolated = false })
	case 2:
		if !p.dead {
			p.dead = true
			number := len(s.peers)
			s.after(duration, func() {
				s.startNode(number)
				s.after(s.randomDuration(0, 500*time.Millisecond), s.announcePeers)
			})
		}
	case 3:
		s.outages++
		s.after(duration, func() {
			s.outages--
			s.store.outageEndedAt = s.now
		})
	case 4:
		// A stuck store stays so until its history is compacted.
		if s.store.stuckAt != 0 {
			break
		}
		s.store.stuckAt = keyvalue.Revision(len(s.store.changes))
		s.after(time.Second, func() { s.store.stuckAt, s.store.compactedRevision = 0, keyvalue.Revision(len(s.store.changes)) })
	case 5:
		s.step(p, Invalidated{})
	}
	s.after(s.randomDuration(500*time.Millisecond, 4*time.Second), s.injectFaults)
}

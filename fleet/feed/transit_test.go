package feed

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/wire"
)

// slowSender sends as a transport does whose link is slow: one message to a peer at a time,
// and what waits meanwhile ages; what is on its way doesn't, since nobody states that time.
type slowSender struct {
	takes   time.Duration
	busy    map[string]bool
	waiting map[string][]waitingUpdate
}

// waitingUpdate is an update that waits for its turn.
type waitingUpdate struct {
	update wire.StoreChanges
	since  time.Time
}

// sendSlowly has an update wait for its turn.
func (s *simulation) sendSlowly(p *simulatedPeer, e Send) {
	slow := p.slow
	slow.waiting[e.Address] = append(slow.waiting[e.Address], waitingUpdate{e.Update, s.now})
	s.sendNext(p, e.Address)
}

// sendNext sends what waits for a peer, all of it at once.
func (s *simulation) sendNext(p *simulatedPeer, address string) {
	slow := p.slow
	if slow.busy[address] || len(slow.waiting[address]) == 0 {
		return
	}
	batch := slow.waiting[address]
	slow.waiting[address], slow.busy[address] = nil, true
	for i := range batch {
		batch[i].update.Age += s.now.Sub(batch[i].since)
	}
	s.after(slow.takes, func() {
		for i := range batch {
			for _, to := range s.peers {
				if to.Address == address {
					s.step(to, UpdateReceived{Update: batch[i].update})
				}
			}
		}
		slow.busy[address] = false
		s.sendNext(p, address)
	})
}

// TestSlowSendersAreNoticed: the age that an update states leaves out the time on its way. A
// sender has one request to a peer under way at a time, so that a link which takes longer than
// a node waits for its source brings updates too seldom, and the node asks the store itself.
func TestSlowSendersAreNoticed(t *testing.T) {
	for _, takes := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 2 * time.Second} {
		for seed := range uint64(5) {
			s := newZones(seed, 69, 3)
			s.small = true
			s.runFor(6 * time.Second)
			for _, p := range s.peers {
				if p.core.tree.forwards() {
					p.slow = &slowSender{takes: takes, busy: map[string]bool{}, waiting: map[string][]waitingUpdate{}}
				}
			}
			s.runFor(20 * time.Second)
			for _, problem := range s.problems {
				t.Errorf("messages take %v, seed %d: %s", takes, seed, problem)
			}
		}
	}
}

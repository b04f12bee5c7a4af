package feed

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/wire"
)

// slowLink sends like a transport over a slow link: it has one request per peer under way at a
// time. The stated age of an update grows while the update is queued, but not while it is in
// transit, as the sender cannot measure that time.
type slowLink struct {
	transitTime time.Duration
	busy        map[string]bool
	queued      map[string][]queuedUpdate
}

// queuedUpdate is an update that waits to be sent.
type queuedUpdate struct {
	update   wire.StoreChanges
	queuedAt time.Time
}

// queueUpdate queues an update, and sends it if the link to the peer is free.
func (s *simulation) queueUpdate(p *simulatedPeer, e SendUpdate) {
	slow := p.slowLink
	slow.queued[e.Address] = append(slow.queued[e.Address], queuedUpdate{e.Update, s.now})
	s.sendNext(p, e.Address)
}

// sendNext sends all updates queued for a peer in one batch.
func (s *simulation) sendNext(p *simulatedPeer, address string) {
	slow := p.slowLink
	if slow.busy[address] || len(slow.queued[address]) == 0 {
		return
	}
	batch := slow.queued[address]
	slow.queued[address], slow.busy[address] = nil, true
	for i := range batch {
		batch[i].update.Age += s.now.Sub(batch[i].queuedAt)
	}
	s.after(slow.transitTime, func() {
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

// TestSlowLinkFromRelayKeepsNodesInTime guards against nodes that fall behind unnoticed because the
// stated age of an update leaves out the time in transit. As a sender has one request per peer
// under way at a time, a link that takes longer than the source timeout brings updates too rarely,
// and the node polls the store itself.
func TestSlowLinkFromRelayKeepsNodesInTime(t *testing.T) {
	for _, transitTime := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 2 * time.Second} {
		for seed := range uint64(5) {
			s := newSimulationInZones(seed, 69, 3)
			s.smallValuesOnly = true
			s.runFor(6 * time.Second)
			for _, p := range s.peers {
				if p.core.tree.forwards() {
					p.slowLink = &slowLink{transitTime: transitTime, busy: map[string]bool{}, queued: map[string][]queuedUpdate{}}
				}
			}
			s.runFor(20 * time.Second)
			for _, violation := range s.violations {
				t.Errorf("transit time %v, seed %d: %s", transitTime, seed, violation)
			}
		}
	}
}

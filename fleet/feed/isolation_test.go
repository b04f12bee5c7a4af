package feed

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// What was seen: nodes that had been cut off came back to the store, and stayed behind for
// longer than changes may take.
//
// How it came about: nodes with the same source space their calls to a store that fails,
// by up to 3 s, since the answer that one of them gets reaches all. A node that hears no
// other waited as long for nothing.
//
// What proved it: a third of the nodes cut off, and their connections to other nodes dead
// for 5 s after their way to the store is back.

// TestIsolatedNodesReturnInTime: nodes that reach the store again, but no other node, know
// what changed in time.
func TestIsolatedNodesReturnInTime(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s := newZones(seed, 69, 3)
			s.small = true
			s.runFor(5 * time.Second)
			var isolated []*simulatedPeer
			for i := int(seed) % 3; i < len(s.peers); i += 3 {
				isolated = append(isolated, s.peers[i])
			}
			lasts := s.between(2*time.Second, 9*time.Second)
			s.disturb(lasts, isolated...)
			for _, p := range isolated {
				p.cuts++
				p.mute = true
				s.after(lasts, func() { p.cuts-- })
				s.after(lasts+5*time.Second, func() { p.mute = false })
			}
			s.runFor(lasts + 8*time.Second)
			for _, problem := range s.problems {
				t.Error(problem)
			}
		})
	}
}

// TestFailingRelaysAreHeardInTime: in an outage a relay speaks often enough, in trees of
// any size, for the nodes below not to take themselves for cut off.
func TestFailingRelaysAreHeardInTime(t *testing.T) {
	for _, zones := range []int{3, 9, 20, 30} {
		t.Run(fmt.Sprintf("relays=%d", zones), func(t *testing.T) {
			spoken := failingRelay(zones, 5*time.Minute)
			last := spoken[0]
			for _, at := range spoken[1:] {
				if gap, most := at.Sub(last), maxMeanRetryWait(zones)*3/2+callTimeout; gap > most {
					t.Fatalf("nothing for %v, the nodes below wait %v", gap, most)
				}
				last = at
			}
		})
	}
}

// failingRelay returns when a relay of a tree speaks while its calls fail.
func failingRelay(zones int, lasts time.Duration) []time.Time {
	const group = 6
	began := time.Unix(1_000_000, 0)
	var peers []Peer
	for z := range zones {
		for i := range group {
			id := cluster.NodeID(fmt.Sprintf("%d-%d", z, i))
			peers = append(peers, Peer{ID: id, Address: string(id), Zone: cluster.ZoneID(fmt.Sprint(z)), Capacity: float64(group - i)})
		}
	}
	c := New(Config{Self: peers[0], Within: minDelayWithRoot}, allNews{}, 1)
	c.Step(began, PeersChanged{Peers: peers})
	c.Step(began, ReadDone{Began: began, Revision: 10})
	var spoken []time.Time
	for now := began; now.Before(began.Add(lasts)); now = now.Add(5 * time.Millisecond) {
		c.lastMessageAt = now
		for _, effect := range c.Step(now, Tick{}) {
			if _, polls := effect.(Poll); !polls {
				continue
			}
			now = now.Add(callLimit)
			c.lastMessageAt = now
			for _, answer := range c.Step(now, PollDone{Began: now, Err: errors.New("no answer")}) {
				if _, sends := answer.(Send); sends && (len(spoken) == 0 || spoken[len(spoken)-1] != now) {
					spoken = append(spoken, now)
				}
			}
		}
	}
	return spoken
}

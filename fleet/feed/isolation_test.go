package feed

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// These tests guard against nodes that, after they were cut off, reach the store again and yet stay
// behind for longer than changes may take. Nodes with the same source space their calls to a
// failing store by up to 3 s, since the answer to one of them is forwarded to all. A node that
// reached no peer waited just as long, although no peer could forward an answer to it. A third of
// the nodes cut off, with their connections to other nodes dead for 5 s after they reach the store
// again, reproduces it.

// TestIsolatedNodesCatchUpInTime: nodes that reach the store again, but no other node, know all
// changes in time.
func TestIsolatedNodesCatchUpInTime(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s := newSimulationInZones(seed, 69, 3)
			s.smallValuesOnly = true
			s.runFor(5 * time.Second)
			var isolated []*simulatedPeer
			for i := int(seed) % 3; i < len(s.peers); i += 3 {
				isolated = append(isolated, s.peers[i])
			}
			duration := s.randomDuration(2*time.Second, 9*time.Second)
			s.markFault(duration, isolated...)
			for _, p := range isolated {
				p.storeCuts++
				p.isolated = true
				s.after(duration, func() { p.storeCuts-- })
				s.after(duration+5*time.Second, func() { p.isolated = false })
			}
			s.runFor(duration + 8*time.Second)
			for _, violation := range s.violations {
				t.Error(violation)
			}
		})
	}
}

// TestRelaysSendKeepAlivesDuringOutage guards against nodes that wrongly treat themselves as cut
// off during an outage: in a tree of any size, a relay sends keep-alives more often than the nodes
// below it wait.
func TestRelaysSendKeepAlivesDuringOutage(t *testing.T) {
	for _, zones := range []int{3, 9, 20, 30} {
		t.Run(fmt.Sprintf("relays=%d", zones), func(t *testing.T) {
			sentAt := keepAliveTimes(zones, 5*time.Minute)
			last := sentAt[0]
			for _, at := range sentAt[1:] {
				if gap, limit := at.Sub(last), maxMeanRetryWait(zones)*3/2+callTimeout; gap > limit {
					t.Fatalf("no keep-alive for %v, the nodes below wait %v", gap, limit)
				}
				last = at
			}
		})
	}
}

// keepAliveTimes returns when a relay sends updates while all its polls fail.
func keepAliveTimes(zones int, duration time.Duration) []time.Time {
	const group = 6
	began := time.Unix(1_000_000, 0)
	var peers []Peer
	for z := range zones {
		for i := range group {
			id := cluster.NodeID(fmt.Sprintf("%d-%d", z, i))
			peers = append(peers, Peer{ID: id, Address: string(id), Zone: cluster.ZoneID(fmt.Sprint(z)), Capacity: float64(group - i)})
		}
	}
	c := New(Config{Self: peers[0], MaxChangeDelay: minDelayWithRoot}, allNews{}, 1)
	c.Step(began, PeersChanged{Peers: peers})
	c.Step(began, ReadDone{Began: began, Revision: 10})
	var sentAt []time.Time
	for now := began; now.Before(began.Add(duration)); now = now.Add(5 * time.Millisecond) {
		c.lastMessageAt = now
		for _, effect := range c.Step(now, Tick{}) {
			if _, polls := effect.(Poll); !polls {
				continue
			}
			now = now.Add(failedCallDuration)
			c.lastMessageAt = now
			for _, answer := range c.Step(now, PollDone{Began: now, Err: errors.New("no answer")}) {
				if _, sends := answer.(SendUpdate); sends && (len(sentAt) == 0 || sentAt[len(sentAt)-1] != now) {
					sentAt = append(sentAt, now)
				}
			}
		}
	}
	return sentAt
}

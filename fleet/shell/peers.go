package shell

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/passthrough"
)

// The times for which a node is not asked to send requests after it did not.
const (
	// noPathPause: it probes its path twice meanwhile.
	noPathPause = time.Second
	// overloadPause lets what it runs end. It is short because others may have to be asked meanwhile.
	overloadPause = 250 * time.Millisecond
	// absentPause: it is stopping, does not answer or does not know PeerPath. If it is absent again after
	// the pause, the next one is maxAbsentPause: the record of a node that ended lasts for half a minute, and
	// each try may cost a request that can't be repeated. It may also be the only node with a path.
	absentPause    = 2 * time.Second
	maxAbsentPause = 4 * time.Second
	// spareInterval is the time after which a node without a path is asked again if there is no other one: its
	// refusal takes a round trip, and it may be the first with a path. overloadSpareInterval is that for one which
	// has a path and is late for a moment.
	spareInterval         = 100 * time.Millisecond
	overloadSpareInterval = 25 * time.Millisecond
)

// maxPeersInUse bounds the nodes among which requests are spread, so that connections to them are reused and
// a node doesn't hold one to each of hundreds. Each node has others, so that their load is spread.
const maxPeersInUse = 8

// peerSet chooses the nodes through which requests are sent to machines. Requests are spread by the
// number that is open at each, so that no node gets all of them.
type peerSet struct {
	now func() time.Time

	mutex sync.Mutex
	// list holds the nodes in the order in which this one prefers them.
	list []passthrough.Peer
	// open counts the requests at each node that have not ended.
	open map[cluster.NodeID]int
	// pauses are the times for which nodes are not asked.
	pauses map[cluster.NodeID]peerPause
	// absent are the nodes that were absent and have not answered since.
	absent map[cluster.NodeID]bool
}

// peerPause is a time for which a node is not asked.
type peerPause struct {
	until time.Time
	// spareFrom is when it is asked nevertheless if all others are paused too.
	spareFrom time.Time
	// hasPath is true if it refused although it has a path.
	hasPath bool
}

func newPeerSet(now func() time.Time) *peerSet {
	return &peerSet{now: now, open: map[cluster.NodeID]int{}, pauses: map[cluster.NodeID]peerPause{}, absent: map[cluster.NodeID]bool{}}
}

// set replaces the nodes.
func (s *peerSet) set(nodes []fleet.NodeEntry, self *fleet.NodeEntry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.list = s.list[:0]
	pauses, absent := make(map[cluster.NodeID]peerPause), make(map[cluster.NodeID]bool)
	for i := range nodes {
		entry := &nodes[i]
		if entry.ID == self.ID || entry.Machine == self.Machine && self.Machine != "" || entry.Address == "" {
			continue
		}
		s.list = append(s.list, passthrough.Peer{ID: entry.ID, Address: entry.Address})
		if pause, paused := s.pauses[entry.ID]; paused {
			pauses[entry.ID] = pause
		}
		if s.absent[entry.ID] {
			absent[entry.ID] = true
		}
	}
	s.pauses, s.absent = pauses, absent
	slices.SortFunc(s.list, func(a, b passthrough.Peer) int {
		return cmp.Or(cmp.Compare(peerWeight(self.ID, a.ID), peerWeight(self.ID, b.ID)), cmp.Compare(a.ID, b.ID))
	})
}

// peerWeight orders the nodes for one node, differently for each.
func peerWeight(self, peer cluster.NodeID) uint64 {
	return xxhash.Sum64String(string(self) + "/" + string(peer))
}

// empty reports whether no other node is known.
func (s *peerSet) empty() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.list) == 0
}

// pick returns the one of two random nodes that has fewer open requests of this one. They are among the first
// maxPeersInUse that are neither excluded nor paused, or spare if all are paused. It returns false if there is none.
func (s *peerSet) pick(excluded []cluster.NodeID) (passthrough.Peer, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.now()
	eligible := s.eligible(excluded, func(pause peerPause) bool { return !now.Before(pause.until) })
	if len(eligible) == 0 {
		eligible = s.eligible(excluded, func(pause peerPause) bool { return !now.Before(pause.spareFrom) })
	}
	if len(eligible) == 0 {
		return passthrough.Peer{}, false
	}
	chosen := eligible[rand.IntN(len(eligible))]
	if other := eligible[rand.IntN(len(eligible))]; s.open[other.ID] < s.open[chosen.ID] {
		chosen = other
	}
	s.open[chosen.ID]++
	return chosen, true
}

// nextWithPath returns how long it takes until a node that has a path is asked again. It returns false if no pause
// is that of such a node.
func (s *peerSet) nextWithPath() (wait time.Duration, found bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.now()
	for _, peer := range s.list {
		pause := s.pauses[peer.ID]
		if !pause.hasPath || !now.Before(pause.until) {
			continue
		}
		if left := max(pause.spareFrom.Sub(now), 0); !found || left < wait {
			wait, found = left, true
		}
	}
	return wait, found
}

// eligible returns the first maxPeersInUse nodes that are not excluded and whose pauses allow it. The caller holds
// the mutex.
func (s *peerSet) eligible(excluded []cluster.NodeID, allows func(peerPause) bool) []passthrough.Peer {
	eligible := make([]passthrough.Peer, 0, maxPeersInUse)
	for _, peer := range s.list {
		if len(eligible) == maxPeersInUse {
			break
		}
		if !slices.Contains(excluded, peer.ID) && allows(s.pauses[peer.ID]) {
			eligible = append(eligible, peer)
		}
	}
	return eligible
}

// ended records the outcome of a request to a node.
func (s *peerSet) ended(id cluster.NodeID, outcome passthrough.PeerOutcome) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.open[id]--; s.open[id] <= 0 {
		delete(s.open, id)
	}
	now := s.now()
	pause, absent := pauseAfter(outcome)
	switch {
	case !absent:
		delete(s.absent, id)
	case s.absent[id] && now.Before(s.pauses[id].until):
		// Requests that were open together tell of the same absence.
		return
	case s.absent[id]:
		pause = maxAbsentPause
	default:
		s.absent[id] = true
	}
	switch {
	case absent:
		s.pauses[id] = peerPause{until: now.Add(pause), spareFrom: now.Add(pause)}
	case outcome == passthrough.OutcomeOverloaded:
		s.pauses[id] = peerPause{until: now.Add(pause), spareFrom: now.Add(overloadSpareInterval), hasPath: true}
	case pause > 0:
		s.pauses[id] = peerPause{until: now.Add(pause), spareFrom: now.Add(spareInterval)}
	}
}

// pauseAfter returns for how long a node is not asked after an outcome, and whether it may be gone.
func pauseAfter(outcome passthrough.PeerOutcome) (pause time.Duration, absent bool) {
	switch outcome {
	case passthrough.OutcomeNoPath:
		return noPathPause, false
	case passthrough.OutcomeOverloaded:
		return overloadPause, false
	case passthrough.OutcomeDraining, passthrough.OutcomeNoAnswer, passthrough.OutcomeUnsupported, passthrough.OutcomeDisconnected:
		return absentPause, true
	}
	return 0, false
}

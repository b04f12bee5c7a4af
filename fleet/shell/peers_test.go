package shell

import (
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/passthrough"
)

// testNodes returns entries of count nodes.
func testNodes(count int) []fleet.NodeEntry {
	nodes := make([]fleet.NodeEntry, count)
	for i := range nodes {
		name := fmt.Sprintf("n%03d", i)
		nodes[i] = fleet.NodeEntry{ID: cluster.NodeID(name), Machine: "host-" + name, Address: name + ":1"}
	}
	return nodes
}

// TestPeersInUseAreFew guards against a node that holds connections to hundreds of others while it has no path,
// and against all such nodes sending their requests to the same few.
func TestPeersInUseAreFew(t *testing.T) {
	nodes := testNodes(340)
	now := time.Unix(1000, 0)
	usedBy := map[cluster.NodeID]int{}
	for i := range nodes {
		set := newPeerSet(func() time.Time { return now })
		set.set(nodes, &nodes[i])
		used := map[cluster.NodeID]bool{}
		for range 300 {
			peer, found := set.pick(nil)
			if !found || peer.ID == nodes[i].ID {
				t.Fatalf("picked %q, found %t", peer.ID, found)
			}
			used[peer.ID] = true
			set.ended(peer.ID, passthrough.OutcomeComplete)
		}
		if len(used) > maxPeersInUse {
			t.Fatalf("%d nodes in use", len(used))
		}
		for id := range used {
			usedBy[id]++
		}
	}
	for id, count := range usedBy {
		if count > 4*maxPeersInUse {
			t.Errorf("%s is in use by %d nodes", id, count)
		}
	}
}

// TestNodesWithoutPathAreReplaced guards against a node that finds none of the few others that have a path.
func TestNodesWithoutPathAreReplaced(t *testing.T) {
	nodes := testNodes(40)
	now := time.Unix(1000, 0)
	set := newPeerSet(func() time.Time { return now })
	set.set(nodes, &nodes[0])
	const sound = cluster.NodeID("n025")
	for request := 1; ; request++ {
		if request > 2*len(nodes)/maxPeersInUse {
			t.Fatal("the only node with a path was not found")
		}
		var tried []cluster.NodeID
		for range maxPeersInUse {
			peer, found := set.pick(tried)
			if !found {
				break
			}
			if peer.ID == sound {
				return
			}
			tried = append(tried, peer.ID)
			set.ended(peer.ID, passthrough.OutcomeNoPath)
		}
	}
}

// TestAbsentPeerIsAskedLessOften guards against requests that fail one after the other at a node that has ended
// and is still listed.
func TestAbsentPeerIsAskedLessOften(t *testing.T) {
	for _, outcome := range []passthrough.PeerOutcome{passthrough.OutcomeDisconnected, passthrough.OutcomeNoAnswer, passthrough.OutcomeDraining} {
		now := time.Unix(1000, 0)
		nodes := testNodes(2)
		set := newPeerSet(func() time.Time { return now })
		set.set(nodes, &nodes[0])
		asked := 0
		for range 300 {
			if peer, found := set.pick(nil); found {
				asked++
				set.ended(peer.ID, outcome)
			}
			now = now.Add(100 * time.Millisecond)
			set.set(nodes, &nodes[0])
		}
		if asked > 8 {
			t.Errorf("asked %d times within 30 s after outcome %s, want 8 at most", asked, outcome)
		}
		now = now.Add(maxAbsentPause)
		peer, found := set.pick(nil)
		if !found {
			t.Fatalf("not asked again after outcome %s", outcome)
		}
		set.ended(peer.ID, passthrough.OutcomeComplete)
		if _, found := set.pick(nil); !found {
			t.Errorf("not asked although it has answered since outcome %s", outcome)
		}
	}
}

// TestRequestsOpenTogetherTellOfOneAbsence guards against a node that is left alone for long because many requests
// were open there when its link failed for a moment: it may be the only one with a path.
func TestRequestsOpenTogetherTellOfOneAbsence(t *testing.T) {
	now := time.Unix(1000, 0)
	nodes := testNodes(2)
	set := newPeerSet(func() time.Time { return now })
	set.set(nodes, &nodes[0])
	var open []cluster.NodeID
	for range 10 {
		peer, _ := set.pick(nil)
		open = append(open, peer.ID)
	}
	for _, id := range open {
		set.ended(id, passthrough.OutcomeNoAnswer)
		now = now.Add(5 * time.Millisecond)
	}
	now = now.Add(absentPause)
	if _, found := set.pick(nil); !found {
		t.Error("not asked again after the first pause")
	}
}

// TestOnlyNodeThatRefusedIsAskedAgainSoon guards against requests that are refused for a second although the only
// other node with a path has got it back, or was late for a moment, and against one question more for each request
// meanwhile.
func TestOnlyNodeThatRefusedIsAskedAgainSoon(t *testing.T) {
	for outcome, want := range map[passthrough.PeerOutcome]struct {
		asked int
		wait  time.Duration
	}{
		passthrough.OutcomeNoPath: {asked: 10}, passthrough.OutcomeOverloaded: {asked: 34, wait: overloadSpareInterval},
	} {
		now := time.Unix(1000, 0)
		nodes := testNodes(3)
		set := newPeerSet(func() time.Time { return now })
		set.set(nodes, &nodes[0])
		asked := 0
		for range 100 {
			if peer, found := set.pick([]cluster.NodeID{nodes[2].ID}); found {
				asked++
				set.ended(peer.ID, outcome)
				if wait, found := set.nextWithPath(); wait != want.wait || found != (want.wait > 0) {
					t.Fatalf("waits %s for a node with a path after outcome %s, found %t, want %s", wait, outcome, found, want.wait)
				}
			}
			now = now.Add(10 * time.Millisecond)
		}
		if asked != want.asked {
			t.Errorf("asked %d times within a second after outcome %s, want %d", asked, outcome, want.asked)
		}
		for range 20 {
			peer, _ := set.pick(nil)
			if peer.ID != nodes[2].ID {
				t.Fatalf("picked %q after outcome %s while another node has not refused", peer.ID, outcome)
			}
			set.ended(peer.ID, passthrough.OutcomeComplete)
		}
	}
}

// TestAbsenceIsNoticedDuringRefusal guards against a node that has ended right after it refused, and is asked again
// and again.
func TestAbsenceIsNoticedDuringRefusal(t *testing.T) {
	now := time.Unix(1000, 0)
	nodes := testNodes(2)
	set := newPeerSet(func() time.Time { return now })
	set.set(nodes, &nodes[0])
	peer, _ := set.pick(nil)
	set.ended(peer.ID, passthrough.OutcomeNoPath)
	now = now.Add(spareInterval)
	peer, _ = set.pick(nil)
	set.ended(peer.ID, passthrough.OutcomeNoAnswer)
	now = now.Add(absentPause - time.Millisecond)
	if _, found := set.pick(nil); found {
		t.Error("asked again before the pause of an absent node is over")
	}
}

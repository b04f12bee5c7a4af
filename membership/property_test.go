package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// TestMergeIgnoresOrderAndRepetition holds that the same news leads to the same
// view, however it comes.
func TestMergeIgnoresOrderAndRepetition(t *testing.T) {
	states := []State{StateAlive, StateSuspect, StateLeaving, StateDead}
	rapid.Check(t, func(rt *rapid.T) {
		record := rapid.Custom(func(rt *rapid.T) wire.MemberRecord {
			member := rapid.IntRange(0, 3).Draw(rt, "member")
			return wire.MemberRecord{
				Node:        cluster.Node{ID: cluster.NodeID(fmt.Sprint("node-", member)), Zone: "zone-1", PeerAddress: fmt.Sprint("address-", member)},
				Incarnation: rapid.Uint64Range(1, 4).Draw(rt, "incarnation"),
				State:       string(rapid.SampledFrom(states).Draw(rt, "state")),
			}
		})
		first := rapid.SliceOfN(record, 1, 12).Draw(rt, "records")
		// Every member is known from the start: news of the death of an
		// unknown one is not kept.
		for member := range 4 {
			first = append([]wire.MemberRecord{{
				Node:  cluster.Node{ID: cluster.NodeID(fmt.Sprint("node-", member)), Zone: "zone-1", PeerAddress: fmt.Sprint("address-", member)},
				State: string(StateAlive),
			}}, first...)
		}
		second := rapid.Permutation(first[4:]).Draw(rt, "order")
		second = append(slices.Clone(first[:4]), append(second, second...)...)
		a, b := viewAfter(first), viewAfter(second)
		if !slices.Equal(a, b) {
			rt.Fatalf("%v\nagainst\n%v", a, b)
		}
	})
}

func viewAfter(records []wire.MemberRecord) []Member {
	core := New(cluster.Node{ID: "self", Zone: "zone-0", PeerAddress: "self"}, nil, Config{}, 1)
	core.Step(epoch, Tick{})
	for _, record := range records {
		core.merge(epoch, record, 1)
	}
	return core.Members()
}

// disagreements lists the pairs of processes with a wrong view of each other,
// and members that do not run.
func (n *network) disagreements() []string {
	var wrong []string
	for _, at := range n.order {
		core := n.cores[at]
		if core == nil {
			continue
		}
		for _, to := range n.order {
			other := n.cores[to]
			if other == nil || to == at {
				continue
			}
			if member, known := core.Member(other.self.ID); !known || member.State != StateAlive {
				wrong = append(wrong, fmt.Sprintf("%s sees %s as %q", at, other.self.ID, member.State))
			}
		}
		for _, member := range core.Members() {
			running := n.cores[member.Node.PeerAddress]
			if member.Running() && (running == nil || running.self.ID != member.Node.ID) {
				wrong = append(wrong, fmt.Sprintf("%s takes %s for %s", at, member.Node.ID, member.State))
			}
		}
	}
	return wrong
}

// settleTime is enough for views to become right once faults end.
const settleTime = 2 * time.Minute

// TestViewsBecomeRightAfterRandomFaults crashes, restarts, pauses and cuts off
// nodes at random, and holds that all agree some time after.
func TestViewsBecomeRightAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := newNetwork(t, 3, 3)
		n.run(20 * time.Second)
		generation := 0
		for range rapid.IntRange(1, 6).Draw(rt, "faults") {
			address := rapid.SampledFrom(n.order[2:]).Draw(rt, "node")
			switch rapid.SampledFrom([]string{"crash", "restart", "pause", "cut zone", "cut node", "heal"}).Draw(rt, "fault") {
			case "crash":
				n.stop(address)
			case "restart":
				generation++
				n.start(fmt.Sprintf("%s-%d", address, generation), address, "zone-"+address[1:2])
				n.paused[address] = false
			case "pause":
				n.paused[address] = !n.paused[address]
			case "cut zone":
				n.cut = func(from, to string) bool { return (from[:2] == address[:2]) != (to[:2] == address[:2]) }
			case "cut node":
				n.cut = func(from, to string) bool { return from == address || to == address }
			case "heal":
				n.cut = func(string, string) bool { return false }
			}
			n.run(time.Duration(rapid.IntRange(1, 30).Draw(rt, "seconds")) * time.Second)
		}
		n.cut = func(string, string) bool { return false }
		clear(n.paused)
		n.run(settleTime)
		if wrong := n.disagreements(); len(wrong) > 0 {
			rt.Fatal(wrong)
		}
	})
}

// TestPlantedDefectsAreCaught runs fixed faults with cores that lack a part of
// the protocol, and holds that the check above notices.
func TestPlantedDefectsAreCaught(t *testing.T) {
	const never = 1000 * time.Hour
	defects := map[string]func(*Core, *wire.Heartbeat){
		"none": func(*Core, *wire.Heartbeat) {},
		"does not probe": func(core *Core, _ *wire.Heartbeat) {
			core.nextZone, core.nextRemote = core.lastTick.Add(never), core.lastTick.Add(never)
		},
		"does not give up suspects": func(core *Core, _ *wire.Heartbeat) {
			core.config.SuspicionTime = never
		},
		"does not look for lost members": func(core *Core, _ *wire.Heartbeat) {
			core.rejoin.seeds, core.rejoin.lost = nil, nil
		},
		"does not refute": func(core *Core, heartbeat *wire.Heartbeat) {
			if heartbeat != nil {
				heartbeat.Incarnation = uint64(core.startedAt.UnixMilli())
			}
		},
	}
	for name, spoil := range defects {
		n := newNetwork(t, 2, 4)
		n.run(30 * time.Second)
		n.spoil = spoil
		n.stop("n1-3")
		n.paused["n1-2"] = true
		n.run(30 * time.Second)
		clear(n.paused)
		n.run(30 * time.Second)
		wrong := n.disagreements()
		n.cut = func(from, to string) bool { return from[:2] != to[:2] }
		n.run(3 * time.Minute)
		n.cut = func(string, string) bool { return false }
		n.run(settleTime)
		wrong = append(wrong, n.disagreements()...)
		if (len(wrong) > 0) == (name == "none") {
			t.Errorf("defect %q: %d wrong views: %v", name, len(wrong), wrong)
		}
	}
}

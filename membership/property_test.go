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

// Gossip arrives in any order and repeatedly. The same records must lead to the
// same members in every order.
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
		// Every member is known from the start, because a record of a dead unknown
		// member is ignored.
		for member := range 4 {
			first = append([]wire.MemberRecord{{
				Node:  cluster.Node{ID: cluster.NodeID(fmt.Sprint("node-", member)), Zone: "zone-1", PeerAddress: fmt.Sprint("address-", member)},
				State: string(StateAlive),
			}}, first...)
		}
		second := rapid.Permutation(first[4:]).Draw(rt, "order")
		second = append(slices.Clone(first[:4]), append(second, second...)...)
		a, b := membersAfterMerging(first), membersAfterMerging(second)
		if !slices.Equal(a, b) {
			rt.Fatalf("members depend on the order of records: %v\nand\n%v", a, b)
		}
	})
}

// membersAfterMerging returns the members of a new core that merged the records.
func membersAfterMerging(records []wire.MemberRecord) []Member {
	core := New(cluster.Node{ID: "self", Zone: "zone-0", PeerAddress: "self"}, nil, Config{}, 1)
	core.Step(epoch, Tick{})
	for _, record := range records {
		core.merge(epoch, record, 1)
	}
	return core.Members()
}

// wrongViews lists the pairs of running processes of which one does not see the
// other as alive, and the members that are considered running but are not.
func (n *network) wrongViews() []string {
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
				wrong = append(wrong, fmt.Sprintf("%s sees %s, which does not run, as %q", at, member.Node.ID, member.State))
			}
		}
	}
	return wrong
}

// convergenceTime is enough for all views to become correct after the last fault.
const convergenceTime = 2 * time.Minute

// Random crashes, restarts, pauses and partitions leave the nodes with different
// views. All views must be correct a while after the faults end.
func TestViewsConvergeAfterRandomFaults(t *testing.T) {
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
				n.isLost = func(from, to string) bool { return (from[:2] == address[:2]) != (to[:2] == address[:2]) }
			case "cut node":
				n.isLost = func(from, to string) bool { return from == address || to == address }
			case "heal":
				n.isLost = func(string, string) bool { return false }
			}
			n.run(time.Duration(rapid.IntRange(1, 30).Draw(rt, "seconds")) * time.Second)
		}
		n.isLost = func(string, string) bool { return false }
		clear(n.paused)
		n.run(convergenceTime)
		if wrong := n.wrongViews(); len(wrong) > 0 {
			rt.Fatal(wrong)
		}
	})
}

// Runs a fixed sequence of faults with cores that lack one part of the protocol.
// It guards against wrongViews missing a defect: each defect must be reported,
// and the intact protocol must pass.
func TestProtocolDefectsAreDetected(t *testing.T) {
	const never = 1000 * time.Hour
	defects := map[string]func(*Core, *wire.Heartbeat){
		"none": func(*Core, *wire.Heartbeat) {},
		"does not probe": func(core *Core, _ *wire.Heartbeat) {
			core.nextZoneProbe, core.nextRemoteProbe = core.lastTick.Add(never), core.lastTick.Add(never)
		},
		"does not declare suspects dead": func(core *Core, _ *wire.Heartbeat) {
			core.config.SuspicionTime = never
		},
		"does not contact lost members": func(core *Core, _ *wire.Heartbeat) {
			core.rejoin.seeds, core.rejoin.lost = nil, nil
		},
		"does not refute": func(core *Core, heartbeat *wire.Heartbeat) {
			if heartbeat != nil {
				heartbeat.Incarnation = uint64(core.startedAt.UnixMilli())
			}
		},
	}
	for name, defect := range defects {
		n := newNetwork(t, 2, 4)
		n.run(30 * time.Second)
		n.injectDefect = defect
		n.stop("n1-3")
		n.paused["n1-2"] = true
		n.run(30 * time.Second)
		clear(n.paused)
		n.run(30 * time.Second)
		wrong := n.wrongViews()
		n.isLost = func(from, to string) bool { return from[:2] != to[:2] }
		n.run(3 * time.Minute)
		n.isLost = func(string, string) bool { return false }
		n.run(convergenceTime)
		wrong = append(wrong, n.wrongViews()...)
		if (len(wrong) > 0) == (name == "none") {
			t.Errorf("defect %q: %d wrong views: %v", name, len(wrong), wrong)
		}
	}
}

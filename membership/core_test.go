package membership

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// network runs cores on virtual time. A message arrives at the next tick.
type network struct {
	t     *testing.T
	now   time.Time
	cores map[string]*Core
	order []string
	// isLost reports whether a message between two addresses is lost.
	isLost  func(from, to string) bool
	paused  map[string]bool
	pending []SendHeartbeat
	// injectDefect, if set, alters a core before each tick (with a nil
	// heartbeat) and each heartbeat that the core sends.
	injectDefect func(*Core, *wire.Heartbeat)
	// deaths counts, for each member, the cores that declared it dead.
	deaths map[cluster.NodeID]int
}

const tickInterval = 100 * time.Millisecond

func newNetwork(t *testing.T, zones, perZone int) *network {
	n := &network{
		t: t, now: epoch, cores: map[string]*Core{}, paused: map[string]bool{},
		isLost: func(string, string) bool { return false }, deaths: map[cluster.NodeID]int{},
	}
	for zone := range zones {
		for i := range perZone {
			n.start(fmt.Sprintf("n%d-%d", zone, i), fmt.Sprintf("n%d-%d", zone, i), fmt.Sprintf("zone-%d", zone))
		}
	}
	return n
}

// start runs a new process at an address.
func (n *network) start(id, address, zone string) {
	node := cluster.Node{ID: cluster.NodeID(id), Zone: cluster.ZoneID(zone), PeerAddress: address}
	if n.cores[address] == nil {
		n.order = append(n.order, address)
	}
	n.cores[address] = New(node, []string{"n0-0", "n0-1"}, Config{}, uint64(len(n.order)))
}

func (n *network) stop(address string) { n.cores[address] = nil }

func (n *network) collect(effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case SendHeartbeat:
			if sender := n.cores[e.Heartbeat.From.PeerAddress]; n.injectDefect != nil && sender != nil {
				n.injectDefect(sender, &e.Heartbeat)
			}
			n.pending = append(n.pending, e)
		case Changed:
			if e.Member.State == StateDead {
				n.deaths[e.Member.Node.ID]++
			}
		}
	}
}

func (n *network) step() {
	n.now = n.now.Add(tickInterval)
	arriving := n.pending
	n.pending = nil
	for _, message := range arriving {
		core := n.cores[message.Address]
		switch {
		case core == nil || n.isLost(message.Heartbeat.From.PeerAddress, message.Address):
		case n.paused[message.Address]:
			n.pending = append(n.pending, message)
		default:
			n.collect(core.Step(n.now, HeartbeatReceived{Heartbeat: message.Heartbeat}))
		}
	}
	for _, address := range n.order {
		if core := n.cores[address]; core != nil && !n.paused[address] {
			if n.injectDefect != nil {
				n.injectDefect(core, nil)
			}
			n.collect(core.Step(n.now, Tick{}))
		}
	}
}

func (n *network) run(duration time.Duration) {
	for end := n.now.Add(duration); n.now.Before(end); {
		n.step()
	}
}

// requireAll fails the test unless every running core sees every other one in the
// given state.
func (n *network) requireAll(state State) {
	n.t.Helper()
	for _, from := range n.order {
		for _, to := range n.order {
			if from != to && n.cores[from] != nil && n.cores[to] != nil {
				n.requireState(from, n.cores[to].self.ID, state)
			}
		}
	}
}

func (n *network) requireState(at string, id cluster.NodeID, state State) {
	n.t.Helper()
	if member, ok := n.cores[at].Member(id); !ok || member.State != state {
		n.t.Errorf("%s sees %s as %q, want %q", at, id, member.State, state)
	}
}

// Nodes that know only two seed addresses must learn of all others, and none may
// be declared dead meanwhile.
func TestStartedNodesDiscoverEachOther(t *testing.T) {
	n := newNetwork(t, 3, 5)
	n.run(20 * time.Second)
	n.requireAll(StateAlive)
	if len(n.deaths) != 0 {
		t.Errorf("nodes declared dead: %v, want none", n.deaths)
	}
}

// A stopped node must be declared dead by all others, and removed after
// ForgetTime, so that the member list does not grow without bound.
func TestStoppedNodeIsDeclaredDeadThenForgotten(t *testing.T) {
	n := newNetwork(t, 2, 5)
	n.run(20 * time.Second)
	n.stop("n1-3")
	n.run(30 * time.Second)
	for _, at := range n.order {
		if n.cores[at] != nil {
			n.requireState(at, "n1-3", StateDead)
		}
	}
	n.run(3 * time.Minute)
	if _, known := n.cores["n0-0"].Member("n1-3"); known {
		t.Error("the dead node is still a member after ForgetTime")
	}
	n.requireAll(StateAlive)
}

// A pause of 4 s is within the probe timeouts and the suspicion time together, so
// the paused node must be able to refute the suspicion.
func TestPauseWithinSuspicionTimeCausesNoDeath(t *testing.T) {
	n := newNetwork(t, 2, 5)
	n.run(20 * time.Second)
	n.paused["n1-3"] = true
	n.run(4 * time.Second)
	n.paused["n1-3"] = false
	n.run(20 * time.Second)
	n.requireAll(StateAlive)
	if len(n.deaths) != 0 {
		t.Errorf("nodes declared dead: %v, want none", n.deaths)
	}
}

// A node that is declared dead during a pause of 30 s must be alive for all
// others again after it resumes, and no other node may be declared dead.
func TestNodeDeclaredDeadDuringPauseRejoins(t *testing.T) {
	n := newNetwork(t, 2, 5)
	n.run(20 * time.Second)
	n.paused["n1-3"] = true
	n.run(30 * time.Second)
	n.requireState("n0-0", "n1-3", StateDead)
	n.paused["n1-3"] = false
	n.run(20 * time.Second)
	n.requireAll(StateAlive)
	if len(n.deaths) != 1 {
		t.Errorf("nodes declared dead: %v, want only the paused node", n.deaths)
	}
}

// When a new process starts at the address of an old one, the others must declare
// the old one dead, because both identifiers cannot run there.
func TestRestartAtSameAddressReplacesOldProcess(t *testing.T) {
	n := newNetwork(t, 2, 5)
	n.run(20 * time.Second)
	n.start("n1-3-again", "n1-3", "zone-1")
	n.run(10 * time.Second)
	n.requireAll(StateAlive)
	for _, at := range n.order {
		if at != "n1-3" {
			n.requireState(at, "n1-3", StateDead)
		}
	}
}

// A planned stop must be known in the own zone after one message and everywhere
// before the process stops. After it stops, the member must become dead.
func TestLeavingStateSpreadsBeforeProcessStops(t *testing.T) {
	n := newNetwork(t, 2, 5)
	n.run(20 * time.Second)
	n.collect(n.cores["n1-3"].Step(n.now, LeaveStarted{}))
	n.step()
	for _, at := range []string{"n1-0", "n1-1", "n1-2", "n1-4"} {
		n.requireState(at, "n1-3", StateLeaving)
	}
	n.run(10 * time.Second)
	n.requireState("n0-0", "n1-3", StateLeaving)
	n.stop("n1-3")
	n.run(20 * time.Second)
	n.requireState("n0-0", "n1-3", StateDead)
}

// A partition of 10 min outlasts ForgetTime, so both sides forget each other.
// They must find each other again through the seeds and the remembered addresses.
func TestMembersRejoinAfterLongPartition(t *testing.T) {
	n := newNetwork(t, 2, 5)
	n.run(20 * time.Second)
	n.isLost = func(from, to string) bool { return from[:2] != to[:2] }
	n.run(10 * time.Minute)
	if _, known := n.cores["n0-2"].Member("n1-2"); known {
		t.Error("a member on the other side of the partition is still known after ForgetTime")
	}
	n.requireState("n0-2", "n0-3", StateAlive)
	n.isLost = func(string, string) bool { return false }
	n.run(time.Minute)
	n.requireAll(StateAlive)
}

// When only the path between two nodes is broken, each suspects the other, but
// the refutations that reach them through other nodes must prevent a death.
func TestBrokenPathBetweenTwoNodesCausesNoDeath(t *testing.T) {
	n := newNetwork(t, 1, 6)
	n.run(20 * time.Second)
	// The two nodes cannot reach each other; all other nodes can reach both.
	n.isLost = func(from, to string) bool {
		return (from == "n0-2" && to == "n0-3") || (from == "n0-3" && to == "n0-2")
	}
	n.run(5 * time.Minute)
	if len(n.deaths) != 0 {
		t.Errorf("nodes declared dead: %v, want none", n.deaths)
	}
}

// New promises equal outputs for equal seeds and inputs. Map iteration order or a
// global random source would break this.
func TestEqualInputsGiveEqualOutputs(t *testing.T) {
	var runs [2][]Member
	for i := range runs {
		n := newNetwork(t, 2, 4)
		n.run(30 * time.Second)
		runs[i] = n.cores["n0-2"].Members()
	}
	if !reflect.DeepEqual(runs[0], runs[1]) {
		t.Error("two runs with equal inputs ended with different members")
	}
}

package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// startingCore is a node that starts beside others.
type startingCore struct {
	t        *testing.T
	core     *Core
	now      time.Time
	asked    []cluster.NodeID
	received []ConfigurationReceived
}

func (s *startingCore) step(event Event) {
	for _, effect := range slices.Clone(s.core.Step(s.now, event)) {
		switch e := effect.(type) {
		case SendMessage:
			if _, is := e.Message.(wire.UnstoredStateRequest); is {
				s.asked = append(s.asked, cluster.NodeID(e.Address))
			}
		case ConfigurationReceived:
			s.received = append(s.received, e)
		}
	}
}

// advance moves the clock forward and ticks once.
func (s *startingCore) advance(d time.Duration) {
	s.now = s.now.Add(d)
	s.step(Tick{})
}

// answer has a node answer.
func (s *startingCore) answer(from cluster.NodeID, m wire.UnstoredState) {
	m.From = from
	s.step(MessageReceived{Message: m})
}

// configurationOf returns a configuration of one service.
func configurationOf(t *testing.T, version int64) ConfigurationRead {
	t.Helper()
	compiled, err := catalog.Configuration{Version: version, Services: []catalog.Service{{Name: "s"}}}.Compile()
	if err != nil {
		t.Fatal(err)
	}
	return ConfigurationRead{Compiled: compiled, Value: fmt.Appendf(nil, "version %d", version)}
}

// startBeside returns a node that starts beside others and has read the store, which has version 1 of the
// configuration and shows the machines a and b as ready.
func startBeside(t *testing.T, others int, era EraBegan) *startingCore {
	t.Helper()
	s := &startingCore{t: t, now: time.Unix(1000, 0)}
	s.core = New(Config{Self: NodeEntry{ID: "self", Machine: "m-self", Address: "self"}, Zone: "z", Regions: map[cluster.ZoneID]cluster.RegionID{"z": "r"}}, 1)
	s.step(configurationOf(t, 1))
	nodes := NodesRead{Full: true}
	for i := range others {
		id := cluster.NodeID(fmt.Sprintf("other-%d", i))
		nodes.Nodes = append(nodes.Nodes, NodeEntry{ID: id, Machine: "m-" + string(id), Address: string(id)})
	}
	s.step(nodes)
	s.step(WorkersRead{Workers: []catalog.Worker{{ID: "a", Service: "s", Address: "a", Zone: "z", Slots: 1}, {ID: "b", Service: "s", Address: "b", Zone: "z", Slots: 1}}, Full: true})
	s.step(era)
	s.step(StoreSynced{})
	return s
}

// Guards against a node that serves by the configuration of a copy before the others have told it of the one in force,
// and against one that is never ready since another node has ended.
func TestNodeThatStartsInLaterEraWaitsForOthers(t *testing.T) {
	s := startBeside(t, 3, EraBegan{Era: 1})
	if len(s.asked) != 3 || s.core.Ready() {
		t.Fatalf("asked %v, ready=%v", s.asked, s.core.Ready())
	}
	s.advance(10 * time.Millisecond)
	newer := wire.UnstoredState{ConfigurationVersion: 2, Configuration: []byte("version 2")}
	s.answer("other-0", newer)
	s.answer("other-1", newer)
	s.answer("other-2", wire.UnstoredState{ConfigurationVersion: 1})
	if len(s.received) != 1 || s.core.Ready() {
		t.Fatalf("received %v, ready=%v before the configuration is in force", s.received, s.core.Ready())
	}
	s.step(configurationOf(t, 2))
	if !s.core.Ready() {
		t.Error("not ready with the configuration in force")
	}
	ended := startBeside(t, 3, EraBegan{Era: 1})
	ended.answer("other-0", wire.UnstoredState{ConfigurationVersion: 1})
	ended.advance(unstoredWait)
	if !ended.core.Ready() {
		t.Error("not ready although the nodes that were asked don't answer")
	}
}

// Guards against a configuration that can't be used and, by the version that its node states, hides the one in force that
// others send, in this era and in later ones.
func TestUnusableConfigurationDoesNotHideThatOfOtherNodes(t *testing.T) {
	s := startBeside(t, 3, EraBegan{Era: 1})
	newer := wire.UnstoredState{ConfigurationVersion: 2, Configuration: []byte("version 2")}
	s.answer("other-0", wire.UnstoredState{ConfigurationVersion: 9, Configuration: []byte("damaged")})
	s.answer("other-1", newer)
	if len(s.received) != 2 || string(s.received[1].Value) != "version 2" {
		t.Errorf("received %v in the first era", s.received)
	}
	s.step(EraBegan{Era: 2})
	s.answer("other-2", newer)
	if len(s.received) != 3 {
		t.Errorf("received %v in the next era", s.received)
	}
}

// Guards against messages and a wait at each start although the store never came back from a copy, and against
// hundreds of whole configurations for one node.
func TestFewNodesAreAskedForUnstoredState(t *testing.T) {
	if s := startBeside(t, 3, EraBegan{}); len(s.asked) > 0 || !s.core.Ready() {
		t.Errorf("in the first era: asked %v, ready=%v", s.asked, s.core.Ready())
	}
	if s := startBeside(t, 300, EraBegan{Era: 2}); len(s.asked) != unstoredPeers {
		t.Errorf("asked %d of 300 nodes, want %d", len(s.asked), unstoredPeers)
	}
	if s := startBeside(t, 0, EraBegan{Era: 2}); !s.core.Ready() {
		t.Error("a node alone is not ready")
	}
}

// Guards against nodes that serve by an older configuration since the store lost the newer one before they had read
// it.
func TestNodesAskOthersAfterReturnOfStore(t *testing.T) {
	s := startBeside(t, 3, EraBegan{})
	s.advance(time.Minute)
	s.step(EraBegan{Era: 1})
	if len(s.asked) != 3 || !s.core.Ready() {
		t.Errorf("asked %v, ready=%v", s.asked, s.core.Ready())
	}
	s.answer("other-1", wire.UnstoredState{ConfigurationVersion: 2, Configuration: []byte("version 2")})
	if len(s.received) != 1 {
		t.Errorf("received %v", s.received)
	}
}

// Guards against answers without the configuration in force, and whole configurations for nodes that have it.
func TestUnstoredConfigurationIsSentIfNewer(t *testing.T) {
	s := startBeside(t, 1, EraBegan{})
	s.step(configurationOf(t, 5))
	for _, c := range []struct {
		known int64
		want  string
	}{{0, "version 5"}, {4, "version 5"}, {5, ""}, {6, ""}} {
		for _, effect := range s.core.Step(s.now, MessageReceived{Message: wire.UnstoredStateRequest{From: "x", FromAddress: "x", ConfigurationVersion: c.known}}) {
			if sent, is := effect.(SendMessage); is {
				if got := sent.Message.(wire.UnstoredState); string(got.Configuration) != c.want {
					t.Errorf("a node with version %d gets %q", c.known, got.Configuration)
				}
			}
		}
	}
}

// Guards against requests to a machine that has said that it leaves, whose entry in the copy says that it is ready; and
// against a machine that is never used again although its entry has changed since.
func TestNodeThatStartsIsToldOfLeavingMachines(t *testing.T) {
	s := startBeside(t, 1, EraBegan{Era: 1})
	s.answer("stranger", wire.UnstoredState{ConfigurationVersion: 1, Leaving: []cluster.MachineID{"b"}})
	s.answer("other-0", wire.UnstoredState{ConfigurationVersion: 1, Leaving: []cluster.MachineID{"a", "unknown"}})
	usable := func(id cluster.MachineID) bool { return s.core.view.addressOf(id) != "" }
	if usable("a") || !usable("b") {
		t.Errorf("a is used: %v, b is used: %v", usable("a"), usable("b"))
	}
	entry := catalog.Worker{ID: "a", Service: "s", Address: "a", Zone: "z", Slots: 1}
	s.step(WorkersRead{Workers: []catalog.Worker{entry, {ID: "b", Service: "s", Address: "b", Zone: "z", Slots: 1}}, Full: true})
	if usable("a") {
		t.Error("the machine is used after another read of the whole store")
	}
	s.step(WorkersRead{Workers: []catalog.Worker{entry}})
	if !usable("a") {
		t.Error("the machine is not used although its entry has changed")
	}
}

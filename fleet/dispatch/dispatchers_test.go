package dispatch

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// testCluster is a few nodes that deliver their messages to each other at once.
type testCluster struct {
	t     *testing.T
	now   time.Time
	cores map[cluster.NodeID]*Core
	peers []Peer
	// dead nodes neither send nor receive messages.
	dead    map[cluster.NodeID]bool
	answers map[cluster.NodeID][]PlacementAnswered
	changes map[cluster.NodeID][]DispatcherChanged
}

func newTestCluster(t *testing.T, ids ...cluster.NodeID) *testCluster {
	g := &testCluster{
		t: t, now: time.Unix(1_000_000, 0), cores: map[cluster.NodeID]*Core{}, dead: map[cluster.NodeID]bool{},
		answers: map[cluster.NodeID][]PlacementAnswered{}, changes: map[cluster.NodeID][]DispatcherChanged{},
	}
	for i, id := range ids {
		peer := Peer{ID: id, Address: string(id), Machine: "machine-" + string(id), Capacity: float64(len(ids) - i)}
		g.peers = append(g.peers, peer)
		g.cores[id] = New(Config{Self: peer, CacheTokens: func(cluster.ModelID) int { return 0 }})
	}
	for _, id := range ids {
		g.step(id, PeersChanged{Peers: g.peers})
	}
	return g
}

// step applies an event to a node and delivers the messages that follow.
func (g *testCluster) step(id cluster.NodeID, event Event) {
	if g.dead[id] {
		return
	}
	effects := append([]Effect(nil), g.cores[id].Step(g.now, event)...)
	for _, effect := range effects {
		switch e := effect.(type) {
		case Send:
			g.step(cluster.NodeID(e.Address), MessageReceived{Message: e.Message})
		case PlacementAnswered:
			g.answers[id] = append(g.answers[id], e)
		case DispatcherChanged:
			g.changes[id] = append(g.changes[id], e)
		}
	}
}

// advance moves the clock of all nodes.
func (g *testCluster) advance(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.now = g.now.Add(5 * time.Millisecond)
		for _, p := range g.peers {
			g.step(p.ID, Tick{})
		}
	}
}

// placeAndSend requests a placement and sends the attempt to the machine in the answer, or to
// fallback if the answer names none.
func (g *testCluster) placeAndSend(id cluster.NodeID, number int64, w wire.EngineWork, fallback cluster.MachineID, machines ...cluster.MachineID) PlacementAnswered {
	g.t.Helper()
	before := len(g.answers[id])
	g.step(id, PlacementRequested{Number: number, Work: w, Candidates: candidates(machines...)})
	if len(g.answers[id]) == before {
		g.advance(answerTimeout)
	}
	if len(g.answers[id]) != before+1 {
		g.t.Fatalf("%d answers to one placement request, want 1", len(g.answers[id])-before)
	}
	answered := g.answers[id][before]
	machine := answered.Machine
	if machine == "" {
		machine = fallback
	}
	g.step(id, AttemptSent{Number: number, Machine: machine, Answered: answered.Machine, Work: w})
	return answered
}

// TestAllNodesAskTheSameDispatcher: all nodes must ask the node with the largest capacity, which
// therefore knows the requests of all.
func TestAllNodesAskTheSameDispatcher(t *testing.T) {
	g := newTestCluster(t, "a", "b", "c")
	first := g.placeAndSend("b", 1, longPrompt(), "", "x", "y")
	second := g.placeAndSend("c", 1, longPrompt(), "", "x", "y")
	if first.Dispatcher != "a" || second.Dispatcher != "a" {
		t.Errorf("dispatchers %s and %s, want a", first.Dispatcher, second.Dispatcher)
	}
	if first.Machine == second.Machine {
		t.Errorf("prompts of two nodes were both placed at %s", first.Machine)
	}
}

// TestNextNodeTakesOverFromDeadDispatcher: after 40 ms without an answer a node sends the request
// by its own choice. The next node in the ranking must place the following requests, and know the
// attempts in flight.
func TestNextNodeTakesOverFromDeadDispatcher(t *testing.T) {
	g := newTestCluster(t, "a", "b", "c")
	g.placeAndSend("c", 1, longPrompt(), "", "x")
	g.dead["a"] = true
	if lost := g.placeAndSend("c", 2, longPrompt(), "y", "x", "y"); lost.Machine != "" {
		t.Errorf("answer from a dead node: %+v", lost)
	}
	next := g.placeAndSend("c", 3, chat(), "", "x", "y", "z")
	if next.Dispatcher != "b" || next.Machine != "z" {
		t.Errorf("%s chose %s, want b to choose z, the only engine without a prompt", next.Dispatcher, next.Machine)
	}
	if known := g.cores["b"].TrackedAttempts(); known != 3 {
		t.Errorf("next dispatcher tracks %d attempts, want 3", known)
	}
}

// TestRecoveredDispatcherIsAskedAgain: a dispatcher that froze must be asked again after the
// back-off, and must then learn which attempts are still in flight.
func TestRecoveredDispatcherIsAskedAgain(t *testing.T) {
	g := newTestCluster(t, "a", "b", "c")
	g.placeAndSend("c", 1, longPrompt(), "", "x")
	g.dead["a"] = true
	g.placeAndSend("c", 2, chat(), "x", "x")
	g.step("c", AttemptEnded{Number: 1, Read: true})
	g.dead["a"] = false
	g.advance(unresponsiveBackoff)
	if back := g.placeAndSend("c", 3, chat(), "", "x"); back.Dispatcher != "a" {
		t.Errorf("dispatcher %s, want a again", back.Dispatcher)
	}
	g.advance(unreportedGrace + fullReportInterval)
	if known := g.cores["a"].TrackedAttempts(); known != 2 {
		t.Errorf("dispatcher tracks %d attempts, want the 2 that have not ended", known)
	}
}

// TestNodePlacesLocallyWhenNoDispatcherAnswers: a node that reaches no dispatcher must place
// requests itself without another timeout.
func TestNodePlacesLocallyWhenNoDispatcherAnswers(t *testing.T) {
	g := newTestCluster(t, "a", "b")
	g.dead["a"] = true
	g.placeAndSend("b", 1, chat(), "x", "x", "y")
	answered := g.placeAndSend("b", 2, chat(), "x", "x", "y")
	if answered.Dispatcher != "b" || answered.Machine != "y" {
		t.Errorf("%s chose %s, want b itself to choose y", answered.Dispatcher, answered.Machine)
	}
}

// TestFullReportRepairsLostProgress: a lost progress message must be corrected by the next full
// report.
func TestFullReportRepairsLostProgress(t *testing.T) {
	g := newTestCluster(t, "a", "b")
	w := longPrompt()
	// Both attempts must last longer than the interval between full reports.
	w.Left = 3 * fullReportInterval
	g.placeAndSend("b", 1, w, "", "x")
	g.placeAndSend("b", 2, w, "", "x")
	// The message about the end is lost.
	g.cores["b"].Step(g.now, AttemptEnded{Number: 1, Read: true})
	g.cores["b"].progress = nil
	g.advance(fullReportInterval + progressDelay)
	if known := g.cores["a"].TrackedAttempts(); known != 1 {
		t.Errorf("%d attempts tracked, want 1", known)
	}
}

// TestAttemptsOfRemovedNodeAreDropped: the attempts of a node must be dropped when the node leaves
// the membership.
func TestAttemptsOfRemovedNodeAreDropped(t *testing.T) {
	g := newTestCluster(t, "a", "b", "c")
	g.placeAndSend("b", 1, longPrompt(), "", "x")
	g.placeAndSend("c", 1, longPrompt(), "", "x")
	g.dead["b"] = true
	g.step("a", PeersChanged{Peers: []Peer{g.peers[0], g.peers[2]}})
	if known := g.cores["a"].TrackedAttempts(); known != 1 {
		t.Errorf("%d attempts tracked, want only the one of the live node", known)
	}
}

// TestDispatcherLearnsOfDifferentMachine: the dispatcher must learn that an attempt went to
// another machine than it answered.
func TestDispatcherLearnsOfDifferentMachine(t *testing.T) {
	g := newTestCluster(t, "a", "b")
	g.step("b", PlacementRequested{Number: 1, Work: longPrompt(), Candidates: candidates("x")})
	g.step("b", AttemptSent{Number: 1, Machine: "y", Answered: "x", Work: longPrompt()})
	if placed := g.placeAndSend("b", 2, chat(), "", "x", "y"); placed.Machine != "x" {
		t.Errorf("chat placed at %s, want x: the prompt went to y", placed.Machine)
	}
}

// TestResumedAttemptAddsNoPrefill: an attempt that continues an answer must not count as a prompt
// that waits for its prefill.
func TestResumedAttemptAddsNoPrefill(t *testing.T) {
	g := newTestCluster(t, "a", "b")
	g.step("b", PlacementRequested{Number: 1, Work: longPrompt(), Candidates: candidates("x")})
	g.step("b", AttemptSent{Number: 1, Machine: "x", Answered: "x", Work: longPrompt(), Resumed: true})
	g.advance(2 * time.Second)
	if placed := g.placeAndSend("b", 2, chat(), "", "x"); placed.Forecast.Backlog > 0 {
		t.Errorf("backlog of %s at an engine without prefills", placed.Forecast.Backlog)
	}
}

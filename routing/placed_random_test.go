package routing

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

// placementStateMachine sends random events to a router whose attempts wait for AttemptPlaced, and
// checks its invariants.
type placementStateMachine struct {
	t        *rapid.T
	router   *Router
	now      time.Time
	sequence uint64
	// deadlines holds those of the unfinished requests, by ID.
	deadlines map[cluster.RequestID]time.Time
	// awaitingPlacement holds the attempts that waited for AttemptPlaced, sent those that went to
	// machines, and ran the requests with a sent attempt.
	awaitingPlacement []Dispatch
	sent              map[string]Dispatch
	ran               map[cluster.RequestID]bool
	leaving           map[cluster.MachineID]bool
	held              time.Time
	arrived           int
}

func newPlacementStateMachine(t *rapid.T) *placementStateMachine {
	config := Config{Zone: "z1", ListAlternatives: func(cluster.ModelID) bool { return true }}
	m := &placementStateMachine{
		t: t, router: New(config, rapid.Uint64().Draw(t, "seed")), now: start, deadlines: map[cluster.RequestID]time.Time{},
		sent: map[string]Dispatch{}, ran: map[cluster.RequestID]bool{}, leaving: map[cluster.MachineID]bool{},
	}
	m.step(SettingsChanged{Snapshot: snapshotOf(testModels)})
	return m
}

func (m *placementStateMachine) step(event Event) {
	for _, effect := range m.router.Step(m.now, event) {
		switch e := effect.(type) {
		case Dispatch:
			if len(e.Alternatives) > 0 {
				m.awaitingPlacement = append(m.awaitingPlacement, e)
				continue
			}
			m.checkSend(e)
		case Finish:
			if _, open := m.deadlines[e.Request]; !open {
				m.t.Fatalf("%s finished twice", e.Request)
			}
			if e.Failure != nil && e.Failure.Verdict != verdict.NotRun && !m.ran[e.Request] {
				m.t.Fatalf("%s finished as %s, but was never sent", e.Request, e.Failure.Verdict)
			}
			delete(m.deadlines, e.Request)
		}
	}
}

// checkSend checks an attempt that is sent to its machine.
func (m *placementStateMachine) checkSend(e Dispatch) {
	name := fmt.Sprint(e.Request, "/", e.Attempt)
	deadline, open := m.deadlines[e.Request]
	switch _, twice := m.sent[name]; {
	case twice:
		m.t.Fatalf("%s is sent twice", name)
	case !open, !m.now.Before(deadline):
		m.t.Fatalf("%s is sent after its request finished or its deadline passed", name)
	case m.leaving[e.Machine]:
		m.t.Fatalf("%s is sent to %s, which is leaving", name, e.Machine)
	case m.now.Before(m.held):
		m.t.Fatalf("%s is sent while dispatches are held", name)
	}
	m.sent[name], m.ran[e.Request] = e, true
}

func (m *placementStateMachine) arrive(t *rapid.T) {
	m.arrived++
	id := cluster.RequestID(fmt.Sprint("r", m.arrived))
	m.deadlines[id] = m.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "deadline")) * time.Millisecond)
	m.step(RequestArrived{Request: Request{
		ID: id, Model: rapid.SampledFrom(testModels).Draw(t, "model"), TokenPath: "/dental", Repeatable: rapid.Bool().Draw(t, "repeatable"),
		MaxTokens: 100, PromptTokens: 1000, Deadline: m.deadlines[id],
	}})
}

// place names a machine for an attempt that waits for placement or did before.
func (m *placementStateMachine) place(t *rapid.T) {
	if len(m.awaitingPlacement) == 0 {
		t.Skip()
	}
	asked := m.awaitingPlacement[rapid.IntRange(max(0, len(m.awaitingPlacement)-8), len(m.awaitingPlacement)-1).Draw(t, "asked")]
	machine := rapid.SampledFrom(append([]cluster.MachineID{""}, testMachines...)).Draw(t, "place")
	m.step(AttemptPlaced{Request: asked.Request, Attempt: asked.Attempt, Machine: machine, Forecast: Forecast{Read: 20 * time.Millisecond}})
}

// outcome ends an attempt that was sent.
func (m *placementStateMachine) outcome(t *rapid.T) {
	if len(m.awaitingPlacement) == 0 {
		t.Skip()
	}
	asked := m.awaitingPlacement[rapid.IntRange(max(0, len(m.awaitingPlacement)-8), len(m.awaitingPlacement)-1).Draw(t, "sent")]
	if _, sent := m.sent[fmt.Sprint(asked.Request, "/", asked.Attempt)]; !sent {
		t.Skip()
	}
	ended := AttemptEnded{Request: asked.Request, Attempt: asked.Attempt}
	if rapid.Bool().Draw(t, "failed") {
		ended.Failure = verdict.New(rapid.SampledFrom([]verdict.Verdict{verdict.NotRun, verdict.MayHaveRun}).Draw(t, "verdict"), verdict.CodeEngineFailed, "failed")
		ended.Unreached = ended.Failure.Verdict == verdict.NotRun
	}
	m.step(ended)
}

// status changes the replicas on a machine.
func (m *placementStateMachine) status(t *rapid.T) {
	m.sequence++
	status := wire.CellStatus{Zone: "z1", Token: 1, Sequence: m.sequence, Full: m.sequence == 1}
	machine := rapid.SampledFrom(testMachines).Draw(t, "machine")
	for _, model := range testModels {
		record := loaded(machine, 2)
		record.Model, record.Leaving = model, m.leaving[machine]
		if rapid.IntRange(0, 2).Draw(t, "state") == 0 {
			record.State = cluster.ReplicaAbsent
		}
		status.Replicas = append(status.Replicas, record)
	}
	m.step(CellStatusChanged{Status: status})
}

func (m *placementStateMachine) rareEvent(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "rare") {
	case 0:
		machine := rapid.SampledFrom(testMachines[:3]).Draw(t, "machine")
		m.leaving[machine] = true
		m.step(MachineLeaving{Machine: machine})
	case 1:
		m.held = m.now.Add(time.Second)
		m.step(DispatchesPaused{Until: m.held})
	case 2:
		m.held = time.Time{}
		m.step(DispatchesResumed{})
	case 3:
		m.step(SettingsChanged{Snapshot: snapshotOf(testModels[:2])})
	case 4:
		m.step(SettingsChanged{Snapshot: snapshotOf(testModels)})
	case 5:
		m.step(CallerGone{Request: cluster.RequestID(fmt.Sprint("r", m.arrived))})
	}
}

func (m *placementStateMachine) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "milliseconds")) * time.Millisecond)
	m.step(Tick{})
}

// check compares the requests in flight on each machine with the running requests.
func (m *placementStateMachine) check(t *rapid.T) {
	running := map[cluster.MachineID]int{}
	for _, request := range m.router.requests {
		if request.running {
			running[request.machine.id]++
		}
		if request.countedAttempts < 0 {
			t.Fatalf("%s has %d counted attempts", request.ID, request.countedAttempts)
		}
	}
	for id, machine := range m.router.machines {
		if machine.inFlight != running[id] || machine.reserved != 0 {
			t.Fatalf("%d in flight and %d reserved on %s, want %d in flight", machine.inFlight, machine.reserved, id, running[id])
		}
	}
}

// TestRandomEventsKeepInvariantsOfPlacedAttempts guards against events during the wait for
// placement that make the router send an attempt twice, after its deadline or to a leaving machine,
// or report a request that was never sent as possibly run.
func TestRandomEventsKeepInvariantsOfPlacedAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPlacementStateMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": m.arrive, "arrive too": m.arrive, "place": m.place, "place too": m.place, "outcome": m.outcome,
			"status": m.status, "rare": m.rareEvent, "pass": m.advance, "": m.check,
		})
		m.now = m.now.Add(time.Hour)
		m.step(Tick{})
		if open := m.router.InFlight(); open != 0 || len(m.deadlines) != 0 {
			t.Fatalf("%d requests never finished", open)
		}
	})
}

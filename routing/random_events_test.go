package routing

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

var (
	testModels   = []cluster.ModelID{"chat", "recall", "claims"}
	testZones    = []cluster.ZoneID{"z1", "z2"}
	testMachines = []cluster.MachineID{"z1-a", "z1-b", "z2-a", "z2-b"}
	testContents = []poison.Fingerprint{{}, {1}, {1}, {2}, {3}, {4}, {5}, {6}}
	testScope    = settings.Scope{Path: "/dental", MaxConcurrency: 16, RequestsPerSecond: 400, TokensPerSecond: 1e6}
)

// routerStateMachine sends random events to a router and checks each step against a checker.
type routerStateMachine struct {
	t       *rapid.T
	router  *Router
	checker *checker
	now     time.Time
	arrived int
	// dispatches holds all dispatches, for late outcomes and outcomes out of order.
	dispatches []Dispatch
	sequences  map[cluster.ZoneID]uint64
	tokens     map[cluster.ZoneID]cluster.FencingToken
}

func newRouterStateMachine(t *rapid.T) *routerStateMachine {
	config := Config{Zone: "z1", ExpectedRouters: 2, RetryReserve: 3}
	m := &routerStateMachine{
		t: t, router: New(config, rapid.Uint64().Draw(t, "seed")), checker: newChecker(config, start), now: start,
		sequences: make(map[cluster.ZoneID]uint64), tokens: make(map[cluster.ZoneID]cluster.FencingToken),
	}
	m.step(SettingsChanged{Snapshot: snapshotOf(testModels)})
	return m
}

func snapshotOf(ids []cluster.ModelID) *settings.Snapshot {
	var models []settings.Model
	for _, id := range ids {
		models = append(models, settings.Model{ID: id, Path: "/dental/" + string(id), Team: "/dental", Policy: testPolicy()})
	}
	slices.SortFunc(models, func(a, b settings.Model) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	scopes := map[string]settings.Scope{testScope.Path: testScope}
	return settings.NewSnapshot(settings.Stamp{Revision: 1}, models, nil, scopes)
}

func (m *routerStateMachine) step(event Event) {
	effects := m.router.Step(m.now, event)
	for _, effect := range effects {
		if dispatch, ok := effect.(Dispatch); ok {
			m.dispatches = append(m.dispatches, dispatch)
		}
	}
	if err := m.checker.observe(m.now, event, effects); err != nil {
		m.t.Fatalf("after %T: %v", event, err)
	}
}

func (m *routerStateMachine) arrive(t *rapid.T) {
	m.arrived++
	request := Request{
		ID: cluster.RequestID(fmt.Sprint("r", m.arrived)), Model: rapid.SampledFrom(testModels).Draw(t, "model"),
		TokenPath: "/dental", Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"),
		Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Repeatable: rapid.Bool().Draw(t, "repeatable"),
		BodyBytes: rapid.Int64Range(0, 300).Draw(t, "bytes"), MaxTokens: 100,
		Content: rapid.SampledFrom(testContents).Draw(t, "content"), Caller: rapid.Uint64Range(0, 1).Draw(t, "caller"),
	}
	if rapid.Bool().Draw(t, "impatient") {
		request.Patience = time.Duration(rapid.IntRange(100, 12000).Draw(t, "patience")) * time.Millisecond
	}
	if rapid.Bool().Draw(t, "stated") {
		request.Deadline = m.now.Add(time.Duration(rapid.IntRange(1, 20000).Draw(t, "deadline")) * time.Millisecond)
	}
	m.step(RequestArrived{Request: request})
	if m.checker.unfinished[request.ID] != nil && rapid.IntRange(0, 9).Draw(t, "duplicate") == 0 {
		m.step(RequestArrived{Request: request})
	}
}

// outcome ends a random recent dispatch, current or past, sometimes twice.
func (m *routerStateMachine) outcome(t *rapid.T) {
	if len(m.dispatches) == 0 {
		t.Skip()
	}
	recent := max(0, len(m.dispatches)-12)
	dispatch := m.dispatches[rapid.IntRange(recent, len(m.dispatches)-1).Draw(t, "dispatch")]
	ended := AttemptEnded{Request: dispatch.Request, Attempt: dispatch.Attempt, Tokens: 10}
	if rapid.Bool().Draw(t, "failed") {
		said := rapid.SampledFrom([]verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran}).Draw(t, "verdict")
		code := rapid.SampledFrom([]verdict.Code{verdict.CodeEngineFailed, verdict.CodeEngineRefused, verdict.CodeInvalidRequest}).Draw(t, "code")
		ended.Failure = verdict.New(said, code, "failed")
		ended.EngineFull = rapid.Bool().Draw(t, "full")
		ended.ModelMissing = !ended.EngineFull && rapid.Bool().Draw(t, "missing")
		ended.Broken = said != verdict.NotRun
		ended.MachineEnded = ended.Broken && rapid.Bool().Draw(t, "ended")
	}
	if rapid.IntRange(0, 3).Draw(t, "silent") == 0 {
		m.step(AttemptSilent{Request: dispatch.Request, Attempt: dispatch.Attempt})
	}
	m.step(ended)
	if rapid.Bool().Draw(t, "twice") {
		m.step(ended)
	}
}

func (m *routerStateMachine) callerEvent(t *rapid.T) {
	id := cluster.RequestID(fmt.Sprint("r", rapid.IntRange(max(1, m.arrived-10), m.arrived+1).Draw(t, "request")))
	if rapid.Bool().Draw(t, "gone") {
		m.step(CallerGone{Request: id})
		return
	}
	m.step(FirstByteSent{Request: id})
}

// status sends a status that may be new, late, repeated or after a missed one.
func (m *routerStateMachine) status(t *rapid.T) {
	zone := rapid.SampledFrom(testZones).Draw(t, "zone")
	shift := rapid.SampledFrom([]int{1, 1, 1, 1, 2, 0, -1}).Draw(t, "shift")
	m.sequences[zone] = uint64(max(1, int(m.sequences[zone])+shift))
	if rapid.IntRange(0, 9).Draw(t, "takeover") == 0 {
		m.tokens[zone]++
		m.sequences[zone] = 1
	}
	token := m.tokens[zone] + 1
	if token > 1 && rapid.IntRange(0, 9).Draw(t, "lapsed") == 0 {
		token--
	}
	status := wire.CellStatus{Zone: zone, Token: token, Sequence: m.sequences[zone], Full: rapid.Bool().Draw(t, "all")}
	for _, machine := range testMachines {
		if machine[:2] != cluster.MachineID(zone) {
			continue
		}
		leaving := rapid.IntRange(0, 9).Draw(t, "leaving") == 0
		for _, model := range testModels {
			if rapid.Bool().Draw(t, "named") {
				status.Replicas = append(status.Replicas, m.record(t, machine, model, leaving))
			}
		}
		status.Loads = append(status.Loads, wire.MachineLoad{Machine: machine, Running: rapid.IntRange(0, 4).Draw(t, "running"),
			Age: time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond})
	}
	m.step(CellStatusChanged{Status: status})
}

func (m *routerStateMachine) record(t *rapid.T, machine cluster.MachineID, model cluster.ModelID, leaving bool) wire.ReplicaRecord {
	states := []cluster.ReplicaState{cluster.ReplicaAbsent, cluster.ReplicaLoading, cluster.ReplicaLoaded, cluster.ReplicaLoaded, cluster.ReplicaUnloading}
	return wire.ReplicaRecord{
		Machine: machine, Address: string(machine), Model: model, Leaving: leaving, Slots: 4,
		Version: rapid.SampledFrom([]string{"v1", "v1", "v0"}).Draw(t, "version"),
		State:   rapid.SampledFrom(states).Draw(t, "state"),
		ReadyIn: time.Duration(rapid.IntRange(0, 15000).Draw(t, "ready")) * time.Millisecond,
	}
}

// limit sends a notice with or without a rate limit for a known machine, from an answer or from
// another router.
func (m *routerStateMachine) limit(t *rapid.T) {
	machine := rapid.SampledFrom(testMachines).Draw(t, "machine")
	if m.router.machines[machine] == nil {
		t.Skip()
	}
	notice := Notice{Limited: rapid.IntRange(0, 2).Draw(t, "limited") > 0}
	if notice.Limited {
		notice.PerSecond = rapid.Float64Range(0, 5).Draw(t, "rate")
	}
	if rapid.Bool().Draw(t, "told") {
		m.step(MachineLimitReceived{Machine: machine, Notice: notice})
		return
	}
	notice.Rest = time.Duration(rapid.IntRange(-3000, 3000).Draw(t, "rest")) * time.Millisecond
	notice.Leaving = rapid.IntRange(0, 19).Draw(t, "leaving") == 0
	m.step(MachineNoticeReceived{Machine: machine, Notice: notice, SentUnderLimit: rapid.Bool().Draw(t, "under limit")})
}

// turn answers the pending turn requests.
func (m *routerStateMachine) turn(t *rapid.T) {
	for _, machine := range testMachines {
		if known := m.router.machines[machine]; known != nil && known.turns.requested {
			m.step(TurnDecided{
				Machine: machine, Granted: rapid.Bool().Draw(t, "granted"),
				Wait: time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond,
			})
		}
	}
}

func (m *routerStateMachine) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "milliseconds")) * time.Millisecond)
	m.step(Tick{})
}

// advanceToDeadline moves the clock exactly to the next timer.
func (m *routerStateMachine) advanceToDeadline(*rapid.T) {
	if next, due := m.router.NextDeadline(); due && next.After(m.now) {
		m.now = next
	}
	m.step(Tick{})
}

func (m *routerStateMachine) rareEvent(t *rapid.T) {
	switch rapid.IntRange(0, 15).Draw(t, "rare") {
	case 0:
		m.step(DrainStarted{})
	case 1, 2:
		m.step(MachineLeaving{Machine: rapid.SampledFrom(testMachines).Draw(t, "machine")})
	case 3, 4:
		m.step(CellLost{Zone: rapid.SampledFrom(testZones).Draw(t, "zone")})
	case 5:
		m.step(SettingsChanged{Snapshot: snapshotOf(testModels[:2])})
	case 6:
		m.step(SettingsChanged{Snapshot: snapshotOf(testModels)})
	case 7:
		m.step(RoutersChanged{Routers: 3, Rank: 1, Zones: []ZoneRegion{{Zone: "z2", Region: "r"}}})
	case 8:
		m.step(MachineEnded{Machine: rapid.SampledFrom(testMachines).Draw(t, "machine")})
	case 9:
		m.step(PoisonProbeGranted{Content: rapid.SampledFrom(testContents).Draw(t, "content")})
	case 10:
		m.step(PoisonPardoned{Content: rapid.SampledFrom(testContents).Draw(t, "content")})
	case 11:
		m.step(PoisonProbeDenied{Content: rapid.SampledFrom(testContents).Draw(t, "content")})
	default:
		m.router.Demand(m.now, rapid.Bool().Draw(t, "full"))
	}
}

// check compares the router's internal state with the checker's log.
func (m *routerStateMachine) check(t *rapid.T) {
	if m.router.InFlight() != len(m.checker.unfinished) {
		t.Fatalf("%d requests in flight, want %d", m.router.InFlight(), len(m.checker.unfinished))
	}
	running := make(map[cluster.MachineID]int)
	waiting := 0
	for _, request := range m.checker.unfinished {
		if request.running {
			running[request.machine]++
		} else {
			waiting++
		}
	}
	if waiting != m.router.Waiting() {
		t.Fatalf("%d requests waiting, want %d", m.router.Waiting(), waiting)
	}
	for id, count := range running {
		if m.router.machines[id].inFlight != count {
			t.Fatalf("%d requests in flight on %s, want %d", m.router.machines[id].inFlight, id, count)
		}
	}
	if len(m.checker.unfinished) > testScope.MaxConcurrency/2 {
		t.Fatalf("%d requests admitted, this router's share is %d", len(m.checker.unfinished), testScope.MaxConcurrency/2)
	}
	m.checkQueues(t)
	m.checkStartable(t)
	m.checkHeldBack(t)
}

// checkHeldBack checks that a request is held back only while it waits for the permission for a
// probe, or while similar requests run or may run next.
func (m *routerStateMachine) checkHeldBack(t *rapid.T) {
	held := 0
	for _, waiting := range m.router.requests {
		if !waiting.item.Held() {
			continue
		}
		held++
		if m.router.awaitsProbe(waiting) {
			continue
		}
		similar := func(other *request) bool {
			return other != waiting && !other.item.Held() && excludes(other, waiting)
		}
		if !m.router.runsAlone(waiting) || !slices.ContainsFunc(slices.Collect(maps.Values(m.router.requests)), similar) {
			t.Fatalf("%s is held back behind nothing", waiting.ID)
		}
	}
	if held != len(m.router.heldBack) {
		t.Fatalf("%d requests are held back, %d listed", held, len(m.router.heldBack))
	}
}

// checkStartable checks that no request waits for a load that is known to end too late for it.
func (m *routerStateMachine) checkStartable(t *rapid.T) {
	for _, model := range m.router.models {
		ready, known := m.router.earliestReady(model)
		if !known || model.loaded > 0 {
			continue
		}
		for _, waiting := range model.waitingRequests() {
			if last := m.router.latestStart(waiting); last < ready {
				t.Fatalf("%s can start until %v, but waits for a load that ends at %v", waiting.ID, time.Unix(0, last), time.Unix(0, ready))
			}
		}
	}
}

// checkQueues checks that no request waits while a replica could take it, and that timers are armed
// and not overdue.
func (m *routerStateMachine) checkQueues(t *rapid.T) {
	for _, model := range m.router.models {
		head := model.queue.Head()
		if head == nil {
			continue
		}
		for _, tier := range model.tiers {
			for _, replica := range tier {
				if m.router.unusableCause(head.Value, replica, true) == "" {
					t.Fatalf("%s waits while %s is free", head.Value.ID, replica.machine.id)
				}
			}
		}
	}
	if next, due := m.router.NextDeadline(); len(m.checker.unfinished) > 0 && !due {
		t.Fatalf("requests are open without a timer")
	} else if due && !next.After(m.now) {
		t.Fatalf("a timer at %v is overdue", next)
	}
}

// TestRandomEventsKeepInvariants guards against any order of events, late, repeated or missing,
// that makes the router break an invariant or lose a request.
func TestRandomEventsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRouterStateMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": m.arrive, "arrive too": m.arrive, "outcome": m.outcome, "outcome too": m.outcome,
			"request": m.callerEvent, "status": m.status, "pass": m.advance, "deadline": m.advanceToDeadline,
			"rare": m.rareEvent, "limit": m.limit, "turn": m.turn, "": m.check,
		})
		m.now = m.now.Add(time.Hour)
		m.step(Tick{})
		if m.router.InFlight() != 0 || len(m.checker.unfinished) != 0 {
			t.Fatalf("%d requests never finished", len(m.checker.unfinished))
		}
	})
}

// TestSameSeedGivesSameEffects guards against effects that depend on the iteration order of maps.
func TestSameSeedGivesSameEffects(t *testing.T) {
	run := func() string {
		return rapid.Custom(func(t *rapid.T) string {
			m := newRouterStateMachine(t)
			log := ""
			for range 150 {
				switch rapid.IntRange(0, 5).Draw(t, "action") {
				case 0:
					m.status(t)
				case 1, 2, 3:
					m.arrive(t)
				case 4:
					m.advance(t)
				case 5:
					m.rareEvent(t)
				}
				log += describe(m.router.effects)
			}
			return log
		}).Example(7)
	}
	first := run()
	if first == "" {
		t.Fatal("no effects")
	}
	for range 3 {
		if again := run(); again != first {
			t.Fatalf("effects differ:\n%s\n%s", first, again)
		}
	}
}

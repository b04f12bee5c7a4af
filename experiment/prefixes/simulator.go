package prefixes

import (
	"fmt"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/internal/binaryheap"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/affinity"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

const (
	model = cluster.ModelID("chat")
	zone  = cluster.ZoneID("z1")
	// hopLatency is the one-way latency between a router and an engine.
	hopLatency = time.Millisecond
	// statusInterval is the interval of the cell status and the age of the loads that it reports.
	statusInterval = time.Second
	// maxRequestPrefixes limits the blocks of a prompt that a router considers.
	maxRequestPrefixes = 32
)

var epoch = time.Date(2026, 3, 1, 18, 0, 0, 0, time.UTC)

// simulator is the state of one run.
type simulator struct {
	options        Options
	now            int64
	events         binaryheap.Heap[scheduledEvent]
	scheduledCount uint64
	routers        []*routing.Router
	engines        []*engine
	// leavingEngines are the machines whose removal was announced.
	leavingEngines []*engine
	enginesByID    map[cluster.MachineID]*engine
	turns          map[cluster.RequestID]*turn
	sessions       *sessionGenerator
	updates        *updateSender
	statusSequence uint64
	// replacedAt is the time in nanoseconds at which machines were last replaced, zero before.
	replacedAt   int64
	measurements measurements
}

// Run simulates one strategy and returns its measurements.
func Run(options Options) Result {
	options = options.withDefaults()
	s := &simulator{
		options: options, now: epoch.UnixNano(), enginesByID: map[cluster.MachineID]*engine{}, turns: map[cluster.RequestID]*turn{},
	}
	s.sessions = newSessionGenerator(s, options.Seed)
	s.updates = &updateSender{simulator: s, prefixLog: affinity.NewPrefixLog(maxRelayedPrefixes), syntheticSequences: map[cluster.MachineID]uint64{}}
	for i := range options.Machines {
		s.addEngine(fmt.Sprintf("m%02d", i))
	}
	for i := range options.Routers {
		s.routers = append(s.routers, s.newRouter(i))
	}
	s.publishStatus()
	s.sessions.startSession()
	s.tickRouters()
	s.updates.sendUpdates()
	for i := range options.ReplacedMachines {
		s.schedule(options.WarmUp+options.Duration/2, func() { s.replaceMachine(i) })
	}
	end := s.now + int64(options.WarmUp+options.Duration)
	for s.events.Len() > 0 && s.events.First().at <= end {
		next := s.events.Pop()
		s.now = next.at
		next.run()
	}
	return s.buildResult()
}

// negligibleSentStrength is a strength for the router's own dispatches that is too small to
// influence routing.
const negligibleSentStrength = 1e-9

// newRouter creates a router whose settings contain the single model.
func (s *simulator) newRouter(number int) *routing.Router {
	config := routing.Config{Zone: zone, ExpectedRouters: s.options.Routers, PrefixBlockTime: s.options.PrefixBlockTime}
	if s.options.Strategy == StrategyNone {
		config.Affinity.SentStrength = negligibleSentStrength
	}
	router := routing.New(config, s.options.Seed*1000+uint64(number))
	policy := settings.Policy{
		QueueLength: 10000, QueueBytes: 1 << 30, QueueTime: time.Minute, Deadline: 5 * time.Minute, RetryAttempts: 3, Version: "v1",
	}
	served := settings.Model{ID: model, Kind: settings.KindModel, Path: "/team/chat", Team: "/team", Policy: policy}
	snapshot := settings.NewSnapshot(settings.Stamp{History: "h", Revision: 1}, []settings.Model{served}, nil, nil)
	router.Step(s.currentTime(), routing.SettingsChanged{Snapshot: snapshot})
	return router
}

func (s *simulator) currentTime() time.Time { return time.Unix(0, s.now) }

func (s *simulator) addEngine(id string) {
	added := newEngine(s, cluster.MachineID(id))
	s.engines = append(s.engines, added)
	s.enginesByID[added.id] = added
}

// reclaimNotice is how long a machine stays after its removal is announced. Its replacement is
// loaded when the notice is given.
const reclaimNotice = 10 * time.Second

// replaceMachine announces the removal of a machine and adds a replacement with an empty cache.
func (s *simulator) replaceMachine(index int) {
	old := s.engines[index]
	added := newEngine(s, old.id+"-next")
	s.leavingEngines = append(s.leavingEngines, old)
	s.engines[index] = added
	s.enginesByID[added.id] = added
	s.replacedAt = s.now
	if s.options.MoveCaches {
		s.schedule(statusInterval+hopLatency, func() { s.moveCache(old, added) })
	}
	s.schedule(reclaimNotice, func() {
		old.removed = true
		s.leavingEngines = slices.DeleteFunc(s.leavingEngines, func(e *engine) bool { return e == old })
	})
}

// moveCache copies the cache of a machine to its replacement and tells the routers.
func (s *simulator) moveCache(from, to *engine) {
	for element := from.lruOrder.Front(); element != nil; element = element.Next() {
		to.cacheBlocks([]uint64{element.Value.(uint64)})
	}
	for i := range s.routers {
		s.stepRouter(i, routing.CacheMoved{Model: model, From: from.id, To: to.id})
	}
}

// publishStatus sends all routers the loaded replicas, and the loads as of the previous status.
func (s *simulator) publishStatus() {
	s.statusSequence++
	status := wire.CellStatus{Zone: zone, Token: 1, Sequence: s.statusSequence, Full: true}
	for _, e := range s.engines {
		status.Replicas = append(status.Replicas, e.replicaRecord(false))
		status.Loads = append(status.Loads, wire.MachineLoad{Machine: e.id, Running: e.reportedRunning, Age: statusInterval})
		e.reportedRunning = e.occupiedSlots
	}
	for _, e := range s.leavingEngines {
		status.Replicas = append(status.Replicas, e.replicaRecord(true))
	}
	for i := range s.routers {
		s.stepRouter(i, routing.CellStatusChanged{Status: status})
	}
	s.schedule(statusInterval, s.publishStatus)
}

// tickInterval is the interval at which the deadlines of all routers are checked.
const tickInterval = 20 * time.Millisecond

// tickRouters sends a tick to each router whose next deadline has passed.
func (s *simulator) tickRouters() {
	for i := range s.routers {
		if next, due := s.routers[i].NextDeadline(); due && next.UnixNano() <= s.now {
			s.stepRouter(i, routing.Tick{})
		}
	}
	s.schedule(tickInterval, s.tickRouters)
}

// sendToRouter delivers a turn to its router.
func (s *simulator) sendToRouter(t *turn) {
	t.arrivedAt = s.now
	id := cluster.RequestID(t.id)
	s.turns[id] = t
	request := routing.Request{ID: id, Model: model, TokenPath: "/team", Team: "/team"}
	if s.options.Strategy != StrategyNone {
		request.Prefixes = t.blocks[:min(len(t.blocks), maxRequestPrefixes)]
	}
	s.updates.injectPreferredMachine(t.router, request.Prefixes)
	s.stepRouter(t.router, routing.RequestArrived{Request: request})
}

// stepRouter passes an event to a router and executes the resulting effects.
func (s *simulator) stepRouter(number int, event routing.Event) {
	effects := slices.Clone(s.routers[number].Step(s.currentTime(), event))
	for _, effect := range effects {
		switch e := effect.(type) {
		case routing.Dispatch:
			s.dispatchToEngine(number, e)
		case routing.Finish:
			if e.Failure != nil {
				s.measurements.failures++
			}
			delete(s.turns, e.Request)
		}
	}
}

// dispatchToEngine delivers an attempt to its engine after one hop and reports a refusal after another.
func (s *simulator) dispatchToEngine(number int, dispatch routing.Dispatch) {
	t := s.turns[dispatch.Request]
	s.schedule(hopLatency, func() {
		started := execution{turn: t, attempt: dispatch.Attempt, router: number}
		target := s.enginesByID[dispatch.Machine]
		if target.tryAccept(started) {
			return
		}
		s.measurements.refusals++
		s.schedule(hopLatency, func() {
			s.stepRouter(number, routing.AttemptEnded{
				Request: dispatch.Request, Attempt: dispatch.Attempt, EngineFull: !target.removed, ModelMissing: target.removed,
				Failure: verdict.New(verdict.NotRun, verdict.CodeEngineFailed, "no slot"),
			})
		})
	})
}

// recordFirstToken reports the first byte to the router and records the first-token time.
func (s *simulator) recordFirstToken(r execution) {
	s.stepRouter(r.router, routing.FirstByteSent{Request: cluster.RequestID(r.turn.id)})
	if s.isMeasuring() {
		first := time.Duration(s.now-r.turn.arrivedAt) + hopLatency
		s.measurements.firstTokenTimes = append(s.measurements.firstTokenTimes, first)
		if s.replacedAt != 0 && r.turn.arrivedAt-s.replacedAt < int64(replacementWindow) && r.turn.arrivedAt >= s.replacedAt {
			s.measurements.firstTokenTimesAfterReplacement = append(s.measurements.firstTokenTimesAfterReplacement, first)
		}
	}
}

// completeExecution reports the end of an attempt to its router after one hop.
func (s *simulator) completeExecution(r execution) {
	s.schedule(hopLatency, func() {
		s.stepRouter(r.router, routing.AttemptEnded{Request: cluster.RequestID(r.turn.id), Attempt: r.attempt, Tokens: r.turn.tokens})
	})
}

// isMeasuring reports whether the warm-up is over.
func (s *simulator) isMeasuring() bool { return s.now-epoch.UnixNano() >= int64(s.options.WarmUp) }

// schedule calls callback after the given time.
func (s *simulator) schedule(wait time.Duration, callback func()) {
	s.scheduledCount++
	s.events.Push(scheduledEvent{at: s.now + int64(wait), order: s.scheduledCount, run: callback})
}

// scheduledEvent is a function to call at a time.
type scheduledEvent struct {
	at    int64
	order uint64
	run   func()
}

// Before implements binaryheap.Element: events are ordered by time, then by order of scheduling.
func (s scheduledEvent) Before(other scheduledEvent) bool {
	return s.at < other.at || s.at == other.at && s.order < other.order
}

// Moved implements binaryheap.Element. Positions are not tracked, because events are never updated.
func (s scheduledEvent) Moved(int) {}

package routing

import (
	"math/rand/v2"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/internal/binaryheap"
	"github.com/valveslip/valveslip/routing/affinity"
	"github.com/valveslip/valveslip/routing/limit"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/verdict"
)

// Router is the routing core. It is not safe for concurrent use; its owner serializes the calls of
// Step. These invariants hold between any two steps:
//
//   - An admitted request is either waiting in its model's queue, or running with exactly one
//     current attempt that counts on one machine. It ends with exactly one Finish.
//   - Every request has a timer no later than its deadline; a waiting request has one no later
//     than the end of its queue time.
//   - A machine that announced that it is leaving or that asked for rest gets no Dispatch. A
//     machine with a rate limit gets one Dispatch per turn.
//   - A request that is not repeatable gets another Dispatch only if every earlier attempt
//     failed with verdict NotRun. No request gets one after its first byte went to the caller,
//     unless its answer is resumable.
//   - A failure has verdict NotRun only if no attempt may have run.
type Router struct {
	config Config
	// seed determines the random choices and the preference among machines.
	seed   uint64
	random *rand.Rand

	// now and nanos are the virtual time of the current step, which never goes back.
	now   time.Time
	nanos int64
	// startedAt is the time of the first step.
	startedAt int64
	// moreRouters is an earlier, larger number of routers, which counts for retries until moreRoutersUntil.
	moreRouters      int
	moreRoutersUntil int64

	snapshot      *settings.Snapshot
	models        map[cluster.ModelID]*model
	machines      map[cluster.MachineID]*machine
	cells         map[cluster.ZoneID]*cell
	regions       map[cluster.ZoneID]cluster.RegionID
	requests      map[cluster.RequestID]*request
	timers        binaryheap.Heap[*timer]
	timerSequence uint64
	// waiting counts the waiting requests of all models.
	waiting int
	// demandChanged lists the models whose demand changed since the last report.
	demandChanged []*model
	limits        *limit.Set
	// windowBudgets holds the sliding-window retry budgets by engine pool.
	windowBudgets map[string]*windowBudget
	// prefixes estimates the engines' prefix caches; matches is the buffer of the current choice.
	prefixes *affinity.Index
	matches  []affinity.Match
	// poison holds the requests that are suspected of ending machines, or blocked.
	poison *poison.Table
	// suspectCallers are the callers under whose requests several machines ended in succession.
	suspectCallers *poison.Callers
	// unpublishedPrefixes are the prompts that have not been sent to the other routers yet.
	unpublishedPrefixes *affinity.PrefixLog
	// routers is the number of routers that share the replicas and rank this router's position
	// among them. Limits are divided by limitDivisor, which stays above routers until
	// limitDivisorUntil after some routers disappeared.
	routers, limitDivisor, rank int
	limitDivisorUntil           int64
	draining                    bool
	// heldUntil is the time until which all dispatches are held, zero for no hold.
	heldUntil int64
	// meanLoadTimes are the mean load times in nanoseconds of base models (index 0) and of adapters
	// (index 1).
	meanLoadTimes [2]float64
	// statusCount counts the accepted cell statuses.
	statusCount uint64

	// heldBack are the waiting requests that are held in their queues while a similar one runs;
	// recheckHeldBack is set when some of them may be released.
	heldBack        []*request
	recheckHeldBack bool

	effects []Effect
	// freedMachines lists the machines that gained room in this step.
	freedMachines []*machine
	// changedModels lists the models whose usable replicas changed in this step.
	changedModels []*model
	recycled      []*request
}

// New returns a router without settings and replicas. Equal seeds and events give equal effects.
func New(config Config, seed uint64) *Router {
	config = config.withDefaults()
	router := &Router{
		config:              config,
		seed:                seed,
		random:              rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		models:              make(map[cluster.ModelID]*model),
		machines:            make(map[cluster.MachineID]*machine),
		cells:               make(map[cluster.ZoneID]*cell),
		regions:             make(map[cluster.ZoneID]cluster.RegionID),
		requests:            make(map[cluster.RequestID]*request),
		routers:             config.ExpectedRouters,
		limits:              limit.NewSet(),
		windowBudgets:       make(map[string]*windowBudget),
		prefixes:            affinity.New(config.Affinity),
		poison:              poison.NewTable(config.Poison),
		suspectCallers:      poison.NewCallers(),
		unpublishedPrefixes: affinity.NewPrefixLog(maxUnpublished),
	}
	router.limits.Divide(limit.Division{Routers: config.ExpectedRouters})
	return router
}

// Step handles one event at the time now and returns the effects. Timers that are due by now run
// before the event.
func (r *Router) Step(now time.Time, event Event) []Effect {
	if nanos := now.UnixNano(); nanos >= r.nanos {
		r.now, r.nanos = now, nanos
	}
	if r.startedAt == 0 {
		r.startedAt = r.nanos
	}
	r.effects = nil
	r.runDueTimers()
	r.dispatchToFreed()
	r.handle(event)
	r.enforceBlocks()
	r.releaseHeldBack()
	r.dispatchToFreed()
	if found := r.poison.TakeUpdated(); len(found) > 0 {
		r.emit(PoisonFound{Records: found})
	}
	return r.effects
}

func (r *Router) handle(event Event) {
	switch event := event.(type) {
	case RequestArrived:
		r.arrive(&event.Request)
	case AttemptEnded:
		r.attemptEnded(&event)
	case MachineNoticeReceived:
		r.applyMachineNotice(&event)
	case MachineStartFound:
		r.machineStartFound(&event)
	case ReleasesRecorded:
		r.releasesRecorded(&event)
	case AttemptsDoubted:
		r.attemptsDoubted(&event)
	case MachineRestarted:
		r.machineRestarted(&event)
	case MachineLimitReceived:
		r.applyMachineLimit(&event)
	case MachineLimitRestored:
		r.restoreMachineLimit(&event)
	case TurnDecided:
		r.turnDecided(&event)
		r.recheckHeldBack = true
	case RequestWithdrawn:
		r.withdraw(event.Request, event.Failure)
	case AttemptPlaced:
		r.attemptPlaced(&event)
	case AttemptSilent:
		r.attemptSilent(&event)
	case FirstByteSent:
		r.firstByteSent(event.Request)
	case CallerGone:
		r.callerGone(event.Request)
	case CellStatusChanged:
		r.applyCellStatus(&event.Status)
	case CellLost:
		r.cellLost(event.Zone)
	case MachineLeaving:
		r.machineLeaving(event.Machine)
	case RoutersChanged:
		r.routersChanged(event)
	case SettingsChanged:
		r.settingsChanged(event.Snapshot)
	case DispatchesPaused:
		r.hold(event)
	case DispatchesResumed:
		r.endHold()
	case BackOffsCleared:
		r.clearBackOffs()
	case MachineEnded:
		r.machineEnded(event.Machine)
	case PoisonLearned:
		r.poison.Learn(r.now, event.Records)
		r.recheckHeldBack = true
	case PoisonProbeGranted:
		r.grantProbe(event.Content)
	case PoisonProbeDenied:
		r.denyProbe(event.Content)
	case PoisonPardoned:
		r.poison.Pardon(r.now, event.Content)
		r.recheckHeldBack = true
	case Tick:
		r.endExpiredHold()
		r.recheckHeldBack = true
		r.poison.Sweep(r.now)
		r.suspectCallers.Sweep(r.now)
	case DrainStarted:
		r.drain()
	case CacheEventsArrived:
		r.cacheEvents(event.Events)
	case PrefixesReceived:
		r.applyReportedPrefixes(event.Groups)
	case CacheMoved:
		r.cacheMoved(event)
	}
}

// cacheEvents applies the engines' reports of cached prefixes.
func (r *Router) cacheEvents(events []cluster.CacheEvent) {
	for i := range events {
		r.prefixes.Apply(r.nanos, events[i])
	}
}

// NextDeadline returns when the next timer is due, or false without any. The owner must send a Tick
// then.
func (r *Router) NextDeadline() (time.Time, bool) {
	if r.timers.Len() == 0 {
		return time.Time{}, false
	}
	return time.Unix(0, r.timers.First().at), true
}

// InFlight returns the number of requests that have not finished, waiting ones included.
func (r *Router) InFlight() int { return len(r.requests) }

// Waiting returns the number of requests that wait for dispatch.
func (r *Router) Waiting() int { return r.waiting }

// Draining reports whether admission is closed.
func (r *Router) Draining() bool { return r.draining }

// emit adds an effect to the current step.
func (r *Router) emit(effect Effect) { r.effects = append(r.effects, effect) }

// settingsRevision returns the revision of the settings in force, zero without any.
func (r *Router) settingsRevision() int64 {
	if r.snapshot == nil {
		return 0
	}
	return r.snapshot.Stamp.Revision
}

// settingsChanged puts a snapshot in force. Requests of removed models that wait in the queue or
// whose attempt is not sent yet end at once.
func (r *Router) settingsChanged(snapshot *settings.Snapshot) {
	if snapshot == nil {
		return
	}
	r.snapshot = snapshot
	r.limits.Configure(snapshot.Scopes)
	for _, model := range r.sortedModels() {
		r.applySettings(model, snapshot.Model(model.id))
	}
}

func (r *Router) applySettings(model *model, configured *settings.Model) {
	model.configured = configured
	model.countReplicas()
	if configured != nil {
		r.dispatchQueue(model)
		return
	}
	ended := model.waitingRequests()
	for _, held := range r.unsentRequests() {
		if held.model == model {
			ended = append(ended, held)
		}
	}
	for _, waiting := range ended {
		failure := verdict.New(verdict.NotRun, verdict.CodeModelNotFound, "model %q was removed", model.id)
		r.abandon(waiting, failure, Explanation{})
	}
	r.forgetIfUnused(model)
}

// drain closes admission and refuses the requests that wait in queues or whose attempt is not sent
// yet.
func (r *Router) drain() {
	if r.draining {
		return
	}
	r.draining = true
	for _, model := range r.sortedModels() {
		for _, waiting := range model.waitingRequests() {
			r.finish(waiting, r.drainingFailure(), Explanation{})
		}
	}
	r.refuseUnsent()
}

func (r *Router) drainingFailure() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeNodeDraining,
		"this node is stopping; another one takes the request").After(r.config.DrainRetryAfter)
}

// divideLimits divides the limits by the number of routers. A decrease takes effect only after
// RouterLossDelay, because routers that disappeared may only be partitioned from this node and still
// admit requests.
func (r *Router) divideLimits() {
	fewer := r.routers < r.limitDivisor
	if fewer && r.limitDivisorUntil == 0 {
		r.limitDivisorUntil = r.nanos + int64(r.config.RouterLossDelay)
	}
	if !fewer || r.nanos >= r.limitDivisorUntil {
		r.limitDivisor, r.limitDivisorUntil = r.routers, 0
	}
	r.limits.Divide(limit.Division{Routers: r.limitDivisor, Rank: r.rank})
}

// routersChanged applies a new number of routers and the regions of zones.
func (r *Router) routersChanged(event RoutersChanged) {
	if event.Routers > 0 {
		if event.Routers < r.routers {
			r.rememberRouters()
		}
		r.routers, r.rank = event.Routers, event.Rank
		r.divideLimits()
	}
	regionsChanged := false
	for _, zone := range event.Zones {
		if before, known := r.regions[zone.Zone]; !known || before != zone.Region {
			r.regions[zone.Zone], regionsChanged = zone.Region, true
		}
	}
	if !regionsChanged {
		return
	}
	for _, model := range r.sortedModels() {
		r.rebuildTiers(model)
	}
}

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

// Router is the core. It is not safe for concurrent use; a shell serializes
// Step. Its invariants, which hold between any two steps:
//
//   - An admitted request is either waiting, and then in its model's queue, or
//     running, and then its one current attempt counts on one machine. It
//     leaves with exactly one Finish.
//   - Every request in either state has a timer no later than its deadline; a
//     waiting one no later than the end of its queue time.
//   - A machine whose leaving was announced, or that wants rest, gets no
//     Dispatch; one with a limit gets one for each turn.
//   - A request that is not repeatable gets another Dispatch only if every
//     earlier attempt failed with verdict NotRun; none gets one after its
//     first byte went to the caller.
//   - A failure says NotRun only if no attempt may have run.
type Router struct {
	config Config
	// seed of the choices, and of the preference among machines.
	seed   uint64
	random *rand.Rand

	// now and nanos are the virtual time of the current step; it never goes
	// back.
	now   time.Time
	nanos int64

	snapshot *settings.Snapshot
	models   map[cluster.ModelID]*model
	machines map[cluster.MachineID]*machine
	cells    map[cluster.ZoneID]*cell
	regions  map[cluster.ZoneID]cluster.RegionID
	requests map[cluster.RequestID]*request
	timers   binaryheap.Heap[*timer]
	armings  uint64
	// waiting counts waiting requests of all models.
	waiting int
	// touched lists the models whose demand changed since the last report.
	touched []*model
	limits  *limit.Set
	// pools holds the window budgets of attempts past the first by engine pool.
	pools map[string]*windowBudget
	// prefixes estimates engines' caches; matches is the buffer of a choice.
	prefixes *affinity.Index
	matches  []affinity.Match
	// poison is what is known of requests that end machines.
	poison *poison.Table
	// doubtful are callers under whose requests machines end one after the other.
	doubtful *poison.Callers
	// untold are the prompts that other routers have yet to be told of.
	untold *affinity.Ledger
	// routers is how many share the replicas. divided is among how many limits
	// are divided, more until dividedUntil if some disappeared; rank is this
	// router's place.
	routers, divided, rank int
	dividedUntil           int64
	draining               bool
	// heldUntil is until when all dispatches wait, zero for not.
	heldUntil int64
	// loadTimes are the learned means over all models of a kind in nanoseconds, the base
	// models' and the adapters'.
	loadTimes [2]float64
	// statuses counts the accepted cell statuses.
	statuses uint64

	effects []Effect
	// freed lists the machines that got room in this step.
	freed []*machine
	// changed lists the models whose usable replicas changed in this step.
	changed []*model
	spare   []*request
}

// New returns a core that knows no settings and no replicas yet. Equal seeds
// and events give equal effects.
func New(config Config, seed uint64) *Router {
	config = config.withDefaults()
	router := &Router{
		config:   config,
		seed:     seed,
		random:   rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		models:   make(map[cluster.ModelID]*model),
		machines: make(map[cluster.MachineID]*machine),
		cells:    make(map[cluster.ZoneID]*cell),
		regions:  make(map[cluster.ZoneID]cluster.RegionID),
		requests: make(map[cluster.RequestID]*request),
		routers:  config.ExpectedRouters,
		limits:   limit.NewSet(),
		pools:    make(map[string]*windowBudget),
		prefixes: affinity.New(config.Affinity),
		poison:   poison.NewTable(config.Poison),
		doubtful: poison.NewCallers(),
		untold:   affinity.NewLedger(maxUntold),
	}
	router.limits.Divide(limit.Division{Routers: config.ExpectedRouters})
	return router
}

// Step takes one event at the time now and returns what must be done. Time-outs
// that now has passed take effect before the event.
func (r *Router) Step(now time.Time, event Event) []Effect {
	if nanos := now.UnixNano(); nanos >= r.nanos {
		r.now, r.nanos = now, nanos
	}
	r.effects = nil
	r.expire()
	r.serveFreed()
	r.handle(event)
	r.enforceVerdicts()
	r.serveFreed()
	if found := r.poison.News(); len(found) > 0 {
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
	case MachineHeard:
		r.machineHeard(&event)
	case MachineRestarted:
		r.machineRestarted(&event)
	case MachineLimitTold:
		r.limitTold(&event)
	case TurnDecided:
		r.turnDecided(&event)
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
		r.cellStatus(&event.Status)
	case CellLost:
		r.cellLost(event.Zone)
	case MachineLeaving:
		r.machineLeaving(event.Machine)
	case RoutersChanged:
		r.routersChanged(event)
	case SettingsChanged:
		r.settingsChanged(event.Snapshot)
	case DispatchesHeld:
		r.hold(event)
	case DispatchesReleased:
		r.endHold()
	case MachineEnded:
		r.machineEnded(event.Machine)
	case PoisonLearned:
		r.poison.Learn(r.now, event.Records)
	case PoisonTestGranted:
		r.poison.GrantTest(event.Content)
	case PoisonPardoned:
		r.poison.Pardon(r.now, event.Content)
	case Tick:
		r.releaseDue()
		r.poison.Sweep(r.now)
		r.doubtful.Sweep(r.now)
	case DrainStarted:
		r.drain()
	case CacheEventsArrived:
		r.cacheEvents(event.Events)
	case PrefixesTold:
		r.prefixesTold(event.Groups)
	case CacheMoved:
		r.cacheMoved(event)
	}
}

// cacheEvents takes engines' reports of cached prefixes.
func (r *Router) cacheEvents(events []cluster.CacheEvent) {
	for i := range events {
		r.prefixes.Apply(r.nanos, events[i])
	}
}

// NextDeadline returns when the next time-out is due, or false without any. The
// shell sends a Tick then.
func (r *Router) NextDeadline() (time.Time, bool) {
	if r.timers.Len() == 0 {
		return time.Time{}, false
	}
	return time.Unix(0, r.timers.First().at), true
}

// InFlight counts the requests that have not finished, waiting ones included.
func (r *Router) InFlight() int { return len(r.requests) }

// Waiting counts the requests that wait for dispatch.
func (r *Router) Waiting() int { return r.waiting }

// Draining reports whether admission is closed.
func (r *Router) Draining() bool { return r.draining }

// emit adds an effect of the current step.
func (r *Router) emit(effect Effect) { r.effects = append(r.effects, effect) }

// settingsRevision in force, zero before the first.
func (r *Router) settingsRevision() int64 {
	if r.snapshot == nil {
		return 0
	}
	return r.snapshot.Stamp.Revision
}

// settingsChanged puts a snapshot in force. Requests of removed models that wait, for a replica
// or for their time at one, end at once.
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
	model.countMatching()
	if configured != nil {
		r.serve(model)
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

// drain closes admission and refuses what waits, also for its time at a machine.
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

// divideLimits divides limits anew. Fewer routers count only RoutersMemory after
// there were more, because those may be cut off and go on admitting.
func (r *Router) divideLimits() {
	fewer := r.routers < r.divided
	if fewer && r.dividedUntil == 0 {
		r.dividedUntil = r.nanos + int64(r.config.RoutersMemory)
	}
	if !fewer || r.nanos >= r.dividedUntil {
		r.divided, r.dividedUntil = r.routers, 0
	}
	r.limits.Divide(limit.Division{Routers: r.divided, Rank: r.rank})
}

// routersChanged learns how many routers share limits and slots.
func (r *Router) routersChanged(event RoutersChanged) {
	if event.Routers > 0 {
		r.routers, r.rank = event.Routers, event.Rank
		r.divideLimits()
	}
	moved := false
	for _, zone := range event.Zones {
		if before, known := r.regions[zone.Zone]; !known || before != zone.Region {
			r.regions[zone.Zone], moved = zone.Region, true
		}
	}
	if !moved {
		return
	}
	for _, model := range r.sortedModels() {
		r.rebuildTiers(model)
	}
}

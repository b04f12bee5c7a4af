package dispatch

import (
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/work"
	"github.com/valveslip/valveslip/wire"
)

// attemptKey identifies an attempt by the node that sends it and the number that this node gave
// it.
type attemptKey struct {
	node   cluster.NodeID
	number int64
}

// trackedAttempt is an attempt that is planned or in flight at an engine. It stays in the tracker
// until it ends or its deadline passes.
type trackedAttempt struct {
	key    attemptKey
	engine *engine
	model  cluster.ModelID
	work   wire.EngineWork
	prompt work.Prompt
	// prefillTime is the estimated time to prefill the prompt, backlog the prefill time that is
	// queued before it.
	prefillTime, backlog time.Duration
	// sendAt is the send time and deadline the time by which the attempt has ended, in nanoseconds
	// since the Unix epoch like all times of the tracker.
	sendAt, deadline int64
	streaming        bool
	// backlogKnown is true if the attempt went where the dispatcher placed it, so that backlog is
	// the estimate for this engine.
	backlogKnown bool
}

// attemptTracker is the state of a dispatcher: the attempts at each engine, the prefixes that each
// engine caches, and the learned speed of the engines.
type attemptTracker struct {
	cfg      *Config
	engines  map[cluster.MachineID]*engine
	attempts map[attemptKey]*trackedAttempt
	// estimators has one entry for each service, because each service has its own kind of engines.
	estimators map[string]*work.Estimator
	// sweptAt is the time of the last sweep.
	sweptAt int64
	// prefillSpans and urgentSpans are buffers that the evaluation of an engine reuses: the
	// planned prefills of all ranks, and those at least as urgent as the request.
	prefillSpans, urgentSpans []prefillSpan
}

func newAttemptTracker(cfg *Config) *attemptTracker {
	return &attemptTracker{cfg: cfg, engines: map[cluster.MachineID]*engine{}, attempts: map[attemptKey]*trackedAttempt{}, estimators: map[string]*work.Estimator{}}
}

// estimator returns the estimator for the service of a model and creates it if necessary.
func (t *attemptTracker) estimator(model cluster.ModelID) *work.Estimator {
	service, _, _ := catalog.Split(model)
	estimator := t.estimators[service]
	if estimator == nil {
		estimator = work.NewEstimator(t.cfg.Work)
		t.estimators[service] = estimator
	}
	return estimator
}

// touchEngine returns the state of an engine, creates it if necessary, and marks the engine as
// referenced now.
func (t *attemptTracker) touchEngine(now int64, id cluster.MachineID, model cluster.ModelID) *engine {
	known := t.engines[id]
	if known == nil {
		known = &engine{id: id, cache: newPrefixCache(t.cfg.CacheTokens(model))}
		t.engines[id] = known
	}
	known.lastReferencedAt = now
	return known
}

// add tracks an attempt. It does nothing once maxTrackedAttempts are tracked.
func (t *attemptTracker) add(a *trackedAttempt) {
	if len(t.attempts) >= maxTrackedAttempts {
		return
	}
	t.attempts[a.key] = a
	if a.streaming {
		a.engine.streams = append(a.engine.streams, a)
	} else {
		a.engine.insertPrefill(a)
	}
}

// remove stops tracking an attempt.
func (t *attemptTracker) remove(a *trackedAttempt) {
	delete(t.attempts, a.key)
	a.engine.prefills = removeAttempt(a.engine.prefills, a)
	a.engine.streams = removeAttempt(a.engine.streams, a)
	if len(a.engine.prefills) == 0 {
		// An engine without prefills is idle. If prefillingSince stayed set, the engine would
		// count as busy from then on and get no more requests.
		a.engine.prefillingSince = 0
	}
}

// unreportedGrace is how long after its send time an attempt may be missing from the full reports
// of its node. It is more than ten times answerTimeout, so that an attempt whose answer is still
// on its way is not dropped.
const unreportedGrace = 500 * time.Millisecond

// applyReport applies the progress and the attempts that a node reports. A full report also drops
// the tracked attempts of the node that it does not list, after unreportedGrace.
func (t *attemptTracker) applyReport(now time.Time, m *wire.EngineNews) {
	for i := range m.Progress {
		t.applyProgress(now, attemptKey{m.From, m.Progress[i].Number}, &m.Progress[i])
	}
	named := make(map[int64]bool, len(m.Attempts))
	for i := range m.Attempts {
		named[m.Attempts[i].Number] = true
		t.applyAttempt(now, m.From, &m.Attempts[i])
	}
	if !m.Full {
		return
	}
	for key, a := range t.attempts {
		if key.node == m.From && !named[key.number] && now.UnixNano()-a.sendAt > int64(unreportedGrace) {
			t.remove(a)
		}
	}
}

// applyAttempt tracks an attempt at the engine that its node reports, and moves it there if it was
// tracked at another engine.
func (t *attemptTracker) applyAttempt(now time.Time, node cluster.NodeID, reported *wire.EngineAttempt) {
	key := attemptKey{node, reported.Number}
	if known := t.attempts[key]; known != nil {
		if known.engine.id == reported.Machine {
			known.markStreaming(reported.Began)
			return
		}
		t.remove(known)
	}
	e := t.touchEngine(now.UnixNano(), reported.Machine, reported.Work.Model)
	sentAt := now.Add(-reported.Sent).UnixNano()
	deadline := sentAt + int64(reported.Work.Left)
	if deadline <= now.UnixNano() {
		return
	}
	prompt := work.Prompt{Tokens: reported.Work.PromptTokens, Cached: e.cache.cachedTokens(&reported.Work)}
	t.add(&trackedAttempt{
		key: key, engine: e, model: reported.Work.Model, work: reported.Work, prompt: prompt, streaming: reported.Began, sendAt: sentAt,
		prefillTime: t.estimator(reported.Work.Model).PrefillTime(e.id, baseModel(reported.Work.Model), prompt),
		deadline:    deadline,
	})
	e.cache.add(&reported.Work)
}

// applyProgress records the first event or the end of an attempt. The time to the first event
// updates the speed estimate of the engine.
func (t *attemptTracker) applyProgress(now time.Time, key attemptKey, p *wire.EngineProgress) {
	a := t.attempts[key]
	if a == nil {
		return
	}
	if p.First > 0 && !a.streaming {
		a.streaming = true
		t.observePrefill(now, a, p.First)
		a.engine.prefills = removeAttempt(a.engine.prefills, a)
		a.engine.streams = append(a.engine.streams, a)
		a.engine.recordPrefillEnd(now.UnixNano())
	}
	if p.Ended {
		t.remove(a)
		a.engine.recordPrefillEnd(now.UnixNano())
	}
}

// observePrefill passes the time to the first event to the estimator. It skips attempts with an
// unknown backlog: the estimator would count the wait for other prompts as slowness of the engine.
func (t *attemptTracker) observePrefill(now time.Time, a *trackedAttempt, timeToFirstEvent time.Duration) {
	if !a.backlogKnown {
		return
	}
	t.estimator(a.model).Observe(now, work.Observation{
		Engine: a.engine.id, Model: baseModel(a.model), Prompt: a.prompt, PrefillAhead: a.backlog, TimeToFirstEvent: timeToFirstEvent,
	})
}

// removeEngine drops an engine with its attempts and its learned speed.
func (t *attemptTracker) removeEngine(id cluster.MachineID) {
	known := t.engines[id]
	if known == nil {
		return
	}
	for _, list := range [][]*trackedAttempt{known.prefills, known.streams} {
		for _, a := range list {
			delete(t.attempts, a.key)
		}
	}
	delete(t.engines, id)
	for _, estimator := range t.estimators {
		estimator.Forget(id)
	}
}

// dropModel clears the cached prefixes of a model that an engine has unloaded.
func (t *attemptTracker) dropModel(id cluster.MachineID, model cluster.ModelID) {
	if known := t.engines[id]; known != nil {
		known.cache.dropModel(model)
	}
}

// retainNodes drops the attempts of all nodes that are not in live.
func (t *attemptTracker) retainNodes(live map[cluster.NodeID]bool) {
	for key, a := range t.attempts {
		if !live[key.node] {
			t.remove(a)
		}
	}
}

// sweepInterval is the time between two sweeps for expired attempts: these remain only where the
// report of their end was lost.
const sweepInterval = time.Second

// engineIdleTimeout is how long an engine without attempts is kept after the last reference to it.
// A node that learns late of the removal of an engine can reference it again, and no second
// removal event follows, so that only this timeout removes it.
const engineIdleTimeout = 5 * time.Minute

// sweep drops expired attempts, and engines that no node has referenced for engineIdleTimeout.
func (t *attemptTracker) sweep(now int64) {
	if now-t.sweptAt < int64(sweepInterval) {
		return
	}
	t.sweptAt = now
	for _, a := range t.attempts {
		if now >= a.deadline {
			t.remove(a)
		}
	}
	for id, e := range t.engines {
		if len(e.prefills)+len(e.streams) == 0 && now-e.lastReferencedAt > int64(engineIdleTimeout) {
			delete(t.engines, id)
		}
	}
}

// baseModel returns the model whose weights are loaded for the given model or adapter.
func baseModel(model cluster.ModelID) cluster.ModelID {
	service, name, _ := catalog.Split(model)
	return catalog.ModelID(service, name)
}

package simulation

import (
	"sort"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// attemptKey identifies one attempt of a request.
type attemptKey struct {
	request cluster.RequestID
	attempt cluster.Attempt
}

// Run is one attempt to run a request on an engine.
type Run struct {
	Request  cluster.RequestID
	Attempt  cluster.Attempt
	Model    cluster.ModelID
	Version  string
	Priority int
	// PromptTokens and Tokens that the request really takes.
	PromptTokens, Tokens int
	Prefixes             []uint64
	// FirstToken, Done and Cut are called at the engine; Cut when the stream
	// breaks before its end. Each is called at most once.
	FirstToken, Done, Cut func()
}

// Refusal says why an engine did not start a request.
type Refusal uint8

// The refusals.
const (
	Accepted Refusal = iota
	RefusedFull
	RefusedMissing
	RefusedDown
)

// attempt is a running request.
type attempt struct {
	run         Run
	first, done Timer
}

// Run starts a request or refuses it; a refused request was not executed.
func (e *Engine) Run(run Run) Refusal {
	if !e.Alive {
		return RefusedDown
	}
	held, ok := e.replicas[run.Model]
	if !ok || held.State != cluster.ReplicaLoaded || (run.Version != "" && held.Version != run.Version) {
		return RefusedMissing
	}
	if len(e.attempts) >= e.Config.Slots {
		return RefusedFull
	}
	key := attemptKey{run.Request, run.Attempt}
	started := &attempt{run: run}
	e.attempts[key] = started
	e.changeRunning(held, 1)
	e.observer.Executed(e, run)
	cached := e.prefixes.match(run.Prefixes)
	fresh := run.PromptTokens
	if len(run.Prefixes) > 0 {
		fresh -= run.PromptTokens * cached / len(run.Prefixes)
	}
	e.prefixes.add(e.Machine.ID, run.Model, run.Prefixes)
	prefill := time.Duration(float64(fresh)/e.Config.PrefillRate*float64(time.Second)) + e.interval(len(e.attempts))
	decode := time.Duration(max(run.Tokens-1, 0)) * e.interval(len(e.attempts))
	if run.FirstToken != nil {
		started.first = e.kernel.After(prefill, LabelFirstToken, run.FirstToken)
	}
	started.done = e.kernel.After(prefill+decode, LabelAnswer, func() { e.complete(key) })
	return Accepted
}

// interval is the time between tokens with a number of running requests.
func (e *Engine) interval(running int) time.Duration {
	return e.Config.TokenTime + time.Duration(max(running-1, 0))*e.Config.TokenTimeSlope
}

// complete ends a request whose answer is whole.
func (e *Engine) complete(key attemptKey) {
	ended, ok := e.attempts[key]
	if !ok {
		return
	}
	e.forget(key)
	if ended.run.Done != nil {
		ended.run.Done()
	}
}

// Cancel ends an attempt without an answer.
func (e *Engine) Cancel(request cluster.RequestID, number cluster.Attempt) {
	key := attemptKey{request, number}
	if running, ok := e.attempts[key]; ok {
		running.first.Cancel()
		running.done.Cancel()
		e.forget(key)
	}
}

// cut breaks the stream of an attempt.
func (e *Engine) cut(broken *attempt) {
	broken.first.Cancel()
	broken.done.Cancel()
	e.forget(attemptKey{broken.run.Request, broken.run.Attempt})
	if broken.run.Cut != nil {
		broken.run.Cut()
	}
}

// cutModel breaks the streams of one model.
func (e *Engine) cutModel(model cluster.ModelID) {
	for _, key := range e.attemptKeys() {
		if e.attempts[key].run.Model == model {
			e.cut(e.attempts[key])
		}
	}
}

// forget takes an attempt out and lets a drained replica go.
func (e *Engine) forget(key attemptKey) {
	ended := e.attempts[key]
	delete(e.attempts, key)
	held, ok := e.replicas[ended.run.Model]
	if !ok {
		return
	}
	e.changeRunning(held, -1)
	if held.State == cluster.ReplicaUnloading && held.running == 0 {
		held.drainEnd.Cancel()
		e.kernel.After(unloadTime, LabelUnloadDone, func() { e.absent(held) })
	}
}

// changeRunning counts running requests and tells the observer first.
func (e *Engine) changeRunning(held *replica, change int) {
	e.observer.RunningChanged(e, held.Model, held.running+change)
	held.running += change
}

// attemptKeys returns the running attempts in a fixed order.
func (e *Engine) attemptKeys() []attemptKey {
	keys := make([]attemptKey, 0, len(e.attempts))
	for key := range e.attempts {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].request != keys[j].request {
			return keys[i].request < keys[j].request
		}
		return keys[i].attempt < keys[j].attempt
	})
	return keys
}

// CacheEvents returns the published cache events after a sequence; some are
// dropped, as engines publish with gaps.
func (e *Engine) CacheEvents(after uint64) []cluster.CacheEvent {
	const gap = 0.05
	var events []cluster.CacheEvent
	for _, event := range e.prefixes.after(after) {
		if e.random.Float64() >= gap {
			events = append(events, event)
		}
	}
	return events
}

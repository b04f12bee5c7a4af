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
	// PromptTokens is the true length of the prompt, Tokens that of the answer.
	PromptTokens, Tokens int
	Prefixes             []uint64
	// FirstToken and Done are called when the engine sends the first token and
	// the end of the answer, StreamBroken when the stream breaks before its end.
	// Each is called at most once and without network delay.
	FirstToken, Done, StreamBroken func()
}

// Refusal is the reason why an engine did not start a request.
type Refusal uint8

// Reasons of a refusal; Accepted means that the request was started.
const (
	Accepted Refusal = iota
	RefusedFull
	RefusedMissing
	RefusedDown
)

// attempt is a running attempt with the timers of its first token and its end.
type attempt struct {
	run         Run
	first, done Timer
}

// Run starts a request or returns the reason of a refusal. A refused request is
// not executed.
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
	prefill := time.Duration(float64(fresh)/e.Config.PrefillRate*float64(time.Second)) + e.tokenInterval(len(e.attempts))
	decode := time.Duration(max(run.Tokens-1, 0)) * e.tokenInterval(len(e.attempts))
	if run.FirstToken != nil {
		started.first = e.kernel.After(prefill, LabelFirstToken, run.FirstToken)
	}
	started.done = e.kernel.After(prefill+decode, LabelAnswer, func() { e.completeAttempt(key) })
	return Accepted
}

// tokenInterval returns the time between two tokens of a request while the given
// number of requests run.
func (e *Engine) tokenInterval(running int) time.Duration {
	return e.Config.TokenTime + time.Duration(max(running-1, 0))*e.Config.TokenTimeSlope
}

// completeAttempt ends an attempt whose answer is complete.
func (e *Engine) completeAttempt(key attemptKey) {
	ended, ok := e.attempts[key]
	if !ok {
		return
	}
	e.removeAttempt(key)
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
		e.removeAttempt(key)
	}
}

// breakStream ends an attempt and breaks its stream.
func (e *Engine) breakStream(broken *attempt) {
	broken.first.Cancel()
	broken.done.Cancel()
	e.removeAttempt(attemptKey{broken.run.Request, broken.run.Attempt})
	if broken.run.StreamBroken != nil {
		broken.run.StreamBroken()
	}
}

// breakStreams breaks all streams of one model.
func (e *Engine) breakStreams(model cluster.ModelID) {
	for _, key := range e.attemptKeys() {
		if e.attempts[key].run.Model == model {
			e.breakStream(e.attempts[key])
		}
	}
}

// removeAttempt removes an attempt, and schedules the removal of an unloading
// replica that has no other requests.
func (e *Engine) removeAttempt(key attemptKey) {
	ended := e.attempts[key]
	delete(e.attempts, key)
	held, ok := e.replicas[ended.run.Model]
	if !ok {
		return
	}
	e.changeRunning(held, -1)
	if held.State == cluster.ReplicaUnloading && held.running == 0 {
		held.drainEnd.Cancel()
		e.kernel.After(unloadTime, LabelUnloadDone, func() { e.removeReplica(held) })
	}
}

// changeRunning notifies the observer, then changes the replica's number of
// running requests.
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

// CacheEvents returns the published cache events after a sequence number. It drops
// some at random, because real engines publish with gaps.
func (e *Engine) CacheEvents(after uint64) []cluster.CacheEvent {
	const dropProbability = 0.05
	var events []cluster.CacheEvent
	for _, event := range e.prefixes.eventsAfter(after) {
		if e.random.Float64() >= dropProbability {
			events = append(events, event)
		}
	}
	return events
}

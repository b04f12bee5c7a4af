package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
)

const (
	overloadRouters = 4
	overloadSlots   = 4
	// overloadTime is how long callers wait in total. A refused caller retries once, after at most
	// the part 1/retryWaitDivisor of the time left.
	overloadTime     = 3 * time.Second
	retryWaitDivisor = 3
)

// overload simulates callers that retry once after the stated time, against engines that serve a
// request in about a second and refuse when full.
type overload struct {
	engineSimulation
	random    *rand.Rand
	callers   map[cluster.RequestID]*overloadCaller
	returning []overloadCaller

	served, refusedOnce, refusedTwice, late int
	// wasted is the total time for which unserved requests were kept.
	wasted time.Duration
}

// overloadCaller is a caller's current attempt.
type overloadCaller struct {
	router       int
	at, deadline time.Time
	isRetry      bool
}

func (o *overload) arrive(caller overloadCaller) {
	id := cluster.RequestID(fmt.Sprint(len(o.callers)))
	o.callers[id] = &caller
	request := Request{ID: id, Model: "chat", TokenPath: "/", Deadline: caller.deadline, Returned: caller.isRetry}
	o.applyEffects(caller.router, o.routers[caller.router].Step(o.now, RequestArrived{Request: request}))
}

func (o *overload) applyEffects(router int, effects []Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Dispatch:
			o.run(router, effect)
		case Finish:
			o.finished(router, effect)
		}
	}
}

// run starts a request at an engine with a free slot.
func (o *overload) run(router int, dispatch Dispatch) {
	if o.engines[dispatch.Machine] < o.slots {
		o.engines[dispatch.Machine]++
		service := time.Duration((0.5 + o.random.Float64()) * float64(simulatedService))
		o.running = append(o.running, runningAttempt{o.now.Add(service), router, dispatch})
		return
	}
	full := verdict.New(verdict.NotRun, verdict.CodeEngineRefused, "no slot")
	o.applyEffects(router, o.routers[router].Step(o.now, AttemptEnded{
		Request: dispatch.Request, Attempt: dispatch.Attempt, Failure: full, EngineFull: true}))
}

func (o *overload) finished(router int, finish Finish) {
	caller := o.callers[finish.Request]
	if finish.Failure == nil {
		o.served++
		return
	}
	o.wasted += o.now.Sub(caller.at)
	left := caller.deadline.Sub(o.now)
	switch {
	case caller.isRetry:
		o.refusedTwice++
	case finish.Failure.Verdict != verdict.NotRun || left <= 0:
		o.late++
	default:
		o.refusedOnce++
		wait := min(finish.Failure.RetryAfter, left/retryWaitDivisor)
		o.returning = append(o.returning, overloadCaller{(router + 1) % len(o.routers), o.now.Add(wait), caller.deadline, true})
	}
}

// advance moves the clock by a millisecond.
func (o *overload) advance() {
	o.now = o.now.Add(time.Millisecond)
	running := o.running
	o.running = nil
	for _, done := range running {
		if done.endsAt.After(o.now) {
			o.running = append(o.running, done)
			continue
		}
		o.engines[done.dispatch.Machine]--
		o.applyEffects(done.router, o.routers[done.router].Step(o.now, AttemptEnded{Request: done.dispatch.Request, Attempt: done.dispatch.Attempt}))
	}
	absent := o.returning
	o.returning = nil
	for _, caller := range absent {
		if caller.at.After(o.now) {
			o.returning = append(o.returning, caller)
			continue
		}
		caller.at = o.now
		o.arrive(caller)
	}
	for i, router := range o.routers {
		if next, due := router.NextDeadline(); due && !next.After(o.now) {
			o.applyEffects(i, router.Step(o.now, Tick{}))
		}
	}
}

// simulateOverload lets callers arrive for 30 s at a multiple of the capacity of 12 engines.
func simulateOverload(seed uint64, multiple float64) *overload {
	o := &overload{
		engineSimulation: engineSimulation{now: start, slots: overloadSlots, engines: make(map[cluster.MachineID]int)},
		random:           rand.New(rand.NewPCG(seed, 1)), callers: make(map[cluster.RequestID]*overloadCaller),
	}
	for i := range overloadRouters {
		router := New(Config{Zone: "z1", ExpectedRouters: overloadRouters}, seed*overloadRouters+uint64(i))
		policy := testPolicy()
		policy.QueueLength, policy.QueueBytes, policy.QueueTime = 1000, 1<<30, time.Minute
		router.Step(start, SettingsChanged{Snapshot: testSnapshot(policy)})
		router.Step(start, RoutersChanged{Routers: overloadRouters, Rank: i})
		o.routers = append(o.routers, router)
	}
	o.report(0)
	perMillisecond := multiple * burstReplicas * overloadSlots / 1000
	for second := range 36 {
		for range 1000 {
			if second < 30 && o.random.Float64() < perMillisecond {
				o.arrive(overloadCaller{o.random.IntN(overloadRouters), o.now, o.now.Add(overloadTime), false})
			}
			o.advance()
		}
		o.report(0)
	}
	return o
}

// TestOverload guards against wasted capacity under more load than replicas serve: nearly as many
// callers as possible are served, few run to no use, and those that can't be served are kept for a
// fraction of their time only.
func TestOverload(t *testing.T) {
	for _, test := range []struct {
		multiple, served, late, wasted float64
	}{
		{0.9, 1, 0, 0},
		{1.2, 0.82, 0.01, 0.3},
		{1.5, 0.66, 0.01, 0.6},
		{3, 0.33, 0.01, 0.7},
	} {
		t.Run(fmt.Sprint(test.multiple), func(t *testing.T) {
			o := simulateOverload(1, test.multiple)
			callers := float64(len(o.callers) - o.refusedOnce)
			served, late, wasted := float64(o.served)/callers, float64(o.late)/callers, o.wasted.Seconds()/callers
			t.Logf("%.0f callers: served %.3f, refused once %.3f, twice %.3f, ended late %.3f; mean time kept without being served %.3f s",
				callers, served, float64(o.refusedOnce)/callers, float64(o.refusedTwice)/callers, late, wasted)
			if served < test.served || late > test.late || wasted > test.wasted {
				t.Errorf("want at least %.2f served, at most %.2f late and %.2f s wasted", test.served, test.late, test.wasted)
			}
		})
	}
}

package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

// engineSimulation runs a burst of many routers against engines that refuse when full.
type engineSimulation struct {
	routers    []*Router
	now        time.Time
	slots      int
	engines    map[cluster.MachineID]int
	running    []runningAttempt
	sequence   uint64
	served     int
	refusals   int
	failed     int
	lastServed time.Time
}

// runningAttempt is an attempt that its engine finishes at a time.
type runningAttempt struct {
	endsAt   time.Time
	router   int
	dispatch Dispatch
}

const simulatedService = time.Second

func (c *engineSimulation) handle(router int, effects []Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Dispatch:
			c.dispatch(router, effect)
		case Finish:
			if effect.Failure != nil {
				c.failed++
				continue
			}
			c.served++
			c.lastServed = c.now
		}
	}
}

func (c *engineSimulation) dispatch(router int, dispatch Dispatch) {
	if c.engines[dispatch.Machine] < c.slots {
		c.engines[dispatch.Machine]++
		c.running = append(c.running, runningAttempt{c.now.Add(simulatedService), router, dispatch})
		return
	}
	c.refusals++
	full := verdict.New(verdict.NotRun, verdict.CodeEngineRefused, "no slot")
	c.handle(router, c.routers[router].Step(c.now, AttemptEnded{
		Request: dispatch.Request, Attempt: dispatch.Attempt, Failure: full, EngineFull: true}))
}

// advance moves the clock by a millisecond.
func (c *engineSimulation) advance() {
	c.now = c.now.Add(time.Millisecond)
	for len(c.running) > 0 && !c.running[0].endsAt.After(c.now) {
		done := c.running[0]
		c.running = c.running[1:]
		c.engines[done.dispatch.Machine]--
		c.handle(done.router, c.routers[done.router].Step(c.now, AttemptEnded{Request: done.dispatch.Request, Attempt: done.dispatch.Attempt}))
	}
	for i, router := range c.routers {
		if next, due := router.NextDeadline(); due && !next.After(c.now) {
			c.handle(i, router.Step(c.now, Tick{}))
		}
	}
}

// report sends every router a full status with the current load of the engines.
func (c *engineSimulation) report(age time.Duration) {
	c.sequence++
	status := wire.CellStatus{Zone: "z1", Token: 1, Sequence: c.sequence, Full: true}
	for i := range burstReplicas {
		status.Replicas = append(status.Replicas, loaded(burstMachine(i), c.slots))
		status.Loads = append(status.Loads, wire.MachineLoad{Machine: burstMachine(i), Running: c.engines[burstMachine(i)], Age: age})
	}
	for i, router := range c.routers {
		c.handle(i, router.Step(c.now, CellStatusChanged{Status: status}))
	}
}

// TestBurstAgainstFullEnginesBoundsRefusals guards against back-offs that are too short, which
// cause many refusals, or too long, which leave slots unused. 400 requests of 1 s at 12 engines
// with 4 slots take at least 9 rounds.
func TestBurstAgainstFullEnginesBoundsRefusals(t *testing.T) {
	const slots, best = 4, 9 * simulatedService
	for _, senders := range []int{1, burstRouters} {
		t.Run(fmt.Sprint("senders ", senders), func(t *testing.T) {
			c := &engineSimulation{now: start, slots: slots, engines: make(map[cluster.MachineID]int)}
			for i := range burstRouters {
				router := New(Config{Zone: "z1", ExpectedRouters: burstRouters}, uint64(i))
				policy := testPolicy()
				policy.QueueLength, policy.QueueBytes, policy.QueueTime = 1000, 1<<30, time.Minute
				router.Step(start, SettingsChanged{Snapshot: testSnapshot(policy)})
				c.routers = append(c.routers, router)
			}
			c.report(0)
			for i := range burstRequests {
				at := i % senders
				request := Request{ID: cluster.RequestID(fmt.Sprint(i)), Model: "chat", TokenPath: "/", Deadline: start.Add(time.Minute)}
				c.handle(at, c.routers[at].Step(c.now, RequestArrived{Request: request}))
			}
			for c.now.Before(start.Add(time.Minute)) {
				c.advance()
				if c.now.Sub(start)%time.Second == 0 {
					c.report(0)
				}
			}
			took := c.lastServed.Sub(start)
			t.Logf("%d served, %d failed, %d refusals, took %v, at least %v", c.served, c.failed, c.refusals, took, best)
			if c.served != burstRequests || took > best*5/4 || c.refusals > 10*burstRequests {
				t.Errorf("too slow, too many refusals, or not all requests served")
			}
		})
	}
}

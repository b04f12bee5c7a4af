package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

// crowd runs a burst of many routers against engines that refuse when full.
type crowd struct {
	routers  []*Router
	now      time.Time
	slots    int
	engines  map[cluster.MachineID]int
	ending   []ending
	sequence uint64
	served   int
	refusals int
	failed   int
	last     time.Time
}

// ending is an attempt that an engine will have answered at a time.
type ending struct {
	at       time.Time
	router   int
	dispatch Dispatch
}

const crowdService = time.Second

func (c *crowd) handle(router int, effects []Effect) {
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
			c.last = c.now
		}
	}
}

func (c *crowd) dispatch(router int, dispatch Dispatch) {
	if c.engines[dispatch.Machine] < c.slots {
		c.engines[dispatch.Machine]++
		c.ending = append(c.ending, ending{c.now.Add(crowdService), router, dispatch})
		return
	}
	c.refusals++
	full := verdict.New(verdict.NotRun, verdict.CodeEngineRefused, "no slot")
	c.handle(router, c.routers[router].Step(c.now, AttemptEnded{
		Request: dispatch.Request, Attempt: dispatch.Attempt, Failure: full, EngineFull: true}))
}

// pass advances by a millisecond.
func (c *crowd) pass() {
	c.now = c.now.Add(time.Millisecond)
	for len(c.ending) > 0 && !c.ending[0].at.After(c.now) {
		done := c.ending[0]
		c.ending = c.ending[1:]
		c.engines[done.dispatch.Machine]--
		c.handle(done.router, c.routers[done.router].Step(c.now, AttemptEnded{Request: done.dispatch.Request, Attempt: done.dispatch.Attempt}))
	}
	for i, router := range c.routers {
		if next, due := router.NextDeadline(); due && !next.After(c.now) {
			c.handle(i, router.Step(c.now, Tick{}))
		}
	}
}

// report sends every router the replicas and a load report of this moment.
func (c *crowd) report(age time.Duration) {
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

// TestBurstAgainstFullEngines bounds refusals and lost time: 400 requests of
// 1 s at 12 engines with 4 slots take at least 9 rounds.
func TestBurstAgainstFullEngines(t *testing.T) {
	const slots, best = 4, 9 * crowdService
	for _, senders := range []int{1, burstRouters} {
		t.Run(fmt.Sprint("senders ", senders), func(t *testing.T) {
			c := &crowd{now: start, slots: slots, engines: make(map[cluster.MachineID]int)}
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
				c.pass()
				if c.now.Sub(start)%time.Second == 0 {
					c.report(0)
				}
			}
			took := c.last.Sub(start)
			t.Logf("%d served, %d failed, %d refusals, %v taken, %v at best", c.served, c.failed, c.refusals, took, best)
			if c.served != burstRequests || took > best*5/4 || c.refusals > 10*burstRequests {
				t.Errorf("too slow, too many refusals or not all served")
			}
		})
	}
}

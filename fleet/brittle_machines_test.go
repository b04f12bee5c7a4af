package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
)

// The machines of a simulated brittle service.
const (
	brittleSlots   = 8
	brittleRunTime = 100 * time.Millisecond
	// brittleRoom is the number of requests that may wait at a machine until brittleAfter, and
	// brittleRoomLater the number from then on. A machine does not fall before.
	brittleRoom, brittleRoomLater = 8, 1
	brittleAfter                  = 3 * time.Second
	// fallenTime is how long a machine that fell refuses connections.
	fallenTime = 2 * time.Second
	// hopTime is the time between a node and a machine, one way.
	hopTime = time.Millisecond
)

// brittleMachine is the state of one simulated brittle machine.
type brittleMachine struct {
	// starts counts its starts: what an earlier one ran has failed.
	starts     int
	down       bool
	running    int
	waiting    []func()
	rejections []time.Time
}

// brittleService simulates machines that fall once they have to turn away more than bearable requests
// within a second, in place of the simulation's answers.
type brittleService struct {
	*simulation
	bearable int
	// limit is the rate that the machines state besides, in requests per second, zero for none. arrivals are
	// the times of the requests that reached each machine.
	limit    float64
	arrivals map[cluster.MachineID][]time.Time
	began    time.Time
	machines map[cluster.MachineID]*brittleMachine
	falls    int
}

// newBrittleService makes all engines of a simulation brittle.
func newBrittleService(s *simulation, bearable int) *brittleService {
	b := &brittleService{simulation: s, bearable: bearable, machines: map[cluster.MachineID]*brittleMachine{}, arrivals: map[cluster.MachineID][]time.Time{}}
	s.handleEffect = b.answer
	return b
}

// answer implements simulation.handleEffect.
func (b *brittleService) answer(n *simulatedNode, effect routing.Effect) bool {
	d, dispatched := effect.(routing.Dispatch)
	if dispatched {
		b.after(hopTime, func() { b.arrive(n, &d) })
	}
	return dispatched
}

// arrive handles a request that reaches a machine.
func (b *brittleService) arrive(n *simulatedNode, d *routing.Dispatch) {
	b.arrivals[d.Machine] = append(b.arrivals[d.Machine], b.now)
	m := b.machines[d.Machine]
	if m == nil {
		m = &brittleMachine{}
		b.machines[d.Machine] = m
	}
	room := brittleRoom
	if b.now.Sub(b.began) >= brittleAfter {
		room = brittleRoomLater
	}
	switch {
	case m.down:
		b.end(n, d, routing.AttemptEnded{Unreached: true, Failure: verdict.New(verdict.NotRun, verdict.CodeEngineFailed, "refused")}, nil)
	case m.running < brittleSlots:
		b.run(m, n, d)
	case len(m.waiting) < room:
		m.waiting = append(m.waiting, func() { b.run(m, n, d) })
	default:
		b.reject(m, n, d)
	}
}

// run runs a request. It fails if the machine falls meanwhile.
func (b *brittleService) run(m *brittleMachine, n *simulatedNode, d *routing.Dispatch) {
	m.running++
	start := m.starts
	b.after(brittleRunTime, func() {
		if m.starts != start {
			b.end(n, d, routing.AttemptEnded{Broken: true, Failure: verdict.New(verdict.MayHaveRun, verdict.CodeEngineFailed, "reset")}, nil)
			return
		}
		m.running--
		if len(m.waiting) > 0 {
			next := m.waiting[0]
			m.waiting = m.waiting[1:]
			next()
		}
		b.end(n, d, routing.AttemptEnded{}, b.notice(false))
	})
}

// reject turns a request away, and lets the machine fall if it has done so too often.
func (b *brittleService) reject(m *brittleMachine, n *simulatedNode, d *routing.Dispatch) {
	m.rejections = slices.DeleteFunc(m.rejections, func(at time.Time) bool { return b.now.Sub(at) >= time.Second })
	m.rejections = append(m.rejections, b.now)
	rejected := routing.AttemptEnded{Answered: true, EngineFull: true, Failure: verdict.New(verdict.NotRun, verdict.CodeEngineRefused, "full")}
	b.end(n, d, rejected, b.notice(true))
	if b.now.Sub(b.began) < brittleAfter || len(m.rejections) <= b.bearable {
		return
	}
	b.falls++
	*m = brittleMachine{starts: m.starts + 1, down: true}
	b.after(fallenTime, func() { m.down = false })
}

// notice returns what a machine says of itself in an answer.
func (b *brittleService) notice(rejected bool) *routing.Notice {
	return &routing.Notice{Brittle: b.bearable, Rejected: rejected, Limited: b.limit > 0, PerSecond: b.limit}
}

// end tells the node how its attempt ended and what the machine said of itself, nil for nothing.
func (b *brittleService) end(n *simulatedNode, d *routing.Dispatch, ended routing.AttemptEnded, said *routing.Notice) {
	ended.Request, ended.Attempt = d.Request, d.Attempt
	b.after(hopTime, func() {
		if said != nil {
			b.step(n, RoutingInput{Event: routing.MachineNoticeReceived{Machine: d.Machine, Request: d.Request, Notice: *said, SentUnderLimit: d.Limited}})
		}
		b.step(n, RoutingInput{Event: ended})
	})
}

// ask sends a request to each node in turn, count in all.
func (b *brittleService) ask(count int, interval time.Duration) {
	for i := range count {
		b.after(time.Duration(i)*interval, func() {
			b.step(b.nodes[i%len(b.nodes)], RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
				ID: cluster.RequestID(fmt.Sprintf("b%d", i)), Model: catalog.ModelID("s", "a"), TokenPath: "/", Deadline: b.now.Add(1500 * time.Millisecond), Attempts: 2,
			}}})
		})
	}
}

// TestBrittleMachinesAreNotOverfilled guards against nodes that together send brittle machines more than
// these have room for, so that one fall drives the next, and against turns that are lost between nodes, so
// that machines stay empty while callers are refused. Busy nodes answer one another late.
func TestBrittleMachinesAreNotOverfilled(t *testing.T) {
	const machines, span = 4, 10 * time.Second
	for _, c := range []struct {
		nodes, bearable int
		demand          float64
		messageDelay    time.Duration
	}{
		{nodes: 4, bearable: 3, demand: 0.8},
		{nodes: 12, bearable: 3, demand: 0.8},
		{nodes: 6, bearable: 4, demand: 1.5},
		{nodes: 6, bearable: 3, demand: 0.8, messageDelay: 150 * time.Millisecond},
	} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%d nodes, demand %g, messages take %v, seed %d", c.nodes, c.demand, c.messageDelay, seed), func(t *testing.T) {
				t.Parallel()
				s := newSimulation(seed, c.nodes, machines)
				b := newBrittleService(s, c.bearable)
				s.maxMessageDelay = c.messageDelay
				served := 0
				s.onFinish = func(e routing.Finish) {
					if e.Failure == nil {
						served++
					}
				}
				s.runFor(5 * time.Second)
				b.began = s.now
				capacity := float64(machines*brittleSlots) / brittleRunTime.Seconds()
				sent := int(c.demand * capacity * span.Seconds())
				b.ask(sent, span/time.Duration(sent))
				s.runFor(span + 2*time.Second)
				t.Logf("%d falls, %d of %d served", b.falls, served, sent)
				if allowed := 2 + machines/10; b.falls > allowed {
					t.Errorf("%d falls, at most %d are allowed", b.falls, allowed)
				}
				if least := sent / 4; served < least {
					t.Errorf("%d of %d requests were served, at least %d must be", served, sent, least)
				}
				if len(s.violations) > 0 {
					t.Error(s.violations)
				}
			})
		}
	}
}

// TestBrittleMachinesKeepTheirLimit guards against machines that get more than the rate they state because they
// say that they are brittle too: a turn must keep both bounds.
func TestBrittleMachinesKeepTheirLimit(t *testing.T) {
	const (
		limit, window = 3, 4 * time.Second
		// overrun and extra are what a machine may get within window beyond limit, from grace on.
		overrun, extra = 1.5, 5
		grace          = 3 * time.Second
		span           = 20 * time.Second
	)
	for _, nodes := range []int{1, 6} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			t.Parallel()
			s := newSimulation(7, nodes, 2)
			b := newBrittleService(s, 4)
			b.limit = limit
			served := 0
			s.onFinish = func(e routing.Finish) {
				if e.Failure == nil {
					served++
				}
			}
			s.runFor(5 * time.Second)
			b.began = s.now
			b.ask(400, span/400)
			s.runFor(span)
			for id, times := range b.arrivals {
				times = slices.DeleteFunc(times, func(at time.Time) bool { return at.Sub(b.began) < grace })
				if busiest := busiestWindow(times, window); float64(busiest) > limit*window.Seconds()*overrun+extra {
					t.Errorf("%d requests in %v at %s, which takes %d a second", busiest, window, id, limit)
				}
			}
			if least := int(limit * span.Seconds() / 2); served < least {
				t.Errorf("%d requests were served, at least %d must be", served, least)
			}
		})
	}
}

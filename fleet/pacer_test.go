package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing"
)

// limitedMachine is a simulated machine that reports a limit in its answers.
type limitedMachine struct {
	*simulation
	// limit is the reported limit in requests per second, zero for none.
	limit float64
	// limitReportedAt is when an answer first reported a limit.
	limitReportedAt time.Time
	// arrivals are the times of the requests that reached the machine.
	arrivals []time.Time
}

// limitedAnswerTime is the time that a request takes at a limited machine.
const limitedAnswerTime = 150 * time.Millisecond

// answerRequests answers requests to any machine, in place of the simulation.
func (m *limitedMachine) answerRequests(n *simulatedNode, effect routing.Effect) bool {
	d, dispatched := effect.(routing.Dispatch)
	if !dispatched {
		return false
	}
	m.arrivals = append(m.arrivals, m.now)
	m.after(limitedAnswerTime, func() {
		if m.limit > 0 && m.limitReportedAt.IsZero() {
			m.limitReportedAt = m.now
		}
		notice := routing.Notice{Limited: m.limit > 0, PerSecond: m.limit}
		m.step(n, RoutingInput{Event: routing.MachineNoticeReceived{Machine: d.Machine, Request: d.Request, Notice: notice, SentUnderLimit: d.Limited}})
		m.step(n, RoutingInput{Event: routing.AttemptEnded{Request: d.Request, Attempt: d.Attempt}})
	})
	return true
}

// maxRequestsInWindow returns the largest number of requests within 4 s between two times.
func (m *limitedMachine) maxRequestsInWindow(from, to time.Time) int {
	const window = 4 * time.Second
	times := slices.DeleteFunc(slices.Clone(m.arrivals), func(at time.Time) bool { return at.Before(from) || at.After(to) })
	return busiestWindow(times, window)
}

// busiestWindow returns the largest number of times, which are in order, within any window of the given length.
func busiestWindow(times []time.Time, length time.Duration) int {
	busiest, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= length {
			first++
		}
		busiest = max(busiest, last-first+1)
	}
	return busiest
}

// Guards against a limit that only the nodes enforce that received the report, or that each node
// enforces for itself, and against a limit that remains after the machine has lifted it.
func TestAllNodesEnforceLimitReportedToOne(t *testing.T) {
	for _, c := range []struct {
		name        string
		nodes       int
		dispatching bool
		killNodes   bool
	}{
		{"one node", 1, true, false},
		{"nine nodes", 9, false, false},
		{"nine nodes with a dispatcher", 9, true, false},
		{"forty nodes", 40, true, false},
		{"nodes die", 9, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newDispatchSimulation(11, c.nodes, 1, c.dispatching)
			m := &limitedMachine{simulation: s}
			s.handleEffect = m.answerRequests
			finished := 0
			s.onFinish = func(routing.Finish) { finished++ }
			s.runFor(5 * time.Second)
			s.askPeriodically(100 * time.Millisecond)
			s.runFor(5 * time.Second)
			m.limit = 1
			if c.killNodes {
				m.killNodesPeriodically()
			}
			s.runFor(30 * time.Second)
			m.limit = 0
			ended := s.now
			enforcedFrom := m.limitReportedAt.Add(500 * time.Millisecond)
			if busiest := m.maxRequestsInWindow(enforcedFrom, ended); busiest > 11 {
				t.Errorf("%d requests in 4 s, want at most 11", busiest)
			}
			if busiest := m.maxRequestsInWindow(enforcedFrom, ended); busiest < 2 {
				t.Errorf("at most %d requests in 4 s although all wait for the machine", busiest)
			}
			s.runFor(15 * time.Second)
			if after := m.maxRequestsInWindow(ended.Add(10*time.Second), s.now); after < 20 {
				t.Errorf("%d requests in 4 s after the limit was lifted, want at least 20", after)
			}
			if len(s.violations) > 0 {
				t.Error(s.violations)
			}
		})
	}
}

// killNodesPeriodically kills a node every two seconds, which restarts later.
func (m *limitedMachine) killNodesPeriodically() {
	if m.limit == 0 {
		return
	}
	alive := slices.DeleteFunc(slices.Clone(m.nodes), func(n *simulatedNode) bool { return n.dead })
	m.killNode(alive[m.random.IntN(len(alive))])
	m.after(2*time.Second, m.killNodesPeriodically)
}

// Guards against a node that fails on a limit or turn of a machine that it doesn't know.
func TestLimitOfUnknownMachineIsIgnored(t *testing.T) {
	s := newDispatchSimulation(1, 1, 1, true)
	s.runFor(time.Second)
	s.step(s.nodes[0], RoutingInput{Event: routing.MachineLimitReceived{Machine: cluster.MachineID("nobody"), Notice: routing.Notice{Limited: true}}})
	s.step(s.nodes[0], RoutingInput{Event: routing.TurnDecided{Machine: cluster.MachineID("nobody"), Granted: true}})
	s.runFor(time.Second)
}

// Guards against refusing callers for as long as the only machine that holds their model reports
// a limit, while other machines have room.
func TestModelsOfLimitedMachineAreLoadedElsewhere(t *testing.T) {
	s := newDispatchSimulation(5, 3, 2, true)
	limited, arrived := cluster.MachineID(""), map[cluster.MachineID]int{}
	s.handleEffect = func(n *simulatedNode, effect routing.Effect) bool {
		d, dispatched := effect.(routing.Dispatch)
		if !dispatched {
			return false
		}
		arrived[d.Machine]++
		s.after(limitedAnswerTime, func() {
			notice := routing.Notice{Limited: d.Machine == limited, PerSecond: 0.2}
			if !notice.Limited {
				notice = routing.Notice{}
			}
			s.step(n, RoutingInput{Event: routing.MachineNoticeReceived{Machine: d.Machine, Request: d.Request, Notice: notice, SentUnderLimit: d.Limited}})
			s.step(n, RoutingInput{Event: routing.AttemptEnded{Request: d.Request, Attempt: d.Attempt}})
		})
		return true
	}
	s.runFor(5 * time.Second)
	sent := 0
	var ask func()
	ask = func() {
		sent++
		n := s.nodes[s.random.IntN(len(s.nodes))]
		s.step(n, RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
			ID: cluster.RequestID(fmt.Sprintf("c%d", sent)), Model: catalog.ModelID("s", "c"), TokenPath: "/", Deadline: s.now.Add(3 * time.Second), Attempts: 2,
		}}})
		s.after(s.randomDuration(700*time.Millisecond, 900*time.Millisecond), ask)
	}
	ask()
	s.runFor(15 * time.Second)
	for id := range arrived {
		limited = id
	}
	if len(arrived) != 1 {
		t.Fatalf("requests went to %d machines before the limit, want one", len(arrived))
	}
	s.runFor(10 * time.Second)
	clear(arrived)
	before := sent
	s.runFor(10 * time.Second)
	elsewhere := 0
	for id, count := range arrived {
		if id != limited {
			elsewhere += count
		}
	}
	if want := (sent - before) * 8 / 10; elsewhere < want {
		t.Errorf("%d of %d requests were sent elsewhere, want %d", elsewhere, sent-before, want)
	}
}

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

// needyMachine is a machine of a simulation that names a limit in its answers.
type needyMachine struct {
	*world
	// limit that it names, zero for none.
	limit float64
	// toldAt is when its answer named a limit first.
	toldAt time.Time
	// arrived are the times of requests that reached it.
	arrived []time.Time
}

const needyAnswer = 150 * time.Millisecond

// carryOut answers requests to any machine in place of the world.
func (m *needyMachine) carryOut(n *simulatedNode, effect routing.Effect) bool {
	d, dispatched := effect.(routing.Dispatch)
	if !dispatched {
		return false
	}
	m.arrived = append(m.arrived, m.now)
	m.after(needyAnswer, func() {
		if m.limit > 0 && m.toldAt.IsZero() {
			m.toldAt = m.now
		}
		notice := routing.Notice{Limited: m.limit > 0, PerSecond: m.limit}
		m.step(n, RoutingInput{Event: routing.MachineHeard{Machine: d.Machine, Request: d.Request, Notice: notice, SentUnderLimit: d.Limited}})
		m.step(n, RoutingInput{Event: routing.AttemptEnded{Request: d.Request, Attempt: d.Attempt}})
	})
	return true
}

// fullest returns the most requests within 4 s between two times.
func (m *needyMachine) fullest(from, to time.Time) int {
	const window = 4 * time.Second
	times := slices.DeleteFunc(slices.Clone(m.arrived), func(at time.Time) bool { return at.Before(from) || at.After(to) })
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestAllNodesKeepLimitThatOneHears guards against a limit that only the nodes keep to which the
// machine said it, or each for itself, and against one that outlasts the machine's need.
func TestAllNodesKeepLimitThatOneHears(t *testing.T) {
	for _, c := range []struct {
		name        string
		nodes       int
		dispatching bool
		trouble     bool
	}{
		{"one node", 1, true, false},
		{"nine nodes", 9, false, false},
		{"nine nodes, one places attempts", 9, true, false},
		{"forty nodes", 40, true, false},
		{"nodes die", 9, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(11, c.nodes, 1, c.dispatching)
			m := &needyMachine{world: w}
			w.carryOut = m.carryOut
			finished := 0
			w.finished = func(routing.Finish) { finished++ }
			w.runFor(5 * time.Second)
			w.ask(100 * time.Millisecond)
			w.runFor(5 * time.Second)
			m.limit = 1
			if c.trouble {
				m.killSome()
			}
			w.runFor(30 * time.Second)
			m.limit = 0
			ended := w.now
			told := m.toldAt.Add(500 * time.Millisecond)
			if most := m.fullest(told, ended); most > 11 {
				t.Errorf("%d requests in 4 s, 11 are allowed", most)
			}
			if most := m.fullest(told, ended); most < 2 {
				t.Errorf("at most %d requests in 4 s though all wait for the machine", most)
			}
			w.runFor(15 * time.Second)
			if after := m.fullest(ended.Add(10*time.Second), w.now); after < 20 {
				t.Errorf("%d requests in 4 s after the limit has ended", after)
			}
			if len(w.problems) > 0 {
				t.Error(w.problems)
			}
		})
	}
}

// killSome kills a node each two seconds; it is started again.
func (m *needyMachine) killSome() {
	if m.limit == 0 {
		return
	}
	alive := slices.DeleteFunc(slices.Clone(m.nodes), func(n *simulatedNode) bool { return n.dead })
	m.kill(alive[m.random.IntN(len(alive))])
	m.after(2*time.Second, m.killSome)
}

// TestLimitOfUnknownMachineIsPassedOver guards against a node that fails on news of a machine of
// which it knows nothing.
func TestLimitOfUnknownMachineIsPassedOver(t *testing.T) {
	w := newWorld(1, 1, 1, true)
	w.runFor(time.Second)
	w.step(w.nodes[0], RoutingInput{Event: routing.MachineLimitTold{Machine: cluster.MachineID("nobody"), Notice: routing.Notice{Limited: true}}})
	w.step(w.nodes[0], RoutingInput{Event: routing.TurnDecided{Machine: cluster.MachineID("nobody"), Granted: true}})
	w.runFor(time.Second)
}

// TestModelsOfLimitedMachineAreLoadedElsewhere guards against callers who are refused for as long
// as the only machine that holds their model names a limit, while others have room.
func TestModelsOfLimitedMachineAreLoadedElsewhere(t *testing.T) {
	w := newWorld(5, 3, 2, true)
	needy, arrived := cluster.MachineID(""), map[cluster.MachineID]int{}
	w.carryOut = func(n *simulatedNode, effect routing.Effect) bool {
		d, dispatched := effect.(routing.Dispatch)
		if !dispatched {
			return false
		}
		arrived[d.Machine]++
		w.after(needyAnswer, func() {
			notice := routing.Notice{Limited: d.Machine == needy, PerSecond: 0.2}
			if !notice.Limited {
				notice = routing.Notice{}
			}
			w.step(n, RoutingInput{Event: routing.MachineHeard{Machine: d.Machine, Request: d.Request, Notice: notice, SentUnderLimit: d.Limited}})
			w.step(n, RoutingInput{Event: routing.AttemptEnded{Request: d.Request, Attempt: d.Attempt}})
		})
		return true
	}
	w.runFor(5 * time.Second)
	asked := 0
	var ask func()
	ask = func() {
		asked++
		n := w.nodes[w.random.IntN(len(w.nodes))]
		w.step(n, RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
			ID: cluster.RequestID(fmt.Sprintf("c%d", asked)), Model: catalog.ModelID("s", "c"), TokenPath: "/", Deadline: w.now.Add(3 * time.Second), Attempts: 2,
		}}})
		w.after(w.between(700*time.Millisecond, 900*time.Millisecond), ask)
	}
	ask()
	w.runFor(15 * time.Second)
	for id := range arrived {
		needy = id
	}
	if len(arrived) != 1 {
		t.Fatalf("requests went to %d machines before, want one", len(arrived))
	}
	w.runFor(10 * time.Second)
	clear(arrived)
	before := asked
	w.runFor(10 * time.Second)
	elsewhere := 0
	for id, count := range arrived {
		if id != needy {
			elsewhere += count
		}
	}
	if want := (asked - before) * 8 / 10; elsewhere < want {
		t.Errorf("%d of %d requests were sent elsewhere, want %d", elsewhere, asked-before, want)
	}
}

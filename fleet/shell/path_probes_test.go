package shell

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/passthrough"
	"github.com/valveslip/valveslip/reachability"
)

// How a simulated machine treats new connections.
type machineState uint8

const (
	machineServes machineState = iota
	machineRefuses
	machineHangs
)

const (
	// simulatedRoundTrip is the time of an answer or a refusal, simulatedDialTimeout that of a dial at a machine
	// that hangs. simulatedInterval is the time between two requests of the node.
	simulatedRoundTrip   = 2 * time.Millisecond
	simulatedDialTimeout = 400 * time.Millisecond
	simulatedInterval    = 10 * time.Millisecond
)

var errSimulatedDial = errors.New("connection refused")

// simulatedMachines are machines on a virtual clock.
type simulatedMachines struct {
	Engines
	mutex  sync.Mutex
	states []machineState
	// probeTime is the time of a probe's answer beyond the round trip.
	probeTime time.Duration
}

func (m *simulatedMachines) knownMachines() int { return len(m.states) }

func (m *simulatedMachines) probeTargets() []fleet.ProbeTarget {
	var targets []fleet.ProbeTarget
	for i := range m.states {
		targets = append(targets, fleet.ProbeTarget{Address: fmt.Sprint(i)})
	}
	return targets
}

// set changes the states of machines.
func (m *simulatedMachines) set(state machineState, machines ...int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, i := range machines {
		m.states[i] = state
	}
}

// Probe implements Engines.
func (m *simulatedMachines) Probe(ctx context.Context, address, _ string) error {
	m.mutex.Lock()
	var i int
	_, _ = fmt.Sscan(address, &i)
	state, slow := m.states[i], m.probeTime
	m.mutex.Unlock()
	if state == machineServes {
		select {
		case <-time.After(slow):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if state == machineHangs {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(simulatedRoundTrip)
	if state == machineRefuses {
		return errSimulatedDial
	}
	return nil
}

// simulatedPath is the path of a node that sends requests to machines on new connections, unless it doubts
// its path.
type simulatedPath struct {
	*machinePath
	machines *simulatedMachines
}

// newIdlePath returns the path to as many machines, which serve, of a node that sends no requests.
func newIdlePath(t *testing.T, machines int) *simulatedPath {
	ctx := t.Context()
	simulated := &simulatedMachines{states: make([]machineState, machines)}
	node := &Node{options: Options{Now: time.Now, Engines: simulated}, context: ctx}
	node.metrics = newMetrics(prometheus.NewRegistry(), node)
	path := newMachinePath(node)
	path.machines = simulated
	path.peers.list = []passthrough.Peer{{ID: "other", Address: "127.0.0.1:1"}}
	// Goroutines that sleep end before the bubble does.
	t.Cleanup(func() { time.Sleep(time.Second) })
	return &simulatedPath{machinePath: path, machines: simulated}
}

// newSimulatedPath returns the path to as many machines, which serve.
func newSimulatedPath(t *testing.T, machines int) *simulatedPath {
	path := newIdlePath(t, machines)
	go func() {
		for t.Context().Err() == nil {
			if !path.Suspected() {
				go sendRequest(t.Context(), path.machinePath, path.machines)
			}
			time.Sleep(simulatedInterval)
		}
	}()
	return path
}

// sendRequest opens a connection to a random machine and reads an answer.
func sendRequest(ctx context.Context, path *machinePath, machines *simulatedMachines) {
	address := fmt.Sprint(rand.IntN(machines.knownMachines()))
	opened := time.Now()
	ctx, cancel := context.WithTimeout(ctx, simulatedDialTimeout)
	defer cancel()
	if err := machines.Probe(ctx, address, ""); err != nil {
		path.Failed(address, reachability.NoConnection, err.Error())
		return
	}
	path.dataArrived(opened)
}

// awaitState waits on the virtual clock until the path has the state and returns how long that took.
func (p *simulatedPath) awaitState(t *testing.T, state reachability.State, within time.Duration) time.Duration {
	t.Helper()
	began := time.Now()
	for p.state() != state {
		if time.Since(began) > within {
			t.Fatalf("path %s, want %s within %s", p.state(), state, within)
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

// TestPathIsNotLostWhileMachinesEnd guards against a node that takes machines which end one after the other for
// the loss of its path: it refuses its callers and those of other nodes, although some machines serve.
func TestPathIsNotLostWhileMachinesEnd(t *testing.T) {
	for _, c := range []struct {
		machines, serving int
		ended             machineState
	}{
		{6, 1, machineRefuses}, {12, 2, machineRefuses}, {24, 2, machineRefuses}, {6, 1, machineHangs}, {12, 2, machineHangs},
	} {
		t.Run(fmt.Sprintf("%d of %d serve, state of others %d", c.serving, c.machines, c.ended), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				path := newSimulatedPath(t, c.machines)
				lost := 0
				for step := range 200 {
					// One is back before the next one ends.
					path.machines.set(machineServes, (step+c.serving)%c.machines)
					time.Sleep(simulatedRoundTrip)
					path.machines.set(c.ended, step%c.machines)
					for range 25 {
						time.Sleep(2 * time.Millisecond)
						if path.Lost() {
							lost++
						}
					}
				}
				if lost > 0 {
					t.Errorf("the path counted as lost for %s of %s", time.Duration(lost)*2*time.Millisecond, 200*52*time.Millisecond)
				}
			})
		})
	}
}

// TestPathIsLostSoonAfterAllMachinesFail guards against a node that is cut off and goes on sending, or passing on
// requests of others, while it asks one machine after the other.
func TestPathIsLostSoonAfterAllMachinesFail(t *testing.T) {
	for _, c := range []struct {
		machines  int
		state     machineState
		suspected time.Duration
		lost      time.Duration
	}{
		{1, machineRefuses, 150 * time.Millisecond, 10 * time.Millisecond},
		{12, machineRefuses, 150 * time.Millisecond, 10 * time.Millisecond},
		{200, machineRefuses, 150 * time.Millisecond, 10 * time.Millisecond},
		{12, machineHangs, simulatedDialTimeout + 150*time.Millisecond, probeTimeout},
		{200, machineHangs, simulatedDialTimeout + 150*time.Millisecond, probeTimeout},
	} {
		t.Run(fmt.Sprintf("%d machines, state %d", c.machines, c.state), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				path := newSimulatedPath(t, c.machines)
				time.Sleep(time.Second)
				for i := range c.machines {
					path.machines.set(c.state, i)
				}
				path.awaitState(t, reachability.Suspected, c.suspected)
				path.awaitState(t, reachability.Lost, c.lost)
			})
		})
	}
}

// TestPathIsBackWithFirstMachine guards against a node that goes on refusing although a machine serves again,
// since its probes ask others that are still down, or wait for answers to what was lost.
func TestPathIsBackWithFirstMachine(t *testing.T) {
	for _, c := range []struct {
		machines int
		state    machineState
		within   time.Duration
	}{
		{1, machineRefuses, probeInterval}, {6, machineRefuses, probeInterval}, {12, machineRefuses, probeInterval},
		{1, machineHangs, probeTimeout}, {12, machineHangs, probeTimeout},
	} {
		t.Run(fmt.Sprintf("%d machines, state %d", c.machines, c.state), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				path := newSimulatedPath(t, c.machines)
				for range 20 {
					for i := range c.machines {
						path.machines.set(c.state, i)
					}
					path.awaitState(t, reachability.Lost, 2*time.Second)
					time.Sleep(rand.N(time.Second))
					path.machines.set(machineServes, rand.IntN(c.machines))
					path.awaitState(t, reachability.Connected, c.within+50*time.Millisecond)
				}
			})
		})
	}
}

// TestSuspicionBetweenProbesIsProbedAtOnce guards against a node that doubts its path for half a second because data
// ended the doubt before while its probes were waiting for their next round.
func TestSuspicionBetweenProbesIsProbedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		path := newSimulatedPath(t, 12)
		for range 20 {
			for i := range 12 {
				path.machines.set(machineRefuses, i)
			}
			path.awaitState(t, reachability.Lost, 2*time.Second)
			time.Sleep(probeInterval / 10)
			for i := range 10 {
				path.machines.set(machineServes, i)
			}
			path.dataArrived(time.Now())
			path.awaitState(t, reachability.Connected, 0)
			for _, address := range []string{"10", "11"} {
				path.Failed(address, reachability.NoConnection, errSimulatedDial.Error())
			}
			path.awaitState(t, reachability.Suspected, 0)
			path.awaitState(t, reachability.Connected, 20*time.Millisecond)
			path.machines.set(machineServes, 10, 11)
			time.Sleep(2 * time.Second)
		}
	})
}

// TestNodeVouchesForItsPathAfterSlowProbe guards against a node that refuses the requests of others as without a path
// for as long as it sends none itself, because each probe is answered a little later than a request waits for it, or
// because the request that a probe was made for has ended.
func TestNodeVouchesForItsPathAfterSlowProbe(t *testing.T) {
	for _, c := range []struct {
		name      string
		probeTime time.Duration
		leaves    time.Duration
		first     bool
	}{
		{"answered at once", 0, time.Minute, true},
		{"answered after the request's wait", vouchTimeout + 50*time.Millisecond, time.Minute, false},
		{"the caller leaves before", 50 * time.Millisecond, time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				path := newIdlePath(t, 12)
				path.machines.probeTime = c.probeTime
				for range 5 {
					time.Sleep(time.Minute)
					ctx, leave := context.WithTimeout(t.Context(), c.leaves)
					if vouched := path.Vouch(ctx); vouched != c.first {
						t.Fatalf("vouches for the first request: %t, want %t", vouched, c.first)
					}
					leave()
					if !path.Vouch(t.Context()) {
						t.Fatal("vouches for no other request")
					}
				}
			})
		})
	}
}

// TestNodeWithoutPathDoesNotVouch guards against requests that a node spends on finding out that its path is lost,
// and against others that wait long for its word.
func TestNodeWithoutPathDoesNotVouch(t *testing.T) {
	for _, state := range []machineState{machineRefuses, machineHangs} {
		synctest.Test(t, func(t *testing.T) {
			path := newIdlePath(t, 12)
			for i := range 12 {
				path.machines.set(state, i)
			}
			for range 50 {
				began := time.Now()
				if path.Vouch(t.Context()) {
					t.Fatalf("vouches although no machine answers, state %d", state)
				}
				if waited := time.Since(began); waited > vouchTimeout {
					t.Fatalf("waits %s, want %s at most", waited, vouchTimeout)
				}
				time.Sleep(70 * time.Millisecond)
			}
		})
	}
}

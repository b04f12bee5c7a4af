package explore

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/authority"
	"github.com/valveslip/valveslip/cluster"
)

// Scenario is the size of an exploration of takeovers.
type Scenario struct {
	Name        string
	Controllers int
	Machines    int
	// Joining is the number of machines that do not exist at first and may join.
	Joining int
	// Limits are the decided replica counts of the models.
	Limits []int
	// Memory is a machine's memory in replicas.
	Memory int64
	// KeepTokens is true when engines keep their token across restarts.
	KeepTokens bool
	// Depth bounds the steps of a run, States the explored states; zero States means no
	// bound.
	Depth, States int
	// How often each event may happen in one run.
	Lapses, Faults, EngineRestarts, NodeRestarts, Outages, Leaves, Unloads int
}

// listsChange reports whether machines join or leave.
func (s *Scenario) listsChange() bool { return s.Joining > 0 || s.Leaves > 0 }

func (s *Scenario) models() []cluster.ModelID {
	models := make([]cluster.ModelID, len(s.Limits))
	for i := range models {
		models[i] = cluster.ModelID(rune('x' + i))
	}
	return models
}

// Result is the outcome of an exploration.
type Result struct {
	Name    string
	Variant Variant
	// States is the number of distinct states, Transitions the number of steps between
	// states.
	States, Transitions int
	// Depth is the depth reached. Complete is true when no state within that depth was
	// left out.
	Depth    int
	Complete bool
	// Violation is empty when every state is safe. Otherwise Trace has the steps that lead
	// to it.
	Violation string
	Trace     []string
	Elapsed   time.Duration
}

// String describes the result in one line.
func (r *Result) String() string {
	verdict := "safe"
	if r.Violation != "" {
		verdict = fmt.Sprintf("%s after %d steps", r.Violation, len(r.Trace))
	}
	bound := "bounded"
	if r.Complete {
		bound = "complete"
	}
	return fmt.Sprintf("%s (%s): %d states, %d transitions, depth %d, %s: %s",
		r.Name, r.Variant, r.States, r.Transitions, r.Depth, bound, verdict)
}

// takeoverSearch explores one scenario in one variant.
type takeoverSearch struct {
	scenario Scenario
	variant  Variant
}

// Takeover explores a scenario breadth first until a violation, the depth or the bound on
// states. The result does not depend on the number of processors.
func Takeover(ctx context.Context, scenario Scenario, variant Variant) (Result, error) {
	s := &takeoverSearch{scenario: scenario, variant: variant}
	name := scenario.Name
	return searchBreadthFirst(ctx, Result{Name: name, Variant: variant}, scenario.Depth, scenario.States, s.initialState(), stateSpace[*takeoverState]{
		appendKey:     (*takeoverState).appendKey,
		successors:    s.successors,
		findViolation: s.findViolation,
	})
}

func (s *takeoverSearch) newController(i int) controllerState {
	return controllerState{core: authority.NewController(authority.ControllerConfig{
		Zone: takeoverZone, Node: cluster.NodeID(fmt.Sprintf("n%d", i)),
		AcquireInterval: timerDuration, AcquireRetry: timerDuration, InventoryInterval: 1000 * lapseDuration, BusyInventoryInterval: timerDuration,
		CallTimeout: 1000 * lapseDuration, RetryMin: timerDuration, RetryMax: timerDuration, MachineLag: machineLag,
	})}
}

// initialState returns a state in which controller 0 holds the lease and has sealed every
// machine.
func (s *takeoverSearch) initialState() *takeoverState {
	state := &takeoverState{now: startTime, kv: keyValueState{holder: noHolder, revision: 1}}
	state.eventsLeft = eventBudget{
		lapses: s.scenario.Lapses, faults: s.scenario.Faults, engineRestarts: s.scenario.EngineRestarts,
		nodeRestarts: s.scenario.NodeRestarts, outages: s.scenario.Outages, joins: s.scenario.Joining,
		leaves: s.scenario.Leaves, unloads: s.scenario.Unloads,
	}
	state.kv.allotment = cluster.Allotment{Zone: takeoverZone, Revision: 1}
	for i := range s.scenario.Machines + s.scenario.Joining {
		present := i < s.scenario.Machines
		engine := engineState{id: cluster.MachineID(fmt.Sprintf("m%d", i)), gone: !present}
		if present {
			engine.epoch = 1
			state.kv.allotment.Machines = append(state.kv.allotment.Machines, engine.id)
		}
		state.engines = append(state.engines, engine)
		state.isListed = append(state.isListed, present)
	}
	for i, model := range s.scenario.models() {
		state.kv.allotment.Models = append(state.kv.allotment.Models,
			cluster.ModelAllotment{Model: model, MaxReplicas: s.scenario.Limits[i]})
	}
	for i := range s.scenario.Controllers {
		state.controllers = append(state.controllers, s.newController(i))
		s.readMachineList(state, i)
	}
	s.acquireLease(state, 0, false)
	for len(state.calls) > 0 {
		sent := state.calls[0]
		state.calls = slices.Delete(state.calls, 0, 1)
		s.stepController(state, 0, s.deliverCall(state, &sent))
	}
	return state
}

// findViolation returns a description of the violation in a state, empty when there is
// none.
func (s *takeoverSearch) findViolation(state *takeoverState) string {
	for i, model := range s.scenario.models() {
		count := 0
		for e := range state.engines {
			if state.engines[e].replicaIndex(model) >= 0 {
				count++
			}
		}
		if count > s.scenario.Limits[i] {
			return fmt.Sprintf("%d replicas of %s, decided %d", count, model, s.scenario.Limits[i])
		}
	}
	for e := range state.engines {
		if used := state.engines[e].usedBytes(); used > s.scenario.Memory {
			return fmt.Sprintf("%d of %d bytes in use on %s", used, s.scenario.Memory, state.engines[e].id)
		}
	}
	return ""
}

// stateSpace has the functions that searchBreadthFirst needs for a type of state.
type stateSpace[S any] struct {
	appendKey     func(S, []byte) []byte
	successors    func(S, func(label string, next S))
	findViolation func(S) string
}

// arrival is the step by which a state was first reached.
type arrival struct {
	parent int32
	step   string
}

// successor is a state that was not known when its predecessor's level was expanded.
type successor[S any] struct {
	hash   uint64
	state  S
	parent int32
	step   string
}

// searchBreadthFirst searches level by level. The states of a level are expanded in
// parallel and merged in order. States are compared by a 64-bit hash: with n states, the
// probability that any two different states collide is about n²/2⁶⁵.
func searchBreadthFirst[S any](ctx context.Context, result Result, depth, bound int, initial S, m stateSpace[S]) (Result, error) {
	started := time.Now()
	seen := map[uint64]struct{}{xxhash.Sum64(m.appendKey(initial, nil)): {}}
	origins := []arrival{{parent: -1}}
	level := []successor[S]{{state: initial, parent: 0}}
	result.States, result.Complete = 1, true
	for result.Depth < depth && len(level) > 0 {
		if err := ctx.Err(); err != nil {
			return result, err
		}
		result.Depth++
		var next []successor[S]
		for _, successors := range expandLevel(level, seen, m, &result.Transitions) {
			for _, found := range successors {
				if _, known := seen[found.hash]; known {
					continue
				}
				seen[found.hash] = struct{}{}
				origins = append(origins, arrival{parent: found.parent, step: found.step})
				result.States++
				if violation := m.findViolation(found.state); violation != "" {
					result.Violation, result.Trace = violation, traceToLast(origins)
					result.Elapsed = time.Since(started)
					return result, nil
				}
				found.parent = int32(len(origins) - 1)
				next = append(next, found)
			}
		}
		level = next
		if bound > 0 && result.States >= bound {
			result.Complete = len(level) == 0
			break
		}
	}
	result.Elapsed = time.Since(started)
	return result, nil
}

// expandLevel returns the successors of each part of a level, in order.
func expandLevel[S any](level []successor[S], seen map[uint64]struct{}, m stateSpace[S], transitions *int) [][]successor[S] {
	parts := min(len(level), 4*runtime.GOMAXPROCS(0))
	found := make([][]successor[S], parts)
	counts := make([]int, parts)
	var group sync.WaitGroup
	for part := range parts {
		group.Go(func() {
			from, to := part*len(level)/parts, (part+1)*len(level)/parts
			local := make(map[uint64]struct{})
			var buffer []byte
			for position := range level[from:to] {
				predecessor := level[from+position]
				level[from+position].state = *new(S) // not needed again
				m.successors(predecessor.state, func(step string, next S) {
					counts[part]++
					buffer = m.appendKey(next, buffer[:0])
					hash := xxhash.Sum64(buffer)
					if _, known := seen[hash]; known {
						return
					}
					if _, known := local[hash]; known {
						return
					}
					local[hash] = struct{}{}
					found[part] = append(found[part], successor[S]{hash: hash, state: next, parent: predecessor.parent, step: step})
				})
			}
		})
	}
	group.Wait()
	for _, count := range counts {
		*transitions += count
	}
	return found
}

// traceToLast returns the steps that lead to the last state.
func traceToLast(origins []arrival) []string {
	var steps []string
	for i := int32(len(origins) - 1); i > 0; i = origins[i].parent {
		steps = append(steps, origins[i].step)
	}
	slices.Reverse(steps)
	return steps
}

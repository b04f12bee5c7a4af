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

// Scenario is the size of a takeover exploration.
type Scenario struct {
	Name        string
	Controllers int
	Machines    int
	// Joining machines are not there at first.
	Joining int
	// Limits are the decided replica counts of the models.
	Limits []int
	// Memory of a machine in replicas.
	Memory int64
	// KeepTokens: engines keep their token through restarts.
	KeepTokens bool
	// Depth bounds the steps of a run; States the states explored, zero for no
	// bound.
	Depth, States int
	// The rest bounds what may happen in one run.
	Lapses, Faults, EngineRestarts, NodeRestarts, Outages, Leaves, Unloads int
}

// listsChange reports whether machines come and go.
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
	// States that differ, and Transitions between them.
	States, Transitions int
	// Depth reached, and Complete when no state within the depth was left out.
	Depth    int
	Complete bool
	// Violation is empty when every state is safe; Trace then leads to it.
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

// search explores one scenario in one variant.
type search struct {
	scenario Scenario
	variant  Variant
}

// Takeover explores a scenario breadth first until a violation, the depth or
// the bound of states. The result does not depend on the number of processors.
func Takeover(ctx context.Context, scenario Scenario, variant Variant) (Result, error) {
	s := &search{scenario: scenario, variant: variant}
	name := scenario.Name
	return explore(ctx, Result{Name: name, Variant: variant}, scenario.Depth, scenario.States, s.initial(), model[*world]{
		key:        (*world).key,
		successors: s.successors,
		check:      s.check,
	})
}

func (s *search) newNode(i int) node {
	return node{core: authority.NewController(authority.ControllerConfig{
		Zone: zoneName, Node: cluster.NodeID(fmt.Sprintf("n%d", i)),
		AcquireInterval: timerTime, AcquireRetry: timerTime, InventoryInterval: 1000 * lapseTime, BusyInventoryInterval: timerTime,
		CallTimeout: 1000 * lapseTime, RetryMin: timerTime, RetryMax: timerTime, MachineLag: machineLag,
	})}
}

// initial is a settled cell: n0 holds the lease and has sealed every machine.
func (s *search) initial() *world {
	w := &world{now: worldStart, kv: keyValue{holder: noNode, revision: 1}}
	w.left = budget{
		lapses: s.scenario.Lapses, faults: s.scenario.Faults, engineRestarts: s.scenario.EngineRestarts,
		nodeRestarts: s.scenario.NodeRestarts, outages: s.scenario.Outages, joins: s.scenario.Joining,
		leaves: s.scenario.Leaves, unloads: s.scenario.Unloads,
	}
	w.kv.allotment = cluster.Allotment{Zone: zoneName, Revision: 1}
	for i := range s.scenario.Machines + s.scenario.Joining {
		present := i < s.scenario.Machines
		engine := engineState{id: cluster.MachineID(fmt.Sprintf("m%d", i)), gone: !present}
		if present {
			engine.epoch = 1
			w.kv.allotment.Machines = append(w.kv.allotment.Machines, engine.id)
		}
		w.engines = append(w.engines, engine)
		w.members = append(w.members, present)
	}
	for i, model := range s.scenario.models() {
		w.kv.allotment.Models = append(w.kv.allotment.Models,
			cluster.ModelAllotment{Model: model, MaxReplicas: s.scenario.Limits[i]})
	}
	for i := range s.scenario.Controllers {
		w.nodes = append(w.nodes, s.newNode(i))
		s.readList(w, i)
	}
	s.acquire(w, 0, false)
	for len(w.calls) > 0 {
		sent := w.calls[0]
		w.calls = slices.Delete(w.calls, 0, 1)
		s.tell(w, 0, s.deliver(w, &sent))
	}
	return w
}

// check returns the violation in a state, empty when there is none.
func (s *search) check(w *world) string {
	for i, model := range s.scenario.models() {
		count := 0
		for e := range w.engines {
			if w.engines[e].position(model) >= 0 {
				count++
			}
		}
		if count > s.scenario.Limits[i] {
			return fmt.Sprintf("%d replicas of %s, decided %d", count, model, s.scenario.Limits[i])
		}
	}
	for e := range w.engines {
		if used := w.engines[e].usedBytes(); used > s.scenario.Memory {
			return fmt.Sprintf("%d of %d bytes in use on %s", used, s.scenario.Memory, w.engines[e].id)
		}
	}
	return ""
}

// model is what explore needs of a kind of state.
type model[S any] struct {
	key        func(S, []byte) []byte
	successors func(S, func(label string, next S))
	check      func(S) string
}

// origin says how a state was first reached.
type origin struct {
	parent int32
	label  string
}

// candidate is a successor that was not known when it was made.
type candidate[S any] struct {
	hash   uint64
	state  S
	parent int32
	label  string
}

// explore is a breadth-first search by levels. Levels are expanded in parallel
// and merged in order. States are compared by a 64-bit hash: at n states the
// chance that any two different ones are taken as equal is about n²/2⁶⁵.
func explore[S any](ctx context.Context, result Result, depth, bound int, initial S, m model[S]) (Result, error) {
	begin := time.Now()
	seen := map[uint64]struct{}{xxhash.Sum64(m.key(initial, nil)): {}}
	origins := []origin{{parent: -1}}
	level := []candidate[S]{{state: initial, parent: 0}}
	result.States, result.Complete = 1, true
	for result.Depth < depth && len(level) > 0 {
		if err := ctx.Err(); err != nil {
			return result, err
		}
		result.Depth++
		var next []candidate[S]
		for _, part := range expand(level, seen, m, &result.Transitions) {
			for _, found := range part {
				if _, known := seen[found.hash]; known {
					continue
				}
				seen[found.hash] = struct{}{}
				origins = append(origins, origin{parent: found.parent, label: found.label})
				result.States++
				if violation := m.check(found.state); violation != "" {
					result.Violation, result.Trace = violation, trace(origins)
					result.Elapsed = time.Since(begin)
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
	result.Elapsed = time.Since(begin)
	return result, nil
}

// expand returns the successors of each part of a level, in order.
func expand[S any](level []candidate[S], seen map[uint64]struct{}, m model[S], transitions *int) [][]candidate[S] {
	parts := min(len(level), 4*runtime.GOMAXPROCS(0))
	found := make([][]candidate[S], parts)
	counts := make([]int, parts)
	var group sync.WaitGroup
	for part := range parts {
		group.Go(func() {
			from, to := part*len(level)/parts, (part+1)*len(level)/parts
			local := make(map[uint64]struct{})
			var buffer []byte
			for position := range level[from:to] {
				state := level[from+position]
				level[from+position].state = *new(S) // not needed again
				m.successors(state.state, func(label string, next S) {
					counts[part]++
					buffer = m.key(next, buffer[:0])
					hash := xxhash.Sum64(buffer)
					if _, known := seen[hash]; known {
						return
					}
					if _, known := local[hash]; known {
						return
					}
					local[hash] = struct{}{}
					found[part] = append(found[part], candidate[S]{hash: hash, state: next, parent: state.parent, label: label})
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

// trace returns the steps to the last state.
func trace(origins []origin) []string {
	var steps []string
	for i := int32(len(origins) - 1); i > 0; i = origins[i].parent {
		steps = append(steps, origins[i].label)
	}
	slices.Reverse(steps)
	return steps
}

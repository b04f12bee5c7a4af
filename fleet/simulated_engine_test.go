package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/valveslip/valveslip/authority/sequence"
	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
)

// simulatedEngine is an engine that executes load and unload orders on the virtual clock. Its
// fence is the largest fencing token of the orders that it accepted.
type simulatedEngine struct {
	id         cluster.MachineID
	held       map[string][]string
	loading    map[string]int64
	busy       bool
	orderCount int64
	fence      cluster.FencingToken
	history    []engineState
	dead       bool
	// maxToken is the largest fencing token of the orders that arrived.
	maxToken         cluster.FencingToken
	lastOrderMachine string
	lastOrderAt      time.Time
	lastOrderInTouch bool
}

// engineState is an engine's report as of one time.
type engineState struct {
	at     time.Time
	report catalog.Report
}

// freezeEntry marks the current state as the one in the engine's entry, until the next write of
// the entry.
func (e *simulatedEngine) freezeEntry() { e.history[len(e.history)-1].report.Waiting = -1 }

func (s *simulation) startEngine() {
	s.startCount++
	e := &simulatedEngine{
		id: cluster.MachineID(fmt.Sprintf("e%d", s.startCount)), held: map[string][]string{"a": nil}, loading: map[string]int64{},
	}
	e.recordState(s.now)
	s.engines = append(s.engines, e)
	s.writeEntryPeriodically(e)
}

// writeEntryPeriodically writes the engine's entry while the store is up, and schedules the next
// write.
func (s *simulation) writeEntryPeriodically(e *simulatedEngine) {
	if e.dead {
		return
	}
	if !s.storeDown {
		e.freezeEntry()
		worker := e.worker()
		value, err := json.Marshal(&worker)
		if err != nil {
			panic(err)
		}
		s.writeStore(keyvalue.Operation{Key: keyEngineEntries + string(e.id), Value: value})
	}
	s.after(s.randomDuration(time.Second, 1400*time.Millisecond), func() { s.writeEntryPeriodically(e) })
}

// worker returns the engine's entry.
func (e *simulatedEngine) worker() catalog.Worker {
	return catalog.Worker{ID: e.id, Service: "s", Address: string(e.id), Zone: "z", Slots: 8, LoadedModels: e.entryReport().Held}
}

// entryReport returns the report in the engine's entry: its state at the last write.
func (e *simulatedEngine) entryReport() catalog.Report {
	for i := len(e.history) - 1; i >= 0; i-- {
		if e.history[i].report.Waiting == -1 {
			return e.history[i].report
		}
	}
	return e.history[0].report
}

// recordState appends the engine's current state to its history.
func (e *simulatedEngine) recordState(now time.Time) {
	report := catalog.Report{Busy: e.busy, OrderCount: e.orderCount}
	for _, spec := range simulatedModels {
		if adapters, held := e.held[spec.Name]; held {
			report.Held = append(report.Held, catalog.LoadedModel{Name: spec.Name, Adapters: slices.Clone(adapters)})
		}
	}
	for key := range e.loading {
		if key[len(key)-1] != '/' {
			report.LoadingAdapters = append(report.LoadingAdapters, key+"@1")
		}
	}
	slices.Sort(report.LoadingAdapters)
	e.history = append(e.history, engineState{at: now, report: report})
	if len(e.history) > 200 {
		e.history = slices.Delete(e.history, 1, 100)
	}
}

// delayedReport returns the engine's report as it was reportLag ago.
func (e *simulatedEngine) delayedReport(now time.Time) catalog.Report {
	report := e.history[0].report
	for _, state := range e.history {
		if now.Sub(state.at) >= reportLag {
			report = state.report
		}
	}
	report.Waiting = 0
	return report
}

// liveEngine returns the running engine of the given ID, nil for none.
func (s *simulation) liveEngine(id cluster.MachineID) *simulatedEngine {
	for _, e := range s.engines {
		if e.id == id && !e.dead {
			return e
		}
	}
	return nil
}

// handleOrder executes an order. Some orders are executed although the answer is lost, others
// without an answer and seconds late.
func (s *simulation) handleOrder(n *simulatedNode, send SendOrder) {
	answer := sequence.OrderAnswered{Machine: send.Send.Order.Machine, Number: send.Send.Number}
	reply := func(after time.Duration) {
		s.after(after, func() { s.step(n, OrderAnswered{Answer: answer, Order: send.Send.Order}) })
	}
	if e := s.liveEngine(send.Send.Order.Machine); e != nil {
		s.checkSingleHolder(n, e, send.Send.Order)
	}
	switch s.random.IntN(6) {
	case 0:
		s.after(s.randomDuration(2*time.Second, 9*time.Second), func() { s.executeOrder(send.Send.Order) })
		answer.Err = errors.New("no answer")
		reply(250 * time.Millisecond)
	case 1:
		s.executeOrder(send.Send.Order)
		answer.Err = errors.New("answer lost")
		reply(250 * time.Millisecond)
	default:
		answer.Outcome = s.executeOrder(send.Send.Order)
		reply(3 * time.Millisecond)
	}
}

// executeOrder makes an engine accept or reject an order, and checks the engine's capacity.
func (s *simulation) executeOrder(order sequence.Order) sequence.Outcome {
	e := s.liveEngine(order.Machine)
	switch {
	case e == nil:
		return sequence.OutcomeOtherMachine
	case s.fenced && order.Token < e.fence:
		return sequence.OutcomeStaleToken
	case e.busy, !s.enginesIgnoreCount && order.Expected != e.orderCount:
		return sequence.OutcomeConflict
	}
	_, model, adapter := catalog.Split(order.Model)
	if adapters, held := e.held[model]; order.Kind == cluster.OrderLoad && held && (adapter == "" || slices.Contains(adapters, adapter)) {
		return sequence.OutcomeAlreadyDone
	}
	e.fence = max(e.fence, order.Token)
	e.orderCount++
	if order.Kind == cluster.OrderLoad {
		e.loading[model+"/"+adapter] = s.compiled.Snapshot.Model(order.Model).Policy.Memory
		s.checkCapacity(e, order)
	}
	e.busy = adapter == ""
	e.recordState(s.now)
	duration := 20 * time.Millisecond
	if order.Kind == cluster.OrderLoad && adapter == "" {
		duration = s.compiled.Service("s").Model(model).LoadTime
	}
	s.after(duration, func() { e.finishOrder(s.now, order.Kind, model, adapter) })
	return sequence.OutcomeTaken
}

// finishOrder completes an order.
func (e *simulatedEngine) finishOrder(now time.Time, kind cluster.OrderKind, model, adapter string) {
	delete(e.loading, model+"/"+adapter)
	switch {
	case kind == cluster.OrderLoad && adapter == "":
		e.held[model] = nil
	case kind == cluster.OrderLoad:
		if adapters, held := e.held[model]; held && !slices.Contains(adapters, adapter) {
			e.held[model] = append(adapters, adapter)
		}
	case adapter == "":
		delete(e.held, model)
	default:
		if adapters, held := e.held[model]; held {
			e.held[model] = slices.DeleteFunc(slices.Clone(adapters), func(name string) bool { return name == adapter })
		}
	}
	if adapter == "" {
		e.busy = false
	}
	e.recordState(now)
}

// checkCapacity checks that an engine is never ordered to hold more than it can.
func (s *simulation) checkCapacity(e *simulatedEngine, order sequence.Order) {
	var used int64
	adapters := 0
	for model, held := range e.held {
		used += s.compiled.Service("s").Model(model).Bytes + int64(len(held))
		adapters += len(held)
	}
	for key, bytes := range e.loading {
		used += bytes
		if key[len(key)-1] != '/' {
			adapters++
		}
	}
	if used > engineMemory || adapters > adapterSlots {
		s.reportViolation("engine %s holds %d bytes and %d adapters after %s", e.id, used, adapters, order.Model)
	}
}

// checkSingleHolder checks that an engine receives orders of one machine at a time.
func (s *simulation) checkSingleHolder(from *simulatedNode, e *simulatedEngine, order sequence.Order) {
	inTouch := !s.fenced || !from.dead && !from.cutOff && !s.storeDown &&
		s.now.Sub(from.reachableSince) >= minInTouchTime && s.now.Sub(s.storeRecoveredAt) >= minInTouchTime
	if e.lastOrderMachine != "" && e.lastOrderMachine != from.machine && inTouch && e.lastOrderInTouch && s.now.Sub(e.lastOrderAt) < simulatedOrderPause {
		s.reportViolation("engine %s took orders of %s and %s within %s", e.id, e.lastOrderMachine, from.machine, s.now.Sub(e.lastOrderAt))
	}
	if order.Token < e.maxToken && !s.fenced {
		s.reportViolation("engine %s was given token %d after %d", e.id, order.Token, e.maxToken)
	}
	e.maxToken = max(e.maxToken, order.Token)
	e.lastOrderMachine, e.lastOrderAt, e.lastOrderInTouch = from.machine, s.now, inTouch
}

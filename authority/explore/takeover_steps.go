package explore

import (
	"fmt"
	"slices"

	"github.com/valveslip/valveslip/authority"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
)

// successors calls yield with every state that can follow in one step, in a fixed order.
func (s *takeoverSearch) successors(state *takeoverState, yield func(label string, next *takeoverState)) {
	for i := range state.controllers {
		s.controllerSteps(state, i, yield)
	}
	for i := range state.calls {
		s.callSteps(state, i, yield)
	}
	for i := range state.answers {
		next := state.clone()
		delayed := next.answers[i]
		next.answers = slices.Delete(next.answers, i, i+1)
		s.stepController(next, delayed.controller, delayed.event)
		yield(delayed.description, next)
	}
	for i := range state.engines {
		s.engineSteps(state, i, yield)
	}
	s.environmentSteps(state, yield)
}

// stepController passes an event to a controller and applies the effects.
func (s *takeoverSearch) stepController(state *takeoverState, controller int, event authority.Event) {
	s.applyEffects(state, controller, state.ownCore(controller).Step(state.now, event), false)
}

// applyEffects sends calls and carries out the key-value operations at once. With
// loseAnswers the answers to the latter are lost.
func (s *takeoverSearch) applyEffects(state *takeoverState, controller int, effects []authority.Effect, loseAnswers bool) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case authority.AcquireLease:
			s.acquireLease(state, controller, loseAnswers)
		case authority.RenewLease:
			s.renewLease(state, controller, loseAnswers)
		case authority.SealMachine:
			s.sendCall(state, call{kind: callSeal, controller: controller, machine: s.machineIndex(effect.Machine.ID), token: effect.Token})
		case authority.ReadInventory:
			s.sendCall(state, call{kind: callInventory, controller: controller, machine: s.machineIndex(effect.Machine.ID)})
		case authority.SendOrder:
			s.sendCall(state, call{kind: callOrder, controller: controller, machine: s.machineIndex(effect.Machine.ID), order: effect.Order})
		}
	}
}

func (s *takeoverSearch) sendCall(state *takeoverState, c call) {
	state.addCall(c)
	s.misinformController(state, &c)
}

// machineIndex returns the index of a machine; the IDs are m0, m1 and so on.
func (s *takeoverSearch) machineIndex(id cluster.MachineID) int { return int(id[1] - '0') }

func (s *takeoverSearch) acquireLease(state *takeoverState, controller int, loseAnswer bool) {
	held := state.kv.holder != noHolder && state.now.Sub(state.kv.sentAt) < leaseDuration
	switch {
	case state.kv.down:
		s.stepController(state, controller, authority.LeaseUnreachable{})
		return
	case held && state.kv.holder != controller:
		s.stepController(state, controller, authority.LeaseLost{})
		return
	case !held:
		state.kv.revision++
		state.kv.holder, state.kv.token, state.kv.sentAt = controller, cluster.FencingToken(state.kv.revision), state.now
	}
	if loseAnswer {
		s.stepController(state, controller, authority.LeaseUnreachable{})
		return
	}
	s.stepController(state, controller, authority.LeaseAcquired{Token: state.kv.token, SentAt: s.leaseStart(state), TTL: leaseDuration})
	s.readAllotment(state, controller)
}

func (s *takeoverSearch) renewLease(state *takeoverState, controller int, loseAnswer bool) {
	held := state.kv.holder == controller && state.kv.token == state.controllers[controller].core.Token() && state.now.Sub(state.kv.sentAt) < leaseDuration
	switch {
	case state.kv.down:
		s.stepController(state, controller, authority.LeaseUnreachable{})
	case !held:
		s.stepController(state, controller, authority.LeaseLost{})
	default:
		state.kv.sentAt = state.now
		if loseAnswer {
			s.stepController(state, controller, authority.LeaseUnreachable{})
			return
		}
		s.stepController(state, controller, authority.LeaseRenewed{SentAt: s.leaseStart(state), TTL: leaseDuration})
	}
}

func (s *takeoverSearch) readAllotment(state *takeoverState, controller int) {
	state.controllers[controller].allotmentRevisionRead = state.kv.allotment.Revision
	s.stepController(state, controller, authority.AllotmentRead{Allotment: s.allotmentAsRead(state, controller), ReadRevision: state.kv.revision})
}

// controllerSteps yields the steps that a controller takes by itself.
func (s *takeoverSearch) controllerSteps(state *takeoverState, i int, yield func(string, *takeoverState)) {
	s.tickSteps(state, i, yield)
	s.planSteps(state, i, yield)
	if state.controllers[i].listVersionRead != state.listVersion || s.scenario.listsChange() {
		next := state.clone()
		s.readMachineList(next, i)
		yield(fmt.Sprintf("n%d reads the machine list", i), next)
	}
	if !state.kv.down && state.controllers[i].core.Holding() && state.controllers[i].allotmentRevisionRead != state.kv.allotment.Revision {
		next := state.clone()
		s.readAllotment(next, i)
		yield(fmt.Sprintf("n%d reads the record", i), next)
	}
	if state.eventsLeft.nodeRestarts > 0 {
		next := state.clone()
		next.eventsLeft.nodeRestarts--
		s.restartController(next, i)
		yield(fmt.Sprintf("n%d restarts", i), next)
	}
}

// tickSteps yields a tick, with and without the loss of the key-value service's answers.
func (s *takeoverSearch) tickSteps(state *takeoverState, i int, yield func(string, *takeoverState)) {
	core := state.controllers[i].core.Clone()
	now := state.now.Add(tickInterval)
	effects := core.Step(now, authority.Tick{})
	if len(effects) == 0 {
		return
	}
	next := state.clone()
	next.now = now
	next.controllers[i].core, next.controllers[i].encodedCore = core, nil
	callsKeyValue := slices.ContainsFunc(effects, func(effect authority.Effect) bool {
		switch effect.(type) {
		case authority.AcquireLease, authority.RenewLease:
			return true
		}
		return false
	})
	if callsKeyValue && state.eventsLeft.faults > 0 {
		losing := next.clone()
		losing.eventsLeft.faults--
		s.applyEffects(losing, i, effects, true)
		yield(fmt.Sprintf("n%d ticks and loses the key-value answer", i), losing)
	}
	s.applyEffects(next, i, effects, false)
	yield(fmt.Sprintf("n%d ticks", i), next)
}

// planSteps yields a plan for every possible load and unload that the controller carries
// out.
func (s *takeoverSearch) planSteps(state *takeoverState, i int, yield func(string, *takeoverState)) {
	if !state.controllers[i].core.Ready() {
		return
	}
	for machine := range state.engines {
		for _, model := range s.scenario.models() {
			s.planStep(state, i, placement.Action{
				Kind: cluster.OrderLoad, Machine: state.engines[machine].id, Model: model, Bytes: replicaBytes,
			}, yield)
			if state.eventsLeft.unloads > 0 {
				s.planStep(state, i, placement.Action{
					Kind: cluster.OrderUnload, Machine: state.engines[machine].id, Model: model,
				}, yield)
			}
		}
	}
}

func (s *takeoverSearch) planStep(state *takeoverState, i int, action placement.Action, yield func(string, *takeoverState)) {
	event := authority.PlanMade{Plan: placement.Plan{Actions: []placement.Action{action}}}
	if len(state.controllers[i].core.Clone().Step(state.now, event)) == 0 {
		return
	}
	next := state.clone()
	if action.Kind == cluster.OrderUnload {
		next.eventsLeft.unloads--
	}
	s.stepController(next, i, event)
	yield(fmt.Sprintf("n%d plans to %s %s on %s", i, action.Kind, action.Model, action.Machine), next)
}

func (s *takeoverSearch) readMachineList(state *takeoverState, i int) {
	state.controllers[i].listVersionRead = state.listVersion
	var list []cluster.Machine
	for m, member := range state.isListed {
		if member {
			list = append(list, cluster.Machine{ID: state.engines[m].id, Zone: takeoverZone})
		}
	}
	s.stepController(state, i, authority.MachinesListed{Machines: list})
}

// restartController replaces a controller by one without state and with another identity.
// The lease of the former controller has no holder until it expires, and the calls that it
// sent may still arrive.
func (s *takeoverSearch) restartController(state *takeoverState, i int) {
	if state.kv.holder == i {
		state.kv.holder = restartedHolder
	}
	state.controllers[i] = s.newController(i)
	s.readMachineList(state, i)
	calls := state.calls
	state.calls = nil
	for _, sent := range calls {
		if sent.controller == i {
			sent.abandoned = true
		}
		state.addCall(sent)
	}
	state.answers = slices.DeleteFunc(slices.Clone(state.answers), func(a answer) bool { return a.controller == i })
}

// callSteps yields the delivery of a call, and the loss or delay of the call or its
// answer.
func (s *takeoverSearch) callSteps(state *takeoverState, i int, yield func(string, *takeoverState)) {
	sent := state.calls[i]
	take := func() *takeoverState {
		next := state.clone()
		next.calls = slices.Delete(next.calls, i, i+1)
		return next
	}
	next := take()
	event := s.deliverCall(next, &sent)
	if sent.abandoned {
		yield(sent.description, next)
		return
	}
	s.stepController(next, sent.controller, event)
	yield(sent.description, next)
	if state.eventsLeft.faults == 0 {
		return
	}
	s.faultSteps(state, sent, take, yield)
}

func (s *takeoverSearch) faultSteps(state *takeoverState, sent call, take func() *takeoverState, yield func(string, *takeoverState)) {
	delayed := take()
	delayed.eventsLeft.faults--
	event := s.deliverCall(delayed, &sent)
	delayed.addAnswer(answer{
		controller: sent.controller, machine: sent.machine, event: event,
		description: fmt.Sprintf("late answer to %s: %v", sent, event),
	})
	yield("delayed answer: "+sent.description, delayed)
	if sent.kind == callInventory {
		return
	}
	unanswered := take()
	unanswered.eventsLeft.faults--
	s.deliverCall(unanswered, &sent)
	s.stepController(unanswered, sent.controller, s.lostCallEvent(unanswered, &sent))
	yield("lost answer: "+sent.description, unanswered)

	undelivered := take()
	undelivered.eventsLeft.faults--
	abandoned := sent
	abandoned.abandoned = true
	undelivered.addCall(abandoned)
	s.stepController(undelivered, sent.controller, s.lostCallEvent(undelivered, &sent))
	yield("delayed call: "+sent.description, undelivered)
}

// engineSteps yields the steps of a machine.
func (s *takeoverSearch) engineSteps(state *takeoverState, i int, yield func(string, *takeoverState)) {
	engine := &state.engines[i]
	if engine.gone {
		s.absentMachineSteps(state, i, yield)
		return
	}
	for r, replica := range engine.replicas {
		if replica.State != cluster.ReplicaUnloading {
			continue
		}
		next := state.clone()
		unloaded := next.ownEngine(i)
		unloaded.replicas = slices.Delete(unloaded.replicas, r, r+1)
		unloaded.sequence++
		yield(fmt.Sprintf("%s has unloaded %s", engine.id, replica.Model), next)
	}
	if state.eventsLeft.engineRestarts > 0 {
		next := state.clone()
		next.eventsLeft.engineRestarts--
		next.engines[i].restart(s.scenario.KeepTokens)
		yield(fmt.Sprintf("%s restarts", engine.id), next)
	}
	if state.eventsLeft.leaves > 0 {
		next := state.clone()
		next.eventsLeft.leaves--
		next.engines[i].gone = true
		next.engines[i].replicas = nil
		yield(fmt.Sprintf("%s is gone", engine.id), next)
	}
}

// absentMachineSteps removes a dead machine from the machine list, or lets a new machine
// join.
func (s *takeoverSearch) absentMachineSteps(state *takeoverState, i int, yield func(string, *takeoverState)) {
	engine := &state.engines[i]
	if state.isListed[i] {
		next := state.clone()
		next.isListed[i] = false
		next.listVersion++
		yield(fmt.Sprintf("the list drops %s", engine.id), next)
		return
	}
	if engine.epoch == 0 && state.eventsLeft.joins > 0 {
		next := state.clone()
		next.eventsLeft.joins--
		next.engines[i].gone, next.engines[i].epoch = false, 1
		next.isListed[i] = true
		next.listVersion++
		yield(fmt.Sprintf("%s joins", engine.id), next)
	}
}

// environmentSteps yields lease expiries, outages of the key-value service and changes of
// the allotment.
func (s *takeoverSearch) environmentSteps(state *takeoverState, yield func(string, *takeoverState)) {
	if state.eventsLeft.lapses > 0 {
		next := state.clone()
		next.eventsLeft.lapses--
		next.now = next.now.Add(lapseDuration)
		for i := range next.controllers {
			next.controllers[i].encodedCore = nil
		}
		yield("all leases lapse", next)
	}
	if state.kv.down {
		next := state.clone()
		next.kv.down = false
		yield("the key-value service is back", next)
	} else if state.eventsLeft.outages > 0 {
		next := state.clone()
		next.eventsLeft.outages--
		next.kv.down = true
		yield("the key-value service is down", next)
	}
	for i, member := range state.isListed {
		id := state.engines[i].id
		if !member || state.kv.down || slices.Contains(state.kv.allotment.Machines, id) {
			continue
		}
		next := state.clone()
		next.kv.revision++
		next.kv.allotment.Revision = next.kv.revision
		next.kv.allotment.Machines = append(slices.Clone(next.kv.allotment.Machines), id)
		yield(fmt.Sprintf("the record names %s", id), next)
	}
}

package explore

import (
	"fmt"
	"slices"

	"github.com/valveslip/valveslip/authority"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
)

// successors calls yield with every state that can follow w in one step, in a
// fixed order.
func (s *search) successors(w *world, yield func(label string, next *world)) {
	for i := range w.nodes {
		s.nodeSteps(w, i, yield)
	}
	for i := range w.calls {
		s.callSteps(w, i, yield)
	}
	for i := range w.answers {
		next := w.clone()
		delayed := next.answers[i]
		next.answers = slices.Delete(next.answers, i, i+1)
		s.tell(next, delayed.controller, delayed.event)
		yield(delayed.label, next)
	}
	for i := range w.engines {
		s.engineSteps(w, i, yield)
	}
	s.platformSteps(w, yield)
}

// tell gives a controller an event and carries out the effects.
func (s *search) tell(w *world, controller int, event authority.Event) {
	s.carryOut(w, controller, w.own(controller).Step(w.now, event), false)
}

// carryOut sends calls and does the key-value operations at once; loseAnswers
// drops the answers of the latter.
func (s *search) carryOut(w *world, controller int, effects []authority.Effect, loseAnswers bool) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case authority.AcquireLease:
			s.acquire(w, controller, loseAnswers)
		case authority.RenewLease:
			s.renew(w, controller, loseAnswers)
		case authority.SealMachine:
			s.send(w, call{kind: callSeal, controller: controller, machine: s.machine(effect.Machine.ID), token: effect.Token})
		case authority.ReadInventory:
			s.send(w, call{kind: callInventory, controller: controller, machine: s.machine(effect.Machine.ID)})
		case authority.SendOrder:
			s.send(w, call{kind: callOrder, controller: controller, machine: s.machine(effect.Machine.ID), order: effect.Order})
		}
	}
}

func (s *search) send(w *world, c call) {
	w.addCall(c)
	s.afterSend(w, &c)
}

// machine returns the index of a machine; IDs are m0, m1 and so on.
func (s *search) machine(id cluster.MachineID) int { return int(id[1] - '0') }

func (s *search) acquire(w *world, controller int, loseAnswer bool) {
	held := w.kv.holder != noNode && w.now.Sub(w.kv.sentAt) < leaseTime
	switch {
	case w.kv.down:
		s.tell(w, controller, authority.LeaseUnreachable{})
		return
	case held && w.kv.holder != controller:
		s.tell(w, controller, authority.LeaseLost{})
		return
	case !held:
		w.kv.revision++
		w.kv.holder, w.kv.token, w.kv.sentAt = controller, cluster.FencingToken(w.kv.revision), w.now
	}
	if loseAnswer {
		s.tell(w, controller, authority.LeaseUnreachable{})
		return
	}
	s.tell(w, controller, authority.LeaseAcquired{Token: w.kv.token, SentAt: s.leaseSentAt(w), TTL: leaseTime})
	s.readRecord(w, controller)
}

func (s *search) renew(w *world, controller int, loseAnswer bool) {
	held := w.kv.holder == controller && w.kv.token == w.nodes[controller].core.Token() && w.now.Sub(w.kv.sentAt) < leaseTime
	switch {
	case w.kv.down:
		s.tell(w, controller, authority.LeaseUnreachable{})
	case !held:
		s.tell(w, controller, authority.LeaseLost{})
	default:
		w.kv.sentAt = w.now
		if loseAnswer {
			s.tell(w, controller, authority.LeaseUnreachable{})
			return
		}
		s.tell(w, controller, authority.LeaseRenewed{SentAt: s.leaseSentAt(w), TTL: leaseTime})
	}
}

func (s *search) readRecord(w *world, controller int) {
	w.nodes[controller].read = w.kv.allotment.Revision
	s.tell(w, controller, authority.AllotmentRead{Allotment: s.record(w, controller), ReadRevision: w.kv.revision})
}

// nodeSteps are the steps that a controller takes by itself.
func (s *search) nodeSteps(w *world, i int, yield func(string, *world)) {
	s.tickSteps(w, i, yield)
	s.planSteps(w, i, yield)
	if w.nodes[i].listed != w.list || s.scenario.listsChange() {
		next := w.clone()
		s.readList(next, i)
		yield(fmt.Sprintf("n%d reads the machine list", i), next)
	}
	if !w.kv.down && w.nodes[i].core.Holding() && w.nodes[i].read != w.kv.allotment.Revision {
		next := w.clone()
		s.readRecord(next, i)
		yield(fmt.Sprintf("n%d reads the record", i), next)
	}
	if w.left.nodeRestarts > 0 {
		next := w.clone()
		next.left.nodeRestarts--
		s.restartNode(next, i)
		yield(fmt.Sprintf("n%d restarts", i), next)
	}
}

// tickSteps are a tick, with and without the loss of the key-value service's
// answers.
func (s *search) tickSteps(w *world, i int, yield func(string, *world)) {
	core := w.nodes[i].core.Clone()
	now := w.now.Add(tickTime)
	effects := core.Step(now, authority.Tick{})
	if len(effects) == 0 {
		return
	}
	next := w.clone()
	next.now = now
	next.nodes[i].core, next.nodes[i].encoded = core, nil
	asks := slices.ContainsFunc(effects, func(effect authority.Effect) bool {
		switch effect.(type) {
		case authority.AcquireLease, authority.RenewLease:
			return true
		}
		return false
	})
	if asks && w.left.faults > 0 {
		losing := next.clone()
		losing.left.faults--
		s.carryOut(losing, i, effects, true)
		yield(fmt.Sprintf("n%d ticks and loses the key-value answer", i), losing)
	}
	s.carryOut(next, i, effects, false)
	yield(fmt.Sprintf("n%d ticks", i), next)
}

// planSteps offer the controller every load and unload there is.
func (s *search) planSteps(w *world, i int, yield func(string, *world)) {
	if !w.nodes[i].core.Ready() {
		return
	}
	for machine := range w.engines {
		for _, model := range s.scenario.models() {
			s.planStep(w, i, placement.Action{
				Kind: cluster.OrderLoad, Machine: w.engines[machine].id, Model: model, Bytes: replicaUse,
			}, yield)
			if w.left.unloads > 0 {
				s.planStep(w, i, placement.Action{
					Kind: cluster.OrderUnload, Machine: w.engines[machine].id, Model: model,
				}, yield)
			}
		}
	}
}

func (s *search) planStep(w *world, i int, action placement.Action, yield func(string, *world)) {
	event := authority.PlanMade{Plan: placement.Plan{Actions: []placement.Action{action}}}
	if len(w.nodes[i].core.Clone().Step(w.now, event)) == 0 {
		return
	}
	next := w.clone()
	if action.Kind == cluster.OrderUnload {
		next.left.unloads--
	}
	s.tell(next, i, event)
	yield(fmt.Sprintf("n%d plans to %s %s on %s", i, action.Kind, action.Model, action.Machine), next)
}

func (s *search) readList(w *world, i int) {
	w.nodes[i].listed = w.list
	var list []cluster.Machine
	for m, member := range w.members {
		if member {
			list = append(list, cluster.Machine{ID: w.engines[m].id, Zone: zoneName})
		}
	}
	s.tell(w, i, authority.MachinesListed{Machines: list})
}

// restartNode begins a controller without memory and with another identity, so
// the lease of the former one is held by nobody until it ends; what that one
// sent may still come.
func (s *search) restartNode(w *world, i int) {
	if w.kv.holder == i {
		w.kv.holder = formerNode
	}
	w.nodes[i] = s.newNode(i)
	s.readList(w, i)
	calls := w.calls
	w.calls = nil
	for _, sent := range calls {
		if sent.controller == i {
			sent.late = true
		}
		w.addCall(sent)
	}
	w.answers = slices.DeleteFunc(slices.Clone(w.answers), func(a answer) bool { return a.controller == i })
}

// callSteps deliver a call, or lose or delay a part of it.
func (s *search) callSteps(w *world, i int, yield func(string, *world)) {
	sent := w.calls[i]
	take := func() *world {
		next := w.clone()
		next.calls = slices.Delete(next.calls, i, i+1)
		return next
	}
	next := take()
	event := s.deliver(next, &sent)
	if sent.late {
		yield(sent.text, next)
		return
	}
	s.tell(next, sent.controller, event)
	yield(sent.text, next)
	if w.left.faults == 0 {
		return
	}
	s.lossSteps(w, sent, take, yield)
}

func (s *search) lossSteps(w *world, sent call, take func() *world, yield func(string, *world)) {
	delayed := take()
	delayed.left.faults--
	event := s.deliver(delayed, &sent)
	delayed.addAnswer(answer{
		controller: sent.controller, machine: sent.machine, event: event,
		label: fmt.Sprintf("late answer to %s: %v", sent, event),
	})
	yield("delayed answer: "+sent.text, delayed)
	if sent.kind == callInventory {
		return
	}
	unanswered := take()
	unanswered.left.faults--
	s.deliver(unanswered, &sent)
	s.tell(unanswered, sent.controller, s.lost(unanswered, &sent))
	yield("lost answer: "+sent.text, unanswered)

	undelivered := take()
	undelivered.left.faults--
	late := sent
	late.late = true
	undelivered.addCall(late)
	s.tell(undelivered, sent.controller, s.lost(undelivered, &sent))
	yield("delayed call: "+sent.text, undelivered)
}

// engineSteps are the steps of a machine.
func (s *search) engineSteps(w *world, i int, yield func(string, *world)) {
	engine := &w.engines[i]
	if engine.gone {
		s.goneSteps(w, i, yield)
		return
	}
	for r, replica := range engine.replicas {
		if replica.State != cluster.ReplicaUnloading {
			continue
		}
		next := w.clone()
		unloaded := next.ownEngine(i)
		unloaded.replicas = slices.Delete(unloaded.replicas, r, r+1)
		unloaded.sequence++
		yield(fmt.Sprintf("%s has unloaded %s", engine.id, replica.Model), next)
	}
	if w.left.engineRestarts > 0 {
		next := w.clone()
		next.left.engineRestarts--
		next.engines[i].restart(s.scenario.KeepTokens)
		yield(fmt.Sprintf("%s restarts", engine.id), next)
	}
	if w.left.leaves > 0 {
		next := w.clone()
		next.left.leaves--
		next.engines[i].gone = true
		next.engines[i].replicas = nil
		yield(fmt.Sprintf("%s is gone", engine.id), next)
	}
}

// goneSteps take a dead machine off the list, or let a new one join.
func (s *search) goneSteps(w *world, i int, yield func(string, *world)) {
	engine := &w.engines[i]
	if w.members[i] {
		next := w.clone()
		next.members[i] = false
		next.list++
		yield(fmt.Sprintf("the list drops %s", engine.id), next)
		return
	}
	if engine.epoch == 0 && w.left.joins > 0 {
		next := w.clone()
		next.left.joins--
		next.engines[i].gone, next.engines[i].epoch = false, 1
		next.members[i] = true
		next.list++
		yield(fmt.Sprintf("%s joins", engine.id), next)
	}
}

// platformSteps are lapses, outages and changes of the record.
func (s *search) platformSteps(w *world, yield func(string, *world)) {
	if w.left.lapses > 0 {
		next := w.clone()
		next.left.lapses--
		next.now = next.now.Add(lapseTime)
		for i := range next.nodes {
			next.nodes[i].encoded = nil
		}
		yield("all leases lapse", next)
	}
	if w.kv.down {
		next := w.clone()
		next.kv.down = false
		yield("the key-value service is back", next)
	} else if w.left.outages > 0 {
		next := w.clone()
		next.left.outages--
		next.kv.down = true
		yield("the key-value service is down", next)
	}
	for i, member := range w.members {
		id := w.engines[i].id
		if !member || w.kv.down || slices.Contains(w.kv.allotment.Machines, id) {
			continue
		}
		next := w.clone()
		next.kv.revision++
		next.kv.allotment.Revision = next.kv.revision
		next.kv.allotment.Machines = append(slices.Clone(next.kv.allotment.Machines), id)
		yield(fmt.Sprintf("the record names %s", id), next)
	}
}

package explore

import (
	"fmt"
	"slices"

	"github.com/valveslip/valveslip/authority"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// successors calls yield with every state that can follow in one step.
func (s *apportionSearch) successors(state *apportionState, yield func(string, *apportionState)) {
	for i := range state.apportioners {
		s.apportionerSteps(state, i, yield)
	}
	for i := range state.zones {
		if !state.zones[i].gone {
			s.zoneSteps(state, i, yield)
		}
		s.environmentSteps(state, i, yield)
	}
	if state.editIndex+1 < len(s.scenario.Edits) {
		next := state.clone()
		next.editIndex++
		yield(fmt.Sprintf("edit %d is accepted", next.editIndex), next)
	}
	if state.lapsesLeft > 0 {
		next := state.clone()
		next.lapsesLeft--
		next.now = next.now.Add(lapseDuration)
		yield("time passes", next)
	}
}

// apportionerSteps yields the steps of an apportioner: it reads, decides, writes and
// restarts.
func (s *apportionSearch) apportionerSteps(state *apportionState, i int, yield func(string, *apportionState)) {
	a := &state.apportioners[i]
	if a.editIndex != state.editIndex || !a.hasReadRecords || a.guardRevision != state.guardRevision {
		next := state.clone()
		next.apportioners[i].readRecords(next)
		yield(fmt.Sprintf("a%d reads settings and records", i), next)
	}
	if a.hasReadRecords && a.pendingWrite == nil {
		s.decideStep(state, i, yield)
	}
	if a.pendingWrite != nil {
		next := state.clone()
		outcome := s.commit(next, i)
		yield(fmt.Sprintf("the write of a%d arrives and %s", i, outcome), next)
	}
	if s.scenario.Leaves > 0 {
		next := state.clone()
		next.readMachineList(&next.apportioners[i])
		yield(fmt.Sprintf("a%d reads the machine list", i), next)
	}
	if state.restartsLeft > 0 {
		next := state.clone()
		next.restartsLeft--
		written := a.pendingWrite
		next.apportioners[i] = s.newApportioner(next)
		next.apportioners[i].pendingWrite = written
		yield(fmt.Sprintf("a%d restarts", i), next)
	}
}

func (a *apportionerState) readRecords(state *apportionState) {
	a.hasReadRecords, a.guardRevision, a.editIndex = true, state.guardRevision, state.editIndex
	a.records = slices.Clone(state.records)
}

// apportionInput returns the input of the apportioner.
func (s *apportionSearch) apportionInput(state *apportionState, i int) authority.ApportionInput {
	a := &state.apportioners[i]
	input := authority.ApportionInput{Now: state.now, Settings: s.snapshots[a.editIndex], Tracker: a.tracker, GuardRevision: a.guardRevision}
	for z := range state.zones {
		view := authority.ZoneView{Zone: zoneID(z), Allotment: a.records[z], Report: a.reports[z]}
		if s.variant == VariantNoEscrow {
			view.Report = &wire.ZoneReport{Token: 1, AllotmentRevision: view.Allotment.Revision}
		}
		input.Zones = append(input.Zones, view)
	}
	return input
}

// decideStep yields the apportioner's plan from the records that it has read.
func (s *apportionSearch) decideStep(state *apportionState, i int, yield func(string, *apportionState)) {
	plan := authority.Apportion(s.apportionInput(state, i))
	if len(plan.Writes) == 0 {
		return
	}
	next := state.clone()
	next.apportioners[i].pendingWrite = &plan
	yield(fmt.Sprintf("a%d decides %+v", i, plan.Changes), next)
}

// commit applies the pending transaction if all its compares hold, and reports the outcome
// as a word for the trace.
func (s *apportionSearch) commit(state *apportionState, i int) string {
	plan := state.apportioners[i].pendingWrite
	state.apportioners[i].pendingWrite = nil
	if plan.GuardRevision != state.guardRevision && s.variant != VariantNoGuard {
		return "fails"
	}
	zoneIndex := func(zone cluster.ZoneID) int { return int(zone[1] - '0') }
	for _, write := range plan.Writes {
		if state.records[zoneIndex(write.Allotment.Zone)].Revision != write.ExpectRevision {
			return "fails"
		}
	}
	state.revision++
	state.guardRevision = state.revision
	for _, write := range plan.Writes {
		record, err := authority.DecodeAllotment(authority.EncodeAllotment(write.Allotment))
		if err != nil {
			panic(err)
		}
		record.Zone, record.Revision = write.Allotment.Zone, state.revision
		state.records[zoneIndex(record.Zone)] = record
	}
	return "succeeds"
}

// zoneSteps yields the steps of a zone's controllers and the delivery of their reports.
func (s *apportionSearch) zoneSteps(state *apportionState, z int, yield func(string, *apportionState)) {
	zone := &state.zones[z]
	for i := range zone.controllers {
		s.controllerSteps(state, z, i, yield)
	}
	for i := range zone.controllers {
		if zone.controllers[i].allotmentRevision == state.records[z].Revision || i > 0 && s.variant != VariantEndlessLease {
			continue
		}
		next := state.clone()
		next.zones[z].controllers[i].readAllotment(&next.records[z])
		yield(fmt.Sprintf("controller %d of z%d reads its record", zone.controllers[i].token, z), next)
	}
	if state.takeoversLeft > 0 && len(zone.controllers) == 1 {
		next := state.clone()
		next.takeoversLeft--
		next.revision++
		holder := zoneController{token: cluster.FencingToken(next.revision)}
		holder.readAllotment(&next.records[z])
		next.zones[z].controllers = append([]zoneController{holder}, next.zones[z].controllers...)
		yield(fmt.Sprintf("z%d has a new controller", z), next)
	}
}

func (a *zoneController) readAllotment(record *cluster.Allotment) {
	a.allotmentRevision, a.limit = record.Revision, record.Limit(apportionModel)
}

// controllerSteps yields the steps of one controller: it seals, loads, unloads and
// reports.
func (s *apportionSearch) controllerSteps(state *apportionState, z, i int, yield func(string, *apportionState)) {
	zone := &state.zones[z]
	actor := zone.controllers[i]
	who := fmt.Sprintf("controller %d of z%d", actor.token, z)
	if !actor.sealed && zone.token <= actor.token {
		next := state.clone()
		next.zones[z].token = actor.token
		next.zones[z].controllers[i].sealed, next.zones[z].controllers[i].believesLoaded = true, zone.loaded
		yield(who+" seals", next)
	}
	if actor.sealed && zone.token == actor.token {
		switch {
		case !zone.loaded && actor.limit > 0:
			next := state.clone()
			next.zones[z].loaded, next.zones[z].controllers[i].believesLoaded = true, true
			yield(who+" loads", next)
		case zone.loaded:
			next := state.clone()
			next.zones[z].loaded, next.zones[z].controllers[i].believesLoaded = false, false
			yield(who+" unloads", next)
		}
	}
	report := &wire.ZoneReport{
		Zone: zoneID(z), Token: actor.token, AllotmentRevision: actor.allotmentRevision,
		Models: []wire.ZoneModelReport{{Model: apportionModel, Held: int(boolToNumber(actor.believesLoaded || !actor.sealed))}},
	}
	next := state.clone()
	for j := range next.apportioners {
		next.apportioners[j].reports[z] = report
	}
	yield(fmt.Sprintf("%s reports %+v", who, report.Models), next)
}

// environmentSteps yields the failure of a zone and its removal from the machine list.
func (s *apportionSearch) environmentSteps(state *apportionState, z int, yield func(string, *apportionState)) {
	zone := &state.zones[z]
	if !zone.gone && state.leavesLeft > 0 {
		next := state.clone()
		next.leavesLeft--
		next.zones[z].gone, next.zones[z].loaded = true, false
		yield(fmt.Sprintf("z%d is gone", z), next)
	}
	if zone.gone && zone.listed {
		next := state.clone()
		next.zones[z].listed = false
		yield(fmt.Sprintf("the list drops z%d", z), next)
	}
}

package explore

import (
	"fmt"
	"slices"

	"github.com/valveslip/valveslip/authority"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// successors calls yield with every state that can follow w in one step.
func (s *escrowSearch) successors(w *escrowWorld, yield func(string, *escrowWorld)) {
	for i := range w.apportioners {
		s.apportionerSteps(w, i, yield)
	}
	for i := range w.zones {
		if !w.zones[i].gone {
			s.zoneSteps(w, i, yield)
		}
		s.platformSteps(w, i, yield)
	}
	if w.edit+1 < len(s.scenario.Edits) {
		next := w.clone()
		next.edit++
		yield(fmt.Sprintf("edit %d is accepted", next.edit), next)
	}
	if w.lapses > 0 {
		next := w.clone()
		next.lapses--
		next.now = next.now.Add(lapseTime)
		yield("time passes", next)
	}
}

// apportionerSteps: read, decide, write, restart.
func (s *escrowSearch) apportionerSteps(w *escrowWorld, i int, yield func(string, *escrowWorld)) {
	a := &w.apportioners[i]
	if a.edit != w.edit || !a.read || a.guard != w.guard {
		next := w.clone()
		next.apportioners[i].readRecords(next)
		yield(fmt.Sprintf("a%d reads settings and records", i), next)
	}
	if a.read && a.written == nil {
		s.decide(w, i, yield)
	}
	if a.written != nil {
		next := w.clone()
		outcome := s.commit(next, i)
		yield(fmt.Sprintf("the write of a%d arrives and %s", i, outcome), next)
	}
	if s.scenario.Leaves > 0 {
		next := w.clone()
		next.readList(&next.apportioners[i])
		yield(fmt.Sprintf("a%d reads the machine list", i), next)
	}
	if w.restarts > 0 {
		next := w.clone()
		next.restarts--
		written := a.written
		next.apportioners[i] = s.newApportioner(next)
		next.apportioners[i].written = written
		yield(fmt.Sprintf("a%d restarts", i), next)
	}
}

func (a *escrowApportioner) readRecords(w *escrowWorld) {
	a.read, a.guard, a.edit = true, w.guard, w.edit
	a.records = slices.Clone(w.records)
}

// state is what the apportioner decides from.
func (s *escrowSearch) state(w *escrowWorld, i int) authority.ApportionState {
	a := &w.apportioners[i]
	state := authority.ApportionState{Now: w.now, Settings: s.snapshots[a.edit], Presence: a.presence, GuardRevision: a.guard}
	for z := range w.zones {
		view := authority.ZoneView{Zone: escrowZoneName(z), Allotment: a.records[z], Report: a.reports[z]}
		if s.variant == VariantNoEscrow {
			view.Report = &wire.ZoneReport{Token: 1, AllotmentRevision: view.Allotment.Revision}
		}
		state.Zones = append(state.Zones, view)
	}
	return state
}

// decide runs the apportioner on what it has read.
func (s *escrowSearch) decide(w *escrowWorld, i int, yield func(string, *escrowWorld)) {
	plan := authority.Apportion(s.state(w, i))
	if len(plan.Writes) == 0 {
		return
	}
	next := w.clone()
	next.apportioners[i].written = &plan
	yield(fmt.Sprintf("a%d decides %+v", i, plan.Changes), next)
}

// commit is the transaction: all compares hold, or nothing is written.
func (s *escrowSearch) commit(w *escrowWorld, i int) string {
	plan := w.apportioners[i].written
	w.apportioners[i].written = nil
	if plan.GuardRevision != w.guard && s.variant != VariantNoGuard {
		return "fails"
	}
	zoneOf := func(zone cluster.ZoneID) int { return int(zone[1] - '0') }
	for _, write := range plan.Writes {
		if w.records[zoneOf(write.Allotment.Zone)].Revision != write.ExpectRevision {
			return "fails"
		}
	}
	w.revision++
	w.guard = w.revision
	for _, write := range plan.Writes {
		record, err := authority.DecodeAllotment(authority.EncodeAllotment(write.Allotment))
		if err != nil {
			panic(err)
		}
		record.Zone, record.Revision = write.Allotment.Zone, w.revision
		w.records[zoneOf(record.Zone)] = record
	}
	return "succeeds"
}

// zoneSteps are the steps of a zone's controllers and the delivery of reports.
func (s *escrowSearch) zoneSteps(w *escrowWorld, z int, yield func(string, *escrowWorld)) {
	zone := &w.zones[z]
	for i := range zone.actors {
		s.actorSteps(w, z, i, yield)
	}
	for i := range zone.actors {
		if zone.actors[i].revision == w.records[z].Revision || i > 0 && s.variant != VariantEndlessLease {
			continue
		}
		next := w.clone()
		next.zones[z].actors[i].readRecord(&next.records[z])
		yield(fmt.Sprintf("controller %d of z%d reads its record", zone.actors[i].token, z), next)
	}
	if w.takeovers > 0 && len(zone.actors) == 1 {
		next := w.clone()
		next.takeovers--
		next.revision++
		holder := escrowActor{token: cluster.FencingToken(next.revision)}
		holder.readRecord(&next.records[z])
		next.zones[z].actors = append([]escrowActor{holder}, next.zones[z].actors...)
		yield(fmt.Sprintf("z%d has a new controller", z), next)
	}
}

func (a *escrowActor) readRecord(record *cluster.Allotment) {
	a.revision, a.limit = record.Revision, record.Limit(escrowModel)
}

// actorSteps: seal, load, unload, report.
func (s *escrowSearch) actorSteps(w *escrowWorld, z, i int, yield func(string, *escrowWorld)) {
	zone := &w.zones[z]
	actor := zone.actors[i]
	who := fmt.Sprintf("controller %d of z%d", actor.token, z)
	if !actor.sealed && zone.token <= actor.token {
		next := w.clone()
		next.zones[z].token = actor.token
		next.zones[z].actors[i].sealed, next.zones[z].actors[i].held = true, zone.loaded
		yield(who+" seals", next)
	}
	if actor.sealed && zone.token == actor.token {
		switch {
		case !zone.loaded && actor.limit > 0:
			next := w.clone()
			next.zones[z].loaded, next.zones[z].actors[i].held = true, true
			yield(who+" loads", next)
		case zone.loaded:
			next := w.clone()
			next.zones[z].loaded, next.zones[z].actors[i].held = false, false
			yield(who+" unloads", next)
		}
	}
	report := &wire.ZoneReport{
		Zone: escrowZoneName(z), Token: actor.token, AllotmentRevision: actor.revision,
		Models: []wire.ZoneModelReport{{Model: escrowModel, Held: int(oneIf(actor.held || !actor.sealed))}},
	}
	next := w.clone()
	for j := range next.apportioners {
		next.apportioners[j].reports[z] = report
	}
	yield(fmt.Sprintf("%s reports %+v", who, report.Models), next)
}

// platformSteps let a zone go and leave the machine list.
func (s *escrowSearch) platformSteps(w *escrowWorld, z int, yield func(string, *escrowWorld)) {
	zone := &w.zones[z]
	if !zone.gone && w.leaves > 0 {
		next := w.clone()
		next.leaves--
		next.zones[z].gone, next.zones[z].loaded = true, false
		yield(fmt.Sprintf("z%d is gone", z), next)
	}
	if zone.gone && zone.listed {
		next := w.clone()
		next.zones[z].listed = false
		yield(fmt.Sprintf("the list drops z%d", z), next)
	}
}

package explore

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/valveslip/valveslip/authority"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/wire"
)

// ApportionScenario is the size of an exploration of apportioning: a few zones of one machine
// each, one model, and apportioners that all act as the only one. A zone's controllers
// follow the takeover protocol; their orders take effect at once.
type ApportionScenario struct {
	Name         string
	Apportioners int
	Zones        int
	// Settled scenarios start after the first edit was divided and read by everyone.
	Settled bool
	// Edits are the accepted settings, in order.
	Edits []ApportionEdit
	// Depth and States bound the exploration; zero States means no bound.
	Depth, States int
	// Takeovers of zones, zones that leave, expiries of the machine list's lag and
	// restarts of apportioners: the most that one run may have of each.
	Takeovers, Leaves, Lapses, Restarts int
}

// ApportionEdit is one revision of the settings: the model's replica limit and the zones that
// may hold it.
type ApportionEdit struct {
	Maximum int
	Zones   []int
}

// zoneState is the actual state of one zone: its machine and its controllers.
type zoneState struct {
	gone, listed bool
	token        cluster.FencingToken
	loaded       bool
	// controllers are the current lease holder and, after a takeover, the superseded
	// holder, which doesn't know of its successor.
	controllers []zoneController
}

// zoneController is one controller of a zone.
type zoneController struct {
	token             cluster.FencingToken
	allotmentRevision int64
	limit             int
	sealed            bool
	believesLoaded    bool
}

// apportionerState is what one apportioner has read.
type apportionerState struct {
	editIndex      int
	tracker        *authority.MachineTracker
	hasReadRecords bool
	records        []cluster.Allotment
	guardRevision  int64
	reports        []*wire.ZoneReport
	// pendingWrite is a transaction that was sent and not applied yet.
	pendingWrite *authority.ApportionPlan
}

// apportionState is one state of the deployment.
type apportionState struct {
	now           time.Time
	revision      int64
	guardRevision int64
	records       []cluster.Allotment
	zones         []zoneState
	apportioners  []apportionerState
	editIndex     int
	// How often each event may still happen.
	takeoversLeft, leavesLeft, lapsesLeft, restartsLeft int
}

// apportionSearch explores one scenario in one variant.
type apportionSearch struct {
	scenario  ApportionScenario
	variant   Variant
	snapshots []*settings.Snapshot
}

// Apportioning explores a scenario of apportioning breadth first until a violation, the depth or
// the bound on states.
func Apportioning(ctx context.Context, scenario ApportionScenario, variant Variant) (Result, error) {
	s := &apportionSearch{scenario: scenario, variant: variant}
	for i, edit := range scenario.Edits {
		policy := settings.Policy{MaxReplicas: edit.Maximum}
		for _, zone := range edit.Zones {
			policy.Zones = append(policy.Zones, zoneID(zone))
		}
		s.snapshots = append(s.snapshots, settings.NewSnapshot(settings.Stamp{Revision: int64(i + 1)},
			[]settings.Model{{ID: apportionModel, Policy: policy}}, nil, nil))
	}
	return searchBreadthFirst(ctx, Result{Name: scenario.Name, Variant: variant}, scenario.Depth, scenario.States, s.initialState(), stateSpace[*apportionState]{
		appendKey: (*apportionState).appendKey, successors: s.successors, findViolation: s.findViolation,
	})
}

const apportionModel = cluster.ModelID("x")

func zoneID(i int) cluster.ZoneID       { return cluster.ZoneID(fmt.Sprintf("z%d", i)) }
func machineID(i int) cluster.MachineID { return cluster.MachineID(fmt.Sprintf("z%d-m", i)) }

// initialState returns a state without records, in which every zone has a controller that
// has sealed its machine.
func (s *apportionSearch) initialState() *apportionState {
	state := &apportionState{
		now: startTime, revision: 1, takeoversLeft: s.scenario.Takeovers, leavesLeft: s.scenario.Leaves,
		lapsesLeft: s.scenario.Lapses, restartsLeft: s.scenario.Restarts,
	}
	for i := range s.scenario.Zones {
		state.revision++
		token := cluster.FencingToken(state.revision)
		state.zones = append(state.zones, zoneState{listed: true, token: token, controllers: []zoneController{{token: token, sealed: true}}})
		state.records = append(state.records, cluster.Allotment{Zone: zoneID(i)})
	}
	for range s.scenario.Apportioners {
		state.apportioners = append(state.apportioners, s.newApportioner(state))
	}
	if s.scenario.Settled {
		s.divideFirstEdit(state)
	}
	return state
}

// divideFirstEdit divides the first edit and lets everyone read the records.
func (s *apportionSearch) divideFirstEdit(state *apportionState) {
	state.apportioners[0].readRecords(state)
	plan := authority.Apportion(s.apportionInput(state, 0))
	state.apportioners[0].pendingWrite = &plan
	s.commit(state, 0)
	for i := range state.zones {
		state.zones[i].controllers[0].readAllotment(&state.records[i])
	}
	for i := range state.apportioners {
		state.apportioners[i].readRecords(state)
	}
}

func (s *apportionSearch) newApportioner(state *apportionState) apportionerState {
	apportioner := apportionerState{
		tracker: authority.NewMachineTracker(machineLag), editIndex: state.editIndex,
		reports: make([]*wire.ZoneReport, s.scenario.Zones),
	}
	state.readMachineList(&apportioner)
	return apportioner
}

func (s *apportionState) readMachineList(apportioner *apportionerState) {
	var list []cluster.Machine
	for i := range s.zones {
		if s.zones[i].listed {
			list = append(list, cluster.Machine{ID: machineID(i), Zone: zoneID(i)})
		}
	}
	apportioner.tracker.RecordList(s.now, list)
}

func (s *apportionState) clone() *apportionState {
	copied := *s
	copied.records = slices.Clone(s.records)
	copied.zones = slices.Clone(s.zones)
	for i := range copied.zones {
		copied.zones[i].controllers = slices.Clone(s.zones[i].controllers)
	}
	copied.apportioners = slices.Clone(s.apportioners)
	for i := range copied.apportioners {
		a := &copied.apportioners[i]
		a.tracker = a.tracker.Clone()
		a.reports = slices.Clone(a.reports)
	}
	return &copied
}

// appendKey appends the canonical encoding of the state.
func (s *apportionState) appendKey(buffer []byte) []byte {
	buffer = appendNumbers(buffer, uint64(s.revision), uint64(s.guardRevision), uint64(s.editIndex),
		uint64(s.takeoversLeft), uint64(s.leavesLeft), uint64(s.lapsesLeft), uint64(s.restartsLeft))
	for i := range s.zones {
		buffer = s.appendRecord(buffer, &s.records[i])
		buffer = s.zones[i].appendKey(buffer)
	}
	for i := range s.apportioners {
		buffer = s.appendApportioner(buffer, &s.apportioners[i])
	}
	return buffer
}

// appendKey appends the zone's canonical encoding.
func (z *zoneState) appendKey(buffer []byte) []byte {
	buffer = appendNumbers(buffer, boolToNumber(z.gone), boolToNumber(z.listed), uint64(z.token), boolToNumber(z.loaded), uint64(len(z.controllers)))
	for _, actor := range z.controllers {
		buffer = appendNumbers(buffer, uint64(actor.token), uint64(actor.allotmentRevision), uint64(actor.limit),
			boolToNumber(actor.sealed), boolToNumber(actor.believesLoaded))
	}
	return buffer
}

func (s *apportionState) appendApportioner(buffer []byte, a *apportionerState) []byte {
	buffer = appendNumbers(buffer, uint64(a.editIndex), boolToNumber(a.hasReadRecords), uint64(a.guardRevision), boolToNumber(a.pendingWrite != nil))
	buffer = a.tracker.AppendState(buffer, s.now)
	for z := range s.zones {
		buffer = appendReport(buffer, a.reports[z])
		if a.hasReadRecords {
			buffer = s.appendRecord(buffer, &a.records[z])
		}
	}
	if a.pendingWrite == nil {
		return buffer
	}
	buffer = appendNumbers(buffer, uint64(a.pendingWrite.GuardRevision), uint64(len(a.pendingWrite.Writes)))
	for i := range a.pendingWrite.Writes {
		write := &a.pendingWrite.Writes[i]
		buffer = appendText(buffer, string(write.Allotment.Zone))
		buffer = appendNumbers(buffer, uint64(write.ExpectRevision))
		buffer = s.appendRecord(buffer, &write.Allotment)
	}
	return buffer
}

func (s *apportionState) appendRecord(buffer []byte, record *cluster.Allotment) []byte {
	movable := s.now.Sub(record.WrittenAt) >= authority.DefaultRebalanceInterval
	buffer = appendNumbers(buffer, uint64(record.Revision), boolToNumber(movable), uint64(len(record.Machines)), uint64(len(record.Models)))
	for i := range record.Models {
		buffer = appendNumbers(buffer, uint64(record.Models[i].MaxReplicas), uint64(record.Models[i].Ceiling))
	}
	return buffer
}

func appendReport(buffer []byte, report *wire.ZoneReport) []byte {
	if report == nil {
		return appendNumbers(buffer, 0)
	}
	return appendNumbers(buffer, 1, uint64(report.Token), uint64(report.AllotmentRevision), uint64(report.Models[0].Held))
}

// findViolation returns a description of the violation when more replicas are loaded than
// the largest count decided so far, and an empty string otherwise.
func (s *apportionSearch) findViolation(state *apportionState) string {
	decided, loaded := 0, 0
	for _, edit := range s.scenario.Edits[:state.editIndex+1] {
		decided = max(decided, edit.Maximum)
	}
	for i := range state.zones {
		if state.zones[i].loaded {
			loaded++
		}
	}
	if loaded > decided {
		return fmt.Sprintf("%d replicas, decided %d", loaded, decided)
	}
	return ""
}

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

// EscrowScenario is the size of an exploration of apportioning: a few zones of
// one machine each, one model, and apportioners that all believe to be the one.
// A zone's controllers follow the takeover protocol, with orders that take
// effect at once.
type EscrowScenario struct {
	Name         string
	Apportioners int
	Zones        int
	// Settled scenarios begin with the first edit divided and read.
	Settled bool
	// Edits are the accepted settings in order.
	Edits []EscrowEdit
	// Depth and States bound the exploration, zero States for no bound.
	Depth, States int
	// Takeovers of zones, zones that go, lapses of the machine list's lag, and
	// apportioners that restart, at most in one run.
	Takeovers, Leaves, Lapses, Restarts int
}

// EscrowEdit is one revision of the settings.
type EscrowEdit struct {
	Maximum int
	Zones   []int
}

// escrowZone is the truth of one zone: its machine and its controllers.
type escrowZone struct {
	gone, listed bool
	token        cluster.FencingToken
	loaded       bool
	// actors are the present holder of the lease and, once it was superseded,
	// the former one, which does not know.
	actors []escrowActor
}

// escrowActor is one controller of a zone.
type escrowActor struct {
	token    cluster.FencingToken
	revision int64
	limit    int
	sealed   bool
	held     bool
}

// escrowApportioner holds what one apportioner has read.
type escrowApportioner struct {
	edit     int
	presence *authority.Presence
	read     bool
	records  []cluster.Allotment
	guard    int64
	reports  []*wire.ZoneReport
	// written is a transaction on its way.
	written *authority.ApportionPlan
}

// escrowWorld is one state.
type escrowWorld struct {
	now          time.Time
	revision     int64
	guard        int64
	records      []cluster.Allotment
	zones        []escrowZone
	apportioners []escrowApportioner
	edit         int
	// What may still happen.
	takeovers, leaves, lapses, restarts int
}

// escrowSearch explores one scenario in one variant.
type escrowSearch struct {
	scenario  EscrowScenario
	variant   Variant
	snapshots []*settings.Snapshot
}

// Escrow explores a scenario of apportioning breadth first.
func Escrow(ctx context.Context, scenario EscrowScenario, variant Variant) (Result, error) {
	s := &escrowSearch{scenario: scenario, variant: variant}
	for i, edit := range scenario.Edits {
		policy := settings.Policy{MaxReplicas: edit.Maximum}
		for _, zone := range edit.Zones {
			policy.Zones = append(policy.Zones, escrowZoneName(zone))
		}
		s.snapshots = append(s.snapshots, settings.NewSnapshot(settings.Stamp{Revision: int64(i + 1)},
			[]settings.Model{{ID: escrowModel, Policy: policy}}, nil, nil))
	}
	return explore(ctx, Result{Name: scenario.Name, Variant: variant}, scenario.Depth, scenario.States, s.initial(), model[*escrowWorld]{
		key: (*escrowWorld).key, successors: s.successors, check: s.check,
	})
}

const escrowModel = cluster.ModelID("x")

func escrowZoneName(i int) cluster.ZoneID       { return cluster.ZoneID(fmt.Sprintf("z%d", i)) }
func escrowMachineName(i int) cluster.MachineID { return cluster.MachineID(fmt.Sprintf("z%d-m", i)) }

// initial has no records; every zone has a controller that sealed its machine.
func (s *escrowSearch) initial() *escrowWorld {
	w := &escrowWorld{
		now: worldStart, revision: 1, takeovers: s.scenario.Takeovers, leaves: s.scenario.Leaves,
		lapses: s.scenario.Lapses, restarts: s.scenario.Restarts,
	}
	for i := range s.scenario.Zones {
		w.revision++
		token := cluster.FencingToken(w.revision)
		w.zones = append(w.zones, escrowZone{listed: true, token: token, actors: []escrowActor{{token: token, sealed: true}}})
		w.records = append(w.records, cluster.Allotment{Zone: escrowZoneName(i)})
	}
	for range s.scenario.Apportioners {
		w.apportioners = append(w.apportioners, s.newApportioner(w))
	}
	if s.scenario.Settled {
		s.settle(w)
	}
	return w
}

// settle divides the first edit and lets everyone read the records.
func (s *escrowSearch) settle(w *escrowWorld) {
	w.apportioners[0].readRecords(w)
	plan := authority.Apportion(s.state(w, 0))
	w.apportioners[0].written = &plan
	s.commit(w, 0)
	for i := range w.zones {
		w.zones[i].actors[0].readRecord(&w.records[i])
	}
	for i := range w.apportioners {
		w.apportioners[i].readRecords(w)
	}
}

func (s *escrowSearch) newApportioner(w *escrowWorld) escrowApportioner {
	a := escrowApportioner{
		presence: authority.NewPresence(machineLag), edit: w.edit,
		reports: make([]*wire.ZoneReport, s.scenario.Zones),
	}
	w.readList(&a)
	return a
}

func (w *escrowWorld) readList(a *escrowApportioner) {
	var list []cluster.Machine
	for i := range w.zones {
		if w.zones[i].listed {
			list = append(list, cluster.Machine{ID: escrowMachineName(i), Zone: escrowZoneName(i)})
		}
	}
	a.presence.Listed(w.now, list)
}

func (w *escrowWorld) clone() *escrowWorld {
	copied := *w
	copied.records = slices.Clone(w.records)
	copied.zones = slices.Clone(w.zones)
	for i := range copied.zones {
		copied.zones[i].actors = slices.Clone(w.zones[i].actors)
	}
	copied.apportioners = slices.Clone(w.apportioners)
	for i := range copied.apportioners {
		a := &copied.apportioners[i]
		a.presence = a.presence.Clone()
		a.reports = slices.Clone(a.reports)
	}
	return &copied
}

// key returns the canonical form of the state.
func (w *escrowWorld) key(buffer []byte) []byte {
	buffer = appendNumbers(buffer, uint64(w.revision), uint64(w.guard), uint64(w.edit),
		uint64(w.takeovers), uint64(w.leaves), uint64(w.lapses), uint64(w.restarts))
	for i := range w.zones {
		buffer = w.appendRecord(buffer, &w.records[i])
		buffer = w.zones[i].key(buffer)
	}
	for i := range w.apportioners {
		buffer = w.appendApportioner(buffer, &w.apportioners[i])
	}
	return buffer
}

// key appends the zone's canonical form.
func (z *escrowZone) key(buffer []byte) []byte {
	buffer = appendNumbers(buffer, oneIf(z.gone), oneIf(z.listed), uint64(z.token), oneIf(z.loaded), uint64(len(z.actors)))
	for _, actor := range z.actors {
		buffer = appendNumbers(buffer, uint64(actor.token), uint64(actor.revision), uint64(actor.limit),
			oneIf(actor.sealed), oneIf(actor.held))
	}
	return buffer
}

func (w *escrowWorld) appendApportioner(buffer []byte, a *escrowApportioner) []byte {
	buffer = appendNumbers(buffer, uint64(a.edit), oneIf(a.read), uint64(a.guard), oneIf(a.written != nil))
	buffer = a.presence.AppendState(buffer, w.now)
	for z := range w.zones {
		buffer = appendReport(buffer, a.reports[z])
		if a.read {
			buffer = w.appendRecord(buffer, &a.records[z])
		}
	}
	if a.written == nil {
		return buffer
	}
	buffer = appendNumbers(buffer, uint64(a.written.GuardRevision), uint64(len(a.written.Writes)))
	for i := range a.written.Writes {
		write := &a.written.Writes[i]
		buffer = appendText(buffer, string(write.Allotment.Zone))
		buffer = appendNumbers(buffer, uint64(write.ExpectRevision))
		buffer = w.appendRecord(buffer, &write.Allotment)
	}
	return buffer
}

func (w *escrowWorld) appendRecord(buffer []byte, record *cluster.Allotment) []byte {
	movable := w.now.Sub(record.WrittenAt) >= authority.DefaultRebalanceInterval
	buffer = appendNumbers(buffer, uint64(record.Revision), oneIf(movable), uint64(len(record.Machines)), uint64(len(record.Models)))
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

// check compares the truth with the largest count decided so far.
func (s *escrowSearch) check(w *escrowWorld) string {
	decided, loaded := 0, 0
	for _, edit := range s.scenario.Edits[:w.edit+1] {
		decided = max(decided, edit.Maximum)
	}
	for i := range w.zones {
		if w.zones[i].loaded {
			loaded++
		}
	}
	if loaded > decided {
		return fmt.Sprintf("%d replicas, decided %d", loaded, decided)
	}
	return ""
}

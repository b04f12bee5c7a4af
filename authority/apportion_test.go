package authority

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/wire"
)

// divisionFixture stores the records and reports of a few zones and applies plans to them.
type divisionFixture struct {
	t        *testing.T
	now      time.Time
	revision int64
	tracker  *MachineTracker
	machines []cluster.Machine
	records  map[cluster.ZoneID]cluster.Allotment
	reports  map[cluster.ZoneID]*wire.ZoneReport
	models   []settings.Model
}

func newDivisionFixture(t *testing.T, zones, machines int) *divisionFixture {
	fixture := &divisionFixture{
		t: t, now: testStart, revision: 100, tracker: NewMachineTracker(DefaultMachineLag),
		records: make(map[cluster.ZoneID]cluster.Allotment), reports: make(map[cluster.ZoneID]*wire.ZoneReport),
	}
	for zone := range zones {
		for machine := range machines {
			fixture.machines = append(fixture.machines, cluster.Machine{
				ID: cluster.MachineID(fmt.Sprintf("z%d-m%d", zone, machine)), Zone: cluster.ZoneID(fmt.Sprintf("z%d", zone)),
			})
		}
	}
	fixture.tracker.RecordList(fixture.now, fixture.machines)
	fixture.now = fixture.now.Add(DefaultReportMaxAge)
	return fixture
}

func (d *divisionFixture) setModel(id cluster.ModelID, maximum int, zones ...cluster.ZoneID) {
	d.models = []settings.Model{{ID: id, Policy: settings.Policy{MaxReplicas: maximum, Zones: zones}}}
}

// apportion computes one plan and applies it, as the transaction would.
func (d *divisionFixture) apportion() ApportionPlan {
	state := ApportionInput{
		Now: d.now, Tracker: d.tracker, GuardRevision: d.revision,
		Settings: settings.NewSnapshot(settings.Stamp{Revision: 1}, d.models, nil, nil),
	}
	for _, zone := range sortedKeys(d.records) {
		state.Zones = append(state.Zones, ZoneView{Zone: zone, Allotment: d.records[zone], Report: d.reports[zone]})
	}
	plan := Apportion(state)
	d.revision++
	for _, write := range plan.Writes {
		write.Allotment.Revision = d.revision
		d.records[write.Allotment.Zone] = write.Allotment
	}
	return plan
}

// reportHeld records a report that the zone holds a number of replicas of model x.
func (d *divisionFixture) reportHeld(zone cluster.ZoneID, token cluster.FencingToken, held int) {
	d.reports[zone] = &wire.ZoneReport{
		Zone: zone, Token: token, AllotmentRevision: d.records[zone].Revision,
		Models: []wire.ZoneModelReport{{Model: "x", Held: held}},
	}
}

func (d *divisionFixture) requireLimit(zone cluster.ZoneID, want int) {
	d.t.Helper()
	record := d.records[zone]
	if got := record.Limit("x"); got != want {
		d.t.Fatalf("zone %s is allowed %d, want %d", zone, got, want)
	}
}

// TestRaisedCountWaitsUntilLoweredZoneConfirms guards against a model loaded in two zones
// at once: a zone whose count was lowered may still hold its replica until it reports,
// under the lowered record, that it holds none.
func TestRaisedCountWaitsUntilLoweredZoneConfirms(t *testing.T) {
	fixture := newDivisionFixture(t, 2, 2)
	fixture.setModel("x", 1, "z0")
	fixture.apportion()
	fixture.requireLimit("z0", 1)
	fixture.setModel("x", 1, "z1")
	fixture.apportion()
	fixture.requireLimit("z0", 0)
	fixture.requireLimit("z1", 0)
	fixture.reportHeld("z0", 7, 1)
	fixture.apportion()
	fixture.requireLimit("z1", 0)
	fixture.reportHeld("z0", 7, 0)
	fixture.reports["z0"].AllotmentRevision--
	fixture.apportion()
	fixture.requireLimit("z1", 0)
	fixture.reportHeld("z0", 7, 0)
	fixture.apportion()
	fixture.requireLimit("z1", 1)
	if plan := fixture.apportion(); len(plan.Writes) != 0 {
		t.Fatalf("%d writes in a settled state", len(plan.Writes))
	}
}

// TestCountMovesOnceZoneIsGonePastListLag guards against a count that stays with a zone
// that no longer exists, and against moving it earlier than the machine list's lag, when
// the zone may still hold the replica.
func TestCountMovesOnceZoneIsGonePastListLag(t *testing.T) {
	fixture := newDivisionFixture(t, 2, 2)
	fixture.setModel("x", 1)
	fixture.apportion()
	holder, other := cluster.ZoneID("z0"), cluster.ZoneID("z1")
	if record := fixture.records[other]; record.Limit("x") == 1 {
		holder, other = other, holder
	}
	var remaining []cluster.Machine
	for _, machine := range fixture.machines {
		if machine.Zone == other {
			remaining = append(remaining, machine)
		}
	}
	fixture.tracker.RecordList(testStart.Add(DefaultMachineLag), remaining)
	fixture.apportion()
	fixture.requireLimit(other, 0)
	fixture.tracker.RecordList(testStart.Add(DefaultMachineLag+time.Second), remaining)
	fixture.apportion()
	fixture.requireLimit(holder, 0)
	fixture.requireLimit(other, 1)
}

// TestFirstDivisionOfLargeZoneWaitsForPoolReport guards against candidates chosen from the
// wrong engine pool: before the first report the pool of each machine is unknown.
func TestFirstDivisionOfLargeZoneWaitsForPoolReport(t *testing.T) {
	fixture := newDivisionFixture(t, 1, DefaultCandidateCount+4)
	fixture.models = []settings.Model{{ID: "x", Policy: settings.Policy{MaxReplicas: 1, EnginePool: "ledger"}}}
	fixture.now = testStart
	if plan := fixture.apportion(); plan.Refused != RefusedNoReports {
		t.Fatalf("refused %q, want %q", plan.Refused, RefusedNoReports)
	}
	ledger := []cluster.MachineID{"z0-m3", "z0-m4"}
	fixture.records["z0"] = cluster.Allotment{Zone: "z0"}
	fixture.reports["z0"] = &wire.ZoneReport{Zone: "z0", Token: 7, Pools: []wire.PoolReport{
		{Pool: "assistant", Machines: []cluster.MachineID{
			"z0-m0", "z0-m1", "z0-m10", "z0-m11", "z0-m2", "z0-m5", "z0-m6", "z0-m7", "z0-m8", "z0-m9"}},
		{Pool: "ledger", Machines: ledger},
	}}
	fixture.apportion()
	fixture.requireLimit("z0", 1)
	if got := fixture.records["z0"].Models[0].Candidates; !slices.Equal(got, ledger) {
		t.Fatalf("candidates %v, want %v", got, ledger)
	}
}

// TestLoweredMaximumLowersEveryZone guards against zones that keep their former count
// after the settings lowered the maximum.
func TestLoweredMaximumLowersEveryZone(t *testing.T) {
	fixture := newDivisionFixture(t, 3, 3)
	fixture.setModel("x", 6)
	fixture.apportion()
	for zone := range 3 {
		fixture.requireLimit(cluster.ZoneID(fmt.Sprintf("z%d", zone)), 2)
	}
	fixture.setModel("x", 3)
	fixture.apportion()
	for zone := range 3 {
		fixture.requireLimit(cluster.ZoneID(fmt.Sprintf("z%d", zone)), 1)
	}
}

// TestEncodedAllotmentDecodesUnchanged guards against fields lost in storage and against a
// truncated record that decodes as zero values.
func TestEncodedAllotmentDecodesUnchanged(t *testing.T) {
	want := cluster.Allotment{
		SettingsRevision: 9, WrittenAt: testStart, Machines: []cluster.MachineID{"a", "b"},
		Models: []cluster.ModelAllotment{
			{Model: "x", MaxReplicas: 2, Ceiling: 3, Candidates: []cluster.MachineID{"b"}}, {Model: "y", MaxReplicas: 1},
		},
	}
	got, err := DecodeAllotment(EncodeAllotment(want))
	if err != nil {
		t.Fatal(err)
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("got %v, want %v", got, want)
	}
	if _, err := DecodeAllotment([]byte{1, 2}); err == nil {
		t.Fatal("a truncated record was read")
	}
}

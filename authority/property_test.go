package authority

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/wire"
)

// simulatedZone is a zone whose controller follows the record that it has read.
type simulatedZone struct {
	readRecord cluster.Allotment
	held       map[cluster.ModelID]int
}

// simulatedDeployment is the actual state of a deployment in the property test.
type simulatedDeployment struct {
	*divisionFixture
	zones map[cluster.ZoneID]*simulatedZone
}

const propertyZones = 3

func newSimulatedDeployment(t *rapid.T) *simulatedDeployment {
	deployment := &simulatedDeployment{
		divisionFixture: newDivisionFixture(nil, propertyZones, rapid.IntRange(1, 12).Draw(t, "machines")),
		zones:           make(map[cluster.ZoneID]*simulatedZone),
	}
	for zone := range propertyZones {
		deployment.zones[deployment.zoneName(zone)] = &simulatedZone{held: make(map[cluster.ModelID]int)}
	}
	return deployment
}

func (d *simulatedDeployment) zoneName(i int) cluster.ZoneID {
	return cluster.ZoneID(fmt.Sprintf("z%d", i))
}

// drawSettings draws the zones of every model. A model's decided count never changes, so
// it is an upper bound on the replicas at all times.
func (d *simulatedDeployment) drawSettings(t *rapid.T) {
	d.models = nil
	for i, id := range []cluster.ModelID{"a", "b", "x"} {
		var zones []cluster.ZoneID
		for zone := range propertyZones {
			if rapid.Bool().Draw(t, "allowed") {
				zones = append(zones, d.zoneName(zone))
			}
		}
		model := settings.Model{ID: id, Policy: settings.Policy{MaxReplicas: i + 1, Zones: zones}}
		if id == "a" {
			model.Base = "x"
		}
		d.models = append(d.models, model)
	}
}

// sendReport reports what the zone holds under the record that it has read.
func (d *simulatedDeployment) sendReport(zone cluster.ZoneID) {
	simulated := d.zones[zone]
	report := &wire.ZoneReport{Zone: zone, Token: 1, AllotmentRevision: simulated.readRecord.Revision}
	for _, model := range sortedKeys(simulated.held) {
		if simulated.held[model] > 0 {
			report.Models = append(report.Models, wire.ZoneModelReport{Model: model, Held: simulated.held[model], Wanted: simulated.held[model]})
		}
	}
	d.reports[zone] = report
}

// stepController performs one random action of a zone's controller.
func (d *simulatedDeployment) stepController(t *rapid.T) {
	zone := d.zoneName(rapid.IntRange(0, propertyZones-1).Draw(t, "zone"))
	simulated := d.zones[zone]
	switch rapid.SampledFrom([]string{"read", "load", "unload", "report"}).Draw(t, "act") {
	case "read":
		simulated.readRecord = d.records[zone]
	case "load":
		for i := range simulated.readRecord.Models {
			model := &simulated.readRecord.Models[i]
			simulated.held[model.Model] = max(simulated.held[model.Model], model.MaxReplicas)
		}
	case "unload":
		model := rapid.SampledFrom([]cluster.ModelID{"a", "b", "x"}).Draw(t, "model")
		simulated.held[model] = max(0, simulated.held[model]-1)
	case "report":
		d.sendReport(zone)
	}
}

func (d *simulatedDeployment) requireCountsWithinDecision(t *rapid.T) {
	for _, model := range d.models {
		held := 0
		for _, zone := range d.zones {
			held += zone.held[model.ID]
		}
		if held > model.Policy.MaxReplicas {
			t.Fatalf("%d replicas of %s, decided %d", held, model.ID, model.Policy.MaxReplicas)
		}
	}
}

// settle lets every controller read its record, unload what is no longer allowed and
// report.
func (d *simulatedDeployment) settle() {
	for _, id := range sortedKeys(d.zones) {
		zone := d.zones[id]
		zone.readRecord = d.records[id]
		for model, held := range zone.held {
			zone.held[model] = min(held, zone.readRecord.Limit(model))
		}
		d.sendReport(id)
	}
	d.now = d.now.Add(DefaultRebalanceInterval)
	d.tracker.RecordList(d.now, d.machines)
}

// TestDivisionStaysWithinDecidedCountAndSettles checks, for random settings, reports and
// actions of the controllers, that the replicas of a model never exceed its decided count
// and that the records stop changing once everything is read and reported.
func TestDivisionStaysWithinDecidedCountAndSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deployment := newSimulatedDeployment(t)
		deployment.drawSettings(t)
		for range rapid.IntRange(0, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				deployment.drawSettings(t)
			case 1:
				deployment.now = deployment.now.Add(time.Second)
				deployment.apportion()
			case 2, 3:
				deployment.apportion()
			default:
				deployment.stepController(t)
			}
			deployment.requireCountsWithinDecision(t)
		}
		writes := 1
		for rounds := 0; writes > 0; rounds++ {
			if rounds > 12 {
				t.Fatalf("records are still written after %d settled rounds", rounds)
			}
			deployment.settle()
			writes = len(deployment.apportion().Writes)
			deployment.requireCountsWithinDecision(t)
		}
		deployment.requireFullyAllotted(t)
	})
}

// requireFullyAllotted checks that a settled division allots the whole decided count, up
// to the capacity of the zones.
func (d *simulatedDeployment) requireFullyAllotted(t *rapid.T) {
	for i := range d.models {
		model := &d.models[i]
		if model.Base != "" {
			continue
		}
		capacity, allotted := 0, 0
		for _, id := range sortedKeys(d.zones) {
			record := d.records[id]
			allotted += record.Limit(model.ID)
			if len(model.Policy.Zones) == 0 || slices.Contains(model.Policy.Zones, id) {
				capacity += len(d.machines) / propertyZones
			}
		}
		if want := min(capacity, model.Policy.MaxReplicas); allotted != want {
			t.Fatalf("%d of %d replicas of %s are allotted", allotted, want, model.ID)
		}
	}
}

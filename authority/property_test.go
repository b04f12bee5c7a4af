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

// zoneTruth is a zone whose controller obeys the record that it has read.
type zoneTruth struct {
	record cluster.Allotment
	held   map[cluster.ModelID]int
}

// divisionTruth is a whole deployment for the property test.
type divisionTruth struct {
	*divisionTest
	zones map[cluster.ZoneID]*zoneTruth
}

const propertyZones = 3

func newDivisionTruth(t *rapid.T) *divisionTruth {
	truth := &divisionTruth{
		divisionTest: newDivisionTest(nil, propertyZones, rapid.IntRange(1, 12).Draw(t, "machines")),
		zones:        make(map[cluster.ZoneID]*zoneTruth),
	}
	for zone := range propertyZones {
		truth.zones[truth.zoneName(zone)] = &zoneTruth{held: make(map[cluster.ModelID]int)}
	}
	return truth
}

func (d *divisionTruth) zoneName(i int) cluster.ZoneID { return cluster.ZoneID(fmt.Sprintf("z%d", i)) }

// edit draws new policies; every model keeps its decided count, so the count is
// a bound at all times.
func (d *divisionTruth) edit(t *rapid.T) {
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

// report sends what the zone holds under the record that it has read.
func (d *divisionTruth) report(zone cluster.ZoneID) {
	truth := d.zones[zone]
	report := &wire.ZoneReport{Zone: zone, Token: 1, AllotmentRevision: truth.record.Revision}
	for _, model := range sortedKeys(truth.held) {
		if truth.held[model] > 0 {
			report.Models = append(report.Models, wire.ZoneModelReport{Model: model, Held: truth.held[model], Wanted: truth.held[model]})
		}
	}
	d.reports[zone] = report
}

// act lets a zone's controller do one thing.
func (d *divisionTruth) act(t *rapid.T) {
	zone := d.zoneName(rapid.IntRange(0, propertyZones-1).Draw(t, "zone"))
	truth := d.zones[zone]
	switch rapid.SampledFrom([]string{"read", "load", "unload", "report"}).Draw(t, "act") {
	case "read":
		truth.record = d.records[zone]
	case "load":
		for i := range truth.record.Models {
			model := &truth.record.Models[i]
			truth.held[model.Model] = max(truth.held[model.Model], model.MaxReplicas)
		}
	case "unload":
		model := rapid.SampledFrom([]cluster.ModelID{"a", "b", "x"}).Draw(t, "model")
		truth.held[model] = max(0, truth.held[model]-1)
	case "report":
		d.report(zone)
	}
}

func (d *divisionTruth) check(t *rapid.T) {
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

// settle lets everyone read, unload what is no longer allowed and report.
func (d *divisionTruth) settle() {
	for _, id := range sortedKeys(d.zones) {
		zone := d.zones[id]
		zone.record = d.records[id]
		for model, held := range zone.held {
			zone.held[model] = min(held, zone.record.Limit(model))
		}
		d.report(id)
	}
	d.now = d.now.Add(DefaultRebalanceInterval)
	d.presence.Listed(d.now, d.machines)
}

func TestDivisionNeverExceedsTheDecidedCountAndSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth := newDivisionTruth(t)
		truth.edit(t)
		for range rapid.IntRange(0, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				truth.edit(t)
			case 1:
				truth.now = truth.now.Add(time.Second)
				truth.round()
			case 2, 3:
				truth.round()
			default:
				truth.act(t)
			}
			truth.check(t)
		}
		writes := 1
		for rounds := 0; writes > 0; rounds++ {
			if rounds > 12 {
				t.Fatalf("records are still written after %d settled rounds", rounds)
			}
			truth.settle()
			writes = len(truth.round().Writes)
			truth.check(t)
		}
		truth.checkDivided(t)
	})
}

// checkDivided checks that a settled division gives out the whole count.
func (d *divisionTruth) checkDivided(t *rapid.T) {
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

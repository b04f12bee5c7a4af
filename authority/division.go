package authority

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/wire"
)

// division is the working state of one round of Apportion.
type division struct {
	state *ApportionInput
	// zones are sorted by ID.
	zones []*zoneDivision
	// baseTargets has the targets of each base model, in the order of zones.
	baseTargets map[cluster.ModelID][]int
	// zoneModels and rankedZones are reused for each model: its state in each zone, and
	// the indexes of the zones in the model's rendezvous order.
	zoneModels  []zoneModel
	rankedZones []int
}

// zoneDivision is the working state of one zone in a round.
type zoneDivision struct {
	view *ZoneView
	// listedMachines have not gone from the machine list; sorted by ID.
	listedMachines []cluster.Machine
	// nextRecordMachines are the machines of the next record, sorted.
	nextRecordMachines []cluster.MachineID
	// usableMachines is the number of listed machines that are not leaving, fittingByPool
	// the number of those that can take a model of an engine pool.
	usableMachines  int
	fittingByPool   map[string]int
	leavingMachines map[cluster.MachineID]bool
	// remainingMachines is the number of the stored record's machines that have not gone.
	remainingMachines int
	currentEntries    map[cluster.ModelID]*cluster.ModelAllotment
	// reportIsConfirmation is true when the report is evidence of what the zone holds
	// under its stored record.
	reportIsConfirmation bool
	// reportIsFresh is true when the report may be used for balance and demand.
	reportIsFresh bool
	modelReports  map[cluster.ModelID]wire.ZoneModelReport
	// poolByMachine has the engine pool of each machine where it is known.
	poolByMachine map[cluster.MachineID]string
	// mayRebalance is true when the record is old enough to move counts for balance.
	mayRebalance bool

	nextEntries       []cluster.ModelAllotment
	countChanges      []CountChange
	candidatesChanged bool
}

// zoneModel is the working state of one model in one zone.
type zoneModel struct {
	currentEntry *cluster.ModelAllotment
	// currentLimit is the stored record's count, upperBound the most replicas that the
	// zone may hold before this round, capacity the number of machines that can hold the
	// model.
	currentLimit, upperBound, capacity int
	staticTarget, target, nextLimit    int
}

func newDivision(state *ApportionInput) *division {
	byZone := make(map[cluster.ZoneID]*zoneDivision)
	for i := range state.Zones {
		byZone[state.Zones[i].Zone] = newZoneDivision(state, &state.Zones[i])
	}
	for _, machine := range state.Tracker.Retained() {
		zone := byZone[machine.Zone]
		if zone == nil {
			zone = newZoneDivision(state, &ZoneView{Zone: machine.Zone})
			byZone[machine.Zone] = zone
		}
		zone.listedMachines = append(zone.listedMachines, machine)
		if machine.Leaving {
			zone.leavingMachines[machine.ID] = true
		} else {
			zone.usableMachines++
		}
	}
	d := &division{state: state, baseTargets: make(map[cluster.ModelID][]int)}
	for _, id := range sortedKeys(byZone) {
		zone := byZone[id]
		zone.mergeMachines(state.Tracker)
		d.zones = append(d.zones, zone)
	}
	d.zoneModels = make([]zoneModel, len(d.zones))
	return d
}

func newZoneDivision(state *ApportionInput, view *ZoneView) *zoneDivision {
	zone := &zoneDivision{
		view:            view,
		fittingByPool:   make(map[string]int),
		leavingMachines: make(map[cluster.MachineID]bool),
		currentEntries:  make(map[cluster.ModelID]*cluster.ModelAllotment, len(view.Allotment.Models)),
		mayRebalance:    state.Now.Sub(view.Allotment.WrittenAt) >= state.Config.RebalanceInterval,
	}
	for i := range view.Allotment.Models {
		entry := &view.Allotment.Models[i]
		zone.currentEntries[entry.Model] = entry
	}
	if view.Report == nil {
		return zone
	}
	zone.reportIsConfirmation = reportConfirmsRecord(view)
	zone.reportIsFresh = zone.reportIsConfirmation && view.ReportAge <= state.Config.ReportMaxAge
	zone.modelReports = make(map[cluster.ModelID]wire.ZoneModelReport, len(view.Report.Models))
	for _, report := range view.Report.Models {
		zone.modelReports[report.Model] = report
	}
	zone.poolByMachine = make(map[cluster.MachineID]string, len(view.Report.Pools))
	for _, pool := range view.Report.Pools {
		for _, id := range pool.Machines {
			zone.poolByMachine[id] = pool.Pool
		}
	}
	return zone
}

// reportConfirmsRecord reports whether the zone's report proves what the zone holds under
// its stored record. A controller uses a record only if it read the record while it
// certainly held the lease, and every later holder first reads that record or a newer one.
// So no other controller of the zone acts on an older record. Machines that the reporting
// controller has not sealed are counted in the report as holding the model.
func reportConfirmsRecord(view *ZoneView) bool {
	report := view.Report
	return report.Token != 0 && view.Allotment.Revision != 0 && report.AllotmentRevision >= view.Allotment.Revision
}

// mergeMachines sets nextRecordMachines to the record's machines that have not gone and
// the listed ones.
func (z *zoneDivision) mergeMachines(tracker *MachineTracker) {
	for _, id := range z.view.Allotment.Machines {
		if !tracker.Gone(id) {
			z.nextRecordMachines = append(z.nextRecordMachines, id)
		}
	}
	z.remainingMachines = len(z.nextRecordMachines)
	for _, machine := range z.listedMachines {
		z.nextRecordMachines = append(z.nextRecordMachines, machine.ID)
	}
	slices.Sort(z.nextRecordMachines)
	z.nextRecordMachines = slices.Compact(z.nextRecordMachines)
}

// divide decides the counts of all models. Base models come first, because an adapter
// needs a replica of its base model on the same machine. Models that the settings no
// longer name come last.
func (d *division) divide() {
	for _, adapterPass := range []bool{false, true} {
		for i := range d.state.Settings.Models {
			model := &d.state.Settings.Models[i]
			if (model.Base != "") == adapterPass {
				d.divideModel(model)
			}
		}
	}
	removed := make(map[cluster.ModelID]bool)
	for _, zone := range d.zones {
		for id := range zone.currentEntries {
			if d.state.Settings.Model(id) == nil {
				removed[id] = true
			}
		}
	}
	for _, id := range sortedKeys(removed) {
		d.divideModel(&settings.Model{ID: id})
	}
}

// divideModel divides one model's decided count over the zones.
func (d *division) divideModel(model *settings.Model) {
	decided := max(0, model.Policy.MaxReplicas)
	for i, zone := range d.zones {
		d.zoneModels[i] = d.newZoneModel(zone, model)
	}
	d.rankZones(model)
	d.chooseTargets(decided)
	if model.Base == "" {
		targets := make([]int, len(d.zoneModels))
		for i := range d.zoneModels {
			targets[i] = d.zoneModels[i].target
		}
		d.baseTargets[model.ID] = targets
	}
	d.limitByUpperBounds(decided)
	for i, zone := range d.zones {
		d.addToNextRecord(zone, model, &d.zoneModels[i])
	}
}

// newZoneModel returns the model's current state in the zone.
func (d *division) newZoneModel(zone *zoneDivision, model *settings.Model) zoneModel {
	c := zoneModel{currentEntry: zone.currentEntries[model.ID]}
	if c.currentEntry != nil {
		c.currentLimit = c.currentEntry.MaxReplicas
		c.upperBound = zone.upperBound(c.currentEntry, d.state.Tracker)
	}
	policy := &model.Policy
	if policy.MaxReplicas <= 0 || (len(policy.Zones) > 0 && !slices.Contains(policy.Zones, zone.view.Zone)) {
		return c
	}
	c.capacity = min(d.wantedCandidates(zone, model), zone.countFittingMachines(policy.EnginePool))
	if model.Base != "" {
		c.capacity = min(c.capacity, d.baseModelTarget(zone, model.Base))
	}
	return c
}

// baseModelTarget returns the target of the base model in the zone.
func (d *division) baseModelTarget(zone *zoneDivision, base cluster.ModelID) int {
	targets := d.baseTargets[base]
	if targets == nil {
		return 0
	}
	return targets[slices.Index(d.zones, zone)]
}

// upperBound returns the largest number of replicas that the zone can hold under its
// record. A count granted earlier is included until a report confirms the lower one, and a
// machine holds at most one replica of a model.
func (z *zoneDivision) upperBound(entry *cluster.ModelAllotment, tracker *MachineTracker) int {
	bound := max(entry.MaxReplicas, entry.Ceiling)
	if z.reportIsConfirmation {
		bound = min(bound, max(entry.MaxReplicas, z.modelReports[entry.Model].Held))
	}
	if len(entry.Candidates) == 0 {
		return min(bound, z.remainingMachines)
	}
	if z.allMachinesRemain() {
		return min(bound, len(entry.Candidates))
	}
	alive := 0
	for _, id := range entry.Candidates {
		if !tracker.Gone(id) {
			alive++
		}
	}
	return min(bound, alive)
}

// allMachinesRemain reports whether no machine of the record has gone.
func (z *zoneDivision) allMachinesRemain() bool {
	return z.remainingMachines == len(z.view.Allotment.Machines)
}

// rankZones orders the zones by weighted rendezvous hashing of the model, or of the base
// model for an adapter, so that adding or removing a zone moves few models. A zone's
// weight is its number of usable machines.
func (d *division) rankZones(model *settings.Model) {
	name := model.ID
	if model.Base != "" {
		name = model.Base
	}
	scores := make([]float64, len(d.zones))
	d.rankedZones = d.rankedZones[:0]
	for i, zone := range d.zones {
		d.rankedZones = append(d.rankedZones, i)
		hash := hashPair(string(name), string(zone.view.Zone))
		uniform := (float64(hash>>11) + 0.5) / (1 << 53)
		scores[i] = -float64(zone.usableMachines) / math.Log(uniform)
	}
	slices.SortStableFunc(d.rankedZones, func(a, b int) int {
		switch {
		case scores[a] > scores[b]:
			return -1
		case scores[a] < scores[b]:
			return 1
		}
		return 0
	})
}

// hashPair hashes two names. The zero byte between them keeps different pairs apart.
func hashPair(a, b string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(a)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(b)
	return digest.Sum64()
}

// limitByUpperBounds turns the targets into the next counts. A count can always be
// lowered. A count is raised beyond the zone's upper bound only by what the upper bounds
// of all zones leave of the decided count.
func (d *division) limitByUpperBounds(decided int) {
	room := decided
	for i := range d.zoneModels {
		d.zoneModels[i].nextLimit = min(d.zoneModels[i].target, d.zoneModels[i].upperBound)
		room -= d.zoneModels[i].upperBound
	}
	for _, i := range d.rankedZones {
		c := &d.zoneModels[i]
		if raise := min(c.target-c.nextLimit, room); raise > 0 {
			c.nextLimit += raise
			room -= raise
		}
	}
}

// addToNextRecord adds the model's entry to the zone's next record.
func (d *division) addToNextRecord(zone *zoneDivision, model *settings.Model, c *zoneModel) {
	if c.nextLimit != c.currentLimit {
		zone.countChanges = append(zone.countChanges, CountChange{
			Zone: zone.view.Zone, Model: model.ID, From: c.currentLimit, To: c.nextLimit, Wanted: c.target,
		})
	}
	if c.nextLimit == 0 && c.upperBound == 0 {
		return
	}
	entry := cluster.ModelAllotment{Model: model.ID, MaxReplicas: c.nextLimit}
	if c.nextLimit > 0 {
		entry.Candidates = d.chooseCandidates(zone, model, c)
		zone.candidatesChanged = zone.candidatesChanged ||
			c.currentEntry != nil && !slices.Equal(entry.Candidates, c.currentEntry.Candidates)
	} else {
		entry.Candidates = zone.remainingCandidates(c.currentEntry, d.state.Tracker)
	}
	if c.upperBound > c.nextLimit {
		entry.Ceiling = c.upperBound
	}
	zone.nextEntries = append(zone.nextEntries, entry)
}

package authority

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/wire"
)

// division is the work of one round.
type division struct {
	state *ApportionState
	// zones sorted by ID.
	zones []*zoneDivision
	// targets of base models by model, one count a zone in the zones' order.
	targets map[cluster.ModelID][]int
	// scratch
	cells  []cell
	ranked []int
}

// zoneDivision is one zone in a round.
type zoneDivision struct {
	view *ZoneView
	// listed are the machines that have not gone, sorted by ID.
	listed []cluster.Machine
	// machines of the next record, sorted.
	machines []cluster.MachineID
	// usable counts listed machines that are not leaving, fitting those that can
	// take a model of the engine pool.
	usable  int
	fitting map[string]int
	leaving map[cluster.MachineID]bool
	// alive counts the record's machines that have not gone.
	alive   int
	current map[cluster.ModelID]*cluster.ModelAllotment
	// confirmed reports are evidence of what the zone holds under its record.
	confirmed bool
	// fresh reports may be used for balance and demand.
	fresh   bool
	reports map[cluster.ModelID]wire.ZoneModelReport
	// pools gives the engine pool of machines where it is known.
	pools map[cluster.MachineID]string
	// movable: the record is old enough to move counts for balance.
	movable bool

	next              []cluster.ModelAllotment
	changes           []CountChange
	candidatesChanged bool
}

// cell is one model in one zone during its division.
type cell struct {
	entry *cluster.ModelAllotment
	// limit is the record's count, bound the most that the zone may hold
	// before this round, capacity the machines that can hold the model.
	limit, bound, capacity int
	static, target, count  int
}

func newDivision(state *ApportionState) *division {
	byZone := make(map[cluster.ZoneID]*zoneDivision)
	for i := range state.Zones {
		byZone[state.Zones[i].Zone] = newZoneDivision(state, &state.Zones[i])
	}
	for _, machine := range state.Presence.Retained() {
		zone := byZone[machine.Zone]
		if zone == nil {
			zone = newZoneDivision(state, &ZoneView{Zone: machine.Zone})
			byZone[machine.Zone] = zone
		}
		zone.listed = append(zone.listed, machine)
		if machine.Leaving {
			zone.leaving[machine.ID] = true
		} else {
			zone.usable++
		}
	}
	d := &division{state: state, targets: make(map[cluster.ModelID][]int)}
	for _, id := range sortedKeys(byZone) {
		zone := byZone[id]
		zone.nextMachines(state.Presence)
		d.zones = append(d.zones, zone)
	}
	d.cells = make([]cell, len(d.zones))
	return d
}

func newZoneDivision(state *ApportionState, view *ZoneView) *zoneDivision {
	zone := &zoneDivision{
		view:    view,
		fitting: make(map[string]int),
		leaving: make(map[cluster.MachineID]bool),
		current: make(map[cluster.ModelID]*cluster.ModelAllotment, len(view.Allotment.Models)),
		movable: state.Now.Sub(view.Allotment.WrittenAt) >= state.Config.RebalanceInterval,
	}
	for i := range view.Allotment.Models {
		entry := &view.Allotment.Models[i]
		zone.current[entry.Model] = entry
	}
	if view.Report == nil {
		return zone
	}
	zone.confirmed = confirms(view)
	zone.fresh = zone.confirmed && view.ReportAge <= state.Config.ReportMaxAge
	zone.reports = make(map[cluster.ModelID]wire.ZoneModelReport, len(view.Report.Models))
	for _, report := range view.Report.Models {
		zone.reports[report.Model] = report
	}
	zone.pools = make(map[cluster.MachineID]string, len(view.Report.Pools))
	for _, pool := range view.Report.Pools {
		for _, id := range pool.Machines {
			zone.pools[id] = pool.Pool
		}
	}
	return zone
}

// confirms reports whether the zone's report is evidence under its record. A
// controller uses a record only when it read it while it certainly held the
// lease, and every later holder reads that record or a newer one first: so no
// other controller of the zone goes by an older record unseen by the reporter,
// which counts the machines that it has not sealed as holding the model.
func confirms(view *ZoneView) bool {
	report := view.Report
	return report.Token != 0 && view.Allotment.Revision != 0 && report.AllotmentRevision >= view.Allotment.Revision
}

// nextMachines adds listed machines to the record's and takes off gone ones.
func (z *zoneDivision) nextMachines(presence *Presence) {
	for _, id := range z.view.Allotment.Machines {
		if !presence.Gone(id) {
			z.machines = append(z.machines, id)
		}
	}
	z.alive = len(z.machines)
	for _, machine := range z.listed {
		z.machines = append(z.machines, machine.ID)
	}
	slices.Sort(z.machines)
	z.machines = slices.Compact(z.machines)
}

// divide decides all models: base models first, since an adapter's replicas
// stand beside its base model's; then those that the settings no longer name.
func (d *division) divide() {
	for _, adapters := range []bool{false, true} {
		for i := range d.state.Settings.Models {
			model := &d.state.Settings.Models[i]
			if (model.Base != "") == adapters {
				d.model(model)
			}
		}
	}
	removed := make(map[cluster.ModelID]bool)
	for _, zone := range d.zones {
		for id := range zone.current {
			if d.state.Settings.Model(id) == nil {
				removed[id] = true
			}
		}
	}
	for _, id := range sortedKeys(removed) {
		d.model(&settings.Model{ID: id})
	}
}

// model divides one model's count.
func (d *division) model(model *settings.Model) {
	decided := max(0, model.Policy.MaxReplicas)
	for i, zone := range d.zones {
		d.cells[i] = d.newCell(zone, model)
	}
	d.rank(model)
	d.target(decided)
	if model.Base == "" {
		targets := make([]int, len(d.cells))
		for i := range d.cells {
			targets[i] = d.cells[i].target
		}
		d.targets[model.ID] = targets
	}
	d.escrow(decided)
	for i, zone := range d.zones {
		d.record(zone, model, &d.cells[i])
	}
}

// newCell finds the model's present state in the zone.
func (d *division) newCell(zone *zoneDivision, model *settings.Model) cell {
	c := cell{entry: zone.current[model.ID]}
	if c.entry != nil {
		c.limit = c.entry.MaxReplicas
		c.bound = zone.bound(c.entry, d.state.Presence)
	}
	policy := &model.Policy
	if policy.MaxReplicas <= 0 || (len(policy.Zones) > 0 && !slices.Contains(policy.Zones, zone.view.Zone)) {
		return c
	}
	c.capacity = min(d.candidateCount(zone, model), zone.fittingCount(policy.EnginePool))
	if model.Base != "" {
		c.capacity = min(c.capacity, d.baseTarget(zone, model.Base))
	}
	return c
}

// baseTarget is the count of the base model in the zone.
func (d *division) baseTarget(zone *zoneDivision, base cluster.ModelID) int {
	targets := d.targets[base]
	if targets == nil {
		return 0
	}
	return targets[slices.Index(d.zones, zone)]
}

// bound is the most replicas the zone can hold under its record: what it was
// granted before counts until confirmed, and a machine holds at most one.
func (z *zoneDivision) bound(entry *cluster.ModelAllotment, presence *Presence) int {
	bound := max(entry.MaxReplicas, entry.Ceiling)
	if z.confirmed {
		bound = min(bound, max(entry.MaxReplicas, z.reports[entry.Model].Held))
	}
	if len(entry.Candidates) == 0 {
		return min(bound, z.alive)
	}
	if z.allAlive() {
		return min(bound, len(entry.Candidates))
	}
	alive := 0
	for _, id := range entry.Candidates {
		if !presence.Gone(id) {
			alive++
		}
	}
	return min(bound, alive)
}

// allAlive reports whether no machine of the record has gone.
func (z *zoneDivision) allAlive() bool { return z.alive == len(z.view.Allotment.Machines) }

// rank orders the zones by weighted rendezvous hashing of the model, or of the
// base for an adapter: adding or losing a zone moves few models.
func (d *division) rank(model *settings.Model) {
	name := model.ID
	if model.Base != "" {
		name = model.Base
	}
	scores := make([]float64, len(d.zones))
	d.ranked = d.ranked[:0]
	for i, zone := range d.zones {
		d.ranked = append(d.ranked, i)
		hash := hashPair(string(name), string(zone.view.Zone))
		unit := (float64(hash>>11) + 0.5) / (1 << 53)
		scores[i] = -float64(zone.usable) / math.Log(unit)
	}
	slices.SortStableFunc(d.ranked, func(a, b int) int {
		switch {
		case scores[a] > scores[b]:
			return -1
		case scores[a] < scores[b]:
			return 1
		}
		return 0
	})
}

// hashPair hashes two names; the separator keeps pairs apart.
func hashPair(a, b string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(a)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(b)
	return digest.Sum64()
}

// escrow turns targets into counts. Lowering is free; raising beyond a zone's
// bound takes from what all bounds together leave of the decided count.
func (d *division) escrow(decided int) {
	room := decided
	for i := range d.cells {
		d.cells[i].count = min(d.cells[i].target, d.cells[i].bound)
		room -= d.cells[i].bound
	}
	for _, i := range d.ranked {
		c := &d.cells[i]
		if raise := min(c.target-c.count, room); raise > 0 {
			c.count += raise
			room -= raise
		}
	}
}

// record adds the model's entry to the zone's next record.
func (d *division) record(zone *zoneDivision, model *settings.Model, c *cell) {
	if c.count != c.limit {
		zone.changes = append(zone.changes, CountChange{
			Zone: zone.view.Zone, Model: model.ID, From: c.limit, To: c.count, Wanted: c.target,
		})
	}
	if c.count == 0 && c.bound == 0 {
		return
	}
	entry := cluster.ModelAllotment{Model: model.ID, MaxReplicas: c.count}
	if c.count > 0 {
		entry.Candidates = d.candidates(zone, model, c)
		zone.candidatesChanged = zone.candidatesChanged ||
			c.entry != nil && !slices.Equal(entry.Candidates, c.entry.Candidates)
	} else {
		entry.Candidates = zone.remaining(c.entry, d.state.Presence)
	}
	if c.bound > c.count {
		entry.Ceiling = c.bound
	}
	zone.next = append(zone.next, entry)
}

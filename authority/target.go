package authority

import (
	"slices"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
)

// target chooses how many replicas each zone should be allowed. It keeps the
// present counts where it can, so that records are written rarely; the wake-ups
// and sleeps of a model need no write at all.
func (d *division) target(decided int) {
	d.fillStatic(decided)
	total, present := 0, 0
	for i := range d.cells {
		c := &d.cells[i]
		c.target = min(c.limit, c.capacity)
		total += c.static
		present += c.target
	}
	if present != total {
		d.approach(total - present)
		return
	}
	if d.returnToStatic() {
		return
	}
	d.followDemand()
}

// fillStatic divides the count evenly over the zones in ranked order.
func (d *division) fillStatic(decided int) {
	for decided > 0 {
		given := false
		for _, i := range d.ranked {
			if c := &d.cells[i]; decided > 0 && c.static < c.capacity {
				c.static++
				decided--
				given = true
			}
		}
		if !given {
			return
		}
	}
}

// approach moves the targets by missing (or surplus, when negative) replicas
// towards the static division.
func (d *division) approach(missing int) {
	for ; missing > 0; missing-- {
		best := -1
		for _, i := range d.ranked {
			c := &d.cells[i]
			if c.target < c.capacity && (best < 0 || c.static-c.target > d.cells[best].static-d.cells[best].target) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		d.cells[best].target++
	}
	for ; missing < 0; missing++ {
		worst := -1
		for _, i := range slices.Backward(d.ranked) {
			c := &d.cells[i]
			if c.target > 0 && (worst < 0 || c.target-c.static > d.cells[worst].target-d.cells[worst].static) {
				worst = i
			}
		}
		if worst < 0 {
			return
		}
		d.cells[worst].target--
	}
}

// returnToStatic adopts the static division once no replica in use would be
// lost by it, so a zone that was added gets its part. It reports whether the
// targets are, or become, static.
func (d *division) returnToStatic() bool {
	same := true
	for i, zone := range d.zones {
		c := &d.cells[i]
		if c.target == c.static {
			continue
		}
		same = false
		report := zone.reports[d.modelOf(c)]
		unused := zone.fresh && report.Held <= c.static && report.Wanted <= c.static
		if !zone.movable || (c.static < c.target && !unused) {
			return false
		}
	}
	if same {
		return false
	}
	for i := range d.cells {
		d.cells[i].target = d.cells[i].static
	}
	return true
}

// followDemand moves one replica from a zone that does not use it to one that
// wants more than it is allowed.
func (d *division) followDemand() {
	taker, donor := -1, -1
	for _, i := range d.ranked {
		zone, c := d.zones[i], &d.cells[i]
		if !zone.fresh || !zone.movable || c.entry == nil {
			continue
		}
		report := zone.reports[c.entry.Model]
		switch {
		case report.Wanted > c.target && c.target < c.capacity:
			if taker < 0 {
				taker = i
			}
		case c.target > 0 && report.Wanted < c.target && report.Held < c.target:
			donor = i
		}
	}
	if taker >= 0 && donor >= 0 {
		d.cells[taker].target++
		d.cells[donor].target--
	}
}

// modelOf names the cell's model when the record has it.
func (d *division) modelOf(c *cell) cluster.ModelID {
	if c.entry == nil {
		return ""
	}
	return c.entry.Model
}

// remaining returns the entry's candidates that have not gone.
func (z *zoneDivision) remaining(entry *cluster.ModelAllotment, presence *Presence) []cluster.MachineID {
	if entry == nil {
		return nil
	}
	var list []cluster.MachineID
	for _, id := range entry.Candidates {
		if !presence.Gone(id) {
			list = append(list, id)
		}
	}
	return list
}

// candidates chooses the machines of the zone that may hold the model, how many
// of them can take it now, and whether the list differs from the record's.
//
// A candidate that may hold the model is never dropped before it has gone from
// the machine list: a new controller looks for replicas on candidates only. An
// entry that allows every machine stays so while the zone may hold the model.
func (d *division) candidates(zone *zoneDivision, model *settings.Model, entry *cluster.ModelAllotment, bound int) ([]cluster.MachineID, int, bool) {
	inUse := entry != nil && (bound > 0 || entry.MaxReplicas > 0)
	small := len(zone.listed) <= d.state.Config.CandidateCount
	if (inUse && len(entry.Candidates) == 0) || (!inUse && small) {
		return nil, zone.usable, false
	}
	var list []cluster.MachineID
	if inUse {
		list = zone.remaining(entry, d.state.Presence)
		if len(list) == 0 {
			// All candidates have gone, and an empty list would mean any.
			inUse = false
		}
	}
	list = d.extendCandidates(zone, model, list)
	capacity := 0
	for _, id := range list {
		if zone.fits(id, model) {
			capacity++
		}
	}
	slices.Sort(list)
	return list, capacity, entry != nil && !slices.Equal(list, entry.Candidates)
}

// fits reports whether the machine can take the model now. A machine of unknown
// pool may.
func (z *zoneDivision) fits(id cluster.MachineID, model *settings.Model) bool {
	if z.leaving[id] {
		return false
	}
	pool, known := z.view.Pools[id]
	return !known || model.Policy.EnginePool == "" || pool == model.Policy.EnginePool
}

// extendCandidates adds machines in rendezvous order, those of other racks
// first, until enough of the list can take the model.
func (d *division) extendCandidates(zone *zoneDivision, model *settings.Model, list []cluster.MachineID) []cluster.MachineID {
	wanted := max(d.state.Config.CandidateCount, min(2*model.Policy.MaxReplicas, len(zone.listed)))
	chosen := make(map[cluster.MachineID]bool, len(list))
	fitting := 0
	for _, id := range list {
		chosen[id] = true
		if zone.fits(id, model) {
			fitting++
		}
	}
	if fitting >= wanted {
		return list
	}
	for _, id := range zone.rankMachines(model) {
		if fitting >= wanted {
			break
		}
		if !chosen[id] && zone.fits(id, model) {
			list = append(list, id)
			fitting++
		}
	}
	return list
}

// rankMachines orders the zone's machines for a model: by rendezvous hashing,
// taking one of each rack in turn. Adapters follow their base model.
func (z *zoneDivision) rankMachines(model *settings.Model) []cluster.MachineID {
	name := model.ID
	if model.Base != "" {
		name = model.Base
	}
	type scored struct {
		id    cluster.MachineID
		rack  string
		score uint64
		round int
	}
	list := make([]scored, len(z.listed))
	for i, machine := range z.listed {
		list[i] = scored{id: machine.ID, rack: machine.Rack, score: hashPair(string(name), string(machine.ID))}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		return compareStrings(a.id, b.id)
	})
	rounds := make(map[string]int)
	for i := range list {
		list[i].round = rounds[list[i].rack]
		rounds[list[i].rack]++
	}
	slices.SortStableFunc(list, func(a, b scored) int { return a.round - b.round })
	ids := make([]cluster.MachineID, len(list))
	for i := range list {
		ids[i] = list[i].id
	}
	return ids
}

package authority

import (
	"slices"

	"github.com/valveslip/valveslip/cluster"
)

// chooseTargets computes how many replicas of the model each zone should be allowed. It
// keeps the current counts where possible, so that records are rarely written; loading and
// unloading a model within a zone's count needs no write.
func (d *division) chooseTargets(decided int) {
	d.divideEvenly(decided)
	total, current := 0, 0
	for i := range d.zoneModels {
		c := &d.zoneModels[i]
		c.target = min(c.currentLimit, c.capacity)
		total += c.staticTarget
		current += c.target
	}
	if current != total {
		d.moveTowardsStatic(total - current)
		return
	}
	if d.returnToStatic() {
		return
	}
	d.followDemand()
}

// divideEvenly sets the static targets: the decided count, dealt out one by one to the
// zones in ranked order, up to each zone's capacity.
func (d *division) divideEvenly(decided int) {
	for decided > 0 {
		given := false
		for _, i := range d.rankedZones {
			if c := &d.zoneModels[i]; decided > 0 && c.staticTarget < c.capacity {
				c.staticTarget++
				decided--
				given = true
			}
		}
		if !given {
			return
		}
	}
}

// moveTowardsStatic adds missing replicas to the targets, or removes -missing replicas
// when it is negative, from the zones that are farthest from their static target first.
func (d *division) moveTowardsStatic(missing int) {
	for ; missing > 0; missing-- {
		best := -1
		for _, i := range d.rankedZones {
			c := &d.zoneModels[i]
			if c.target < c.capacity && (best < 0 || c.staticTarget-c.target > d.zoneModels[best].staticTarget-d.zoneModels[best].target) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		d.zoneModels[best].target++
	}
	for ; missing < 0; missing++ {
		worst := -1
		for _, i := range slices.Backward(d.rankedZones) {
			c := &d.zoneModels[i]
			if c.target > 0 && (worst < 0 || c.target-c.staticTarget > d.zoneModels[worst].target-d.zoneModels[worst].staticTarget) {
				worst = i
			}
		}
		if worst < 0 {
			return
		}
		d.zoneModels[worst].target--
	}
}

// returnToStatic sets the targets to the static ones once no replica in use would be lost,
// so that a zone that was added gets its share. It reports whether it changed the targets.
func (d *division) returnToStatic() bool {
	same := true
	for i, zone := range d.zones {
		c := &d.zoneModels[i]
		if c.target == c.staticTarget {
			continue
		}
		same = false
		report := zone.modelReports[d.modelOf(c)]
		unused := zone.reportIsFresh && report.Held <= c.staticTarget && report.Wanted <= c.staticTarget
		if !zone.mayRebalance || (c.staticTarget < c.target && !unused) {
			return false
		}
	}
	if same {
		return false
	}
	for i := range d.zoneModels {
		d.zoneModels[i].target = d.zoneModels[i].staticTarget
	}
	return true
}

// followDemand moves one replica from a zone that doesn't use it to a zone that wants more
// than it is allowed.
func (d *division) followDemand() {
	receiver, donor := -1, -1
	for _, i := range d.rankedZones {
		zone, c := d.zones[i], &d.zoneModels[i]
		if !zone.reportIsFresh || !zone.mayRebalance || c.currentEntry == nil {
			continue
		}
		report := zone.modelReports[c.currentEntry.Model]
		switch {
		case report.Wanted > c.target && c.target < c.capacity:
			if receiver < 0 {
				receiver = i
			}
		case c.target > 0 && report.Wanted < c.target && report.Held < c.target:
			donor = i
		}
	}
	if receiver >= 0 && donor >= 0 {
		d.zoneModels[receiver].target++
		d.zoneModels[donor].target--
	}
}

// modelOf returns the model of the zone's current entry, empty when there is none.
func (d *division) modelOf(c *zoneModel) cluster.ModelID {
	if c.currentEntry == nil {
		return ""
	}
	return c.currentEntry.Model
}

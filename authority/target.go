package authority

import (
	"slices"

	"github.com/valveslip/valveslip/cluster"
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

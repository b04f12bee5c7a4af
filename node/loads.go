package node

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

const (
	// loadChangeDivisor sets the change of a machine's load that is published at once:
	// its number of slots divided by this value, but at least minLoadChange.
	loadChangeDivisor = 8
	minLoadChange     = 2
	// loadRefreshInterval is the time after which an unchanged load is published again,
	// because routers trust reports less as they age and messages may be lost.
	loadRefreshInterval = 6 * time.Second
)

// loadFilter selects the load reports that are published to the routers of a zone.
// At the size of the two-year scenario, unfiltered reports were most of what a
// controller sent.
type loadFilter struct {
	published map[cluster.MachineID]publishedLoad
}

type publishedLoad struct {
	measuredAt  time.Time
	work        int
	publishedAt time.Time
}

func newLoadFilter() loadFilter { return loadFilter{published: map[cluster.MachineID]publishedLoad{}} }

// takeIfChanged reports whether the load report must be published now, and if so
// records it as published.
func (f *loadFilter) takeIfChanged(now time.Time, slots int, report *cluster.LoadReport) bool {
	previous, known := f.published[report.Machine]
	work := report.Running + report.Queued
	if !report.At.After(previous.measuredAt) || work == 0 && previous.work == 0 {
		return false
	}
	change := work - previous.work
	if change < 0 {
		change = -change
	}
	changed := change >= max(minLoadChange, slots/loadChangeDivisor) || (work == 0) != (previous.work == 0)
	if known && !changed && now.Sub(previous.publishedAt) < loadRefreshInterval {
		return false
	}
	f.published[report.Machine] = publishedLoad{measuredAt: report.At, work: work, publishedAt: now}
	return true
}

// changedLoads returns the load reports to publish, in the order of the machines.
func (p *statusPublisher) changedLoads() []wire.MachineLoad {
	var loads []wire.MachineLoad
	for _, inventory := range p.role.controller.Inventories() {
		report, ok := p.role.loads[inventory.Machine]
		if !ok || !p.loadFilter.takeIfChanged(p.role.core.now, inventory.Slots, &report) {
			continue
		}
		loads = append(loads, wire.MachineLoad{
			Machine: inventory.Machine, Running: report.Running, Queued: report.Queued,
			Age: p.role.core.now.Sub(report.At),
		})
	}
	return loads
}

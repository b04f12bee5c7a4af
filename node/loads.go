package node

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

const (
	// loadChangeParts is the part of a machine's slots by which its work must
	// have changed to be told again: one eighth, but at least leastLoadChange.
	loadChangeParts = 8
	leastLoadChange = 2
	// loadRefresh is when an unchanged load is told again all the same, because
	// routers trust reports less as they age and messages get lost.
	loadRefresh = 6 * time.Second
)

// loadNews decides which load reports are worth telling the routers of a zone:
// at the two-year size they were most of what a controller sent.
type loadNews struct {
	told map[cluster.MachineID]toldLoad
}

type toldLoad struct {
	measured time.Time
	work     int
	at       time.Time
}

func newLoadNews() loadNews { return loadNews{told: map[cluster.MachineID]toldLoad{}} }

// take reports whether the report should be told now, and notes that it is.
func (n *loadNews) take(now time.Time, slots int, report *cluster.LoadReport) bool {
	told, known := n.told[report.Machine]
	work := report.Running + report.Queued
	if !report.At.After(told.measured) || work == 0 && told.work == 0 {
		return false
	}
	change := work - told.work
	if change < 0 {
		change = -change
	}
	changed := change >= max(leastLoadChange, slots/loadChangeParts) || (work == 0) != (told.work == 0)
	if known && !changed && now.Sub(told.at) < loadRefresh {
		return false
	}
	n.told[report.Machine] = toldLoad{measured: report.At, work: work, at: now}
	return true
}

// loads lists the reports worth telling, in the order of machines.
func (p *statusPublisher) loads() []wire.MachineLoad {
	var loads []wire.MachineLoad
	for _, inventory := range p.role.controller.Inventories() {
		report, ok := p.role.loads[inventory.Machine]
		if !ok || !p.news.take(p.role.core.now, inventory.Slots, &report) {
			continue
		}
		loads = append(loads, wire.MachineLoad{
			Machine: inventory.Machine, Running: report.Running, Queued: report.Queued,
			Age: p.role.core.now.Sub(report.At),
		})
	}
	return loads
}

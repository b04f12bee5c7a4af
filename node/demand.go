package node

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// nextZoneWait is the time a request waits for one zone before its demand is also
// reported to the next zone that may load the model.
const nextZoneWait = 20 * time.Second

// demandReporter tracks the demand reports that this router has sent to each zone.
type demandReporter struct {
	sequence   uint64
	nextReport time.Time
	lastReport time.Time
	// lastReports holds, by zone, when the last report was sent and whether it was
	// empty.
	lastReports map[cluster.ZoneID]sentReport
}

type sentReport struct {
	sentAt time.Time
	empty  bool
}

func newDemandReporter() *demandReporter {
	return &demandReporter{lastReports: map[cluster.ZoneID]sentReport{}}
}

// reportNewDemand sends demand if a model has just got its first waiting request.
func (c *Core) reportNewDemand() {
	if c.now.Sub(c.demand.lastReport) >= minNewDemandInterval && c.router.HasUnreportedDemand() {
		c.sendDemand()
	}
}

// reportDemandIfDue sends demand when the regular report is due, or for new demand.
func (c *Core) reportDemandIfDue() {
	if !c.now.Before(c.demand.nextReport) {
		c.sendDemand()
		return
	}
	c.reportNewDemand()
}

// sendDemand sends this router's demand to the zones that should load the models.
func (c *Core) sendDemand() {
	c.demand.lastReport, c.demand.nextReport = c.now, c.now.Add(quietDemandInterval)
	demand := c.router.Demand(c.now, true)
	if slices.ContainsFunc(demand.Models, func(m wire.ModelDemand) bool { return m.Waiting > 0 }) {
		c.demand.nextReport = c.now.Add(demandInterval)
	}
	perZone := c.divideDemand(demand.Models)
	for _, zone := range append([]cluster.ZoneID(nil), c.cells.sortedZones...) {
		c.sendZoneDemand(zone, perZone[zone], demand.Scopes)
	}
}

// divideDemand assigns each model's demand to its preferred zones. Models that no zone
// loads although requests have waited for overdueWaitFraction of their time are
// divided evenly over equivalent zones.
func (c *Core) divideDemand(models []wire.ModelDemand) map[cluster.ZoneID][]wire.ModelDemand {
	perZone := make(map[cluster.ZoneID][]wire.ModelDemand)
	spreader := newDemandSpreader()
	for _, model := range models {
		zones := c.preferredZones(model.Model)
		baseModel := c.baseModelOf(model.Model)
		if spreader.add(model, baseModel, zones, c.countEquivalentZones(baseModel, zones)) {
			continue
		}
		assignDemand(perZone, model, zones)
	}
	spreader.divide(perZone)
	return perZone
}

// assignDemand adds a model's demand to the first of its zones, and to one more for
// each nextZoneWait that its oldest request has waited.
func assignDemand(perZone map[cluster.ZoneID][]wire.ModelDemand, model wire.ModelDemand, zones []*cell) {
	zoneCount := 1 + int(model.OldestWait/nextZoneWait)
	for i := 0; i < len(zones) && i < zoneCount; i++ {
		perZone[zones[i].zone] = append(perZone[zones[i].zone], model)
	}
}

// countEquivalentZones returns how many of the first preferred zones are equally
// suited to load the model: they are in the same region, have a live controller and
// hold the base model exactly if the first zone does.
func (c *Core) countEquivalentZones(baseModel cluster.ModelID, zones []*cell) int {
	for i, zone := range zones {
		equivalent := zone.region == zones[0].region && c.hasLiveController(zone.zone) == c.hasLiveController(zones[0].zone) &&
			(len(zone.replicaMachines[baseModel]) > 0) == (len(zones[0].replicaMachines[baseModel]) > 0)
		if !equivalent {
			return i
		}
	}
	return len(zones)
}

// sendZoneDemand sends one zone its part of the demand. An empty report is repeated
// only every idleDemandInterval, because it only shows that the router is alive.
func (c *Core) sendZoneDemand(zone cluster.ZoneID, models []wire.ModelDemand, scopes []wire.ScopeDemand) {
	if zone != c.self.Zone {
		scopes = nil
	}
	empty := len(models) == 0 && len(scopes) == 0
	previous := c.demand.lastReports[zone]
	if empty && previous.empty && c.now.Sub(previous.sentAt) < idleDemandInterval {
		return
	}
	c.demand.lastReports[zone] = sentReport{sentAt: c.now, empty: empty}
	c.demand.sequence++
	message := wire.Demand{
		From: c.self.ID, Zone: c.self.Zone, Sequence: c.demand.sequence,
		Full: true, Models: models, Scopes: scopes,
	}
	if zone == c.self.Zone && c.cellRole.controller.Holding() {
		c.cellRole.demandReceived(message)
		return
	}
	c.send(c.cells.cells[zone].address, message)
}

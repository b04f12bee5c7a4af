package fleet

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/wire"
)

const (
	// newDemandInterval is the least time between two reports of new demand, so that a burst of
	// requests for new models is reported in one message.
	newDemandInterval = 5 * time.Millisecond
	// waitingReportInterval is the time between reports while requests wait, and
	// maxReportInterval the time between other reports: a fifth of demandExpiry, so that a few
	// lost reports don't drop the node's demand.
	waitingReportInterval = 300 * time.Millisecond
	maxReportInterval     = time.Second
)

// demandReporter reports the demand of this node's callers to the lease holder.
type demandReporter struct {
	sequence     uint64
	lastReportAt time.Time
	nextReportAt time.Time
	// lastReportEmpty is set if the last report had no demand.
	lastReportEmpty bool
}

// tick sends a report when one is due.
func (d *demandReporter) tick(c *Core) {
	newDemand := c.router.HasUnreportedDemand() && c.now.Sub(d.lastReportAt) >= newDemandInterval
	if !newDemand && c.now.Before(d.nextReportAt) {
		return
	}
	d.send(c)
}

// send reports the whole demand for models that engines serve.
func (d *demandReporter) send(c *Core) {
	demand := c.router.Demand(c.now, true)
	demand.Models = slices.DeleteFunc(demand.Models, func(m wire.ModelDemand) bool {
		_, model, _ := catalog.Split(m.Model)
		return model == ""
	})
	d.lastReportAt, d.nextReportAt = c.now, c.now.Add(maxReportInterval)
	if slices.ContainsFunc(demand.Models, func(m wire.ModelDemand) bool { return m.Waiting > 0 }) {
		d.nextReportAt = c.now.Add(waitingReportInterval)
	}
	if len(demand.Models) == 0 && d.lastReportEmpty {
		return
	}
	d.lastReportEmpty = len(demand.Models) == 0
	d.sequence++
	demand.From, demand.Zone, demand.Sequence = c.config.Self.ID, c.config.Zone, d.sequence
	demand.Scopes = nil
	if c.controller.ledger.Holding() {
		c.controller.demandReceived(demand)
		return
	}
	c.send(c.controller.holder.Address, demand)
}

// due returns the time of the next report.
func (d *demandReporter) due(c *Core) time.Time {
	if c.router.HasUnreportedDemand() {
		return d.lastReportAt.Add(newDemandInterval)
	}
	return d.nextReportAt
}

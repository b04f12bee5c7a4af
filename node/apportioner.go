package node

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/valveslip/valveslip/authority"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/keyvalue/lease"
	"github.com/valveslip/valveslip/wire"
)

// apportionerRole divides the decided replica counts over the zones while this
// node holds the apportioner's lease. Only a cell's controller stands for it,
// and every write compares the lease record, so a lapsed holder writes nothing.
type apportionerRole struct {
	core  *Core
	lease *lease.Client

	renewDue  time.Time
	standDue  time.Time
	reportDue time.Time
	// reportedRevision is the allotment's revision in the last report.
	reportedRevision int64
	dueAt            time.Time
	presence         *authority.Presence
	reports          map[cluster.ZoneID]zoneReport
	planWanted       map[cluster.ModelID]int
	// writing is true while a division's transaction has no answer.
	writing bool
}

type zoneReport struct {
	report wire.ZoneReport
	at     time.Time
}

func newApportionerRole(core *Core) *apportionerRole {
	return &apportionerRole{
		core:     core,
		lease:    newLease(core, keyApportioner),
		presence: authority.NewPresence(machineLag(core.config.Controller)),
		reports:  map[cluster.ZoneID]zoneReport{},
	}
}

func (r *apportionerRole) holding() bool {
	return r.lease.Holding()
}

func (r *apportionerRole) tick() {
	if !r.core.cellRole.controller.Holding() || r.core.draining {
		return
	}
	r.report()
	if !r.holding() {
		r.stand()
		return
	}
	if !r.core.now.Before(r.renewDue) {
		r.renewDue = r.core.now.Add(leaseTTL / 3)
		r.lease.Renew()
	}
	if !r.core.now.Before(r.dueAt) {
		r.dueAt = r.core.now.Add(apportionInterval)
		r.apportion()
	}
}

// stand tries to take the lease when no live node claims it.
func (r *apportionerRole) stand() {
	if r.core.now.Before(r.standDue) {
		return
	}
	r.standDue = r.core.now.Add(leaseTTL / 4)
	claim, claimed := r.core.cells.claimed[ApportionerZone]
	if claimed && claim.Node != r.core.self.ID && r.core.cellRole.unsuspected(claim.Node) {
		return
	}
	r.lease.Acquire()
}

func (r *apportionerRole) leaseAnswered(answer KeyValueAnswered) {
	switch r.lease.Answered(leaseAnswerOf(answer)) {
	case lease.Won:
		r.core.cells.note(wire.ControllerClaim{Zone: ApportionerZone, Node: r.core.self.ID, Token: r.lease.Token()})
		r.renewDue = r.core.now.Add(leaseTTL / 3)
		// The first division waits for the zones' reports.
		r.dueAt = r.core.now.Add(apportionInterval / 4)
	case lease.Taken:
		holder, token := r.lease.Holder()
		r.core.noteClaim(wire.ControllerClaim{Zone: ApportionerZone, Node: cluster.NodeID(holder), Token: token})
	}
}

func (r *apportionerRole) superseded(claim wire.ControllerClaim) {
	if r.holding() && claim.Token > r.lease.Token() {
		r.lease.Reset()
	}
}

func (r *apportionerRole) resign() {
	if r.holding() {
		r.lease.Release()
	}
}

func (r *apportionerRole) machinesListed(machines []cluster.Machine) {
	r.presence.Listed(r.core.now, machines)
}

// machineLag is the configured lag of the machine list.
func machineLag(config authority.ControllerConfig) time.Duration {
	if config.MachineLag > 0 {
		return config.MachineLag
	}
	return authority.DefaultMachineLag
}

func (r *apportionerRole) wanted(wanted map[cluster.ModelID]int) { r.planWanted = wanted }

func (r *apportionerRole) reportReceived(report wire.ZoneReport) {
	known := r.reports[report.Zone]
	if report.Token < known.report.Token {
		return
	}
	r.reports[report.Zone] = zoneReport{report: report, at: r.core.now}
}

// report tells the apportioner what this cell holds and wants. Models with
// neither are left out.
func (r *apportionerRole) report() {
	revision := r.core.cellRole.controller.AllotmentRevision()
	if r.core.now.Before(r.reportDue) && revision == r.reportedRevision {
		return
	}
	r.reportedRevision = revision
	r.reportDue = r.core.now.Add(zoneReportInterval)
	report := r.ownReport()
	if r.holding() {
		r.reportReceived(report)
		return
	}
	claim := r.core.cells.claimed[ApportionerZone]
	if member, ok := r.core.members.Member(claim.Node); ok {
		r.core.send(member.Node.PeerAddress, report)
	}
}

func (r *apportionerRole) ownReport() wire.ZoneReport {
	controller := r.core.cellRole.controller
	report := wire.ZoneReport{
		Zone: r.core.self.Zone, Token: controller.Token(),
		AllotmentRevision: controller.AllotmentRevision(), FreeBytes: controller.FreeBytes(),
		Machines: len(controller.Inventories()), Pools: controller.PoolReports(),
	}
	held := map[cluster.ModelID]int{}
	for _, model := range controller.Report() {
		if model.Held > 0 {
			held[model.Model] = model.Held
		}
	}
	for model := range r.planWanted {
		if _, ok := held[model]; !ok {
			held[model] = 0
		}
	}
	for model, count := range held {
		report.Models = append(report.Models, wire.ZoneModelReport{Model: model, Wanted: r.planWanted[model], Held: count})
	}
	sort.Slice(report.Models, func(i, j int) bool { return report.Models[i].Model < report.Models[j].Model })
	return report
}

// apportion makes one division and stores the records that change, all in one
// transaction. It compares the lease record, so a lapsed holder writes nothing,
// and the guard that every division rewrites, so a division made from stale
// records writes nothing: not even when the answer to this node's own earlier
// write was lost.
func (r *apportionerRole) apportion() {
	if r.writing || r.core.keyValue.revision == 0 {
		return
	}
	plan := authority.Apportion(r.state())
	if plan.Refused != "" || len(plan.Writes) == 0 {
		return
	}
	txn := plan.Transaction()
	txn.Compares = append(txn.Compares, keyvalue.Compare{Key: keyApportioner, ModRevision: int64(r.lease.Token())})
	r.writing = true
	r.core.keyValueCall(KeyValueCall{Operation: KeyValueTxn, Txn: txn}, callPurpose{division: true})
}

// written ends the write under way. Its effect, if any, comes by the watch: a
// division made before that fails its compares.
func (r *apportionerRole) written() { r.writing = false }

func (r *apportionerRole) state() authority.ApportionState {
	state := authority.ApportionState{
		Now: r.core.now, Settings: r.core.Snapshot(), Presence: r.presence,
		GuardRevision: r.core.keyValue.guard,
	}
	for _, zone := range r.zones() {
		view := authority.ZoneView{
			Zone: zone, Allotment: r.core.keyValue.allotments[zone],
		}
		view.Allotment.Zone = zone
		if known, ok := r.reports[zone]; ok {
			report := known.report
			view.Report, view.ReportAge = &report, r.core.now.Sub(known.at)
		}
		state.Zones = append(state.Zones, view)
	}
	return state
}

// zones lists the zones that have machines or a record, sorted.
func (r *apportionerRole) zones() []cluster.ZoneID {
	known := map[cluster.ZoneID]bool{}
	for _, machine := range r.presence.Retained() {
		known[machine.Zone] = true
	}
	for zone := range r.core.keyValue.allotments {
		known[zone] = true
	}
	return slices.Sorted(maps.Keys(known))
}

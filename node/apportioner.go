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

// apportionerRole divides the fleet's replica counts over the zones while this node
// holds the apportioner lease. Only the controller of a zone competes for the lease.
// Every write compares the lease record, so a node whose lease has expired cannot
// write.
type apportionerRole struct {
	core  *Core
	lease *lease.Client

	nextRenewal     time.Time
	nextAcquisition time.Time
	nextReport      time.Time
	// reportedRevision is the allotment revision in the last zone report.
	reportedRevision int64
	nextDivision     time.Time
	tracker          *authority.MachineTracker
	reports          map[cluster.ZoneID]receivedZoneReport
	plannedReplicas  map[cluster.ModelID]int
	// transactionPending is true until the transaction of the last division is answered.
	transactionPending bool
}

type receivedZoneReport struct {
	report     wire.ZoneReport
	receivedAt time.Time
}

func newApportionerRole(core *Core) *apportionerRole {
	return &apportionerRole{
		core:    core,
		lease:   newLease(core, keyApportioner),
		tracker: authority.NewMachineTracker(machineLag(core.config.Controller)),
		reports: map[cluster.ZoneID]receivedZoneReport{},
	}
}

func (r *apportionerRole) holdsLease() bool {
	return r.lease.IsHolder()
}

func (r *apportionerRole) tick() {
	if !r.core.cellRole.controller.Holding() || r.core.draining {
		return
	}
	r.reportIfDue()
	if !r.holdsLease() {
		r.acquireLease()
		return
	}
	if !r.core.now.Before(r.nextRenewal) {
		r.nextRenewal = r.core.now.Add(leaseTTL / 3)
		r.lease.Renew()
	}
	if !r.core.now.Before(r.nextDivision) {
		r.nextDivision = r.core.now.Add(apportionInterval)
		r.apportion()
	}
}

// acquireLease tries to acquire the lease unless another live node is known to hold
// it.
func (r *apportionerRole) acquireLease() {
	if r.core.now.Before(r.nextAcquisition) {
		return
	}
	r.nextAcquisition = r.core.now.Add(leaseTTL / 4)
	claim, claimed := r.core.cells.latestClaims[ApportionerZone]
	if claimed && claim.Node != r.core.self.ID && r.core.cellRole.isUnsuspected(claim.Node) {
		return
	}
	r.lease.Acquire()
}

func (r *apportionerRole) leaseAnswered(answer KeyValueAnswered) {
	switch r.lease.Answered(leaseAnswerOf(answer)) {
	case lease.Acquired:
		r.core.cells.recordClaim(wire.ControllerClaim{Zone: ApportionerZone, Node: r.core.self.ID, Token: r.lease.Token()})
		r.nextRenewal = r.core.now.Add(leaseTTL / 3)
		// Leave the controllers time to send their zone reports before the first division.
		r.nextDivision = r.core.now.Add(apportionInterval / 4)
	case lease.HeldByOther:
		holder, token := r.lease.Holder()
		r.core.claimReceived(wire.ControllerClaim{Zone: ApportionerZone, Node: cluster.NodeID(holder), Token: token})
	}
}

func (r *apportionerRole) claimSuperseded(claim wire.ControllerClaim) {
	if r.holdsLease() && claim.Token > r.lease.Token() {
		r.lease.Reset()
	}
}

func (r *apportionerRole) releaseLease() {
	if r.holdsLease() {
		r.lease.Release()
	}
}

func (r *apportionerRole) machinesListed(machines []cluster.Machine) {
	r.tracker.RecordList(r.core.now, machines)
}

// machineLag returns the configured lag of the machine list, or the default.
func machineLag(config authority.ControllerConfig) time.Duration {
	if config.MachineLag > 0 {
		return config.MachineLag
	}
	return authority.DefaultMachineLag
}

func (r *apportionerRole) setPlannedReplicas(replicas map[cluster.ModelID]int) {
	r.plannedReplicas = replicas
}

func (r *apportionerRole) reportReceived(report wire.ZoneReport) {
	known := r.reports[report.Zone]
	if report.Token < known.report.Token {
		return
	}
	r.reports[report.Zone] = receivedZoneReport{report: report, receivedAt: r.core.now}
}

// reportIfDue sends the apportioner the cell's replicas and planned replica counts. It
// sends at every zoneReportInterval, and at once when the allotment revision changes.
func (r *apportionerRole) reportIfDue() {
	revision := r.core.cellRole.controller.AllotmentRevision()
	if r.core.now.Before(r.nextReport) && revision == r.reportedRevision {
		return
	}
	r.reportedRevision = revision
	r.nextReport = r.core.now.Add(zoneReportInterval)
	report := r.buildZoneReport()
	if r.holdsLease() {
		r.reportReceived(report)
		return
	}
	claim := r.core.cells.latestClaims[ApportionerZone]
	if member, ok := r.core.members.Member(claim.Node); ok {
		r.core.send(member.Node.PeerAddress, report)
	}
}

func (r *apportionerRole) buildZoneReport() wire.ZoneReport {
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
	for model := range r.plannedReplicas {
		if _, ok := held[model]; !ok {
			held[model] = 0
		}
	}
	for model, count := range held {
		report.Models = append(report.Models, wire.ZoneModelReport{Model: model, Wanted: r.plannedReplicas[model], Held: count})
	}
	sort.Slice(report.Models, func(i, j int) bool { return report.Models[i].Model < report.Models[j].Model })
	return report
}

// apportion computes one division and stores the changed records in one transaction.
// The transaction compares the lease record, so that a node whose lease has expired
// writes nothing. It also compares the guard key that every division rewrites, so that
// a division computed from stale records writes nothing, even if the answer to this
// node's own previous write was lost.
func (r *apportionerRole) apportion() {
	if r.transactionPending || r.core.keyValue.revision == 0 {
		return
	}
	plan := authority.Apportion(r.apportionState())
	if plan.Refused != "" || len(plan.Writes) == 0 {
		return
	}
	txn := plan.Transaction()
	txn.Compares = append(txn.Compares, keyvalue.Compare{Key: keyApportioner, ModRevision: keyvalue.Revision(r.lease.Token())})
	r.transactionPending = true
	r.core.keyValueCall(KeyValueCall{Operation: KeyValueTxn, Txn: txn}, callPurpose{division: true})
}

// transactionAnswered allows the next division. The records change only when the watch
// delivers the write; a division computed before that fails its compares.
func (r *apportionerRole) transactionAnswered() { r.transactionPending = false }

func (r *apportionerRole) apportionState() authority.ApportionInput {
	state := authority.ApportionInput{
		Now: r.core.now, Settings: r.core.Snapshot(), Tracker: r.tracker,
		GuardRevision: r.core.keyValue.guardRevision,
	}
	for _, zone := range r.knownZones() {
		zoneView := authority.ZoneView{
			Zone: zone, Allotment: r.core.keyValue.allotments[zone],
		}
		zoneView.Allotment.Zone = zone
		if known, ok := r.reports[zone]; ok {
			report := known.report
			zoneView.Report, zoneView.ReportAge = &report, r.core.now.Sub(known.receivedAt)
		}
		state.Zones = append(state.Zones, zoneView)
	}
	return state
}

// knownZones returns, sorted, the zones that have machines or an allotment record.
func (r *apportionerRole) knownZones() []cluster.ZoneID {
	known := map[cluster.ZoneID]bool{}
	for _, machine := range r.tracker.Retained() {
		known[machine.Zone] = true
	}
	for zone := range r.core.keyValue.allotments {
		known[zone] = true
	}
	return slices.Sorted(maps.Keys(known))
}

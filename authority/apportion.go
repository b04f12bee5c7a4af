package authority

import (
	"slices"
	"strconv"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/wire"
)

// Defaults of ApportionConfig.
const (
	DefaultCandidateCount    = 8
	DefaultRebalanceInterval = time.Minute
	DefaultReportMaxAge      = 15 * time.Second
	DefaultWriteBudget       = 256 << 10
)

// ApportionConfig holds the parameters of Apportion. Zero values take the documented
// defaults.
type ApportionConfig struct {
	// CandidateCount is the minimum number of machines of a large zone that may hold a
	// model. A zone with no more machines than this names no candidates, which allows all.
	// Default 8.
	CandidateCount int
	// RebalanceInterval is the minimum age of a zone's record before counts move between
	// zones for balance or demand alone. Default 1 min.
	RebalanceInterval time.Duration
	// ReportMaxAge is the maximum age of a zone report that is used for balance and
	// demand. A report confirms lowered counts at any age. Default 15 s.
	ReportMaxAge time.Duration
	// WriteBudget is the maximum total size in bytes of the records written by one plan; a
	// single larger record is still written. Default 256 KiB.
	WriteBudget int
}

func (c ApportionConfig) withDefaults() ApportionConfig {
	if c.CandidateCount <= 0 {
		c.CandidateCount = DefaultCandidateCount
	}
	if c.RebalanceInterval <= 0 {
		c.RebalanceInterval = DefaultRebalanceInterval
	}
	if c.ReportMaxAge <= 0 {
		c.ReportMaxAge = DefaultReportMaxAge
	}
	if c.WriteBudget <= 0 {
		c.WriteBudget = DefaultWriteBudget
	}
	return c
}

// ApportionInput is the complete input of Apportion. No other state is kept between
// rounds, so a new node continues from the stored records alone.
type ApportionInput struct {
	Config   ApportionConfig
	Now      time.Time
	Settings *settings.Snapshot
	// Tracker tracks the machine list of all zones.
	Tracker *MachineTracker
	// Zones must include every stored record, all read at one revision together with the
	// guard key, or kept up to date by a watch.
	Zones []ZoneView
	// GuardRevision is the revision of the guard key, zero when it is absent.
	GuardRevision int64
}

// ZoneView is the stored record and the last report of one zone.
type ZoneView struct {
	Zone cluster.ZoneID
	// Allotment is the stored record; its Revision is zero when there is none.
	Allotment cluster.Allotment
	// Report is the last report received, nil for none. Its AllotmentRevision must be that
	// of the reporting Controller at the moment of the report.
	Report    *wire.ZoneReport
	ReportAge time.Duration
}

// ApportionPlan is the result of one round of Apportion.
type ApportionPlan struct {
	// Writes must be applied in one transaction with the guard key, or not at all.
	Writes        []AllotmentWrite
	GuardRevision int64
	// Refused is the reason why the round decided nothing, empty if it decided.
	Refused RefusedCause
	// Changes lists every changed count, sorted by zone, then model.
	Changes []CountChange
	// Deferred is the number of changed records left to the next round by the write
	// budget.
	Deferred int
}

// AllotmentWrite replaces one stored record if it still has revision ExpectRevision.
type AllotmentWrite struct {
	Allotment      cluster.Allotment
	ExpectRevision int64
}

// RefusedCause is the reason why a round decided nothing.
type RefusedCause string

// Reasons why a round decides nothing.
const (
	RefusedNoSettings  RefusedCause = "no settings"
	RefusedNoMachines  RefusedCause = "machine list not read yet"
	RefusedOldSettings RefusedCause = "a record was computed from later settings"
	// RefusedNoReports delays the first division of all by up to ReportMaxAge, so that the
	// candidates of large zones are chosen by the engine pools that the zones report.
	RefusedNoReports RefusedCause = "waiting for the first zone reports"
)

// CountChange is a changed count of one model in one zone.
type CountChange struct {
	Zone  cluster.ZoneID
	Model cluster.ModelID
	// From and To are the allowed counts before and after the change, Wanted is the zone's
	// target. To is smaller than Wanted while another zone has not confirmed a lowered
	// count.
	From, To, Wanted int
}

// Transaction returns the transaction that applies the plan. It fails if any allotment was
// written since the state was read.
func (p *ApportionPlan) Transaction() keyvalue.Transaction {
	transaction := keyvalue.Transaction{Compares: []keyvalue.Compare{{Key: AllotmentGuardKey, ModRevision: keyvalue.Revision(p.GuardRevision)}}}
	for i := range p.Writes {
		write := &p.Writes[i]
		key := AllotmentKey(write.Allotment.Zone)
		transaction.Compares = append(transaction.Compares, keyvalue.Compare{Key: key, ModRevision: keyvalue.Revision(write.ExpectRevision)})
		transaction.Operations = append(transaction.Operations,
			keyvalue.Operation{Key: key, Value: EncodeAllotment(write.Allotment)})
	}
	guard := []byte(strconv.Itoa(len(p.Writes)))
	transaction.Operations = append(transaction.Operations, keyvalue.Operation{Key: AllotmentGuardKey, Value: guard})
	return transaction
}

// Apportion divides every model's decided replica count over the zones.
//
// The upper bound of a model in a zone is the largest number of replicas that the zone can
// hold, now or under its record. Apportion keeps this invariant: it never raises the sum
// of the upper bounds over all zones beyond the decided count. A zone's count is therefore
// raised only by what the upper bounds of the other zones leave. A zone whose count was
// lowered must first confirm this by a report, or its machines must have gone from the
// machine list.
func Apportion(state ApportionInput) ApportionPlan {
	state.Config = state.Config.withDefaults()
	plan := ApportionPlan{GuardRevision: state.GuardRevision, Refused: refusalCause(&state)}
	if plan.Refused != "" {
		return plan
	}
	division := newDivision(&state)
	division.divide()
	division.collectWrites(&plan)
	return plan
}

func refusalCause(state *ApportionInput) RefusedCause {
	if state.Settings == nil {
		return RefusedNoSettings
	}
	if state.Tracker == nil || !state.Tracker.Started() {
		return RefusedNoMachines
	}
	for i := range state.Zones {
		if state.Zones[i].Allotment.SettingsRevision > state.Settings.Stamp.Revision {
			return RefusedOldSettings
		}
	}
	if state.mustAwaitReports() {
		return RefusedNoReports
	}
	return ""
}

// mustAwaitReports reports whether the first division has to wait: no record is stored,
// the machine list was read less than ReportMaxAge ago, and a zone that is large enough to
// need candidates has not reported.
func (s *ApportionInput) mustAwaitReports() bool {
	if s.Now.Sub(s.Tracker.firstListAt) >= s.Config.ReportMaxAge {
		return false
	}
	reported := make(map[cluster.ZoneID]bool)
	for i := range s.Zones {
		if s.Zones[i].Allotment.Revision != 0 {
			return false
		}
		reported[s.Zones[i].Zone] = s.Zones[i].Report != nil
	}
	sizes := make(map[cluster.ZoneID]int)
	for _, machine := range s.Tracker.machines {
		sizes[machine.Zone]++
		if sizes[machine.Zone] > s.Config.CandidateCount && !reported[machine.Zone] {
			return true
		}
	}
	return false
}

// collectWrites turns the changed records into writes within the byte budget.
func (d *division) collectWrites(plan *ApportionPlan) {
	bytes := 0
	for _, zone := range d.zones {
		write, changed := zone.nextWrite(d.state)
		if !changed {
			continue
		}
		size := len(EncodeAllotment(write.Allotment))
		if len(plan.Writes) > 0 && bytes+size > d.state.Config.WriteBudget {
			plan.Deferred++
			continue
		}
		bytes += size
		plan.Writes = append(plan.Writes, write)
		plan.Changes = append(plan.Changes, zone.countChanges...)
	}
}

// nextWrite returns the zone's next record and whether it must be stored.
func (z *zoneDivision) nextWrite(state *ApportionInput) (AllotmentWrite, bool) {
	slices.SortFunc(z.nextEntries, func(a, b cluster.ModelAllotment) int { return compareStrings(a.Model, b.Model) })
	slices.SortFunc(z.countChanges, func(a, b CountChange) int { return compareStrings(a.Model, b.Model) })
	machinesChanged := !slices.Equal(z.nextRecordMachines, z.view.Allotment.Machines)
	return AllotmentWrite{
		ExpectRevision: z.view.Allotment.Revision,
		Allotment: cluster.Allotment{
			Zone: z.view.Zone, SettingsRevision: state.Settings.Stamp.Revision,
			WrittenAt: state.Now.Truncate(time.Second), Machines: z.nextRecordMachines, Models: z.nextEntries,
		},
	}, machinesChanged || z.candidatesChanged || len(z.countChanges) > 0
}

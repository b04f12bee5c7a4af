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

// ApportionConfig holds the apportioner's parameters; zero values take the
// documented defaults.
type ApportionConfig struct {
	// CandidateCount is how many machines of a larger zone may hold a model,
	// at least; a zone with no more machines names none, which allows all.
	// Default 8.
	CandidateCount int
	// RebalanceInterval is how old a zone's record must be before counts move
	// between zones for balance or demand alone. Default 1 min.
	RebalanceInterval time.Duration
	// ReportMaxAge is how old a zone report may be to be used for balance and
	// demand. Confirmations don't age. Default 15 s.
	ReportMaxAge time.Duration
	// WriteBudget bounds the bytes of the records written at once. Default
	// 256 KiB.
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

// ApportionState is all that a round of apportioning decides from. The
// apportioner keeps nothing else: a new one goes on from the records alone.
type ApportionState struct {
	Config   ApportionConfig
	Now      time.Time
	Settings *settings.Snapshot
	// Presence follows the whole machine list.
	Presence *Presence
	// Zones must include every stored record, all read at one revision together
	// with the guard, or followed by a watch.
	Zones []ZoneView
	// GuardRevision is the revision of the guard key, zero when absent.
	GuardRevision int64
}

// ZoneView is what is known of one zone.
type ZoneView struct {
	Zone cluster.ZoneID
	// Allotment is the present record; Revision is zero when there is none.
	Allotment cluster.Allotment
	// Report is the last one received, nil for none. Its AllotmentRevision must
	// be that of the reporting Controller at the moment of the report.
	Report    *wire.ZoneReport
	ReportAge time.Duration
}

// ApportionPlan is the outcome of a round.
type ApportionPlan struct {
	// Writes must be applied in one transaction with the guard, or not at all.
	Writes        []AllotmentWrite
	GuardRevision int64
	// Refused is set when the state did not allow to decide.
	Refused RefusedCause
	// Changes explains every changed count, by zone, then model.
	Changes []CountChange
	// Deferred counts the zones left to the next round by the write budget.
	Deferred int
}

// AllotmentWrite replaces one record.
type AllotmentWrite struct {
	Allotment      cluster.Allotment
	ExpectRevision int64
}

// RefusedCause says why a round decided nothing.
type RefusedCause string

// The causes of rounds without decision.
const (
	RefusedNoSettings  RefusedCause = "no settings"
	RefusedNoMachines  RefusedCause = "machine list not read yet"
	RefusedOldSettings RefusedCause = "a record was computed from later settings"
	// RefusedNoReports holds back the very first division for ReportMaxAge, so
	// that the candidates of large zones are chosen by their engine pools.
	RefusedNoReports RefusedCause = "waiting for the first zone reports"
)

// CountChange is a changed count of one model in one zone.
type CountChange struct {
	Zone  cluster.ZoneID
	Model cluster.ModelID
	// From and To are the counts before and after, Wanted the count that the
	// division gives the zone. To is smaller than Wanted while another zone has
	// not confirmed a lowered count.
	From, To, Wanted int
}

// Transaction returns the one transaction that carries out the plan. It fails
// when any apportioning happened since the state was read.
func (p *ApportionPlan) Transaction() keyvalue.Transaction {
	transaction := keyvalue.Transaction{Compares: []keyvalue.Compare{{Key: AllotmentGuardKey, ModRevision: p.GuardRevision}}}
	for i := range p.Writes {
		write := &p.Writes[i]
		key := AllotmentKey(write.Allotment.Zone)
		transaction.Compares = append(transaction.Compares, keyvalue.Compare{Key: key, ModRevision: write.ExpectRevision})
		transaction.Operations = append(transaction.Operations,
			keyvalue.Operation{Key: key, Value: EncodeAllotment(write.Allotment)})
	}
	guard := []byte(strconv.Itoa(len(p.Writes)))
	transaction.Operations = append(transaction.Operations, keyvalue.Operation{Key: AllotmentGuardKey, Value: guard})
	return transaction
}

// Apportion divides every model's decided replica count over the zones.
//
// Invariant: let the bound of a model in a zone be the most replicas it can
// hold there, now or under the record. The sum of the bounds over all zones
// never grows beyond the decided count. So a count is raised only by what the
// bounds of the others leave: a lowered zone must first confirm by a report, or
// its machines must have gone from the list.
func Apportion(state ApportionState) ApportionPlan {
	state.Config = state.Config.withDefaults()
	plan := ApportionPlan{GuardRevision: state.GuardRevision, Refused: refused(&state)}
	if plan.Refused != "" {
		return plan
	}
	division := newDivision(&state)
	division.divide()
	division.collect(&plan)
	return plan
}

func refused(state *ApportionState) RefusedCause {
	if state.Settings == nil {
		return RefusedNoSettings
	}
	if state.Presence == nil || !state.Presence.Started() {
		return RefusedNoMachines
	}
	for i := range state.Zones {
		if state.Zones[i].Allotment.SettingsRevision > state.Settings.Stamp.Revision {
			return RefusedOldSettings
		}
	}
	if state.awaitsReports() {
		return RefusedNoReports
	}
	return ""
}

// awaitsReports reports whether nothing is divided yet and a zone large enough
// to need candidates has not reported, shortly after the start.
func (s *ApportionState) awaitsReports() bool {
	if s.Now.Sub(s.Presence.first) >= s.Config.ReportMaxAge {
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
	for _, machine := range s.Presence.machines {
		sizes[machine.Zone]++
		if sizes[machine.Zone] > s.Config.CandidateCount && !reported[machine.Zone] {
			return true
		}
	}
	return false
}

// collect turns the divided zones into writes within the byte budget.
func (d *division) collect(plan *ApportionPlan) {
	bytes := 0
	for _, zone := range d.zones {
		write, changed := zone.write(d.state)
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
		plan.Changes = append(plan.Changes, zone.changes...)
	}
}

// write returns the zone's next record and whether it must be stored.
func (z *zoneDivision) write(state *ApportionState) (AllotmentWrite, bool) {
	slices.SortFunc(z.next, func(a, b cluster.ModelAllotment) int { return compareStrings(a.Model, b.Model) })
	slices.SortFunc(z.changes, func(a, b CountChange) int { return compareStrings(a.Model, b.Model) })
	machines := !slices.Equal(z.machines, z.view.Allotment.Machines)
	return AllotmentWrite{
		ExpectRevision: z.view.Allotment.Revision,
		Allotment: cluster.Allotment{
			Zone: z.view.Zone, SettingsRevision: state.Settings.Stamp.Revision,
			WrittenAt: state.Now.Truncate(time.Second), Machines: z.machines, Models: z.next,
		},
	}, machines || z.candidatesChanged || len(z.changes) > 0
}

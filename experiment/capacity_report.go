package experiment

import (
	"slices"
	"strings"
)

// Budgets per node that users set.
const (
	budgetCorePercent          = 3.8
	budgetMemoryMB             = 32
	budgetKilobytesPerSecond   = 13
	budgetConfigurationSeconds = 13
)

// CapacityRow is one quantity measured at several deployment sizes.
type CapacityRow struct {
	Who  string `json:"who"`
	What string `json:"what"`
	Unit string `json:"unit"`
	// Values holds one value per sample.
	Values []float64 `json:"values"`
	// Slope is the increase per zone, fitted by least squares over the samples. Whole is the value
	// of the fitted line at the full size.
	Slope float64 `json:"slope"`
	Whole float64 `json:"whole"`
	// Budget is the limit that users set, zero for none.
	Budget float64 `json:"budget,omitempty"`
}

// Over reports whether the value extrapolated to the full size exceeds the budget.
func (r *CapacityRow) Over() bool { return r.Budget > 0 && r.Whole > r.Budget }

// CapacityReport is the content of the capacity page.
type CapacityReport struct {
	Scenario string            `json:"scenario"`
	Whole    *CapacitySample   `json:"whole"`
	Samples  []*CapacitySample `json:"samples"`
	Rows     []*CapacityRow    `json:"rows"`
}

// NewCapacityReport extrapolates the samples to the full size of the scenario.
func NewCapacityReport(scenario *Scenario, samples []*CapacitySample) *CapacityReport {
	report := &CapacityReport{Scenario: scenario.Name, Whole: newCapacitySample(scenario), Samples: samples}
	for _, role := range Roles() {
		report.addRole(role)
	}
	report.addShared()
	report.add("configuration", "in force, p50", "s", 0, func(s *CapacitySample) float64 { return s.ConfigurationP50 })
	report.add("configuration", "in force, p99", "s", 0, func(s *CapacitySample) float64 { return s.ConfigurationP99 })
	report.add("configuration", "in force, last node", "s", budgetConfigurationSeconds, func(s *CapacitySample) float64 { return s.ConfigurationMax })
	report.add("requests", "arrived", "/s", 0, func(s *CapacitySample) float64 { return s.RequestsPerSecond })
	report.add("requests", "served of those", "share", 0, func(s *CapacitySample) float64 { return s.ServedShare })
	report.add("requests", "routing core, each", "us", 0, func(s *CapacitySample) float64 { return s.RequestCore * 1e6 })
	return report
}

// add adds a row for a quantity that every sample has.
func (r *CapacityReport) add(who, what, unit string, budget float64, value func(*CapacitySample) float64) {
	r.addWhere(who, what, unit, budget, value, func(*CapacitySample) bool { return true })
}

// addWhere adds a row for a quantity. The fit uses only the samples for which has returns true.
func (r *CapacityReport) addWhere(who, what, unit string, budget float64, value func(*CapacitySample) float64, has func(*CapacitySample) bool) {
	row := &CapacityRow{Who: who, What: what, Unit: unit, Budget: budget}
	var zones, values []float64
	for _, sample := range r.Samples {
		row.Values = append(row.Values, value(sample))
		if has(sample) {
			zones = append(zones, float64(sample.Zones))
			values = append(values, value(sample))
		}
	}
	var base float64
	base, row.Slope = fitLine(zones, values)
	row.Whole = max(0, base+row.Slope*float64(r.Whole.Zones))
	r.Rows = append(r.Rows, row)
}

// fitLine fits values = base + slope * positions by least squares.
func fitLine(positions, values []float64) (base, slope float64) {
	count := float64(len(values))
	if count == 0 {
		return 0, 0
	}
	var sumX, sumY, sumXX, sumXY float64
	for i, x := range positions {
		sumX, sumY, sumXX, sumXY = sumX+x, sumY+values[i], sumXX+x*x, sumXY+x*values[i]
	}
	if spread := count*sumXX - sumX*sumX; spread > 0 {
		slope = (count*sumXY - sumX*sumY) / spread
	}
	return (sumY - slope*sumX) / count, slope
}

// addRole adds the rows of a role.
func (r *CapacityReport) addRole(role Role) {
	has := func(s *CapacitySample) bool { return s.Roles[role].Nodes > 0 }
	add := func(what, unit string, budget float64, value func(*RoleCost) float64) {
		r.addWhere(string(role), what, unit, budget, func(s *CapacitySample) float64 { return value(s.Roles[role]) }, has)
	}
	add("processor", "% of a core", budgetCorePercent, func(c *RoleCost) float64 { return 100 * c.Core })
	for _, kind := range r.sortedKinds(role, func(c *RoleCost) map[string]float64 { return c.CoreBy }) {
		add("processor: "+kind, "% of a core", 0, func(c *RoleCost) float64 { return 100 * c.CoreBy[kind] })
	}
	add("memory", "MB", budgetMemoryMB, func(c *RoleCost) float64 { return c.Memory / 1e6 })
	add("sent and received", "KB/s", budgetKilobytesPerSecond, func(c *RoleCost) float64 { return (c.Sent + c.Received) / 1e3 })
	add("sent", "KB/s", 0, func(c *RoleCost) float64 { return c.Sent / 1e3 })
	for _, kind := range r.sortedKinds(role, func(c *RoleCost) map[string]float64 { return c.BytesBy }) {
		add("bytes: "+strings.TrimPrefix(kind, "wire."), "KB/s", 0, func(c *RoleCost) float64 { return c.BytesBy[kind] / 1e3 })
	}
	add("messages sent", "/s", 0, func(c *RoleCost) float64 { return c.MessagesSent })
}

// sortedKinds returns the sorted kinds into which the costs of a role are divided.
func (r *CapacityReport) sortedKinds(role Role, costs func(*RoleCost) map[string]float64) []string {
	var kinds []string
	for _, sample := range r.Samples {
		for kind, value := range costs(sample.Roles[role]) {
			if value > 0 && !slices.Contains(kinds, kind) {
				kinds = append(kinds, kind)
			}
		}
	}
	slices.Sort(kinds)
	return kinds
}

// addShared adds the rows of the shared services.
func (r *CapacityReport) addShared() {
	add := func(who, what, unit string, value func(*SharedCost) float64) {
		r.add(who, what, unit, 0, func(s *CapacitySample) float64 { return value(&s.Shared) })
	}
	add("key-value service", "range reads", "/s", func(c *SharedCost) float64 { return c.KeyValueReads })
	add("key-value service", "writes", "/s", func(c *SharedCost) float64 { return c.KeyValueWrites })
	add("key-value service", "lease keep-alives", "/s", func(c *SharedCost) float64 { return c.KeyValueKeepAlives })
	add("key-value service", "watch batches", "/s", func(c *SharedCost) float64 { return c.KeyValueBatches })
	add("key-value service", "bytes written", "KB/s", func(c *SharedCost) float64 { return c.KeyValueBytesIn / 1e3 })
	add("key-value service", "bytes read and watched", "KB/s", func(c *SharedCost) float64 { return c.KeyValueBytesOut / 1e3 })
	add("key-value service", "stored", "KB", func(c *SharedCost) float64 { return c.KeyValueStored / 1e3 })
	add("key-value service", "largest value", "KB", func(c *SharedCost) float64 { return c.LargestValue / 1e3 })
	add("machine list", "reads", "/s", func(c *SharedCost) float64 { return c.MachineListReads })
	add("weight store", "status reads", "/s", func(c *SharedCost) float64 { return c.StoreReads })
	for _, operation := range []string{"seal", "order", "inventory", "report", "cache events"} {
		add("engines", operation+" calls", "/s", func(c *SharedCost) float64 { return c.EngineCalls[operation] })
	}
	add("engines", "control calls to each", "/s", func(c *SharedCost) float64 { return c.EngineCallsEach })
}

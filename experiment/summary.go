package experiment

import (
	"math"
	"slices"
)

// Spread is a median with the interval that contains 95% of the values of the seeds. Quantiles are
// interpolated between order statistics.
type Spread struct {
	Median float64 `json:"median"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
}

// computeSpread returns the spread of values, zero if there are none.
func computeSpread(values []float64) Spread {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return Spread{Median: interpolateQuantile(sorted, 0.5), Low: interpolateQuantile(sorted, 0.025), High: interpolateQuantile(sorted, 0.975)}
}

// interpolateQuantile returns the interpolated quantile of sorted values, zero if there are none.
func interpolateQuantile(sorted []float64, quantile float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	position := quantile * float64(len(sorted)-1)
	below := int(position)
	if below+1 >= len(sorted) {
		return sorted[len(sorted)-1]
	}
	return sorted[below] + (position-float64(below))*(sorted[below+1]-sorted[below])
}

// Metric is a measured quantity of a run.
type Metric struct {
	// Name is the name in the CSV and JSON files.
	Name string
	// Title is the heading for display, with the unit.
	Title string
	value func(*Measurement) float64
}

// Metrics returns the metrics of a summary. Smaller is better for all of them.
func Metrics() []Metric {
	return []Metric{
		{"cold_start_p50", "cold p50 s", func(m *Measurement) float64 { return Quantile(m.ColdStart, 50) }},
		{"cold_start_p99", "cold p99 s", func(m *Measurement) float64 { return Quantile(m.ColdStart, 99) }},
		{"cold_start_p999", "cold p99.9 s", func(m *Measurement) float64 { return Quantile(m.ColdStart, 99.9) }},
		{"cold_share", "cold share", func(m *Measurement) float64 { return divide(float64(m.Cold), float64(m.Requests)) }},
		{"first_token_p95", "first token p95 s", func(m *Measurement) float64 { return Quantile(m.FirstToken, 95) }},
		{"first_token_p99", "first token p99 s", func(m *Measurement) float64 { return Quantile(m.FirstToken, 99) }},
		{"idle_hours", "idle accelerator h", func(m *Measurement) float64 { return m.IdleHours }},
		{"unserved_share", "unserved share", func(m *Measurement) float64 {
			return divide(float64(m.Requests-m.Served), float64(m.Requests))
		}},
		{"loads", "loads", func(m *Measurement) float64 { return float64(m.Loads) }},
	}
}

// divide returns the quotient, 0 for 0/0 and infinity for other divisions by zero.
func divide(numerator, denominator float64) float64 {
	if denominator == 0 {
		if numerator == 0 {
			return 0
		}
		return math.Inf(1)
	}
	return numerator / denominator
}

// Summary holds the results of one scenario under one policy over all seeds.
type Summary struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seeds    int    `json:"seeds"`
	// Metrics holds the spread of each metric by its name.
	Metrics map[string]Spread `json:"metrics"`
	// Ratios holds, by metric, the spread of the ratio to the run of the reference policy with the
	// same seed. It omits metrics for which a reference value is zero.
	Ratios map[string]Spread `json:"ratios,omitempty"`

	runs []*Measurement
}

// Summarize groups measurements by scenario and policy in order of their first appearance, and
// compares each group with the reference policy if there are measurements of it.
func Summarize(measurements []*Measurement, reference string) []*Summary {
	var summaries []*Summary
	index := map[[2]string]*Summary{}
	for _, measured := range measurements {
		key := [2]string{measured.Scenario, measured.Policy}
		if index[key] == nil {
			index[key] = &Summary{Scenario: measured.Scenario, Policy: measured.Policy}
			summaries = append(summaries, index[key])
		}
		index[key].runs = append(index[key].runs, measured)
	}
	for _, summary := range summaries {
		summary.computeMetrics(index[[2]string{summary.Scenario, reference}])
	}
	return summaries
}

// computeMetrics computes the spreads and, with a reference, the ratios.
func (s *Summary) computeMetrics(reference *Summary) {
	s.Seeds = len(s.runs)
	s.Metrics = map[string]Spread{}
	for _, metric := range Metrics() {
		values := make([]float64, 0, len(s.runs))
		for _, run := range s.runs {
			values = append(values, metric.value(run))
		}
		s.Metrics[metric.Name] = computeSpread(values)
	}
	if reference == nil || reference == s {
		return
	}
	s.Ratios = map[string]Spread{}
	for _, metric := range Metrics() {
		var ratios []float64
		for i, run := range s.runs {
			if referenceValue := metric.value(reference.runs[i]); referenceValue > 0 {
				ratios = append(ratios, metric.value(run)/referenceValue)
			}
		}
		if len(ratios) == len(s.runs) {
			s.Ratios[metric.Name] = computeSpread(ratios)
		}
	}
}

// Goal compares a policy with the fixed keep-alives of its scenario.
type Goal struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	// AtEqualIdle is the policy's 99th percentile of cold start divided by that of the fixed
	// keep-alives, interpolated at the same idle hours. AtEqualColdStart is its idle hours divided
	// by theirs, interpolated at the same 99th percentile. Both are zero, never NaN, if the fixed
	// keep-alives that ran do not cover the value.
	AtEqualIdle      float64 `json:"cold_start_at_equal_idle"`
	AtEqualColdStart float64 `json:"idle_at_equal_cold_start"`
}

// Goals compares every policy that is not a fixed keep-alive with the fixed keep-alives of its
// scenario, by medians.
func Goals(summaries []*Summary) []Goal {
	var goals []Goal
	for _, summary := range summaries {
		if isFixedKeepAlive(summary.Policy) {
			continue
		}
		var frontier []operatingPoint
		for _, other := range summaries {
			if other.Scenario == summary.Scenario && isFixedKeepAlive(other.Policy) {
				frontier = append(frontier, other.operatingPoint())
			}
		}
		own := summary.operatingPoint()
		goals = append(goals, Goal{
			Scenario: summary.Scenario, Policy: summary.Policy,
			AtEqualIdle:      ratioOrZero(own.cold, interpolate(frontier, own.idle, idleAxes)),
			AtEqualColdStart: ratioOrZero(own.idle, interpolate(frontier, own.cold, coldStartAxes)),
		})
	}
	return goals
}

// isFixedKeepAlive reports whether the policy is a fixed keep-alive.
func isFixedKeepAlive(policy string) bool { return len(policy) > 6 && policy[:6] == "fixed-" }

// operatingPoint holds a policy's idle hours and its 99th percentile of cold start.
type operatingPoint struct{ idle, cold float64 }

// operatingPoint returns the medians of the summary as a point.
func (s *Summary) operatingPoint() operatingPoint {
	return operatingPoint{idle: s.Metrics["idle_hours"].Median, cold: s.Metrics["cold_start_p99"].Median}
}

// idleAxes returns the idle hours as position and the cold start as value; coldStartAxes returns the reverse.
func idleAxes(p operatingPoint) (float64, float64)      { return p.idle, p.cold }
func coldStartAxes(p operatingPoint) (float64, float64) { return p.cold, p.idle }

// interpolate returns the value of the frontier at a position, or NaN outside its range. The axes
// function selects position and value of a point.
func interpolate(frontier []operatingPoint, at float64, axes func(operatingPoint) (float64, float64)) float64 {
	sorted := slices.Clone(frontier)
	slices.SortFunc(sorted, func(a, b operatingPoint) int {
		left, _ := axes(a)
		right, _ := axes(b)
		if left < right {
			return -1
		}
		return 1
	})
	for i := 1; i < len(sorted); i++ {
		x0, y0 := axes(sorted[i-1])
		x1, y1 := axes(sorted[i])
		if at >= x0 && at <= x1 && x1 > x0 {
			return y0 + (at-x0)/(x1-x0)*(y1-y0)
		}
	}
	return math.NaN()
}

// ratioOrZero returns own divided by other, or zero if other is zero or NaN.
func ratioOrZero(own, other float64) float64 {
	if math.IsNaN(other) || other == 0 {
		return 0
	}
	return own / other
}

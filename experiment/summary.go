package experiment

import (
	"math"
	"slices"
)

// Spread is a median with the interval that holds 95% of the seeds' values,
// interpolated between order statistics.
type Spread struct {
	Median float64 `json:"median"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
}

// spreadOf returns the spread of values, zero for none.
func spreadOf(values []float64) Spread {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return Spread{Median: orderStatistic(sorted, 0.5), Low: orderStatistic(sorted, 0.025), High: orderStatistic(sorted, 0.975)}
}

// orderStatistic interpolates the quantile of sorted values.
func orderStatistic(sorted []float64, quantile float64) float64 {
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

// Metric is one measured quantity of a run.
type Metric struct {
	// Name as in the CSV and JSON files.
	Name string
	// Title for people, with the unit.
	Title string
	value func(*Measurement) float64
}

// Metrics lists what a summary holds. Smaller is better for all.
func Metrics() []Metric {
	return []Metric{
		{"cold_start_p50", "cold p50 s", func(m *Measurement) float64 { return Quantile(m.ColdStart, 50) }},
		{"cold_start_p99", "cold p99 s", func(m *Measurement) float64 { return Quantile(m.ColdStart, 99) }},
		{"cold_start_p999", "cold p99.9 s", func(m *Measurement) float64 { return Quantile(m.ColdStart, 99.9) }},
		{"cold_share", "cold share", func(m *Measurement) float64 { return ratio(float64(m.Cold), float64(m.Requests)) }},
		{"first_token_p95", "first token p95 s", func(m *Measurement) float64 { return Quantile(m.FirstToken, 95) }},
		{"first_token_p99", "first token p99 s", func(m *Measurement) float64 { return Quantile(m.FirstToken, 99) }},
		{"idle_hours", "idle accelerator h", func(m *Measurement) float64 { return m.IdleHours }},
		{"unserved_share", "unserved share", func(m *Measurement) float64 {
			return ratio(float64(m.Requests-m.Served), float64(m.Requests))
		}},
		{"loads", "loads", func(m *Measurement) float64 { return float64(m.Loads) }},
	}
}

// ratio divides, giving 0 for nothing over nothing.
func ratio(over, under float64) float64 {
	if under == 0 {
		if over == 0 {
			return 0
		}
		return math.Inf(1)
	}
	return over / under
}

// Summary is one scenario under one policy over all seeds.
type Summary struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seeds    int    `json:"seeds"`
	// Metrics by name.
	Metrics map[string]Spread `json:"metrics"`
	// Ratios to the reference policy's run of the same seed, by metric;
	// metrics whose reference is zero are left out.
	Ratios map[string]Spread `json:"ratios,omitempty"`

	runs []*Measurement
}

// Summarize groups measurements by scenario and policy, in order of their first
// appearance, and compares each with the reference policy, if it ran.
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
		summary.fill(index[[2]string{summary.Scenario, reference}])
	}
	return summaries
}

// fill computes the spreads and, with a reference, the ratios.
func (s *Summary) fill(reference *Summary) {
	s.Seeds = len(s.runs)
	s.Metrics = map[string]Spread{}
	for _, metric := range Metrics() {
		values := make([]float64, 0, len(s.runs))
		for _, run := range s.runs {
			values = append(values, metric.value(run))
		}
		s.Metrics[metric.Name] = spreadOf(values)
	}
	if reference == nil || reference == s {
		return
	}
	s.Ratios = map[string]Spread{}
	for _, metric := range Metrics() {
		var ratios []float64
		for i, run := range s.runs {
			if under := metric.value(reference.runs[i]); under > 0 {
				ratios = append(ratios, metric.value(run)/under)
			}
		}
		if len(ratios) == len(s.runs) {
			s.Ratios[metric.Name] = spreadOf(ratios)
		}
	}
}

// Goal compares a policy with the best fixed keep-alive of its scenario.
type Goal struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	// AtEqualIdle is the policy's p99 cold start over that of the fixed
	// keep-alives interpolated at the same idle hours; AtEqualColdStart is its
	// idle hours over theirs at the same p99. NaN-free: zero when the fixed
	// keep-alives that ran do not reach that far.
	AtEqualIdle      float64 `json:"cold_start_at_equal_idle"`
	AtEqualColdStart float64 `json:"idle_at_equal_cold_start"`
}

// Goals compares every policy that is no fixed keep-alive with the frontier of
// the fixed keep-alives of its scenario, by medians.
func Goals(summaries []*Summary) []Goal {
	var goals []Goal
	for _, summary := range summaries {
		if isFixed(summary.Policy) {
			continue
		}
		var frontier []point
		for _, other := range summaries {
			if other.Scenario == summary.Scenario && isFixed(other.Policy) {
				frontier = append(frontier, other.point())
			}
		}
		own := summary.point()
		goals = append(goals, Goal{
			Scenario: summary.Scenario, Policy: summary.Policy,
			AtEqualIdle:      compare(own.cold, interpolate(frontier, own.idle, byIdle)),
			AtEqualColdStart: compare(own.idle, interpolate(frontier, own.cold, byCold)),
		})
	}
	return goals
}

// isFixed reports whether the policy is a fixed keep-alive.
func isFixed(policy string) bool { return len(policy) > 6 && policy[:6] == "fixed-" }

// point is a policy's idle hours and p99 cold start.
type point struct{ idle, cold float64 }

func (s *Summary) point() point {
	return point{idle: s.Metrics["idle_hours"].Median, cold: s.Metrics["cold_start_p99"].Median}
}

func byIdle(p point) (float64, float64) { return p.idle, p.cold }
func byCold(p point) (float64, float64) { return p.cold, p.idle }

// interpolate returns the frontier's value at a position, false outside it.
func interpolate(frontier []point, at float64, axes func(point) (float64, float64)) float64 {
	sorted := slices.Clone(frontier)
	slices.SortFunc(sorted, func(a, b point) int {
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

// compare returns own over other, zero when there is no other.
func compare(own, other float64) float64 {
	if math.IsNaN(other) || other == 0 {
		return 0
	}
	return own / other
}

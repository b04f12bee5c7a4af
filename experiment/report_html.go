package experiment

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// reportTemplate is the template of the HTML report.
var reportTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>valveslip experiment</title>
<style>
body{font:15px/1.4 sans-serif;margin:2em auto;max-width:75em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .7em;border-bottom:1px solid #ccc;text-align:right}
td:first-child,th:first-child{text-align:left}figure{display:inline-block;margin:.5em}
</style></head><body>
<h1>valveslip experiment</h1>
<p>Medians over seeds with the interval that holds 95% of them. Cold start is, over all requests, the time a request
waited while no replica of its model was loaded. Idle accelerator hours count loaded replicas without a request.</p>
{{range .}}<h2>{{.Name}}</h2>
<table><tr><th>policy</th>{{range .Header}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr><td>{{.Policy}}</td>{{range .Cells}}<td>{{.}}</td>{{end}}</tr>{{end}}</table>
{{range .Plots}}<figure>{{.}}</figure>{{end}}
{{end}}</body></html>
`))

// scenarioSection is the section of one scenario.
type scenarioSection struct {
	Name   string
	Header []string
	Rows   []policyRow
	Plots  []template.HTML
}

// policyRow is the table row of one policy.
type policyRow struct {
	Policy string
	Cells  []string
}

// Text formats a spread for display.
func (s Spread) Text() string {
	return fmt.Sprintf("%.4g [%.4g, %.4g]", s.Median, s.Low, s.High)
}

// writeHTML writes the report as one self-contained page.
func (r *Report) writeHTML(to io.Writer) error {
	var scenarios []scenarioSection
	for _, name := range r.scenarioNames() {
		scenario := scenarioSection{Name: name}
		for _, metric := range Metrics() {
			scenario.Header = append(scenario.Header, metric.Title)
		}
		var firstRuns []*Measurement
		for _, summary := range r.Summaries {
			if summary.Scenario != name {
				continue
			}
			row := policyRow{Policy: summary.Policy}
			for _, metric := range Metrics() {
				row.Cells = append(row.Cells, summary.Metrics[metric.Name].Text())
			}
			scenario.Rows = append(scenario.Rows, row)
			if run := r.firstRun(name, summary.Policy); run != nil {
				firstRuns = append(firstRuns, run)
			}
		}
		plots, err := drawPlots(firstRuns)
		if err != nil {
			return err
		}
		scenario.Plots = plots
		scenarios = append(scenarios, scenario)
	}
	return reportTemplate.Execute(to, scenarios)
}

// scenarioNames returns the names of the scenarios in order.
func (r *Report) scenarioNames() []string {
	var names []string
	for _, summary := range r.Summaries {
		if len(names) == 0 || names[len(names)-1] != summary.Scenario {
			names = append(names, summary.Scenario)
		}
	}
	return names
}

// firstRun returns the run of a policy with the first seed, or nil.
func (r *Report) firstRun(scenario, policy string) *Measurement {
	for _, m := range r.Measurements {
		if m.Scenario == scenario && m.Policy == policy {
			return m
		}
	}
	return nil
}

// drawPlots returns the plots of a scenario, given one run per policy.
func drawPlots(runs []*Measurement) ([]template.HTML, error) {
	timeSeries := func(value func(Sample) float64) func(*Measurement) plotter.XYs {
		return func(m *Measurement) plotter.XYs {
			points := make(plotter.XYs, len(m.Samples))
			for i, sample := range m.Samples {
				points[i] = plotter.XY{X: sample.Hours, Y: value(sample)}
			}
			return points
		}
	}
	lines := []struct {
		title, x, y string
		points      func(*Measurement) plotter.XYs
	}{
		{"Cold start, cumulative distribution over all requests", "seconds", "share of requests", coldStartDistribution},
		{"First token, p99 of each interval", "hours", "seconds", timeSeries(func(s Sample) float64 { return s.FirstToken99 })},
		{"Loaded replicas", "hours", "replicas", timeSeries(func(s Sample) float64 { return float64(s.Loaded) })},
		{"Idle accelerators", "hours", "accelerators", timeSeries(func(s Sample) float64 { return s.Idle })},
		{"Weight store", "hours", "fetches at once", timeSeries(func(s Sample) float64 { return float64(s.Store) })},
	}
	var images []template.HTML
	for _, line := range lines {
		chart := plot.New()
		chart.Title.Text, chart.X.Label.Text, chart.Y.Label.Text = line.title, line.x, line.y
		for i, run := range runs {
			curve, err := plotter.NewLine(line.points(run))
			if err != nil {
				return nil, err
			}
			curve.Color, curve.Dashes = plotutil.Color(i), plotutil.Dashes(i/7)
			chart.Add(curve)
			chart.Legend.Add(run.Policy, curve)
		}
		svg, err := renderSVG(chart)
		if err != nil {
			return nil, err
		}
		images = append(images, svg)
	}
	bars, err := refusalBars(runs)
	if err != nil {
		return nil, err
	}
	return append(images, bars), nil
}

// coldStartDistribution returns the cumulative distribution of the cold start times.
func coldStartDistribution(m *Measurement) plotter.XYs {
	points := make(plotter.XYs, 0, len(storedPercentiles))
	for i, percentile := range storedPercentiles {
		if i < len(m.ColdStart) {
			points = append(points, plotter.XY{X: m.ColdStart[i], Y: percentile / 100})
		}
	}
	return points
}

// refusalBars draws the number of unserved requests by reason, with one group of bars per policy.
func refusalBars(runs []*Measurement) (template.HTML, error) {
	chart := plot.New()
	chart.Title.Text, chart.Y.Label.Text = "Requests that were not served, by reason", "requests"
	codes := refusalCodes(runs)
	names := make([]string, len(runs))
	const barWidth = 6 * vg.Millimeter
	for i, code := range codes {
		values := make(plotter.Values, len(runs))
		for j, run := range runs {
			names[j], values[j] = run.Policy, float64(run.Refusals[code])
		}
		bars, err := plotter.NewBarChart(values, barWidth/vg.Length(len(codes)))
		if err != nil {
			return "", err
		}
		bars.Color, bars.LineStyle.Width = plotutil.Color(i), 0
		bars.Offset = barWidth / vg.Length(len(codes)) * vg.Length(float64(i)-float64(len(codes)-1)/2)
		chart.Add(bars)
		chart.Legend.Add(string(code), bars)
	}
	if len(codes) == 0 {
		chart.Title.Text = "Every request was served"
	}
	if len(runs) > 0 && len(codes) > 0 {
		chart.NominalX(names...)
		chart.X.Tick.Label.Rotation = math.Pi / 6
		chart.X.Tick.Label.XAlign = draw.XRight
	}
	return renderSVG(chart)
}

// renderSVG returns a plot as inline SVG.
func renderSVG(chart *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	chart.Legend.Top = true
	chart.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	text := out.Bytes()
	if start := bytes.Index(text, []byte("<svg")); start > 0 {
		text = text[start:]
	}
	return template.HTML(text), nil
}

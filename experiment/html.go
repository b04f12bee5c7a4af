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

// The size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// page is the template of the report.
var page = template.Must(template.New("report").Parse(`<!doctype html>
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

// pageScenario is one scenario in the report.
type pageScenario struct {
	Name   string
	Header []string
	Rows   []pageRow
	Plots  []template.HTML
}

// pageRow is one policy's row.
type pageRow struct {
	Policy string
	Cells  []string
}

// Text writes a spread for people.
func (s Spread) Text() string {
	return fmt.Sprintf("%.4g [%.4g, %.4g]", s.Median, s.Low, s.High)
}

// writeHTML writes one self-contained page.
func (r *Report) writeHTML(to io.Writer) error {
	var scenarios []pageScenario
	for _, name := range r.scenarios() {
		scenario := pageScenario{Name: name}
		for _, metric := range Metrics() {
			scenario.Header = append(scenario.Header, metric.Title)
		}
		var first []*Measurement
		for _, summary := range r.Summaries {
			if summary.Scenario != name {
				continue
			}
			row := pageRow{Policy: summary.Policy}
			for _, metric := range Metrics() {
				row.Cells = append(row.Cells, summary.Metrics[metric.Name].Text())
			}
			scenario.Rows = append(scenario.Rows, row)
			if run := r.firstRun(name, summary.Policy); run != nil {
				first = append(first, run)
			}
		}
		plots, err := drawPlots(first)
		if err != nil {
			return err
		}
		scenario.Plots = plots
		scenarios = append(scenarios, scenario)
	}
	return page.Execute(to, scenarios)
}

// scenarios lists the scenarios in order.
func (r *Report) scenarios() []string {
	var names []string
	for _, summary := range r.Summaries {
		if len(names) == 0 || names[len(names)-1] != summary.Scenario {
			names = append(names, summary.Scenario)
		}
	}
	return names
}

// firstRun returns the first seed's run of a policy.
func (r *Report) firstRun(scenario, policy string) *Measurement {
	for _, m := range r.Measurements {
		if m.Scenario == scenario && m.Policy == policy {
			return m
		}
	}
	return nil
}

// drawPlots draws the plots of one scenario from one run a policy.
func drawPlots(runs []*Measurement) ([]template.HTML, error) {
	over := func(value func(Sample) float64) func(*Measurement) plotter.XYs {
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
		{"Cold start, cumulative distribution over all requests", "seconds", "share of requests", coldCurve},
		{"First token, p99 of each interval", "hours", "seconds", over(func(s Sample) float64 { return s.FirstToken99 })},
		{"Loaded replicas", "hours", "replicas", over(func(s Sample) float64 { return float64(s.Loaded) })},
		{"Idle accelerators", "hours", "accelerators", over(func(s Sample) float64 { return s.Idle })},
		{"Weight store", "hours", "fetches at once", over(func(s Sample) float64 { return float64(s.Store) })},
	}
	var drawn []template.HTML
	for _, line := range lines {
		created := plot.New()
		created.Title.Text, created.X.Label.Text, created.Y.Label.Text = line.title, line.x, line.y
		for i, run := range runs {
			curve, err := plotter.NewLine(line.points(run))
			if err != nil {
				return nil, err
			}
			curve.Color, curve.Dashes = plotutil.Color(i), plotutil.Dashes(i/7)
			created.Add(curve)
			created.Legend.Add(run.Policy, curve)
		}
		svg, err := render(created)
		if err != nil {
			return nil, err
		}
		drawn = append(drawn, svg)
	}
	bars, err := refusalBars(runs)
	if err != nil {
		return nil, err
	}
	return append(drawn, bars), nil
}

// coldCurve is the distribution of cold starts.
func coldCurve(m *Measurement) plotter.XYs {
	points := make(plotter.XYs, 0, len(quantiles))
	for i, percentile := range quantiles {
		if i < len(m.ColdStart) {
			points = append(points, plotter.XY{X: m.ColdStart[i], Y: percentile / 100})
		}
	}
	return points
}

// refusalBars draws unserved requests by reason, one group a policy.
func refusalBars(runs []*Measurement) (template.HTML, error) {
	created := plot.New()
	created.Title.Text, created.Y.Label.Text = "Requests that were not served, by reason", "requests"
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
		created.Add(bars)
		created.Legend.Add(string(code), bars)
	}
	if len(codes) == 0 {
		created.Title.Text = "Every request was served"
	}
	if len(runs) > 0 && len(codes) > 0 {
		created.NominalX(names...)
		created.X.Tick.Label.Rotation = math.Pi / 6
		created.X.Tick.Label.XAlign = draw.XRight
	}
	return render(created)
}

// render draws a plot as inline SVG.
func render(created *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	created.Legend.Top = true
	created.Draw(draw.New(canvas))
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

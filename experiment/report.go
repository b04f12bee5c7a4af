package experiment

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/verdict"
)

// Report is the result of a plan. It contains no real times, so two runs of the same plan write the
// same bytes.
type Report struct {
	Reference    string         `json:"reference"`
	Summaries    []*Summary     `json:"summaries"`
	Goals        []Goal         `json:"goals"`
	Measurements []*Measurement `json:"measurements"`
}

// NewReport summarizes measurements and compares them with a reference policy.
func NewReport(measurements []*Measurement, reference string) *Report {
	summaries := Summarize(measurements, reference)
	return &Report{Reference: reference, Summaries: summaries, Goals: Goals(summaries), Measurements: measurements}
}

// ReadReport reads results.json of an earlier run.
func ReadReport(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read earlier results")
	}
	var earlier Report
	if err := json.Unmarshal(data, &earlier); err != nil {
		return nil, eris.Wrapf(err, "decode earlier results %s", path)
	}
	return &earlier, nil
}

// Summary returns the summary of a scenario and policy, or nil.
func (r *Report) Summary(scenario, policy string) *Summary {
	for _, summary := range r.Summaries {
		if summary.Scenario == scenario && summary.Policy == policy {
			return summary
		}
	}
	return nil
}

// Write writes results.json, summary.csv, samples.csv and report.html to the directory.
func (r *Report) Write(directory string) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return eris.Wrap(err, "create the output folder")
	}
	files := []struct {
		name  string
		write func(io.Writer) error
	}{
		{"results.json", r.writeJSON},
		{"summary.csv", r.writeSummary},
		{"samples.csv", r.writeSamples},
		{"report.html", r.writeHTML},
	}
	for _, file := range files {
		if err := writeFile(filepath.Join(directory, file.name), file.write); err != nil {
			return eris.Wrapf(err, "write %s", file.name)
		}
	}
	return nil
}

// writeFile creates a file, and closes it even if writing fails.
func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	err = write(file)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (r *Report) writeJSON(to io.Writer) error {
	encoder := json.NewEncoder(to)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

// writeSummary writes one row per run with all metrics.
func (r *Report) writeSummary(to io.Writer) error {
	writer := csv.NewWriter(to)
	header := []string{"scenario", "policy", "seed", "requests", "served", "hash"}
	for _, metric := range Metrics() {
		header = append(header, metric.Name)
	}
	rows := [][]string{append(header, "refusals")}
	for _, m := range r.Measurements {
		row := []string{m.Scenario, m.Policy, strconv.FormatUint(m.Seed, 10), strconv.Itoa(m.Requests), strconv.Itoa(m.Served), fmt.Sprintf("%016x", m.Hash)}
		for _, metric := range Metrics() {
			row = append(row, strconv.FormatFloat(metric.value(m), 'g', 6, 64))
		}
		rows = append(rows, append(row, refusalText(m.Refusals)))
	}
	return writer.WriteAll(rows)
}

// refusalText formats the refusals by code, sorted by code.
func refusalText(refusals map[verdict.Code]int) string {
	text := ""
	for _, code := range slices.Sorted(maps.Keys(refusals)) {
		text += fmt.Sprintf("%s=%d ", code, refusals[code])
	}
	return text
}

// writeSamples writes the samples of all runs.
func (r *Report) writeSamples(to io.Writer) error {
	writer := csv.NewWriter(to)
	rows := [][]string{{"scenario", "policy", "seed", "hours", "loaded", "idle_accelerators", "store_fetches", "first_token_p99"}}
	for _, m := range r.Measurements {
		for _, sample := range m.Samples {
			rows = append(rows, []string{
				m.Scenario, m.Policy, strconv.FormatUint(m.Seed, 10), strconv.FormatFloat(sample.Hours, 'f', 2, 64),
				strconv.Itoa(sample.Loaded), strconv.FormatFloat(sample.Idle, 'f', 3, 64), strconv.Itoa(sample.Store),
				strconv.FormatFloat(sample.FirstToken99, 'f', 3, 64),
			})
		}
	}
	return writer.WriteAll(rows)
}

// refusalCodes returns the sorted codes that occur in any run.
func refusalCodes(runs []*Measurement) []verdict.Code {
	seen := map[verdict.Code]bool{}
	for _, run := range runs {
		for code := range run.Refusals {
			seen[code] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

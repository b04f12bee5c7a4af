package soak

import (
	"encoding/json"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/soak/check"
	"github.com/valveslip/valveslip/soak/plan"
)

// Report is the result of a run. Times of breaches count from the start of the run, times in
// the logs from the start of each process.
type Report struct {
	Schedule plan.Schedule `json:"schedule"`
	Took     time.Duration `json:"took"`
	// Began is the wall-clock time at which the run started.
	Began time.Time `json:"began"`
	// Faults is the number of affected targets by kind of fault, Requests the number of
	// requests by outcome.
	Faults   map[plan.Kind]int `json:"faults"`
	Requests map[string]int    `json:"requests"`
	// Recovered is how long after the faults the last node served every route.
	Recovered time.Duration `json:"recovered"`
	// Lives is the number of node processes that were started.
	Lives    int             `json:"lives"`
	Runs     int             `json:"runs"`
	Orders   int             `json:"orders"`
	Usage    Usage           `json:"usage"`
	Findings []check.Finding `json:"findings"`
	// ConfigurationTook is how long after the store accepted a version connected nodes first
	// served a route of it. LeavingTook is how long after a worker's announcement that it
	// leaves they sent it their last request.
	ConfigurationTook check.Distributions `json:"configuration_took"`
	LeavingTook       check.Distributions `json:"leaving_took"`
	// AfterKills counts the streams that kills of all nodes broke off.
	AfterKills check.StreamsAfterKills `json:"after_kills"`
	LogDir     string                  `json:"log_dir"`
}

// Breaches returns the breaches of all promises.
func (r *Report) Breaches() []check.Breach { return check.Breaches(r.Findings) }

// NotJudged returns the promises that were tested but have too few evaluated observations.
func (r *Report) NotJudged() []check.Promise { return check.NotJudged(r.Findings) }

// Write writes the report to a file as JSON.
func (r *Report) Write(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode the report")
	}
	return eris.Wrap(os.WriteFile(path, data, 0o644), "write the report")
}

// report runs the checks and returns the report of the run.
func (r *run) report() *Report {
	history := r.gather()
	report := &Report{
		Schedule: r.options.Schedule, Took: r.recorder.elapsed(), Began: r.recorder.began, Faults: r.faults,
		Requests: map[string]int{}, Runs: len(history.Runs), Orders: len(history.Orders),
		Usage: r.usage.peak(), Findings: check.Judge(history), LogDir: r.options.LogDir,
		ConfigurationTook: check.ConfigurationTook(history), LeavingTook: check.LeavingTook(history),
		AfterKills: check.CountStreamsAfterKills(history),
	}
	for i := range history.Requests {
		report.Requests[outcome(&history.Requests[i])]++
	}
	for _, recovery := range history.Recoveries {
		report.Recovered = max(report.Recovered, recovery.Took)
	}
	for _, node := range r.nodes {
		lives, _ := node.currentLife()
		report.Lives += lives
	}
	return report
}

// outcome returns the name of a request's outcome in the report.
func outcome(request *check.Request) string {
	switch {
	case request.Failure == "":
		return strconv.Itoa(request.Status)
	case request.Status == 0:
		return "no answer"
	}
	return "cut answer"
}

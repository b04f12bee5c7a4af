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

// Report is what a run came to. Times of breaches count from the run's begin, as do
// those of the logs from the processes' starts.
type Report struct {
	Schedule plan.Schedule `json:"schedule"`
	Took     time.Duration `json:"took"`
	// Began is the wall clock's time of zero.
	Began time.Time `json:"began"`
	// Faults counts the targets struck by kind, Requests the requests by outcome.
	Faults   map[plan.Kind]int `json:"faults"`
	Requests map[string]int    `json:"requests"`
	// Recovered is how long after the faults the last node served every route.
	Recovered time.Duration `json:"recovered"`
	// Lives counts the processes that were started.
	Lives    int             `json:"lives"`
	Runs     int             `json:"runs"`
	Orders   int             `json:"orders"`
	Usage    Usage           `json:"usage"`
	Findings []check.Finding `json:"findings"`
	// ConfigurationTook is how long after a version was taken nodes in touch first served by
	// it, LeavingTook how long after a worker's leaving they sent it their last request.
	ConfigurationTook check.Spreads `json:"configuration_took"`
	LeavingTook       check.Spreads `json:"leaving_took"`
	LogDir            string        `json:"log_dir"`
}

// Breaches are the promises found broken.
func (r *Report) Breaches() []check.Breach { return check.Breaches(r.Findings) }

// NotJudged are the promises that were tested and judged too seldom.
func (r *Report) NotJudged() []check.Promise { return check.NotJudged(r.Findings) }

// Write writes the report as JSON.
func (r *Report) Write(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return eris.Wrap(err, "report")
	}
	return eris.Wrap(os.WriteFile(path, data, 0o644), "report")
}

// report judges the run.
func (r *run) report() *Report {
	history := r.gather()
	report := &Report{
		Schedule: r.options.Schedule, Took: r.recorder.now(), Began: r.recorder.began, Faults: r.faults,
		Requests: map[string]int{}, Runs: len(history.Runs), Orders: len(history.Orders),
		Usage: r.usage.peak(), Findings: check.Judge(history), LogDir: r.options.LogDir,
		ConfigurationTook: check.ConfigurationTook(history), LeavingTook: check.LeavingTook(history),
	}
	for i := range history.Requests {
		report.Requests[outcome(&history.Requests[i])]++
	}
	for _, recovery := range history.Recoveries {
		report.Recovered = max(report.Recovered, recovery.Took)
	}
	for _, node := range r.nodes {
		lives, _ := node.present()
		report.Lives += lives
	}
	return report
}

// outcome names how a request ended.
func outcome(request *check.Request) string {
	switch {
	case request.Failure == "":
		return strconv.Itoa(request.Status)
	case request.Status == 0:
		return "no answer"
	}
	return "cut answer"
}

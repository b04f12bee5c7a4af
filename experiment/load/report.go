package load

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/olekukonko/tablewriter"
	"github.com/rotisserie/eris"
)

// Latencies summarizes a latency histogram in milliseconds.
type Latencies struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Report holds the measurements of a run.
type Report struct {
	// Seconds is the time over which requests were started, Requests the number of requests
	// scheduled in it.
	Seconds  float64 `json:"seconds"`
	Requests int     `json:"requests"`
	// Served requests received the complete and expected answer.
	Served int `json:"served"`
	// Refused requests did not run. Failed requests received an error that says that they ran or
	// may have run. Both are counted by error code.
	Refused map[string]int `json:"refused"`
	Failed  map[string]int `json:"failed"`
	// Moved requests were retried on another target because the first one refused them or was
	// unreachable.
	Moved int `json:"moved"`
	// Cancelled requests were ended on purpose by a disconnect of their client.
	Cancelled int `json:"cancelled"`
	// Broken counts connections that failed before the answer was complete, Unreachable the
	// requests that could not connect to their target.
	Broken      int `json:"broken"`
	Unreachable int `json:"unreachable"`
	// Lost requests did not end within Config.LostAfter.
	Lost int `json:"lost"`
	// Wrong answers ended normally but were not the expected ones.
	Wrong int `json:"wrong"`
	// Doubled requests were not repeatable and ran more than once.
	Doubled int `json:"doubled"`
	// RanThoughRefused requests ran although they were refused with the verdict not-run.
	RanThoughRefused int `json:"ran_though_refused"`
	// NotSent requests were dropped because of Config.MaxInFlight.
	NotSent int `json:"not_sent"`

	RequestsPerSecond float64 `json:"requests_per_second"`
	TokensPerSecond   float64 `json:"tokens_per_second"`

	// Latency is the time to the end of served answers. BetweenTokens and FirstToken are measured
	// on streams, FirstToken only if the model was warm when the request started. ColdStart is the
	// time to the first byte of requests that had to wait for their model to load.
	Latency       Latencies `json:"latency"`
	FirstToken    Latencies `json:"first_token"`
	ColdStart     Latencies `json:"cold_start"`
	BetweenTokens Latencies `json:"between_tokens"`

	// Examples describes a few of the broken, lost and wrong requests.
	Examples []string `json:"examples,omitempty"`
}

// Violations lists the violated guarantees, or returns nil if all held. A broken connection is
// a violation because the load generator never kills a node.
func (r *Report) Violations() []string {
	var broken []string
	for _, promise := range []struct {
		count int
		text  string
	}{
		{r.Lost, "requests had no end in time"},
		{r.Broken, "connections broke"},
		{r.Wrong, "answers were not whole or not the caller's own"},
		{r.Doubled, "not repeatable requests ran more than once"},
		{r.RanThoughRefused, "requests ran although refused as not run"},
	} {
		if promise.count > 0 {
			broken = append(broken, fmt.Sprintf("%d %s", promise.count, promise.text))
		}
	}
	return broken
}

const (
	// Histograms record microseconds, up to ten minutes, with three significant digits.
	highestMicroseconds = int64(10 * time.Minute / time.Microsecond)
	significantDigits   = 3
	maxExamples         = 5
)

// newHistogram returns an empty histogram in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestMicroseconds, significantDigits)
}

// record adds a duration to the histogram, limited to the range that it can hold.
func record(histogram *hdrhistogram.Histogram, value time.Duration) {
	_ = histogram.RecordValue(min(max(value.Microseconds(), 1), highestMicroseconds))
}

// summarize returns the percentiles of a histogram.
func summarize(histogram *hdrhistogram.Histogram) Latencies {
	milliseconds := func(percentile float64) float64 {
		return float64(histogram.ValueAtPercentile(percentile)) / 1000
	}
	return Latencies{
		Count: histogram.TotalCount(), P50: milliseconds(50), P95: milliseconds(95), P99: milliseconds(99),
		Max: float64(histogram.Max()) / 1000,
	}
}

// resultCollector aggregates the results of requests. It is safe for concurrent use.
type resultCollector struct {
	mu                                            sync.Mutex
	counts                                        Report
	tokens                                        int
	latency, firstToken, coldStart, betweenTokens *hdrhistogram.Histogram
	// nonRepeatableSeeds and refusedSeeds are the prompt seeds whose executions are counted at the
	// end of the run.
	nonRepeatableSeeds, refusedSeeds map[uint64]struct{}
}

func newResultCollector() *resultCollector {
	return &resultCollector{
		nonRepeatableSeeds: map[uint64]struct{}{}, refusedSeeds: map[uint64]struct{}{},
		counts:  Report{Refused: map[string]int{}, Failed: map[string]int{}},
		latency: newHistogram(), firstToken: newHistogram(), coldStart: newHistogram(), betweenTokens: newHistogram(),
	}
}

// addNotSent counts a request that was not sent.
func (t *resultCollector) addNotSent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Requests++
	t.counts.NotSent++
}

// add counts a request that has ended.
func (t *resultCollector) add(request *request, result *result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Requests++
	t.tokens += result.tokens
	if result.retried {
		t.counts.Moved++
	}
	if !request.repeatable {
		t.nonRepeatableSeeds[request.seed()] = struct{}{}
	}
	switch result.outcome {
	case outcomeServed:
		t.addServed(request, result)
	case outcomeRefused:
		t.counts.Refused[result.errorCode]++
		if request.idempotencyKey == "" { // of a pair with the same key, the other request may have run
			t.refusedSeeds[request.seed()] = struct{}{}
		}
	case outcomeFailed:
		t.counts.Failed[result.errorCode]++
	case outcomeCancelled:
		t.counts.Cancelled++
	case outcomeUnreachable:
		t.counts.Unreachable++
	case outcomeBroken:
		t.addFailure(&t.counts.Broken, request, result)
	case outcomeLost:
		t.addFailure(&t.counts.Lost, request, result)
	case outcomeWrong:
		t.addFailure(&t.counts.Wrong, request, result)
	}
}

// addServed counts a served answer and records its latencies.
func (t *resultCollector) addServed(request *request, result *result) {
	t.counts.Served++
	record(t.latency, result.total)
	switch {
	case request.coldStart:
		record(t.coldStart, result.firstToken)
	case request.stream:
		record(t.firstToken, result.firstToken)
	}
	for _, gap := range result.tokenGaps {
		record(t.betweenTokens, gap)
	}
}

// addFailure increments the count of a violated guarantee and keeps the first few requests as
// examples.
func (t *resultCollector) addFailure(count *int, request *request, result *result) {
	*count++
	if len(t.counts.Examples) < maxExamples {
		t.counts.Examples = append(t.counts.Examples, fmt.Sprintf("model %s at %s, stream %v, after %s and %d tokens: %s",
			request.model, request.target, request.stream, result.total.Round(time.Millisecond), result.tokens, result.detail))
	}
}

// report returns the aggregated report of a run that lasted for duration.
func (t *resultCollector) report(duration time.Duration) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := t.counts
	report.Seconds = duration.Seconds()
	if report.Seconds > 0 {
		report.RequestsPerSecond = float64(report.Served) / report.Seconds
		report.TokensPerSecond = float64(t.tokens) / report.Seconds
	}
	report.Latency, report.FirstToken = summarize(t.latency), summarize(t.firstToken)
	report.ColdStart, report.BetweenTokens = summarize(t.coldStart), summarize(t.betweenTokens)
	return report
}

// countUnexpectedRuns fetches the execution counts and sets Doubled and RanThoughRefused in the
// report.
func (t *resultCollector) countUnexpectedRuns(ctx context.Context, config Config, report *Report) error {
	if config.Runs == nil {
		return nil
	}
	doubled, err := countSeedsWithRuns(ctx, config, t.nonRepeatableSeeds, 2)
	if err != nil {
		return err
	}
	refused, err := countSeedsWithRuns(ctx, config, t.refusedSeeds, 1)
	report.Doubled, report.RanThoughRefused = doubled, refused
	return err
}

// countSeedsWithRuns returns how many of the seeds ran at least minRuns times.
func countSeedsWithRuns(ctx context.Context, config Config, seeds map[uint64]struct{}, minRuns int) (int, error) {
	runs, err := config.Runs(ctx, slices.Sorted(maps.Keys(seeds)))
	if err != nil {
		return 0, eris.Wrap(err, "fetch the execution counts of the prompts")
	}
	count := 0
	for _, seedRuns := range runs {
		if seedRuns >= minRuns {
			count++
		}
	}
	return count, nil
}

// WriteTable writes the report as a table.
func (r *Report) WriteTable(out io.Writer) error {
	table := tablewriter.NewWriter(out)
	table.Header("measure", "value")
	for _, row := range r.tableRows() {
		if err := table.Append(row); err != nil {
			return eris.Wrap(err, "write the report")
		}
	}
	return eris.Wrap(table.Render(), "write the report")
}

// tableRows returns the rows of the report's table.
func (r *Report) tableRows() [][]string {
	countRow := func(name string, value int) []string { return []string{name, fmt.Sprint(value)} }
	rows := [][]string{
		countRow("requests", r.Requests), countRow("served", r.Served), countRow("moved to another target", r.Moved),
	}
	rows = append(rows, rowsByCode("refused as not run", r.Refused)...)
	rows = append(rows, rowsByCode("failed", r.Failed)...)
	rows = append(rows,
		countRow("cancelled by the caller", r.Cancelled), countRow("unreachable", r.Unreachable), countRow("not sent", r.NotSent),
		countRow("broken connections", r.Broken), countRow("lost", r.Lost), countRow("wrong answers", r.Wrong),
		countRow("doubled", r.Doubled), countRow("ran though refused", r.RanThoughRefused),
		[]string{"served a second", fmt.Sprintf("%.1f", r.RequestsPerSecond)},
		[]string{"tokens a second", fmt.Sprintf("%.0f", r.TokensPerSecond)},
		r.Latency.tableRow("whole answer"), r.FirstToken.tableRow("first token, warm"),
		r.ColdStart.tableRow("first byte, cold start"), r.BetweenTokens.tableRow("between tokens"),
	)
	return rows
}

// rowsByCode returns one row for each code, sorted by code.
func rowsByCode(name string, counts map[string]int) [][]string {
	codes := make([]string, 0, len(counts))
	for code := range counts {
		codes = append(codes, code)
	}
	sort.Strings(codes)
	rows := make([][]string, 0, len(codes))
	for _, code := range codes {
		rows = append(rows, []string{name + ": " + code, fmt.Sprint(counts[code])})
	}
	return rows
}

// tableRow formats the latencies as a table row.
func (l Latencies) tableRow(name string) []string {
	if l.Count == 0 {
		return []string{name, "-"}
	}
	return []string{name, fmt.Sprintf("p50 %.2f ms, p95 %.2f ms, p99 %.2f ms, max %.2f ms (%d)", l.P50, l.P95, l.P99, l.Max, l.Count)}
}

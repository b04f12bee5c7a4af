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

// Latencies summarizes a histogram, in milliseconds.
type Latencies struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Report is what a run measured.
type Report struct {
	// Seconds over which requests started, and the requests due in them.
	Seconds  float64 `json:"seconds"`
	Requests int     `json:"requests"`
	// Served requests got the whole answer, checked to be their own.
	Served int `json:"served"`
	// Refused requests did not run; Failed ones got an error that says that
	// they ran or may have. Both by code.
	Refused map[string]int `json:"refused"`
	Failed  map[string]int `json:"failed"`
	// Moved requests went on to another target: the first was draining or could
	// not be reached.
	Moved int `json:"moved"`
	// Cancelled requests were left by their caller on purpose.
	Cancelled int `json:"cancelled"`
	// Broken connections, and targets that could not be reached.
	Broken      int `json:"broken"`
	Unreachable int `json:"unreachable"`
	// Lost requests had no end in time.
	Lost int `json:"lost"`
	// Wrong answers looked whole but were not the request's own answer.
	Wrong int `json:"wrong"`
	// Doubled requests were not repeatable and ran more than once.
	Doubled int `json:"doubled"`
	// RanThoughRefused requests ran although a refusal says they did not.
	RanThoughRefused int `json:"ran_though_refused"`
	// NotSent requests were held back by MaxInFlight.
	NotSent int `json:"not_sent"`

	RequestsPerSecond float64 `json:"requests_per_second"`
	TokensPerSecond   float64 `json:"tokens_per_second"`

	// Latency of whole served answers. BetweenTokens of streams and
	// FirstToken of those whose model was warm at their start. ColdStart is the time to the first
	// byte of the others, which had to wait for their model.
	Latency       Latencies `json:"latency"`
	FirstToken    Latencies `json:"first_token"`
	ColdStart     Latencies `json:"cold_start"`
	BetweenTokens Latencies `json:"between_tokens"`

	// Examples of broken, lost and wrong requests, a few.
	Examples []string `json:"examples,omitempty"`
}

// BrokenPromises lists the promises that the run saw broken, none when all
// held. A broken connection is one, because nothing here kills a node.
func (r *Report) BrokenPromises() []string {
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
	// Histograms hold microseconds up to ten minutes with three digits.
	highestMicroseconds = int64(10 * time.Minute / time.Microsecond)
	significantDigits   = 3
	maxExamples         = 5
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestMicroseconds, significantDigits)
}

func record(histogram *hdrhistogram.Histogram, value time.Duration) {
	_ = histogram.RecordValue(min(max(value.Microseconds(), 1), highestMicroseconds))
}

// summarize reads a histogram.
func summarize(histogram *hdrhistogram.Histogram) Latencies {
	milliseconds := func(percentile float64) float64 {
		return float64(histogram.ValueAtPercentile(percentile)) / 1000
	}
	return Latencies{
		Count: histogram.TotalCount(), P50: milliseconds(50), P95: milliseconds(95), P99: milliseconds(99),
		Max: float64(histogram.Max()) / 1000,
	}
}

// tally gathers results. It is safe for concurrent use.
type tally struct {
	mu                                  sync.Mutex
	counts                              Report
	tokens                              int
	latency, first, cold, betweenTokens *hdrhistogram.Histogram
	// onceOnly and refusedSeeds are the prompts whose runs are asked for at the
	// end.
	onceOnly, refusedSeeds map[uint64]struct{}
}

func newTally() *tally {
	return &tally{
		onceOnly: map[uint64]struct{}{}, refusedSeeds: map[uint64]struct{}{},
		counts:  Report{Refused: map[string]int{}, Failed: map[string]int{}},
		latency: newHistogram(), first: newHistogram(), cold: newHistogram(), betweenTokens: newHistogram(),
	}
}

// skip counts a request that was not sent.
func (t *tally) skip() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Requests++
	t.counts.NotSent++
}

// add counts a request that has ended.
func (t *tally) add(request *request, ended *result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Requests++
	t.tokens += ended.tokens
	if ended.moved {
		t.counts.Moved++
	}
	if !request.repeatable {
		t.onceOnly[request.seed()] = struct{}{}
	}
	switch ended.end {
	case endServed:
		t.served(request, ended)
	case endRefused:
		t.counts.Refused[ended.code]++
		if request.key == "" { // of two with one key, the other may have run
			t.refusedSeeds[request.seed()] = struct{}{}
		}
	case endFailed:
		t.counts.Failed[ended.code]++
	case endCancelled:
		t.counts.Cancelled++
	case endUnreachable:
		t.counts.Unreachable++
	case endBroken:
		t.bad(&t.counts.Broken, request, ended)
	case endLost:
		t.bad(&t.counts.Lost, request, ended)
	case endWrong:
		t.bad(&t.counts.Wrong, request, ended)
	}
}

// served counts an answer and its latencies.
func (t *tally) served(request *request, ended *result) {
	t.counts.Served++
	record(t.latency, ended.total)
	switch {
	case request.cold:
		record(t.cold, ended.firstToken)
	case request.stream:
		record(t.first, ended.firstToken)
	}
	for _, gap := range ended.gaps {
		record(t.betweenTokens, gap)
	}
}

// bad counts a request that broke a promise and keeps a few as examples.
func (t *tally) bad(count *int, request *request, ended *result) {
	*count++
	if len(t.counts.Examples) < maxExamples {
		t.counts.Examples = append(t.counts.Examples, fmt.Sprintf("model %s at %s, stream %v, after %s and %d tokens: %s",
			request.model, request.target, request.stream, ended.total.Round(time.Millisecond), ended.tokens, ended.detail))
	}
}

// report closes the tally.
func (t *tally) report(lasted time.Duration) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := t.counts
	report.Seconds = lasted.Seconds()
	if report.Seconds > 0 {
		report.RequestsPerSecond = float64(report.Served) / report.Seconds
		report.TokensPerSecond = float64(t.tokens) / report.Seconds
	}
	report.Latency, report.FirstToken = summarize(t.latency), summarize(t.first)
	report.ColdStart, report.BetweenTokens = summarize(t.cold), summarize(t.betweenTokens)
	return report
}

// askRuns counts the requests that ran more often than they may have.
func (t *tally) askRuns(ctx context.Context, config Config, report *Report) error {
	if config.Runs == nil {
		return nil
	}
	doubled, err := countRuns(ctx, config, t.onceOnly, 2)
	if err != nil {
		return err
	}
	refused, err := countRuns(ctx, config, t.refusedSeeds, 1)
	report.Doubled, report.RanThoughRefused = doubled, refused
	return err
}

// countRuns counts the seeds that ran at least bound times.
func countRuns(ctx context.Context, config Config, set map[uint64]struct{}, bound int) (int, error) {
	runs, err := config.Runs(ctx, slices.Sorted(maps.Keys(set)))
	if err != nil {
		return 0, eris.Wrap(err, "read how often the requests ran")
	}
	count := 0
	for _, times := range runs {
		if times >= bound {
			count++
		}
	}
	return count, nil
}

// WriteTable writes the report as a table.
func (r *Report) WriteTable(out io.Writer) error {
	table := tablewriter.NewWriter(out)
	table.Header("measure", "value")
	for _, row := range r.rows() {
		if err := table.Append(row); err != nil {
			return eris.Wrap(err, "write the report")
		}
	}
	return eris.Wrap(table.Render(), "write the report")
}

// rows of the table.
func (r *Report) rows() [][]string {
	count := func(name string, value int) []string { return []string{name, fmt.Sprint(value)} }
	rows := [][]string{
		count("requests", r.Requests), count("served", r.Served), count("moved to another target", r.Moved),
	}
	rows = append(rows, byCode("refused as not run", r.Refused)...)
	rows = append(rows, byCode("failed", r.Failed)...)
	rows = append(rows,
		count("cancelled by the caller", r.Cancelled), count("unreachable", r.Unreachable), count("not sent", r.NotSent),
		count("broken connections", r.Broken), count("lost", r.Lost), count("wrong answers", r.Wrong),
		count("doubled", r.Doubled), count("ran though refused", r.RanThoughRefused),
		[]string{"served a second", fmt.Sprintf("%.1f", r.RequestsPerSecond)},
		[]string{"tokens a second", fmt.Sprintf("%.0f", r.TokensPerSecond)},
		r.Latency.row("whole answer"), r.FirstToken.row("first token, warm"),
		r.ColdStart.row("first byte, cold start"), r.BetweenTokens.row("between tokens"),
	)
	return rows
}

// byCode lists counts by code, sorted.
func byCode(name string, counts map[string]int) [][]string {
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

// row writes latencies as one line.
func (l Latencies) row(name string) []string {
	if l.Count == 0 {
		return []string{name, "-"}
	}
	return []string{name, fmt.Sprintf("p50 %.2f ms, p95 %.2f ms, p99 %.2f ms, max %.2f ms (%d)", l.P50, l.P95, l.P99, l.Max, l.Count)}
}

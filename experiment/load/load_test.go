package load_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/experiment/load"
	standin "github.com/valveslip/valveslip/standin/engine"
	"github.com/valveslip/valveslip/standin/fault"
)

// startEngine starts a stand-in engine that has model m loaded and returns it with its URL.
func startEngine(t *testing.T, config standin.Config) (*standin.Server, string) {
	t.Helper()
	config.Machine = "m1"
	server := standin.NewServer(standin.ServerConfig{Engine: config})
	server.Do(func(now time.Time, state *standin.State) {
		inventory, _ := state.Seal(now, 1)
		_, refused := state.Order(now, cluster.Order{Epoch: inventory.Epoch, ID: "1", Token: 1, Machine: "m1", Kind: cluster.OrderLoad, Model: "m"})
		if refused != nil {
			t.Fatal(refused.Reason)
		}
	})
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	return server, listener.URL
}

func baseConfig(target string) load.Config {
	return load.Config{
		Targets: []string{target}, Rate: 500, Duration: 200 * time.Millisecond,
		Models: []string{"m"}, StreamShare: 0.5, NotRepeatableShare: 0.3, Seed: 3,
	}
}

func countRunsIn(ledger *standin.Ledger) func(context.Context, []uint64) ([]int, error) {
	return func(_ context.Context, seeds []uint64) ([]int, error) { return ledger.Count(seeds), nil }
}

func runLoad(t *testing.T, config load.Config) load.Report {
	t.Helper()
	report, err := load.Run(context.Background(), config)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// TestRunServesAndChecksEveryAnswer guards against requests or latencies that are missing from the
// report, and against warm requests that count as cold starts.
func TestRunServesAndChecksEveryAnswer(t *testing.T) {
	ledger := standin.NewLedger()
	_, target := startEngine(t, standin.Config{Recorder: ledger, Slots: 1000})
	settings := baseConfig(target)
	settings.Runs = countRunsIn(ledger)
	report := runLoad(t, settings)
	if report.Requests == 0 || report.Served != report.Requests || report.Served != ledger.Total() {
		t.Fatalf("%+v; %d runs", report, ledger.Total())
	}
	if broken := report.Violations(); len(broken) != 0 {
		t.Fatal(broken)
	}
	if report.Latency.Count != int64(report.Served) || report.ColdStart.Count == 0 || report.BetweenTokens.Count == 0 {
		t.Fatalf("latency %+v, cold %+v, between tokens %+v", report.Latency, report.ColdStart, report.BetweenTokens)
	}
	settings.WarmModels, settings.StreamShare = settings.Models, 1
	settings.Seed++
	if report := runLoad(t, settings); report.FirstToken.Count != int64(report.Served) || report.ColdStart.Count != 0 {
		t.Fatalf("warm: first token %+v, cold %+v", report.FirstToken, report.ColdStart)
	}
	var table bytes.Buffer
	if err := report.WriteTable(&table); err != nil || !strings.Contains(table.String(), "cold start") {
		t.Fatalf("%v: %s", err, table.String())
	}
}

// TestRunClassifiesFailures guards against counting one kind of failure as another: cut streams,
// closed connections, refusals and unreachable targets each have their own count.
func TestRunClassifiesFailures(t *testing.T) {
	server, target := startEngine(t, standin.Config{Slots: 1000})
	server.Inject(fault.Order{Kind: fault.KindCutStream, Count: 2, Tokens: 3})
	if report := runLoad(t, baseConfig(target)); report.Broken != 2 || len(report.Violations()) != 1 {
		t.Errorf("cut streams: %+v", report)
	}
	server.Inject(fault.Order{Kind: fault.KindDown, Count: 3})
	if report := runLoad(t, baseConfig(target)); report.Broken != 3 {
		t.Errorf("closed connections: %+v", report)
	}
	settings := baseConfig(target)
	settings.Models = []string{"absent"}
	if report := runLoad(t, settings); report.Refused["model_not_loaded"] != report.Requests {
		t.Errorf("refusals: %+v", report)
	}
	settings = baseConfig("http://127.0.0.1:1")
	if report := runLoad(t, settings); report.Unreachable != report.Requests {
		t.Errorf("dial refused: %+v", report)
	}
}

// TestRunReportsForeignAndTruncatedAnswersAsWrong guards against counting an answer as served that
// ends normally but belongs to another request or lacks tokens.
func TestRunReportsForeignAndTruncatedAnswersAsWrong(t *testing.T) {
	text := standin.AnswerText("m", "another prompt", 16)
	bodies := map[string]string{
		"crossed":        fmt.Sprintf(`{"choices":[{"message":{"content":%q}}]}`, text),
		"empty":          `{"choices":[]}`,
		"not JSON":       `{"choices":[`,
		"crossed stream": fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\ndata: [DONE]\n\n", text),
		"short stream":   "data: {\"choices\":[]}\n\ndata: [DONE]\n\n",
	}
	for name, body := range bodies {
		t.Run(name, func(t *testing.T) {
			listener := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				_, _ = writer.Write([]byte(body))
			}))
			defer listener.Close()
			settings := baseConfig(listener.URL)
			settings.StreamShare = 0
			if strings.Contains(name, "stream") {
				settings.StreamShare = 1
			}
			if report := runLoad(t, settings); report.Wrong != report.Requests || report.Requests == 0 {
				t.Errorf("%+v", report)
			}
		})
	}
}

// TestRunReportsDuplicateExecutions guards against missing a request that is not repeatable and ran
// twice.
func TestRunReportsDuplicateExecutions(t *testing.T) {
	_, target := startEngine(t, standin.Config{Slots: 1000})
	settings := baseConfig(target)
	settings.NotRepeatableShare = 1
	settings.Runs = func(_ context.Context, seeds []uint64) ([]int, error) {
		return slices.Repeat([]int{2}, len(seeds)), nil
	}
	if report := runLoad(t, settings); report.Doubled != report.Requests {
		t.Errorf("%+v", report)
	}
}

// TestRunCountsEarlyDisconnectsAsCancelled guards against reporting a deliberate disconnect as a
// broken connection: the clients leave while the engine still waits for its next token.
func TestRunCountsEarlyDisconnectsAsCancelled(t *testing.T) {
	server, target := startEngine(t, standin.Config{Slots: 1000, StepTime: time.Hour})
	settings := baseConfig(target)
	settings.CancelShare, settings.StreamShare, settings.Rate = 1, 1, 100
	report := runLoad(t, settings)
	if report.Cancelled != report.Requests || server.Counters().Runs == 0 {
		t.Errorf("%+v", report)
	}
}

// TestRunCountsEachDuplicatePairOnce sends pairs with an Idempotency-Key directly to an engine,
// which ignores the key. Both requests of a pair run, and each pair must count as one duplicate
// execution.
func TestRunCountsEachDuplicatePairOnce(t *testing.T) {
	ledger := standin.NewLedger()
	_, target := startEngine(t, standin.Config{Recorder: ledger, Slots: 1000})
	settings := baseConfig(target)
	settings.RepeatShare, settings.Runs = 1, countRunsIn(ledger)
	report := runLoad(t, settings)
	if report.Served != report.Requests || report.Doubled*2 != report.Requests || report.Requests == 0 {
		t.Errorf("%+v", report)
	}
}

// TestRunsOfEnginesSumsCounts runs one request of each pair on either of two engines, so a
// duplicate only shows in the sum of their counts. An engine without a ledger must yield an error,
// not zero runs.
func TestRunsOfEnginesSumsCounts(t *testing.T) {
	_, first := startEngine(t, standin.Config{Recorder: standin.NewLedger(), Slots: 1000})
	_, second := startEngine(t, standin.Config{Recorder: standin.NewLedger(), Slots: 1000})
	settings := baseConfig(first)
	settings.Targets, settings.RepeatShare = []string{first, second}, 1
	settings.Runs = load.RunsOfEngines(settings.Targets)
	if report := runLoad(t, settings); report.Doubled*2 != report.Requests || report.Requests == 0 {
		t.Errorf("%+v", report)
	}
	_, withoutLedger := startEngine(t, standin.Config{})
	settings.Runs = load.RunsOfEngines([]string{withoutLedger})
	if _, err := load.Run(context.Background(), settings); err == nil {
		t.Error("no error from an engine without a ledger; want an error instead of zero runs")
	}
}

package shell_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	standin "github.com/valveslip/valveslip/standin/engine"
	"github.com/valveslip/valveslip/standin/fault"
)

// waitFor polls until the condition holds or the test's context ends.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for !condition() {
		if t.Context().Err() != nil {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// longStream is a request body whose answer takes the engine 200 steps.
const longStream = `{"model":"recall-letters","messages":[{"role":"user","content":"long"}],"max_tokens":200,"stream":true}`

// endlessStream is a request body whose answer outlasts the test.
var endlessStream = strings.Replace(longStream, "200", "100000", 1)

// TestRequestWithLostAnswerRunsOnce checks that a non-repeatable request whose answer
// was lost gets that answer on the retry and does not run a second time.
func TestRequestWithLostAnswerRunsOnce(t *testing.T) {
	f := startFixture(t, fixtureConfig{})
	f.engine.Inject(fault.Order{Kind: fault.KindLoseAnswer, Count: 1})
	answer := f.post(hello, "X-Valveslip-Repeatable", "false")
	body, err := io.ReadAll(answer.Body)
	if err != nil || answer.StatusCode != http.StatusOK || !strings.Contains(string(body), expectedAnswer("hello", 3)) {
		t.Fatalf("status %d, %v: %s", answer.StatusCode, err, body)
	}
	if runs := f.engine.Counters().Runs; runs != 1 {
		t.Fatalf("the request ran %d times, want 1", runs)
	}
}

// TestNonRepeatableRequestWithoutAnswerMayHaveRun checks that a non-repeatable request
// to an engine that does not answer fails as may-have-run.
func TestNonRepeatableRequestWithoutAnswerMayHaveRun(t *testing.T) {
	f := startFixture(t, fixtureConfig{})
	f.engine.Inject(fault.Order{Kind: fault.KindDown})
	answer := f.post(hello, "X-Valveslip-Repeatable", "false")
	code, verdict, _ := decodeRejection(t, answer)
	if answer.StatusCode != http.StatusBadGateway || verdict != "may-have-run" {
		t.Fatalf("status %d, %s, %s", answer.StatusCode, code, verdict)
	}
}

// TestRequestToUnreachableEngineIsNotRun checks that a request fails as not-run if no
// connection to the engine can be made.
func TestRequestToUnreachableEngineIsNotRun(t *testing.T) {
	f := startFixture(t, fixtureConfig{})
	f.engine.Kill()
	answer := f.post(hello, "X-Valveslip-Repeatable", "false", "X-Valveslip-Deadline", "2s")
	code, verdict, _ := decodeRejection(t, answer)
	if answer.StatusCode < 500 || verdict != "not-run" {
		t.Fatalf("status %d, %s, %s", answer.StatusCode, code, verdict)
	}
}

// TestCallerDisconnectCancelsEngineRequest guards against engines that keep generating
// for a caller that has disconnected.
func TestCallerDisconnectCancelsEngineRequest(t *testing.T) {
	f := startFixture(t, fixtureConfig{engine: standin.Config{StepTime: 20 * time.Millisecond, AbandonAfter: time.Hour}})
	ctx, disconnect := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url("/v1/chat/completions"), strings.NewReader(endlessStream))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+callerSecret)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if _, err := bufio.NewReader(answer.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the run", func() bool { return f.running() == 1 })
	disconnect()
	waitFor(t, "the cancellation", func() bool { return f.running() == 0 })
}

// running returns the number of requests running on the engine.
func (f *fixture) running() (count int) {
	f.engine.Do(func(now time.Time, state *standin.State) { count = state.Report(now).Running })
	return count
}

// TestEngineFailureMidStreamSendsErrorEvent guards against an interrupted stream that
// looks complete to the caller.
func TestEngineFailureMidStreamSendsErrorEvent(t *testing.T) {
	f := startFixture(t, fixtureConfig{engine: standin.Config{StepTime: 5 * time.Millisecond}})
	answer := f.post(endlessStream)
	reader := bufio.NewReader(answer.Body)
	if _, err := reader.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	f.engine.Kill()
	rest, err := io.ReadAll(reader)
	if err == nil || strings.Contains(string(rest), "[DONE]") {
		t.Fatalf("interrupted stream looks complete: %v", err)
	}
	if !strings.Contains(string(rest), `"code":"stream_cut"`) {
		t.Fatalf("no error event in %q", rest)
	}
}

// TestDrainCompletesStreamsInFlight guards against a graceful stop that interrupts
// streams in flight.
func TestDrainCompletesStreamsInFlight(t *testing.T) {
	f := startFixture(t, fixtureConfig{engine: standin.Config{StepTime: 3 * time.Millisecond}})
	const streams = 8
	var started, ended sync.WaitGroup
	started.Add(streams)
	complete := make([]bool, streams)
	for i := range streams {
		ended.Go(func() {
			answer := f.post(longStream)
			reader := bufio.NewReader(answer.Body)
			_, _ = reader.ReadString('\n')
			started.Done()
			rest, err := io.ReadAll(reader)
			complete[i] = err == nil && strings.HasSuffix(string(rest), "data: [DONE]\n\n")
		})
	}
	started.Wait()
	if err := f.node.Stop(); err != nil {
		t.Fatal(err)
	}
	ended.Wait()
	for i, ok := range complete {
		if !ok {
			t.Errorf("stream %d was interrupted by the drain", i)
		}
	}
}

// TestDrainRejectsQueuedRequestsAsNotRun checks that requests still waiting for a
// replica when the node stops are rejected as not-run, with a Retry-After.
func TestDrainRejectsQueuedRequestsAsNotRun(t *testing.T) {
	f := startFixture(t, fixtureConfig{cold: true})
	var waiting sync.WaitGroup
	codes := make([]string, 4)
	for i := range codes {
		waiting.Go(func() {
			answer := f.post(hello)
			code, verdict, retry := decodeRejection(t, answer)
			codes[i] = code + " " + verdict + " " + retry
		})
	}
	waitFor(t, "the queue", func() bool {
		return strings.Contains(f.readAdmin("/metrics"), "valveslip_requests_in_flight{zone=\"z1\"} 4")
	})
	if err := f.node.Stop(); err != nil {
		t.Fatal(err)
	}
	waiting.Wait()
	for _, code := range codes {
		if code != "node_draining not-run 1" {
			t.Errorf("rejection %q, want node_draining not-run 1", code)
		}
	}
}

// readAdmin reads a page of the administration listener.
func (f *fixture) readAdmin(path string) string {
	f.Helper()
	answer, err := http.Get("http://" + f.node.Self().AdminAddress + path)
	if err != nil {
		f.Fatal(err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		f.Fatal(err)
	}
	return string(body)
}

// TestDeadlineExpiredInEngineQueueIsNotRun checks that a request whose deadline passes
// in the engine's queue fails as not-run.
func TestDeadlineExpiredInEngineQueueIsNotRun(t *testing.T) {
	// The engine drops the queued request after 3 s, which leaves 2 s for its answer.
	f := startFixture(t, fixtureConfig{engine: standin.Config{Slots: 1, StepTime: 20 * time.Millisecond}, engineMargin: 2 * time.Second})
	first := f.post(endlessStream)
	if _, err := bufio.NewReader(first.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	answer := f.post(hello, "X-Valveslip-Deadline", "5s", "X-Valveslip-Repeatable", "false")
	code, verdict, _ := decodeRejection(t, answer)
	if answer.StatusCode < 500 || verdict != "not-run" {
		t.Fatalf("status %d, %s, %s", answer.StatusCode, code, verdict)
	}
}

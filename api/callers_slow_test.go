package api

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valveslip/valveslip/internal/pipe"
	"github.com/valveslip/valveslip/relay"
	"github.com/valveslip/valveslip/settings"
)

// endlessRunner writes to the caller until a write fails.
type endlessRunner struct{ writeFailed chan error }

// Run implements Runner.
func (e endlessRunner) Run(_ context.Context, _ relay.Call, sink relay.Sink) relay.Result {
	_ = sink.Start(http.StatusOK, http.Header{})
	block := make([]byte, 64<<10)
	for {
		if err := sink.Write(block); err != nil {
			e.writeFailed <- err
			return relay.Result{Started: true}
		}
	}
}

// newTestCallers returns a handler of the callers' API with one model and one token.
func newTestCallers(config CallersConfig) http.Handler {
	models := []settings.Model{{ID: "recall", Path: "/dental/recall", Team: "/dental", Policy: settings.Defaults()}}
	const hash = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b" // of "secret"
	tokens := []settings.Token{{Name: "t", SHA256: hash, Role: settings.RoleCall, Path: "/dental"}}
	snapshot := settings.NewSnapshot(settings.Stamp{}, models, tokens, nil)
	config.Settings = func() *settings.Snapshot { return snapshot }
	return NewCallers(config)
}

// startServer serves the callers' API on a local port and returns its address.
func startServer(t *testing.T, config CallersConfig) string {
	t.Helper()
	server := httptest.NewServer(newTestCallers(config))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// dialInMemory serves the callers' API and returns a connection to it. The connection is in
// memory, so that it works in a synctest bubble.
func dialInMemory(t *testing.T, config CallersConfig) net.Conn {
	t.Helper()
	listener, server := pipe.NewListener(), &http.Server{Handler: newTestCallers(config)}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	connection, err := listener.DialContext(t.Context(), "", "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// dialAndSendHead opens a connection and sends the header of a request whose body has the given
// length.
func dialAndSendHead(t *testing.T, address string, length int) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	sendRequestHead(t, connection, length)
	return connection
}

// sendRequestHead sends the header of a request whose body has the given length.
func sendRequestHead(t *testing.T, connection net.Conn, length int) {
	t.Helper()
	_, err := fmt.Fprintf(connection, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer secret\r\nContent-Length: %d\r\n\r\n", length)
	if err != nil {
		t.Fatal(err)
	}
}

// TestRequestWithStalledBodyIsRefused guards against a request that occupies a connection without
// limit because its caller stops sending the body.
func TestRequestWithStalledBodyIsRefused(t *testing.T) {
	connection := dialAndSendHead(t, startServer(t, CallersConfig{BodyReadTimeout: time.Millisecond}), 1000)
	answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusBadRequest || answer.Header.Get("X-Valveslip-Verdict") != "not-run" {
		t.Fatalf("status %d, %v", answer.StatusCode, answer.Header)
	}
}

// logLines is a channel that receives each write of a logger.
type logLines chan string

// Write implements io.Writer.
func (l logLines) Write(data []byte) (int, error) {
	l <- string(data)
	return len(data), nil
}

// TestBodyReadFailureIsLoggedWithCause guards against a log without the reason why a body could
// not be read, and against revealing that reason to the caller.
func TestBodyReadFailureIsLoggedWithCause(t *testing.T) {
	log := make(logLines, 1)
	connection := dialAndSendHead(t, startServer(t, CallersConfig{BodyReadTimeout: time.Millisecond, Logger: slog.New(slog.NewTextHandler(log, nil))}), 1000)
	answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil || !strings.Contains(string(body), "read whole") || strings.Contains(string(body), "timeout") {
		t.Errorf("response %s, error %v; want the body error without its cause", body, err)
	}
	if line := <-log; !strings.Contains(line, "the body could not be read whole: ") || !strings.Contains(line, "timeout") {
		t.Errorf("log line %q, want the body error with its cause", line)
	}
}

// TestResponseToStalledCallerIsAborted guards against a request that occupies an engine without
// limit because its caller stops reading the response.
func TestResponseToStalledCallerIsAborted(t *testing.T) {
	runner := endlessRunner{writeFailed: make(chan error, 1)}
	const body = `{"model":"recall","messages":[],"stream":true}`
	connection := dialAndSendHead(t, startServer(t, CallersConfig{Runner: runner, WriteStallTimeout: 20 * time.Millisecond}), len(body))
	if _, err := connection.Write([]byte(body)); err != nil {
		t.Fatal(err)
	}
	if err := <-runner.writeFailed; !strings.Contains(err.Error(), "timeout") {
		t.Fatalf("write failed with %v, want a timeout", err)
	}
}

// TestCallerDeadlineIsCapped checks the forms of a deadline and guards against deadlines
// beyond MaxDeadline.
func TestCallerDeadlineIsCapped(t *testing.T) {
	api := &callersHandler{CallersConfig: CallersConfig{}.withDefaults()}
	now := time.Unix(1000, 0).UTC()
	policy := &settings.Policy{Deadline: time.Minute}
	tests := map[string]time.Duration{
		"": time.Minute, "90s": 90 * time.Second, "24h": DefaultMaxDeadline,
		now.Add(5 * time.Second).Format(time.RFC3339): 5 * time.Second,
	}
	for text, wanted := range tests {
		deadline, fault := api.readDeadline(text, policy, now)
		if fault != nil || deadline.Sub(now) != wanted {
			t.Errorf("%q: %v, %v", text, deadline.Sub(now), fault)
		}
	}
}

// TestCallerCanOnlyLowerPriority guards against callers that raise the priority of their
// requests above that of the policy.
func TestCallerCanOnlyLowerPriority(t *testing.T) {
	api := &callersHandler{CallersConfig: CallersConfig{}.withDefaults()}
	var got []int
	for _, text := range []string{"", "9", "3", "-1"} {
		options, fault := api.readOptions(http.Header{"X-Valveslip-Priority": {text}}, &settings.Policy{Priority: 5}, time.Now())
		if fault != nil {
			t.Fatal(fault.failure)
		}
		got = append(got, options.priority)
	}
	if !slices.Equal(got, []int{5, 5, 3, -1}) {
		t.Fatalf("priorities %v, want 5, 5, 3, -1", got)
	}
}

// shortRunner responds with a short body and returns.
type shortRunner struct{}

// Run implements Runner.
func (shortRunner) Run(_ context.Context, _ relay.Call, sink relay.Sink) relay.Result {
	_ = sink.Start(http.StatusOK, http.Header{})
	_ = sink.Write([]byte("{}"))
	return relay.Result{Started: true, Status: http.StatusOK}
}

// TestWriteDeadlineDoesNotAffectNextResponseOnConnection guards against a write deadline that
// stays set on a kept-alive connection and fails the next response after a pause.
func TestWriteDeadlineDoesNotAffectNextResponseOnConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const stall = 200 * time.Millisecond
		const body = `{"model":"recall","messages":[]}`
		connection := dialInMemory(t, CallersConfig{Runner: shortRunner{}, WriteStallTimeout: stall})
		sendRequestHead(t, connection, len(body))
		reader := bufio.NewReader(connection)
		for i, request := range []string{
			body,
			"GET /v1/models HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer secret\r\n\r\n",
			"POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
		} {
			if i > 0 {
				time.Sleep(2 * stall)
			}
			if _, err := connection.Write([]byte(request)); err != nil {
				t.Fatal(err)
			}
			answer, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("answer %d: %v", i, err)
			}
			_, err = io.Copy(io.Discard, answer.Body)
			if err != nil {
				t.Fatalf("answer %d: %v", i, err)
			}
		}
	})
}

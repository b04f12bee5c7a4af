package shell_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/standin/worker"
)

// Guarded failure: a node that heard nothing from an engine for twice the longest pause of the
// route, at least 0.6 s, abandoned the attempt to continue on another engine, and only then
// checked whether it could. If the retry budget was spent or no other engine had the model and
// room, it cut the answer although the engine was working and the deadline had not passed.

// longPause is longer than a node waits before it looks for another engine.
const longPause = 900 * time.Millisecond

func withoutRetries(options *shell.Options) {
	options.Core.Routing.RetryRatio, options.Core.Routing.RetryExtra = 1e-9, 0
}

// TestSilentEngineIsKeptWithoutAlternative guards against abandoning a silent engine while no
// other engine may be asked.
func TestSilentEngineIsKeptWithoutAlternative(t *testing.T) {
	t.Run("between events, without a budget", testSilentStreamWithoutRetryBudget)
	t.Run("between events, the only engine", testSilentOnlyEngine)
	t.Run("before the first byte, without a budget", testSlowAnswerWithoutRetryBudget)
}

func testSilentStreamWithoutRetryBudget(t *testing.T) {
	d := newDeployment(t)
	pausing := func(config *worker.Config) { config.Events, config.Pause = 3, longPause }
	d.addWorker("e1", engineService, pausing)
	d.addWorker("e2", engineService, pausing)
	node := d.startNode("n1", withoutRetries)
	got := d.call(node, http.MethodPost, "/stream/", "b", withModel("big"))
	if got.status != http.StatusOK || got.err != nil {
		t.Fatalf("answer %+v, want the complete stream", got)
	}
	if numbers := eventNumbers(t, got.body); !slices.Equal(numbers, oneTo(3)) {
		t.Fatalf("events %v, want 1 to 3", numbers)
	}
}

// testSilentOnlyEngine: the only engine with the model must not be abandoned for itself, which
// would run the request again.
func testSilentOnlyEngine(t *testing.T) {
	d := newDeployment(t)
	only := d.addWorker("e1", engineService, func(config *worker.Config) { config.Events, config.Pause = 3, longPause })
	node := d.startNode("n1")
	got := d.call(node, http.MethodPost, "/stream/", "b", withModel("big"))
	if numbers := eventNumbers(t, got.body); got.err != nil || !slices.Equal(numbers, oneTo(3)) {
		t.Fatalf("answer %+v, want the complete stream", got)
	}
	if runs := len(only.Runs()); runs != 1 {
		t.Fatalf("the engine ran the request %d times, want once", runs)
	}
}

// testSlowAnswerWithoutRetryBudget: an idempotent request without a first byte is sent to another
// worker after 1.3 latency objectives, but only if the retry budget allows it.
func testSlowAnswerWithoutRetryBudget(t *testing.T) {
	d := newDeployment(t)
	slow := func(config *worker.Config) { config.Events, config.Pause = 1, longPause }
	for _, id := range []string{"p1", "p2"} {
		w := d.addWorker(id, plainService, slow)
		w.Behave = func(r *http.Request) worker.Behaviour {
			if r.URL.Path == "/read/" {
				time.Sleep(longPause)
			}
			return worker.Serve
		}
	}
	node := d.startNode("n1", withoutRetries)
	if got := d.call(node, http.MethodGet, "/read/", "", nil); got.status != http.StatusOK {
		t.Fatalf("answer %+v, want 200", got)
	}
}

// TestSilentStreamMovesToAnotherEngine guards against a caller that waits for a silent engine
// while another engine may be asked.
func TestSilentStreamMovesToAnotherEngine(t *testing.T) {
	d := newDeployment(t)
	hangingEngine := d.addWorker("e1", engineService, nil)
	hangingEngine.Behave = func(*http.Request) worker.Behaviour { return worker.Hang }
	node := d.startNode("n1")
	replies := make(chan reply)
	go func() { replies <- d.call(node, http.MethodPost, "/stream/", "b", withModel("big")) }()
	d.eventually("the first engine runs it", func() bool { return len(hangingEngine.Runs()) == 1 })
	otherEngine := d.addWorker("e2", engineService, nil)
	got := <-replies
	if numbers := eventNumbers(t, got.body); got.err != nil || !slices.Equal(numbers, oneTo(6)) {
		t.Fatalf("answer %+v, want the complete stream", got)
	}
	d.eventually("the first engine is abandoned", func() bool { return hangingEngine.Abandoned() == 1 })
	if len(otherEngine.Runs()) != 1 {
		t.Fatalf("%d runs, want 1", len(otherEngine.Runs()))
	}
	if got.header.Get(platform.HeaderStamp) != "stamp-e2" {
		t.Fatalf("the answer has the stamp %q", got.header.Get(platform.HeaderStamp))
	}
}

// TestSlowCallerDoesNotCauseFailover guards against abandoning an engine that only seems silent
// because its caller reads slowly.
func TestSlowCallerDoesNotCauseFailover(t *testing.T) {
	// The first event may come late; only the pauses after it are tested.
	d := newDeployment(t, func(route *platform.RouteDocument) { route.ObjectiveMS = 2000 })
	var runs atomic.Int64
	for _, id := range []string{"e1", "e2"} {
		d.registerFloodingEngine(id, &runs)
	}
	node := d.startNode("n1")
	var response *http.Response
	d.eventually("the node takes the request", func() bool {
		response = d.beginSlowCall(node)
		if response.StatusCode == http.StatusOK {
			return true
		}
		body, _ := io.ReadAll(response.Body)
		if refused := (reply{status: response.StatusCode, body: string(body)}); !refused.isLate() {
			t.Fatalf("answer %+v, want a stream", refused)
		}
		return false
	})
	time.Sleep(2 * longPause)
	if runs.Load() != 1 {
		t.Fatalf("%d engines ran the request while its caller read nothing, want 1", runs.Load())
	}
	// If the engine was abandoned, that shows once the buffered bytes are read.
	_, _ = io.Copy(io.Discard, response.Body)
	if runs.Load() != 1 {
		t.Fatalf("%d engines ran the request of a caller who read late, want 1", runs.Load())
	}
}

// beginSlowCall sends a request for a stream and reads no more than the head of the answer.
func (d *deployment) beginSlowCall(node *shell.Node) *http.Response {
	d.t.Helper()
	connection, err := net.Dial("tcp", node.Address())
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = connection.Close() })
	_ = connection.SetReadDeadline(time.Now().Add(waitLimit))
	_, err = fmt.Fprintf(connection, "POST /stream/ HTTP/1.1\r\nHost: %s\r\n%s: big\r\n%s: slow\r\n%s: 7000\r\nContent-Length: 1\r\n\r\nb",
		testHost, platform.HeaderModel, platform.HeaderRequestID, platform.HeaderDeadline)
	if err != nil {
		d.t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		d.t.Fatal(err)
	}
	return response
}

// registerFloodingEngine registers an engine that sends large events without a pause.
func (d *deployment) registerFloodingEngine(id string, runs *atomic.Int64) {
	d.t.Helper()
	engine := d.addWorker(id, engineService, nil)
	event := strings.Repeat("x", 256<<10)
	flood := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/stream/" {
			engine.ServeHTTP(w, r)
			return
		}
		runs.Add(1)
		w.Header().Set(platform.HeaderStamp, "s")
		w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
		for n := 1; n <= 60; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, event); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	})
	server := httptest.NewServer(flood)
	d.t.Cleanup(server.Close)
	engine.SetAddress(server.Listener.Addr().String())
	d.register(engine)
}

package worker

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/platform"
)

// sendRequest sends a request to a worker and returns the response, its body and
// the error of reading the body.
func sendRequest(t *testing.T, w *Worker, path, body string) (*http.Response, string, error) {
	t.Helper()
	server := httptest.NewServer(w)
	t.Cleanup(server.Close)
	request, err := http.NewRequest(http.MethodPost, server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(platform.HeaderRequestID, "r1")
	request.Header.Set(platform.HeaderModel, "m")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

// workerWithBehaviour returns a worker that handles every request with behaviour b.
func workerWithBehaviour(b Behaviour) *Worker {
	w := New(Config{ID: "w1"})
	w.Behave = func(*http.Request) Behaviour { return b }
	return w
}

// Tests rely on detecting crossed and cut answers, so the worker must return its
// own complete answer under Serve only.
func TestAnswersAreCompleteAndOwnUnlessBehaviourSaysOtherwise(t *testing.T) {
	_, body, err := sendRequest(t, workerWithBehaviour(Serve), "/", "b")
	if err != nil || body != AnswerText("r1", "w1") {
		t.Errorf("served %q, %v", body, err)
	}
	response, body, err := sendRequest(t, workerWithBehaviour(AnswerForOtherRequest), "/", "b")
	if err != nil || response.Header.Get(platform.HeaderRequestID) == "r1" || body == AnswerText("r1", "w1") {
		t.Errorf("crossed %q, %v", body, err)
	}
	if _, body, err = sendRequest(t, workerWithBehaviour(CutBody), "/", "b"); err == nil {
		t.Errorf("a cut answer %q looks whole", body)
	}
}

// loadOrder returns an order to load a model as JSON.
func loadOrder(t *testing.T, model string, expected int64) string {
	t.Helper()
	return encodeLoadOrder(t, platform.OrderDocument{Model: model, Expected: expected, Holder: "h", Fence: 1})
}

// encodeLoadOrder returns the order as JSON, with the operation set to load.
func encodeLoadOrder(t *testing.T, order platform.OrderDocument) string {
	t.Helper()
	order.Operation = "load"
	text, err := json.Marshal(order)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// A load that exceeds the memory must be recorded as such, because soak checks
// find overfilled workers by this record.
func TestLoadBeyondMemoryIsRecordedAsOverfill(t *testing.T) {
	w := New(Config{ID: "w1", MemoryBytes: 100, Held: []string{"a"}, Models: map[string]catalog.ModelSpec{"a": {Bytes: 60}, "b": {Bytes: 60}}})
	sendRequest(t, w, platform.PathOrder, loadOrder(t, "b", 0))
	if taken := w.AcceptedOrders(); len(taken) != 1 || !taken[0].Load || !taken[0].ExceedsMemory {
		t.Errorf("%+v", taken)
	}
}

// An order with an older fencing token comes from a controller that lost its
// lease. It must be refused, except by workers that don't check the token.
func TestOlderFenceIsRefusedUnlessWorkerIsUnfenced(t *testing.T) {
	for unfenced, want := range map[bool]int{false: 1, true: 2} {
		w := New(Config{ID: "w1", Unfenced: unfenced, Models: map[string]catalog.ModelSpec{"a": {}}})
		sendRequest(t, w, platform.PathOrder, encodeLoadOrder(t, platform.OrderDocument{Model: "a", Adapter: "a1", Holder: "h", Fence: 2}))
		sendRequest(t, w, platform.PathOrder, encodeLoadOrder(t, platform.OrderDocument{Model: "a", Adapter: "a2", Holder: "g", Fence: 1, Expected: 1}))
		if taken := w.AcceptedOrders(); len(taken) != want {
			t.Errorf("unfenced %t: %+v", unfenced, taken)
		}
	}
}

// A delayed order must be processed only after the delay, as an order that is
// held up in the network.
func TestDelayedOrderIsAcceptedAfterDelay(t *testing.T) {
	const delay = 50 * time.Millisecond
	w := New(Config{ID: "w1", Models: map[string]catalog.ModelSpec{"a": {}}})
	w.DelayOrders(delay)
	sentAt := time.Now()
	sendRequest(t, w, platform.PathOrder, loadOrder(t, "a", 0))
	if taken := w.AcceptedOrders(); len(taken) != 1 || taken[0].At.Sub(sentAt) < delay {
		t.Errorf("%+v", taken)
	}
}

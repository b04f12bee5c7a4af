package soak

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/soak/check"
	"github.com/valveslip/valveslip/standin/worker"
)

// postToWorker sends a request to a simulated worker.
func postToWorker(t *testing.T, w *worker.Worker, path, id, model, body string) {
	t.Helper()
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderModel, model)
	w.ServeHTTP(httptest.NewRecorder(), request)
}

// countBreaches returns the number of breaches of each promise in the history that a run
// gathered.
func countBreaches(r *run) map[check.Promise]int {
	counts := map[check.Promise]int{}
	for _, breach := range check.Breaches(check.Judge(r.gather())) {
		counts[breach.Promise]++
	}
	return counts
}

// TestWorkerRecordsReachTheChecks guards against worker records that are lost before the
// checks. It plants a request that runs twice, one that runs although it was refused, and a
// load that does not fit into memory.
func TestWorkerRecordsReachTheChecks(t *testing.T) {
	r := &run{recorder: &recorder{began: time.Now()}}
	w := worker.New(worker.Config{ID: "w"})
	postToWorker(t, w, "/", "twice", "", check.Body("twice"))
	postToWorker(t, w, "/", "twice", "", check.Body("twice"))
	postToWorker(t, w, "/", "refused", "", check.Body("refused"))
	engine := worker.New(worker.Config{ID: "e", MemoryBytes: 1, Models: map[string]catalog.ModelSpec{"m": {Bytes: 2}}})
	postToWorker(t, engine, platform.PathOrder, "", "", `{"op":"load","model":"m","holder":"h","fence":1}`)
	r.recordLife("w", serviceFirst, w, nil)
	r.recordLife("e", serviceEngine, engine, nil)
	r.recorder.record(func(h *check.History) {
		h.Requests = []check.Request{
			{ID: "twice", Route: check.RouteWrite, Deadline: time.Second},
			{ID: "refused", Route: check.RouteRead, Deadline: time.Second, Status: http.StatusServiceUnavailable},
		}
	})
	counts := countBreaches(r)
	for _, promise := range []check.Promise{check.PromiseOnce, check.PromiseNeverRun, check.PromiseMemory} {
		if counts[promise] != 1 {
			t.Errorf("%s: broken %d times, want 1", promise, counts[promise])
		}
	}
}

// TestHistoryIsGatheredAgain guards against worker records that are counted once for each time that the history is
// checked, so that a request that ran once seems to have run twice.
func TestHistoryIsGatheredAgain(t *testing.T) {
	r := &run{recorder: &recorder{began: time.Now()}}
	w := worker.New(worker.Config{ID: "w"})
	postToWorker(t, w, "/", "once", "", check.Body("once"))
	r.recordLife("w", serviceFirst, w, nil)
	for range 2 {
		if history := r.gather(); len(history.Runs) != 1 || len(history.Lives) != 1 {
			t.Errorf("%d runs in %d lives, want 1 in 1", len(history.Runs), len(history.Lives))
		}
	}
}

// TestGatheredHistoryIsASnapshot guards against events that are recorded while a history is
// checked and change the result.
func TestGatheredHistoryIsASnapshot(t *testing.T) {
	r := &run{recorder: &recorder{began: time.Now()}}
	restored := r.recorder.beginDisturbance(check.Disturbance{Node: 1})
	history := r.gather()
	var after sync.WaitGroup
	after.Go(func() {
		restored()
		r.recorder.record(func(h *check.History) { h.Closings = append(h.Closings, check.IdleClosing{Node: 1}) })
	})
	findings := check.Judge(history)
	after.Wait()
	if history.Disturbances[0].To != openEnd || len(history.Closings) != 0 || len(check.Breaches(findings)) != 0 {
		t.Errorf("history changed after gather: %+v, findings %v", history, findings)
	}
}

// TestDisturbanceEndsOnlyWhenItsEndIsCalled checks that ending one disturbance leaves the
// other open.
func TestDisturbanceEndsOnlyWhenItsEndIsCalled(t *testing.T) {
	r := &recorder{began: time.Now()}
	first := r.beginDisturbance(check.Disturbance{Node: 1})
	r.beginDisturbance(check.Disturbance{Node: 2})
	first()
	if d := r.history.Disturbances; len(d) != 2 || d[0].To == openEnd || d[1].To != openEnd {
		t.Errorf("disturbances are %+v, want the first ended and the second open", d)
	}
}

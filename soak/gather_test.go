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

// post sends a request to a worker's stand-in.
func post(t *testing.T, w *worker.Worker, path, id, model, body string) {
	t.Helper()
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderModel, model)
	w.ServeHTTP(httptest.NewRecorder(), request)
}

// broken returns how often each promise is broken in what a run gathered.
func broken(r *run) map[check.Promise]int {
	counts := map[check.Promise]int{}
	for _, breach := range check.Breaches(check.Judge(r.gather())) {
		counts[breach.Promise]++
	}
	return counts
}

// TestWorkersWordCounts: what a worker ran and took reaches the checks. Planted are a
// request that runs twice, one that ran though refused, and a load that does not fit.
func TestWorkersWordCounts(t *testing.T) {
	r := &run{recorder: &recorder{began: time.Now()}}
	w := worker.New(worker.Config{ID: "w"})
	post(t, w, "/", "twice", "", check.Body("twice"))
	post(t, w, "/", "twice", "", check.Body("twice"))
	post(t, w, "/", "refused", "", check.Body("refused"))
	engine := worker.New(worker.Config{ID: "e", MemoryBytes: 1, Models: map[string]catalog.ModelSpec{"m": {Bytes: 2}}})
	post(t, engine, platform.PathOrder, "", "", `{"op":"load","model":"m","holder":"h","fence":1}`)
	r.lived("w", serviceFirst, w, nil)
	r.lived("e", serviceEngine, engine, nil)
	r.recorder.record(func(h *check.History) {
		h.Requests = []check.Request{
			{ID: "twice", Route: check.RouteWrite, Deadline: time.Second},
			{ID: "refused", Route: check.RouteRead, Deadline: time.Second, Status: http.StatusServiceUnavailable},
		}
	})
	counts := broken(r)
	for _, promise := range []check.Promise{check.PromiseOnce, check.PromiseNeverRun, check.PromiseMemory} {
		if counts[promise] != 1 {
			t.Errorf("%s: broken %d times, want 1", promise, counts[promise])
		}
	}
}

// TestGatheredHistoryStandsStill: what happens while a history is judged is not in it.
func TestGatheredHistoryStandsStill(t *testing.T) {
	r := &run{recorder: &recorder{began: time.Now()}}
	restored := r.recorder.disturb(check.Disturbance{Node: 1})
	history := r.gather()
	var after sync.WaitGroup
	after.Go(func() {
		restored()
		r.recorder.record(func(h *check.History) { h.Closings = append(h.Closings, check.Closing{Node: 1}) })
	})
	findings := check.Judge(history)
	after.Wait()
	if history.Disturbances[0].To != always || len(history.Closings) != 0 || len(check.Breaches(findings)) != 0 {
		t.Errorf("%+v, %v", history, findings)
	}
}

// TestDisturbancesEnd when they are told to.
func TestDisturbancesEnd(t *testing.T) {
	r := &recorder{began: time.Now()}
	first := r.disturb(check.Disturbance{Node: 1})
	r.disturb(check.Disturbance{Node: 2})
	first()
	if d := r.history.Disturbances; len(d) != 2 || d[0].To == always || d[1].To != always {
		t.Errorf("%+v", d)
	}
}

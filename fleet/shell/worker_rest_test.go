package shell_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/standin/worker"
)

// addSheddingWorker starts a worker that rejects all requests and asks for a rest while the
// returned flag is set.
func addSheddingWorker(d *deployment, service string, rest time.Duration) (*worker.Worker, *atomic.Bool) {
	var sheds atomic.Bool
	sheds.Store(true)
	added := d.addWorker("w1", service, nil)
	added.SetShedRetryAfter(rest)
	added.Behave = func(*http.Request) worker.Behaviour {
		if sheds.Load() {
			return worker.Shed
		}
		return worker.Serve
	}
	return added, &sheds
}

var restPaths = []struct{ name, service, path string }{
	{"repeatable", plainService, "/read/"},
	{"not repeatable", plainService, "/write/"},
	{"stream", engineService, "/stream/"},
	{"stream that is not resumed", engineService, "/once/"},
}

// TestWorkerRequestingRestGetsNoRequests guards against requests, retried or new, to a worker
// that rejected one and asked for a rest, and against callers that are kept waiting for the
// worker or told to retry too soon.
func TestWorkerRequestingRestGetsNoRequests(t *testing.T) {
	const rest = time.Minute
	for _, c := range restPaths {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, withoutLatencyObjective)
			needy, _ := addSheddingWorker(d, c.service, rest)
			node := d.startNode("n1")
			for range 6 {
				got := d.call(node, http.MethodPost, c.path, "b", withModel("big"))
				after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				if got.status != http.StatusServiceUnavailable || err != nil || after < rest.Seconds()/2 {
					t.Errorf("answer %+v, want a rejection until the rest is over", got)
				}
			}
			if turned := len(needy.ShedRequests()); turned != 1 {
				t.Errorf("%d requests reached the worker within its rest, want only the first", turned)
			}
			d.addWorker("w2", c.service, nil)
			d.eventually("the other worker serves", func() bool {
				return d.call(node, http.MethodPost, c.path, "b", withModel("big")).status == http.StatusOK
			})
			for range 6 {
				if got := d.call(node, http.MethodPost, c.path, "b", withModel("big")); got.status != http.StatusOK {
					t.Errorf("answer %+v with another worker", got)
				}
			}
			if turned := len(needy.ShedRequests()); turned != 1 {
				t.Errorf("%d requests reached the worker while there was another, want only the first", turned)
			}
		})
	}
}

// TestWorkerIsUsedAfterItsRest guards against a worker that gets no requests after its rest is
// over.
func TestWorkerIsUsedAfterItsRest(t *testing.T) {
	for _, c := range restPaths {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, withoutLatencyObjective)
			_, sheds := addSheddingWorker(d, c.service, 300*time.Millisecond)
			node := d.startNode("n1")
			d.call(node, http.MethodPost, c.path, "b", withModel("big"))
			sheds.Store(false)
			if got := d.callWithRetryAfter(node, http.MethodPost, c.path, "b", withModel("big")); got.status != http.StatusOK {
				t.Errorf("answer %+v after the rest", got)
			}
		})
	}
}

// TestRestContinuesAfterRestartIsLearned guards against ending a worker's rest when the node
// learns that the worker restarted: answers don't tell which start gave them, so the worker may
// have asked for the rest after the restart.
func TestRestContinuesAfterRestartIsLearned(t *testing.T) {
	for _, c := range restPaths {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, withoutLatencyObjective)
			needy, _ := addSheddingWorker(d, c.service, time.Minute)
			d.registerStart(needy, 1000)
			lines := &logText{}
			node := d.startNode("n1", func(o *shell.Options) { o.Log = eventlog.New(lines, eventlog.Options{}) })
			d.call(node, http.MethodPost, c.path, "b", withModel("big"))
			d.registerStart(needy, 2000)
			d.eventually("the later start is known", func() bool {
				return strings.Contains(lines.String(), "msg=worker_restarted")
			})
			for range 6 {
				d.call(node, http.MethodPost, c.path, "b", withModel("big"))
			}
			if turned := len(needy.ShedRequests()); turned != 1 {
				t.Errorf("%d requests reached the worker within its rest, want only the first", turned)
			}
		})
	}
}

// registerStart writes a worker's entry with a start time.
func (d *deployment) registerStart(w *worker.Worker, born int64) {
	d.t.Helper()
	entry := w.Entry()
	entry.Born = &born
	if err := d.store.Put(w.Key(), entry); err != nil {
		d.t.Fatal(err)
	}
}

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

// shedding starts a worker that turns all away for as long as it is to, and asks for rest.
func shedding(d *deployment, service string, rest time.Duration) (*worker.Worker, *atomic.Bool) {
	var sheds atomic.Bool
	sheds.Store(true)
	added := d.addWorker("w1", service, nil)
	added.SetRest(rest)
	added.Behave = func(*http.Request) worker.Behaviour {
		if sheds.Load() {
			return worker.Shed
		}
		return worker.Serve
	}
	return added, &sheds
}

var restedPaths = []struct{ name, service, path string }{
	{"repeatable", plainService, "/read/"},
	{"not repeatable", plainService, "/write/"},
	{"stream", engineService, "/stream/"},
	{"stream that is not resumed", engineService, "/once/"},
}

// TestWorkerThatWantsRestGetsNone guards against requests that are sent, by retries or anew, to a
// worker that turned its node away and said for how long it wants nothing, and against callers who
// are kept waiting for it, or told to come back too soon.
func TestWorkerThatWantsRestGetsNone(t *testing.T) {
	const rest = time.Minute
	for _, c := range restedPaths {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, patient)
			needy, _ := shedding(d, c.service, rest)
			node := d.startNode("n1")
			for range 6 {
				got := d.call(node, http.MethodPost, c.path, "b", withModel("big"))
				after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				if got.status != http.StatusServiceUnavailable || err != nil || after < rest.Seconds()/2 {
					t.Errorf("answer %+v, want a refusal until the rest is over", got)
				}
			}
			if turned := len(needy.Turned()); turned != 1 {
				t.Errorf("%d requests reached the worker within its rest, want the first alone", turned)
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
			if turned := len(needy.Turned()); turned != 1 {
				t.Errorf("%d requests reached the worker beside another, want the first alone", turned)
			}
		})
	}
}

// TestWorkerIsUsedAfterItsRest guards against a worker that is left alone for good, or for longer
// than it asked for.
func TestWorkerIsUsedAfterItsRest(t *testing.T) {
	for _, c := range restedPaths {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, patient)
			_, sheds := shedding(d, c.service, 300*time.Millisecond)
			node := d.startNode("n1")
			d.call(node, http.MethodPost, c.path, "b", withModel("big"))
			sheds.Store(false)
			if got := d.callAsTold(node, http.MethodPost, c.path, "b", withModel("big")); got.status != http.StatusOK {
				t.Errorf("answer %+v after the rest", got)
			}
		})
	}
}

// TestRestOutlastsLearningOfRestart guards against requests to a worker that asked for rest before
// the node knew that the worker had started again: answers don't say which start gave them.
func TestRestOutlastsLearningOfRestart(t *testing.T) {
	for _, c := range restedPaths {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, patient)
			needy, _ := shedding(d, c.service, time.Minute)
			d.enterBorn(needy, 1000)
			lines := &logText{}
			node := d.startNode("n1", func(o *shell.Options) { o.Log = eventlog.New(lines, eventlog.Options{}) })
			d.call(node, http.MethodPost, c.path, "b", withModel("big"))
			d.enterBorn(needy, 2000)
			d.eventually("the later start is known", func() bool {
				return strings.Contains(lines.String(), "msg=worker_restarted")
			})
			for range 6 {
				d.call(node, http.MethodPost, c.path, "b", withModel("big"))
			}
			if turned := len(needy.Turned()); turned != 1 {
				t.Errorf("%d requests reached the worker within its rest, want the first alone", turned)
			}
		})
	}
}

// enterBorn enters a worker as the start that was born then.
func (d *deployment) enterBorn(w *worker.Worker, born int64) {
	d.t.Helper()
	entry := w.Entry()
	entry.Born = &born
	if err := d.store.Put(w.Key(), entry); err != nil {
		d.t.Fatal(err)
	}
}

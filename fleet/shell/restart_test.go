package shell_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/standin"
	"github.com/valveslip/valveslip/standin/worker"
)

// A machine may start again under the same id. It then holds no models, and its count of orders
// begins at zero, so what was known of the earlier start must not be applied to it.

// restart ends a worker and starts it again under its id, with a later start time and another
// address.
func (d *deployment) restart(id, service string, born int64, change func(*worker.Config)) *worker.Worker {
	d.t.Helper()
	d.workers[id].Kill()
	return d.addWorker(id, service, func(config *worker.Config) {
		config.StartMillis, config.Held = born, nil
		if change != nil {
			change(config)
		}
	})
}

func withStartTime(born int64) func(*worker.Config) {
	return func(config *worker.Config) { config.StartMillis = born }
}

// TestRestartedEngineStartsWithoutState guards against requests for models that only the earlier
// start held, and against orders with the earlier start's order number.
func TestRestartedEngineStartsWithoutState(t *testing.T) {
	d := newDeployment(t)
	first := d.addWorker("e1", engineService, withStartTime(1000))
	node := d.startNode("n1")
	for _, model := range []string{"big", "rare"} {
		// Loading the second model takes orders.
		if got := d.callWithRetryAfter(node, http.MethodPost, "/stream/", "b", withModel(model)); got.status != http.StatusOK {
			t.Fatalf("%s: answer %+v", model, got)
		}
	}
	if len(first.Orders()) == 0 {
		t.Fatal("no order was given to the first start")
	}
	second := d.restart("e1", engineService, 2000, nil)
	for _, model := range []string{"rare", "big"} {
		if got := d.callWithRetryAfter(node, http.MethodPost, "/stream/", "b", withModel(model)); got.status != http.StatusOK {
			t.Fatalf("%s after the restart: answer %+v", model, got)
		}
	}
	if orders := second.Orders(); len(orders) == 0 || orders[0].Expected != 0 {
		t.Fatalf("orders to the second start: %+v", orders)
	}
}

// TestEntryOfEarlierStartIsIgnored guards against a late entry of an earlier start, or one of
// another writer without a start time, that replaces the entry of the current start.
func TestEntryOfEarlierStartIsIgnored(t *testing.T) {
	d := newDeployment(t, withoutLatencyObjective)
	first := d.addWorker("p1", plainService, withStartTime(1000))
	node := d.startNode("n1")
	earlierEntry := first.Entry()
	second := d.restart("p1", plainService, 2000, nil)
	served := func() bool {
		return d.callWithRetryAfter(node, http.MethodPost, "/write/", "b", nil).status == http.StatusOK
	}
	d.eventually("the second start serves", served)
	withoutStartTime := second.Entry()
	withoutStartTime.Born, withoutStartTime.Address = nil, earlierEntry.Address
	for name, entry := range map[string]platform.WorkerDocument{"an earlier start": earlierEntry, "another writer": withoutStartTime} {
		if err := d.store.Put(first.Key(), entry); err != nil {
			t.Fatal(err)
		}
		// The entry of this worker is written later, so once it is used the earlier one was
		// applied.
		additional := d.addWorker("p-"+strings.ReplaceAll(name, " ", "-"), plainService, nil)
		d.eventually("the additional worker is used", func() bool { return served() && len(additional.Runs()) > 0 })
		before := len(second.Runs())
		d.eventually("the second start still serves after "+name, func() bool { return served() && len(second.Runs()) > before })
	}
}

// TestRestartedWorkerIsNoLongerDraining guards against a restarted worker that gets no requests
// because its earlier start was draining.
func TestRestartedWorkerIsNoLongerDraining(t *testing.T) {
	d := newDeployment(t, withoutLatencyObjective)
	first := d.addWorker("p1", plainService, withStartTime(1000))
	node := d.startNode("n1")
	first.Drain()
	short := func(h http.Header) { h.Set(platform.HeaderDeadline, "300") }
	d.eventually("the first start gets no more requests", func() bool {
		return d.call(node, http.MethodPost, "/write/", "b", short).status != http.StatusOK
	})
	second := d.restart("p1", plainService, 2000, nil)
	d.eventually("the second start serves", func() bool {
		return d.call(node, http.MethodPost, "/write/", "b", short).status == http.StatusOK
	})
	if len(second.Runs()) == 0 {
		t.Fatal("the second start ran nothing")
	}
}

// addCrashingStart adds a start of a worker that crashes when it begins to run poisonBody.
func (d *deployment) addCrashingStart(id string, born int64) {
	d.t.Helper()
	w := worker.New(worker.Config{ID: id, Service: plainService, Zone: "z", Slots: 8, StartMillis: born})
	server, err := standin.Listen("127.0.0.1:0", w)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(server.Kill)
	w.SetAddress(server.Address())
	w.Behave = func(r *http.Request) worker.Behaviour {
		body, err := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		if err != nil || string(body) != poisonBody {
			return worker.Serve
		}
		server.Kill()
		return worker.CutAfterRun
	}
	d.register(w)
}

// TestCrashOfEachStartCounts guards against counting the crashes of one machine once: a request
// that crashes a machine after each of its starts must count each crash.
func TestCrashOfEachStartCounts(t *testing.T) {
	d := newDeployment(t, withoutLatencyObjective)
	d.addCrashingStart("p1", 1000)
	node := d.startNode("n1")
	for ends := range int64(3) {
		d.eventually(fmt.Sprintf("start %d serves", ends+1), func() bool {
			return d.callWithRetryAfter(node, http.MethodPost, "/write/", "b", nil).status == http.StatusOK
		})
		d.call(node, http.MethodPost, "/write/x", poisonBody, nil)
		d.addCrashingStart("p1", 1001+ends)
	}
	d.eventually("the request is known to crash machines", func() bool {
		return metric(node, "valveslip_poison_requests") == 1
	})
}

// TestReportOfAnotherStartIsRejected guards against a report of one start that is used for
// another start of the engine.
func TestReportOfAnotherStartIsRejected(t *testing.T) {
	d := newDeployment(t)
	d.addWorker("e1", engineService, withStartTime(2000))
	client := platform.NewEngineClient(nil)
	address := d.workers["e1"].Address()
	if _, err := client.Report(t.Context(), address, "e1@1000"); err == nil {
		t.Error("the report of a later start was accepted for an earlier one")
	}
	for _, asked := range []string{"e1@2000", "e1"} {
		report, err := client.Report(t.Context(), address, cluster.MachineID(asked))
		if err != nil || len(report.Held) != 1 {
			t.Errorf("asked as %q: %+v, %v", asked, report, err)
		}
	}
}

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

// A machine may start again under the id that it had. It holds nothing and knows nothing of
// before, and its count of orders begins anew: what was known of it must not count for it.

// restart ends a worker and starts it again under its id, born later, at another address.
func (d *deployment) restart(id, service string, born int64, change func(*worker.Config)) *worker.Worker {
	d.t.Helper()
	d.workers[id].Kill()
	return d.addWorker(id, service, func(config *worker.Config) {
		config.Born, config.Held = born, nil
		if change != nil {
			change(config)
		}
	})
}

func bornAt(born int64) func(*worker.Config) {
	return func(config *worker.Config) { config.Born = born }
}

// TestRestartedEngineIsANewOne: what the engine held is not asked of it, and orders go by the
// count that it has now.
func TestRestartedEngineIsANewOne(t *testing.T) {
	d := newDeployment(t)
	first := d.addWorker("e1", engineService, bornAt(1000))
	node := d.startNode("n1")
	for _, model := range []string{"big", "rare"} {
		// Loading the second takes orders.
		if got := d.callAsTold(node, http.MethodPost, "/stream/", "b", withModel(model)); got.status != http.StatusOK {
			t.Fatalf("%s: answer %+v", model, got)
		}
	}
	if len(first.Orders()) == 0 {
		t.Fatal("no order was given to the first start")
	}
	second := d.restart("e1", engineService, 2000, nil)
	for _, model := range []string{"rare", "big"} {
		if got := d.callAsTold(node, http.MethodPost, "/stream/", "b", withModel(model)); got.status != http.StatusOK {
			t.Fatalf("%s after the restart: answer %+v", model, got)
		}
	}
	if orders := second.Orders(); len(orders) == 0 || orders[0].Expected != 0 {
		t.Fatalf("orders to the second start: %+v", orders)
	}
}

// TestEntryOfEarlierStartIsPassedOver: neither an entry of an earlier start nor one of another
// writer, which does not say when the machine was born, replaces what a later one said.
func TestEntryOfEarlierStartIsPassedOver(t *testing.T) {
	d := newDeployment(t, patient)
	first := d.addWorker("p1", plainService, bornAt(1000))
	node := d.startNode("n1")
	late := first.Entry()
	second := d.restart("p1", plainService, 2000, nil)
	served := func() bool {
		return d.callAsTold(node, http.MethodPost, "/write/", "b", nil).status == http.StatusOK
	}
	d.eventually("the second start serves", served)
	unborn := second.Entry()
	unborn.Born, unborn.Address = nil, late.Address
	for name, entry := range map[string]platform.WorkerDocument{"an earlier start": late, "another writer": unborn} {
		if err := d.store.Put(first.Key(), entry); err != nil {
			t.Fatal(err)
		}
		// The entry of a further worker comes behind it: once that one is used, both are known.
		further := d.addWorker("p-"+strings.ReplaceAll(name, " ", "-"), plainService, nil)
		d.eventually("the further worker is known", func() bool { return served() && len(further.Runs()) > 0 })
		before := len(second.Runs())
		d.eventually("the second start still serves after "+name, func() bool { return served() && len(second.Runs()) > before })
	}
}

// TestRestartedWorkerTakesRequestsAgain: that a machine was leaving ends with its start.
func TestRestartedWorkerTakesRequestsAgain(t *testing.T) {
	d := newDeployment(t, patient)
	first := d.addWorker("p1", plainService, bornAt(1000))
	node := d.startNode("n1")
	first.Drain()
	short := func(h http.Header) { h.Set(platform.HeaderDeadline, "300") }
	d.eventually("the first start gets nothing more", func() bool {
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

// addEnding adds a start of a worker that ends when it begins to run the harmful body.
func (d *deployment) addEnding(id string, born int64) {
	d.t.Helper()
	w := worker.New(worker.Config{ID: id, Service: plainService, Zone: "z", Slots: 8, Born: born})
	server, err := standin.Listen("127.0.0.1:0", w)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(server.Kill)
	w.SetAddress(server.Address())
	w.Behave = func(r *http.Request) worker.Behaviour {
		body, err := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		if err != nil || string(body) != harmfulBody {
			return worker.Serve
		}
		server.Kill()
		return worker.CutAfterRun
	}
	d.enter(w)
}

// TestEndsOfOneIdCount: a request that ends one machine after each of its starts has ended as
// many machines as there were starts.
func TestEndsOfOneIdCount(t *testing.T) {
	d := newDeployment(t, patient)
	d.addEnding("p1", 1000)
	node := d.startNode("n1")
	for ends := range int64(3) {
		d.eventually(fmt.Sprintf("start %d serves", ends+1), func() bool {
			return d.callAsTold(node, http.MethodPost, "/write/", "b", nil).status == http.StatusOK
		})
		d.call(node, http.MethodPost, "/write/x", harmfulBody, nil)
		d.addEnding("p1", 1001+ends)
	}
	d.eventually("the request is known to end machines", func() bool {
		return figure(node, "valveslip_poison_requests") == 1
	})
}

// TestReportOfAnotherStartIsNotTaken: a report says nothing of another start of its engine.
func TestReportOfAnotherStartIsNotTaken(t *testing.T) {
	d := newDeployment(t)
	d.addWorker("e1", engineService, bornAt(2000))
	client := platform.NewEngineClient()
	address := d.workers["e1"].Address()
	if _, err := client.Report(t.Context(), address, "e1@1000"); err == nil {
		t.Error("the report of a later start counts for an earlier one")
	}
	for _, asked := range []string{"e1@2000", "e1"} {
		report, err := client.Report(t.Context(), address, cluster.MachineID(asked))
		if err != nil || len(report.Held) != 1 {
			t.Errorf("asked as %q: %+v, %v", asked, report, err)
		}
	}
}

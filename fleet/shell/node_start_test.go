package shell_test

import (
	"net/http"
	"testing"

	"github.com/valveslip/valveslip/fleet/shell"
)

// Guarded failure: the store came back from a copy, and what was written since is missing until its author writes it
// again. A node that starts meanwhile reads the copy alone, while those that ran before know more.

// TestNodeThatStartsAfterReturnHasConfigurationInForce guards against a node that serves by the configuration of the
// copy although a newer one was acknowledged.
func TestNodeThatStartsAfterReturnHasConfigurationInForce(t *testing.T) {
	d := newDeployment(t, withoutLatencyObjective)
	worker := d.addWorker("p1", plainService, nil)
	nodes := []*shell.Node{d.startNode("n1"), d.startNode("n2")}
	before := d.store.Copy()
	d.configure(2, route("added", "idempotent", plainService, 1, false))
	for _, node := range nodes {
		d.eventually("the change is in force", func() bool { return d.serves(node, http.MethodGet, "/added/") })
	}
	d.loseRevisions(before, func() { d.register(worker) })
	started := d.startNode("n3")
	for range 20 {
		if got := d.callUnlessLate(started, http.MethodGet, "/added/", "", nil); got.status != http.StatusOK {
			t.Fatalf("answer %+v", got)
		}
	}
}

// TestNodeThatStartsAfterReturnLeavesDrainingWorkerAlone guards against requests to a worker that said that it leaves
// and whose entry in the copy says that it is ready.
func TestNodeThatStartsAfterReturnLeavesDrainingWorkerAlone(t *testing.T) {
	d := newDeployment(t, withoutLatencyObjective)
	leaving := d.addWorker("p1", plainService, nil)
	d.addWorker("p2", plainService, nil)
	node := d.startNode("n1")
	d.eventually("both workers are used", func() bool { return d.serves(node, http.MethodGet, "/read/") && len(leaving.Runs()) > 0 })
	before := d.store.Copy()
	leaving.Drain()
	d.eventually("the worker is no longer used", func() bool {
		runs := len(leaving.Runs())
		for range 8 {
			d.serves(node, http.MethodGet, "/read/")
		}
		return len(leaving.Runs()) == runs
	})
	used := len(leaving.Runs())
	d.loseRevisions(before, func() { d.configure(2, route("added", "idempotent", plainService, 1, false)) })
	d.eventually("the store is read again", func() bool { return d.serves(node, http.MethodGet, "/added/") })
	started := d.startNode("n2")
	for range 20 {
		d.serves(started, http.MethodGet, "/read/")
	}
	if runs := len(leaving.Runs()); runs != used {
		t.Errorf("the worker that leaves got %d of 20 requests", runs-used)
	}
}

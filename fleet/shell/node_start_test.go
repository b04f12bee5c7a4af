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

package shell_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/fleet/shell"
	standin "github.com/valveslip/valveslip/standin/keyvalue"
)

// The store may come back from a copy some seconds old. It has lost what was written since, and
// gives the revisions of that out again.

// lostRevisions is by how many revisions the store falls back in these tests: more than are written
// before the next change.
const lostRevisions = 400

// loseRevisions writes what a copy that was taken before does not have, and restores the copy. The
// configuration and the entries of the given workers are written again, as their owners do.
func (d *deployment) loseRevisions(from standin.Copy, rewrite func()) {
	d.t.Helper()
	for i := range lostRevisions {
		if err := d.store.PutBytes(fleet.KeyTickets+"lost", fmt.Appendf(nil, "%d", i)); err != nil {
			d.t.Fatal(err)
		}
	}
	time.Sleep(50 * time.Millisecond)
	d.store.Restore(from)
	rewrite()
}

// serves reports whether the node serves a route by the given method. A call that the node refuses for running late
// is repeated: it says nothing about the route.
func (d *deployment) serves(node *shell.Node, method, path string) bool {
	return d.callUnlessLate(node, method, path, "b", nil).status == http.StatusOK
}

// TestChangesAreLearnedAfterStoreLosesRevisions guards against nodes that compare the revisions of
// the store with those that it gave out before it came back from a copy: no change was learned until
// its revision had passed the one that was known, and what was written meanwhile never.
func TestChangesAreLearnedAfterStoreLosesRevisions(t *testing.T) {
	d := newDeployment(t, withoutLatencyObjective)
	first := d.addWorker("p1", plainService, nil)
	nodes := []*shell.Node{d.startNode("n1"), d.startNode("n2"), d.startNode("n3")}
	before := d.store.Copy()
	d.configure(2, route("confirmed", "idempotent", plainService, 1, false))
	for _, node := range nodes {
		d.eventually("the change before is in force", func() bool { return d.serves(node, http.MethodGet, "/confirmed/") })
	}
	d.loseRevisions(before, func() {
		d.configure(2, route("confirmed", "idempotent", plainService, 1, false))
		d.register(first)
	})
	for _, node := range nodes {
		if !d.serves(node, http.MethodGet, "/confirmed/") {
			t.Error("the configuration that was in force is not")
		}
	}
	d.configure(3, route("added", "idempotent", plainService, 1, false))
	for _, node := range nodes {
		d.eventually("the next change is in force", func() bool { return d.serves(node, http.MethodGet, "/added/") })
	}
	first.Drain()
	second := d.addWorker("p2", plainService, nil)
	for _, node := range nodes {
		d.eventually("the new worker is used", func() bool {
			runs := len(second.Runs())
			return d.serves(node, http.MethodGet, "/read/") && len(second.Runs()) > runs
		})
	}
}

// TestNewHolderLoadsAfterStoreLosesRevisions guards against a fleet in which nobody loads models
// after the node that gave orders ended and the store came back from a copy: the fencing token of the
// next holder was below that of the copy's record for all nodes that remembered more.
func TestNewHolderLoadsAfterStoreLosesRevisions(t *testing.T) {
	t.Run("vacant", func(t *testing.T) { testNewHolder(t, false) })
	t.Run("held by the next node", func(t *testing.T) { testNewHolder(t, true) })
}

// testNewHolder ends the holder of the order lease after a copy was taken that has its record. The
// store comes back from it before another node holds the lease, or after that node gave an order.
func testNewHolder(t *testing.T, held bool) {
	d := newDeployment(t, withoutLatencyObjective)
	engine := d.addWorker("e1", engineService, nil)
	loads := func(node *shell.Node, model string) func() bool {
		return func() bool {
			return d.call(node, http.MethodPost, "/stream/", "b", withModel(model)).status == http.StatusOK
		}
	}
	holder := d.startNode("n1")
	d.eventually("n1 loads", loads(holder, "rare"))
	before := d.store.Copy()
	other := d.startNode("n2")
	holder.Kill()
	if held {
		d.eventually("n2 loads", loads(other, "big"))
	}
	d.loseRevisions(before, func() {
		d.configure(1)
		d.register(engine)
	})
	d.eventually("n2 loads after the return", loads(other, "rare"))
	d.eventually("n2 loads again", loads(other, "big"))
	last := uint64(0)
	for _, order := range engine.AcceptedOrders() {
		if order.Fence < last {
			t.Errorf("an order under token %d follows one under %d", order.Fence, last)
		}
		last = max(last, order.Fence)
	}
}

// TestWorkerThatLeftStaysUnusedAfterStoreLosesItsEntry guards against an entry of the copy that shows
// a worker as ready which has said since that it leaves.
func TestWorkerThatLeftStaysUnusedAfterStoreLosesItsEntry(t *testing.T) {
	d := newDeployment(t, withoutLatencyObjective)
	leaving := d.addWorker("p1", plainService, nil)
	staying := d.addWorker("p2", plainService, nil)
	node := d.startNode("n1")
	d.eventually("both workers are used", func() bool {
		return d.serves(node, http.MethodGet, "/read/") && len(leaving.Runs()) > 0 && len(staying.Runs()) > 0
	})
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
	for range 16 {
		if !d.serves(node, http.MethodGet, "/read/") {
			t.Error("a request fails")
		}
	}
	if runs := len(leaving.Runs()); runs != used {
		t.Errorf("the worker that left got %d requests", runs-used)
	}
}

// TestSameVersionWithOtherContentReplacesLostOne guards against a change that is not in force because its
// version was: the store lost a content that its author never knew to be taken, and the next change has
// the same version. The content before must not come back with another copy.
func TestSameVersionWithOtherContentReplacesLostOne(t *testing.T) {
	d := newDeployment(t, withoutLatencyObjective)
	worker := d.addWorker("p1", plainService, nil)
	node, clock, _ := d.startSuspendableNode("n1")
	statusOf := func(path string) int { return d.callUnlessLate(node, http.MethodGet, path, "b", nil).status }
	served := func(path string) func() bool { return func() bool { return statusOf(path) == http.StatusOK } }
	before := d.store.Copy()
	d.configure(2, route("lost", "idempotent", plainService, 1, false))
	d.eventually("the lost content is in force", served("/lost/"))
	withLost := d.store.Copy()
	d.loseRevisions(before, func() {
		d.configure(2, route("kept", "idempotent", plainService, 1, false))
		d.register(worker)
	})
	d.eventually("the other content is in force", served("/kept/"))
	d.loseRevisions(withLost, func() { d.register(worker) })
	d.eventually("the second copy was read", func() bool { return metric(node, shell.MetricStoreEra) == 2 })
	checkContent := func(when string) {
		t.Helper()
		for range 20 {
			if kept, lost := statusOf("/kept/"), statusOf("/lost/"); kept != http.StatusOK || lost != http.StatusNotFound {
				t.Fatalf("%s: status %d for the content in force, want 200, and %d for the lost one, want 404", when, kept, lost)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	checkContent("after the second copy was read")
	// A node that detects a pause reads everything again.
	clock.suspend(5 * time.Second)
	checkContent("after a suspension")
	d.configure(3)
	d.eventually("the next version is in force", func() bool { return statusOf("/kept/") == http.StatusNotFound })
}

// TestCallersWithKeysAreServedAfterReturn guards against callers with keys who are refused after the store
// came back with the configuration in force: its revision is another one in the new era, which nodes that
// learn from others did not know.
func TestCallersWithKeysAreServedAfterReturn(t *testing.T) {
	d := newKeyedDeployment(t)
	d.addWorker("p1", plainService, nil)
	var nodes []*shell.Node
	for _, id := range []string{"n1", "n2", "n3", "n4", "n5"} {
		nodes = append(nodes, d.startNode(id, withKeyProof))
	}
	served := func(node *shell.Node) bool {
		return d.call(node, http.MethodGet, "/read/", "b", withKey("clinic-1")).status == http.StatusOK
	}
	for _, node := range nodes {
		d.eventually("the caller is served", func() bool { return served(node) })
	}
	d.loseRevisions(d.store.Copy(), func() {})
	time.Sleep(2 * maxKeyProofAge)
	for i, node := range nodes {
		d.eventually("a caller is served after the return", func() bool { return served(node) })
		for range 10 {
			if !served(node) {
				t.Errorf("node %d refuses the caller", i+1)
			}
		}
	}
}

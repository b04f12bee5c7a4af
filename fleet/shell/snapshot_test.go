package shell_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/platform"
)

// addIdleEntries adds entries of workers that get no requests, so that the store holds more than
// one page.
func (d *deployment) addIdleEntries(count int) {
	d.t.Helper()
	for i := range count {
		entry := platform.WorkerDocument{Service: "other", Address: fmt.Sprintf("127.0.0.1:%d", 1+i%1000), Zone: "z", Slots: 1, State: "ready"}
		if err := d.store.Put(fmt.Sprintf("%smany-%04d", platform.PrefixWorkers, i), entry); err != nil {
			d.t.Fatal(err)
		}
	}
}

// TestNodeLoadsSnapshotFromStarter guards against every node of a zone reading a large store. The
// first node reads it as the starter and the next ones load a snapshot from that node, serve, and
// follow later changes. After the starter died another node must take its place.
func TestNodeLoadsSnapshotFromStarter(t *testing.T) {
	d := newDeployment(t, withoutLatencyObjective)
	d.addWorker("p1", plainService, nil)
	d.addIdleEntries(1200)
	logs := map[string]*logText{}
	start := func(id string, changes ...func(*shell.Options)) *shell.Node {
		logs[id] = &logText{}
		return d.startNode(id, append(changes, func(o *shell.Options) { o.Log = eventlog.New(logs[id], eventlog.Options{}) })...)
	}
	// A starter that is silent for longer is replaced, and on a busy computer one may be.
	patient := func(o *shell.Options) { o.Feed.SnapshotTimeout, o.Feed.StartupTimeout = waitLimit, waitLimit }
	serves := func(node *shell.Node) {
		t.Helper()
		if got := d.callUnlessLate(node, http.MethodPost, "/write/", "b", nil); got.status != http.StatusOK {
			t.Fatalf("answer %+v", got)
		}
	}
	first := start("n1")
	serves(first)
	if text := logs["n1"].String(); !strings.Contains(text, "starter_chosen") || strings.Contains(text, "snapshot_taken") {
		t.Errorf("the first node did not read the store:\n%s", text)
	}
	second := start("n2", patient)
	serves(second)
	if text := logs["n2"].String(); !strings.Contains(text, "snapshot_taken from=n1") || strings.Contains(text, "starter_chosen") {
		t.Errorf("the second node did not load a snapshot from the first:\n%s\nlog of the first:\n%s", text, logs["n1"].String())
	}
	d.configure(2, route("added", "idempotent", plainService, 1, false))
	d.eventually("the second node follows the configuration", func() bool {
		return d.call(second, http.MethodGet, "/added/", "", nil).status == http.StatusOK
	})
	first.Kill()
	third := start("n3")
	serves(third)
	if text := logs["n3"].String(); !strings.Contains(text, "starter_chosen") {
		t.Errorf("the third node waited for a dead starter:\n%s", text)
	}
}

// TestUnreadableStarterIsReplaced guards against a start that blocks on a starter record that
// can't be decoded.
func TestUnreadableStarterIsReplaced(t *testing.T) {
	d := newDeployment(t, withoutLatencyObjective)
	d.addWorker("p1", plainService, nil)
	d.addIdleEntries(600)
	if err := d.store.PutBytes(fleet.KeyStarters+"z/", []byte("{")); err != nil {
		t.Fatal(err)
	}
	node := d.startNode("n1")
	if got := d.call(node, http.MethodPost, "/write/", "b", nil); got.status != http.StatusOK {
		t.Fatalf("answer %+v", got)
	}
}

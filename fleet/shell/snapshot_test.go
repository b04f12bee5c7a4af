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

// addMany enters workers that nobody asks for, so that the store holds more than a page.
func (d *deployment) addMany(count int) {
	d.t.Helper()
	for i := range count {
		entry := platform.WorkerDocument{Service: "other", Address: fmt.Sprintf("127.0.0.1:%d", 1+i%1000), Zone: "z", Slots: 1, State: "ready"}
		if err := d.store.Put(fmt.Sprintf("%smany-%04d", platform.PrefixWorkers, i), entry); err != nil {
			d.t.Fatal(err)
		}
	}
}

// TestNodeLearnsEverythingOfAnother: where the store holds more than a page, the first node of
// a zone reads it and the next ones learn all of it from that one; they serve, and follow what
// changes afterwards. When the one that read ended, another one takes its place.
func TestNodeLearnsEverythingOfAnother(t *testing.T) {
	d := newDeployment(t, patient)
	d.addWorker("p1", plainService, nil)
	d.addMany(1200)
	logs := map[string]*logText{}
	start := func(id string) *shell.Node {
		logs[id] = &logText{}
		return d.startNode(id, func(o *shell.Options) { o.Log = eventlog.New(logs[id], eventlog.Options{}) })
	}
	serves := func(node *shell.Node) {
		t.Helper()
		if got := d.call(node, http.MethodPost, "/write/", "b", nil); got.status != http.StatusOK {
			t.Fatalf("answer %+v", got)
		}
	}
	first := start("n1")
	serves(first)
	if text := logs["n1"].String(); !strings.Contains(text, "starter_chosen") || strings.Contains(text, "snapshot_taken") {
		t.Errorf("the first node did not read the store:\n%s", text)
	}
	second := start("n2")
	serves(second)
	if text := logs["n2"].String(); !strings.Contains(text, "snapshot_taken from=n1") || strings.Contains(text, "starter_chosen") {
		t.Errorf("the second node did not learn of the first:\n%s", text)
	}
	d.configure(2, route("added", "idempotent", plainService, 1, false))
	d.eventually("the second node follows the configuration", func() bool {
		return d.call(second, http.MethodGet, "/added/", "", nil).status == http.StatusOK
	})
	first.Kill()
	third := start("n3")
	serves(third)
	if text := logs["n3"].String(); !strings.Contains(text, "starter_chosen") {
		t.Errorf("the third node waited for one that had ended:\n%s", text)
	}
}

// TestUnreadableStarterIsReplaced: a record of the starter that another writer left holds
// nobody up.
func TestUnreadableStarterIsReplaced(t *testing.T) {
	d := newDeployment(t, patient)
	d.addWorker("p1", plainService, nil)
	d.addMany(600)
	if err := d.store.PutBytes(fleet.KeyStarters+"z/", []byte("{")); err != nil {
		t.Fatal(err)
	}
	node := d.startNode("n1")
	if got := d.call(node, http.MethodPost, "/write/", "b", nil); got.status != http.StatusOK {
		t.Fatalf("answer %+v", got)
	}
}

package shell_test

import (
	"net/http"
	"sync"
	"testing"

	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/standin/worker"
)

// TestSystemHeadersAreNotForwarded guards against callers that set the system's headers: those
// must never reach a worker, even if the Connection header names them, while the caller's own
// headers must.
func TestSystemHeadersAreNotForwarded(t *testing.T) {
	d := newDeployment(t)
	plain := d.addWorker("p1", plainService, nil)
	var mutex sync.Mutex
	var seen http.Header
	plain.Behave = func(r *http.Request) worker.Behaviour {
		mutex.Lock()
		defer mutex.Unlock()
		seen = r.Header.Clone()
		return worker.Serve
	}
	node := d.startNode("n1")
	fields := []string{
		platform.HeaderHold, platform.HeaderPin, platform.HeaderBackup, platform.HeaderCopyFrom, platform.HeaderFetchFrom,
		platform.HeaderTenant, platform.HeaderExpectVersion, platform.HeaderPriority, platform.HeaderExpectInstance,
	}
	got := d.call(node, http.MethodPost, "/write/x", "b", func(header http.Header) {
		for _, name := range fields {
			header.Add(name, "of the caller")
			header.Add(name, "again")
			header.Add("Connection", name)
		}
		header.Set("X-Other", "kept")
	})
	if got.status != http.StatusOK {
		t.Fatalf("answer %+v", got)
	}
	mutex.Lock()
	defer mutex.Unlock()
	for _, name := range fields {
		for _, value := range seen.Values(name) {
			if value == "of the caller" || value == "again" {
				t.Errorf("%s: %q reached a worker", name, value)
			}
		}
	}
	if seen.Get("X-Other") != "kept" {
		t.Error("the caller's own header was not forwarded")
	}
}

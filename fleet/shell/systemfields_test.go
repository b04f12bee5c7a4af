package shell_test

import (
	"net/http"
	"sync"
	"testing"

	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/standin/worker"
)

// TestSystemFieldsStayBehind: what callers send in the system's fields never reaches a
// worker, also when it is named by Connection; what is theirs does.
func TestSystemFieldsStayBehind(t *testing.T) {
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
		t.Error("a field of the caller's own was not passed on")
	}
}

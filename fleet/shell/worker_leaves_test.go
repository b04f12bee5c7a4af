package shell_test

import (
	"net/http"
	"sync"
	"testing"

	"github.com/valveslip/valveslip/standin/worker"
)

// TestWorkerThatSaysItLeavesGetsNothingMore guards against nodes that go on sending requests to a
// worker whose answers say that it leaves, for as long as the store's entry does not.
func TestWorkerThatSaysItLeavesGetsNothingMore(t *testing.T) {
	for _, c := range []struct {
		name, service, path string
		told                worker.Behaviour
	}{
		{"answer", plainService, "/read/", worker.Serve},
		{"failure", plainService, "/read/", worker.FailWith500},
		{"refusal", plainService, "/read/", worker.Reject},
		{"answer of another request", plainService, "/read/", worker.Cross},
		{"answer that is cut", plainService, "/read/", worker.CutBody},
		{"stream", engineService, "/stream/", worker.Serve},
		{"stream that is cut", engineService, "/stream/", worker.CutStream},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, patient)
			leaver := d.addWorker("w1", c.service, nil)
			var mutex sync.Mutex
			behaviour, arrived := c.told, 0
			leaver.Behave = func(*http.Request) worker.Behaviour {
				mutex.Lock()
				defer mutex.Unlock()
				arrived++
				return behaviour
			}
			arrivals := func() int {
				mutex.Lock()
				defer mutex.Unlock()
				return arrived
			}
			node := d.startNode("n1")
			leaver.Leave()
			d.call(node, http.MethodPost, c.path, "b", withModel("big"))
			mutex.Lock()
			behaviour = worker.Serve
			mutex.Unlock()
			before := arrivals()
			stays := d.addWorker("w2", c.service, nil)
			entry := leaver.Entry()
			for i := range 20 {
				if i == 10 {
					// The store's entry changes, and still says that the worker is ready.
					entry.Slots++
					if err := d.store.Put(leaver.Key(), entry); err != nil {
						t.Fatal(err)
					}
				}
				if got := d.callAsTold(node, http.MethodPost, c.path, "b", withModel("big")); got.status != http.StatusOK {
					t.Fatalf("answer %+v", got)
				}
			}
			if got := arrivals(); before == 0 || got != before {
				t.Errorf("%d requests reached the worker, %d before it was known to leave", got, before)
			}
			if len(stays.Runs()) != 20 {
				t.Errorf("%d of 20 requests were sent to the worker that stays", len(stays.Runs()))
			}
		})
	}
}

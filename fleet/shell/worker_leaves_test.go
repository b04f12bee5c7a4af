package shell_test

import (
	"net/http"
	"testing"
)

// TestWorkerThatSaysItLeavesGetsNothingMore guards against nodes that go on sending requests to a
// worker whose answers say that it leaves, for as long as the store's entry does not.
func TestWorkerThatSaysItLeavesGetsNothingMore(t *testing.T) {
	for _, kind := range answerKinds {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, patient)
			leaver := d.addCounted("w1", kind.service, kind.answers)
			node := d.startNode("n1")
			leaver.Leave()
			d.call(node, http.MethodPost, kind.path, "b", withModel("big"))
			before := leaver.serve()
			stays := d.addWorker("w2", kind.service, nil)
			entry := leaver.Entry()
			for i := range 20 {
				if i == 10 {
					// The store's entry changes, and still says that the worker is ready.
					entry.Slots++
					if err := d.store.Put(leaver.Key(), entry); err != nil {
						t.Fatal(err)
					}
				}
				if got := d.callAsTold(node, http.MethodPost, kind.path, "b", withModel("big")); got.status != http.StatusOK {
					t.Fatalf("answer %+v", got)
				}
			}
			if got := leaver.arrivals(); before == 0 || got != before {
				t.Errorf("%d requests reached the worker, %d before it was known to leave", got, before)
			}
			if len(stays.Runs()) != 20 {
				t.Errorf("%d of 20 requests were sent to the worker that stays", len(stays.Runs()))
			}
		})
	}
}

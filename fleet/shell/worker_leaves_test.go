package shell_test

import (
	"net/http"
	"testing"
)

// TestWorkerAnnouncingDrainGetsNoRequests guards against nodes that go on sending requests to a
// worker whose answers say that it is draining, while its entry in the store still says that it
// is ready.
func TestWorkerAnnouncingDrainGetsNoRequests(t *testing.T) {
	for _, kind := range answerKinds {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, withoutLatencyObjective)
			draining := d.addCountingWorker("w1", kind.service, kind.answers)
			node := d.startNode("n1")
			draining.Leave()
			d.call(node, http.MethodPost, kind.path, "b", withModel("big"))
			before := draining.switchToServing()
			other := d.addWorker("w2", kind.service, nil)
			entry := draining.Entry()
			for i := range 20 {
				if i == 10 {
					// The entry in the store changes, and still says that the worker is ready.
					entry.Slots++
					if err := d.store.Put(draining.Key(), entry); err != nil {
						t.Fatal(err)
					}
				}
				if got := d.callWithRetryAfter(node, http.MethodPost, kind.path, "b", withModel("big")); got.status != http.StatusOK {
					t.Fatalf("answer %+v", got)
				}
			}
			if got := draining.arrivals(); before == 0 || got != before {
				t.Errorf("%d requests reached the worker, %d before it was known to be draining", got, before)
			}
			if len(other.Runs()) != 20 {
				t.Errorf("%d of 20 requests were sent to the other worker", len(other.Runs()))
			}
		})
	}
}

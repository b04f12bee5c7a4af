package shell_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/platform"
)

// The bound on the requests that an overloaded worker gets from all nodes together: limitFactor
// times the limit that it announced, and limitBurst more.
const (
	limitFactor = 1.5
	limitBurst  = 5
)

// TestWorkerLimitHoldsAcrossNodes guards against nodes that each send an overloaded worker as
// many requests as before, although it announced a limit for all nodes together.
func TestWorkerLimitHoldsAcrossNodes(t *testing.T) {
	for _, kind := range answerKinds {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, withoutLatencyObjective)
			overloaded := d.addCountingWorker("w1", kind.service, kind.answers)
			overloaded.SetAnnouncedLimit(1)
			nodes := []*shell.Node{d.startNode("n1"), d.startNode("n2")}
			for _, node := range nodes {
				d.call(node, http.MethodPost, kind.path, "b", withShortDeadline)
			}
			before, began := overloaded.switchToServing(), time.Now()
			var callers sync.WaitGroup
			for i := range 40 {
				callers.Go(func() { d.call(nodes[i%len(nodes)], http.MethodPost, kind.path, "b", withShortDeadline) })
			}
			callers.Wait()
			took := time.Since(began)
			arrived := overloaded.arrivals() - before
			if limit := limitBurst + limitFactor*took.Seconds(); float64(arrived) > limit {
				t.Errorf("%d requests in %s, at most %.1f are allowed", arrived, took, limit)
			}
		})
	}
}

// withShortDeadline sets a short deadline, so that requests that can't be sent in time end soon.
func withShortDeadline(header http.Header) {
	withModel("big")(header)
	header.Set(platform.HeaderDeadline, "1500")
}

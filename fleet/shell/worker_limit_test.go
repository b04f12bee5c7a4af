package shell_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/platform"
)

// The bound on what a worker in need gets of all nodes that it has told its limit: in any time so
// many times the limit, and so many requests beside that.
const (
	limitOverrun = 1.5
	limitBeside  = 5
)

// TestLimitOfWorkerHoldsOverNodes guards against nodes that each send a worker in need as many
// requests as before, though it told them how many it takes of all of them together.
func TestLimitOfWorkerHoldsOverNodes(t *testing.T) {
	for _, kind := range answerKinds {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, patient)
			needy := d.addCounted("w1", kind.service, kind.answers)
			needy.SetLimit(1)
			nodes := []*shell.Node{d.startNode("n1"), d.startNode("n2")}
			for _, node := range nodes {
				d.call(node, http.MethodPost, kind.path, "b", limitedCall)
			}
			before, began := needy.serve(), time.Now()
			var callers sync.WaitGroup
			for i := range 40 {
				callers.Go(func() { d.call(nodes[i%len(nodes)], http.MethodPost, kind.path, "b", limitedCall) })
			}
			callers.Wait()
			took := time.Since(began)
			arrived := needy.arrivals() - before
			if most := limitBeside + limitOverrun*took.Seconds(); float64(arrived) > most {
				t.Errorf("%d requests in %s, at most %.1f are allowed", arrived, took, most)
			}
		})
	}
}

// limitedCall has little time, so that what can't be sent in time ends soon.
func limitedCall(header http.Header) {
	withModel("big")(header)
	header.Set(platform.HeaderDeadline, "1500")
}

package shell_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/standin/worker"
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
	for _, c := range []struct {
		name, service, path string
		told                worker.Behaviour
	}{
		{"answer", plainService, "/read/", worker.Serve},
		{"failure", plainService, "/read/", worker.FailWith500},
		{"refusal", plainService, "/read/", worker.Reject},
		{"answer of another request", plainService, "/read/", worker.Cross},
		{"stream", engineService, "/stream/", worker.Serve},
		{"stream that is cut", engineService, "/stream/", worker.CutStream},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, patient)
			needy := d.addWorker("w1", c.service, nil)
			var mutex sync.Mutex
			behaviour, arrived := c.told, 0
			needy.Behave = func(*http.Request) worker.Behaviour {
				mutex.Lock()
				defer mutex.Unlock()
				arrived++
				return behaviour
			}
			needy.SetLimit(1)
			nodes := []*shell.Node{d.startNode("n1"), d.startNode("n2")}
			for _, node := range nodes {
				d.call(node, http.MethodPost, c.path, "b", limitedCall)
			}
			mutex.Lock()
			behaviour, arrived = worker.Serve, 0
			mutex.Unlock()
			began := time.Now()
			var callers sync.WaitGroup
			for i := range 40 {
				callers.Go(func() { d.call(nodes[i%len(nodes)], http.MethodPost, c.path, "b", limitedCall) })
			}
			callers.Wait()
			mutex.Lock()
			defer mutex.Unlock()
			if most := limitBeside + limitOverrun*time.Since(began).Seconds(); float64(arrived) > most {
				t.Errorf("%d requests in %s, at most %.1f are allowed", arrived, time.Since(began), most)
			}
		})
	}
}

// limitedCall has little time, so that what can't be sent in time ends soon.
func limitedCall(header http.Header) {
	withModel("big")(header)
	header.Set(platform.HeaderDeadline, "1500")
}

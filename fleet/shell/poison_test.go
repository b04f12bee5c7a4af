package shell_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/standin/worker"
)

// What was seen: one request ended worker after worker, and each node went on sending it.
//
// How it came about: it ends the process of each worker that begins to run it, and comes
// again under a new identifier, at any node.
//
// What caused it: a node judged each attempt by itself and told no other node.
//
// What proved that: three nodes before workers that end on a marked body, whose tries go
// round the nodes; the workers see each run.

// harmfulBody ends the workers of these tests.
const harmfulBody = "ends the worker that runs it"

// endingWorkers adds workers that end when they begin to run the harmful body, and counts
// the ends.
func (d *deployment) endingWorkers(n int) *atomic.Int64 {
	var ends atomic.Int64
	for i := range n {
		id := fmt.Sprintf("p%d", i)
		w := d.addWorker(id, plainService, nil)
		w.Behave = func(r *http.Request) worker.Behaviour {
			body, err := io.ReadAll(r.Body)
			r.Body = io.NopCloser(strings.NewReader(string(body)))
			if err != nil || string(body) != harmfulBody {
				return worker.Serve
			}
			ends.Add(1)
			d.workers[id].Kill()
			return worker.CutAfterRun
		}
	}
	return &ends
}

// figure returns a figure of a node, zero when it has none of the name.
func figure(node *shell.Node, name string) float64 {
	response, err := http.Get(node.MetricsURL())
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(strings.TrimSpace(line), name+" "); found {
			number, _ := strconv.ParseFloat(value, 64)
			return number
		}
	}
	return 0
}

// TestPoisonRequestIsRefusedEverywhere: once a request has ended three workers, each node
// refuses it at once, without an invitation to come back soon, and serves others.
func TestPoisonRequestIsRefusedEverywhere(t *testing.T) {
	for name, path := range map[string]string{"one end a try": "/write/x", "three ends in a try": "/read/x"} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, patient)
			ends := d.endingWorkers(12)
			nodes := []*shell.Node{d.startNode("n1"), d.startNode("n2"), d.startNode("n3")}
			tries := 0
			for ; ends.Load() < 3; tries++ {
				if got := d.call(nodes[tries%3], http.MethodPost, path, harmfulBody, nil); got.status == http.StatusOK {
					t.Fatalf("answer %+v", got)
				}
			}
			for i, node := range nodes {
				d.eventually(fmt.Sprintf("node %d knows of the request", i+1), func() bool {
					return figure(node, "valveslip_poison_requests") == 1
				})
			}
			known := ends.Load()
			for _, node := range nodes {
				got := d.call(node, http.MethodPost, path, harmfulBody, nil)
				after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				if got.status != http.StatusServiceUnavailable || err != nil || after < 60 {
					t.Errorf("answer %+v", got)
				}
				if other := d.callAsTold(node, http.MethodPost, path, "harmless", nil); other.status != http.StatusOK {
					t.Errorf("another request is answered %+v", other)
				}
			}
			if now := ends.Load(); now != known || known > 6 {
				t.Errorf("%d workers ended in %d tries, %d more after all nodes knew", known, tries, now-known)
			}
		})
	}
}

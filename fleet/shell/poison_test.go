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

// Guarded failure: a request crashes each worker that begins to run it, and comes again under a
// new identifier at any node. When each node judged only its own attempts and shared nothing with
// the others, the request crashed worker after worker.

// poisonBody crashes the workers of these tests.
const poisonBody = "crashes the worker that runs it"

// addCrashingWorkers adds n workers that crash when they begin to run poisonBody, and counts the
// crashes.
func (d *deployment) addCrashingWorkers(n int) *atomic.Int64 {
	var crashes atomic.Int64
	for i := range n {
		id := fmt.Sprintf("p%d", i)
		w := d.addWorker(id, plainService, nil)
		w.Behave = func(r *http.Request) worker.Behaviour {
			body, err := io.ReadAll(r.Body)
			r.Body = io.NopCloser(strings.NewReader(string(body)))
			if err != nil || string(body) != poisonBody {
				return worker.Serve
			}
			crashes.Add(1)
			d.workers[id].Kill()
			return worker.CutAfterRun
		}
	}
	return &crashes
}

// metric returns the value of a node's metric; zero if there is none of that name.
func metric(node *shell.Node, name string) float64 {
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

// TestPoisonRequestIsRejectedByAllNodes guards against a request that crashes worker after
// worker. Once it has crashed three workers every node must reject it at once with a long
// Retry-After, and still serve other requests.
func TestPoisonRequestIsRejectedByAllNodes(t *testing.T) {
	for name, path := range map[string]string{"one crash per call": "/write/x", "three crashes in a call": "/read/x"} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, withoutLatencyObjective)
			crashes := d.addCrashingWorkers(12)
			nodes := []*shell.Node{d.startNode("n1"), d.startNode("n2"), d.startNode("n3")}
			calls := 0
			for ; crashes.Load() < 3; calls++ {
				if got := d.call(nodes[calls%3], http.MethodPost, path, poisonBody, nil); got.status == http.StatusOK {
					t.Fatalf("answer %+v", got)
				}
			}
			for i, node := range nodes {
				d.eventually(fmt.Sprintf("node %d knows of the request", i+1), func() bool {
					return metric(node, "valveslip_poison_requests") == 1
				})
			}
			known := crashes.Load()
			for _, node := range nodes {
				got := d.call(node, http.MethodPost, path, poisonBody, nil)
				after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				if got.status != http.StatusServiceUnavailable || err != nil || after < 60 {
					t.Errorf("answer %+v", got)
				}
				if other := d.callWithRetryAfter(node, http.MethodPost, path, "harmless", nil); other.status != http.StatusOK {
					t.Errorf("another request is answered %+v", other)
				}
			}
			if now := crashes.Load(); now != known || known > 6 {
				t.Errorf("%d workers crashed in %d calls, %d more after all nodes knew the request", known, calls, now-known)
			}
		})
	}
}

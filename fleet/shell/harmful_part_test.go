package shell_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/standin/worker"
)

// Guarded failure: one part of a prompt crashes each worker that begins to answer a request with it,
// and no two such requests are alike. Evidence by the content of whole requests never added up, so
// that one worker after the other crashed, and the caller was blamed, with sound requests beside.

// deadPart crashes the workers of these tests, soundPart is a part that sound requests share with the
// harmful ones.
const (
	deadPart  = "dead0001"
	soundPart = "50000001"
)

// crashingWorkers is a set of engine workers that crash under deadPart. Each is replaced, under a new
// ID, by the next one.
type crashingWorkers struct {
	*deployment
	crashes, started atomic.Int64
}

func newCrashingWorkers(t *testing.T, workers int) *crashingWorkers {
	c := &crashingWorkers{deployment: newDeployment(t, withoutLatencyObjective)}
	for range workers {
		c.start()
	}
	return c
}

func (c *crashingWorkers) start() {
	id := fmt.Sprintf("c%d", c.started.Add(1))
	w := c.addWorker(id, engineService, nil)
	server := c.workers[id]
	var fallen atomic.Bool
	w.Behave = func(r *http.Request) worker.Behaviour {
		parts := strings.Split(r.Header.Get(platform.HeaderPrefix), ",")
		if !slices.ContainsFunc(parts[:len(parts)-1], func(part string) bool { return strings.HasPrefix(part, deadPart+":") }) {
			return worker.Serve
		}
		if fallen.CompareAndSwap(false, true) {
			c.crashes.Add(1)
			server.Kill()
		}
		return worker.CutAfterRun
	}
}

// ask sends a request with the given shared parts and a last part of its own.
func (c *crashingWorkers) ask(node *shell.Node, shared ...string) reply {
	body := fmt.Sprintf("body %d", c.lastRequestNumber.Load())
	return c.call(node, http.MethodPost, "/stream/x", body, c.prompt(shared...))
}

// prompt sets the fields of a request with the given shared parts, a last part of its own and a caller
// that all requests have.
func (c *crashingWorkers) prompt(shared ...string) func(http.Header) {
	return func(header http.Header) {
		withModel("big")(header)
		header.Set("Authorization", "Bearer caller")
		parts := append(slices.Clone(shared), header.Get(platform.HeaderRequestID)[len("request-"):])
		for i := range parts {
			parts[i] += ":10"
		}
		header.Set(platform.HeaderPrefix, strings.Join(parts, ","))
	}
}

// TestPartThatCrashesWorkersIsRefusedByAllNodes guards against requests that share a part of their prompts,
// crash one worker after the other and are never recognized, since no two are alike. Once five workers
// have crashed all nodes must refuse the part, and serve sound requests of the same caller that share
// the other parts.
func TestPartThatCrashesWorkersIsRefusedByAllNodes(t *testing.T) {
	for name, shared := range map[string][]string{
		"second of three": {soundPart, deadPart},
		"first of two":    {deadPart},
		"third of four":   {soundPart, "50000002", deadPart},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrashingWorkers(t, 16)
			nodes, logs := make([]*shell.Node, 3), make([]*logText, 3)
			for i := range nodes {
				logs[i] = &logText{}
				nodes[i] = c.startNode(fmt.Sprintf("n%d", i+1), func(o *shell.Options) { o.Log = eventlog.New(logs[i], eventlog.Options{}) })
			}
			for i := range 12 {
				if got := c.ask(nodes[i%3], soundPart, "50000002"); got.status != http.StatusOK {
					t.Fatalf("a sound request is answered %+v", got)
				}
			}
			for i := 0; c.crashes.Load() < 5 && i < 10; i++ {
				if got := c.ask(nodes[i%3], shared...); got.status == http.StatusOK {
					t.Fatalf("answer %+v", got)
				}
			}
			for i, node := range nodes {
				c.eventually(fmt.Sprintf("node %d knows the part", i+1), func() bool { return metric(node, "valveslip_poison_requests") >= 1 })
			}
			known := c.crashes.Load()
			if known > 8 {
				t.Errorf("%d workers crashed until all nodes knew the part", known)
			}
			probes := make([]int, len(nodes))
			for i := range 12 {
				before := c.crashes.Load()
				got := c.ask(nodes[i%3], shared...)
				after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				isProbe := got.status == http.StatusBadGateway && c.crashes.Load() == before+1
				if isProbe {
					// A node whose probe the store granted sends one such request, to see whether the part still ends workers.
					probes[i%3]++
					c.eventually("the probe is logged", func() bool {
						return strings.Count(logs[i%3].String(), deadPart+" outcome=granted") >= probes[i%3]
					})
				}
				if !isProbe && (got.status != http.StatusServiceUnavailable || err != nil || after < 60) {
					t.Errorf("answer %+v", got)
				}
				if sound := c.callWithRetryAfter(nodes[i%3], http.MethodPost, "/stream/x", "", c.prompt(soundPart, "50000002")); sound.status != http.StatusOK {
					t.Errorf("a sound request is answered %+v", sound)
				}
			}
			if now := c.crashes.Load(); now > known+3 {
				t.Errorf("%d workers crashed after all nodes knew the part", now-known)
			}
		})
	}
}

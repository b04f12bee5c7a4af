package shell_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/standin/worker"
)

// brittleService is the load on brittle workers in a test.
type brittleService struct {
	workers, slots, nodes int
	runTime               time.Duration
	bearable              int
	// demand is the share of the workers' capacity that callers ask for.
	demand float64
	span   time.Duration
}

// TestBrittleWorkersDoNotFallInTurn guards against nodes that send workers more than these have room
// for while the workers say that they fall by what they have to turn away: what one carried that fell
// comes to the others, which fall too. How many callers are served depends on the speed of this computer;
// TestBrittleMachinesAreNotOverfilled checks it on a virtual clock.
func TestBrittleWorkersDoNotFallInTurn(t *testing.T) {
	for _, s := range []brittleService{
		{workers: 4, slots: 4, nodes: 4, runTime: 100 * time.Millisecond, bearable: 3, demand: 0.8, span: 7 * time.Second},
		{workers: 4, slots: 4, nodes: 12, runTime: 100 * time.Millisecond, bearable: 3, demand: 0.8, span: 7 * time.Second},
		{workers: 4, slots: 4, nodes: 6, runTime: 100 * time.Millisecond, bearable: 4, demand: 1.5, span: 7 * time.Second},
	} {
		t.Run(fmt.Sprintf("%d nodes, demand %g", s.nodes, s.demand), func(t *testing.T) {
			t.Parallel()
			testBrittleWorkers(t, s)
		})
	}
}

// fallenFor is how long a worker that fell is gone, knownAfter the time from which it falls and lets only
// one request wait.
const (
	fallenFor  = 2 * time.Second
	knownAfter = 3 * time.Second
)

func testBrittleWorkers(t *testing.T, s brittleService) {
	d := newDeployment(t)
	var falls atomic.Int64
	for i := range s.workers {
		d.addBrittleWorker(fmt.Sprintf("w%d", i), s, &falls)
	}
	var nodes []*shell.Node
	for i := range s.nodes {
		nodes = append(nodes, d.startNode(fmt.Sprintf("n%d", i), func(o *shell.Options) { o.Core.Self.Machine = fmt.Sprintf("host%d", i) }))
	}
	served, sent := d.sendEvenly(nodes, s)
	t.Logf("%d falls, %d of %d served", falls.Load(), served, sent)
	if allowed := 2 + s.workers/10; falls.Load() > int64(allowed) {
		t.Errorf("%d falls, at most %d are allowed", falls.Load(), allowed)
	}
	if served == 0 {
		t.Errorf("none of %d requests was served", sent)
	}
}

// addBrittleWorker starts a worker that says from the start that it is brittle, and falls from knownAfter
// on.
func (d *deployment) addBrittleWorker(id string, s brittleService, falls *atomic.Int64) {
	const roomAtFirst = 8
	w := d.addWorker(id, plainService, func(c *worker.Config) {
		c.Slots, c.RunTime, c.Queue = s.slots, s.runTime, roomAtFirst
	})
	server := d.workers[id]
	w.AnnounceBrittle(s.bearable)
	stopShrinking := time.AfterFunc(knownAfter, func() { w.BecomeBrittle(1) })
	d.t.Cleanup(func() { stopShrinking.Stop() })
	w.OnFall = func() {
		falls.Add(1)
		server.Kill()
		time.AfterFunc(fallenFor, func() {
			w.Recover()
			_ = server.Restart()
		})
	}
}

// sendEvenly sends requests to the nodes in turn, at an even rate, and returns how many were served at
// the first try and how many were sent.
func (d *deployment) sendEvenly(nodes []*shell.Node, s brittleService) (served, sent int) {
	rate := s.demand * float64(s.workers*s.slots) / s.runTime.Seconds()
	interval := time.Duration(float64(time.Second) / rate)
	var calls sync.WaitGroup
	var count atomic.Int64
	began := time.Now()
	for ; time.Since(began) < s.span; sent++ {
		time.Sleep(time.Until(began.Add(time.Duration(sent) * interval)))
		node := nodes[sent%len(nodes)]
		calls.Go(func() {
			got := d.call(node, http.MethodPost, "/read/", "b", func(h http.Header) { h.Set(platform.HeaderDeadline, "1500") })
			if got.err == nil && got.status == http.StatusOK {
				count.Add(1)
			}
		})
	}
	calls.Wait()
	return int(count.Load()), sent
}

package shell_test

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet/shell"
)

// processorTime is what this process has used so far.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkLogCost compares the processor time of a small request by way of a node
// that logs every line with one whose log is off, and with one straight to the
// worker: log-share is what logging takes of the node's own time.
func BenchmarkLogCost(b *testing.B) {
	const block = 100
	d := newDeployment(b)
	d.addWorker("p1", plainService, nil)
	logged := d.startNode("n1", func(o *shell.Options) {
		o.Log = eventlog.New(io.Discard, eventlog.Options{Rate: math.MaxInt32, QueueLength: 1 << 16})
	})
	silent := d.startNode("n2", func(o *shell.Options) { o.Log = nil })
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}
	sent := 0
	spend := func(address string) time.Duration {
		before := processorTime(b)
		for range block {
			sent++
			post(b, client, address, fmt.Sprintf("c%d", sent), "body")
		}
		return processorTime(b) - before
	}
	var straight, on, off time.Duration
	blocks := 0
	for b.Loop() {
		straight += spend(d.workers["p1"].Address())
		on += spend(logged.Address())
		off += spend(silent.Address())
		blocks++
	}
	each := func(t time.Duration) float64 { return float64(t.Microseconds()) / float64(blocks*block) }
	b.ReportMetric(each(off-straight), "node-us")
	b.ReportMetric(each(on-off), "log-us")
	b.ReportMetric(float64(on-off)/float64(on-straight), "log-share")
}

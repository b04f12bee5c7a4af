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

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkLogCost compares the CPU time of a small request through a node that logs every line,
// through one whose log is off, and directly to the worker. log-share is the share of logging in
// the node's own time.
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
	measure := func(address string) time.Duration {
		before := cpuTime(b)
		for range block {
			sent++
			post(b, client, address, fmt.Sprintf("c%d", sent), "body")
		}
		return cpuTime(b) - before
	}
	var direct, on, off time.Duration
	blocks := 0
	for b.Loop() {
		direct += measure(d.workers["p1"].Address())
		on += measure(logged.Address())
		off += measure(silent.Address())
		blocks++
	}
	each := func(t time.Duration) float64 { return float64(t.Microseconds()) / float64(blocks*block) }
	b.ReportMetric(each(off-direct), "node-us")
	b.ReportMetric(each(on-off), "log-us")
	b.ReportMetric(float64(on-off)/float64(on-direct), "log-share")
}

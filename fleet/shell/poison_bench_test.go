package shell_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/routing/poison"
)

// BenchmarkPoisonCost compares the CPU time of a request through a node without poison records
// with one whose table of them is full, for a small body and one of 1 MiB. The times include the
// worker and the caller; full-ratio is the cost of the table.
func BenchmarkPoisonCost(b *testing.B) {
	for _, size := range []struct{ bytes, block int }{{100, 100}, {1 << 20, 10}} {
		b.Run(fmt.Sprintf("%d bytes", size.bytes), func(b *testing.B) {
			empty, full := poisonBenchNode(b, 0), poisonBenchNode(b, poison.DefaultMaxRecords)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}
			body := strings.Repeat("b", size.bytes)
			sent := 0
			measure := func(node *shell.Node) time.Duration {
				before := cpuTime(b)
				for range size.block {
					sent++
					post(b, client, node.Address(), fmt.Sprintf("c%d", sent), body)
				}
				return cpuTime(b) - before
			}
			var without, with time.Duration
			blocks := 0
			for b.Loop() {
				without += measure(empty)
				with += measure(full)
				blocks++
			}
			b.ReportMetric(float64(without.Microseconds())/float64(blocks*size.block), "empty-us")
			b.ReportMetric(float64(with.Microseconds())/float64(blocks*size.block), "full-us")
			b.ReportMetric(float64(with)/float64(without), "full-ratio")
		})
	}
}

// poisonBenchNode starts a node whose store holds the given number of poison records.
func poisonBenchNode(b *testing.B, records int) *shell.Node {
	d := newDeployment(b)
	d.addWorker("p1", plainService, nil)
	for n := range records {
		content := poison.Content{Target: fmt.Sprint(n)}
		if err := d.store.Put(fleet.KeyPoison+content.Fingerprint().String(), map[string][]string{"ends": {"a", "b", "c"}}); err != nil {
			b.Fatal(err)
		}
	}
	node := d.startNode("n1")
	d.eventually("the node knows all records", func() bool { return metric(node, "valveslip_poison_requests") == float64(records) })
	return node
}

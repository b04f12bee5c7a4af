package shell_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/platform"
)

// BenchmarkKeyedPath compares a small request of a tenant with a key and a limit with one that
// needs neither. It sends them in one run through nodes of two deployments: one that lends the
// tenant's tokens itself, and one without tenants.
func BenchmarkKeyedPath(b *testing.B) {
	keyed, plain := newDeployment(b), newDeployment(b)
	keyed.tenants = []platform.TenantDocument{
		{Name: "clinic", Keys: []string{"clinic-1"}, Unit: "tokens", PlainTokens: 1, RatePerS: 1e9, Burst: 1e9},
	}
	keyed.configure(2)
	var nodes []*shell.Node
	for _, d := range []*deployment{keyed, plain} {
		d.addWorker("p1", plainService, nil)
		nodes = append(nodes, d.startNode("n1", withKeyProof))
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}
	keyed.eventually("tokens are lent", func() bool {
		return postAs(b, client, nodes[0].Address(), "warm", "body", "clinic-1") == http.StatusOK
	})
	var times [2][]time.Duration
	for n := 0; b.Loop(); n++ {
		for i, node := range nodes {
			began := time.Now()
			if status := postAs(b, client, node.Address(), fmt.Sprintf("r%d", n), "body", []string{"clinic-1", ""}[i]); status != http.StatusOK {
				b.Fatalf("status %d", status)
			}
			times[i] = append(times[i], time.Since(began))
		}
	}
	median := func(i int) float64 {
		slices.Sort(times[i])
		return float64(times[i][len(times[i])/2].Nanoseconds()) / 1000
	}
	b.ReportMetric(median(0), "keyed-p50-us")
	b.ReportMetric(median(1), "plain-p50-us")
	b.ReportMetric(median(0)/median(1), "p50-ratio")
}

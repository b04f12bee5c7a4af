package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// lenderMetrics are the metrics of a node that lends a tenant's tokens and has counted
// requests of two kinds. formerLenderMetrics are those of a node that lent them before.
const (
	lenderMetrics = `# TYPE valveslip_tenant_window_used gauge
valveslip_tenant_window_used{tenant="clinic"} 2700
# TYPE valveslip_tenant_window_grants gauge
valveslip_tenant_window_grants{tenant="clinic"} 3600
# TYPE valveslip_tenant_reserved gauge
valveslip_tenant_reserved{tenant="clinic"} 200
# TYPE valveslip_tenant_requests_total counter
valveslip_tenant_requests_total{outcome="lent",rank="2",size_below="256",tenant="clinic"} 30
valveslip_tenant_requests_total{outcome="refused",rank="2",size_below="256",tenant="clinic"} 4
valveslip_tenant_requests_total{outcome="lent",rank="0",size_below="1024",tenant="clinic"} 7
`
	formerLenderMetrics = `# TYPE valveslip_tenant_requests_total counter
valveslip_tenant_requests_total{outcome="lent",rank="2",size_below="256",tenant="clinic"} 12
valveslip_tenant_requests_total{outcome="refused on return",rank="2",size_below="256",tenant="clinic"} 1
`
)

// TestTenantsSumsMetricsOfAllNodes guards against counts of a node that are lost, against a
// share that is not the lender's, and against a result that silently lacks an unreachable node.
func TestTenantsSumsMetricsOfAllNodes(t *testing.T) {
	serve := func(metrics string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(metrics)) }))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	lender, former := serve(lenderMetrics), serve(formerLenderMetrics)
	var out bytes.Buffer
	if err := tenantsCommand(&out).ParseAndRun(context.Background(), []string{"--node", lender, "--node", former}); err != nil {
		t.Fatal(err)
	}
	fields := strings.Join(strings.Fields(out.String()), " ")
	for _, want := range []string{
		"clinic " + lender + " 3600 2700 75% 200",
		"clinic 0 1024 7 0 0 0",
		"clinic 2 256 42 4 0 1",
	} {
		if !strings.Contains(fields, want) {
			t.Errorf("the output lacks %q:\n%s", want, out.String())
		}
	}
	for _, c := range []struct {
		arguments []string
		code      int
	}{{nil, exitUsage}, {[]string{"--node", "127.0.0.1:1"}, exitUnavailable}} {
		if got := exitCodeOrOK(tenantsCommand(&out).ParseAndRun(context.Background(), c.arguments)); got != c.code {
			t.Errorf("%v: exit %d, want %d", c.arguments, got, c.code)
		}
	}
}

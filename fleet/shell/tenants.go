package shell

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/valveslip/valveslip/fleet/lending"
)

// The names of the metrics of tenants with a limit, and of their labels.
const (
	MetricTenantUsed     = "valveslip_tenant_window_used"
	MetricTenantGrants   = "valveslip_tenant_window_grants"
	MetricTenantReserved = "valveslip_tenant_reserved"
	MetricTenantRequests = "valveslip_tenant_requests_total"
	LabelTenant          = "tenant"
	LabelRank            = "rank"
	LabelSizeBelow       = "size_below"
	LabelOutcome         = "outcome"
)

// maxTenantSeries limits the number of tenants with metrics of their own, because each adds time
// series. Tenants beyond it, in the order of their names, have no metrics.
const maxTenantSeries = 200

// tenantCollector exports the state of the tenants' limits: what is used within the window where
// this node lends tokens, and the decisions of this node.
type tenantCollector struct {
	node                             *Node
	used, grants, reserved, requests *prometheus.Desc
}

func newTenantCollector(n *Node) *tenantCollector {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, append([]string{LabelTenant}, labels...), nil)
	}
	return &tenantCollector{
		node:     n,
		used:     describe(MetricTenantUsed, "What was lent of the tenant's limit within the window, where this node lends it."),
		grants:   describe(MetricTenantGrants, "What the tenant's limit grants within a window, where this node lends it."),
		reserved: describe(MetricTenantReserved, "What is kept for callers of the tenant who were told when to come back."),
		requests: describe(MetricTenantRequests, "Requests of which this node decided as the lender, by rank, size and outcome.", LabelRank, LabelSizeBelow, LabelOutcome),
	}
}

// Describe implements prometheus.Collector.
func (f *tenantCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{f.used, f.grants, f.reserved, f.requests} {
		descriptions <- d
	}
}

// Collect implements prometheus.Collector.
func (f *tenantCollector) Collect(output chan<- prometheus.Metric) {
	states, tallies := f.node.tenants()
	shown := map[string]bool{}
	show := func(tenant string) bool {
		if !shown[tenant] && len(shown) < maxTenantSeries {
			shown[tenant] = true
		}
		return shown[tenant]
	}
	for i := range states {
		s := &states[i]
		if !show(s.Tenant) {
			continue
		}
		output <- prometheus.MustNewConstMetric(f.used, prometheus.GaugeValue, s.Used, s.Tenant)
		output <- prometheus.MustNewConstMetric(f.grants, prometheus.GaugeValue, s.Grants, s.Tenant)
		output <- prometheus.MustNewConstMetric(f.reserved, prometheus.GaugeValue, s.Reserved, s.Tenant)
	}
	for i := range tallies {
		t := &tallies[i]
		if !show(t.Tenant) {
			continue
		}
		rank, size := strconv.Itoa(t.Rank), strconv.FormatFloat(t.SizeBelow, 'f', 0, 64)
		for _, o := range []lending.Outcome{lending.Lent, lending.Refused, lending.LentToReturning, lending.RefusedReturning} {
			output <- prometheus.MustNewConstMetric(f.requests, prometheus.CounterValue, float64(t.Count(o)), t.Tenant, rank, size, o.String())
		}
	}
}

// tenants returns the state and the decision counts of the tenants with a limit.
func (n *Node) tenants() ([]lending.TenantState, []lending.Tally) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.core == nil {
		return nil, nil
	}
	return n.core.Tenants(), n.core.TenantTallies()
}

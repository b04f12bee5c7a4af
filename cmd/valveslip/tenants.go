package main

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/fleet/lending"
	"github.com/valveslip/valveslip/fleet/shell"
)

// metricsTimeout is the timeout for reading the metrics of one node.
const metricsTimeout = 5 * time.Second

// tenantStatus is the usage of a tenant's token limit.
type tenantStatus struct {
	Tenant string `json:"tenant"`
	// Lender is the node that lends the tenant's tokens, empty if no queried node does.
	Lender string `json:"lender,omitempty"`
	// Grants is the number of tokens that the limit grants within a window. Used is the
	// number that was lent, and Reserved the number that is reserved for callers which got
	// a time to retry.
	Grants   float64            `json:"grants"`
	Used     float64            `json:"used"`
	Reserved float64            `json:"reserved"`
	Kinds    []tenantKindStatus `json:"kinds"`
}

// tenantKindStatus holds the numbers of requests of one kind, by outcome, since the queried
// nodes started.
type tenantKindStatus struct {
	Rank          int     `json:"rank"`
	SizeBelow     float64 `json:"size_below"`
	Lent          int64   `json:"lent"`
	Refused       int64   `json:"refused"`
	ReturnLent    int64   `json:"lent_on_return"`
	ReturnRefused int64   `json:"refused_on_return"`
}

// tenantsCommand returns the command that prints the usage of the tenants' limits, from the
// metrics of the given nodes.
func tenantsCommand(out io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("valveslip tenants", flag.ContinueOnError)
	var nodes fileList
	flags.Var(&nodes, "node", "host:port where a node serves its figures; may be given several times")
	o := &operatorOptions{out: out}
	flags.BoolVar(&o.json, "json", false, "print JSON for programs")
	return &ffcli.Command{
		Name: "tenants", ShortUsage: "valveslip tenants --node HOST:PORT [--node HOST:PORT]... [--json]", FlagSet: flags,
		ShortHelp: "print how tenants stand with their limits: used of a window, lent and refused by kind",
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) > 0 || len(nodes) == 0 {
				return usageError("tenants takes the addresses of nodes by --node")
			}
			tenants, err := readTenants(ctx, nodes)
			if err != nil {
				return err
			}
			return o.printValue(tenants, func(out io.Writer) error { return writeTenants(out, tenants) })
		},
	}
}

// readTenants reads and sums the metrics of nodes. It fails if a node does not respond,
// because the sums would lack that node's requests and loans.
func readTenants(ctx context.Context, nodes []string) ([]*tenantStatus, error) {
	byTenant := map[string]*tenantStatus{}
	for _, node := range nodes {
		families, err := fetchMetrics(ctx, node)
		if err != nil {
			return nil, &exitError{code: exitUnavailable, err: eris.Wrapf(err, "read the figures of %s", node)}
		}
		addTenantMetrics(byTenant, node, families)
	}
	tenants := make([]*tenantStatus, 0, len(byTenant))
	for _, t := range byTenant {
		slices.SortFunc(t.Kinds, func(a, b tenantKindStatus) int {
			return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.SizeBelow, b.SizeBelow))
		})
		tenants = append(tenants, t)
	}
	slices.SortFunc(tenants, func(a, b *tenantStatus) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return tenants, nil
}

// fetchMetrics reads the metrics of a node.
func fetchMetrics(ctx context.Context, node string) (map[string]*dto.MetricFamily, error) {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+shell.MetricsPath, http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.New(response.Status)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	return parser.TextToMetricFamilies(response.Body)
}

// addTenantMetrics adds the tenant metrics of one node to the status of each tenant.
func addTenantMetrics(byTenant map[string]*tenantStatus, node string, families map[string]*dto.MetricFamily) {
	forEachMetric := func(name string, apply func(*tenantStatus, *dto.Metric)) {
		for _, metric := range families[name].GetMetric() {
			tenant := labelValue(metric, shell.LabelTenant)
			if byTenant[tenant] == nil {
				byTenant[tenant] = &tenantStatus{Tenant: tenant}
			}
			apply(byTenant[tenant], metric)
		}
	}
	forEachMetric(shell.MetricTenantGrants, func(t *tenantStatus, m *dto.Metric) { t.Grants, t.Lender = m.GetGauge().GetValue(), node })
	forEachMetric(shell.MetricTenantUsed, func(t *tenantStatus, m *dto.Metric) { t.Used = m.GetGauge().GetValue() })
	forEachMetric(shell.MetricTenantReserved, func(t *tenantStatus, m *dto.Metric) { t.Reserved = m.GetGauge().GetValue() })
	forEachMetric(shell.MetricTenantRequests, func(t *tenantStatus, m *dto.Metric) {
		k := t.kind(labelValue(m, shell.LabelRank), labelValue(m, shell.LabelSizeBelow))
		count := int64(m.GetCounter().GetValue())
		switch labelValue(m, shell.LabelOutcome) {
		case lending.Lent.String():
			k.Lent += count
		case lending.Refused.String():
			k.Refused += count
		case lending.LentToReturning.String():
			k.ReturnLent += count
		case lending.RefusedReturning.String():
			k.ReturnRefused += count
		}
	})
}

// kind returns the counts of a kind of requests, which it adds if they are missing.
func (t *tenantStatus) kind(rank, sizeBelow string) *tenantKindStatus {
	number, _ := strconv.Atoi(rank)
	size, _ := strconv.ParseFloat(sizeBelow, 64)
	for i := range t.Kinds {
		if t.Kinds[i].Rank == number && t.Kinds[i].SizeBelow == size {
			return &t.Kinds[i]
		}
	}
	t.Kinds = append(t.Kinds, tenantKindStatus{Rank: number, SizeBelow: size})
	return &t.Kinds[len(t.Kinds)-1]
}

// labelValue returns the value of a metric's label, empty if it has no such label.
func labelValue(m *dto.Metric, name string) string {
	for _, label := range m.GetLabel() {
		if label.GetName() == name {
			return label.GetValue()
		}
	}
	return ""
}

// writeTenants prints the limits and the requests by kind as tables.
func writeTenants(out io.Writer, tenants []*tenantStatus) error {
	var rows, kinds [][]string
	for _, t := range tenants {
		share, lender := "-", cmp.Or(t.Lender, "-")
		if t.Grants > 0 {
			share = fmt.Sprintf("%.0f%%", 100*t.Used/t.Grants)
		}
		rows = append(rows, []string{t.Tenant, lender, fmt.Sprintf("%.0f", t.Grants), fmt.Sprintf("%.0f", t.Used), share, fmt.Sprintf("%.0f", t.Reserved)})
		for i := range t.Kinds {
			k := &t.Kinds[i]
			kinds = append(kinds, []string{
				t.Tenant, strconv.Itoa(k.Rank), fmt.Sprintf("%.0f", k.SizeBelow),
				fmt.Sprint(k.Lent), fmt.Sprint(k.Refused), fmt.Sprint(k.ReturnLent), fmt.Sprint(k.ReturnRefused),
			})
		}
	}
	if err := writeSection(out, "limits", []string{"tenant", "lender", "window grants", "used", "share", "reserved"}, rows); err != nil {
		return err
	}
	return writeSection(out, "requests by kind", []string{"tenant", "rank", "size below", "lent", "refused", "lent on return", "refused on return"}, kinds)
}

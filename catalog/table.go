package catalog

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// Table finds the route of a request. It is immutable.
type Table struct {
	// hosts holds the routes of each host, longest prefix first.
	hosts map[string][]*Route
}

// newTable indexes routes by host.
func newTable(routes []Route) *Table {
	table := &Table{hosts: make(map[string][]*Route)}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		table.hosts[host] = append(table.hosts[host], &routes[i])
	}
	for _, list := range table.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)), cmp.Compare(a.Name, b.Name))
		})
	}
	return table
}

// Find returns the route of a host whose prefix begins the path and is longest,
// or nil. A port in the host is passed over.
func (t *Table) Find(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, route := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Pick returns the service for a request of the route, by a number that is even
// over [0, 1).
func (r *Route) Pick(draw float64) string {
	var sum float64
	for _, target := range r.Targets {
		sum += target.Weight
	}
	rest := draw * sum
	for _, target := range r.Targets {
		if rest < target.Weight {
			return target.Service
		}
		rest -= target.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

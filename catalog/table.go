package catalog

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// Table maps a host and path to a route. It is immutable.
type Table struct {
	// routesByHost holds the routes of each lower-case host name, longest path
	// prefix first.
	routesByHost map[string][]*Route
}

// newTable returns a table of the given routes.
func newTable(routes []Route) *Table {
	table := &Table{routesByHost: make(map[string][]*Route)}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		table.routesByHost[host] = append(table.routesByHost[host], &routes[i])
	}
	for _, list := range table.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)), cmp.Compare(a.Name, b.Name))
		})
	}
	return table
}

// Find returns the route of the host with the longest prefix of path, or nil. A
// port in host is ignored.
func (t *Table) Find(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, route := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// PickService returns the service for one request of the route, in proportion to the
// target weights. The number draw must be uniformly distributed over [0, 1).
func (r *Route) PickService(draw float64) string {
	var sum float64
	for _, target := range r.Targets {
		sum += target.Weight
	}
	remaining := draw * sum
	for _, target := range r.Targets {
		if remaining < target.Weight {
			return target.Service
		}
		remaining -= target.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

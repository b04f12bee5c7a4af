package experiment

import (
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
)

// Policy is one placement policy of a comparison.
type Policy struct {
	// Name as the command line gives it.
	Name string
	// Override of policy keys in the settings tree, nil for none.
	Override map[string]any
	// Clairvoyant policies are told the arrivals.
	Clairvoyant bool
	make        func(future map[cluster.ModelID][]time.Time) placement.Planner
}

// ParsePolicies reads a comma-separated list of policies.
func ParsePolicies(list string) ([]Policy, error) {
	var policies []Policy
	for name := range strings.SplitSeq(list, ",") {
		policy, err := parsePolicy(strings.TrimSpace(name))
		if err != nil {
			return nil, err
		}
		policies = append(policies, policy)
	}
	return policies, nil
}

// parsePolicy reads adaptive, adaptive@WEIGHT, always, fixed-DURATION, lru or
// oracle.
func parsePolicy(name string) (Policy, error) {
	switch {
	case name == "adaptive":
		return Policy{Name: name, make: adaptive}, nil
	case name == "always":
		return plain(name, placement.NewAlwaysLoaded), nil
	case name == "lru":
		return plain(name, placement.NewLRU), nil
	case name == "oracle":
		return Policy{Name: name, Clairvoyant: true, make: func(future map[cluster.ModelID][]time.Time) placement.Planner {
			return newOracle(future)
		}}, nil
	}
	if text, found := strings.CutPrefix(name, "adaptive@"); found {
		weight, err := strconv.ParseFloat(text, 64)
		if err != nil || weight < 0 || weight > 1 {
			return Policy{}, eris.Errorf("policy %q: the weight must be 0 to 1", name)
		}
		return Policy{Name: name, Override: map[string]any{"cold_start_weight": weight}, make: adaptive}, nil
	}
	if text, found := strings.CutPrefix(name, "fixed-"); found {
		keepAlive, err := time.ParseDuration(text)
		if err != nil || keepAlive < 0 {
			return Policy{}, eris.Errorf("policy %q: %q is not a duration", name, text)
		}
		return plain(name, func() placement.Planner { return placement.NewFixedKeepAlive(keepAlive) }), nil
	}
	return Policy{}, eris.Errorf("policy %q is unknown; there are adaptive, adaptive@WEIGHT, always, fixed-DURATION, lru and oracle", name)
}

// adaptive makes the product's own planner.
func adaptive(map[cluster.ModelID][]time.Time) placement.Planner {
	return placement.NewPlanner(placement.Config{})
}

// plain wraps a planner that knows no future.
func plain(name string, create func() placement.Planner) Policy {
	return Policy{Name: name, make: func(map[cluster.ModelID][]time.Time) placement.Planner { return create() }}
}

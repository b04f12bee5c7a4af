package experiment

import (
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
)

// Policy is a placement policy that is compared.
type Policy struct {
	// Name is the name on the command line.
	Name string
	// Override replaces policy keys in the settings tree; nil replaces none.
	Override map[string]any
	// Clairvoyant is true for policies that know the arrivals in advance.
	Clairvoyant bool
	newPlanner  func(future map[cluster.ModelID][]time.Time) placement.Planner
}

// ParsePolicies parses a comma-separated list of policies.
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

// parsePolicy parses adaptive, adaptive@WEIGHT, always, fixed-DURATION, lru or oracle.
func parsePolicy(name string) (Policy, error) {
	switch {
	case name == "adaptive":
		return Policy{Name: name, newPlanner: newAdaptivePlanner}, nil
	case name == "always":
		return newOnlinePolicy(name, placement.NewAlwaysLoaded), nil
	case name == "lru":
		return newOnlinePolicy(name, placement.NewLRU), nil
	case name == "oracle":
		return Policy{Name: name, Clairvoyant: true, newPlanner: func(future map[cluster.ModelID][]time.Time) placement.Planner {
			return newOracle(future)
		}}, nil
	}
	if text, found := strings.CutPrefix(name, "adaptive@"); found {
		weight, err := strconv.ParseFloat(text, 64)
		if err != nil || weight < 0 || weight > 1 {
			return Policy{}, eris.Errorf("policy %q: the weight must be 0 to 1", name)
		}
		return Policy{Name: name, Override: map[string]any{"cold_start_weight": weight}, newPlanner: newAdaptivePlanner}, nil
	}
	if text, found := strings.CutPrefix(name, "fixed-"); found {
		keepAlive, err := time.ParseDuration(text)
		if err != nil || keepAlive < 0 {
			return Policy{}, eris.Errorf("policy %q: %q is not a duration", name, text)
		}
		return newOnlinePolicy(name, func() placement.Planner { return placement.NewFixedKeepAlive(keepAlive) }), nil
	}
	return Policy{}, eris.Errorf("policy %q is unknown; known policies are adaptive, adaptive@WEIGHT, always, fixed-DURATION, lru and oracle", name)
}

// newAdaptivePlanner returns the production planner.
func newAdaptivePlanner(map[cluster.ModelID][]time.Time) placement.Planner {
	return placement.NewPlanner(placement.Config{})
}

// newOnlinePolicy returns a policy whose planner does not know future arrivals.
func newOnlinePolicy(name string, create func() placement.Planner) Policy {
	return Policy{Name: name, newPlanner: func(map[cluster.ModelID][]time.Time) placement.Planner { return create() }}
}

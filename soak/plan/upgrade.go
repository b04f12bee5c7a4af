package plan

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of the upgrades.
const (
	// partialUpgradeShare is the share of runs with an earlier build in which half of the
	// nodes keep that build.
	partialUpgradeShare = 0.3
	// rollBackShare is the share of the other runs in which some nodes return to the
	// earlier build after the upgrade.
	rollBackShare = 0.4
	// maxUpgradeDowntime bounds the time between the end of a node's old program and the start
	// of its new one.
	maxUpgradeDowntime = 1500 * time.Millisecond
)

// drawUpgrades adds a rolling upgrade to a schedule that begins with an earlier build. The
// nodes are upgraded one after the other over the whole span, and some may be rolled back.
// Instead, half of the nodes may keep the earlier build, in which case there are no upgrades.
func drawUpgrades(s *Schedule) {
	d := &generator{random: rand.New(rand.NewPCG(s.Seed, s.Seed<<1|1)), size: Size{Nodes: s.Nodes, Span: s.Span}}
	order := d.random.Perm(s.Nodes)
	if d.random.Float64() < partialUpgradeShare {
		s.Earlier = order[:s.Nodes/2]
		slices.Sort(s.Earlier)
		return
	}
	upgrades := s.Nodes
	if d.random.Float64() < rollBackShare {
		upgrades += d.random.IntN(s.Nodes) + 1
	}
	step := (s.Span - firstFaultAt) / time.Duration(upgrades)
	for n := range upgrades {
		fault := Fault{
			At: firstFaultAt + time.Duration(n)*step, Kind: ProcessUpgrade, Targets: []int{order[n%s.Nodes]},
			For: d.uniformDuration(minFaultLength, maxUpgradeDowntime),
		}
		if n >= s.Nodes {
			fault.Kind = ProcessRollBack
		}
		fault.At = fault.At.Truncate(time.Millisecond)
		s.Faults = append(s.Faults, fault)
	}
}

package plan

import (
	"math/rand/v2"
	"slices"
	"time"
)

// How upgrades are drawn.
const (
	// halfShare of the runs with an earlier build have half of the nodes stay with it.
	halfShare = 0.3
	// rollBackShare of the others take the upgrade back in the middle, for some of the nodes.
	rollBackShare = 0.4
	// upgradeDown bounds the pause between a node's programs.
	upgradeDown = 1500 * time.Millisecond
)

// drawUpgrades adds to a schedule that begins with an earlier build how it is replaced: one
// node after the other over the whole span, some of them back again, or half of them never.
func drawUpgrades(s *Schedule) {
	d := &drawer{random: rand.New(rand.NewPCG(s.Seed, s.Seed<<1|1)), size: Size{Nodes: s.Nodes, Span: s.Span}}
	order := d.random.Perm(s.Nodes)
	if d.random.Float64() < halfShare {
		s.Earlier = order[:s.Nodes/2]
		slices.Sort(s.Earlier)
		return
	}
	upgrades := s.Nodes
	if d.random.Float64() < rollBackShare {
		upgrades += d.random.IntN(s.Nodes) + 1
	}
	step := (s.Span - firstAt) / time.Duration(upgrades)
	for n := range upgrades {
		fault := Fault{
			At: firstAt + time.Duration(n)*step, Kind: ProcessUpgrade, Targets: []int{order[n%s.Nodes]},
			For: d.between(shortest, upgradeDown),
		}
		if n >= s.Nodes {
			fault.Kind = ProcessRollBack
		}
		fault.At = fault.At.Truncate(time.Millisecond)
		s.Faults = append(s.Faults, fault)
	}
}

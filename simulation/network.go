package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Place is where a process runs.
type Place struct {
	Zone   cluster.ZoneID
	Region cluster.RegionID
}

// NetworkConfig holds one-way delays and fault rates.
type NetworkConfig struct {
	// WithinZone, BetweenZones and BetweenRegions are one-way delays.
	WithinZone, BetweenZones, BetweenRegions time.Duration
	// Jitter is the share of the delay that is added at random.
	Jitter float64
	// Loss, Duplication and Reordering are probabilities per message. A
	// reordered message is held back by up to ReorderDelay.
	Loss, Duplication, Reordering float64
	ReorderDelay                  time.Duration
}

// NetworkCounts counts what happened to messages.
type NetworkCounts struct {
	Sent, Lost, Duplicated, Reordered, Cut uint64
}

// Network delivers messages between places with delays and faults.
type Network struct {
	kernel *Kernel
	random *rand.Rand
	// Config may be changed while the simulation runs.
	Config NetworkConfig
	// Counts so far.
	Counts NetworkCounts

	isolatedZones   map[cluster.ZoneID]bool
	isolatedRegions map[cluster.RegionID]bool
}

// NewNetwork returns a network without faults but those of config.
func NewNetwork(kernel *Kernel, config NetworkConfig) *Network {
	return &Network{
		kernel: kernel, random: kernel.Stream("network"), Config: config,
		isolatedZones:   map[cluster.ZoneID]bool{},
		isolatedRegions: map[cluster.RegionID]bool{},
	}
}

// IsolateZone cuts the zone off from all others, or heals it.
func (n *Network) IsolateZone(zone cluster.ZoneID, isolated bool) {
	n.isolatedZones[zone] = isolated
}

// IsolateRegion cuts the region off from all others, or heals it.
func (n *Network) IsolateRegion(region cluster.RegionID, isolated bool) {
	n.isolatedRegions[region] = isolated
}

// Reachable reports whether messages pass between two places.
func (n *Network) Reachable(from, to Place) bool {
	if from.Zone != to.Zone && (n.isolatedZones[from.Zone] || n.isolatedZones[to.Zone]) {
		return false
	}
	if from.Region != to.Region && (n.isolatedRegions[from.Region] || n.isolatedRegions[to.Region]) {
		return false
	}
	return true
}

// Delay draws the one-way delay between two places.
func (n *Network) Delay(from, to Place) time.Duration {
	base := n.Config.WithinZone
	switch {
	case from.Region != to.Region:
		base = n.Config.BetweenRegions
	case from.Zone != to.Zone:
		base = n.Config.BetweenZones
	}
	return base + time.Duration(n.random.Float64()*n.Config.Jitter*float64(base))
}

// Send delivers a datagram-like message: it may be lost, doubled or overtaken.
func (n *Network) Send(from, to Place, deliver func()) {
	n.Counts.Sent++
	if !n.Reachable(from, to) {
		n.Counts.Cut++
		return
	}
	if n.random.Float64() < n.Config.Loss {
		n.Counts.Lost++
		return
	}
	delay := n.Delay(from, to)
	if n.random.Float64() < n.Config.Reordering {
		n.Counts.Reordered++
		delay += time.Duration(n.random.Float64() * float64(n.Config.ReorderDelay))
	}
	n.kernel.After(delay, LabelMessage, deliver)
	if n.random.Float64() < n.Config.Duplication {
		n.Counts.Duplicated++
		n.kernel.After(delay+n.Delay(from, to), LabelMessage, deliver)
	}
}

package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Place is the location of a process.
type Place struct {
	Zone   cluster.ZoneID
	Region cluster.RegionID
}

// NetworkConfig holds one-way delays and fault rates.
type NetworkConfig struct {
	// WithinZone, BetweenZones and BetweenRegions are one-way delays.
	WithinZone, BetweenZones, BetweenRegions time.Duration
	// Jitter is the largest random addition to a delay, as a share of the delay.
	Jitter float64
	// Loss, Duplication and Reordering are probabilities per message. A reordered
	// message is delayed by up to ReorderDelay.
	Loss, Duplication, Reordering float64
	ReorderDelay                  time.Duration
}

// NetworkCounts counts sent messages and their faults. Cut counts the messages
// between places that could not reach each other.
type NetworkCounts struct {
	Sent, Lost, Duplicated, Reordered, Cut uint64
}

// Network delivers messages between places with delays and faults.
type Network struct {
	kernel *Kernel
	random *rand.Rand
	// Config may be changed while the simulation runs.
	Config NetworkConfig
	Counts NetworkCounts

	isolatedZones   map[cluster.ZoneID]bool
	isolatedRegions map[cluster.RegionID]bool
}

// NewNetwork returns a network without isolated zones or regions.
func NewNetwork(kernel *Kernel, config NetworkConfig) *Network {
	return &Network{
		kernel: kernel, random: kernel.Stream("network"), Config: config,
		isolatedZones:   map[cluster.ZoneID]bool{},
		isolatedRegions: map[cluster.RegionID]bool{},
	}
}

// IsolateZone disconnects the zone from all others, or reconnects it.
func (n *Network) IsolateZone(zone cluster.ZoneID, isolated bool) {
	n.isolatedZones[zone] = isolated
}

// IsolateRegion disconnects the region from all others, or reconnects it.
func (n *Network) IsolateRegion(region cluster.RegionID, isolated bool) {
	n.isolatedRegions[region] = isolated
}

// Reachable reports whether no isolated zone or region separates two places.
func (n *Network) Reachable(from, to Place) bool {
	if from.Zone != to.Zone && (n.isolatedZones[from.Zone] || n.isolatedZones[to.Zone]) {
		return false
	}
	if from.Region != to.Region && (n.isolatedRegions[from.Region] || n.isolatedRegions[to.Region]) {
		return false
	}
	return true
}

// Delay returns a random one-way delay between two places.
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

// Send delivers a message like a datagram: it may be lost, duplicated or
// reordered.
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

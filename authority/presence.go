package authority

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Presence follows the machine list and says which machines have gone from it
// for longer than its lag. A machine that it never saw counts as last seen at
// the first list, so a process that has just started waits as well. Time
// advances with lists only: while the list is unavailable nothing goes.
type Presence struct {
	lag           time.Duration
	first, latest time.Time
	// The maps are never changed, only replaced, so copies share them.
	lastSeen map[cluster.MachineID]time.Time
	machines map[cluster.MachineID]cluster.Machine
}

// NewPresence returns a Presence for a list with the given lag.
func NewPresence(lag time.Duration) *Presence {
	return &Presence{lag: lag}
}

// Listed takes a list that was read at now.
func (p *Presence) Listed(now time.Time, list []cluster.Machine) {
	if p.first.IsZero() {
		p.first = now
	}
	p.latest = now
	lastSeen := make(map[cluster.MachineID]time.Time, len(list))
	machines := make(map[cluster.MachineID]cluster.Machine, len(list))
	for id, seen := range p.lastSeen {
		if now.Sub(seen) <= p.lag {
			lastSeen[id] = seen
			machines[id] = p.machines[id]
		}
	}
	for _, machine := range list {
		lastSeen[machine.ID] = now
		machines[machine.ID] = machine
	}
	p.lastSeen, p.machines = lastSeen, machines
}

// Started reports whether any list was read.
func (p *Presence) Started() bool { return !p.first.IsZero() }

// Gone reports whether the machine has been missing for longer than the lag.
func (p *Presence) Gone(id cluster.MachineID) bool {
	if p.first.IsZero() {
		return false
	}
	seen, ok := p.lastSeen[id]
	if !ok {
		seen = p.first
	}
	return p.latest.Sub(seen) > p.lag
}

// inLatest reports whether the machine was in the latest list.
func (p *Presence) inLatest(id cluster.MachineID) bool {
	seen, ok := p.lastSeen[id]
	return ok && seen.Equal(p.latest)
}

// Retained returns the machines that are listed or missing for less than the
// lag, sorted by ID.
func (p *Presence) Retained() []cluster.Machine {
	list := make([]cluster.Machine, 0, len(p.machines))
	for _, id := range sortedKeys(p.machines) {
		list = append(list, p.machines[id])
	}
	return list
}

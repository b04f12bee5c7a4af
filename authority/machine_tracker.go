package authority

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// MachineTracker tracks the machine list and decides which machines have been missing from it
// for longer than the list's lag. A machine that was never listed counts as last seen at
// the first list, so a process that has just started waits for the lag as well. Time
// advances only with new lists: while the list is unavailable, no machine counts as gone.
type MachineTracker struct {
	lag                       time.Duration
	firstListAt, latestListAt time.Time
	// The maps are replaced, never modified, so copies share them.
	lastSeen map[cluster.MachineID]time.Time
	machines map[cluster.MachineID]cluster.Machine
}

// NewMachineTracker returns a MachineTracker for a machine list that is up to lag out of date.
func NewMachineTracker(lag time.Duration) *MachineTracker {
	return &MachineTracker{lag: lag}
}

// RecordList records a machine list that was read at now.
func (p *MachineTracker) RecordList(now time.Time, list []cluster.Machine) {
	if p.firstListAt.IsZero() {
		p.firstListAt = now
	}
	p.latestListAt = now
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

// Started reports whether any list was recorded.
func (p *MachineTracker) Started() bool { return !p.firstListAt.IsZero() }

// Gone reports whether the machine has been missing for longer than the lag.
func (p *MachineTracker) Gone(id cluster.MachineID) bool {
	if p.firstListAt.IsZero() {
		return false
	}
	seen, ok := p.lastSeen[id]
	if !ok {
		seen = p.firstListAt
	}
	return p.latestListAt.Sub(seen) > p.lag
}

// isInLatestList reports whether the machine was in the latest list.
func (p *MachineTracker) isInLatestList(id cluster.MachineID) bool {
	seen, ok := p.lastSeen[id]
	return ok && seen.Equal(p.latestListAt)
}

// Retained returns the machines that are listed or have been missing for no longer than
// the lag, sorted by ID.
func (p *MachineTracker) Retained() []cluster.Machine {
	list := make([]cluster.Machine, 0, len(p.machines))
	for _, id := range sortedKeys(p.machines) {
		list = append(list, p.machines[id])
	}
	return list
}

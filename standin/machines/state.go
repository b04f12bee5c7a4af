package machines

import (
	"sort"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// change is one update of the list: an added or updated machine, or a removal.
type change struct {
	effectiveAt time.Time
	machine     cluster.Machine
	removed     bool
}

// State is the machine list. It is not safe for concurrent use.
type State struct {
	lag time.Duration
	// changes is sorted by effectiveAt.
	changes []change
	// frozenAt, if not zero, is the time as of which List shows the machines
	// until Thaw is called.
	frozenAt time.Time
}

// NewState returns an empty list that shows each change lag after it took
// effect.
func NewState(lag time.Duration) *State { return &State{lag: lag} }

// Put adds or updates a machine.
func (s *State) Put(now time.Time, machine cluster.Machine) {
	s.insertChange(change{effectiveAt: now, machine: machine})
}

// Remove removes a machine from the list.
func (s *State) Remove(now time.Time, id cluster.MachineID) {
	s.insertChange(change{effectiveAt: now, machine: cluster.Machine{ID: id}, removed: true})
}

// Reclaim marks a machine as leaving and removes it from the list after notice.
// It returns the updated machine, or false if the machine isn't listed.
func (s *State) Reclaim(now time.Time, id cluster.MachineID, notice time.Duration) (cluster.Machine, bool) {
	var found cluster.Machine
	for _, machine := range s.machinesAt(now) {
		if machine.ID == id {
			found = machine
		}
	}
	if found.ID == "" {
		return found, false
	}
	found.Leaving = true
	s.Put(now, found)
	s.Remove(now.Add(notice), id)
	return found, true
}

// insertChange adds a change in the order of effectiveAt, because a removal can
// be recorded before it takes effect.
func (s *State) insertChange(entry change) {
	i := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].effectiveAt.After(entry.effectiveAt) })
	s.changes = append(s.changes, change{})
	copy(s.changes[i+1:], s.changes[i:])
	s.changes[i] = entry
}

// Freeze makes List return what it shows now until Thaw is called.
func (s *State) Freeze(now time.Time) { s.frozenAt = now.Add(-s.lag) }

// Thaw ends the effect of Freeze.
func (s *State) Thaw() { s.frozenAt = time.Time{} }

// List returns the machines as they were lag before now, sorted by ID, and the
// list's version, which is the number of changes up to that time.
func (s *State) List(now time.Time) ([]cluster.Machine, uint64) {
	asOf := now.Add(-s.lag)
	if !s.frozenAt.IsZero() {
		asOf = s.frozenAt
	}
	version := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].effectiveAt.After(asOf) })
	return s.machinesAt(asOf), uint64(version)
}

// machinesAt returns the machines at a time, without the lag, sorted by ID.
func (s *State) machinesAt(asOf time.Time) []cluster.Machine {
	byID := map[cluster.MachineID]cluster.Machine{}
	for _, entry := range s.changes {
		switch {
		case entry.effectiveAt.After(asOf):
		case entry.removed:
			delete(byID, entry.machine.ID)
		default:
			byID[entry.machine.ID] = entry.machine
		}
	}
	list := make([]cluster.Machine, 0, len(byID))
	for _, machine := range byID {
		list = append(list, machine)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

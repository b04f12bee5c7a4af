package machines

import (
	"sort"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// change is one change of the list.
type change struct {
	at      time.Time
	machine cluster.Machine
	gone    bool
}

// State is the machine list. It is not safe for concurrent use.
type State struct {
	lag     time.Duration
	changes []change
	// frozenAt, when set, is the time whose list is shown until Thaw.
	frozenAt time.Time
}

// NewState returns an empty list that shows changes lag after they happen.
func NewState(lag time.Duration) *State { return &State{lag: lag} }

// Put adds a machine or changes its entry.
func (s *State) Put(now time.Time, machine cluster.Machine) {
	s.record(change{at: now, machine: machine})
}

// Remove takes a machine off the list.
func (s *State) Remove(now time.Time, id cluster.MachineID) {
	s.record(change{at: now, machine: cluster.Machine{ID: id}, gone: true})
}

// Reclaim marks a machine as leaving and takes it off the list after notice. It
// answers the machine, or false when there is none.
func (s *State) Reclaim(now time.Time, id cluster.MachineID, notice time.Duration) (cluster.Machine, bool) {
	var found cluster.Machine
	for _, machine := range s.at(now) {
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

// record keeps changes in the order of their times.
func (s *State) record(entry change) {
	i := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].at.After(entry.at) })
	s.changes = append(s.changes, change{})
	copy(s.changes[i+1:], s.changes[i:])
	s.changes[i] = entry
}

// Freeze shows the list as of now until Thaw.
func (s *State) Freeze(now time.Time) { s.frozenAt = now.Add(-s.lag) }

// Thaw ends Freeze.
func (s *State) Thaw() { s.frozenAt = time.Time{} }

// List returns the machines as they were lag ago, sorted by ID, and the number
// of changes up to then.
func (s *State) List(now time.Time) ([]cluster.Machine, uint64) {
	shown := now.Add(-s.lag)
	if !s.frozenAt.IsZero() {
		shown = s.frozenAt
	}
	version := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].at.After(shown) })
	return s.at(shown), uint64(version)
}

// at returns the machines as they are at a time.
func (s *State) at(when time.Time) []cluster.Machine {
	byID := map[cluster.MachineID]cluster.Machine{}
	for _, entry := range s.changes {
		switch {
		case entry.at.After(when):
		case entry.gone:
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

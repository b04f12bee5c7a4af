package shell

import (
	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
)

// The reasons why an entry is not used although it can be decoded.
var (
	// errEarlierStart: a later start of the machine is already known.
	errEarlierStart = eris.New("it is of an earlier start of the machine")
	// errMissingStartTime: the machine's other entries give its start time, so another program
	// wrote this one.
	errMissingStartTime = eris.New("born: missing, though the machine says it otherwise")
)

// outcomeIgnored is the logged outcome for an entry of an earlier start.
const outcomeIgnored = "passed over"

// machineStarts maps the name of each machine to its current start. The name of a machine in the
// store is the same for all of its starts.
type machineStarts map[cluster.MachineID]machineStart

// machineStart is one start of a machine.
type machineStart struct {
	id cluster.MachineID
	// born is the machine's start time as its entry gives it; zero if the entry gives none.
	born    int64
	address string
}

// currentID returns the identifier of a machine's current start, or the name itself if none is
// known.
func (s machineStarts) currentID(name cluster.MachineID) cluster.MachineID {
	if known, found := s[name]; found {
		return known.id
	}
	return name
}

// knows reports whether a start of the machine is known.
func (s machineStarts) knows(name cluster.MachineID) bool {
	_, known := s[name]
	return known
}

// validate returns why an entry must not be used, given the known start of the machine; nil if it
// may be.
func (s machineStarts) validate(name cluster.MachineID, entry *catalog.Worker) error {
	switch known := s[name]; {
	case known.born != 0 && entry.StartMillis == 0:
		return errMissingStartTime
	case entry.StartMillis < known.born:
		return errEarlierStart
	}
	return nil
}

// record records the start that an entry belongs to.
func (s machineStarts) record(name cluster.MachineID, entry *catalog.Worker) {
	s[name] = machineStart{id: entry.ID, born: entry.StartMillis, address: entry.Address}
}

// forget removes a machine whose entry is gone. A later entry is not compared with the removed
// one.
func (s machineStarts) forget(name cluster.MachineID) { delete(s, name) }

// retainOnly removes the machines that a full read of the store did not list, and returns them.
func (s machineStarts) retainOnly(listed map[cluster.MachineID]bool) []cluster.MachineID {
	var removed []cluster.MachineID
	for name := range s {
		if !listed[name] {
			removed = append(removed, name)
			delete(s, name)
		}
	}
	return removed
}

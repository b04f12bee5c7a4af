package shell

import (
	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
)

// Why an entry does not count though it can be read by itself.
var (
	// errEarlierStart: what is known of a later start holds.
	errEarlierStart = eris.New("it is of an earlier start of the machine")
	// errNoBirth: whoever wrote it is not the machine, which says when it was born.
	errNoBirth = eris.New("born: missing, though the machine says it otherwise")
)

// outcomePassedOver is what becomes of an entry of an earlier start.
const outcomePassedOver = "passed over"

// starts knows the present start of each machine, by the name that the machine bears in the
// store through all of its starts.
type starts map[cluster.MachineID]start

// start is one start of a machine.
type start struct {
	id cluster.MachineID
	// born is zero where the machine does not say.
	born    int64
	address string
}

// current returns the identifier of a machine's present start; the name itself where none is
// known.
func (s starts) current(name cluster.MachineID) cluster.MachineID {
	if known, found := s[name]; found {
		return known.id
	}
	return name
}

// knows reports whether a start of the machine is known.
func (s starts) knows(name cluster.MachineID) bool {
	_, known := s[name]
	return known
}

// check says why an entry does not count beside what is known, nil if it does.
func (s starts) check(name cluster.MachineID, entry *catalog.Worker) error {
	switch known := s[name]; {
	case known.born != 0 && entry.Born == 0:
		return errNoBirth
	case entry.Born < known.born:
		return errEarlierStart
	}
	return nil
}

// note takes the start that an entry is of.
func (s starts) note(name cluster.MachineID, entry *catalog.Worker) {
	s[name] = start{id: entry.ID, born: entry.Born, address: entry.Address}
}

// forget forgets a machine whose entry is gone: what follows is not compared with it.
func (s starts) forget(name cluster.MachineID) { delete(s, name) }

// keep forgets the machines that a read of everything did not name.
func (s starts) keep(named map[cluster.MachineID]bool) {
	for name := range s {
		if !named[name] {
			delete(s, name)
		}
	}
}

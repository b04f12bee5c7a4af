package fleet

import "github.com/valveslip/valveslip/cluster"

// nodeSet holds the newest record of each machine: that of a process which was started
// anew takes the place of the one before it, whose lease may last for a while.
type nodeSet struct {
	live map[cluster.NodeID]NodeEntry
	// machines are the nodes of those that name their machine.
	machines map[string]cluster.NodeID
}

func newNodeSet() nodeSet {
	return nodeSet{live: map[cluster.NodeID]NodeEntry{}, machines: map[string]cluster.NodeID{}}
}

// put takes a record unless its machine has a newer one.
func (s nodeSet) put(entry NodeEntry) {
	if entry.Machine != "" {
		if id, known := s.machines[entry.Machine]; known && id != entry.ID {
			if s.live[id].Revision > entry.Revision {
				return
			}
			delete(s.live, id)
		}
		s.machines[entry.Machine] = entry.ID
	}
	s.live[entry.ID] = entry
}

// remove takes the record of a node out.
func (s nodeSet) remove(id cluster.NodeID) {
	if machine := s.live[id].Machine; s.machines[machine] == id {
		delete(s.machines, machine)
	}
	delete(s.live, id)
}

// clear takes all records out.
func (s nodeSet) clear() {
	clear(s.live)
	clear(s.machines)
}
